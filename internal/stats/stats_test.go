package stats

import (
	"math"
	"testing"
)

// The statistics have the values of the formulas in the literature: for two groups, with ties, and over counts.
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
			t.Errorf("KruskalWallis(%v, %v) = %v, want %v", c.a, c.b, got, c.want)
		}
	}
	// Counts are groups that hold only two values.
	if got := KruskalWallisCounts(Count{2, 2}, Count{3, 1}); math.Abs(got-7.0/15) > 1e-9 {
		t.Errorf("KruskalWallisCounts: got %v, want 7/15", got)
	}
}

// Random numbers are uniform, and each is independent of the earlier ones.
func TestRandomIsUniformAndIndependent(t *testing.T) {
	random, sum, pairs := Random{Seed: 3}, 0.0, 0.0
	for range 4000 {
		a, b := random.Float64(), random.Float64()
		sum += a + b
		pairs += (a - 0.5) * (b - 0.5)
	}
	if math.Abs(sum/8000-0.5) > 0.02 || math.Abs(pairs/4000) > 0.01 {
		t.Errorf("Random: got mean %v, covariance of consecutive numbers %v; want 0.5 and 0", sum/8000, pairs/4000)
	}
	// Over the seeds of many instances, a number does not predict the following ones either.
	for gap := range 9 {
		sameHalf := 0
		for seed := range 2000 {
			random := Random{Seed: uint64(seed+1) * 0x9e3779b97f4a7c15, counter: 70}
			a, b := random.Float64(), random.Float64()
			for range gap {
				b = random.Float64()
			}
			if (a < 0.5) == (b < 0.5) {
				sameHalf++
			}
		}
		if sameHalf < 800 || sameHalf > 1200 {
			t.Errorf("numbers %d apart: %d of 2000 seeds have both in the same half, want 800 to 1200", gap+1, sameHalf)
		}
	}
}
