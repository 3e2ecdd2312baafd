package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	slowdownGroups    = 8.0  // multiplies rejectionsNeeded: this rule needs so many times as many
	maxRatioWeight    = 4    // factors of slowRatio that one group counts for, at most
	slowdownFillTime  = 4000 // ms; a group that took this long to fill counts slowdownGroups times
	arrivalRateMargin = 1.25 // arrival rate over the one before the trial from which no group is judged
	minEarlyOutcomes  = 5    // outcomes needed to judge whether endpoints were slow already
)

// fleetSlowdown compares the outcomes of both builds with those from before the trial, for a candidate that
// slows the baseline's endpoints too. In its comparison the baseline is the time before the trial.
type fleetSlowdown struct {
	comparison
	preCandidate    []float64 // outcomes since the build was offered and before it had an endpoint
	slowBeforeTrial bool      // they were slower already, which is not the candidate's doing
	fillStartedAt   Millis    // first outcome of the group that is being filled
}

// compareBeforeTrial adds an outcome of either build. value is a response time in ms, pace the one before the
// trial.
func (b *Balancer) compareBeforeTrial(slowdown *fleetSlowdown, value, pace float64) {
	if slowdown == nil || pace == 0 || math.IsInf(value, 1) || len(slowdown.baseline.Last) == 0 {
		return
	}
	relative := value / pace
	candidates := b.endpoints.byBuildAndZone[candidateSide]
	noCandidate := len(candidates[homeZone])+len(candidates[otherZone]) == 0
	if noCandidate {
		slowdown.addPreCandidate(relative)
	}
	if len(slowdown.candidate.Fill) == 0 {
		slowdown.fillStartedAt = b.now
	}
	if noCandidate || slowdown.slowBeforeTrial || !slowdown.candidate.Add(relative, groupSize) {
		return
	}
	if b.slowdownHasOtherCause() || !slowdown.slower(slowdown.candidate.Last, slowRatio) {
		slowdown.rejections = 0
		return
	}
	slowdown.rejections += slowdown.weight(b.now)
}

// slowdownExplained tells whether something else than the candidate may slow all endpoints: a fault, or more
// first tries than before, as from the clients of instances that are down.
func (b *Balancer) slowdownHasOtherCause() bool {
	return b.faultWithin(b.settings.SlowStartWindow) ||
		b.trial.arrivalRate > arrivalRateMargin*b.trial.arrivalRateBefore
}

// addEarly takes an outcome from before the candidate's first endpoint.
func (s *fleetSlowdown) addPreCandidate(relative float64) {
	s.preCandidate = append(s.preCandidate[:min(len(s.preCandidate), groupSize)], relative)
	s.slowBeforeTrial = len(s.preCandidate) >= minEarlyOutcomes &&
		stats.Median(s.preCandidate) > slowRatio*stats.Median(s.baseline.Last)
}

// weight counts the last group once for each factor of slowRatio by which it is slower, four at most, times
// one for each half second that it took to fill, eight at most. At an instance with little traffic, one
// group that took long to fill shows as well as several groups that the slowness lasts.
func (s *fleetSlowdown) weight(now Millis) int {
	lasted := min(slowdownGroups, max(1, slowdownGroups*(now-s.fillStartedAt)/slowdownFillTime))
	ratios := min(maxRatioWeight, math.Log(s.medianRatio)/math.Log(slowRatio))
	return int(lasted * ratios)
}
