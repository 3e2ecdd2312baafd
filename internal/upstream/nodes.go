// Package nodes carries forwards: each over one connection, each ending named. Connections are kept by node.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Pool keeps the connections to nodes. A connection belongs to the forward that runs on it, else to the pool; both
// give it up through drop alone.
type Pool struct {
	clock          *clock.Clock
	log            logrus.FieldLogger
	connectTimeout time.Duration
	responseRest   time.Duration // for the rest of an answer that has begun
	reuseDelay     time.Duration // a connection rests for so long after an answer, see lateAnswer
	maxIdle        time.Duration // an idle connection is retired by then, before the node closes it
	maxConnections int           // connections held
	dial           func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)

	mu          sync.Mutex
	idleLimit   time.Duration                     // the same as nodes are found to keep it, see reused
	endpoints   map[decision.EndpointID]*endpoint // those that take hits; the list of nodes empties it
	connections int                               // connections that stand or come up
	exhausted   bool                              // for want of descriptors, as last logged
	closed      bool                              // Run has ended
	counters    Stats
}

// Count is what a pool has done since its start, and what it holds.
type Stats struct {
	Opened, Unreachable int64 // connections that came up; that did not
	Open, Idle          int
}

// Count is that of now.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counters
	c.Open = p.connections
	for _, n := range p.endpoints {
		c.Idle += len(n.idle)
	}
	return c
}

// restPart is of the time in which a connection must come up: an answer that has begun crosses the same network. Danger:
// where that time is a few ms, a node's answer in two pieces would be given up; all time limits have slack on sockets.
const (
	responseRestFraction = 4
	minResponseRest      = 50 * time.Millisecond
)

// lateAnswer is how late a second answer to a request may come on its connection ("some milliseconds", by the operators'
// page on days at full size). Danger: on a connection that is used again at once it would be taken for the answer to the
// next request. After a rest it lies there to be seen, and the connection is closed unused.
const lateResponse = 25 * time.Millisecond

// node is a machine as the list told it. A new start, build or address makes another node, also under the same name and
// at the same address, and what was meant for the one before must not reach it.
type endpoint struct {
	address        string
	sendEpoch      *sendEpoch // of forwards that begin now
	idle           []*conn    // the last used one at the end
	lastResponseAt time.Time  // the last answer
}

// epoch is a stretch of time in which forwards to a node may still be sent that began in it; over ends it.
type sendEpoch struct{ ended bool }

// NewPool makes an empty pool that holds so many connections at most.
func NewPool(c *clock.Clock, n settings.Network, maxConnections int, log logrus.FieldLogger) *Pool {
	longest := clock.Duration(n.IdleAfter) / 2
	rest := max(clock.Duration(n.ConnectTimeout)/responseRestFraction, minResponseRest)
	return &Pool{
		clock: c, connectTimeout: clock.Duration(n.ConnectTimeout), responseRest: rest, reuseDelay: min(rest, lateResponse), maxConnections: maxConnections,
		maxIdle: longest, idleLimit: longest, log: log, endpoints: map[decision.EndpointID]*endpoint{},
		dial: func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
	}
}

// Moved says that a node takes hits at this address now, nowhere if it is empty. Danger: a forward whose connection
// still comes up must not reach a node that drains by now, nor one that took over an address; open looks here.
func (p *Pool) SetAddress(id decision.EndpointID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.endpoints[id]; n != nil {
		n.sendEpoch.ended = true
		p.closeIdleOf(n)
	}
	if delete(p.endpoints, id); address != "" {
		p.endpoints[id] = &endpoint{address: address, sendEpoch: &sendEpoch{}}
	}
}

// Unsend has what is not yet sent to a node end as never sent. Danger: a connection may take longer to come up than a
// lower cap on a build takes to bind, and what was decided under the old one would be sent under the new.
func (p *Pool) CancelUnsent(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.endpoints[id]; n != nil {
		n.sendEpoch.ended = true
		n.sendEpoch = &sendEpoch{}
	}
}

// aim is what a forward is meant for: the node as listed when it was decided. Danger: looked up later, by name and
// address alone, it could be another machine there, with another build or just started.
type target struct {
	endpoint  *endpoint
	sendEpoch *sendEpoch
}

// aimed names the node that takes hits at this address now; the zero aim, at which nothing may be sent, if none does.
func (p *Pool) targetAt(id decision.EndpointID, address string) target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.endpoints[id]; n != nil && n.address == address {
		return target{n, n.sendEpoch}
	}
	return target{}
}

// stands tells whether the forward may still be sent.
func (p *Pool) sendable(a target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.endpoint != nil && !a.sendEpoch.ended
}

// CloseIdle closes the idle connections to a node.
func (p *Pool) CloseIdle(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.endpoints[id]; n != nil {
		p.closeIdleOf(n)
	}
}

// empty closes a node's idle connections; the lock is held. Danger: kept on a node that is no longer listed they would be
// closed and counted once more when its last forward ends, and the pool would hold more than its most.
func (p *Pool) closeIdleOf(n *endpoint) {
	p.closeAll(n.idle)
	n.idle = nil
}

// closeAll drops idle connections; the lock is held.
func (p *Pool) closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
	p.connections -= len(conns)
}

// drop closes a connection that a forward is done with.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll([]*conn{c})
}

// take gives an idle connection to the node that a forward is meant for, the last used one that has rested; nil if there
// is none.
func (p *Pool) takeIdle(a target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.endpoint == nil || a.sendEpoch.ended {
		return nil
	}
	n := a.endpoint
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		idle := time.Since(c.idleSince)
		if idle < p.reuseDelay && idle < p.idleLimit {
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		if idle < p.idleLimit && c.quiet() {
			return c
		}
		p.closeAll([]*conn{c})
	}
	return nil
}

// reused tells how a connection did that had been idle for so long. Danger: a node may give up idle ones sooner than it
// is said to, and without a word; what is written to those may have run for all that is known. So where the longer idle
// ones break they are retired in half of the time, and while they hold in more of it again.
func (p *Pool) observeReuse(idle time.Duration, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case idle < p.idleLimit/2: // breaks for another reason
	case succeeded:
		p.idleLimit = min(p.maxIdle, p.idleLimit+p.idleLimit/8)
	default:
		p.idleLimit = max(p.idleLimit/2, p.maxIdle/256)
	}
}

// give takes a connection back that is good for another forward to the same node.
func (p *Pool) putIdle(id decision.EndpointID, n *endpoint, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && n != nil && p.endpoints[id] == n && c.SetDeadline(time.Time{}) == nil {
		n.idle = append(n.idle, c)
	} else {
		p.closeAll([]*conn{c})
	}
}

// ended keeps what an ending says of a node's connections. Danger: those to a machine that has vanished stay open and
// silent; a hit sent there may have run for all that is known. On a new one, which doesn't come up, it never ran. So a
// forward that began after the last answer and got none ends the idle ones too.
func (p *Pool) observeOutcome(n *endpoint, began time.Time, outcome decision.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case n == nil || outcome == decision.NotSent:
	case outcome <= decision.EndpointRejected || outcome == decision.MalformedResponse:
		n.lastResponseAt = time.Now()
	case n.lastResponseAt.Before(began):
		p.closeIdleOf(n)
	}
}

// reserve finds room for another connection, if need be that of the one that was idle for longest.
func (p *Pool) reserveConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if p.connections >= p.maxConnections {
		var oldest *endpoint
		for _, n := range p.endpoints {
			if len(n.idle) > 0 && (oldest == nil || n.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
				oldest = n
			}
		}
		if oldest == nil {
			if !p.exhausted {
				p.log.WithField("held", p.connections).Warn("no descriptor left for nodes")
			}
			p.exhausted = true
			return false
		}
		p.closeAll(oldest.idle[:1])
		oldest.idle = oldest.idle[1:]
	}
	p.exhausted = p.exhausted && p.connections > p.maxConnections/2
	p.connections++
	return true
}

func (p *Pool) releaseConnection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections--
}

// Run retires idle connections until ctx ends, and then all of them. Danger: a forward may be out still, its hit long
// answered; what it gives back later would be nobody's.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.maxIdle / 4)
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

func (p *Pool) retire(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = all
	p.idleLimit = min(p.maxIdle, p.idleLimit+p.idleLimit/8) // where none is used again none tells
	for _, n := range p.endpoints {
		i := 0
		for i < len(n.idle) && (all || time.Since(n.idle[i].idleSince) >= p.idleLimit) {
			i++
		}
		p.closeAll(n.idle[:i])
		n.idle = n.idle[i:]
	}
}

// Forward starts a forward; what it returns calls it off.
func (p *Pool) StartAttempt(attempt engine.Attempt) (cancelAttempt func()) {
	ctx, cancel := context.WithCancel(context.Background())
	target := p.targetAt(attempt.Endpoint, attempt.Address) // on the caller's goroutine: by the list by which it decided
	go func() {
		defer cancel()
		began := time.Now()
		end := p.runAttempt(ctx, attempt, target)
		end.EndedAt = p.clock.Now()
		p.observeOutcome(target.endpoint, began, end.Outcome)
		attempt.OnEnd(end)
	}()
	return cancel
}

// run carries one forward. Danger: http.Transport sends again by itself and hides whether the last byte was
// written, so the request is written here, in one piece and once. What is given up is closed before it is told,
// else the next forward of the hit would be a second copy.
func (p *Pool) runAttempt(ctx context.Context, f engine.Attempt, to target) engine.AttemptResult {
	until := p.clock.Time(f.Deadline)
	for {
		if !p.maySend(ctx, f, to, until) {
			return engine.AttemptResult{Outcome: decision.NotSent}
		}
		c := p.takeIdle(to)
		reused, idle := c != nil, time.Duration(0)
		if reused {
			idle = time.Since(c.idleSince)
		} else {
			var outcome decision.Outcome
			if c, outcome = p.connect(ctx, f, to, until); c == nil {
				return engine.AttemptResult{Outcome: outcome}
			}
		}
		by := p.sendBy(f, until)
		c.SetReadDeadline(until)
		c.SetWriteDeadline(by) // an endpoint that has it whole only later may have forgotten that it ran before
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
		end, written, keep := c.exchange(ctx, f, p.clock.Now(), until, p.responseRest)
		if reused {
			p.observeReuse(idle, written && end.Outcome != decision.ConnectionBroken)
		}
		if stop() && keep {
			p.putIdle(f.Endpoint, to.endpoint, c)
		} else {
			p.drop(c)
		}
		switch {
		case end.Outcome <= decision.EndpointRejected || end.Outcome == decision.MalformedResponse && ctx.Err() == nil: // the node has answered
		case !written && reused && ctx.Err() == nil && time.Now().Before(until):
			continue // the kept connection was dead and nothing has run: a new one
		case !written && (ctx.Err() != nil || by.Before(until) && !time.Now().Before(by)):
			end.Outcome = decision.NotSent
		case !written:
			end.Outcome = decision.Unreachable
		case ctx.Err() != nil:
			end.Outcome = decision.Canceled
		}
		return end
	}
}

// due tells whether a forward may still be sent. Danger: its connection may come up in the moment in which it is called
// off, and the deadline that this sets is not set yet; sent then, it would follow the hit's final answer.
func (p *Pool) maySend(ctx context.Context, f engine.Attempt, to target, until time.Time) bool {
	return ctx.Err() == nil && p.sendable(to) && time.Now().Before(p.sendBy(f, until))
}

// sendBy is when a forward that is not sent yet is given up.
func (p *Pool) sendBy(f engine.Attempt, until time.Time) time.Time {
	if by := p.clock.Time(f.SendBy); f.SendBy > 0 && by.Before(until) {
		return by
	}
	return until
}

// open makes a connection; without one it tells how the forward has ended.
func (p *Pool) connect(ctx context.Context, f engine.Attempt, to target, until time.Time) (*conn, decision.Outcome) {
	if !p.reserveConnection() {
		return nil, decision.NotSent
	}
	dialer := net.Dialer{Timeout: p.connectTimeout, Deadline: p.sendBy(f, until), KeepAlive: -1}
	raw, err := p.dial(ctx, &dialer, f.Address)
	p.mu.Lock()
	if err == nil {
		p.counters.Opened++
	} else if ctx.Err() == nil {
		p.counters.Unreachable++
	}
	p.mu.Unlock()
	due := p.maySend(ctx, f, to, until) // once more, for a list may have come while it came up
	switch {
	case err == nil && due:
		return newConn(raw), 0
	case err == nil:
		raw.Close()
	}
	p.releaseConnection()
	if !due || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) { // which says nothing of the node
		return nil, decision.NotSent
	}
	return nil, decision.Unreachable
}

var _ engine.Upstream = (*Pool)(nil)

// ending names what a node's status says.
func outcomeOf(res *http.Response) decision.Outcome {
	switch unprocessed := res.Header.Get("X-Unprocessed") == "1"; {
	case res.StatusCode == http.StatusOK:
		return decision.Succeeded
	case unprocessed && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
		return decision.EndpointRejected
	}
	return decision.EndpointFailed
}
