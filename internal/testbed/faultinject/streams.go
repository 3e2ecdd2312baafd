package faultinject

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	cutPollInterval = 5 * time.Millisecond   // between checks whether a cut link is healed
	retransmitDelay = 200 * time.Millisecond // until TCP sends a lost segment again
	chunkBytes      = 16 << 10               // that have one fate
)

// Streams relays TCP, with a relay for each pair of processes and direction of opening, by which the two ends of a
// connection are known. Each direction of a connection follows the rule of its own link. A cut link keeps what was sent
// until it is healed, as in a network that drops packets: neither side learns of the cut. A lost chunk arrives late.
type Streams struct {
	rules   *Rules
	running sync.WaitGroup
	closed  chan struct{}

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// NewStreams makes relays under these rules.
func NewStreams(rules *Rules) *Streams {
	return &Streams{rules: rules, conns: map[net.Conn]bool{}, closed: make(chan struct{})}
}

// AddRelay puts a relay between one process and another, which listens at an address, and returns the address that the
// first process is to connect to.
func (s *Streams) AddRelay(opener, listener, address string) (string, error) {
	target, err := loopbackAddress(address)
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", listener, err)
	}
	relay, err := net.Listen("tcp", netip.AddrPortFrom(target.Addr(), 0).String())
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", listener, err)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, relay)
	s.mu.Unlock()
	s.running.Go(func() { s.accept(relay, Link{opener, listener}, address) })
	return relay.Addr().String(), nil
}

func (s *Streams) accept(relay net.Listener, link Link, target string) {
	for {
		conn, err := relay.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.relay(conn, link, target) })
	}
}

// relay connects a connection to the target and copies both directions until they end.
func (s *Streams) relay(opened net.Conn, link Link, target string) {
	if !s.track(opened) {
		return
	}
	defer s.untrack(opened)
	if !s.awaitPassable(link) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil || !s.track(out) {
		reset(opened)
		return
	}
	defer s.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { s.copy(out, opened, link) })
	both.Go(func() { s.copy(opened, out, Link{link.To, link.From}) })
	both.Wait()
}

// awaitPassable waits until a link is not cut; false where the relays are closed before.
func (s *Streams) awaitPassable(link Link) bool {
	for s.rules.RuleFor(link).Cut {
		if !s.sleep(cutPollInterval) {
			return false
		}
	}
	return true
}

// sleep waits for a span; false where the relays are closed before.
func (s *Streams) sleep(span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-s.closed:
		return false
	case <-timer.C:
		return true
	}
}

// copy passes on one direction and its end.
func (s *Streams) copy(dst, src net.Conn, link Link) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if !s.awaitPassable(link) {
			return
		}
		if n > 0 {
			if !s.delay(link) {
				return
			}
			if _, werr := dst.Write(buffer[:n]); werr != nil {
				reset(src)
				return
			}
		}
		if err != nil {
			closeWrite(dst)
			return
		}
	}
}

// delay waits as long as a chunk takes by its link's rule; false where the relays are closed before.
func (s *Streams) delay(link Link) bool {
	fate := s.rules.Next(link)
	if fate.Copies == 0 {
		fate.Delay += retransmitDelay
	}
	if fate.Delay > 0 && !s.sleep(fate.Delay) {
		return false
	}
	return s.awaitPassable(link)
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // it fails only where the connection has ended
	}
}

// reset ends a connection as if the other side had disappeared.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only where the connection has ended
	}
	_ = conn.Close() // likewise
}

// track keeps a connection for Close; false where the relays are closed already, and then so is the connection.
func (s *Streams) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		_ = conn.Close() // nothing was sent on it
		return false
	default:
	}
	s.conns[conn] = true
	return true
}

func (s *Streams) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close() // both directions have ended
}

// Close ends all relays and their connections.
func (s *Streams) Close() {
	s.mu.Lock()
	close(s.closed)
	for _, listener := range s.listeners {
		_ = listener.Close() // nothing is left to do for a socket that fails to close
	}
	for conn := range s.conns {
		_ = conn.Close() // likewise
	}
	s.mu.Unlock()
	s.running.Wait()
}
