package decision

import "fmt"

const (
	voteCheckIntervalShare = 0.25   // interval between verdicts: this share of the longest latency objective
	maxVoteCheckInterval   = 200.0  // ms; its upper bound
	voteRenewalShare       = 0.85   // of its time to live: a vote is renewed at this age
	minPartialGroupSize    = 2      // outcomes that a group must have to be judged before it is full
	partialGroupInterval   = 4000.0 // ms between two such groups
)

// ballot is the vote that the instance has cast.
type votingState struct {
	vote           Vote
	castAt         Millis
	accepted       bool   // by the rollout controller
	nextAt         Millis // no vote is cast before
	partialGroupAt Millis // the overall group that is being filled is judged as it is from then on
}

// noteVoteResult takes the rollout controller's response to a vote. One that was not accepted is cast again
// after a while, at a random time.
func (b *Balancer) handleVoteResult(result VoteResult) {
	b.voting.accepted = result == VoteAccepted
	wait := b.settings.VoteWait * b.random.Next()
	if b.voting.accepted {
		wait = 0
	}
	b.voting.nextAt = b.now + wait
}

// castVote casts the instance's vote when it changes or is about to lapse. A vote to roll back stands until
// the next stage.
func (b *Balancer) castVote() {
	update := &b.trial.update
	if !b.trial.known || b.now < b.voting.nextAt || update.Phase == RollingBack || update.Phase == RolledBack {
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
	// Hundreds of lines on votes to advance would hide the others.
	if decided.verdict != current && decided.verdict != VoteAdvance {
		b.emit(Log{Text: fmt.Sprintf("vote %d on build %d stage %d: %s",
			decided.verdict, update.Build, update.Stage, decided.reason)})
	}
	b.voting.vote = Vote{Build: update.Build, Stage: update.Stage, Verdict: decided.verdict}
	b.voting.castAt = b.now
	b.voting.accepted = false
	b.voting.nextAt = b.now + b.settings.VoteWait
	b.emit(b.voting.vote)
}

// voteStands tells whether the current vote was accepted and is not about to lapse.
func (b *Balancer) voteStands() bool {
	return b.voting.accepted && b.now-b.voting.castAt < b.settings.VoteTTL*voteRenewalShare
}

// judgePartialGroup judges the overall group that is being filled as it is, where an instance has too little
// traffic to fill one in time.
func (b *Balancer) evaluatePartialGroup() {
	if b.now < b.voting.partialGroupAt || b.now-b.trial.stageStartedAt < noGroupsVoteDelay {
		return
	}
	b.voting.partialGroupAt = b.now + partialGroupInterval
	if overall := b.classes.overall; len(overall.candidate.Fill) >= minPartialGroupSize {
		overall.closeCandidate()
	}
}
