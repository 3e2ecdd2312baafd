package raftlog

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Kinds of connections between servers, by their first byte.
const (
	raftKind = 'r'
	httpKind = 'h'
)

const (
	nonceBytes       = 16
	handshakeTimeout = 5 * time.Second
	maxHandshakes    = 64 // connections that have not said yet what they are for
)

// mux shares one listener between raft and HTTP. Where there is a key, each side proves to the other that it has it.
type mux struct {
	net.Listener
	key  []byte
	raft chan net.Conn
	http chan net.Conn
	done chan struct{}
	once sync.Once
}

func newMux(l net.Listener, key []byte) *mux {
	m := &mux{Listener: l, key: key, raft: make(chan net.Conn), http: make(chan net.Conn), done: make(chan struct{})}
	go m.accept()
	return m
}

func (m *mux) accept() {
	greets := make(chan struct{}, maxHandshakes)
	for {
		c, err := m.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // no descriptor left, say
			continue
		}
		select {
		case greets <- struct{}{}:
		default:
			c.Close() // strangers that say nothing shut nobody out for longer than greetIn
			continue
		}
		go func() {
			kind, err := m.acceptHandshake(c)
			<-greets
			to := m.http
			if kind == raftKind {
				to = m.raft
			}
			if err != nil {
				c.Close()
				return
			}
			select {
			case to <- c:
			case <-m.done:
				c.Close()
			}
		}()
	}
}

// close ends the listener and what waits for connections of it.
func (m *mux) close() {
	m.once.Do(func() {
		close(m.done)
		m.Listener.Close()
	})
}

var errKey = errors.New("the other side has another key")

func proof(key []byte, role byte, nonces []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte{role})
	h.Write(nonces)
	return h.Sum(nil)
}

// greeted reads what a connection is for, on the side that took it.
func (m *mux) acceptHandshake(c net.Conn) (byte, error) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(c, hello); err != nil {
		return 0, err
	}
	kind := hello[0]
	if kind != raftKind && kind != httpKind {
		return 0, fmt.Errorf("no such kind of connection: %q", kind)
	}
	if len(m.key) == 0 {
		return kind, nil
	}
	nonces := append(hello[1:], make([]byte, nonceBytes)...)
	if _, err := rand.Read(nonces[nonceBytes:]); err != nil {
		return 0, err
	}
	if _, err := c.Write(append(nonces[nonceBytes:len(nonces):len(nonces)], proof(m.key, 's', nonces)...)); err != nil {
		return 0, err
	}
	theirs := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, theirs); err != nil {
		return 0, err
	}
	if !hmac.Equal(theirs, proof(m.key, 'c', nonces)) {
		return 0, errKey
	}
	return kind, nil
}

// dial opens a connection of a kind.
func dial(ctx context.Context, address string, kind byte, key []byte) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := handshake(ctx, c, kind, key); err != nil {
		c.Close()
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return c, nil
}

func handshake(ctx context.Context, c net.Conn, kind byte, key []byte) error {
	until := time.Now().Add(handshakeTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(until) {
		until = end
	}
	c.SetDeadline(until)
	defer c.SetDeadline(time.Time{})
	hello := make([]byte, 1+nonceBytes)
	if _, err := rand.Read(hello); err != nil {
		return err
	}
	hello[0] = kind
	if _, err := c.Write(hello); err != nil || len(key) == 0 {
		return err
	}
	back := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(c, back); err != nil {
		return err
	}
	nonces := append(hello[1:], back[:nonceBytes]...)
	if !hmac.Equal(back[nonceBytes:], proof(key, 's', nonces)) {
		return errKey
	}
	_, err := c.Write(proof(key, 'c', nonces))
	return err
}

// httpListener is the mux's part for HTTP.
type httpListener struct{ *mux }

func (l httpListener) Accept() (net.Conn, error) { return acceptFrom(l.mux, l.mux.http) }
func (l httpListener) Close() error              { l.mux.close(); return nil }

func acceptFrom(m *mux, from chan net.Conn) (net.Conn, error) {
	select {
	case c := <-from:
		return c, nil
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// stream is the mux's part for raft. In raft's configuration a server's address is its name; each server finds the
// address of a name in its own operator's file.
type streamLayer struct {
	*mux
	name    string
	address func(name string) (string, error)
}

func (s streamLayer) Accept() (net.Conn, error) { return acceptFrom(s.mux, s.mux.raft) }
func (s streamLayer) Close() error              { s.mux.close(); return nil }
func (s streamLayer) Addr() net.Addr            { return serverAddr(s.name) }

func (s streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, err := s.address(string(to))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dial(ctx, address, raftKind, s.key)
}

// named is a name in the place of an address.
type serverAddr string

func (a serverAddr) Network() string { return "name" }
func (a serverAddr) String() string  { return string(a) }
