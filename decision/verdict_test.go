package decision

import (
	"slices"
	"testing"

	"ottershed/internal/stats"
)

// A vote without full groups that opens the whole fleet requires outcomes of warm endpoints, because warming endpoints
// hide a slow build.
func TestAdvanceWithoutGroupsNeedsWarmOutcomes(t *testing.T) {
	for _, test := range []struct {
		stage, outcomes, warm int
		want                  Verdict
	}{
		{0, 5, 0, VoteAdvance},
		{0, 1, 0, VoteNone},
		{1, 6, 0, VoteNone},
		{1, 6, 11, VoteAdvance},
		{2, 30, 9, VoteNone},
	} {
		sim := start(t, trialUpdate(test.stage, 0.5), func(s *Settings) { s.Instances = 3 })
		overall := sim.balancer.classes.overall
		sim.balancer.endpoints.byID["a2"].outcomes[overall.index].Successes = float64(test.outcomes)
		overall.candidate.Partial = make([]float64, test.warm)
		sim.balancer.now += noGroupsVoteDelay
		if got := sim.balancer.decideVerdict(); got.verdict != test.want {
			t.Errorf("%+v: got verdict %v (%s), want %v", test, got.verdict, got.reason, test.want)
		}
	}
}

// A slowdown of all endpoints rolls a build back during its trial and for some time after its release, but not later.
func TestFleetSlowdownRollsBack(t *testing.T) {
	for _, test := range []struct {
		phase Phase
		age   Millis
		want  Verdict
	}{{InTrial, 60000, VoteRollback}, {Released, 5000, VoteRollback}, {Released, 60000, VoteNone}} {
		sim := start(t, StageUpdate{Build: 8, Phase: test.phase, Stage: 2, ExposureCap: 1, Age: test.age}, nil)
		sim.balancer.classes.overall.slowdown.rejections = 8 * rejectionsToRollback
		if got := sim.balancer.decideVerdict(); got.verdict != test.want {
			t.Errorf("%+v: got verdict %v (%s), want %v", test, got.verdict, got.reason, test.want)
		}
	}
}

// The loss of endpoints overloads the others. So slowness rolls no build back within a slow start window after the last
// fault, nor while an endpoint is unreachable repeatedly: an instance with little traffic rarely tries it, so the
// fault may be older than the window.
func TestSlownessDuringFaultIsNoEvidence(t *testing.T) {
	for _, test := range []struct {
		faultAge Millis
		failures int // consecutive connection failures
		ticked   bool
		want     Verdict
	}{
		{0, 1, false, VoteNone},
		{3900, 1, false, VoteNone},
		{4000, 1, true, VoteRollback},
		{9000, 2, true, VoteNone},
	} {
		sim := start(t, trialUpdate(1, 0.5), nil)
		sim.balancer.classes.ordered[0].rejections = rejectionsToRollback
		for range test.failures {
			unreachable := sim.balancer.endpoints.byID["b1"]
			sim.balancer.observeEndpoint(unreachable, AttemptEnded{Outcome: Unreachable, After: 250})
			unreachable.ejectedUntil = 0
		}
		if sim.balancer.now += test.faultAge; test.ticked {
			sim.balancer.tick()
		}
		if got := sim.balancer.decideVerdict(); got.verdict != test.want {
			t.Errorf("%+v: got verdict %v (%s), want %v", test, got.verdict, got.reason, test.want)
		}
	}
}

// A single ejection of a silent endpoint is no fault that explains slowness, because a candidate that slows all
// endpoints causes such silence too.
func TestOneSilentEndpointIsNoFault(t *testing.T) {
	sim := start(t, trialUpdate(1, 0.5), nil)
	sim.balancer.classes.ordered[0].rejections = rejectionsToRollback
	endpoint := sim.balancer.endpoints.byID["b1"]
	endpoint.inFlight, endpoint.lastResponseAt = 1, sim.now-10000
	sim.balancer.tick()
	if got := sim.balancer.decideVerdict(); endpoint.ejections != 1 || got.verdict != VoteRollback {
		t.Errorf("got %d ejections and verdict %v, %s, want 1 and VoteRollback", endpoint.ejections, got.verdict, got.reason)
	}
}

// While most of the capacity is warming up, as in the last stage of an in-place rollout, slowness rolls no build back,
// because the few warm endpoints are overloaded. Once the endpoints are warm, it does.
func TestSlownessDuringWarmUpIsNoEvidence(t *testing.T) {
	for _, test := range []struct {
		age  Millis // of the candidate's endpoints
		want Verdict
	}{{500, VoteNone}, {2000, VoteNone}, {3500, VoteRollback}, {9000, VoteRollback}} {
		sim := start(t, trialUpdate(2, 1), nil)
		for _, id := range []EndpointID{"a1", "b1"} { // the baseline is draining
			sim.balancer.endpoints.byID[id].State = Draining
		}
		for _, id := range []EndpointID{"a2", "b2"} {
			sim.balancer.endpoints.byID[id].warmingSince = sim.balancer.now - test.age
		}
		sim.balancer.classes.ordered[0].rejections = rejectionsToRollback
		sim.balancer.tick()
		if sim.balancer.now += 4500; test.age < 9000 {
			for _, id := range []EndpointID{"a2", "b2"} {
				sim.balancer.endpoints.byID[id].warmingSince = sim.balancer.now - test.age
			}
		}
		sim.balancer.tick()
		if got := sim.balancer.decideVerdict(); got.verdict != test.want {
			t.Errorf("%+v: got verdict %v (%s), want %v", test, got.verdict, got.reason, test.want)
		}
	}
}

// An instance with little traffic has almost no outcomes of its own, while all instances together have sufficient
// evidence. An instance without outcomes votes to advance. An instance that has seen a failure, or response times that
// are mostly slower, does not, and withdraws its vote.
func TestVotesAtLowTraffic(t *testing.T) {
	slow, equal := slices.Repeat([]float64{1.6}, 4), slices.Repeat([]float64{1.1}, 4)
	before := []float64{0.8, 1, 1, 1, 1.2}
	for _, test := range []struct {
		name                string
		stage               int
		good, bad           float64
		baseline, candidate []float64
		change              func(*Settings)
		want                Verdict
	}{
		{"no outcomes, first stage", 0, 0, 0, before, nil, manyInstances, VoteAdvance},
		{"one failure of three", 0, 2, 1, before, nil, manyInstances, VoteRollback}, // no failure at the baseline
		{"one failure of twelve", 0, 11, 1, before, nil, manyInstances, VoteNone},
		{"one failure of forty", 0, 39, 1, before, nil, manyInstances, VoteAdvance},
		{"too few outcomes", 1, 3, 0, before, nil, manyInstances, VoteNone},
		{"equal times", 1, 4, 0, before, equal, manyInstances, VoteAdvance},
		{"slower times", 1, 4, 0, before, slow, manyInstances, VoteNone},
		{"one failure of thirty, few instances", 0, 29, 1, before, nil, nil, VoteAdvance},
		{"slower times, few instances", 1, 30, 0, before, slices.Repeat([]float64{1.6}, 5), nil, VoteAdvance},
		{"no baseline", 1, 4, 0, nil, slow, manyInstances, VoteAdvance},
	} {
		sim := start(t, trialUpdate(test.stage, 0.5), test.change)
		overall := sim.balancer.classes.overall
		sim.balancer.endpoints.byID["a1"].outcomes[overall.index] = stats.Count{Successes: 30}
		sim.balancer.endpoints.byID["a2"].outcomes[overall.index] = stats.Count{Successes: test.good, Failures: test.bad}
		overall.baselineAtStageStart = test.baseline
		overall.candidate.Partial = test.candidate
		sim.balancer.voting.vote.Verdict = VoteAdvance // cast earlier
		sim.balancer.now += noGroupsVoteDelay
		if got := sim.balancer.decideVerdict(); got.verdict != test.want {
			t.Errorf("%s: got verdict %v, %s, want %v", test.name, got.verdict, got.reason, test.want)
		}
	}
}

// In the last stage, response times during a fault do not raise suspicion against the candidate, because the remaining
// endpoints are overloaded. In earlier stages they do, because the vote would raise the exposure.
func TestFaultVoidsSuspicionInLastStage(t *testing.T) {
	for _, test := range []struct {
		stage int
		fault bool
		want  Verdict
	}{{2, true, VoteAdvance}, {2, false, VoteNone}, {1, true, VoteNone}} {
		sim := start(t, trialUpdate(test.stage, 1), manyInstances)
		overall := sim.balancer.classes.overall
		overall.baselineAtStageStart = slices.Repeat([]float64{1}, 5)
		overall.candidate.Partial = slices.Repeat([]float64{3}, 5)
		sim.balancer.now += noGroupsVoteDelay
		if test.fault {
			sim.balancer.outliers.lastFaultAt = sim.balancer.now - 1
		}
		if got := sim.balancer.decideVerdict(); got.verdict != test.want {
			t.Errorf("%+v: got verdict %v (%s), want %v", test, got.verdict, got.reason, test.want)
		}
	}
}
