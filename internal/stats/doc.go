// Package stats provides the statistics and random numbers of the decision module, the failure detector and the testbed.
// It makes no decisions and has no tuned values: callers pass group sizes, memory lengths and probabilities.
//
//	ranktest.go   Kruskal-Wallis statistic over values and over counts, and its critical values
//	summary.go    outcome counts, medians, running means, groups of values
//	random.go     pseudorandom numbers from a seed
package stats
