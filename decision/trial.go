package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// keptBaselineOutcomes are the least outcomes of the baseline that a new stage begins with. An instance with
// little traffic closes no group between two stages, and where the baseline is gone no outcomes come any
// more.
const minKeptBaselineOutcomes = 5

// trial is what is known of the newest build's rollout.
type trial struct {
	known          bool        // an update was received
	update         StageUpdate // the newest one
	stageStartedAt Millis

	arrivalRate       float64 // first tries of clients a millisecond, smoothed
	arrivalRateBefore float64 // the same when the build was offered

	// unsuccessful counts the instance's own unsuccessful attempts, of the newest 40: Bad those with an error
	// response, Good all others.
	unsuccessful stats.Count
}

// handleStageUpdate takes over what the rollout controller says. A new stage begins new groups, a new build
// new counts.
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
	if b.trial.known && sameStage && previous.Phase == update.Phase {
		return
	}
	b.trial.known = true
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

// startStage begins the groups of a stage. Outcomes of the baseline are kept for the vote without full groups
// only: taken for a group of the new stage they would roll good builds back.
func (b *Balancer) startStage() {
	for _, class := range b.classes.all {
		if seen := slices.Concat(class.baseline.Last, class.baseline.Fill); len(seen) >= minKeptBaselineOutcomes {
			class.baselineAtStageStart = seen
		}
		class.baseline.Fill = nil
		class.resetCandidate()
	}
}

// startBuild starts counting for a newly offered build, and keeps how things were before.
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
