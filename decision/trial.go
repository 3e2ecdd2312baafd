package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// minKeptBaselineOutcomes is the number of baseline outcomes from which they replace baselineAtStageStart when a
// stage starts. With fewer, the earlier outcomes are kept: an instance with little traffic fills no group between two
// stages, and once the baseline's endpoints are replaced there are no new outcomes.
const minKeptBaselineOutcomes = 5

// trial is the state of the newest build's rollout.
type trial struct {
	updateReceived bool        // at least one update was received
	update         StageUpdate // newest update
	stageStartedAt Millis      // start of the stage or phase of the newest update

	arrivalRate       float64 // smoothed requests per ms, without those that their clients had sent before
	arrivalRateBefore float64 // arrivalRate when the build was offered

	// unsuccessfulAttempts counts the unsuccessful attempts of this instance, scaled to a total of at most 40. Failures
	// counts those with an error response, Successes all others.
	unsuccessfulAttempts stats.Count
}

// handleStageUpdate applies an update from the rollout controller. A new stage or phase starts new groups, and a
// new build new counts. Of the response to a vote that was not accepted, only the result is recorded.
func (b *Balancer) handleStageUpdate(update StageUpdate) {
	if update.IsVoteResult {
		b.handleVoteResult(update.VoteResult)
	}
	if update.VoteResult != VoteAccepted {
		return
	}
	previous := b.trial.update
	b.trial.update = update
	b.trial.stageStartedAt = b.now - update.Age
	sameStage := previous.Build == update.Build && previous.Stage == update.Stage
	if b.trial.updateReceived && sameStage && previous.Phase == update.Phase {
		return
	}
	b.trial.updateReceived = true
	b.voting.vote = Vote{}
	b.partitionEndpoints()
	if update.Phase == RollingBack || update.Phase == RolledBack {
		b.sticky.clear()
	}
	b.startStage()
	if update.Build != previous.Build {
		b.startBuild()
	}
}

// startStage starts the groups of a stage. The baseline's outcomes are kept only for votes without full groups.
// As part of a group of the new stage they would cause rollbacks of good builds.
func (b *Balancer) startStage() {
	for _, class := range b.classes.all {
		if outcomes := slices.Concat(class.baseline.Last, class.baseline.Partial); len(outcomes) >= minKeptBaselineOutcomes {
			class.baselineAtStageStart = outcomes
		}
		class.baseline.Partial = nil
		class.resetCandidate()
	}
}

// startBuild resets the counts for a newly offered build, and stores the arrival rate, the mean response times and
// the outcomes from before the trial.
func (b *Balancer) startBuild() {
	b.trial.arrivalRateBefore = b.trial.arrivalRate
	for _, class := range b.classes.all {
		class.baselineLatencyAtOffer = class.baselineLatency.Value
		class.controllerLatencyAtOffer = class.controllerLatency.Value
		class.removedEndpoints = stats.Count{}
		class.reported = [2]stats.Count{}
		class.slowdown = &fleetSlowdown{comparison: comparison{baseline: class.baseline}}
	}
	for _, ep := range b.endpoints.ordered {
		clear(ep.outcomes)
	}
}
