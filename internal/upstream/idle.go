package upstream

import (
	"context"
	"slices"
	"syscall"
	"time"

	"ottershed/decision"
	"ottershed/internal/sockopt"
)

const (
	// idleSweeps is how often within the longest idle time idle connections are looked through for retirement.
	idleSweeps = 4
	// idleGrowth is the part by which the idle limit grows at a time, up to the longest idle time.
	idleGrowth = 8
	// minIdleFraction: the idle limit is at least this part of the longest idle time.
	minIdleFraction = 256
)

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.closeIdleOf(e)
	}
}

// closeIdleOf closes an endpoint's idle connections; the lock is held. Those that stayed on an endpoint which is no
// longer listed would be closed and counted once more when its last attempt ends, and the pool would open more than its
// limit.
func (p *Pool) closeIdleOf(e *endpoint) {
	p.closeAll(e.idle)
	e.idle = nil
}

// closeLongestIdle closes the connection that was idle for longest, and tells whether there was one; the lock is held.
func (p *Pool) closeLongestIdle() bool {
	var longest *endpoint
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (longest == nil || e.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = e
		}
	}
	if longest == nil {
		return false
	}
	p.closeAll(longest.idle[:1])
	longest.idle = longest.idle[1:]
	return true
}

// closeAll closes connections and frees their slots; the lock is held.
func (p *Pool) closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close() // whatever it says, the connection has ended
	}
	p.slots.taken -= len(conns)
}

// drop closes a connection that an attempt is done with.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll([]*conn{c})
}

// takeIdle gives the idle connection to an attempt's target that was used last and has rested; nil if there is none.
func (p *Pool) takeIdle(to target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !to.isOpen() {
		return nil
	}
	e := to.endpoint
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		idle := time.Since(c.idleSince)
		if idle < p.times.reuseDelay && idle < p.idleLimit {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if idle < p.idleLimit && c.quiet() {
			return c
		}
		p.closeAll([]*conn{c})
	}
	return nil
}

// quiet tells whether an idle connection still stands with nothing to read. A request that is written to one which the
// endpoint has closed ends as reset, and what may have run can't always be sent again.
func (c *conn) quiet() bool {
	sys, ok := c.Conn.(syscall.Conn)
	return !ok || sockopt.IsIdle(sys)
}

// putIdle takes a connection back that is good for another attempt at the same endpoint.
func (p *Pool) putIdle(id decision.EndpointID, e *endpoint, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && e != nil && p.endpoints[id] == e && c.SetDeadline(time.Time{}) == nil {
		e.idle = append(e.idle, c)
	} else {
		p.closeAll([]*conn{c})
	}
}

// observeReuse learns from a connection that was used again after it had been idle. An endpoint may close idle
// connections sooner than it is said to, and without a sign; what is written to those may have run for all that is
// known. So where connections break that were idle for more than half of the limit, the limit is halved; where they
// don't, it grows again.
func (p *Pool) observeReuse(idle time.Duration, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case idle < p.idleLimit/2:
		return // if it broke, then for another reason
	case succeeded:
		p.growIdleLimit()
	default:
		p.idleLimit = max(p.idleLimit/2, p.times.maxIdle/minIdleFraction)
	}
}

// growIdleLimit has idle connections kept for longer; the lock is held.
func (p *Pool) growIdleLimit() {
	p.idleLimit = min(p.times.maxIdle, p.idleLimit+p.idleLimit/idleGrowth)
}

// Run retires idle connections until ctx ends, and then closes all of them. An attempt may still be out then, its
// request long responded to; its connection is closed too, for nobody would retire it.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.times.maxIdle / idleSweeps)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.retire(true)
			return
		case <-tick.C:
			p.retire(false)
		}
	}
}

// retire closes the connections that were idle for the limit, or all of them for good.
func (p *Pool) retire(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = all
	p.growIdleLimit() // where no connection is used again, observeReuse has nothing to learn from
	for _, e := range p.endpoints {
		i := 0
		for i < len(e.idle) && (all || time.Since(e.idle[i].idleSince) >= p.idleLimit) {
			i++
		}
		p.closeAll(e.idle[:i])
		e.idle = e.idle[i:]
	}
}
