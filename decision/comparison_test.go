package decision

import (
	"math"
	"testing"

	"ottershed/internal/stats"
)

// A single group that was fast by chance does not make a build look slow.
func TestSlowerNeedsBothBaselineGroups(t *testing.T) {
	twenty := func(v float64) (out []float64) {
		for i := range groupSize {
			out = append(out, v+float64(i)/100)
		}
		return out
	}
	for _, test := range []struct {
		older, baseline, got float64
		want                 bool
	}{
		{1, 1, 2, true},
		{2, 1, 2, false},
		{1, 2, 2, false},
		{1, 1, 1.1, false},
		{1, 1, 0.5, false},
		{1, 1, math.Inf(1), false},
	} { // failures are counted by endpoint
		g := &comparison{baseline: stats.Groups{Before: twenty(test.older), Last: twenty(test.baseline)}}
		if got := g.slower(twenty(test.got), 1); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
	if g := (&comparison{baseline: stats.Groups{Last: twenty(1)}}); g.slower(twenty(2), 1) {
		t.Error("slower than a single group")
	}
}
