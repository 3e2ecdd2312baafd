package decision

import "cmp"

const (
	maxHealthChecks     = 3                  // maximum number of health checks before one attempt
	idleRatio           = 1.25               // healthCheckRatio up to which an endpoint is idle
	missedWeight        = 0.15 * 0.15        // weight of the newest attempt in missedShare
	missedSharePerPrice = 2                  // ratio of missedShare to HealthCheckPrice from which endpoints are checked
	checkTimeoutSteps   = 2                  // steps of the clock that a request waits for a health check
	checkTimerToken     = 1                  // token of the timer for the timeout of a check; 0 is the tick
	minIdleCoreShare    = 1e-9               // lower bound of the reported idle share of cores, which is a divisor
	idleDurationRise    = 0.15 * 0.15 * 0.25 // share by which idleDuration rises with each check
	// idleDurationFall is the share by which idleDuration falls with each faster check. With idleDurationRise, it settles
	// where 1 in 4 checks is faster.
	idleDurationFall = 0.15 * 0.15
)

// healthChecks holds the observations by which endpoints are checked before attempts.
type healthChecks struct {
	idleDuration [2]Millis // estimated duration of a check at an idle endpoint, by zone
	missedShare  float64   // smoothed share of attempts that may have run and failed or were late
}

// observeMissedObjective updates missedShare with the outcome of an attempt.
func (b *Balancer) observeMissedObjective(req *request, att *attempt, event AttemptEnded) {
	b.checks.missedShare -= missedWeight * b.checks.missedShare
	late := b.now > req.receivedAt+req.LatencyObjective
	if att.mayHaveRun && (event.Outcome != Succeeded || late) {
		b.checks.missedShare += missedWeight
	}
}

// shouldHealthCheck reports whether endpoints are checked before an attempt. That requires at least two eligible
// endpoints, and a missedShare that costs more than the checks.
func (b *Balancer) shouldHealthCheck() bool {
	eligible := len(b.routing.eligible[homeZone]) + len(b.routing.eligible[otherZone])
	return b.settings.HealthChecksAllowed && eligible > 1 &&
		b.checks.missedShare > missedSharePerPrice*b.settings.HealthCheckPrice
}

// healthCheckFirst checks endpoints for a request one after another until one of them is idle. best is the best
// endpoint with a recent check, or nil. decided is false if no endpoint can be checked.
func (b *Balancer) healthCheckFirst(req *request, best *endpoint) (choice endpointChoice, decided bool) {
	timeout := checkTimeoutSteps * b.settings.ClockGranularity
	switch {
	case best != nil && best.healthCheckRatio <= idleRatio:
		return endpointChoice{endpoint: best}, true
	case b.now < req.healthCheckSentAt+timeout:
		return endpointChoice{awaitCheck: true}, true
	case req.healthChecks < maxHealthChecks:
		ep := b.drawEndpointToCheck(req)
		if ep == nil {
			return endpointChoice{}, false
		}
		req.healthChecks++
		req.healthCheckSentAt = b.now
		b.emit(StartHealthCheck{Endpoint: ep.ID})
		b.emit(WakeAt{Token: checkTimerToken, At: b.now + timeout})
		return endpointChoice{awaitCheck: true}, true
	case best != nil:
		return endpointChoice{endpoint: best}, true
	}
	return endpointChoice{}, false
}

// drawEndpointToCheck draws an eligible endpoint in the home zone, or in another zone for the last check and if
// the home zone has none. It returns nil if warming endpoints without slow start credit are drawn.
func (b *Balancer) drawEndpointToCheck(req *request) *endpoint {
	zone := homeZone
	lastCheck := req.healthChecks == maxHealthChecks-1
	if len(b.routing.eligible[homeZone]) == 0 || lastCheck && len(b.routing.eligible[otherZone]) > 0 {
		zone = otherZone
	}
	return b.routing.eligible[zone][b.random.WeightedIndex(b.routing.weights[zone])]
}

// handleHealthCheck records the result of a health check. Endpoints respond to checks ahead of queued requests,
// so the reported utilisation counts as well as the duration. A check that failed, or of an endpoint that is no longer
// listed, is ignored.
func (b *Balancer) handleHealthCheck(event HealthCheckEnded) {
	ep := b.endpoints.byID[event.Endpoint]
	if ep == nil || event.Outcome != Succeeded {
		return
	}
	idle := &b.checks.idleDuration[b.zoneIndex(ep)]
	*idle = cmp.Or(*idle, event.After)
	ep.healthCheckRatio = event.After / *idle
	ep.healthCheckedAt = b.now
	if event.Load != nil && event.Load.Utilisation >= 0 {
		ep.healthCheckRatio = max(ep.healthCheckRatio, 1/max(1-event.Load.Utilisation, minIdleCoreShare))
	}
	*idle *= 1 + idleDurationRise
	if ep.healthCheckRatio < 1 {
		*idle *= 1 - idleDurationFall
	}
	b.dispatch()
}

// recentlyChecked reports whether a health check of an endpoint ended less than one base latency ago and no
// attempt has started at it since.
func (b *Balancer) recentlyChecked(ep *endpoint) bool {
	return ep.healthCheckedAt > 0 && b.now-ep.healthCheckedAt < b.load.baseLatency
}
