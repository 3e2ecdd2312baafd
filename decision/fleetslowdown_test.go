package decision

import (
	"math"
	"slices"
	"testing"

	"ottershed/internal/stats"
)

// A group counts as one rejection for each factor of slowRatio by which it is slower than before the trial, at most as
// four. A group that is not slower resets the count.
func TestFleetSlowdownCountsByRatio(t *testing.T) {
	sim := start(t, releasedUpdate(7), nil)
	for i := range 2 * groupSize {
		sim.balancer.classes.overall.add(false, 100+float64(i%groupSize))
	}
	sim.balancer.classes.overall.baselineLatency.Add(100, latencySamples)
	sim.handle(trialUpdate(1, 0.5))
	slowdown := sim.balancer.classes.overall.slowdown
	for _, test := range []struct {
		ratio float64 // response time divided by that before the trial
		want  int
	}{{1.3, 0}, {1.6, 2}, {2, 5}, {4, 9}, {math.Inf(1), 9}, {1, 0}, {1000, 4}} {
		for i := range groupSize {
			sim.balancer.compareBeforeTrial(slowdown, test.ratio*(100+float64(i)), 1)
		}
		if slowdown.rejections != test.want {
			t.Errorf("%g times slower: got %d rejections, want %d", test.ratio, slowdown.rejections, test.want)
		}
	}
}

// A slowdown is not attributed to the candidate during a burst of new requests, for example from the clients of failed
// instances, or if it began before an endpoint ran the candidate. Requests that clients send again do not explain it,
// because clients also do that when the candidate is slow.
func TestFleetSlowdownIgnoresOtherCauses(t *testing.T) {
	for _, test := range []struct {
		name             string
		newCount, resent int     // additional requests, new and sent before
		noCandidate      bool    // no endpoint runs the candidate
		rejected         bool    // a rejection is expected
		earlyLatency     float64 // response time before an endpoint runs the candidate; 0: no outcomes
	}{
		{"unchanged arrival rate", 0, 0, false, true, 0},
		{"burst of new requests", 400, 0, false, false, 0},
		{"requests sent again by clients", 0, 400, false, true, 0},
		{"no endpoint runs the candidate", 0, 0, true, false, 0},
		{"slow before an endpoint runs the candidate", 0, 0, false, false, 2},
		{"slow since endpoints run the candidate", 0, 0, false, true, 1.1},
	} {
		sim := start(t, releasedUpdate(7), manyInstances)
		sim.balancer.trial.arrivalRate = 0.02
		overall := sim.balancer.classes.overall
		overall.baseline = stats.Groups{
			Previous: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10),
		}
		sim.balancer.classes.overall.baselineLatency.Add(1, latencySamples)
		sim.handle(trialUpdate(0, 0.1))
		if test.noCandidate || test.earlyLatency > 0 {
			sim.replaceEndpoints(newEndpoint("a1", 7), newEndpoint("b1", 7))
		}
		if test.earlyLatency > 0 {
			for range groupSize / 4 {
				sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, test.earlyLatency, 1)
			}
			sim.handle(EndpointsChanged{Kind: Delta, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		}
		for i := range test.newCount + test.resent {
			sim.handle(RequestReceived{
				Request: RequestID(i + 1), Class: "read", Remaining: 1000, Retried: i >= test.newCount,
			})
		}
		for range groupSize {
			sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, 3, 1)
		}
		if got := sim.balancer.classes.overall.slowdown.rejections > 0; got != test.rejected {
			t.Errorf("%s: got a rejection of the slower group: %v, want %v", test.name, got, test.rejected)
		}
	}
}

// A slowdown of all endpoints must last before it is evidence, for eight consecutive groups or for one group that took
// at least 4 s to fill, as at an instance with little traffic.
func TestFleetSlowdownMustLast(t *testing.T) {
	for _, test := range []struct {
		name     string
		fillTime Millis  // time in which the group fills
		ratio    float64 // response time divided by that before the trial
		proof    bool    // the group proves a slowdown
	}{
		{"at once", 0, 3, false},
		{"in half a second", 500, 3, false},
		{"in four seconds", 4000, 3, true},
		{"in a minute", 60000, 3, true},
		{"in four seconds, slightly slower", 4000, 1.3, false},
	} {
		sim := start(t, releasedUpdate(7), manyInstances)
		overall := sim.balancer.classes.overall
		overall.baseline = stats.Groups{
			Previous: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10),
		}
		sim.balancer.classes.overall.baselineLatency.Add(1, latencySamples)
		sim.handle(trialUpdate(0, 0.1))
		for i := range groupSize {
			if i > 0 {
				sim.balancer.now += test.fillTime / (groupSize - 1)
			}
			sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, test.ratio, 1)
		}
		rejections := overall.slowdown.rejections
		if got := rejections >= slowdownGroups*overall.rejectionsNeeded; got != test.proof {
			t.Errorf("%s: got %d rejections, enough for a rollback: %v, want %v", test.name, rejections, got, test.proof)
		}
	}
}
