package stats

import (
	"math"
	"slices"
)

// KruskalWallis is the statistic of the Kruskal-Wallis rank test for two groups, ties at their middle rank. It is 0
// if no rank differs.
func KruskalWallis(a, b []float64) float64 {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	mid := float64(len(all)+1) / 2
	var between, within float64
	for _, group := range [][]float64{a, b} {
		sum := 0.0
		for _, v := range group {
			low, _ := slices.BinarySearch(all, v)
			high := low
			for high < len(all) && all[high] == v {
				high++
			}
			deviation := float64(low+high+1)/2 - mid // of the middle rank
			sum += deviation
			within += deviation * deviation
		}
		if len(group) > 0 {
			between += sum * sum / float64(len(group))
		}
	}
	if within == 0 {
		return 0
	}
	return float64(len(all)-1) * between / within
}

// KruskalWallisCounts is the same statistic over outcomes that are only good or bad. It is 0 if either group or
// either outcome is missing.
func KruskalWallisCounts(a, b Count) float64 {
	if a.Total() == 0 || b.Total() == 0 || a.Good+b.Good == 0 || a.Bad+b.Bad == 0 {
		return 0
	}
	d := a.Bad*b.Good - b.Bad*a.Good
	return (a.Total() + b.Total() - 1) * d * d / (a.Total() * b.Total() * (a.Good + b.Good) * (a.Bad + b.Bad))
}

// ExceededBy is the value that either statistic exceeds with this probability if there is no difference: the quantile
// of the chi-squared distribution with one degree of freedom.
func ExceededBy(chance float64) float64 {
	z := math.Erfcinv(chance)
	return 2 * z * z
}
