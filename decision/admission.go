package decision

// timerMargin is how many steps of the clock are kept as a margin before a time limit.
const timerMargin = 2

// admits is the gate before every attempt: it tells whether this request may go to this endpoint now. All
// rules that an attempt must keep stand here, whatever the reason for the attempt.
func (b *Balancer) admits(req *request, ep *endpoint) bool {
	return b.mayAttempt(req) &&
		ep.State == Serving &&
		b.withinRetryScope(req, ep) &&
		b.withinExposure(req, ep) &&
		b.withinStickiness(req, ep)
}

// mayAttempt tells whether a request may have another attempt at any endpoint: before its deadline, within
// the number of attempts, and beside one in flight only where hedging is allowed.
func (b *Balancer) mayAttempt(req *request) bool {
	if req.done || b.now >= req.deadline || len(req.attempts) >= b.settings.MaxAttempts {
		return false
	}
	return req.inFlight == 0 || b.settings.HedgingAllowed && req.inFlight == 1
}

// withinRetryScope keeps a request from running twice. Once an attempt may have run, a non-idempotent request
// has no other, and one with an idempotency key keeps to the scope and the time in which endpoints remember
// that key.
func (b *Balancer) withinRetryScope(req *request, ep *endpoint) bool {
	first := req.firstThatMayHaveRun()
	if first == nil || req.Idempotency == Idempotent {
		return true
	}
	if req.Idempotency == NonIdempotent || b.now >= b.lastRetryAt(req, first) {
		return false
	}
	switch req.RetryScope {
	case ScopeCell:
		return first.Zone == ep.Zone && first.Cell == ep.Cell
	case ScopeZone:
		return first.Zone == ep.Zone
	default:
		return true
	}
}

// lastRetryAt is when retries of a request with an idempotency key end.
func (b *Balancer) lastRetryAt(req *request, first *attempt) Millis {
	return first.startedAt + req.DedupWindow - timerMargin*b.settings.ClockGranularity
}

// withinExposure keeps the exposure cap of a build in trial, and guarded stages to idempotent requests.
func (b *Balancer) withinExposure(req *request, ep *endpoint) bool {
	trial := b.trialOf(ep.Build)
	if !trial.active {
		return true
	}
	guarded := trial.stage < b.settings.GuardedStages && req.Idempotency != Idempotent
	return trial.exposureCap > 0 && *b.exposureTokens(req) >= 1 && !guarded
}

// withinStickiness keeps a key that the candidate has answered from going back to an earlier build.
func (b *Balancer) withinStickiness(req *request, ep *endpoint) bool {
	if !b.settings.StickyKeys || req.key == 0 || ep.Build >= b.sticky.build {
		return true
	}
	return !b.sticky.hashes[stickyHash(req.key)]
}
