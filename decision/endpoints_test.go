package decision

import (
	"testing"
)

// No request goes to an endpoint that is draining, removed or missing from a snapshot, from that event on.
func TestUnavailableEndpointGetsNoRequests(t *testing.T) {
	draining := newEndpoint("a1", 7)
	draining.State = Draining
	removed := newEndpoint("a1", 7)
	removed.State = Removed
	for name, e := range map[string]EndpointsChanged{
		"draining": {Kind: Delta, Endpoints: []Endpoint{draining}},
		"removed":  {Kind: Delta, Endpoints: []Endpoint{removed}},
		"missing": {Kind: FullSnapshot, Endpoints: []Endpoint{
			newEndpoint("a2", 8), newEndpoint("b1", 7), newEndpoint("b2", 8),
		}},
	} {
		sim := start(t, releasedUpdate(8), nil)
		sim.handle(e)
		for range 100 {
			if req, to := sim.request("read", ""); to == "a1" {
				t.Fatalf("%s: request sent there", name)
			} else if to != "" {
				sim.endAttempt(req, 0, Succeeded, 20)
			}
		}
	}
}
