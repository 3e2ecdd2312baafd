package upstream

import (
	"time"

	"ottershed/decision"
)

// endpoint is a machine as listed. A new start, build or address makes another endpoint, also under the same id and at
// the same address, and what was meant for the one before must not reach it.
type endpoint struct {
	address        string
	sendEpoch      *sendEpoch // of attempts that begin now
	idle           []*conn    // the one used last at the end
	lastResponseAt time.Time
}

// sendEpoch is a stretch of time; the attempts that began in it may be sent until it has ended.
type sendEpoch struct{ ended bool }

// target is what an attempt is meant for: the endpoint as listed when the attempt was decided. Looked up later, by id
// and address alone, it could be another machine there, with another build or just started.
type target struct {
	endpoint  *endpoint
	sendEpoch *sendEpoch
}

// SetAddress says that an endpoint takes requests at this address now, nowhere if it is empty. An attempt whose
// connection still comes up is not sent then: it would reach an endpoint that drains by now, or one that took over an
// address.
func (p *Pool) SetAddress(id decision.EndpointID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if before := p.endpoints[id]; before != nil {
		before.sendEpoch.ended = true
		p.closeIdleOf(before)
	}
	delete(p.endpoints, id)
	if address != "" {
		p.endpoints[id] = &endpoint{address: address, sendEpoch: &sendEpoch{}}
	}
}

// CancelUnsent ends what is not yet sent to an endpoint as never sent. A connection may take longer to come up than a
// lower exposure limit takes to bind, and what was decided under the old limit would be sent under the new one.
func (p *Pool) CancelUnsent(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.sendEpoch.ended = true
		e.sendEpoch = &sendEpoch{}
	}
}

// targetAt is the endpoint that takes requests at this address now; the zero target, to which nothing may be sent, if
// none does.
func (p *Pool) targetAt(id decision.EndpointID, address string) target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil && e.address == address {
		return target{e, e.sendEpoch}
	}
	return target{}
}

// sendable tells whether an attempt may still be sent to its target.
func (p *Pool) sendable(to target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return to.isOpen()
}

// isOpen is sendable with the pool's lock held.
func (to target) isOpen() bool { return to.endpoint != nil && !to.sendEpoch.ended }

// observeOutcome keeps what an outcome says of an endpoint's connections. Those to a machine that has vanished stay
// open without a sign, and a request that is sent on one may have run for all that is known; on a new connection, which
// doesn't come up, it never ran. So an attempt that began after the last response and got none closes the idle ones
// too.
func (p *Pool) observeOutcome(e *endpoint, began time.Time, outcome decision.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case e == nil || outcome == decision.NotSent:
		return
	case hasResponded(outcome):
		e.lastResponseAt = time.Now()
	case e.lastResponseAt.Before(began):
		p.closeIdleOf(e)
	}
}
