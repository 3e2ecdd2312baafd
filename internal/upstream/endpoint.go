package upstream

import (
	"time"

	"ottershed/decision"
)

// endpoint is an endpoint as listed at one time. A changed start time, build or address makes a new endpoint value,
// even under the same id and at the same address. Attempts for the previous one must not reach it.
type endpoint struct {
	address        string
	permit         *sendPermit // current permit, which new attempts get
	idle           []*conn     // idle connections, most recently used last
	lastResponseAt time.Time   // time of the last response to an attempt; zero: none
}

// sendPermit allows the attempts that started under it to be sent until it is revoked.
type sendPermit struct{ revoked bool }

// target is the endpoint of an attempt, as listed when the attempt was decided. A later lookup by id and address could
// find another machine at that address, with another build or just started.
type target struct {
	endpoint *endpoint
	permit   *sendPermit
}

// SetAddress sets the address (host:port) at which an endpoint accepts requests. An empty address removes the endpoint.
// Attempts for the endpoint's previous entry whose connection is still coming up are not sent: they would reach an
// endpoint that drains by now, or another endpoint that took over the address.
func (p *Pool) SetAddress(id decision.EndpointID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous := p.endpoints[id]; previous != nil {
		previous.permit.revoked = true
		p.closeIdleOf(previous)
	}
	delete(p.endpoints, id)
	if address != "" {
		p.endpoints[id] = &endpoint{address: address, permit: &sendPermit{}}
	}
}

// CancelUnsent ends the attempts that are not yet sent to an endpoint, with the outcome NotSent. An id that is not
// listed is ignored. A connection may take longer to come up than a lower exposure limit takes to apply, and attempts
// decided under the old limit would be sent under the new one.
func (p *Pool) CancelUnsent(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.permit.revoked = true
		e.permit = &sendPermit{}
	}
}

// lookupTarget returns the endpoint with this id if its current address is the given one. Otherwise it returns the zero
// target, to which nothing may be sent.
func (p *Pool) lookupTarget(id decision.EndpointID, address string) target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil && e.address == address {
		return target{e, e.permit}
	}
	return target{}
}

// targetAllowsSend reports whether an attempt may still be sent to its target.
func (p *Pool) targetAllowsSend(dest target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return dest.allowsSend()
}

// allowsSend is targetAllowsSend with the pool's lock held.
func (dest target) allowsSend() bool { return dest.endpoint != nil && !dest.permit.revoked }

// observeOutcome records the time of a response, and closes the idle connections of an endpoint if an attempt that
// started after the last response got none. It does nothing if the attempt had no endpoint or was not sent. Connections
// to a machine that vanished stay open without an error, and a request sent on one may have run. A new connection to it
// does not come up, so that the request certainly has not run.
func (p *Pool) observeOutcome(e *endpoint, startedAt time.Time, outcome decision.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case e == nil || outcome == decision.NotSent:
		return
	case hasResponded(outcome):
		e.lastResponseAt = time.Now()
	case e.lastResponseAt.Before(startedAt):
		p.closeIdleOf(e)
	}
}
