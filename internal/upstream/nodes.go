// Package nodes carries forwards: each over one connection, each ending named. Connections are kept by node.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// Pool keeps the connections to nodes. A connection belongs to the forward that runs on it, else to the pool; both
// give it up through drop alone.
type Pool struct {
	clock   *clock.Clock
	log     logrus.FieldLogger
	connect time.Duration
	rest    time.Duration // for the rest of an answer that has begun
	cool    time.Duration // a connection rests for so long after an answer, see lateAnswer
	longest time.Duration // an idle connection is retired by then, before the node closes it
	most    int           // connections held
	dial    func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)

	mu    sync.Mutex
	idle  time.Duration             // the same as nodes are found to keep it, see reused
	nodes map[decision.NodeID]*node // those that take hits; the list of nodes empties it
	held  int                       // connections that stand or come up
	short bool                      // for want of descriptors, as last logged
	over  bool                      // Run has ended
	done  Count
}

// Count is what a pool has done since its start, and what it holds.
type Count struct {
	Opened, Refused int64 // connections that came up; that did not
	Held, Idle      int
}

// Count is that of now.
func (p *Pool) Count() Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.done
	c.Held = p.held
	for _, n := range p.nodes {
		c.Idle += len(n.idle)
	}
	return c
}

// restPart is of the time in which a connection must come up: an answer that has begun crosses the same network. Danger:
// where that time is a few ms, a node's answer in two pieces would be given up; all time limits have slack on sockets.
const (
	restPart = 4
	slack    = 50 * time.Millisecond
)

// lateAnswer is how late a second answer to a request may come on its connection ("some milliseconds", by the operators'
// page on days at full size). Danger: on a connection that is used again at once it would be taken for the answer to the
// next request. After a rest it lies there to be seen, and the connection is closed unused.
const lateAnswer = 25 * time.Millisecond

// node is a machine as the list told it. A new start, build or address makes another node, also under the same name and
// at the same address, and what was meant for the one before must not reach it.
type node struct {
	address string
	unsent  *epoch    // of forwards that begin now
	idle    []*conn   // the last used one at the end
	heard   time.Time // the last answer
}

// epoch is a stretch of time in which forwards to a node may still be sent that began in it; over ends it.
type epoch struct{ over bool }

// NewPool makes an empty pool that holds so many connections at most.
func NewPool(c *clock.Clock, n settings.Network, most int, log logrus.FieldLogger) *Pool {
	longest := clock.Span(n.IdleAfter) / 2
	rest := max(clock.Span(n.ConnectTimeout)/restPart, slack)
	return &Pool{clock: c, connect: clock.Span(n.ConnectTimeout), rest: rest, cool: min(rest, lateAnswer), most: most,
		longest: longest, idle: longest, log: log, nodes: map[decision.NodeID]*node{},
		dial: func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}}
}

// Moved says that a node takes hits at this address now, nowhere if it is empty. Danger: a forward whose connection
// still comes up must not reach a node that drains by now, nor one that took over an address; open looks here.
func (p *Pool) Moved(id decision.NodeID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[id]; n != nil {
		n.unsent.over = true
		p.empty(n)
	}
	if delete(p.nodes, id); address != "" {
		p.nodes[id] = &node{address: address, unsent: &epoch{}}
	}
}

// Unsend has what is not yet sent to a node end as never sent. Danger: a connection may take longer to come up than a
// lower cap on a build takes to bind, and what was decided under the old one would be sent under the new.
func (p *Pool) Unsend(id decision.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[id]; n != nil {
		n.unsent.over = true
		n.unsent = &epoch{}
	}
}

// aim is what a forward is meant for: the node as listed when it was decided. Danger: looked up later, by name and
// address alone, it could be another machine there, with another build or just started.
type aim struct {
	node   *node
	unsent *epoch
}

// aimed names the node that takes hits at this address now; the zero aim, at which nothing may be sent, if none does.
func (p *Pool) aimed(id decision.NodeID, address string) aim {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[id]; n != nil && n.address == address {
		return aim{n, n.unsent}
	}
	return aim{}
}

// stands tells whether the forward may still be sent.
func (p *Pool) stands(a aim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.node != nil && !a.unsent.over
}

// CloseIdle closes the idle connections to a node.
func (p *Pool) CloseIdle(id decision.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.nodes[id]; n != nil {
		p.empty(n)
	}
}

// empty closes a node's idle connections; the lock is held. Danger: kept on a node that is no longer listed they would be
// closed and counted once more when its last forward ends, and the pool would hold more than its most.
func (p *Pool) empty(n *node) {
	p.closeAll(n.idle)
	n.idle = nil
}

// closeAll drops idle connections; the lock is held.
func (p *Pool) closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
	p.held -= len(conns)
}

// drop closes a connection that a forward is done with.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll([]*conn{c})
}

// take gives an idle connection to the node that a forward is meant for, the last used one that has rested; nil if there
// is none.
func (p *Pool) take(a aim) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.node == nil || a.unsent.over {
		return nil
	}
	n := a.node
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		idle := time.Since(c.since)
		if idle < p.cool && idle < p.idle {
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		if idle < p.idle && c.quiet() {
			return c
		}
		p.closeAll([]*conn{c})
	}
	return nil
}

// reused tells how a connection did that had been idle for so long. Danger: a node may give up idle ones sooner than it
// is said to, and without a word; what is written to those may have run for all that is known. So where the longer idle
// ones break they are retired in half of the time, and while they hold in more of it again.
func (p *Pool) reused(idle time.Duration, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case idle < p.idle/2: // breaks for another reason
	case held:
		p.idle = min(p.longest, p.idle+p.idle/8)
	default:
		p.idle = max(p.idle/2, p.longest/256)
	}
}

// give takes a connection back that is good for another forward to the same node.
func (p *Pool) give(id decision.NodeID, n *node, c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.over && n != nil && p.nodes[id] == n && c.SetDeadline(time.Time{}) == nil {
		n.idle = append(n.idle, c)
	} else {
		p.closeAll([]*conn{c})
	}
}

// ended keeps what an ending says of a node's connections. Danger: those to a machine that has vanished stay open and
// silent; a hit sent there may have run for all that is known. On a new one, which doesn't come up, it never ran. So a
// forward that began after the last answer and got none ends the idle ones too.
func (p *Pool) ended(n *node, began time.Time, ending decision.Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case n == nil || ending == decision.NeverSent:
	case ending <= decision.NodeFull || ending == decision.Spoilt:
		n.heard = time.Now()
	case n.heard.Before(began):
		p.empty(n)
	}
}

// reserve finds room for another connection, if need be that of the one that was idle for longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return false
	}
	if p.held >= p.most {
		var oldest *node
		for _, n := range p.nodes {
			if len(n.idle) > 0 && (oldest == nil || n.idle[0].since.Before(oldest.idle[0].since)) {
				oldest = n
			}
		}
		if oldest == nil {
			if !p.short {
				p.log.WithField("held", p.held).Warn("no descriptor left for nodes")
			}
			p.short = true
			return false
		}
		p.closeAll(oldest.idle[:1])
		oldest.idle = oldest.idle[1:]
	}
	p.short = p.short && p.held > p.most/2
	p.held++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
}

// Run retires idle connections until ctx ends, and then all of them. Danger: a forward may be out still, its hit long
// answered; what it gives back later would be nobody's.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.longest / 4)
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
	p.over = all
	p.idle = min(p.longest, p.idle+p.idle/8) // where none is used again none tells
	for _, n := range p.nodes {
		i := 0
		for i < len(n.idle) && (all || time.Since(n.idle[i].since) >= p.idle) {
			i++
		}
		p.closeAll(n.idle[:i])
		n.idle = n.idle[i:]
	}
}

// Forward starts a forward; what it returns calls it off.
func (p *Pool) Forward(f engine.Forward) (recall func()) {
	ctx, cancel := context.WithCancel(context.Background())
	to := p.aimed(f.Node, f.Address) // on the caller's goroutine: by the list by which it decided
	go func() {
		defer cancel()
		began := time.Now()
		end := p.run(ctx, f, to)
		end.At = p.clock.Now()
		p.ended(to.node, began, end.Ending)
		f.Ended(end)
	}()
	return cancel
}

// run carries one forward. Danger: http.Transport sends again by itself and hides whether the last byte was
// written, so the request is written here, in one piece and once. What is given up is closed before it is told,
// else the next forward of the hit would be a second copy.
func (p *Pool) run(ctx context.Context, f engine.Forward, to aim) engine.End {
	until := p.clock.Time(f.Until)
	for {
		if !p.due(ctx, f, to, until) {
			return engine.End{Ending: decision.NeverSent}
		}
		c := p.take(to)
		kept, idle := c != nil, time.Duration(0)
		if kept {
			idle = time.Since(c.since)
		} else {
			var ending decision.Ending
			if c, ending = p.open(ctx, f, to, until); c == nil {
				return engine.End{Ending: ending}
			}
		}
		by := p.sendBy(f, until)
		c.SetReadDeadline(until)
		c.SetWriteDeadline(by) // an endpoint that has it whole only later may have forgotten that it ran before
		stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
		end, written, keep := c.exchange(ctx, f, p.clock.Now(), until, p.rest)
		if kept {
			p.reused(idle, written && end.Ending != decision.Broken)
		}
		if stop() && keep {
			p.give(f.Node, to.node, c)
		} else {
			p.drop(c)
		}
		switch {
		case end.Ending <= decision.NodeFull || end.Ending == decision.Spoilt && ctx.Err() == nil: // the node has answered
		case !written && kept && ctx.Err() == nil && time.Now().Before(until):
			continue // the kept connection was dead and nothing has run: a new one
		case !written && (ctx.Err() != nil || by.Before(until) && !time.Now().Before(by)):
			end.Ending = decision.NeverSent
		case !written:
			end.Ending = decision.Unreachable
		case ctx.Err() != nil:
			end.Ending = decision.Recalled
		}
		return end
	}
}

// due tells whether a forward may still be sent. Danger: its connection may come up in the moment in which it is called
// off, and the deadline that this sets is not set yet; sent then, it would follow the hit's final answer.
func (p *Pool) due(ctx context.Context, f engine.Forward, to aim, until time.Time) bool {
	return ctx.Err() == nil && p.stands(to) && time.Now().Before(p.sendBy(f, until))
}

// sendBy is when a forward that is not sent yet is given up.
func (p *Pool) sendBy(f engine.Forward, until time.Time) time.Time {
	if by := p.clock.Time(f.SendBy); f.SendBy > 0 && by.Before(until) {
		return by
	}
	return until
}

// open makes a connection; without one it tells how the forward has ended.
func (p *Pool) open(ctx context.Context, f engine.Forward, to aim, until time.Time) (*conn, decision.Ending) {
	if !p.reserve() {
		return nil, decision.NeverSent
	}
	dialer := net.Dialer{Timeout: p.connect, Deadline: p.sendBy(f, until), KeepAlive: -1}
	raw, err := p.dial(ctx, &dialer, f.Address)
	p.mu.Lock()
	if err == nil {
		p.done.Opened++
	} else if ctx.Err() == nil {
		p.done.Refused++
	}
	p.mu.Unlock()
	due := p.due(ctx, f, to, until) // once more, for a list may have come while it came up
	switch {
	case err == nil && due:
		return newConn(raw), 0
	case err == nil:
		raw.Close()
	}
	p.release()
	if !due || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) { // which says nothing of the node
		return nil, decision.NeverSent
	}
	return nil, decision.Unreachable
}

var _ engine.Nodes = (*Pool)(nil)

// ending names what a node's status says.
func ending(res *http.Response) decision.Ending {
	switch unseen := res.Header.Get("X-Unprocessed") == "1"; {
	case res.StatusCode == http.StatusOK:
		return decision.Delivered
	case unseen && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout):
		return decision.NodeFull
	}
	return decision.NodeError
}
