package ingress

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/sockopt"
)

// gate counts the connections of clients. The server owns and closes them; the gate closes only those on which nothing
// is asked: when they are too many first those that never asked, then the longest idle one; all of them at the end.
type gate struct {
	listener net.Listener
	ended    chan struct{} // closed with the listener
	once     sync.Once
	failed   error // to close it

	most int // beyond it, hits are bounced and their connections closed
	log  logrus.FieldLogger

	mu    sync.Mutex
	room  *sync.Cond
	conns map[net.Conn]place // the end of the connection empties it
	fresh *list.List         // of *socket.Conn that have carried nothing, the oldest first
	idle  *list.List         // of *socket.Conn that have, the longest idle first
	short bool               // as last logged
	shut  bool
}

// place is where a connection stands; zero while in use.
type place struct {
	in    *list.List
	at    *list.Element
	since time.Time
}

// silence is how long a client that connects to ask something may say nothing while others want its place.
const silence = inTime / 10

func newGate(most int, log logrus.FieldLogger) *gate {
	g := &gate{ended: make(chan struct{}), most: most, log: log, conns: map[net.Conn]place{}, fresh: list.New(), idle: list.New()}
	g.room = sync.NewCond(&g.mu)
	return g
}

// open has the gate accept from l; false once it is shut.
func (g *gate) open(l net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = l
	return !g.shut
}

// Addr is that of the listener.
func (g *gate) Addr() net.Addr { return g.listener.Addr() }

// Accept waits while more than an eighth beyond the most connections stand; what waits then is not lost. Danger: hundreds
// that connect and say nothing would shut the usual clients out until their time is over.
func (g *gate) Accept() (net.Conn, error) {
	g.mu.Lock()
	for len(g.conns) > g.most+g.most/8 && !g.shut {
		if !g.makeRoom() {
			again := time.AfterFunc(silence, g.room.Broadcast)
			g.room.Wait()
			again.Stop()
		}
	}
	g.mu.Unlock()
	c, err := g.next()
	if err != nil {
		return nil, err
	}
	conn, err := sockopt.NewConn(c.(*net.TCPConn), inTime)
	if err != nil {
		return nil, err
	}
	// Danger: the server tells of it a moment later, and a marshal that leaves in between would end with the hit on it.
	g.state(conn, http.StateNew)
	return conn, nil
}

// next takes the next connection; once the gate is shut those alone that have come before, then net.ErrClosed. Danger: a
// hit on a connection that waits its turn in the system's queue is lost if the listener closes first.
func (g *gate) next() (net.Conn, error) {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		limited, ok := g.listener.(interface{ SetDeadline(time.Time) error })
		switch {
		case shut && (!ok || limited.SetDeadline(time.Now().Add(lastLook)) != nil):
			return nil, g.end()
		}
		c, err := g.listener.Accept()
		late := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case late && !shut: // woken by Close
		case late || errors.Is(err, net.ErrClosed):
			return nil, g.end()
		default:
			return c, err
		}
	}
}

// lastLook is how long a gate that is shut looks for connections that have come before; the system has them ready.
const lastLook = 5 * time.Millisecond

// end closes the listener, once.
func (g *gate) end() error {
	g.once.Do(func() {
		g.failed = g.listener.Close()
		close(g.ended)
	})
	return net.ErrClosed
}

// shutdown ends accepting, and returns once all that had come is accepted.
func (g *gate) shutdown() error {
	g.mu.Lock()
	g.shut = true
	limited, ok := g.listener.(interface{ SetDeadline(time.Time) error })
	none := g.listener == nil
	if ok { // wakes who waits in next, before whoever sees shut sets another
		ok = limited.SetDeadline(time.Now()) == nil
	}
	g.mu.Unlock()
	g.room.Broadcast()
	switch {
	case none:
		return nil // Serve comes too late and accepts nothing
	case !ok:
		g.end()
	}
	select {
	case <-g.ended:
	case <-time.After(owed): // Danger: short of descriptors the server looks only so often
		g.end()
	}
	return g.failed
}

// Close closes the listener; the server does so at its end.
func (g *gate) Close() error {
	g.end()
	return g.failed
}

// state follows what the server does with a connection.
func (g *gate) state(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
	switch s {
	case http.StateNew:
		g.put(c, g.fresh)
	case http.StateActive:
		g.conns[c] = place{}
	case http.StateIdle:
		c.(*sockopt.Conn).Answered()
		g.put(c, g.idle)
	default:
		g.room.Signal()
	}
	g.short = g.short && len(g.conns) > g.most/2
	if len(g.conns) > g.most {
		g.makeRoom()
	}
}

func (g *gate) put(c net.Conn, in *list.List) { g.conns[c] = place{in, in.PushBack(c), time.Now()} }

func (g *gate) remove(c net.Conn) {
	if p := g.conns[c]; p.in != nil {
		p.in.Remove(p.at)
	}
	delete(g.conns, c)
}

// makeRoom closes one connection on which nothing is asked and tells whether there was one; the lock is held. Danger: a
// client sends a hit again only if its connection had carried one before; so a new one has a moment to ask.
func (g *gate) makeRoom() bool {
	for _, from := range []*list.List{g.fresh, g.idle} {
		for at := from.Front(); at != nil; at = at.Next() {
			old := at.Value.(*sockopt.Conn)
			if from == g.fresh && time.Since(g.conns[old].since) < silence {
				break
			}
			if old.CloseUnasked() {
				g.remove(old) // its descriptor is free, though the server hasn't seen it yet
				return true
			}
		}
	}
	return false
}

// clear closes all connections on which nothing is asked and tells how many others are left. A new one has its moment.
func (g *gate) clear() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, p := range g.conns {
		if p.in != nil && (p.in != g.fresh || time.Since(p.since) >= silence) && c.(*sockopt.Conn).CloseUnasked() {
			g.remove(c)
		}
	}
	return len(g.conns)
}

// isShut tells whether accepting has ended.
func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

// full tells whether a hit must be bounced for want of descriptors or memory. Those that never asked are not in its way.
func (g *gate) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns)-g.fresh.Len() <= g.most {
		return false
	}
	if !g.short {
		g.log.WithField("held", len(g.conns)).Warn("no descriptor left for clients")
	}
	g.short = true
	return true
}
