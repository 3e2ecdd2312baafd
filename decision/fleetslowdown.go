package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	slowdownGroups    = 8.0  // factor on samples.rejectionsNeeded for a rollback because of a fleet slowdown
	maxRatioWeight    = 4    // maximum number of factors of slowRatio that one group counts for
	slowdownFillTime  = 4000 // ms; a group that took this long to fill counts slowdownGroups times
	arrivalRateMargin = 1.25 // ratio of the arrival rate to that before the trial above which no group is rejected
	minPreCandidate   = 5    // number of response times in preCandidate from which it is compared with the baseline
)

// fleetSlowdown compares the outcomes of both builds with those from before the trial. It detects a candidate
// that slows the baseline's endpoints too. In the embedded comparison, the baseline holds the outcomes from before
// the trial and the candidate those of both builds since.
type fleetSlowdown struct {
	comparison
	preCandidate        []float64 // relative response times of the trial before an endpoint runs the candidate
	slowBeforeCandidate bool      // preCandidate is slower than the baseline, so the candidate is not the cause
	fillStartedAt       Millis    // time of the first outcome in the current group
}

// compareBeforeTrial adds an outcome of either build to the comparison with the time before the trial, and evaluates
// a group once it is full. value is a response time in ms, and meanBefore the mean response time from before the
// trial, or 0 if there is none. Failures are ignored, and so are all outcomes before the first trial or if there was no
// full group before the trial. Until an endpoint runs the candidate, outcomes are added to preCandidate only.
func (b *Balancer) compareBeforeTrial(slowdown *fleetSlowdown, value, meanBefore float64) {
	if slowdown == nil || meanBefore == 0 || math.IsInf(value, 1) || len(slowdown.baseline.Last) == 0 {
		return
	}
	relative := value / meanBefore
	candidates := b.endpoints.byBuildAndZone[candidateSide]
	noCandidate := len(candidates[homeZone])+len(candidates[otherZone]) == 0
	if noCandidate {
		slowdown.addPreCandidate(relative)
	}
	if len(slowdown.candidate.Partial) == 0 {
		slowdown.fillStartedAt = b.now
	}
	if noCandidate || slowdown.slowBeforeCandidate || !slowdown.candidate.Add(relative, groupSize) {
		return
	}
	if b.slowdownHasOtherCause() || !slowdown.slower(slowdown.candidate.Last, slowRatio) {
		slowdown.rejections = 0
		return
	}
	slowdown.rejections += slowdown.weight(b.now)
}

// slowdownHasOtherCause reports whether a cause other than the candidate may slow all endpoints: a fault, or more
// new requests than before the trial, for example from the clients of instances that are down.
func (b *Balancer) slowdownHasOtherCause() bool {
	return b.faultWithin(b.settings.SlowStartWindow) ||
		b.trial.arrivalRate > arrivalRateMargin*b.trial.arrivalRateBefore
}

// addPreCandidate adds a relative response time from before the first endpoint that runs the candidate. From
// groupSize+1 of them on, each new one replaces the last.
func (s *fleetSlowdown) addPreCandidate(relative float64) {
	s.preCandidate = append(s.preCandidate[:min(len(s.preCandidate), groupSize)], relative)
	s.slowBeforeCandidate = len(s.preCandidate) >= minPreCandidate &&
		stats.Median(s.preCandidate) > slowRatio*stats.Median(s.baseline.Last)
}

// weight returns the number of rejections that the last group counts for: one for each factor of slowRatio by
// which the group is slower, at most 4, times one for each half second that the group took to fill, at least 1
// and at most 8. At an instance with little traffic, one group that took long to fill proves lasting slowness as
// well as several groups do.
func (s *fleetSlowdown) weight(now Millis) int {
	durationWeight := min(slowdownGroups, max(1, slowdownGroups*(now-s.fillStartedAt)/slowdownFillTime))
	ratioWeight := min(maxRatioWeight, math.Log(s.medianRatio)/math.Log(slowRatio))
	return int(durationWeight * ratioWeight)
}
