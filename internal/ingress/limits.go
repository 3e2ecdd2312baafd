package ingress

import (
	"container/list"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/sockopt"
)

// connLimiter is the listener of http.Server and limits the number of client connections. http.Server owns the
// connections and closes them. The limiter closes only connections that carry no complete request: beyond the limit those of
// evictOne; while the server is closing all that are unused or idle. Its methods are safe for
// concurrent use.
type connLimiter struct {
	listener       net.Listener
	listenerClosed chan struct{} // closed after the listener
	closeListener  func() error  // closes the listener on the first call; each call returns the result of the first
	state          *lifecycle    // state of the server, which enters closing under mu

	maxConnections int // beyond this number requests are rejected and their connections closed
	log            logrus.FieldLogger

	mu         sync.Mutex
	slotFreed  *sync.Cond // signals that a connection has ended or the server is closing
	conns      connTable
	fullLogged bool // the warning about the limit was logged; reset at half of maxConnections
}

// connTable holds the open connections, and lists those without a request in the order of eviction.
type connTable struct {
	entries map[net.Conn]connEntry // an entry is removed when its connection ends
	unused  *list.List             // connections (*sockopt.Conn) that have not yet carried a request, oldest first
	idle    *list.List             // connections (*sockopt.Conn) between requests, longest idle first
}

// connEntry is the place of a connection in one of the lists. It is zero while the connection carries a request.
type connEntry struct {
	list    *list.List
	element *list.Element
	since   time.Time // when the connection was added to the list
}

func newConnLimiter(maxConnections int, state *lifecycle, log logrus.FieldLogger) *connLimiter {
	limiter := &connLimiter{
		listenerClosed: make(chan struct{}), state: state, maxConnections: maxConnections, log: log,
		conns: connTable{map[net.Conn]connEntry{}, list.New(), list.New()},
	}
	limiter.closeListener = sync.OnceValue(func() error {
		defer close(limiter.listenerClosed)
		return limiter.listener.Close()
	})
	limiter.slotFreed = sync.NewCond(&limiter.mu)
	return limiter
}

// Accept waits until the limit allows another connection, and returns the next one of the accept queue.
func (l *connLimiter) Accept() (net.Conn, error) {
	l.waitForSlot()
	raw, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	conn, err := sockopt.NewConn(raw.(*net.TCPConn), readTimeout, maxHeaderLines)
	if err != nil {
		return nil, err
	}
	// http.Server reports StateNew only after Accept has returned. A server that drains in between would not count the
	// connection, and would end without a response to its request.
	l.track(conn, http.StateNew)
	return conn, nil
}

// waitForSlot waits while the limit is exceeded by more than an eighth and no connection can be evicted. Connections wait
// in the accept queue meanwhile and are not lost. Without the eviction, hundreds of connections without a request would
// block other clients until readTimeout ends them.
func (l *connLimiter) waitForSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns.entries) > l.maxConnections+l.maxConnections/8 && !l.state.reached(closing) {
		if l.evict() {
			continue
		}
		// No state change signals the end of an unused connection's grace period.
		wake := time.AfterFunc(newConnectionGrace, l.slotFreed.Broadcast)
		l.slotFreed.Wait()
		wake.Stop()
	}
}

// track records a state change of a connection that http.Server reports. While there are more than maxConnections, it
// also evicts one connection that carries no request, if there is one.
func (l *connLimiter) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns.remove(conn)
	switch state {
	case http.StateNew:
		l.conns.insert(conn, l.conns.unused)
	case http.StateActive:
		l.conns.entries[conn] = connEntry{}
	case http.StateIdle:
		conn.(*sockopt.Conn).MarkResponded()
		l.conns.insert(conn, l.conns.idle)
	case http.StateHijacked, http.StateClosed:
		l.slotFreed.Signal()
	}
	l.fullLogged = l.fullLogged && len(l.conns.entries) > l.maxConnections/2
	if len(l.conns.entries) > l.maxConnections {
		l.evict()
	}
}

// evict closes one connection that carries no complete request, and reports whether there was one; l.mu must be held.
func (l *connLimiter) evict() bool {
	conn, reason := l.conns.evictOne()
	if conn == nil {
		return false
	}
	l.log.WithFields(logrus.Fields{
		"reason": reason, "client": conn.RemoteAddr(), "connections": len(l.conns.entries),
	}).Debug("connection evicted")
	return true
}

// full reports whether a request must be rejected because the connection limit, which bounds file descriptors and memory,
// is exceeded. Connections without a complete request do not count, since they can be evicted.
func (l *connLimiter) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := len(l.conns.entries)
	if open-l.conns.unused.Len() <= l.maxConnections || open-l.conns.evictableCount() <= l.maxConnections {
		return false
	}
	if !l.fullLogged {
		l.log.WithField("held", open).Warn("client connection limit exceeded")
	}
	l.fullLogged = true
	return true
}

// halfFull reports whether more than half of the connections that are allowed are open.
func (l *connLimiter) halfFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns.entries) > l.maxConnections/2
}

// closeUnusedAndIdle closes the connections that carry no request, except unused ones within newConnectionGrace. It
// returns the number of connections left.
func (l *connLimiter) closeUnusedAndIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, entry := range l.conns.entries {
		if l.conns.isClosable(entry) && conn.(*sockopt.Conn).CloseIfIdle() {
			l.conns.remove(conn)
		}
	}
	return len(l.conns.entries)
}

// insert adds a connection at the end of a list.
func (t *connTable) insert(conn net.Conn, conns *list.List) {
	t.entries[conn] = connEntry{conns, conns.PushBack(conn), time.Now()}
}

// remove removes a connection from the table and its list.
func (t *connTable) remove(conn net.Conn) {
	if entry := t.entries[conn]; entry.list != nil {
		entry.list.Remove(entry.element)
	}
	delete(t.entries, conn)
}

// isClosable reports whether a connection is idle, or unused with its grace period over.
func (t *connTable) isClosable(entry connEntry) bool {
	return entry.list == t.idle || entry.list == t.unused && time.Since(entry.since) >= newConnectionGrace
}

// The reasons of an eviction, for the log.
const (
	evictedUnused     = "unused"     // it has not yet carried a request
	evictedIncomplete = "incomplete" // it waits for the rest of a request
	evictedIdle       = "idle"       // it is between requests
)

// evictOne closes one connection that carries no complete request: the oldest unused one whose grace period is over, or else
// the one that has waited longest for the rest of its request, or else the longest idle one. It returns the connection and the
// reason, or nil if there was none.
func (t *connTable) evictOne() (conn *sockopt.Conn, reason string) {
	if conn := t.evictFrom(t.unused); conn != nil {
		return conn, evictedUnused
	}
	if conn := t.evictIncomplete(); conn != nil {
		return conn, evictedIncomplete
	}
	return t.evictFrom(t.idle), evictedIdle
}

// evictableCount returns the number of connections that are unused or whose request is incomplete.
func (t *connTable) evictableCount() (count int) {
	for conn, entry := range t.entries {
		if _, incomplete := conn.(*sockopt.Conn).IncompleteSince(); incomplete || entry.list == t.unused {
			count++
		}
	}
	return count
}

// evictIncomplete closes the connection whose request has been incomplete for longest, and at least for newConnectionGrace. It
// returns nil if there was none. Otherwise hundreds of clients that stop within a request would block others until readTimeout.
func (t *connTable) evictIncomplete() *sockopt.Conn {
	incomplete := map[*sockopt.Conn]time.Time{}
	for conn := range t.entries {
		if since, ok := conn.(*sockopt.Conn).IncompleteSince(); ok && time.Since(since) >= newConnectionGrace {
			incomplete[conn.(*sockopt.Conn)] = since
		}
	}
	oldestFirst := slices.SortedFunc(maps.Keys(incomplete), func(a, b *sockopt.Conn) int {
		return incomplete[a].Compare(incomplete[b])
	})
	for _, conn := range oldestFirst {
		if conn.CloseIfIncomplete() {
			t.remove(conn)
			return conn
		}
	}
	return nil
}

// evictFrom closes the first connection of a list that can be closed, and returns it, or nil if there was none. That frees the
// file descriptor at once, although http.Server notices the end of the connection later.
func (t *connTable) evictFrom(conns *list.List) *sockopt.Conn {
	for element := conns.Front(); element != nil; element = element.Next() {
		conn := element.Value.(*sockopt.Conn)
		if !t.isClosable(t.entries[conn]) {
			return nil // the following connections are newer, so none of them is closable
		}
		if conn.CloseIfIdle() {
			t.remove(conn)
			return conn
		}
	}
	return nil
}
