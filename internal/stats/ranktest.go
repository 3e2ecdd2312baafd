package stats

import (
	"math"
	"slices"
)

// KruskalWallis returns the statistic of the Kruskal-Wallis rank test for two groups. Tied values have their mean rank.
// The statistic is 0 if all values are equal or there are none.
func KruskalWallis(a, b []float64) float64 {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	meanRank := float64(len(all)+1) / 2
	var between, within float64
	for _, group := range [][]float64{a, b} {
		deviationSum := 0.0
		for _, v := range group {
			low, _ := slices.BinarySearch(all, v)
			high := low
			for high < len(all) && all[high] == v {
				high++
			}
			// The values equal to v have the ranks low+1 to high, whose mean is (low+high+1)/2.
			deviation := float64(low+high+1)/2 - meanRank
			deviationSum += deviation
			within += deviation * deviation
		}
		if len(group) > 0 {
			between += deviationSum * deviationSum / float64(len(group))
		}
	}
	if within == 0 {
		return 0
	}
	return float64(len(all)-1) * between / within
}

// KruskalWallisCounts returns the statistic of KruskalWallis for outcomes that are either successes or failures. It is
// 0 if one of the groups is empty, or if all outcomes of both groups are successes or all are failures.
func KruskalWallisCounts(a, b Count) float64 {
	if a.Total() == 0 || b.Total() == 0 || a.Successes+b.Successes == 0 || a.Failures+b.Failures == 0 {
		return 0
	}
	d := a.Failures*b.Successes - b.Failures*a.Successes
	return (a.Total() + b.Total() - 1) * d * d / (a.Total() * b.Total() * (a.Successes + b.Successes) * (a.Failures + b.Failures))
}

// CriticalValue returns the critical value of KruskalWallis and KruskalWallisCounts: the value that they exceed with
// the given probability, from 0 to 1, if the groups do not differ. It is a quantile of the chi-squared distribution
// with one degree of freedom.
func CriticalValue(probability float64) float64 {
	z := math.Erfcinv(probability)
	return 2 * z * z
}
