package decision

import (
	"slices"
	"testing"
)

// The baseline's outcomes are kept across a change of stage. Once all baseline endpoints are replaced there are no new
// ones, and votes without full groups would have nothing to compare with.
func TestBaselineOutcomesKeptAcrossStages(t *testing.T) {
	sim := start(t, trialUpdate(0, 0.1), manyInstances)
	sim.balancer.classes.overall.baseline.Partial = []float64{1, 2, 3, 4, 5}
	sim.handle(trialUpdate(1, 0.5))
	sim.balancer.classes.overall.baseline.Partial = []float64{9}
	sim.handle(trialUpdate(2, 1))
	want := []float64{1, 2, 3, 4, 5}
	overall := sim.balancer.classes.overall
	if !slices.Equal(overall.baselineAtStageStart, want) || overall.baseline.Last != nil {
		t.Errorf("got outcomes %v and group %v, want those of the first stage and no group",
			overall.baselineAtStageStart, overall.baseline.Last)
	}
}
