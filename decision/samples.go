package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	latencySamples      = 40       // number of outcomes over which mean response times are smoothed
	unsuccessfulSamples = 40       // maximum total of trial.unsuccessfulAttempts
	comparableWeight    = 1 / 1.25 // 0.8; slow start weight from which an endpoint's response times are compared
)

// samples holds the outcomes of one class.
type samples struct {
	comparison
	rejectionsNeeded     int            // consecutive rejections for a vote to roll back
	slowdown             *fleetSlowdown // nil before the first trial
	baselineAtStageStart []float64      // newest baseline outcomes at the start of the stage

	baselineLatency          stats.Mean // mean response time of the baseline
	baselineLatencyAtOffer   float64    // baselineLatency when the build was offered
	controllerLatency        stats.Mean // the baseline's mean response time by the controller's counts
	controllerLatencyAtOffer float64    // controllerLatency when the build was offered

	removedEndpoints stats.Count // outcomes of baseline endpoints removed since the build was offered

	reported       [2]stats.Count // controller counts by side since the build was offered, with equal totals
	baselineReport stats.Count    // newest controller counts of the baseline, not yet paired
}

// recordOutcome adds the outcome of an attempt to the samples of its build.
//
// A warming endpoint is slow with any build, and a candidate endpoint on a slow type of machine does not mean a
// slow build. So only response times from nearly warm endpoints are compared, each relative to the baseline's mean
// response time in its class and on its type of machine.
func (b *Balancer) recordOutcome(req *request, target *endpoint, event AttemptEnded) {
	class, value := req.classState, event.After
	var outcome stats.Count
	switch event.Outcome {
	case Succeeded:
		outcome.Successes = 1
	case EndpointFailed:
		outcome.Failures = 1
		value = math.Inf(1)
	}
	b.countUnsuccessful(outcome)
	// A timeout counts with its duration. It does not count if the endpoint is ejected, because that is no
	// evidence on the build.
	countedTimeout := event.Outcome == TimedOut && target.ejections == 0 && !req.done
	if outcome.Total() == 0 && !countedTimeout {
		return
	}
	b.classes.addOutcomes(target, class, outcome)
	if b.slowStartWeight(target) < comparableWeight || target.Build > b.trial.update.Build {
		return
	}
	candidate := target.Build == b.trial.update.Build && b.trial.update.Phase != Released
	if !candidate && event.Outcome == Succeeded {
		target.machineTypeRatio.Add(value/class.baselineLatency.Add(value, latencySamples), latencySamples)
	}
	relative := value / class.baselineLatency.ValueOr(1) / target.machineTypeRatio.ValueOr(1)
	class.add(candidate, relative)
	b.classes.overall.add(candidate, relative)
	slowdown := b.classes.overall.slowdown
	b.compareBeforeTrial(slowdown, value/target.machineTypeRatio.ValueOr(1), class.baselineLatencyAtOffer)
}

// countUnsuccessful updates the counts of unsuccessful attempts. outcome counts a success or an error response,
// and is zero for any other outcome.
func (b *Balancer) countUnsuccessful(outcome stats.Count) {
	counts := &b.trial.unsuccessfulAttempts
	counts.Add(stats.Count{Successes: 1 - outcome.Total(), Failures: outcome.Failures}, 1)
	*counts = counts.ScaledTo(unsuccessfulSamples)
}

// minFlagShare is the lower bound of the assumed FlagShare, which limits the weight of a flagged response.
const minFlagShare = 0.15

// handleFlag counts a response that a client found wrong as a failure. Only a share of wrong responses is
// reported, so each report has a weight of 1/FlagShare.
func (b *Balancer) handleFlag(event ResponseFlagged) {
	ep, class := b.endpoints.byID[event.Endpoint], b.classes.byName[event.Class]
	if ep != nil && class != nil {
		b.classes.addOutcomes(ep, class, stats.Count{Failures: 1 / max(b.settings.FlagShare, minFlagShare)})
	}
}
