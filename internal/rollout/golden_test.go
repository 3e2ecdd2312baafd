package rollout

import (
	"ottershed/decision"
	"ottershed/internal/golden"
	"testing"
)

// A vote goes to the release desk with the fences that it was cast under.
func TestVoteOnTheWire(t *testing.T) {
	fences := []Fence{{Lease: "trial/a", Token: 11}, {Lease: "trial/c", Token: 9}}
	golden.Filled(t, "fences", fences)
	golden.Compare(t, "vote.json", encodeVote(5, decision.Vote{Build: 8, Stage: 2, Verdict: decision.VoteRollback}, fences))
}
