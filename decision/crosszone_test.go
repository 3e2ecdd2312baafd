package decision

import (
	"fmt"
	"strings"
	"testing"
)

// If the endpoints of the home zone are overloaded, an instance with little traffic has too few outcomes of each
// endpoint to detect free capacity in the other zone. By the response times of whole zones, it sends up to half of its
// requests to the other zone. It sends few if the other zone is slow or unreachable, or better by less than
// CrossZonePrice.
func TestOverloadedZoneSendsRequestsAcross(t *testing.T) {
	const zoneSize, requests = 30, 400
	succeeds := func(after Millis) func() (Outcome, Millis) {
		return func() (Outcome, Millis) { return Succeeded, after }
	}
	unreachable := func() (Outcome, Millis) { return Unreachable, 250 }
	// Half of the requests that are not drawn by the cross-zone share may go to the other zone too.
	const mostCrossed = maxCrossZoneShare + (1-maxCrossZoneShare)/2
	for _, test := range []struct {
		name        string
		home, other func() (Outcome, Millis)
		price       float64
		least, most float64 // share of requests in the other zone
	}{
		{"home overloaded", succeeds(400), succeeds(60), 0.02, 0.25, mostCrossed},
		{"both fast", succeeds(60), succeeds(60), 0.02, 0, 0.1},
		{"both overloaded", succeeds(400), succeeds(400), 0.02, 0, 0.2},
		{"home overloaded, high price", succeeds(400), succeeds(60), 0.5, 0, 0.1},
		{"home overloaded, other zone unreachable", succeeds(400), unreachable, 0.02, 0, 0.15},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := start(t, releasedUpdate(7), func(s *Settings) {
				manyInstances(s)
				s.CrossZonePrice = test.price
			})
			var endpoints []Endpoint
			for i := range zoneSize {
				endpoints = append(endpoints,
					newEndpoint(EndpointID(fmt.Sprintf("a%02d", i)), 7),
					newEndpoint(EndpointID(fmt.Sprintf("b%02d", i)), 7))
			}
			sim.replaceEndpoints(endpoints...)
			crossed := 0
			for i := range requests {
				req, to := sim.request("read", "")
				sim.advance(300)
				draw := test.home
				if strings.HasPrefix(string(to), "b") {
					draw = test.other
					if i >= requests/2 { // the instance has enough outcomes by then
						crossed++
					}
				}
				outcome, after := draw()
				sim.endAttempt(req, 0, outcome, after)
				if retried := sim.attemptedAt(req, 1); retried != "" {
					sim.endAttempt(req, 1, Succeeded, after)
				}
			}
			if share := float64(crossed) / (requests / 2); share < test.least || share > test.most {
				t.Errorf("share of requests in the other zone: got %.3f, want %.2f to %.2f", share, test.least, test.most)
			}
			if sim.balancer.crossZone.share > maxCrossZoneShare {
				t.Errorf("cross-zone share: got %v, want at most maxCrossZoneShare", sim.balancer.crossZone.share)
			}
		})
	}
}

// An instance with many responses of each endpoint selects by these, and its cross-zone share stays low. A high share
// would distribute the requests of both builds over the zones in different proportions, and make a good candidate look
// slow.
func TestKnownEndpointsKeepCrossZoneShareLow(t *testing.T) {
	for name, test := range map[string]struct {
		rate        float64 // responses per ms and endpoint
		least, most float64
	}{
		"few responses of each endpoint":  {0.00001, 0.3, maxCrossZoneShare},
		"many responses of each endpoint": {0.02, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			sim := start(t, releasedUpdate(8), func(s *Settings) { s.CrossZonePrice = 0.02 })
			for range 200 {
				sim.balancer.crossZone.latency, sim.balancer.load.serviceRate = [2]Millis{400, 60}, test.rate
				sim.balancer.tick()
			}
			if sim.balancer.crossZone.share < test.least || sim.balancer.crossZone.share > test.most {
				t.Errorf("cross-zone share: got %.3f, want %v to %v", sim.balancer.crossZone.share, test.least, test.most)
			}
		})
	}
}
