package decision

import "math"

const (
	avoidSuspicion = 4.0 // suspicion from which an endpoint gets no new attempts
	ejectSuspicion = 8.0 // suspicion from which an endpoint is ejected and its requests are migrated

	failureWeight           = 0.15        // weight of the newest outcome in an endpoint's share of failures
	connectionFailureWeight = 0.15 * 0.15 // weight of the newest outcome in connectionFailureShare
	refusedWeight           = 0.15        // weight of the newest outcome in refusedShare

	// baseEjectionShare times the longest latency objective is the base of the mean duration of ejections. The nth
	// consecutive ejection has a mean of 2^n times that base.
	baseEjectionShare = 0.15
	ejectionJitter    = 0.5 // an ejection lasts 0.5 to 1.5 times its mean
	faultEjections    = 2   // consecutive ejections from which there is an infrastructure fault

	// immediateRefusalShare times the base latency is the time within which a failed connection counts as refused by
	// the host.
	immediateRefusalShare = 0.25
	closeIdleRefusedShare = 0.05 // refusedShare from which idle connections are closed
	// minConnectionFailureShare is added to connectionFailureShare before its logarithm is taken, so that the logarithm
	// is finite.
	minConnectionFailureShare = 1e-9

	capacityLossRatio = 1.25 // ratio of full to current capacity from which there is an infrastructure fault
)

// outliers holds the state for the detection of silent and unreachable endpoints, which works as a phi accrual
// failure detector does.
type outliers struct {
	lastFaultAt            Millis  // time of the last infrastructure fault
	connectionFailureShare float64 // smoothed share of attempts whose connection failed or broke
	refusedShare           float64 // smoothed share of attempts whose connection was refused at once
}

// faultWithin reports whether an infrastructure fault occurred within the last span. Slowness during a fault is
// no evidence against the candidate, because a fault overloads the remaining endpoints.
func (b *Balancer) faultWithin(span Millis) bool { return b.now-b.outliers.lastFaultAt < span }

// suspicion returns the negative logarithm of the probability that an endpoint which responds at its usual rate is
// silent for as long as this one has been. It is 0 if no attempt is in flight at the endpoint.
func (b *Balancer) suspicion(ep *endpoint) float64 {
	return float64(ep.inFlight) * (b.now - ep.lastResponseAt) / max(ep.latency, b.load.meanLatency)
}

// recordResponse records that an endpoint responded, and ends its ejection. An ejected endpoint may have
// restarted before the endpoint list shows that, and full traffic would overload it then. So its slow start begins
// with the response.
func (b *Balancer) recordResponse(ep *endpoint) {
	ep.lastResponseAt = b.now
	ep.connectFailures = 0
	if ep.ejections > 0 {
		ep.ejections, ep.ejectedUntil = 0, 0
		ep.warmingSince = max(ep.warmingSince, b.now)
	}
}

// eject excludes an endpoint from new attempts. The duration doubles with each consecutive ejection, has jitter
// and is at most SlowStartWindow.
func (b *Balancer) eject(ep *endpoint) {
	ep.ejections++
	mean := b.classes.overall.LatencyObjective * baseEjectionShare * math.Exp2(float64(ep.ejections))
	duration := mean * (ejectionJitter + b.random.Float64())
	ep.ejectedUntil = b.now + min(b.settings.SlowStartWindow, duration)
}

// ejectSilent ejects an endpoint that has been silent for too long. A single ejection is not counted as an
// infrastructure fault, because a candidate that slows all endpoints causes such silence too.
func (b *Balancer) ejectSilent(ep *endpoint) {
	if b.suspicion(ep) >= ejectSuspicion && b.now >= ep.ejectedUntil {
		b.eject(ep)
	}
}

// countUnresponsive counts the attempts in flight at silent endpoints. It records an infrastructure fault if an
// endpoint was ejected repeatedly: an endpoint that is only slow responds when it is tried again.
func (b *Balancer) countUnresponsive(ep *endpoint) {
	if ep.ejections > 0 || b.suspicion(ep) >= avoidSuspicion {
		b.load.unresponsive += ep.inFlight
	}
	if ep.ejections >= faultEjections {
		b.outliers.lastFaultAt = b.now
	}
}

// noteCapacityLoss records an infrastructure fault while so many endpoints are warming up that the others are
// clearly slower. In the last stage of an in-place rollout, no baseline is left to show whether the candidate
// causes the slowness. Failures still count as evidence. The cost is that a slow build is detected later during
// such a loss of capacity.
func (b *Balancer) noteCapacityLoss(capacity capacitySum) {
	if capacity.bySide[baselineSide]+capacity.bySide[candidateSide] < capacity.full/capacityLossRatio {
		b.outliers.lastFaultAt = b.now
	}
}

// observeEndpoint updates the observations on an endpoint with the outcome of an attempt.
func (b *Balancer) observeEndpoint(target *endpoint, event AttemptEnded) {
	switch event.Outcome {
	case Succeeded, EndpointFailed, EndpointRejected, MalformedResponse:
		// Any response shows that the endpoint is alive. If errors ejected endpoints, a bad build would eject one
		// after another.
		b.recordResponse(target)
	}
	b.observeRefusal(target, event)
	b.observeZone(target, event)
	switch event.Outcome {
	case Succeeded:
		b.observeSuccess(target, event)
	case EndpointRejected:
		b.backOffEndpoint(target)
	case EndpointFailed, MalformedResponse:
		target.failureShare += failureWeight * (1 - target.failureShare)
	case TimedOut:
		target.failureShare += failureWeight * (1 - target.failureShare)
		// The endpoint may still work on the request after the timeout.
		b.adjustEndpointLimit(target, max(event.After, target.latency))
	case Unreachable, ConnectionBroken:
		b.observeConnectionFailure(target, event)
	}
	b.outliers.connectionFailureShare -= connectionFailureWeight * b.outliers.connectionFailureShare
}

// observeRefusal updates refusedShare. While endpoints refuse connections at once, it closes the idle connections to
// an endpoint when the last attempt in flight there has ended. An endpoint that refuses connections has reached its
// connection limit, and idle connections of hundreds of instances keep other instances out.
func (b *Balancer) observeRefusal(ep *endpoint, event AttemptEnded) {
	b.outliers.refusedShare -= refusedWeight * b.outliers.refusedShare
	if event.Outcome == Unreachable && event.After < b.load.baseLatency*immediateRefusalShare {
		b.outliers.refusedShare += refusedWeight
	} else if ep.inFlight == 0 && b.outliers.refusedShare > closeIdleRefusedShare {
		b.emit(CloseIdleConnections{Endpoint: ep.ID})
	}
}

// observeSuccess updates response times, limits and the failure share with a success.
func (b *Balancer) observeSuccess(ep *endpoint, event AttemptEnded) {
	b.observeLatency(event.After)
	b.adjustEndpointLimit(ep, event.After)
	ep.failureShare -= failureWeight * ep.failureShare
	if !b.warmingUp(ep) {
		b.load.warmSuccesses++
	}
}

// observeConnectionFailure ejects an endpoint whose connections fail. The network may break connections to healthy
// endpoints. If one broken connection ejected an endpoint, all endpoints would be ejected and warm up again. So
// each consecutive failure raises the suspicion by the negative logarithm of the share of failures at all
// endpoints. A connection that is not established in time, or a failure after an ejection, ejects the endpoint
// whatever its suspicion.
func (b *Balancer) observeConnectionFailure(ep *endpoint, event AttemptEnded) {
	ep.connectFailures++
	ep.failureShare += failureWeight * (1 - ep.failureShare)
	connectTimedOut := event.Outcome == Unreachable && event.After >= b.load.baseLatency*immediateRefusalShare
	suspicion := -math.Log(b.outliers.connectionFailureShare+minConnectionFailureShare) * float64(ep.connectFailures)
	mustEject := ep.ejections > 0 || connectTimedOut || suspicion >= ejectSuspicion
	b.outliers.connectionFailureShare += connectionFailureWeight
	if mustEject && b.now >= ep.ejectedUntil {
		b.outliers.lastFaultAt = b.now
		b.eject(ep)
	}
}

// decayObservations moves the observations on an endpoint towards neutral values. Otherwise an instance with
// little traffic would never try an endpoint again that was slow once, or that was added while others were slow.
func (b *Balancer) decayObservations(ep *endpoint) {
	ep.failureShare *= 1 - b.tickInterval/b.settings.SlowStartWindow
	ep.latency += (b.load.meanLatency - ep.latency) * b.tickInterval / b.settings.SlowStartWindow
}
