package decision

// timerMarginSteps times the clock granularity is the time before the end of the DedupWindow at which retries end.
const timerMarginSteps = 2

// admits reports whether an attempt of a request may start at an endpoint now. Every attempt passes this check,
// whatever its reason, so that all admission rules are enforced in one place.
func (b *Balancer) admits(req *request, ep *endpoint) bool {
	return b.mayAttempt(req) &&
		ep.State == Serving &&
		b.withinRetryScope(req, ep) &&
		b.withinExposureCap(req, ep) &&
		b.allowedByStickyKey(req, ep)
}

// mayAttempt reports whether another attempt of a request may start at any endpoint. The request must be open,
// before its deadline and below MaxAttempts. With one attempt in flight, another one requires HedgingAllowed.
func (b *Balancer) mayAttempt(req *request) bool {
	if req.done || b.now >= req.deadline || len(req.attempts) >= b.settings.MaxAttempts {
		return false
	}
	return req.inFlight == 0 || b.settings.HedgingAllowed && req.inFlight == 1
}

// withinRetryScope prevents a request from running twice. Once an attempt may have run, a non-idempotent
// request gets no other attempt, and a request with an idempotency key is retried only within the scope and
// the time in which endpoints remember the key.
func (b *Balancer) withinRetryScope(req *request, ep *endpoint) bool {
	first := req.firstThatMayHaveRun()
	if first == nil || req.Idempotency == Idempotent {
		return true
	}
	if req.Idempotency == NonIdempotent || b.now >= b.retryDeadline(req, first) {
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

// retryDeadline returns the time from which a request with an idempotency key must not be retried. first is its first
// attempt that may have run.
func (b *Balancer) retryDeadline(req *request, first *attempt) Millis {
	return first.startedAt + req.DedupWindow - timerMarginSteps*b.settings.ClockGranularity
}

// withinExposureCap enforces the exposure cap of a build in trial, and restricts guarded stages to idempotent
// requests. It allows every endpoint whose build is not in trial.
func (b *Balancer) withinExposureCap(req *request, ep *endpoint) bool {
	trial := b.trialOf(ep.Build)
	if !trial.active {
		return true
	}
	guarded := trial.stage < b.settings.GuardedStages && req.Idempotency != Idempotent
	return trial.exposureCap > 0 && *b.exposureTokens(req) >= 1 && !guarded
}

// allowedByStickyKey prevents a request from going to an earlier build once a newer build has responded to its key.
// It allows every endpoint without Settings.StickyKeys, or if the request has no key.
func (b *Balancer) allowedByStickyKey(req *request, ep *endpoint) bool {
	if !b.settings.StickyKeys || req.keyHash == 0 || ep.Build >= b.sticky.build {
		return true
	}
	return !b.sticky.hashes[stickyHash(req.keyHash)]
}
