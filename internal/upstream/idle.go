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
	// sweepsPerMaxIdle is how often idle connections are checked for expiry within the longest idle time.
	sweepsPerMaxIdle = 4
	// idleGrowthFraction: each step increases the idle limit by this fraction (1/8) of itself, up to the longest idle
	// time.
	idleGrowthFraction = 8
	// minIdleFraction: the idle limit is at least this fraction (1/256) of the longest idle time.
	minIdleFraction = 256
)

// CloseIdleConnections closes the idle connections to an endpoint. An id that is not listed is ignored.
func (p *Pool) CloseIdleConnections(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.closeIdleOf(e)
	}
}

// closeIdleOf closes and removes an endpoint's idle connections; p.mu must be held. The list is cleared because an
// endpoint that is no longer listed may still have attempts. When one of them ends without a response, connections left
// in the list would be closed and counted a second time, and the pool would exceed its connection limit.
func (p *Pool) closeIdleOf(e *endpoint) {
	p.closeAll(e.idle)
	e.idle = nil
}

// closeLongestIdle closes the connection that has been idle longest and reports whether there was one; p.mu must be
// held.
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

// closeAll closes connections and frees their slots; p.mu must be held.
func (p *Pool) closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close() // Close releases the connection even if it returns an error
	}
	p.slots.taken -= len(conns)
}

// closeConn closes the connection of an attempt and frees its slot.
func (p *Pool) closeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll([]*conn{c})
}

// takeIdle takes the most recently used idle connection to a target whose reuse delay has passed. It returns nil if
// there is none, and closes expired and unusable connections on the way.
func (p *Pool) takeIdle(dest target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !dest.allowsSend() {
		return nil
	}
	e := dest.endpoint
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		idleFor := time.Since(c.idleSince)
		if idleFor < p.timing.reuseDelay && idleFor < p.idleLimit {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if idleFor < p.idleLimit && c.isUsable() {
			return c
		}
		p.closeAll([]*conn{c})
	}
	return nil
}

// isUsable reports whether an idle connection is still open and has nothing to read. A connection that is no
// syscall.Conn can't be checked and counts as usable. A request written to a connection that the endpoint has closed
// ends with a reset; it may have run, and such a request can't always be sent again.
func (c *conn) isUsable() bool {
	sys, ok := c.Conn.(syscall.Conn)
	return !ok || sockopt.IsIdle(sys)
}

// putIdle adds a reusable connection to the idle connections of its endpoint, in the order of idleSince, which the caller has
// set. It closes the connection if the pool has stopped, the endpoint is no longer the listed one, or the deadline of the
// connection can't be cleared.
func (p *Pool) putIdle(id decision.EndpointID, e *endpoint, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || e == nil || p.endpoints[id] != e || c.SetDeadline(time.Time{}) != nil {
		p.closeAll([]*conn{c})
		return
	}
	position, _ := slices.BinarySearchFunc(e.idle, c.idleSince, func(other *conn, since time.Time) int {
		return other.idleSince.Compare(since)
	})
	e.idle = slices.Insert(e.idle, position, c)
}

// observeReuse adjusts the idle limit after a connection was reused. An endpoint may close idle connections earlier
// than configured and without notice, and a request written to one may have run. So the limit is halved if a connection
// breaks that was idle for at least half of the limit, and grows again if it does not break. intact reports that the
// request was written, or a response came, and the connection did not break.
func (p *Pool) observeReuse(idleFor time.Duration, intact bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case idleFor < p.idleLimit/2:
		return // a break after so short a time has another reason
	case intact:
		p.growIdleLimit()
	default:
		p.idleLimit = max(p.idleLimit/2, p.timing.maxIdleTime/minIdleFraction)
	}
}

// growIdleLimit increases the idle limit by one step; p.mu must be held.
func (p *Pool) growIdleLimit() {
	p.idleLimit = min(p.timing.maxIdleTime, p.idleLimit+p.idleLimit/idleGrowthFraction)
}

// Run closes expired idle connections until ctx ends. It then closes all idle connections and stops the pool for good:
// no connection is opened any more. An attempt may still be running then, although its request has a response already.
// Its connection is closed when the attempt ends, since no sweep would close it later.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.timing.maxIdleTime / sweepsPerMaxIdle)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeExpired(true)
			return
		case <-tick.C:
			p.closeExpired(false)
		}
	}
}

// closeExpired closes the connections that have been idle for the idle limit. If all is true, it closes all idle
// connections and stops the pool. In both cases it raises a lowered idle limit by one step.
func (p *Pool) closeExpired(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = all
	p.growIdleLimit() // without reuse, observeReuse would never raise a lowered limit
	for _, e := range p.endpoints {
		expired := 0
		for expired < len(e.idle) && (all || time.Since(e.idle[expired].idleSince) >= p.idleLimit) {
			expired++
		}
		p.closeAll(e.idle[:expired])
		e.idle = e.idle[expired:]
	}
}
