package decision

import (
	"math"
	"testing"

	"ottershed/internal/stats"
)

// Outcomes are slower only if they are slower than both baseline groups: a single baseline group may be fast by chance.
func TestSlowerNeedsBothBaselineGroups(t *testing.T) {
	fullGroup := func(v float64) (out []float64) {
		for i := range groupSize {
			out = append(out, v+float64(i)/100)
		}
		return out
	}
	for _, test := range []struct {
		previous, last, candidate float64 // lowest value of both baseline groups and of the candidate's group
		want                      bool
	}{
		{1, 1, 2, true},
		{2, 1, 2, false},
		{1, 2, 2, false},
		{1, 1, 1.1, false},
		{1, 1, 0.5, false},
		{1, 1, math.Inf(1), false}, // a group whose median is a failure is not slower
	} {
		groups := &comparison{baseline: stats.Groups{Previous: fullGroup(test.previous), Last: fullGroup(test.last)}}
		if got := groups.slower(fullGroup(test.candidate), 1); got != test.want {
			t.Errorf("%+v: got outcomes reported as slower: %v, want %v", test, got, test.want)
		}
	}
	if groups := (&comparison{baseline: stats.Groups{Last: fullGroup(1)}}); groups.slower(fullGroup(2), 1) {
		t.Error("with a single baseline group: got slower, want not slower")
	}
}
