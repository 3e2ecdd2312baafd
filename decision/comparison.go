package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	groupSize            = 20   // outcomes in a group
	rejectStatistic      = 3.84 // of the Kruskal-Wallis test (chi-squared, 1 degree of freedom, 5%): groups differ
	slowRatio            = 1.25 // of two medians: the higher one is clearly slower from here on
	rejectionsToRollback = 2    // rejections in a row that roll a build back where a handful of instances judge
)

// comparison compares the candidate's outcomes with the baseline's by the rank test, one closed group after
// another. A value is a response time divided by the baseline's mean in its class and on its machine type; a
// failure is infinite and ranks behind every response.
type comparison struct {
	baseline    stats.Groups
	candidate   stats.Groups
	agrees      bool // the candidate's last two groups agree with each other, the last also with the baseline's
	rejections  int  // groups in a row that were clearly slower
	medianRatio float64
}

// add puts an outcome into the groups of its build.
func (c *comparison) add(candidate bool, value float64) {
	if !candidate {
		c.baseline.Add(value, groupSize)
		return
	}
	if c.candidate.Add(value, groupSize) {
		c.judge()
	}
}

// closeCandidate ends the candidate's group that is being filled as it is, and judges it.
func (c *comparison) closeCandidate() {
	c.candidate.Close()
	c.judge()
}

// judge compares the candidate's last group. Two groups in a row must agree with each other before one can
// agree with the baseline. A rejection does not wait for that: under a build that is too slow for its load no
// two groups agree.
func (c *comparison) judge() {
	if c.baseline.Last == nil {
		return
	}
	last, previous := c.candidate.Last, c.candidate.Before
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

// slower tells whether outcomes are clearly slower than both of the baseline's last groups, for one of them
// may be fast by chance. margin widens the ratio of medians that is asked for. A group with a failure for its
// median is not slower: failures are judged by endpoint, for some endpoints fail fast whatever they run.
func (c *comparison) slower(outcomes []float64, margin float64) bool {
	for _, baseline := range [][]float64{c.baseline.Before, c.baseline.Last} {
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

// resetCandidate forgets the candidate's groups and what came of them.
func (c *comparison) resetCandidate() {
	c.candidate = stats.Groups{}
	c.agrees = false
	c.rejections = 0
}
