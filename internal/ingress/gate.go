package ingress

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"ottershed/internal/sockopt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// gate counts the connections of clients. The server owns and closes them; the gate closes only those on which nothing
// is asked: when they are too many first those that never asked, then the longest idle one; all of them at the end.
type connLimiter struct {
	listener net.Listener
	done     chan struct{} // closed with the listener
	once     sync.Once
	closeErr error // to close it

	maxConnections int // beyond it, hits are bounced and their connections closed
	log            logrus.FieldLogger

	mu          sync.Mutex
	slotFreed   *sync.Cond
	conns       map[net.Conn]position // the end of the connection empties it
	unusedConns *list.List            // of *socket.Conn that have carried nothing, the oldest first
	idle        *list.List            // of *socket.Conn that have, the longest idle first
	exhausted   bool                  // as last logged
	closed      bool
}

// place is where a connection stands; zero while in use.
type position struct {
	list    *list.List
	element *list.Element
	since   time.Time
}

// silence is how long a client that connects to ask something may say nothing while others want its place.
const newConnectionGrace = readTimeout / 10

func newConnLimiter(maxConnections int, log logrus.FieldLogger) *connLimiter {
	g := &connLimiter{done: make(chan struct{}), maxConnections: maxConnections, log: log, conns: map[net.Conn]position{}, unusedConns: list.New(), idle: list.New()}
	g.slotFreed = sync.NewCond(&g.mu)
	return g
}

// open has the gate accept from l; false once it is shut.
func (g *connLimiter) listen(l net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = l
	return !g.closed
}

// Addr is that of the listener.
func (g *connLimiter) Addr() net.Addr { return g.listener.Addr() }

// Accept waits while more than an eighth beyond the most connections stand; what waits then is not lost. Danger: hundreds
// that connect and say nothing would shut the usual clients out until their time is over.
func (g *connLimiter) Accept() (net.Conn, error) {
	g.mu.Lock()
	for len(g.conns) > g.maxConnections+g.maxConnections/8 && !g.closed {
		if !g.evictOne() {
			again := time.AfterFunc(newConnectionGrace, g.slotFreed.Broadcast)
			g.slotFreed.Wait()
			again.Stop()
		}
	}
	g.mu.Unlock()
	c, err := g.acceptNext()
	if err != nil {
		return nil, err
	}
	conn, err := sockopt.NewConn(c.(*net.TCPConn), readTimeout)
	if err != nil {
		return nil, err
	}
	// Danger: the server tells of it a moment later, and a marshal that leaves in between would end with the hit on it.
	g.state(conn, http.StateNew)
	return conn, nil
}

// next takes the next connection; once the gate is shut those alone that have come before, then net.ErrClosed. Danger: a
// hit on a connection that waits its turn in the system's queue is lost if the listener closes first.
func (g *connLimiter) acceptNext() (net.Conn, error) {
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		limited, ok := g.listener.(interface{ SetDeadline(time.Time) error })
		switch {
		case closed && (!ok || limited.SetDeadline(time.Now().Add(drainAcceptWait)) != nil):
			return nil, g.closeListener()
		}
		c, err := g.listener.Accept()
		late := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case late && !closed: // woken by Close
		case late || errors.Is(err, net.ErrClosed):
			return nil, g.closeListener()
		default:
			return c, err
		}
	}
}

// lastLook is how long a gate that is shut looks for connections that have come before; the system has them ready.
const drainAcceptWait = 5 * time.Millisecond

// end closes the listener, once.
func (g *connLimiter) closeListener() error {
	g.once.Do(func() {
		g.closeErr = g.listener.Close()
		close(g.done)
	})
	return net.ErrClosed
}

// shutdown ends accepting, and returns once all that had come is accepted.
func (g *connLimiter) shutdown() error {
	g.mu.Lock()
	g.closed = true
	limited, ok := g.listener.(interface{ SetDeadline(time.Time) error })
	none := g.listener == nil
	if ok { // wakes who waits in next, before whoever sees shut sets another
		ok = limited.SetDeadline(time.Now()) == nil
	}
	g.mu.Unlock()
	g.slotFreed.Broadcast()
	switch {
	case none:
		return nil // Serve comes too late and accepts nothing
	case !ok:
		g.closeListener()
	}
	select {
	case <-g.done:
	case <-time.After(responseDue): // Danger: short of descriptors the server looks only so often
		g.closeListener()
	}
	return g.closeErr
}

// Close closes the listener; the server does so at its end.
func (g *connLimiter) Close() error {
	g.closeListener()
	return g.closeErr
}

// state follows what the server does with a connection.
func (g *connLimiter) state(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
	switch s {
	case http.StateNew:
		g.insert(c, g.unusedConns)
	case http.StateActive:
		g.conns[c] = position{}
	case http.StateIdle:
		c.(*sockopt.Conn).MarkResponded()
		g.insert(c, g.idle)
	default:
		g.slotFreed.Signal()
	}
	g.exhausted = g.exhausted && len(g.conns) > g.maxConnections/2
	if len(g.conns) > g.maxConnections {
		g.evictOne()
	}
}

func (g *connLimiter) insert(c net.Conn, in *list.List) {
	g.conns[c] = position{in, in.PushBack(c), time.Now()}
}

func (g *connLimiter) remove(c net.Conn) {
	if p := g.conns[c]; p.list != nil {
		p.list.Remove(p.element)
	}
	delete(g.conns, c)
}

// makeRoom closes one connection on which nothing is asked and tells whether there was one; the lock is held. Danger: a
// client sends a hit again only if its connection had carried one before; so a new one has a moment to ask.
func (g *connLimiter) evictOne() bool {
	for _, from := range []*list.List{g.unusedConns, g.idle} {
		for at := from.Front(); at != nil; at = at.Next() {
			old := at.Value.(*sockopt.Conn)
			if from == g.unusedConns && time.Since(g.conns[old].since) < newConnectionGrace {
				break
			}
			if old.CloseIfIdle() {
				g.remove(old) // its descriptor is free, though the server hasn't seen it yet
				return true
			}
		}
	}
	return false
}

// clear closes all connections on which nothing is asked and tells how many others are left. A new one has its moment.
func (g *connLimiter) closeQuiet() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, p := range g.conns {
		if p.list != nil && (p.list != g.unusedConns || time.Since(p.since) >= newConnectionGrace) && c.(*sockopt.Conn).CloseIfIdle() {
			g.remove(c)
		}
	}
	return len(g.conns)
}

// isShut tells whether accepting has ended.
func (g *connLimiter) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// full tells whether a hit must be bounced for want of descriptors or memory. Those that never asked are not in its way.
func (g *connLimiter) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns)-g.unusedConns.Len() <= g.maxConnections {
		return false
	}
	if !g.exhausted {
		g.log.WithField("held", len(g.conns)).Warn("no descriptor left for clients")
	}
	g.exhausted = true
	return true
}
