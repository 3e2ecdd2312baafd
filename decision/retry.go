package decision

import (
	"maps"
	"math"
	"slices"
)

const (
	firstAttemptWait = 0.25 // of the latency objective: a request waits for its first attempt no longer
	retryWait        = 1.0  // of the latency objective, from the request's start: it waits for a retry no longer
	expiryTicks      = 2    // ticks before its deadline at which a waiting request is given up
	retryAfterShare  = 0.25 // of the latency objective is the Retry-After of a rejection
)

// requestTable holds the open requests. A request leaves it once it has its final response and no attempt in
// flight.
type requestTable struct {
	open   map[RequestID]*request
	queues [2][]*request // of requests that wait for a first attempt, and for a retry
}

// request is a client's request.
type request struct {
	*classState
	id           RequestID
	key          uint32   // hash; 0 without a key
	placement    float64  // 0 to 1: the lowest go to the candidate; more after an attempt there
	tenantSlow   *float64 // its tenant's share of slow responses
	receivedAt   Millis
	deadline     Millis
	attempts     []attempt
	inFlight     int
	done         bool // it has its final response, or its client has gone
	healthChecks int  // that were sent for its next attempt

	healthCheckedAt Millis // when the newest of them was sent
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	*endpoint
	startedAt   Millis
	inFlight    bool
	mayHaveRun  bool
	noMigration bool // it is not cancelled or hedged again: it was already, or it streams its response
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil. Retries keep to its time and
// place.
func (r *request) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

// attemptOf returns an open request and one of its attempts, or nil for both.
func (b *Balancer) attemptOf(id RequestID, number int) (*request, *attempt) {
	req := b.requests.open[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return nil, nil
	}
	return req, &req.attempts[number]
}

// handleRequest takes a request into the queue for first attempts.
func (b *Balancer) handleRequest(event RequestReceived) {
	_, b.routing.lastPlacement = math.Modf(b.routing.lastPlacement + math.Phi)
	req := &request{
		id:         event.Request,
		key:        hashKey(event.Key),
		placement:  b.routing.lastPlacement,
		tenantSlow: b.load.tenantShare(event.Tenant),
		receivedAt: b.now,
		deadline:   b.now + event.TTL,
		classState: b.classes.find(event.Class),
	}
	if b.settings.StickyKeys && req.key != 0 {
		// The candidate's part of the keys grows with the stage, so that few keys ever change sides.
		req.placement = float64(req.key) / (1 << 32)
	}
	b.requests.open[req.id] = req
	if !event.Retried {
		b.trial.arrivalRate += 1 / b.settings.SlowStartWindow
	}
	*b.exposureTokens(req) += b.exposureRefill()
	b.requests.queues[firstAttempts] = append(b.requests.queues[firstAttempts], req)
	b.dispatch()
}

// dispatch starts attempts of the waiting requests, first attempts before retries, and gives up those that
// have expired.
func (b *Balancer) dispatch() {
	for queue, wait := range []float64{firstAttemptWait, retryWait} {
		waiting := b.requests.queues[queue]
		left := waiting[:0]
		for _, req := range waiting {
			switch {
			case req.done || b.startAttempt(req):
			case b.expired(req, wait):
				b.giveUp(req)
			default:
				left = append(left, req)
			}
		}
		clear(waiting[len(left):])
		b.requests.queues[queue] = left
	}
}

// expired tells whether a waiting request is given up: nothing can come of it any more, or it has waited for
// a share of its latency objective.
func (b *Balancer) expired(req *request, wait float64) bool {
	mayNotRepeat := req.Idempotency == NonIdempotent && req.firstThatMayHaveRun() != nil
	if mayNotRepeat || len(req.attempts) >= b.settings.MaxAttempts {
		return true
	}
	return b.now >= min(req.receivedAt+req.LatencyObjective*wait, req.deadline-expiryTicks*b.tickInterval)
}

// giveUp gives the final response at once: a rejection with Retry-After where the client may send the request
// again without harm, else an error.
func (b *Balancer) giveUp(req *request) {
	if req.firstThatMayHaveRun() == nil || req.Idempotency == Idempotent ||
		req.Idempotency == IdempotentWithKey && req.RetryScope == ScopeAll {
		retryAfter := min(b.settings.MaxRetryAfter, req.LatencyObjective*retryAfterShare)
		b.emit(Reject{Request: req.id, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{Request: req.id})
	}
	b.finish(req)
}

// finish forgets a request that has its final response once its attempts have ended, and cancels those in
// flight.
func (b *Balancer) finish(req *request) {
	req.done = true
	if req.inFlight == 0 {
		delete(b.requests.open, req.id)
	}
	for i := range req.attempts {
		if att := &req.attempts[i]; att.inFlight && !att.noMigration && b.settings.CancelAllowed {
			att.noMigration = true
			b.emit(Cancel{Request: req.id, Attempt: i})
		}
	}
}

// startAttempt sends a request to the endpoint that is chosen for it, and tells whether there is one.
func (b *Balancer) startAttempt(req *request) bool {
	if b.load.full() {
		return false
	}
	ep := b.choose(req)
	if ep == nil {
		return false
	}
	action := StartAttempt{Request: req.id, Endpoint: ep.ID}
	if first := req.firstThatMayHaveRun(); first != nil && req.Idempotency == IdempotentWithKey {
		// Its connection may come up late, when endpoints have forgotten the key.
		action.SendBy = b.lastRetryAt(req, first)
	}
	if !b.settings.CancelAllowed && req.Idempotency != NonIdempotent {
		action.Timeout = req.LatencyObjective
	}
	b.countAttempt(req, ep)
	b.emit(action)
	return true
}

// countAttempt notes an attempt that starts, and takes it from all balances.
func (b *Balancer) countAttempt(req *request, target *endpoint) {
	req.placement += float64(b.sideOf(target)) // after the candidate, a retry goes to the baseline
	req.healthChecks = 0
	target.healthCheckedAt = 0
	if target.inFlight == 0 {
		target.lastResponseAt = b.now
	}
	target.inFlight++
	req.inFlight++
	b.load.inFlight++
	started := attempt{endpoint: target, startedAt: b.now, inFlight: true, mayHaveRun: true}
	req.attempts = append(req.attempts, started)
	if b.trialOf(target.Build).active {
		*b.exposureTokens(req)--
	}
	if b.warmingUp(target) {
		target.slowStartCredit--
	}
}

// handleResponseStart binds a request to an endpoint that streams its response: it is not retried, and has no
// deadline.
func (b *Balancer) handleResponseStart(event ResponseStarted) {
	req, att := b.attemptOf(event.Request, event.Attempt)
	if att == nil {
		return
	}
	req.deadline = math.Inf(1)
	att.noMigration = true
	b.recordResponse(att.endpoint)
}

// handleAttemptEnd takes the outcome of an attempt into all observations, and has the request wait for a
// retry unless it is finished.
func (b *Balancer) handleAttemptEnd(event AttemptEnded) {
	req, att := b.attemptOf(event.Request, event.Attempt)
	if att == nil || !att.inFlight {
		return
	}
	att.inFlight = false
	att.mayHaveRun = event.Outcome.mayHaveRun()
	req.inFlight--
	att.endpoint.inFlight--
	b.load.inFlight--
	b.observeMissedObjective(req, att, event)
	if event.Outcome == Succeeded || event.Outcome == TimedOut {
		b.adjustTotalLimit(req, event.After)
	}
	b.observeEndpoint(att.endpoint, event)
	b.recordOutcome(req, att.endpoint, event)
	if event.Outcome == Succeeded {
		b.recordStickyKey(req, att.endpoint)
	}
	if req.done || event.RequestEnded {
		b.finish(req)
	} else if req.inFlight == 0 {
		b.requests.queues[retries] = append(b.requests.queues[retries], req)
	}
	b.dispatch()
}

// handleClientDisconnect ends a request whose client has left.
func (b *Balancer) handleClientDisconnect(event ClientDisconnected) {
	if req := b.requests.open[event.Request]; req != nil {
		b.finish(req)
	}
}

// migrateFromSilent moves requests that may run again off silent endpoints, by a hedged attempt where that is
// allowed, else by cancelling the attempt so that a retry follows.
func (b *Balancer) migrateFromSilent() {
	for _, id := range slices.Sorted(maps.Keys(b.requests.open)) {
		req := b.requests.open[id]
		last := len(req.attempts) - 1
		if !b.shouldMigrate(req, last) {
			continue
		}
		if b.settings.HedgingAllowed {
			moved := b.startAttempt(req) // it may move the slice of attempts
			req.attempts[last].noMigration = moved
		} else if b.settings.CancelAllowed && len(req.attempts) < b.settings.MaxAttempts {
			req.attempts[last].noMigration = true
			b.emit(Cancel{Request: req.id, Attempt: last})
		}
	}
}

// shouldMigrate tells whether a request's one attempt in flight stands at a silent endpoint. The attempt by
// which an ejected endpoint is tried again gets some time.
func (b *Balancer) shouldMigrate(req *request, last int) bool {
	if req.done || req.inFlight != 1 || req.Idempotency == NonIdempotent {
		return false
	}
	att := &req.attempts[last]
	if !att.inFlight || att.noMigration {
		return false
	}
	ejected := att.ejections > 0 && b.now < att.ejectedUntil
	return ejected || b.suspicion(att.endpoint) >= ejectSuspicion
}
