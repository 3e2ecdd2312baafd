package decision

import (
	"strings"
	"testing"

	"ottershed/internal/stats"
)

// Votes follow from the outcomes of both builds, the way of control and the operators' halt.
func TestVotesFollowOutcomes(t *testing.T) {
	equal := func(i int) (Outcome, Millis) { return Succeeded, Millis(20 + i*7%13) }
	slow := func(i int) (Outcome, Millis) { return Succeeded, Millis(50 + i*7%13) }
	faster := func(i int) (Outcome, Millis) { return Succeeded, Millis(10 + i*7%13) }
	fails := func(i int) (Outcome, Millis) {
		if i%3 == 0 {
			return EndpointFailed, 5
		}
		return equal(i)
	}
	clock := func(s *Settings) { s.Control = ByClock }
	halt := func(s *Settings) { s.Halt = true }
	haltClock := func(s *Settings) { s.Control, s.Halt = ByClock, true }
	for _, test := range []struct {
		name      string
		change    func(*Settings)
		candidate func(int) (Outcome, Millis)
		// want and unwanted are the verdicts that the votes include, and those that they do not.
		want, unwanted string
	}{
		{"alike", nil, equal, "1", "3"},
		{"faster", nil, faster, "1", "3"},
		{"slower", nil, slow, "3", ""},
		{"failing", nil, fails, "3", ""},
		{"alike under a clock", clock, equal, "", "123"},
		{"slower under a clock", clock, slow, "3", "1"},
		{"alike, halted", halt, equal, "", "123"},
		{"slower, halted", halt, slow, "3", "1"},
		{"alike under a clock, halted", haltClock, equal, "2", "13"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := startWithOutcomes(t, test.change, test.candidate).votes()
			if !strings.Contains(got, test.want) || test.unwanted != "" && strings.ContainsAny(got, test.unwanted) {
				t.Errorf("got votes %q, want %q and none of %q", got, test.want, test.unwanted)
			}
		})
	}
}

// A vote without full groups is cast soon after noGroupsVoteDelay, also with long latency objectives.
func TestVoteSoonAfterWait(t *testing.T) {
	sim := start(t, StageUpdate{}, func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].LatencyObjective = 7000
		}
	})
	startedAt := sim.now
	sim.handle(trialUpdate(0, 0.1))
	for _, id := range []EndpointID{"a1", "a2"} {
		sim.balancer.endpoints.byID[id].outcomes[sim.balancer.classes.overall.index] = stats.Count{Successes: 30}
	}
	for sim.votes() == "" && sim.now < startedAt+10*noGroupsVoteDelay {
		sim.advance(sim.balancer.tickInterval)
	}
	elapsed := sim.now - startedAt
	if sim.votes() != "1" || elapsed < noGroupsVoteDelay || elapsed > noGroupsVoteDelay+2*sim.balancer.tickInterval {
		t.Errorf("got votes %q after %v ms with ticks of %v ms, want 1 within two ticks after the delay", sim.votes(),
			elapsed, sim.balancer.tickInterval)
	}
}
