package decision

import "fmt"

const (
	voteCheckIntervalShare = 0.25   // interval between verdicts, as a share of the longest latency objective
	maxVoteCheckInterval   = 200.0  // ms; upper bound of the interval between verdicts
	voteRenewalShare       = 0.85   // share of VoteTTL after which a vote is renewed
	minPartialGroupSize    = 2      // outcomes from which a group may be evaluated before it is full
	partialGroupInterval   = 4000.0 // ms between two evaluations of a group that is not full
)

// votingState is the state of the instance's vote.
type votingState struct {
	vote           Vote   // newest vote
	castAt         Millis // time at which the vote was cast
	voteAccepted   bool   // the rollout controller has accepted that vote
	nextAt         Millis // no verdict before this time
	partialGroupAt Millis // no evaluation of a partial group before this time
}

// handleVoteResult records the rollout controller's response to a vote. A vote that was not accepted is cast again
// after a random part of the retry wait.
func (b *Balancer) handleVoteResult(result VoteResult) {
	b.voting.voteAccepted = result == VoteAccepted
	wait := b.settings.VoteRetryWait * b.random.Float64()
	if b.voting.voteAccepted {
		wait = 0
	}
	b.voting.nextAt = b.now + wait
}

// castVote casts the instance's vote when the verdict has changed or the vote is about to expire. A vote to roll
// back stands until the next stage. It does nothing before the first stage update, before votingState.nextAt, and
// during or after a rollback.
func (b *Balancer) castVote() {
	update := &b.trial.update
	if !b.trial.updateReceived || b.now < b.voting.nextAt || update.Phase == RollingBack || update.Phase == RolledBack {
		return
	}
	b.voting.nextAt = b.now + min(b.classes.overall.LatencyObjective*voteCheckIntervalShare, maxVoteCheckInterval)
	b.evaluatePartialGroup()
	decided := b.decideVerdict()
	current := b.voting.vote.Verdict
	if current == VoteRollback {
		decided.verdict = VoteRollback
	}
	if decided.verdict == current && (current == VoteNone || b.voteStands()) {
		return
	}
	// Votes to advance are not logged: hundreds of such lines would hide the others.
	if decided.verdict != current && decided.verdict != VoteAdvance {
		b.emit(Log{Text: fmt.Sprintf("vote %d on build %d stage %d: %s",
			decided.verdict, update.Build, update.Stage, decided.reason)})
	}
	b.voting.vote = Vote{Build: update.Build, Stage: update.Stage, Verdict: decided.verdict}
	b.voting.castAt = b.now
	b.voting.voteAccepted = false
	b.voting.nextAt = b.now + b.settings.VoteRetryWait
	b.emit(b.voting.vote)
}

// voteStands reports whether the current vote was accepted and is not about to expire.
func (b *Balancer) voteStands() bool {
	return b.voting.voteAccepted && b.now-b.voting.castAt < b.settings.VoteTTL*voteRenewalShare
}

// evaluatePartialGroup evaluates the candidate's current overall group before it is full, because an instance with
// little traffic does not fill a group in time. It does so at most once per partialGroupInterval, and not before
// noGroupsVoteDelay after the start of the stage.
func (b *Balancer) evaluatePartialGroup() {
	if b.now < b.voting.partialGroupAt || b.now-b.trial.stageStartedAt < noGroupsVoteDelay {
		return
	}
	b.voting.partialGroupAt = b.now + partialGroupInterval
	if overall := b.classes.overall; len(overall.candidate.Partial) >= minPartialGroupSize {
		overall.closeCandidate()
	}
}
