package faultinject

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	cutPollInterval = 5 * time.Millisecond   // interval of checks whether a cut link is healed
	retransmitDelay = 200 * time.Millisecond // delay of a lost chunk, like a TCP retransmission
	chunkBytes      = 16 << 10               // size of a chunk, which is the unit of loss and delay
)

// StreamRelays relays TCP. It has one relay for each ordered pair of a connecting and a listening process, so that the
// relay identifies both ends of a connection. Each direction of a connection follows the rule of its own link. A cut
// link holds data until it is healed, as in a network that drops packets: neither side is notified of the cut. A lost
// chunk arrives late.
type StreamRelays struct {
	rules   *Rules
	running sync.WaitGroup
	closed  chan struct{}

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// NewStreamRelays returns a set of relays that apply rules.
func NewStreamRelays(rules *Rules) *StreamRelays {
	return &StreamRelays{rules: rules, conns: map[net.Conn]bool{}, closed: make(chan struct{})}
}

// AddRelay starts a relay from one process, opener, to another, listener, which listens at address. It returns the
// address to which opener must connect.
func (s *StreamRelays) AddRelay(opener, listener, address string) (string, error) {
	target, err := parseLoopbackAddress(address)
	if err != nil {
		return "", fmt.Errorf("add relay to %s: %w", listener, err)
	}
	relay, err := net.Listen("tcp", netip.AddrPortFrom(target.Addr(), 0).String())
	if err != nil {
		return "", fmt.Errorf("add relay to %s: %w", listener, err)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, relay)
	s.mu.Unlock()
	s.running.Go(func() { s.accept(relay, Link{opener, listener}, address) })
	return relay.Addr().String(), nil
}

func (s *StreamRelays) accept(relay net.Listener, link Link, target string) {
	for {
		conn, err := relay.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.relay(conn, link, target) })
	}
}

// relay connects an accepted connection to the target and copies both directions until they end.
func (s *StreamRelays) relay(opened net.Conn, link Link, target string) {
	if !s.track(opened) {
		return
	}
	defer s.untrack(opened)
	if !s.waitWhileCut(link) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil || !s.track(out) {
		reset(opened)
		return
	}
	defer s.untrack(out)
	var directions sync.WaitGroup
	directions.Go(func() { s.copy(out, opened, link) })
	directions.Go(func() { s.copy(opened, out, Link{link.To, link.From}) })
	directions.Wait()
}

// waitWhileCut waits until a link is not cut. It returns false if the relays are closed first.
func (s *StreamRelays) waitWhileCut(link Link) bool {
	for s.rules.RuleFor(link).Cut {
		if !s.sleep(cutPollInterval) {
			return false
		}
	}
	return true
}

// sleep waits for a duration. It returns false if the relays are closed first.
func (s *StreamRelays) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-s.closed:
		return false
	case <-timer.C:
		return true
	}
}

// copy copies one direction of a connection, including the end of the stream.
func (s *StreamRelays) copy(dst, src net.Conn, link Link) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if !s.waitWhileCut(link) {
			return
		}
		if n > 0 {
			if !s.waitForDelivery(link) {
				return
			}
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
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

// waitForDelivery waits for the delay of a chunk under its link's rule. It returns false if the relays are closed
// first.
func (s *StreamRelays) waitForDelivery(link Link) bool {
	delivery := s.rules.NextDelivery(link)
	if delivery.Copies == 0 {
		delivery.Delay += retransmitDelay
	}
	if delivery.Delay > 0 && !s.sleep(delivery.Delay) {
		return false
	}
	return s.waitWhileCut(link)
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only if the connection has ended
	}
}

// reset closes a connection with a TCP reset, as if the other side had disappeared.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	_ = conn.Close() // fails only if the connection has ended
}

// track registers a connection for Close. If the relays are closed already, it closes the connection and returns false.
func (s *StreamRelays) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		_ = conn.Close() // no data was sent on it
		return false
	default:
	}
	s.conns[conn] = true
	return true
}

func (s *StreamRelays) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close() // both directions have ended
}

// Close stops all relays, closes their connections and waits for their goroutines.
func (s *StreamRelays) Close() {
	s.mu.Lock()
	close(s.closed)
	for _, listener := range s.listeners {
		_ = listener.Close() // a failed close leaves nothing to clean up
	}
	for conn := range s.conns {
		_ = conn.Close() // a failed close leaves nothing to clean up
	}
	s.mu.Unlock()
	s.running.Wait()
}
