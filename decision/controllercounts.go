package decision

import (
	"math"

	"ottershed/internal/stats"
)

// errorSharePrior is added to the number of unsuccessful attempts in the divisor of the share of error
// responses, so that a few attempts result in a low share.
const errorSharePrior = 5

// addControllerCounts adds the rollout controller's counts of one period, class and build to the samples. The
// counts cover all instances, so that an instance with little traffic sees the outcomes of the whole fleet. The
// responses of one count become at most one group of values, distributed as exponential response times with
// the reported mean.
func (b *Balancer) addControllerCounts(event ControllerCounts) {
	class := b.classes.byName[event.Class]
	if class == nil || !b.trial.updateReceived || event.Build > b.trial.update.Build || event.Count <= 0 {
		return
	}
	newest := event.Build == b.trial.update.Build
	counts := b.estimateErrors(event)
	class.addReport(newest, counts)
	candidate := newest && b.trial.update.Phase != Released
	if !candidate && event.Failed < event.Count {
		class.controllerLatency.Add(event.Mean, latencySamples)
	}
	controller := b.classes.controller
	size := min(groupSize, event.Count)
	failed := float64(size) * counts.Failures / counts.Total()
	for i := range size {
		value := stats.Exponential(i) * event.Mean
		if float64(i)+0.5 < failed {
			value = math.Inf(1)
		}
		controller.add(candidate, value/class.controllerLatency.ValueOr(1))
		b.compareBeforeTrial(controller.slowdown, value, class.controllerLatencyAtOffer)
	}
}

// estimateErrors returns the good and bad responses of a count. The controller also counts rejections by
// endpoints as failed, so its failed responses are scaled by the share of error responses among the instance's
// own unsuccessful attempts. One error response is not counted, because a single one may be chance.
func (b *Balancer) estimateErrors(event ControllerCounts) stats.Count {
	own := b.trial.unsuccessfulAttempts
	return stats.Count{
		Successes: float64(event.Count - event.Failed),
		Failures:  float64(event.Failed) * max(0, own.Failures-1) / (own.Total() + errorSharePrior),
	}
}

// addReport adds the counts of one build in one period. Faults of endpoints fail requests to both builds, so
// each count of the candidate is paired with an equal number of baseline outcomes from the same time.
func (s *samples) addReport(candidate bool, counts stats.Count) {
	if !candidate {
		s.baselineReport = counts
		return
	}
	if s.baselineReport.Total() > 0 {
		s.reported[baselineSide].Add(s.baselineReport, counts.Total()/s.baselineReport.Total())
		s.reported[candidateSide].Add(counts, 1)
		s.baselineReport = stats.Count{}
	}
}
