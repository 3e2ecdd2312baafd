package front

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/socket"
)

// gate counts the connections of clients. The server owns and closes them; the gate closes only those on which nothing
// is asked: when they are too many first those that never asked, then the longest idle one; all of them at the end.
type gate struct {
	net.Listener
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
	g := &gate{most: most, log: log, conns: map[net.Conn]place{}, fresh: list.New(), idle: list.New()}
	g.room = sync.NewCond(&g.mu)
	return g
}

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
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return socket.NewConn(c.(*net.TCPConn))
}

// Close ends accepting.
func (g *gate) Close() error {
	g.mu.Lock()
	g.shut = true
	g.mu.Unlock()
	g.room.Broadcast()
	return g.Listener.Close()
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
		c.(*socket.Conn).Rest()
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
			old := at.Value.(*socket.Conn)
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

// clear closes all connections on which nothing is asked and tells how many others are left.
func (g *gate) clear() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, p := range g.conns {
		if p.in != nil && c.(*socket.Conn).CloseUnasked() {
			g.remove(c)
		}
	}
	return len(g.conns)
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
