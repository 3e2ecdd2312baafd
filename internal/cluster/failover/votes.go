package failover

import "ottershed/decision"

// Vote sends a vote with the fences of the leases that its evidence comes from. A vote that needs a valid lease is not
// sent without one; the decision module then receives the result VoteFailed.
func (mgr *Manager) Vote(v decision.Vote) {
	allowed, fences := mgr.own.mayVote(v.Verdict, mgr.clock.Now())
	if !allowed {
		mgr.engine.HandleEvent(decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteFailed})
		return
	}
	mgr.controller.VoteWithFences(v, fences)
}
