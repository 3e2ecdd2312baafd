package faultinject

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	cutPollInterval = 5 * time.Millisecond   // at whether a cut link is healed
	retransmitDelay = 200 * time.Millisecond // what TCP waits before it sends a lost segment again
	chunkBytes      = 16 << 10
)

// Streams relays TCP: a relay for each two processes and direction of opening, by which a connection's two ends are known.
// Each direction of a connection has its own link's rule. A cut link holds what comes until it is healed, as a network
// does that drops packets: neither side is told. A lost chunk comes late.
type Streams struct {
	rules *Rules

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
	closed    chan struct{}
	wait      sync.WaitGroup
}

// NewStreams makes a relay under these rules.
func NewStreams(rules *Rules) *Streams {
	return &Streams{rules: rules, conns: map[net.Conn]bool{}, closed: make(chan struct{})}
}

// Front puts a relay on the way from one process to another, which listens at real, and returns the address that the
// first one is to know.
func (s *Streams) AddRelay(from, to, real string) (string, error) {
	at, err := netip.ParseAddrPort(real)
	if err != nil {
		return "", fmt.Errorf("front of %s: %w", to, err)
	}
	if !at.Addr().IsLoopback() {
		return "", fmt.Errorf("front of %s: %s is not on loopback", to, real)
	}
	l, err := net.Listen("tcp", netip.AddrPortFrom(at.Addr(), 0).String())
	if err != nil {
		return "", fmt.Errorf("front of %s: %w", to, err)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	s.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wait.Go(func() { s.relay(c, Link{from, to}, real) })
		}
	})
	return l.Addr().String(), nil
}

// relay joins a connection to one that it opens.
func (s *Streams) relay(c net.Conn, l Link, real string) {
	if !s.track(c) {
		return
	}
	defer s.untrack(c)
	if !s.passable(l) {
		return
	}
	out, err := net.Dial("tcp", real)
	if err != nil || !s.track(out) {
		reset(c)
		return
	}
	defer s.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { s.copy(out, c, l) })
	both.Go(func() { s.copy(c, out, Link{l.To, l.From}) })
	both.Wait()
}

// passable waits until a link is not cut; false at the end of all.
func (s *Streams) passable(l Link) bool {
	for s.rules.RuleFor(l).Cut {
		if !s.sleep(cutPollInterval) {
			return false
		}
	}
	return true
}

func (s *Streams) sleep(span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-s.closed:
		return false
	case <-t.C:
		return true
	}
}

// copy passes on one direction, and its end.
func (s *Streams) copy(to, from net.Conn, l Link) {
	raw := make([]byte, chunkBytes)
	for {
		n, err := from.Read(raw)
		if !s.passable(l) {
			return
		}
		if n > 0 {
			fate := s.rules.Next(l)
			if fate.Copies == 0 {
				fate.Delay += retransmitDelay
			}
			if fate.Delay > 0 && !s.sleep(fate.Delay) || !s.passable(l) {
				return
			}
			if _, werr := to.Write(raw[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}

// reset ends a connection as one whose other side is gone.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (s *Streams) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		c.Close()
		return false
	default:
	}
	s.conns[c] = true
	return true
}

func (s *Streams) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.Close()
}

// Close ends all relays and connections.
func (s *Streams) Close() {
	s.mu.Lock()
	close(s.closed)
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}
