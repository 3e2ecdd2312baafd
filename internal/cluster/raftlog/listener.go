package raftlog

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	maxHandshakes    = 64                    // maximum number of concurrent handshakes; further connections are closed
	acceptRetryDelay = 10 * time.Millisecond // pause after a failed Accept
)

// mux shares one listener between raft and HTTP. The handshake of a connection states its kind.
type mux struct {
	listener  net.Listener
	key       []byte
	raft      chan net.Conn // connections for raft, after their handshake
	http      chan net.Conn // connections for HTTP, after their handshake
	closed    chan struct{} // closed by close
	closeOnce sync.Once
}

// newMux returns a mux that accepts connections from a listener. Connections are authenticated by key.
func newMux(listener net.Listener, key []byte) *mux {
	m := &mux{
		listener: listener,
		key:      key,
		raft:     make(chan net.Conn),
		http:     make(chan net.Conn),
		closed:   make(chan struct{}),
	}
	go m.acceptLoop()
	return m
}

// acceptLoop accepts connections until the listener is closed, and performs each handshake in a goroutine of its own.
func (m *mux) acceptLoop() {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // the process may be out of file descriptors for a while
			continue
		}
		select {
		case handshakes <- struct{}{}:
		default:
			// Too many handshakes are in progress. A connection that sends nothing ends its handshake after handshakeTimeout.
			_ = conn.Close() // no data was exchanged
			continue
		}
		go func() {
			kind, err := acceptHandshake(conn, m.key)
			<-handshakes
			if err != nil {
				_ = conn.Close() // the other side sees its handshake fail
				return
			}
			m.deliver(conn, kind)
		}()
	}
}

// deliver passes a connection to raft or HTTP, according to its kind.
func (m *mux) deliver(conn net.Conn, kind byte) {
	to := m.http
	if kind == raftKind {
		to = m.raft
	}
	select {
	case to <- conn:
	case <-m.closed:
		_ = conn.Close() // the server shuts down
	}
}

// nextConn waits for a connection. It returns net.ErrClosed after close.
func (m *mux) nextConn(from chan net.Conn) (net.Conn, error) {
	select {
	case conn := <-from:
		return conn, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

// close closes the listener and ends all waits for connections.
func (m *mux) close() {
	m.closeOnce.Do(func() {
		close(m.closed)
		_ = m.listener.Close() // the server shuts down
	})
}

// httpListener implements net.Listener for HTTP connections.
type httpListener struct{ mux *mux }

func (l httpListener) Accept() (net.Conn, error) { return l.mux.nextConn(l.mux.http) }
func (l httpListener) Addr() net.Addr            { return l.mux.listener.Addr() }
func (l httpListener) Close() error {
	l.mux.close()
	return nil
}

// streamLayer implements raft.StreamLayer. In raft's configuration the address of a server is its name. Each server
// looks up the ip:port of a name in its own operator's file.
type streamLayer struct {
	mux     *mux
	name    string
	address func(name string) (string, error)
}

func (s streamLayer) Accept() (net.Conn, error) { return s.mux.nextConn(s.mux.raft) }
func (s streamLayer) Addr() net.Addr            { return serverAddr(s.name) }
func (s streamLayer) Close() error {
	s.mux.close()
	return nil
}

func (s streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, err := s.address(string(to))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dial(ctx, address, raftKind, s.mux.key)
}

// serverAddr is a server's name as a net.Addr.
type serverAddr string

func (a serverAddr) Network() string { return "name" }
func (a serverAddr) String() string  { return string(a) }
