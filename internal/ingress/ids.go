package ingress

import (
	"hash/maphash"
	"sync"
)

// maxExecutedIDs is the number of requests whose ids are remembered after they may have run. A higher value keeps a
// repeated id from running for longer, and needs some 30 bytes for each.
const maxExecutedIDs = 1 << 14

// requestIDs holds the correlation ids that a new request must not have. These are the ids of open requests, since endpoints
// take two requests with one id for copies of one, and the ids of requests that must not run again and may have run: their
// client may have left without a response, or sent the same request twice.
type requestIDs struct {
	mu       sync.Mutex
	open     map[string]*idClaim // an entry is removed when its last holder releases it
	executed executedIDs
}

// idClaim is the claim of an open request on its id. The request's handler holds it, and the engine while it has attempts.
type idClaim struct {
	ids     *requestIDs
	id      string
	holders int // protected by ids.mu
}

func newRequestIDs() *requestIDs {
	return &requestIDs{open: map[string]*idClaim{}, executed: newExecutedIDs(maxExecutedIDs)}
}

// claim returns a claim on an id with one holder. The error is errCorrelationIDInUse or errCorrelationIDExecuted.
func (r *requestIDs) claim(id string) (*idClaim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[id] != nil {
		return nil, errCorrelationIDInUse
	}
	if r.executed.contains(id) {
		return nil, errCorrelationIDExecuted
	}
	claim := &idClaim{r, id, 1}
	r.open[id] = claim
	return claim, nil
}

// count returns the number of claimed ids.
func (r *requestIDs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// hold adds a holder.
func (c *idClaim) hold() {
	c.ids.mu.Lock()
	defer c.ids.mu.Unlock()
	c.holders++
}

// release removes a holder. The id is free after the last one, unless executed is true: then it stays taken.
func (c *idClaim) release(executed bool) {
	c.ids.mu.Lock()
	defer c.ids.mu.Unlock()
	if executed {
		c.ids.executed.add(c.id)
	}
	if c.holders--; c.holders == 0 {
		delete(c.ids.open, c.id)
	}
}

// executedIDs remembers the newest of the ids that were added, by hashes that strangers can't predict.
type executedIDs struct {
	seed   maphash.Seed
	hashes map[uint64]int // how often each hash is in order
	order  []uint64       // oldest at next once it is full
	next   int
	limit  int
}

func newExecutedIDs(limit int) executedIDs {
	return executedIDs{seed: maphash.MakeSeed(), hashes: map[uint64]int{}, limit: limit}
}

func (e *executedIDs) contains(id string) bool { return e.hashes[maphash.String(e.seed, id)] > 0 }

// add remembers an id, and forgets the oldest one beyond the limit.
func (e *executedIDs) add(id string) {
	hash := maphash.String(e.seed, id)
	e.hashes[hash]++
	if len(e.order) < e.limit {
		e.order = append(e.order, hash)
		return
	}
	e.forget(e.order[e.next])
	e.order[e.next] = hash
	e.next = (e.next + 1) % e.limit
}

// forget removes one of the entries of a hash.
func (e *executedIDs) forget(hash uint64) {
	if e.hashes[hash]--; e.hashes[hash] == 0 {
		delete(e.hashes, hash)
	}
}
