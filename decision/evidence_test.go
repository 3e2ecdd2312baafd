package decision

import (
	"strings"
	"testing"
)

// Evidence that an instance acquires counts as its own outcomes do. An instance whose evidence was acquired by another
// one discards it, so that the outcomes do not count twice.
func TestAcquiredEvidenceCountsAsOwn(t *testing.T) {
	slow := func(i int) (Outcome, Millis) { return Succeeded, Millis(50 + i*7%13) }
	fails := func(i int) (Outcome, Millis) {
		if i%3 == 0 {
			return EndpointFailed, 5
		}
		return Succeeded, Millis(20 + i*7%13)
	}
	for name, candidate := range map[string]func(int) (Outcome, Millis){"slow": slow, "failing": fails} {
		terminated := startWithOutcomes(t, nil, candidate)
		evidence, found := terminated.balancer.Evidence()
		if !found || evidence.Build != 8 || evidence.Stage != 1 {
			t.Fatalf("%s: got evidence %+v, want some for build 8, stage 1", name, evidence)
		}
		successor := startWithOutcomes(t, nil, nil)
		for _, test := range []struct {
			name   string
			change func(*Evidence)
			want   bool // a vote to roll back
		}{{"for another build", func(e *Evidence) { e.Build++ }, false}, {"as recorded", func(*Evidence) {}, true}} {
			other := evidence
			test.change(&other)
			successor.handle(EvidenceAdded{other})
			successor.advance(successor.balancer.settings.VoteTTL)
			if rollback := strings.Contains(successor.votes(), "3"); rollback != test.want {
				t.Errorf("%s, %s: got votes %q, want a vote to roll back: %v", name, test.name, successor.votes(), test.want)
			}
		}
		terminated.handle(EvidenceRevoked{})
		evidence, _ = terminated.balancer.Evidence()
		vote := terminated.balancer.voting.vote
		if len(evidence.Counts) > 0 || len(evidence.Classes[0].Candidate) > 0 || vote.Verdict != VoteNone {
			t.Errorf("%s: after revocation, got evidence %+v and vote %+v, want none", name, evidence, vote)
		}
	}
	sim := start(t, releasedUpdate(8), nil)
	if _, found := sim.balancer.Evidence(); found {
		t.Error("got evidence on a released build, want none")
	}
}
