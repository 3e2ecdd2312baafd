package stats

import (
	"math"
	"testing"
)

// The statistics are those of the literature: of two groups, with ties, and over counts.
func TestKruskalWallis(t *testing.T) {
	inf := math.Inf(1)
	for _, c := range []struct {
		a, b []float64
		want float64
	}{
		{[]float64{1, 2, 3}, []float64{4, 5, 6}, 27.0 / 7},
		{[]float64{1, 2}, []float64{1, 2}, 0},
		{[]float64{5, 5}, []float64{5}, 0},
		{[]float64{1, 1, 2}, []float64{2, 3, inf}, 5 * (2 * 16.0 / 3) / 16.5},
		{[]float64{0, 0, inf, inf}, []float64{0, 0, 0, inf}, 7.0 / 15},
		{nil, []float64{1, 2}, 0},
	} {
		if got := KruskalWallis(c.a, c.b); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%v %v: %v, want %v", c.a, c.b, got, c.want)
		}
	}
	// Counts are the same test on two values.
	if got := KruskalWallisCounts(Count{2, 2}, Count{3, 1}); math.Abs(got-7.0/15) > 1e-9 {
		t.Errorf("counts: %v", got)
	}
}

// Draws are uniform, and each is independent of those before it.
func TestRandom(t *testing.T) {
	c, sum, pairs := Random{Seed: 3}, 0.0, 0.0
	for range 4000 {
		a, b := c.Next(), c.Next()
		sum += a + b
		pairs += (a - 0.5) * (b - 0.5)
	}
	if math.Abs(sum/8000-0.5) > 0.02 || math.Abs(pairs/4000) > 0.01 {
		t.Errorf("mean %v, neighbours %v", sum/8000, pairs/4000)
	}
	// Over many instances too a draw does not predict the next ones.
	for gap := range 9 {
		alike := 0
		for seed := range 2000 {
			c := Random{Seed: uint64(seed+1) * 0x9e3779b97f4a7c15, drawn: 70}
			a, b := c.Next(), c.Next()
			for range gap {
				b = c.Next()
			}
			if (a < 0.5) == (b < 0.5) {
				alike++
			}
		}
		if alike < 800 || alike > 1200 {
			t.Errorf("draw %d after another: %d of 2000 in the same half", gap+1, alike)
		}
	}
}
