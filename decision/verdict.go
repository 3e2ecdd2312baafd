package decision

import (
	"fmt"
	"math"
	"slices"

	"ottershed/internal/stats"
)

const (
	noGroupsVoteDelay           = 4000.0 // ms after a stage's start: no full groups are needed from then on
	slowdownWindowsAfterRelease = 3      // slow start windows after the release, in which a slowdown still counts
	blockingFailureShare        = 0.5    // of proof by failures, from which there is no vote to advance
)

// decidedVote is a verdict with its reason.
type decidedVote struct {
	verdict Verdict
	reason  string
}

var undecided = decidedVote{VoteNone, "not settled"}

// verdictRule is one reason for a vote. It returns false where it does not apply.
type verdictRule func(*Balancer, *assessment) (decidedVote, bool)

// verdictRules are the reasons for a vote in the order in which they are tried. The first that applies
// decides.
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

// verdict is what the instance stands for now.
func (b *Balancer) decideVerdict() decidedVote {
	found := b.assess()
	for _, rule := range verdictRules {
		if vote, applies := rule(b, &found); applies {
			return vote
		}
	}
	return undecided
}

// assessment is what the outcomes of all classes say together.
type assessment struct {
	failures    failureEvidence
	inTrial     bool
	fullGroups  int  // classes with full groups of both builds; the overall one only if no other has
	groupsAgree bool // all of these agree
	rejected    bool // any class has a rejection
	holdReached bool // any class has the rejections that hold the clock

	slower      *classState    // a class with the rejections that roll the build back
	fleetSlower *fleetSlowdown // the same against the time before the trial
}

func (b *Balancer) assess() assessment {
	found := assessment{failures: b.failureEvidence(), inTrial: b.trial.update.Phase == InTrial, groupsAgree: true}
	fault := b.faultWithin(b.settings.SlowStartWindow)
	for _, class := range b.classes.all {
		full := class.baseline.Last != nil && len(class.candidate.Last) == groupSize
		if full && (class != b.classes.overall || found.fullGroups == 0) {
			found.fullGroups++
			found.groupsAgree = found.groupsAgree && class.agrees
		}
		found.addRejections(class.rejections, b.thresholds.holdRejections)
		if class.rejections >= class.rejectionsNeeded && !fault {
			found.slower = class
		}
		slowdown := class.slowdown
		if slowdown == nil {
			continue
		}
		found.addRejections(slowdown.rejections, b.thresholds.holdRejections)
		if float64(slowdown.rejections) >= slowdownGroups*float64(class.rejectionsNeeded) {
			found.fleetSlower = slowdown
		}
	}
	return found
}

func (a *assessment) addRejections(rejections, toHold int) {
	a.rejected = a.rejected || rejections > 0
	a.holdReached = a.holdReached || rejections >= toHold
}

// rollbackForFailures applies in trial and after the release. During and after a rollback there is no vote.
func rollbackForFailures(_ *Balancer, found *assessment) (decidedVote, bool) {
	if found.failures.strength < 1 {
		return decidedVote{}, false
	}
	reason := fmt.Sprintf("it fails more often, %.1f times what proves it", found.failures.strength)
	return decidedVote{VoteRollback, reason}, true
}

// rollbackForSlowness applies once a class has the rejections in a row that prove a slow build.
func rollbackForSlowness(_ *Balancer, found *assessment) (decidedVote, bool) {
	if !found.inTrial || found.slower == nil {
		return decidedVote{}, false
	}
	class := found.slower
	reason := fmt.Sprintf("request class %q clearly slower again, last by %.2f", class.Name, class.medianRatio)
	return decidedVote{VoteRollback, reason}, true
}

// rollbackForFleetSlowdown applies once all endpoints are slower than before the trial, for a while after the
// release too.
func rollbackForFleetSlowdown(b *Balancer, found *assessment) (decidedVote, bool) {
	recent := b.now-b.trial.stageStartedAt < slowdownWindowsAfterRelease*b.settings.SlowStartWindow
	if found.fleetSlower == nil || !found.inTrial && !recent {
		return decidedVote{}, false
	}
	ratio := found.fleetSlower.medianRatio
	reason := fmt.Sprintf("all endpoints slower than before the trial, last by %.2f", ratio)
	return decidedVote{VoteRollback, reason}, true
}

// holdForOperators holds the clock while the operators have halted rollouts.
func holdForOperators(b *Balancer, found *assessment) (decidedVote, bool) {
	applies := found.inTrial && b.settings.Control == ByClock && b.settings.Halt
	return decidedVote{VoteHold, "halted by the operators"}, applies
}

// holdForSlowness holds the clock after fewer rejections than a rollback takes.
func holdForSlowness(b *Balancer, found *assessment) (decidedVote, bool) {
	if !found.inTrial || b.settings.Control != ByClock || !found.holdReached {
		return decidedVote{}, false
	}
	return decidedVote{VoteHold, fmt.Sprintf("clearly slower, %d times in a row", b.thresholds.holdRejections)}, true
}

// blockAdvance leaves the vote open where none to advance can be cast, or where something speaks against the
// build.
func blockAdvance(b *Balancer, found *assessment) (decidedVote, bool) {
	blocked := !found.inTrial || b.settings.Control == ByClock || b.settings.Halt ||
		found.failures.strength >= blockingFailureShare || found.rejected
	return undecided, blocked
}

// advanceOnAgreement applies when every class with full groups agrees. A vote to advance stands until
// something blocks it.
func advanceOnAgreement(b *Balancer, found *assessment) (decidedVote, bool) {
	agreed := found.fullGroups > 0 && found.groupsAgree
	stands := b.voting.vote.Verdict == VoteAdvance && (found.fullGroups > 0 || b.thresholds.outcomesWithoutGroups > 0)
	return decidedVote{VoteAdvance, "groups agree"}, agreed || stands
}

// advanceWithoutGroups applies where the stage has lasted a while without full groups and nothing speaks
// against the build. It takes outcomes in proportion to the share of endpoints that the vote would open.
// Warming endpoints hide a slow build, so the vote that opens the whole fleet takes outcomes of warm ones.
func advanceWithoutGroups(b *Balancer, found *assessment) (decidedVote, bool) {
	if found.fullGroups > 0 || b.now-b.trial.stageStartedAt < noGroupsVoteDelay {
		return decidedVote{}, false
	}
	next := b.nextStageShare()
	tooFew := found.failures.outcomes < b.thresholds.outcomesWithoutGroups*next
	if tooFew || found.failures.suspected || b.suspectsSlowness() {
		return decidedVote{}, false
	}
	overall, controller := b.classes.overall, b.classes.controller
	if overall.slower(overall.candidate.Fill, 1) || controller.slower(controller.candidate.Fill, 1) {
		return decidedVote{}, false
	}
	warm := float64(len(overall.candidate.Fill) + len(overall.candidate.Last))
	if next >= 1 && warm < max(1, 2*b.thresholds.outcomesWithoutGroups) {
		return decidedVote{}, false
	}
	return decidedVote{VoteAdvance, fmt.Sprintf("%.0f s without full groups", noGroupsVoteDelay/1000)}, true
}

// nextStageShare is the share of endpoints that run the candidate in the next stage; 1 after the last one.
func (b *Balancer) nextStageShare() float64 {
	next := b.trial.update.Stage + 1
	if next >= len(b.settings.Stages) {
		return 1
	}
	return b.settings.Stages[max(next, 0)]
}

// suspectsSlowness tells whether the few response times seen speak against the candidate: their median is
// above slowRatio to the power of 1.5 (1.40) times the baseline's, a wider margin than elsewhere because few
// times scatter. No instance with little traffic can prove a slow build, but most of hundreds are right. In
// the last stage such times say nothing during a fault, which overloads the other endpoints.
func (b *Balancer) suspectsSlowness() bool {
	lastStage := b.trial.update.Stage+1 >= len(b.settings.Stages)
	if b.thresholds.outcomesWithoutGroups != 0 || lastStage && b.faultWithin(b.settings.SlowStartWindow) {
		return false
	}
	overall := b.classes.overall
	before := slices.Concat(overall.baselineAtStageStart, overall.baseline.Fill)
	now := slices.Concat(overall.candidate.Last, overall.candidate.Fill)
	return len(before) > 0 && len(now) > 0 &&
		stats.Median(now) > slowRatio*math.Sqrt(slowRatio)*stats.Median(before)
}
