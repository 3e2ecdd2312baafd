package decision

import (
	"fmt"
	"testing"

	"ottershed/internal/stats"
)

// Failures at only one of several candidate endpoints are attributed to that endpoint, not to the build.
func TestOneFailingEndpointIsNoEvidence(t *testing.T) {
	for _, test := range []struct {
		bad   []float64 // failures among 30 outcomes, by candidate endpoint
		proof bool      // the failures prove a bad build
	}{
		{[]float64{20, 0}, false},
		{[]float64{10, 10}, true},
		{[]float64{20}, true},
		{[]float64{20, 0, 0, 0, 0}, false},
	} {
		sim := start(t, trialUpdate(1, 0.5), nil)
		var list []Endpoint
		for i := range test.bad {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("a", i)), 8))
		}
		sim.replaceEndpoints(append(list, newEndpoint("a9", 7))...)
		sim.balancer.endpoints.byID["a9"].outcomes[0].Successes = 90
		for i, bad := range test.bad {
			outcomes := &sim.balancer.endpoints.byID[list[i].ID].outcomes[0]
			outcomes.Successes, outcomes.Failures = 30-bad, bad
		}
		for _, removed := range []bool{false, true} { // the baseline's endpoint was removed
			if removed {
				sim.replaceEndpoints(list...)
			}
			if found := sim.balancer.failureEvidence(); (found.strength >= 1) != test.proof {
				t.Errorf("failures %v, baseline removed %v: got strength %v, want at least 1: %v", test.bad, removed,
					found.strength, test.proof)
			}
		}
	}
}

// A single failing candidate endpoint is no evidence if a baseline endpoint fails at a similar rate, or if other
// candidate endpoints have no outcomes yet.
func TestSingleCandidateEndpointFails(t *testing.T) {
	for _, test := range []struct {
		baseline float64 // failures among 30 outcomes of one of two endpoints
		others   int     // candidate endpoints without outcomes
		proof    bool
	}{{0, 0, true}, {1, 0, true}, {25, 0, false}, {0, 3, false}} {
		sim := start(t, trialUpdate(0, 0.1), nil)
		list := []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7), newEndpoint("a2", 8)}
		for i := range test.others {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("b", 2+i)), 8))
		}
		sim.replaceEndpoints(list...)
		for id, bad := range map[EndpointID]float64{"a1": test.baseline, "b1": 0, "a2": 25} {
			sim.balancer.endpoints.byID[id].outcomes[0] = stats.Count{Successes: 30 - bad, Failures: bad}
		}
		if found := sim.balancer.failureEvidence(); (found.strength >= 1) != test.proof {
			t.Errorf("%v baseline failures, %d other endpoints: got strength %v, want at least 1: %v", test.baseline,
				test.others, found.strength, test.proof)
		}
	}
}

// An instance with little traffic has one outcome from most endpoints. The exclusion of the endpoints with most
// failures must not remove every failure.
func TestFailuresAcrossEndpointsAreEvidence(t *testing.T) {
	for _, test := range []struct {
		bad   [8]float64 // failures, by candidate endpoint
		each  float64    // outcomes of each endpoint
		proof bool
	}{
		{[8]float64{1, 1, 1}, 1, true},
		{[8]float64{1}, 1, false},
		{[8]float64{20}, 20, false}, // a fault of one endpoint
		{[8]float64{6, 7, 6, 8, 6, 7, 6, 7}, 20, true},
	} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.Instances, s.RollbackQuorum = 20, 2 })
		endpoints := []Endpoint{newEndpoint("b9", 7)}
		for i := range test.bad {
			endpoints = append(endpoints, newEndpoint(EndpointID(fmt.Sprint("a", i)), 8))
		}
		sim.replaceEndpoints(endpoints...)
		overall := sim.balancer.classes.overall
		sim.balancer.endpoints.byID["b9"].outcomes[overall.index].Successes = 20
		for i, bad := range test.bad {
			candidate := sim.balancer.endpoints.byID[endpoints[i+1].ID]
			candidate.outcomes[overall.index] = stats.Count{Successes: test.each - bad, Failures: bad}
		}
		if found := sim.balancer.failureEvidence(); (found.strength >= 1) != test.proof {
			t.Errorf("failures %v of %v outcomes each: got strength %v, want at least 1: %v", test.bad, test.each,
				found.strength, test.proof)
		}
	}
}
