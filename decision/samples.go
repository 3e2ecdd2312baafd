package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	latencySamples      = 40       // outcomes that a pace is the mean of
	unsuccessfulSamples = 40       // unsuccessful attempts that are counted
	comparableWeight    = 1 / 1.25 // (0.8) slow start weight from which an endpoint's response times are compared
)

// samples are a class's outcomes during a trial.
type samples struct {
	comparison
	rejectionsNeeded     int            // rejections in a row that roll the candidate back
	slowdown             *fleetSlowdown // against the time before the trial; nil before the first one
	baselineAtStageStart []float64      // outcomes of the baseline as the stage began

	baselineLatency          stats.Mean // mean response time of the baseline
	baselineLatencyAtOffer   float64    // the same when the build was offered
	controllerLatency        stats.Mean // mean response time of the baseline by the controller's counts
	controllerLatencyAtOffer float64    // the same when the build was offered

	removedEndpoints stats.Count // outcomes of baseline endpoints that have left the list since the build was offered

	reported       [2]stats.Count // the controller's counts since the offer, by side, scaled to equal totals
	baselineReport stats.Count    // of the baseline in the controller's newest period
}

// recordOutcome adds an attempt's outcome to the samples of its build.
//
// A warming endpoint is slow whatever it runs, and one candidate endpoint on a slow type of machine is no
// slow build. So response times count from endpoints that are nearly warm, each against the baseline's pace
// in its class and on its type of machine.
func (b *Balancer) recordOutcome(req *request, target *endpoint, event AttemptEnded) {
	class, value := req.classState, event.After
	var outcome stats.Count
	switch event.Outcome {
	case Succeeded:
		outcome.Good = 1
	case EndpointFailed:
		outcome.Bad = 1
		value = math.Inf(1)
	}
	b.countUnsuccessful(outcome)
	// A timeout enters at its duration, unless the endpoint is silent: that says nothing of its build.
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

// countUnsuccessful takes an outcome, given as success or error response, into the counts of unsuccessful
// attempts.
func (b *Balancer) countUnsuccessful(outcome stats.Count) {
	counts := &b.trial.unsuccessful
	counts.Add(stats.Count{Good: 1 - outcome.Total(), Bad: outcome.Bad}, 1)
	*counts = counts.ScaledTo(unsuccessfulSamples)
}

// minFlagShare bounds the weight of a flagged response.
const minFlagShare = 0.15

// handleFlag counts a response that a client found wrong as a failure. Only a share of them is reported, so
// each counts for all that it stands for.
func (b *Balancer) handleFlag(event ResponseFlagged) {
	ep, class := b.endpoints.byID[event.Endpoint], b.classes.byName[event.Class]
	if ep != nil && class != nil {
		b.classes.addOutcomes(ep, class, stats.Count{Bad: 1 / max(b.settings.FlagShare, minFlagShare)})
	}
}
