package ingress

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/sockopt"
)

// connLimiter is the listener of http.Server; it counts the connections of clients. http.Server owns and closes them,
// the limiter closes only those that carry no request: when they are too many, first those that never carried one, then
// the longest idle one; at the end of the server all of them.
type connLimiter struct {
	listener       net.Listener
	listenerClosed chan struct{}
	closeListener  func() error // closes the listener at the first call, each call returns the result of that
	state          *lifecycle   // of the server; closing is entered under the lock

	maxConnections int // beyond it requests are rejected and their connections closed
	log            logrus.FieldLogger

	mu        sync.Mutex
	slotFreed *sync.Cond // a connection has ended, or the server is closing
	conns     connTable
	exhausted bool // as last logged
}

// connTable holds the connections that stand, and those without a request in the order in which they are evicted.
type connTable struct {
	positions map[net.Conn]position // the end of a connection removes it
	unused    *list.List            // of *sockopt.Conn that have carried nothing, the oldest first
	idle      *list.List            // of *sockopt.Conn that have, the longest idle first
}

// position is where a connection stands; zero while it carries a request.
type position struct {
	list    *list.List
	element *list.Element
	since   time.Time
}

func newConnLimiter(maxConnections int, state *lifecycle, log logrus.FieldLogger) *connLimiter {
	limiter := &connLimiter{
		listenerClosed: make(chan struct{}), state: state, maxConnections: maxConnections, log: log,
		conns: connTable{map[net.Conn]position{}, list.New(), list.New()},
	}
	limiter.closeListener = sync.OnceValue(func() error {
		defer close(limiter.listenerClosed)
		return limiter.listener.Close()
	})
	limiter.slotFreed = sync.NewCond(&limiter.mu)
	return limiter
}

// Accept accepts a connection, in the system's order.
func (l *connLimiter) Accept() (net.Conn, error) {
	l.waitForSlot()
	raw, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	conn, err := sockopt.NewConn(raw.(*net.TCPConn), readTimeout)
	if err != nil {
		return nil, err
	}
	// http.Server says so a moment later; a server that drains in between would end without a response to what it carries.
	l.track(conn, http.StateNew)
	return conn, nil
}

// waitForSlot waits while more than an eighth beyond the limit stand and none can be evicted; what waits in the
// system's queue meanwhile is not lost. Hundreds of connections that carry nothing would shut other clients out until
// their time is over.
func (l *connLimiter) waitForSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns.positions) > l.maxConnections+l.maxConnections/8 && !l.state.reached(closing) {
		if l.conns.evictOne() {
			continue
		}
		again := time.AfterFunc(newConnectionGrace, l.slotFreed.Broadcast)
		l.slotFreed.Wait()
		again.Stop()
	}
}

// track follows what http.Server does with a connection.
func (l *connLimiter) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns.remove(conn)
	switch state {
	case http.StateNew:
		l.conns.insert(conn, l.conns.unused)
	case http.StateActive:
		l.conns.positions[conn] = position{}
	case http.StateIdle:
		conn.(*sockopt.Conn).MarkResponded()
		l.conns.insert(conn, l.conns.idle)
	case http.StateHijacked, http.StateClosed:
		l.slotFreed.Signal()
	}
	l.exhausted = l.exhausted && len(l.conns.positions) > l.maxConnections/2
	if len(l.conns.positions) > l.maxConnections {
		l.conns.evictOne()
	}
}

// full tells whether a request must be rejected for want of descriptors or memory. Connections that never carried one
// don't count: they are evicted.
func (l *connLimiter) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	standing := len(l.conns.positions)
	if standing-l.conns.unused.Len() <= l.maxConnections {
		return false
	}
	if !l.exhausted {
		l.log.WithField("held", standing).Warn("no descriptor left for clients")
	}
	l.exhausted = true
	return true
}

// closeQuiet closes the connections that carry no request, but for new ones, and tells how many are left.
func (l *connLimiter) closeQuiet() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, at := range l.conns.positions {
		if l.conns.isQuiet(at) && conn.(*sockopt.Conn).CloseIfIdle() {
			l.conns.remove(conn)
		}
	}
	return len(l.conns.positions)
}

func (t *connTable) insert(conn net.Conn, into *list.List) {
	t.positions[conn] = position{into, into.PushBack(conn), time.Now()}
}

func (t *connTable) remove(conn net.Conn) {
	if at := t.positions[conn]; at.list != nil {
		at.list.Remove(at.element)
	}
	delete(t.positions, conn)
}

// isQuiet tells whether a connection carries no request and its grace is over.
func (t *connTable) isQuiet(at position) bool {
	return at.list == t.idle || at.list == t.unused && time.Since(at.since) >= newConnectionGrace
}

// evictOne closes one connection that carries no request and tells whether there was one.
func (t *connTable) evictOne() bool { return t.evictFrom(t.unused) || t.evictFrom(t.idle) }

// evictFrom closes the first connection of a list that can be closed. Its descriptor is free then, though http.Server
// has not seen its end yet.
func (t *connTable) evictFrom(from *list.List) bool {
	for at := from.Front(); at != nil; at = at.Next() {
		conn := at.Value.(*sockopt.Conn)
		if !t.isQuiet(t.positions[conn]) {
			return false // nor are those behind it, which are younger
		}
		if conn.CloseIfIdle() {
			t.remove(conn)
			return true
		}
	}
	return false
}
