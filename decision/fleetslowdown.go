package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	slowdownGroups     = 8.0  // rejections here for each one that rolls a build back by its own outcomes
	maxRatioWeight     = 4    // slow ratios that one group counts for, at most
	slowdownFillTime   = 4000 // ms: a group that took as long to fill counts for all of slowdownGroups
	arrivalRateMargin  = 1.25 // arrival rate over the one before the trial from which no group is judged
	earlyOutcomesLeast = 5    // before the candidate's first endpoint that can show a slowdown
)

// fleetSlowdown compares the outcomes of both builds with those from before the trial, for a candidate that
// slows the baseline's endpoints too. In its comparison the baseline is the time before the trial.
type fleetSlowdown struct {
	comparison
	early           []float64 // outcomes since the build was offered and before it had an endpoint
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
		slowdown.addEarly(relative)
	}
	if len(slowdown.candidate.Fill) == 0 {
		slowdown.fillStartedAt = b.now
	}
	if noCandidate || slowdown.slowBeforeTrial || !slowdown.candidate.Add(relative, groupSize) {
		return
	}
	if b.slowdownExplained() || !slowdown.slower(slowdown.candidate.Last, slowRatio) {
		slowdown.rejections = 0
		return
	}
	slowdown.rejections += slowdown.weight(b.now)
}

// slowdownExplained tells whether something else than the candidate may slow all endpoints: a fault, or more
// first tries than before, as from the clients of instances that are down.
func (b *Balancer) slowdownExplained() bool {
	return b.faultWithin(b.settings.SlowStartWindow) ||
		b.trial.arrivalRate > arrivalRateMargin*b.trial.arrivalRateBefore
}

// addEarly takes an outcome from before the candidate's first endpoint.
func (s *fleetSlowdown) addEarly(relative float64) {
	s.early = append(s.early[:min(len(s.early), groupSize)], relative)
	s.slowBeforeTrial = len(s.early) >= earlyOutcomesLeast &&
		stats.Median(s.early) > slowRatio*stats.Median(s.baseline.Last)
}

// weight is what the last group counts for: once for each slow ratio by which it is slower, for a very slow
// build fills groups late, and more if it took long to fill. What many groups in a row show is that slowness
// lasts, and one group shows that too at an instance with little traffic.
func (s *fleetSlowdown) weight(now Millis) int {
	lasted := min(slowdownGroups, max(1, slowdownGroups*(now-s.fillStartedAt)/slowdownFillTime))
	ratios := min(maxRatioWeight, math.Log(s.medianRatio)/math.Log(slowRatio))
	return int(lasted * ratios)
}
