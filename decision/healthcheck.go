package decision

import "cmp"

const (
	maxHealthChecks     = 3                  // health checks before one attempt
	idleRatio           = 1.25               // duration of a check over that of an idle one, up to which it is idle
	missedWeight        = 0.15 * 0.15        // weight of the newest attempt in the share of missed requests
	missedSharePerPrice = 2                  // checks start at a missed share of so many times their price
	checkTimeoutSteps   = 2                  // steps of the clock that a request waits for a health check
	checkTimerToken     = 1                  // token of the wake-up at which a check times out; 0 is the tick
	minIdleCoreShare    = 1e-9               // the least share of idle cores, a divisor
	idleDurationRise    = 0.15 * 0.15 * 0.25 // share by which the idle duration rises with each check
	idleDurationFall    = 0.15 * 0.15        // and falls with each faster one; it settles at the fastest fifth
)

// healthChecks is what is known of the duration of health checks.
type healthChecks struct {
	idleDuration [2]Millis // by zone: the duration of a check of an idle endpoint
	missedShare  float64   // smoothed share of requests that were late or lost
}

// observeMiss takes an attempt's outcome into the share of missed requests.
func (b *Balancer) observeMissedObjective(req *request, att *attempt, event AttemptEnded) {
	b.checks.missedShare -= missedWeight * b.checks.missedShare
	late := b.now > req.receivedAt+req.LatencyObjective
	if att.mayHaveRun && (event.Outcome != Succeeded || late) {
		b.checks.missedShare += missedWeight
	}
}

// checksWanted tells whether endpoints are checked before an attempt: where there is a choice between them,
// and what is missed without checks costs more than the checks.
func (b *Balancer) shouldHealthCheck() bool {
	eligible := len(b.routing.eligible[homeZone]) + len(b.routing.eligible[otherZone])
	return b.settings.HealthChecksAllowed && eligible > 1 &&
		b.checks.missedShare > missedSharePerPrice*b.settings.HealthCheckPrice
}

// healthCheckFirst checks endpoints for a request one after another until one is idle. best is the best
// endpoint among those whose checks have come back. It does not decide when no endpoint can be checked.
func (b *Balancer) healthCheckFirst(req *request, best *endpoint) (choice endpointChoice, decided bool) {
	timeout := checkTimeoutSteps * b.settings.ClockGranularity
	switch {
	case best != nil && best.healthCheckRatio <= idleRatio:
		return endpointChoice{endpoint: best}, true
	case b.now < req.healthCheckedAt+timeout:
		return endpointChoice{awaitCheck: true}, true
	case req.healthChecks < maxHealthChecks:
		ep := b.drawEndpointToCheck(req)
		if ep == nil {
			return endpointChoice{}, false
		}
		req.healthChecks++
		req.healthCheckedAt = b.now
		b.emit(StartHealthCheck{Endpoint: ep.ID})
		b.emit(WakeAt{Token: checkTimerToken, At: b.now + timeout})
		return endpointChoice{awaitCheck: true}, true
	case best != nil:
		return endpointChoice{endpoint: best}, true
	}
	return endpointChoice{}, false
}

// drawToCheck draws an eligible endpoint at home, and in another zone for the last check or where home has
// none. It returns nil where the draw falls on warming endpoints without credit.
func (b *Balancer) drawEndpointToCheck(req *request) *endpoint {
	zone := homeZone
	lastCheck := req.healthChecks == maxHealthChecks-1
	if len(b.routing.eligible[homeZone]) == 0 || lastCheck && len(b.routing.eligible[otherZone]) > 0 {
		zone = otherZone
	}
	return b.routing.eligible[zone][b.random.Draw(b.routing.weights[zone])]
}

// handleHealthCheck takes the result of a health check. An endpoint answers a check at once whatever waits
// there, so the utilisation that it reports counts beside the duration.
func (b *Balancer) handleHealthCheck(event HealthCheckEnded) {
	ep := b.endpoints.byID[event.Endpoint]
	if ep == nil || event.Outcome != Succeeded {
		return
	}
	baseline := &b.checks.idleDuration[b.zoneIndex(ep)]
	*baseline = cmp.Or(*baseline, event.After)
	ep.healthCheckRatio = event.After / *baseline
	ep.healthCheckedAt = b.now
	if event.Load != nil && event.Load.Util >= 0 {
		ep.healthCheckRatio = max(ep.healthCheckRatio, 1/max(1-event.Load.Util, minIdleCoreShare))
	}
	*baseline *= 1 + idleDurationRise
	if ep.healthCheckRatio < 1 {
		*baseline *= 1 - idleDurationFall
	}
	b.dispatch()
}

// recentlyChecked tells whether a health check of an endpoint has just come back and no request was sent
// there since.
func (b *Balancer) recentlyChecked(ep *endpoint) bool {
	return ep.healthCheckedAt > 0 && b.now-ep.healthCheckedAt < b.load.baseLatency
}
