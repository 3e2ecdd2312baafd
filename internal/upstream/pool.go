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

// Pool keeps the connections to endpoints. A connection belongs to the attempt that runs on it, else to the pool; both
// close it through [Pool.drop] or [Pool.closeAll], which count it.
type Pool struct {
	clock *clock.Clock
	log   logrus.FieldLogger
	times times
	dial  func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)

	mu        sync.Mutex
	endpoints map[decision.EndpointID]*endpoint // those that take requests; SetAddress removes them
	idleLimit time.Duration                     // up to times.maxIdle, less where endpoints close sooner; see observeReuse
	slots     slots
	dials     dials
	closed    bool // Run has ended
}

// times are the time limits of attempts and connections.
type times struct {
	connect      time.Duration // for a connection to come up
	responseRest time.Duration // for the rest of a response that has begun
	reuseDelay   time.Duration // a connection rests for so long after a response, see lateResponse
	maxIdle      time.Duration // an idle connection is retired by then, before the endpoint closes it
}

const (
	// responseRestFraction: the rest of a response has this part of the connect timeout, for it crosses the same network.
	responseRestFraction = 4
	// minResponseRest is slack where the connect timeout is a few ms: an endpoint's response may come in two pieces.
	minResponseRest = 50 * time.Millisecond
	// lateResponse is how late a second response to a request may come on its connection. On a connection that is used
	// again at once it would be taken for the response to the next request. After a rest it is there to be seen, and the
	// connection is closed unused. A higher value has more connections opened.
	lateResponse = 25 * time.Millisecond
)

// NewPool makes an empty pool of up to maxConnections connections, idle ones included.
func NewPool(c *clock.Clock, n settings.Network, maxConnections int, log logrus.FieldLogger) *Pool {
	rest := max(clock.Duration(n.ConnectTimeout)/responseRestFraction, minResponseRest)
	maxIdle := clock.Duration(n.IdleAfter) / 2
	return &Pool{
		clock: c, log: log,
		times: times{
			connect: clock.Duration(n.ConnectTimeout), responseRest: rest, reuseDelay: min(rest, lateResponse),
			maxIdle: maxIdle,
		},
		dial: func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
		endpoints: map[decision.EndpointID]*endpoint{}, idleLimit: maxIdle, slots: slots{limit: maxConnections},
	}
}

// Stats is what a pool has done since its start, and what it holds.
type Stats struct {
	Opened      int64 // connections that came up
	Unreachable int64 // connections that did not, but for canceled attempts
	Open        int   // connections that stand or come up
	Idle        int   // those of them that carry no attempt
}

// dials counts the connections that came up, and those that did not.
type dials struct{ opened, failed int64 }

// Stats returns the statistics of this moment.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Opened: p.dials.opened, Unreachable: p.dials.failed, Open: p.slots.taken}
	for _, e := range p.endpoints {
		stats.Idle += len(e.idle)
	}
	return stats
}

// countDial counts a connection that has come up, or has not.
func (p *Pool) countDial(ctx context.Context, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.dials.opened++
	} else if ctx.Err() == nil {
		p.dials.failed++
	}
}

// slots is the limit on connections.
type slots struct {
	limit     int
	taken     int  // by connections that stand or come up
	exhausted bool // as last logged
}

// reserveSlot takes a slot for another connection, if need be that of the connection that was idle for longest.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.slots.taken >= p.slots.limit && !p.closeLongestIdle() {
		if !p.slots.exhausted {
			p.log.WithField("held", p.slots.taken).Warn("no descriptor left for endpoints")
		}
		p.slots.exhausted = true
		return false
	}
	p.slots.exhausted = p.slots.exhausted && p.slots.taken > p.slots.limit/2
	p.slots.taken++
	return true
}

// releaseSlot gives the slot of a connection back that did not come up.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots.taken--
}
