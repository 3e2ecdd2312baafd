package rollout

// Casting votes; votes that wait for their result.

import (
	"sync"
	"time"

	"ottershed/decision"
)

// Fence names a lease under which a vote is cast, and its fencing token. A rollout controller that checks fences
// rejects a vote whose token is below the highest that it has seen of that lease.
type Fence struct {
	Lease string `json:"work"`
	Token uint64 `json:"token"`
}

// Vote casts a vote without fences.
func (c *Client) Vote(vote decision.Vote) { c.VoteFenced(vote, nil) }

// VoteFenced casts a vote with the fences under which it is cast. It does not block. The result comes as one
// StageUpdate; it is VoteFailed if the vote was not sent.
func (c *Client) VoteFenced(vote decision.Vote, fences []Fence) {
	go func() { // a write may block
		conn := c.active.get()
		if conn == nil || !conn.vote(c.ids.next(), vote, fences) {
			c.handle(voteFailedWith(decision.VoteFailed))
		}
	}()
}

// vote writes a vote; false if it was not sent, because the connection has ended.
func (c *connection) vote(id uint64, vote decision.Vote, fences []Fence) bool {
	if !c.votes.add(id, c.client.voteTimeout, func() { c.endVote(id, decision.VoteTimedOut) }) {
		return false
	}
	if !c.write(encodeVote(id, vote, fences)) {
		c.endVote(id, decision.VoteFailed)
		c.close() // a part of a line may have been sent
	}
	return true
}

// endVote hands on a result other than a response, if the vote still waits for one.
func (c *connection) endVote(id uint64, result decision.VoteResult) {
	if c.votes.take(id) {
		c.client.handle(voteFailedWith(result))
	}
}

// voteFailedWith is the result of a vote that the rollout controller has not accepted, as far as is known.
func voteFailedWith(result decision.VoteResult) decision.StageUpdate {
	return decision.StageUpdate{IsVoteResult: true, VoteResult: result}
}

// pendingVotes are the votes of a connection that wait for their result. A vote leaves them by its response, its
// timeout or the end of the connection.
type pendingVotes struct {
	mu      sync.Mutex
	timers  map[uint64]*time.Timer // by the id of the call; nil: the connection has ended
	onEmpty func()                 // nil: nothing is to be done when no vote waits
}

// add adds a vote with its timeout; false if the connection has ended.
func (p *pendingVotes) add(id uint64, timeout time.Duration, onTimeout func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timers == nil {
		return false
	}
	p.timers[id] = time.AfterFunc(timeout, onTimeout)
	return true
}

// take removes a vote and tells whether it still waited.
func (p *pendingVotes) take(id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	timer, waits := p.timers[id]
	if !waits {
		return false
	}
	timer.Stop()
	delete(p.timers, id)
	p.closeIfEmpty()
	return true
}

// closeWhenEmpty calls closeConn as soon as no vote waits. It is called under the lock, so that no vote is added
// between.
func (p *pendingVotes) closeWhenEmpty(closeConn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onEmpty = closeConn
	p.closeIfEmpty()
}

func (p *pendingVotes) closeIfEmpty() {
	if p.onEmpty != nil && len(p.timers) == 0 {
		p.onEmpty()
	}
}

// stop takes no more votes, and returns the ids of those that waited and have not timed out.
func (p *pendingVotes) stop() (waited []uint64) {
	p.mu.Lock()
	timers := p.timers
	p.timers = nil
	p.mu.Unlock()
	for id, timer := range timers {
		if timer.Stop() {
			waited = append(waited, id)
		}
	}
	return waited
}

// idSequence numbers the calls, on all connections.
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
