package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	groupSize            = 20   // outcomes in a group
	rejectStatistic      = 3.84 // Kruskal-Wallis statistic (chi-squared, 1 degree of freedom, 5%) from which groups differ
	slowRatio            = 1.25 // ratio of medians from which a group is clearly slower
	rejectionsToRollback = 2    // consecutive rejected groups of the controller's counts for a vote to roll back
)

// comparison compares the candidate's outcomes with the baseline's by a rank test on each closed group. The
// value of an outcome is its response time divided by the baseline's mean response time in its class and on its
// machine type. The value of a failure is infinite and ranks above every response.
type comparison struct {
	baseline    stats.Groups
	candidate   stats.Groups
	agrees      bool    // the candidate's last two groups agree, and the last one agrees with the baseline or is faster
	rejections  int     // consecutive groups that were clearly slower
	medianRatio float64 // median of the outcomes last passed to slower, divided by that of the baseline
}

// add adds an outcome to the groups of its build, and evaluates a candidate group once it is full.
func (c *comparison) add(candidate bool, value float64) {
	if !candidate {
		c.baseline.Add(value, groupSize)
		return
	}
	if c.candidate.Add(value, groupSize) {
		c.evaluateLastGroup()
	}
}

// closeCandidate closes the candidate's current group before it is full, and evaluates it.
func (c *comparison) closeCandidate() {
	c.candidate.Close()
	c.evaluateLastGroup()
}

// evaluateLastGroup compares the candidate's last group with the baseline. It does nothing while the baseline has
// no full group. Two consecutive groups must agree with each other before the last one can agree with the baseline.
// A rejection does not require that: with a build that is too slow for its load, no two groups agree.
func (c *comparison) evaluateLastGroup() {
	if c.baseline.Last == nil {
		return
	}
	last, previous := c.candidate.Last, c.candidate.Previous
	if c.slower(last, 1) {
		c.agrees = false
		c.rejections++
		return
	}
	if previous != nil && stats.KruskalWallis(previous, last) < rejectStatistic {
		c.rejections = 0
		faster := stats.Median(last) <= stats.Median(c.baseline.Last)
		c.agrees = faster || stats.KruskalWallis(c.baseline.Last, last) < rejectStatistic
	}
}

// slower reports whether outcomes are clearly slower than both of the baseline's last groups, because a single
// group may be fast by chance. margin multiplies the required ratio of medians. A group whose median is a failure
// is not slower: failures are evaluated by endpoint, because some endpoints fail fast with any build. Without
// outcomes, or with fewer than two full groups of the baseline, it reports false.
func (c *comparison) slower(outcomes []float64, margin float64) bool {
	for _, baseline := range [][]float64{c.baseline.Previous, c.baseline.Last} {
		if len(baseline) == 0 || len(outcomes) == 0 {
			return false
		}
		c.medianRatio = stats.Median(outcomes) / stats.Median(baseline)
		if math.IsInf(c.medianRatio, 1) || c.medianRatio < slowRatio*margin {
			return false
		}
		if stats.KruskalWallis(baseline, outcomes) < rejectStatistic {
			return false
		}
	}
	return true
}

// resetCandidate discards the candidate's groups and the results of their evaluation.
func (c *comparison) resetCandidate() {
	c.candidate = stats.Groups{}
	c.agrees = false
	c.rejections = 0
}
