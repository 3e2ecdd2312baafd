// Package stats holds the arithmetic that the decision module uses. It decides nothing and holds no tuned value.
//
//	ranktest.go   the Kruskal-Wallis statistic over values and over counts, and its critical values
//	summary.go    counts, medians, running means, groups of values
//	random.go     random numbers from a seed
package stats
