package decision

import (
	"maps"
	"math"
	"slices"
)

const (
	// firstAttemptWait is the share of its latency objective that a request waits at most for its first attempt.
	firstAttemptWait = 0.25
	// retryWait is the share of its latency objective, from its arrival on, until which a request waits for a retry.
	retryWait   = 1.0
	expiryTicks = 2 // ticks before the deadline at which a waiting request expires
	// retryAfterShare is the share of the latency objective that a rejection returns as Retry-After.
	retryAfterShare = 0.25
)

// requestTable holds the open requests. A request is removed once it has its final response and no attempt is
// in flight.
type requestTable struct {
	open   map[RequestID]*request
	queues [2][]*request // requests that wait for their first attempt or for a retry
}

// request is an open request with its attempts.
type request struct {
	*classState
	id              RequestID
	keyHash         uint32   // 0: the request has no key
	placement       float64  // 0 to 1; below candidateShare: meant for the candidate
	tenantSlowShare *float64 // the tenant's share of slow responses
	receivedAt      Millis
	deadline        Millis
	attempts        []attempt
	inFlight        int
	done            bool // final response sent, or client disconnected
	healthChecks    int  // health checks sent before the next attempt

	healthCheckSentAt Millis // time at which the newest of these checks was sent
}

// attempt is an attempt to serve a request at an endpoint.
type attempt struct {
	*endpoint
	startedAt   Millis
	inFlight    bool
	mayHaveRun  bool // the endpoint may have run the request; assumed while the attempt is in flight
	noMigration bool // not to be cancelled or hedged, because it already was, or because its response is being streamed
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil. That attempt determines where and how
// long the request may be retried.
func (r *request) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

// attemptOf returns an open request and one of its attempts, or nil for both.
func (b *Balancer) attemptOf(id RequestID, index int) (*request, *attempt) {
	req := b.requests.open[id]
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil, nil
	}
	return req, &req.attempts[index]
}

// handleRequest adds a request to the queue for first attempts.
func (b *Balancer) handleRequest(event RequestReceived) {
	_, b.routing.lastPlacement = math.Modf(b.routing.lastPlacement + math.Phi)
	req := &request{
		id:              event.Request,
		keyHash:         hashKey(event.Key),
		placement:       b.routing.lastPlacement,
		tenantSlowShare: b.load.tenantShare(event.Tenant),
		receivedAt:      b.now,
		deadline:        b.now + event.Remaining,
		classState:      b.classes.find(event.Class),
	}
	if b.settings.StickyKeys && req.keyHash != 0 {
		// Placement by key, so that few keys change sides while the candidate's share grows with the stage.
		req.placement = float64(req.keyHash) / (1 << 32)
	}
	b.requests.open[req.id] = req
	if !event.Retried {
		b.trial.arrivalRate += 1 / b.settings.SlowStartWindow
	}
	*b.exposureTokens(req) += b.exposureRefill()
	b.requests.queues[firstAttempts] = append(b.requests.queues[firstAttempts], req)
	b.dispatch()
}

// dispatch starts attempts of waiting requests, first attempts before retries, and sends the final response to
// requests that must stop waiting.
func (b *Balancer) dispatch() {
	for queue, waitShare := range []float64{firstAttemptWait, retryWait} {
		waiting := b.requests.queues[queue]
		remaining := waiting[:0]
		for _, req := range waiting {
			switch {
			case req.done || b.startAttempt(req):
			case b.mustStopWaiting(req, waitShare):
				b.giveUp(req)
			default:
				remaining = append(remaining, req)
			}
		}
		clear(waiting[len(remaining):])
		b.requests.queues[queue] = remaining
	}
}

// mustStopWaiting reports whether a waiting request must not wait any longer. That is the case if no further attempt is
// allowed, if its wait exceeds waitShare times its latency objective, or if its deadline is near.
func (b *Balancer) mustStopWaiting(req *request, waitShare float64) bool {
	noRetryAllowed := req.Idempotency == NonIdempotent && req.firstThatMayHaveRun() != nil
	if noRetryAllowed || len(req.attempts) >= b.settings.MaxAttempts {
		return true
	}
	return b.now >= min(req.receivedAt+req.LatencyObjective*waitShare, req.deadline-expiryTicks*b.tickInterval)
}

// giveUp sends the final response to a request: a rejection with Retry-After if the client may safely send the
// request again, else an error.
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

// finish marks a request as done, cancels its attempts in flight where cancelling is allowed, and removes the
// request if none is in flight.
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

// startAttempt starts an attempt of a request at the chosen endpoint. It reports whether an attempt was started.
func (b *Balancer) startAttempt(req *request) bool {
	if b.load.full() {
		return false
	}
	ep := b.chooseBySide(req)
	if ep == nil {
		return false
	}
	action := StartAttempt{Request: req.id, Endpoint: ep.ID}
	if first := req.firstThatMayHaveRun(); first != nil && req.Idempotency == IdempotentWithKey {
		// Otherwise a connection that is established late would send the request after endpoints have dropped the key.
		action.SendBy = b.retryDeadline(req, first)
	}
	if !b.settings.CancelAllowed && req.Idempotency != NonIdempotent {
		action.Timeout = req.LatencyObjective
	}
	b.countAttempt(req, ep)
	b.emit(action)
	return true
}

// countAttempt records a new attempt, and takes its tokens from the exposure and the slow start credit.
func (b *Balancer) countAttempt(req *request, target *endpoint) {
	req.placement += float64(b.sideOf(target)) // after an attempt at the candidate, retries go to the baseline
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

// handleResponseStart keeps a request at the endpoint that streams its response: the attempt is not migrated, and
// the request's deadline no longer applies.
func (b *Balancer) handleResponseStart(event ResponseStarted) {
	req, att := b.attemptOf(event.Request, event.Attempt)
	if att == nil {
		return
	}
	req.deadline = math.Inf(1)
	att.noMigration = true
	b.recordResponse(att.endpoint)
}

// handleAttemptEnd updates all observations with the outcome of an attempt, and queues the request for a retry
// unless the request is done. An attempt that is unknown or has already ended is ignored.
func (b *Balancer) handleAttemptEnd(event AttemptEnded) {
	req, att := b.attemptOf(event.Request, event.Attempt)
	if att == nil || !att.inFlight {
		return
	}
	att.inFlight = false
	att.mayHaveRun = event.Outcome.MayHaveRun()
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

// handleClientDisconnect ends a request whose client has disconnected.
func (b *Balancer) handleClientDisconnect(event ClientDisconnected) {
	if req := b.requests.open[event.Request]; req != nil {
		b.finish(req)
	}
}

// migrateFromSilent migrates requests that may run again from silent endpoints. It hedges a request if that is
// allowed, and otherwise cancels the attempt, so that a retry follows. If neither is allowed, it does nothing.
func (b *Balancer) migrateFromSilent() {
	for _, id := range slices.Sorted(maps.Keys(b.requests.open)) {
		req := b.requests.open[id]
		lastIndex := len(req.attempts) - 1
		if !b.shouldMigrate(req, lastIndex) {
			continue
		}
		if b.settings.HedgingAllowed {
			hedged := b.startAttempt(req) // may reallocate req.attempts
			req.attempts[lastIndex].noMigration = hedged
		} else if b.settings.CancelAllowed && len(req.attempts) < b.settings.MaxAttempts {
			req.attempts[lastIndex].noMigration = true
			b.emit(Cancel{Request: req.id, Attempt: lastIndex})
		}
	}
}

// shouldMigrate reports whether a request is to be migrated: its last attempt is the only one in flight, and is at a
// silent or ejected endpoint. The attempt that tests an endpoint after its ejection time is not migrated at once, so
// that the endpoint has time to respond.
func (b *Balancer) shouldMigrate(req *request, lastIndex int) bool {
	if req.done || req.inFlight != 1 || req.Idempotency == NonIdempotent {
		return false
	}
	att := &req.attempts[lastIndex]
	if !att.inFlight || att.noMigration {
		return false
	}
	ejected := att.ejections > 0 && b.now < att.ejectedUntil
	return ejected || b.suspicion(att.endpoint) >= ejectSuspicion
}
