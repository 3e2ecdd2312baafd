package decision

import (
	"strings"
	"testing"

	"ottershed/internal/stats"
)

// Votes follow from the outcomes of both builds.
func TestVotesFollowOutcomes(t *testing.T) {
	like := func(i int) (Outcome, Millis) { return Succeeded, Millis(20 + i*7%13) }
	slow := func(i int) (Outcome, Millis) { return Succeeded, Millis(50 + i*7%13) }
	faster := func(i int) (Outcome, Millis) { return Succeeded, Millis(10 + i*7%13) }
	fails := func(i int) (Outcome, Millis) {
		if i%3 == 0 {
			return EndpointFailed, 5
		}
		return like(i)
	}
	clock := func(s *Settings) { s.Control = ByClock }
	halt := func(s *Settings) { s.Halt = true }
	haltClock := func(s *Settings) { s.Control, s.Halt = ByClock, true }
	for _, test := range []struct {
		name      string
		change    func(*Settings)
		candidate func(int) (Outcome, Millis)
		has, not  string
	}{
		{"alike", nil, like, "1", "3"},
		{"faster", nil, faster, "1", "3"},
		{"slower", nil, slow, "3", ""},
		{"failing", nil, fails, "3", ""},
		{"alike under a clock", clock, like, "", "123"},
		{"slower under a clock", clock, slow, "3", "1"},
		{"alike, halted", halt, like, "", "123"},
		{"slower, halted", halt, slow, "3", "1"},
		{"alike under a clock, halted", haltClock, like, "2", "13"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := startWithOutcomes(t, test.change, test.candidate).votes()
			if !strings.Contains(got, test.has) || test.not != "" && strings.ContainsAny(got, test.not) {
				t.Errorf("votes %q, want %q and none of %q", got, test.has, test.not)
			}
		})
	}
}

// With long latency objectives too, a vote is cast soon after the wait is over.
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
	for sim.votes() == "" && sim.now < began+10*noGroupsVoteDelay {
		sim.advance(sim.balancer.tickInterval)
	}
	took := sim.now - began
	if sim.votes() != "1" || took < noGroupsVoteDelay || took > noGroupsVoteDelay+2*sim.balancer.tickInterval {
		t.Errorf("votes %q after %v ms, a tick every %v", sim.votes(), took, sim.balancer.tickInterval)
	}
}
