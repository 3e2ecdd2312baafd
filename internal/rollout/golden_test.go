package rollout

import (
	"testing"

	"ottershed/decision"
	"ottershed/internal/golden"
)

// A vote goes to the release desk with the fences that it was cast under.
func TestVoteOnTheWire(t *testing.T) {
	fences := []Fence{{Work: "trial/a", Token: 11}, {Work: "trial/c", Token: 9}}
	golden.Filled(t, "fences", fences)
	golden.Compare(t, "vote.json", encodeVote(5, decision.Vote{Build: 8, Stage: 2, Verdict: decision.VoteBack}, fences))
}
