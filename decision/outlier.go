package decision

import "math"

const (
	avoidSuspicion = 4.0 // suspicion from which an endpoint gets no new attempts
	ejectSuspicion = 8.0 // suspicion from which it is ejected and its attempts are moved

	failureWeight = 0.15        // of the newest outcome in an endpoint's share of failures
	brokenWeight  = 0.15 * 0.15 // of the newest outcome in the share of broken connections
	refusedWeight = 0.15        // of the newest outcome in the share of refused connections

	baseEjectionShare = 0.15 // of the longest objective; the nth ejection in a row has 2^n times that for its mean
	ejectionJitter    = 0.5  // an ejection lasts 0.5 to 1.5 times its mean
	faultEjections    = 2    // ejections in a row that are a fault of the infrastructure

	immediateRefusalShare = 0.25 // of the base latency: a connection refused sooner was refused by its host
	closeIdleRefusedShare = 0.05 // share of refused connections from which idle ones are closed
	minBrokenShare        = 1e-9 // for the logarithm

	capacityLossRatio = 1.25 // full capacity over the present one from which the loss of capacity is a fault
)

// outliers detects endpoints that are silent or out of reach, in the manner of a phi accrual failure
// detector.
type outliers struct {
	lastFaultAt  Millis  // when a fault of the infrastructure was last seen
	brokenShare  float64 // smoothed share of attempts that found no connection or lost it
	refusedShare float64 // smoothed share of attempts that were refused a connection at once
}

// faultWithin tells whether a fault of the infrastructure was seen within this span. Slowness during a fault
// says nothing of the candidate, for the other endpoints are overloaded then.
func (b *Balancer) faultWithin(span Millis) bool { return b.now-b.outliers.lastFaultAt < span }

// suspicion is the negative logarithm of how likely an endpoint's silence is if responses came at its usual
// pace.
func (b *Balancer) suspicion(ep *endpoint) float64 {
	return float64(ep.inFlight) * (b.now - ep.lastResponseAt) / max(ep.latency, b.load.meanLatency)
}

// responded notes a sign of life of an endpoint and ends its ejection. It may have restarted without the
// endpoint list showing that yet: it warms up from now on, for full traffic would overload it.
func (b *Balancer) recordResponse(ep *endpoint) {
	ep.lastResponseAt = b.now
	ep.connectFailures = 0
	if ep.ejections > 0 {
		ep.ejections, ep.ejectedUntil = 0, 0
		ep.warmingSince = max(ep.warmingSince, b.now)
	}
}

// eject keeps an endpoint from new attempts for a time that doubles with each ejection in a row, with jitter.
func (b *Balancer) eject(ep *endpoint) {
	ep.ejections++
	mean := b.classes.overall.LatencyObjective * baseEjectionShare * math.Exp2(float64(ep.ejections))
	duration := mean * (ejectionJitter + b.random.Next())
	ep.ejectedUntil = b.now + min(b.settings.SlowStartWindow, duration)
}

// ejectSilent ejects an endpoint that has been silent for too long. One silence is no fault of the
// infrastructure: a candidate that slows all endpoints causes it too.
func (b *Balancer) ejectSilent(ep *endpoint) {
	if b.suspicion(ep) >= ejectSuspicion && b.now >= ep.ejectedUntil {
		b.eject(ep)
	}
}

// countUnresponsive counts the attempts in flight at silent endpoints, and notes a fault where an endpoint
// was ejected again and again: a slow one responds when it is tried.
func (b *Balancer) countUnresponsive(ep *endpoint) {
	if ep.ejections > 0 || b.suspicion(ep) >= avoidSuspicion {
		b.load.unresponsive += ep.inFlight
	}
	if ep.ejections >= faultEjections {
		b.outliers.lastFaultAt = b.now
	}
}

// noteCapacityLoss notes a fault while so many endpoints are warming up that the rest is clearly slower: at
// the last stage of an in-place rollout no baseline is left that would show whether the slowness comes from
// the candidate. Failures count all the same. The cost is a delay where a slow build meets such a loss.
func (b *Balancer) noteCapacityLoss(capacity capacitySum) {
	if capacity.bySide[baselineSide]+capacity.bySide[candidateSide] < capacity.full/capacityLossRatio {
		b.outliers.lastFaultAt = b.now
	}
}

// observeEndpoint takes the outcome of an attempt into what is known of the endpoint's health.
func (b *Balancer) observeEndpoint(target *endpoint, event AttemptEnded) {
	switch event.Outcome {
	case Succeeded, EndpointFailed, EndpointRejected, MalformedResponse:
		// A response is a sign of life whatever it says. Ejected for errors, all endpoints would go in turn.
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
		// The endpoint may go on with work that its client has left.
		b.adjustEndpointLimit(target, max(event.After, target.latency))
	case Unreachable, ConnectionBroken:
		b.observeBroken(target, event)
	}
	b.outliers.brokenShare -= brokenWeight * b.outliers.brokenShare
}

// observeRefusal closes idle connections to an endpoint while connections are refused at once: an endpoint
// that does so has none left, and idle ones of hundreds of instances keep others out.
func (b *Balancer) observeRefusal(ep *endpoint, event AttemptEnded) {
	b.outliers.refusedShare -= refusedWeight * b.outliers.refusedShare
	if event.Outcome == Unreachable && event.After < b.load.baseLatency*immediateRefusalShare {
		b.outliers.refusedShare += refusedWeight
	} else if ep.inFlight == 0 && b.outliers.refusedShare > closeIdleRefusedShare {
		b.emit(CloseIdle{Endpoint: ep.ID})
	}
}

func (b *Balancer) observeSuccess(ep *endpoint, event AttemptEnded) {
	b.observeLatency(event.After)
	b.adjustEndpointLimit(ep, event.After)
	ep.failureShare -= failureWeight * ep.failureShare
	if !b.warmingUp(ep) {
		b.load.succeeded++
	}
}

// observeBroken ejects an endpoint whose connections fail. Connections may break on the way to sound
// endpoints; ejected for one each, all of them would go and come back warming up. So failures in a row count
// as silence does, by how common they are everywhere.
func (b *Balancer) observeBroken(ep *endpoint, event AttemptEnded) {
	ep.connectFailures++
	ep.failureShare += failureWeight * (1 - ep.failureShare)
	notByItsHost := event.Outcome == Unreachable && event.After >= b.load.baseLatency*immediateRefusalShare
	unlikely := -math.Log(b.outliers.brokenShare+minBrokenShare) * float64(ep.connectFailures)
	lost := ep.ejections > 0 || notByItsHost || unlikely >= ejectSuspicion
	b.outliers.brokenShare += brokenWeight
	if lost && b.now >= ep.ejectedUntil {
		b.outliers.lastFaultAt = b.now
		b.eject(ep)
	}
}

// decayObservations lets what was observed of an endpoint fade. Otherwise an endpoint that was slow once, or
// came while others were, would never be tried again by an instance with little traffic.
func (b *Balancer) decayObservations(ep *endpoint) {
	ep.failureShare *= 1 - b.tickInterval/b.settings.SlowStartWindow
	ep.latency += (b.load.meanLatency - ep.latency) * b.tickInterval / b.settings.SlowStartWindow
}
