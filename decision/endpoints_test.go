package decision

import (
	"testing"
)

// Once an endpoint is draining, removed or missing from a full snapshot, no more requests are sent to it.
func TestUnavailableEndpointGetsNoRequests(t *testing.T) {
	draining := newEndpoint("a1", 7)
	draining.State = Draining
	removed := newEndpoint("a1", 7)
	removed.State = Removed
	for name, update := range map[string]EndpointsChanged{
		"draining": {Kind: Delta, Endpoints: []Endpoint{draining}},
		"removed":  {Kind: Delta, Endpoints: []Endpoint{removed}},
		"missing": {Kind: FullSnapshot, Endpoints: []Endpoint{
			newEndpoint("a2", 8), newEndpoint("b1", 7), newEndpoint("b2", 8),
		}},
	} {
		sim := start(t, releasedUpdate(8), nil)
		sim.handle(update)
		for range 100 {
			if req, to := sim.request("read", ""); to == "a1" {
				t.Fatalf("%s: got a request at the endpoint, want none", name)
			} else if to != "" {
				sim.endAttempt(req, 0, Succeeded, 20)
			}
		}
	}
}
