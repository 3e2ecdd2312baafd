package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

var _ engine.Upstream = (*Pool)(nil)

// Pool manages the connections to endpoints. A connection is owned by the attempt that runs on it, or by the pool while
// it is idle. Both close it through [Pool.closeConn] or [Pool.closeAll], which free its slot. The methods may be called
// from any goroutine.
type Pool struct {
	clock  *clock.Clock
	log    logrus.FieldLogger
	timing timing
	dial   func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)

	mu        sync.Mutex
	endpoints map[decision.EndpointID]*endpoint // endpoints that accept requests; see SetAddress
	idleLimit time.Duration                     // up to timing.maxIdleTime; see observeReuse
	slots     slots
	dials     dials
	closed    bool // Run is over: no connection is opened or kept any more
}

// timing holds the time limits of attempts and connections.
type timing struct {
	connectTimeout      time.Duration // limit for opening a connection
	responseReadTimeout time.Duration // limit from the first byte of a response to the last
	reuseDelay          time.Duration // how long a connection is not reused after a response; see lateResponseWindow
	maxIdleTime         time.Duration // longest idle time: half of the endpoint's, so that the pool closes a connection first
}

const (
	// responseReadFraction: the response read timeout is this fraction (1/4) of the connect timeout, since the response
	// crosses the same network.
	responseReadFraction = 4
	// minResponseReadTimeout applies if the connect timeout is only a few ms: a response may arrive in two segments.
	minResponseReadTimeout = 50 * time.Millisecond
	// lateResponseWindow is how late an endpoint may send an erroneous second response to a request. On a connection that
	// is reused at once, the late response would be taken for the response to the next request. After this delay it is
	// detected as unread input, and the connection is closed instead of reused. A higher value makes the pool open more connections.
	lateResponseWindow = 25 * time.Millisecond
)

// NewPool creates a pool of at most maxConnections connections, including idle ones.
func NewPool(c *clock.Clock, n settings.Network, maxConnections int, log logrus.FieldLogger) *Pool {
	readTimeout := max(clock.Duration(n.ConnectTimeout)/responseReadFraction, minResponseReadTimeout)
	maxIdleTime := clock.Duration(n.IdleTimeout) / 2
	return &Pool{
		clock: c, log: log,
		timing: timing{
			connectTimeout: clock.Duration(n.ConnectTimeout), responseReadTimeout: readTimeout,
			reuseDelay: min(readTimeout, lateResponseWindow), maxIdleTime: maxIdleTime,
		},
		dial: func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
		endpoints: map[decision.EndpointID]*endpoint{}, idleLimit: maxIdleTime, slots: slots{limit: maxConnections},
	}
}

// Stats holds the counters of a pool since its start and the numbers of its present connections.
type Stats struct {
	Opened      int64 // connections that were established
	Unreachable int64 // connections that failed to open, except for canceled attempts
	Open        int   // connections that are established or coming up
	Idle        int   // open connections without an attempt
}

// dials counts the connections that were established and those that failed to open.
type dials struct{ opened, failed int64 }

// Stats returns the current statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Opened: p.dials.opened, Unreachable: p.dials.failed, Open: p.slots.taken}
	for _, e := range p.endpoints {
		stats.Idle += len(e.idle)
	}
	return stats
}

// countDial counts the result of opening a connection. A failure of a canceled attempt is not counted.
func (p *Pool) countDial(ctx context.Context, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.dials.opened++
	} else if ctx.Err() == nil {
		p.dials.failed++
	}
}

// slots enforces the limit on connections.
type slots struct {
	limit       int
	taken       int  // one per connection that is established or coming up
	limitLogged bool // the warning about the limit was logged; reset once at most half of the slots are taken
}

// reserveSlot takes a slot for a new connection and reports whether it got one. At the limit it closes the connection
// that has been idle longest. The warning is logged once, until at most half of the slots are taken again.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.slots.taken >= p.slots.limit && !p.closeLongestIdle() {
		if !p.slots.limitLogged {
			p.log.WithField("held", p.slots.taken).Warn("endpoint connection limit reached")
		}
		p.slots.limitLogged = true
		return false
	}
	p.slots.limitLogged = p.slots.limitLogged && p.slots.taken > p.slots.limit/2
	p.slots.taken++
	return true
}

// releaseSlot frees the slot of a connection that was not established.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.taken--
}
