package decision

import (
	"strings"
	"testing"
)

// Evidence that another instance acquires counts there as if observed there, once. An instance whose
// evidence was acquired starts without any.
func TestAcquiredEvidenceCountsAsOwn(t *testing.T) {
	slow := func(i int) (Outcome, Millis) { return Succeeded, Millis(50 + i*7%13) }
	fails := func(i int) (Outcome, Millis) {
		if i%3 == 0 {
			return EndpointFailed, 5
		}
		return Succeeded, Millis(20 + i*7%13)
	}
	for name, candidate := range map[string]func(int) (Outcome, Millis){"slow": slow, "failing": fails} {
		dead := startWithOutcomes(t, nil, candidate)
		evidence, found := dead.balancer.Evidence()
		if !found || evidence.Build != 8 || evidence.Stage != 1 {
			t.Fatalf("%s: %+v", name, evidence)
		}
		successor := startWithOutcomes(t, nil, nil)
		for _, test := range []struct {
			why    string
			change func(*Evidence)
			want   bool
		}{{"of another build", func(e *Evidence) { e.Build++ }, false}, {"as it was", func(*Evidence) {}, true}} {
			other := evidence
			test.change(&other)
			successor.handle(EvidenceAcquired{other})
			successor.advance(successor.balancer.settings.VoteTTL)
			if back := strings.Contains(successor.votes(), "3"); back != test.want {
				t.Errorf("%s, %s: votes %q", name, test.why, successor.votes())
			}
		}
		dead.handle(EvidenceRevoked{})
		evidence, _ = dead.balancer.Evidence()
		vote := dead.balancer.voting.vote
		if len(evidence.Counts) > 0 || len(evidence.Classes[0].Candidate) > 0 || vote.Verdict != VoteNone {
			t.Errorf("%s: revoked, it still has %+v", name, evidence)
		}
	}
	sim := start(t, releasedUpdate(8), nil)
	if _, found := sim.balancer.Evidence(); found {
		t.Error("evidence of a build that is released")
	}
}
