package decision

import (
	"slices"
	"testing"
)

// Outcomes of the baseline are kept over a change of stage: where all its endpoints are replaced, no new
// ones come.
func TestBaselineOutcomesKeptAcrossStages(t *testing.T) {
	sim := start(t, trialUpdate(0, 0.1), manyInstances)
	sim.balancer.classes.overall.baseline.Fill = []float64{1, 2, 3, 4, 5}
	sim.handle(trialUpdate(1, 0.5))
	sim.balancer.classes.overall.baseline.Fill = []float64{9}
	sim.handle(trialUpdate(2, 1))
	want := []float64{1, 2, 3, 4, 5}
	overall := sim.balancer.classes.overall
	if !slices.Equal(overall.baselineAtStageStart, want) || overall.baseline.Last != nil {
		t.Errorf("kept %v, group %v", overall.baselineAtStageStart, overall.baseline.Last)
	}
}
