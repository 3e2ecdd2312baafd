package rollout

// Votes and the results that they wait for.

import (
	"sync"
	"time"

	"ottershed/decision"
)

// Fence is a lease under which a vote is cast, with the fencing token of its holder. A rollout controller that checks
// fences rejects a vote whose token is below the highest one that it has seen for that lease.
type Fence struct {
	Lease string `json:"work"`
	Token uint64 `json:"token"`
}

// Vote casts a vote without fences, as VoteWithFences does.
func (c *Client) Vote(vote decision.Vote) { c.VoteWithFences(vote, nil) }

// VoteWithFences casts a vote under the leases in fences, without blocking. Each vote gets one result, as a StageUpdate
// with IsVoteResult. The result is VoteFailed if the vote was not sent.
func (c *Client) VoteWithFences(vote decision.Vote, fences []Fence) {
	go func() { // because a write may block
		conn := c.active.get()
		if conn == nil || !conn.sendVote(c.ids.next(), vote, fences) {
			c.handle(failedVote(decision.VoteFailed))
		}
	}()
}

// sendVote sends a vote. It returns false if the connection has ended and the vote was not sent.
func (c *connection) sendVote(id uint64, vote decision.Vote, fences []Fence) bool {
	if !c.votes.add(id, c.client.voteTimeout, func() { c.failVote(id, decision.VoteTimedOut) }) {
		return false
	}
	if !c.write(encodeVote(id, vote, fences)) {
		c.failVote(id, decision.VoteFailed)
		c.close() // a part of the line may have been sent
	}
	return true
}

// failVote passes on the result of a vote that got no response, if the vote is still pending.
func (c *connection) failVote(id uint64, result decision.VoteResult) {
	if c.votes.remove(id) {
		c.client.handle(failedVote(result))
	}
}

// failedVote returns the update for a vote that the rollout controller is not known to have accepted.
func failedVote(result decision.VoteResult) decision.StageUpdate {
	return decision.StageUpdate{IsVoteResult: true, VoteResult: result}
}

// pendingVotes holds the votes of a connection that wait for their result. A vote is removed by its response, its
// timeout or the end of the connection.
type pendingVotes struct {
	mu      sync.Mutex
	timers  map[uint64]*time.Timer // timeouts by id of the call; nil after the connection has ended
	onEmpty func()                 // called under mu once no vote is pending; may be nil
}

// add adds a vote with its timeout. It returns false if the connection has ended.
func (p *pendingVotes) add(id uint64, timeout time.Duration, onTimeout func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timers == nil {
		return false
	}
	p.timers[id] = time.AfterFunc(timeout, onTimeout)
	return true
}

// remove removes a vote and returns whether the vote was pending.
func (p *pendingVotes) remove(id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	timer, pending := p.timers[id]
	if !pending {
		return false
	}
	timer.Stop()
	delete(p.timers, id)
	p.closeIfEmpty()
	return true
}

// closeWhenEmpty calls closeConn as soon as no vote is pending. The call is made under the lock, so that no vote is
// added between the check and the call.
func (p *pendingVotes) closeWhenEmpty(closeConn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onEmpty = closeConn
	p.closeIfEmpty()
}

// closeIfEmpty calls onEmpty if it is set and no vote is pending. The caller holds mu.
func (p *pendingVotes) closeIfEmpty() {
	if p.onEmpty != nil && len(p.timers) == 0 {
		p.onEmpty()
	}
}

// stop rejects further votes. It returns the ids of the pending votes that have not timed out.
func (p *pendingVotes) stop() (pending []uint64) {
	p.mu.Lock()
	timers := p.timers
	p.timers = nil
	p.mu.Unlock()
	for id, timer := range timers {
		if timer.Stop() {
			pending = append(pending, id)
		}
	}
	return pending
}

// idSequence numbers the calls of all connections.
type idSequence struct {
	mu   sync.Mutex
	last uint64
}

func (s *idSequence) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return s.last
}
