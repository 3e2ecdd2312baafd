package decision

import (
	"fmt"
	"ottershed/internal/stats"
	"slices"
	"testing"
)

// Hundreds of thin marshals: what each has seen is next to nothing, what they have seen together is proof.
func manyInstances(s *Settings) { s.Instances, s.AdvanceQuorum, s.RollbackQuorum = 300, 180, 24 }

// At a few hits a second, no marshal saw an outcome of a twelfth of the nodes in time: good builds stood in their first
// stage for 10 s and were taken off in the last one, unreleased (calm+mass, seeds 5, 11, 13, 15 and 16). Now one that has
// seen nothing votes on; one that has seen a failure, or times that lean, does not, and takes its vote back.
func TestVotesAtLowTraffic(t *testing.T) {
	slow, like := slices.Repeat([]float64{1.6}, 4), slices.Repeat([]float64{1.1}, 4)
	was := []float64{0.8, 1, 1, 1, 1.2}
	for _, test := range []struct {
		name                string
		stage               int
		good, bad           float64
		baseline, candidate []float64
		change              func(*Settings)
		want                Verdict
	}{
		{"nothing seen, first stage", 0, 0, 0, was, nil, manyInstances, VoteAdvance},
		{"one failure of three", 0, 2, 1, was, nil, manyInstances, VoteRollback}, // beside thirty of blue without one
		{"one failure of twelve", 0, 11, 1, was, nil, manyInstances, VoteNone},
		{"one failure of forty", 0, 39, 1, was, nil, manyInstances, VoteAdvance},
		{"no node within a gap of its power", 1, 3, 0, was, nil, manyInstances, VoteNone},
		{"times alike", 1, 4, 0, was, like, manyInstances, VoteAdvance},
		{"times that lean", 1, 4, 0, was, slow, manyInstances, VoteNone},
		{"one failure of thirty, by a handful", 0, 29, 1, was, nil, nil, VoteAdvance}, // reload on sockets, seed 980671525844
		{"times that lean, by a handful", 1, 30, 0, was, slices.Repeat([]float64{1.6}, 5), nil, VoteAdvance},
		{"nothing to set them against", 1, 4, 0, nil, slow, manyInstances, VoteAdvance},
	} {
		sim := start(t, trialUpdate(test.stage, 0.5), test.change)
		sim.balancer.endpoints.byID["a1"].outcomes[sim.balancer.classes.overall.index] = stats.Count{Good: 30}
		sim.balancer.endpoints.byID["a2"].outcomes[sim.balancer.classes.overall.index] = stats.Count{Good: test.good, Bad: test.bad}
		sim.balancer.classes.overall.baselineAtStageStart, sim.balancer.classes.overall.candidate.Fill = test.baseline, test.candidate
		sim.balancer.ballot.vote.Verdict = VoteAdvance // it stands already
		sim.balancer.now += blindVoteDelay
		if got := sim.balancer.verdict(); got.verdict != test.want {
			t.Errorf("%s: %v, %s", test.name, got.verdict, got.reason)
		}
	}
}

// A zone is lost while a good build stands in its last stage: the rest is crowded, so times lean at all marshals, and it was
// taken off unreleased (zone+mass, seed 5). There trouble of nodes voids what leans; where the vote would open more, it doesn't.
func TestSuspectsCandidateDuringFault(t *testing.T) {
	for _, test := range []struct {
		stage int
		fault bool
		want  Verdict
	}{{2, true, VoteAdvance}, {2, false, VoteNone}, {1, true, VoteNone}} {
		sim := start(t, trialUpdate(test.stage, 1), manyInstances)
		sim.balancer.classes.overall.baselineAtStageStart, sim.balancer.classes.overall.candidate.Fill = slices.Repeat([]float64{1}, 5), slices.Repeat([]float64{3}, 5)
		if sim.balancer.now += blindVoteDelay; test.fault {
			sim.balancer.outliers.lastFaultAt = sim.balancer.now - 1
		}
		if got := sim.balancer.verdict(); got.verdict != test.want {
			t.Errorf("%+v: %v, %s", test, got.verdict, got.reason)
		}
	}
}

// What was seen of the earlier build is kept over a change of stage, for where it is gone none comes any more.
func TestOutcomesKeptOverStages(t *testing.T) {
	sim := start(t, trialUpdate(0, 0.1), manyInstances)
	sim.balancer.classes.overall.baseline.Fill = []float64{1, 2, 3, 4, 5}
	sim.handle(trialUpdate(1, 0.5))
	sim.balancer.classes.overall.baseline.Fill = []float64{9}
	sim.handle(trialUpdate(2, 1))
	if want := []float64{1, 2, 3, 4, 5}; !slices.Equal(sim.balancer.classes.overall.baselineAtStageStart, want) || sim.balancer.classes.overall.baseline.Last != nil {
		t.Errorf("kept %v, group %v", sim.balancer.classes.overall.baselineAtStageStart, sim.balancer.classes.overall.baseline.Last)
	}
}

// A thin marshal has one outcome of most nodes. The worst quarter of nodes, left out as trouble of their own, was every
// failure that it had seen: on calm+mass, seed 635166458347, 250 of 312 marshals saw build 163 fail and 16 voted it back.
func TestFailuresAcrossInstances(t *testing.T) {
	for _, test := range []struct {
		bad  [8]float64 // outcomes of the trial's nodes that failed
		each float64    // outcomes of each
		back bool
	}{
		{[8]float64{1, 1, 1}, 1, true},
		{[8]float64{1}, 1, false},
		{[8]float64{20}, 20, false}, // one that fails by itself
		{[8]float64{6, 7, 6, 8, 6, 7, 6, 7}, 20, true},
	} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.Instances, s.RollbackQuorum = 20, 2 })
		endpoints := []Endpoint{newEndpoint("b9", 7)}
		for i := range test.bad {
			endpoints = append(endpoints, newEndpoint(EndpointID(fmt.Sprint("a", i)), 8))
		}
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: endpoints})
		sim.balancer.endpoints.byID["b9"].outcomes[sim.balancer.classes.overall.index].Good = 20
		for i, bad := range test.bad {
			sim.balancer.endpoints.byID[endpoints[i+1].ID].outcomes[sim.balancer.classes.overall.index] = stats.Count{Good: test.each - bad, Bad: bad}
		}
		if found := sim.balancer.failureEvidence(); (found.strength >= 1) != test.back {
			t.Errorf("%v of %v: statistic %v", test.bad, test.each, found.strength)
		}
	}
}

// After seven in ten marshals died, their clients slowed all nodes; 31 marshals held the next build for the cause, some
// before one of its nodes ran (herd+mass, seed 687961939904). A burst of first tries is not the build's doing, nor is
// anything while no node runs it; clients that come again because it is slow are.
func TestAllSlowerByLoad(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, again  int // hits more than before
		none, rejects bool
		early         float64 // times before a node ran it; 0: none were seen
	}{
		{"as many hits", 0, 0, false, true, 0},
		{"a burst", 400, 0, false, false, 0},
		{"clients that come again", 0, 400, false, true, 0},
		{"no node runs it", 0, 0, true, false, 0},
		{"slow before a node ran it", 0, 0, false, false, 2},
		{"slow since nodes run it", 0, 0, false, true, 1.1},
	} {
		sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, manyInstances)
		sim.balancer.trial.arrivalRate = 0.02
		sim.balancer.classes.overall.baseline = stats.Groups{Before: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10)}
		sim.balancer.classes.overall.baselineLatency.Add(1, latencySamples)
		sim.handle(trialUpdate(0, 0.1))
		if test.none || test.early > 0 {
			sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7)}})
		}
		if test.early > 0 {
			for range groupSize / 4 {
				sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, test.early, 1)
			}
			sim.handle(EndpointsChanged{Kind: Delta, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		}
		for i := range test.first + test.again {
			sim.handle(RequestReceived{Request: RequestID(i + 1), Class: "read", TTL: 1000, Retried: i >= test.first})
		}
		for range groupSize {
			sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, 3, 1)
		}
		if got := sim.balancer.classes.overall.slowdown.rejections > 0; got != test.rejects {
			t.Errorf("%s: rejected %v", test.name, got)
		}
	}
}

// Where target latencies are long, votes were looked at so seldom that each stage of a good build stood for up to a quarter
// of the longest one more: on calm+mass at 30 instances, targets of 7 to 9 s, five of eleven good builds were taken off
// unreleased as the next one came. The vote comes soon after the wait is over.
func TestVoteSoonAfterWait(t *testing.T) {
	sim := start(t, StageUpdate{}, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyObjective = 7000
		}
	})
	began := sim.now
	sim.handle(trialUpdate(0, 0.1))
	for _, id := range []EndpointID{"a1", "a2"} {
		sim.balancer.endpoints.byID[id].outcomes[sim.balancer.classes.overall.index] = stats.Count{Good: 30}
	}
	for sim.votes() == "" && sim.now < began+10*blindVoteDelay {
		sim.advance(sim.balancer.tickInterval)
	}
	if took := sim.now - began; sim.votes() != "1" || took < blindVoteDelay || took > blindVoteDelay+2*sim.balancer.tickInterval {
		t.Errorf("votes %q after %v ms, a look around every %v", sim.votes(), took, sim.balancer.tickInterval)
	}
}

// That all nodes are slower must last: eight groups in a row show it, or one that a marshal with few hits took 4 s or more
// to fill. Counted by groups alone, such a marshal found a build that slows all nodes out after half a minute (calm+mass at
// 30 instances, seed 8110: 12 s at all nodes, and released before).
func TestAllSlowerCountsTime(t *testing.T) {
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
		sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, manyInstances)
		sim.balancer.classes.overall.baseline = stats.Groups{Before: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10)}
		sim.balancer.classes.overall.baselineLatency.Add(1, latencySamples)
		sim.handle(trialUpdate(0, 0.1))
		for i := range groupSize {
			if i > 0 {
				sim.balancer.now += test.took / (groupSize - 1)
			}
			sim.balancer.compareBeforeTrial(sim.balancer.classes.overall.slowdown, test.slow, 1)
		}
		if got := sim.balancer.classes.overall.slowdown.rejections >= slowdownGroups*sim.balancer.classes.overall.rejectionsNeeded; got != test.proof {
			t.Errorf("%s: %d rejections, proof %v", test.name, sim.balancer.classes.overall.slowdown.rejections, got)
		}
	}
}
