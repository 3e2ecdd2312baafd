package decision

import (
	"fmt"
	"math"
	"slices"

	"ottershed/internal/stats"
)

const (
	noGroupsVoteDelay           = 4000.0 // ms since the start of a stage from which a vote requires no full groups
	slowdownWindowsAfterRelease = 3      // slow start windows after a release during which a fleet slowdown counts
	blockingFailureShare        = 0.5    // failureEvidence.strength from which there is no vote to advance
)

// decidedVote is a verdict with the reason for the log.
type decidedVote struct {
	verdict Verdict
	reason  string
}

// undecided is the result while no rule leads to a vote.
var undecided = decidedVote{VoteNone, "not settled"}

// verdictRule evaluates one reason for a vote. It returns false if the rule does not apply.
type verdictRule func(*Balancer, *assessment) (decidedVote, bool)

// verdictRules lists the rules in the order of evaluation. The first rule that applies determines the verdict.
var verdictRules = []verdictRule{
	rollbackForFailures,
	rollbackForSlowness,
	rollbackForFleetSlowdown,
	holdForOperators,
	holdForSlowness,
	blockAdvance,
	advanceOnAgreement,
	advanceWithoutGroups,
}

// decideVerdict returns the verdict that follows from the current observations.
func (b *Balancer) decideVerdict() decidedVote {
	assessed := b.assess()
	for _, rule := range verdictRules {
		if vote, applies := rule(b, &assessed); applies {
			return vote
		}
	}
	return undecided
}

// assessment summarises the outcomes of all classes.
type assessment struct {
	failures    failureEvidence
	inTrial     bool
	fullGroups  int  // classes with full groups of both builds; the overall class only if no other has them
	groupsAgree bool // the builds agree in all classes with full groups
	anyRejected bool // a class has at least one rejected group
	holdReached bool // a class has the rejections to hold the clock

	slowerClass *classState    // a class with the rejections to roll the build back, or nil
	fleetSlower *fleetSlowdown // comparison with the time before the trial that proves a slow build, or nil
}

// assess evaluates the outcomes of all classes.
func (b *Balancer) assess() assessment {
	assessed := assessment{failures: b.failureEvidence(), inTrial: b.trial.update.Phase == InTrial, groupsAgree: true}
	recentFault := b.faultWithin(b.settings.SlowStartWindow)
	for _, class := range b.classes.all {
		hasFullGroups := class.baseline.Last != nil && len(class.candidate.Last) == groupSize
		if hasFullGroups && (class != b.classes.overall || assessed.fullGroups == 0) {
			assessed.fullGroups++
			assessed.groupsAgree = assessed.groupsAgree && class.agrees
		}
		assessed.addRejections(class.rejections, b.thresholds.holdRejections)
		if class.rejections >= class.rejectionsNeeded && !recentFault {
			assessed.slowerClass = class
		}
		slowdown := class.slowdown
		if slowdown == nil {
			continue
		}
		assessed.addRejections(slowdown.rejections, b.thresholds.holdRejections)
		if float64(slowdown.rejections) >= slowdownGroups*float64(class.rejectionsNeeded) {
			assessed.fleetSlower = slowdown
		}
	}
	return assessed
}

// addRejections adds the consecutive rejections of one class. toHold is the number of rejections that hold the clock.
func (a *assessment) addRejections(rejections, toHold int) {
	a.anyRejected = a.anyRejected || rejections > 0
	a.holdReached = a.holdReached || rejections >= toHold
}

// rollbackForFailures applies if the failures prove a bad build, in trial and after the release. During and after a
// rollback no vote is cast.
func rollbackForFailures(_ *Balancer, assessed *assessment) (decidedVote, bool) {
	if assessed.failures.strength < 1 {
		return decidedVote{}, false
	}
	reason := fmt.Sprintf("it fails more often, %.1f times what proves it", assessed.failures.strength)
	return decidedVote{VoteRollback, reason}, true
}

// rollbackForSlowness applies in trial once a class has the consecutive rejections that prove a slow build.
func rollbackForSlowness(_ *Balancer, assessed *assessment) (decidedVote, bool) {
	if !assessed.inTrial || assessed.slowerClass == nil {
		return decidedVote{}, false
	}
	class := assessed.slowerClass
	reason := fmt.Sprintf("request class %q clearly slower again, last by %.2f", class.Name, class.medianRatio)
	return decidedVote{VoteRollback, reason}, true
}

// rollbackForFleetSlowdown applies once all endpoints are slower than before the trial, in trial and for some time
// after the release.
func rollbackForFleetSlowdown(b *Balancer, assessed *assessment) (decidedVote, bool) {
	recentlyReleased := b.now-b.trial.stageStartedAt < slowdownWindowsAfterRelease*b.settings.SlowStartWindow
	if assessed.fleetSlower == nil || !assessed.inTrial && !recentlyReleased {
		return decidedVote{}, false
	}
	ratio := assessed.fleetSlower.medianRatio
	reason := fmt.Sprintf("all endpoints slower than before the trial, last by %.2f", ratio)
	return decidedVote{VoteRollback, reason}, true
}

// holdForOperators applies to rollouts by clock while the operators have halted rollouts.
func holdForOperators(b *Balancer, assessed *assessment) (decidedVote, bool) {
	applies := assessed.inTrial && b.settings.Control == ByClock && b.settings.Halt
	return decidedVote{VoteHold, "halted by the operators"}, applies
}

// holdForSlowness applies to rollouts by clock once a class has the consecutive rejections to hold, which may be
// fewer than those for a rollback.
func holdForSlowness(b *Balancer, assessed *assessment) (decidedVote, bool) {
	if !assessed.inTrial || b.settings.Control != ByClock || !assessed.holdReached {
		return decidedVote{}, false
	}
	return decidedVote{VoteHold, fmt.Sprintf("clearly slower, %d times in a row", b.thresholds.holdRejections)}, true
}

// blockAdvance applies if no vote to advance may be cast, or if there is evidence against the build.
func blockAdvance(b *Balancer, assessed *assessment) (decidedVote, bool) {
	blocked := !assessed.inTrial || b.settings.Control == ByClock || b.settings.Halt ||
		assessed.failures.strength >= blockingFailureShare || assessed.anyRejected
	return undecided, blocked
}

// advanceOnAgreement applies if the builds agree in every class with full groups. An earlier vote to advance stands
// until blockAdvance applies. Without full groups it stands only if outcomesWithoutGroups is above 0; otherwise
// advanceWithoutGroups decides again.
func advanceOnAgreement(b *Balancer, assessed *assessment) (decidedVote, bool) {
	agreed := assessed.fullGroups > 0 && assessed.groupsAgree
	stands := b.voting.vote.Verdict == VoteAdvance && (assessed.fullGroups > 0 || b.thresholds.outcomesWithoutGroups > 0)
	return decidedVote{VoteAdvance, "groups agree"}, agreed || stands
}

// advanceWithoutGroups applies if the stage has lasted for noGroupsVoteDelay without full groups and there is no
// evidence against the build. The required outcomes are in proportion to the share of endpoints in the next stage.
// Warming endpoints hide a slow build, so a vote that opens the whole fleet requires outcomes of warm endpoints.
func advanceWithoutGroups(b *Balancer, assessed *assessment) (decidedVote, bool) {
	if assessed.fullGroups > 0 || b.now-b.trial.stageStartedAt < noGroupsVoteDelay {
		return decidedVote{}, false
	}
	nextShare := b.nextStageShare()
	tooFewOutcomes := assessed.failures.outcomes < b.thresholds.outcomesWithoutGroups*nextShare
	if tooFewOutcomes || assessed.failures.suspected || b.suspectsSlowness() {
		return decidedVote{}, false
	}
	overall, controller := b.classes.overall, b.classes.controller
	if overall.slower(overall.candidate.Partial, 1) || controller.slower(controller.candidate.Partial, 1) {
		return decidedVote{}, false
	}
	warmOutcomes := float64(len(overall.candidate.Partial) + len(overall.candidate.Last))
	if nextShare >= 1 && warmOutcomes < max(1, 2*b.thresholds.outcomesWithoutGroups) {
		return decidedVote{}, false
	}
	return decidedVote{VoteAdvance, fmt.Sprintf("%.0f s without full groups", noGroupsVoteDelay/1000)}, true
}

// nextStageShare returns the share of endpoints that run the candidate in the next stage, or 1 in the last stage.
func (b *Balancer) nextStageShare() float64 {
	next := b.trial.update.Stage + 1
	if next >= len(b.settings.StageShares) {
		return 1
	}
	return b.settings.StageShares[max(next, 0)]
}

// suspectsSlowness reports whether few response times are reason enough not to vote to advance: the candidate's
// median is above slowRatio to the power of 1.5 (1.40) times the baseline's. Where groups of the two builds are
// compared, slowRatio itself is the limit; the margin is wider here because the median of few response times
// varies widely. No instance with little traffic can prove a slow build, but among hundreds of instances most
// suspicions are right. Nothing is suspected if outcomesWithoutGroups is above 0. In the last stage, response
// times during a fault are no evidence, because the fault overloads the remaining endpoints.
func (b *Balancer) suspectsSlowness() bool {
	lastStage := b.trial.update.Stage+1 >= len(b.settings.StageShares)
	if b.thresholds.outcomesWithoutGroups != 0 || lastStage && b.faultWithin(b.settings.SlowStartWindow) {
		return false
	}
	overall := b.classes.overall
	baseline := slices.Concat(overall.baselineAtStageStart, overall.baseline.Partial)
	candidate := slices.Concat(overall.candidate.Last, overall.candidate.Partial)
	return len(baseline) > 0 && len(candidate) > 0 &&
		stats.Median(candidate) > slowRatio*math.Sqrt(slowRatio)*stats.Median(baseline)
}
