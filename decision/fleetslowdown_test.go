package decision

import (
	"math"
	"slices"
	"testing"

	"ottershed/internal/stats"
)

// Compared with the time before the trial, a group counts for each slow ratio by which it is slower, at
// most four times. A group that is not slower resets the count.
func TestFleetSlowdownCountsByRatio(t *testing.T) {
	sim := start(t, releasedUpdate(7), nil)
	for i := range 2 * groupSize {
		sim.balancer.classes.overall.add(false, 100+float64(i%groupSize))
	}
	sim.balancer.classes.overall.baselineLatency.Add(100, latencySamples)
	sim.handle(trialUpdate(1, 0.5))
	b := sim.balancer.classes.overall.slowdown
	for _, test := range []struct {
		times float64
		want  int
	}{{1.3, 0}, {1.6, 2}, {2, 5}, {4, 9}, {math.Inf(1), 9}, {1, 0}, {1000, 4}} {
		for i := range groupSize {
			sim.balancer.compareBeforeTrial(b, test.times*(100+float64(i)), 1)
		}
		if b.rejections != test.want {
			t.Errorf("%g times slower: count %d, want %d", test.times, b.rejections, test.want)
		}
	}
}

// A burst of first requests, as from clients of instances that are down, is not the candidate's doing, nor
// is anything while no endpoint runs it. Clients that repeat requests because it is slow are.
func TestFleetSlowdownIgnoresOtherCauses(t *testing.T) {
	for _, test := range []struct {
		name            string
		first, repeated int // requests in excess
		none, rejects   bool
		early           float64 // response time before an endpoint ran it; 0: no outcomes
	}{
		{"as many requests", 0, 0, false, true, 0},
		{"a burst", 400, 0, false, false, 0},
		{"clients that repeat requests", 0, 400, false, true, 0},
		{"no endpoint runs it", 0, 0, true, false, 0},
		{"slow before an endpoint ran it", 0, 0, false, false, 2},
		{"slow since endpoints run it", 0, 0, false, true, 1.1},
	} {
		sim := start(t, releasedUpdate(7), manyInstances)
		sim.balancer.trial.arrivalRate = 0.02
		overall := sim.balancer.classes.overall
		overall.baseline = stats.Groups{
			Before: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10),
		}
		sim.balancer.classes.overall.baselineLatency.Add(1, latencySamples)
		sim.handle(trialUpdate(0, 0.1))
		if test.none || test.early > 0 {
			sim.replaceEndpoints(newEndpoint("a1", 7), newEndpoint("b1", 7))
		}
		if test.early > 0 {
			for range groupSize / 4 {
				sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, test.early, 1)
			}
			sim.handle(EndpointsChanged{Kind: Delta, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		}
		for i := range test.first + test.repeated {
			sim.handle(RequestReceived{
				Request: RequestID(i + 1), Class: "read", TTL: 1000, Retried: i >= test.first,
			})
		}
		for range groupSize {
			sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, 3, 1)
		}
		if got := sim.balancer.classes.overall.slowdown.rejections > 0; got != test.rejects {
			t.Errorf("%s: rejected %v", test.name, got)
		}
	}
}

// Slowness of all endpoints must last: eight groups in a row show that, or one group that took 4 s or more
// to fill, as at an instance with little traffic.
func TestFleetSlowdownMustLast(t *testing.T) {
	for _, test := range []struct {
		name  string
		took  Millis
		slow  float64
		proof bool
	}{
		{"at once", 0, 3, false},
		{"in half a second", 500, 3, false},
		{"in four seconds", 4000, 3, true},
		{"in a minute", 60000, 3, true},
		{"in four seconds, a little slower", 4000, 1.3, false},
	} {
		sim := start(t, releasedUpdate(7), manyInstances)
		overall := sim.balancer.classes.overall
		overall.baseline = stats.Groups{
			Before: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10),
		}
		sim.balancer.classes.overall.baselineLatency.Add(1, latencySamples)
		sim.handle(trialUpdate(0, 0.1))
		for i := range groupSize {
			if i > 0 {
				sim.balancer.now += test.took / (groupSize - 1)
			}
			sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, test.slow, 1)
		}
		rejections := overall.slowdown.rejections
		if got := rejections >= slowdownGroups*overall.rejectionsNeeded; got != test.proof {
			t.Errorf("%s: %d rejections, proof %v", test.name, rejections, got)
		}
	}
}
