package faultinject

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// listenUDP returns a loopback socket that is closed at the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatalf("listen on a UDP socket: %v", err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // a failed close leaves nothing to clean up
	return conn
}

func mustSend(t *testing.T, from *net.UDPConn, text string, to *net.UDPAddr) {
	t.Helper()
	if _, err := from.WriteToUDP([]byte(text), to); err != nil {
		t.Fatalf("send packet %q to %v: %v", text, to, err)
	}
}

// mustReceive returns the next packet.
func mustReceive(t *testing.T, conn *net.UDPConn) string {
	t.Helper()
	setReadTimeout(t, conn, 5*time.Second)
	raw := make([]byte, 100)
	n, _, err := conn.ReadFromUDP(raw)
	if err != nil {
		t.Fatalf("receive packet: %v", err)
	}
	return string(raw[:n])
}

// setReadTimeout sets the read deadline of conn to timeout from now.
func setReadTimeout(t *testing.T, conn net.Conn, timeout time.Duration) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatalf("set read deadline: %v", err)
	}
}

// A packet passes a relay by the rule of its sender's link; the rules of other links do not affect the packet.
func TestPacketRelayAppliesLinkRules(t *testing.T) {
	rules := NewRules(1)
	relays := NewPacketRelays(rules)
	defer relays.Close()
	receiver, cut, delayed := listenUDP(t), listenUDP(t), listenUDP(t)
	relayAddress, err := relays.AddRelay("a", receiver.LocalAddr().String())
	if err != nil {
		t.Fatalf("add relay to a: %v", err)
	}
	for name, conn := range map[string]*net.UDPConn{"b": cut, "c": delayed} {
		if _, err := relays.AddRelay(name, conn.LocalAddr().String()); err != nil {
			t.Fatalf("add relay to %s: %v", name, err)
		}
	}
	if _, err := relays.AddRelay("x", "192.0.2.1:1"); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("AddRelay outside loopback: got error %v, want ErrNotLoopback", err)
	}
	target, err := net.ResolveUDPAddr("udp", relayAddress)
	if err != nil {
		t.Fatalf("resolve relay address %s: %v", relayAddress, err)
	}
	rules.SetCut(Link{"b", "a"}, true)
	rules.Set(Link{"c", "a"}, Rule{Delay: 20 * time.Millisecond, Duplicate: 1})
	start := time.Now()
	mustSend(t, cut, "from b", target)
	mustSend(t, delayed, "from c", target)
	first, second := mustReceive(t, receiver), mustReceive(t, receiver)
	if first != "from c" || second != "from c" || time.Since(start) < 20*time.Millisecond {
		t.Errorf("packets received: got %q and %q after %v, want two copies of \"from c\" after 20ms", first, second, time.Since(start))
	}
	rules.Heal()
	mustSend(t, cut, "healed", target)
	if mustReceive(t, receiver) != "healed" {
		t.Error("after Heal: the packet of the cut link does not arrive")
	}
}

// streamPair is a connection from a to b through a relay with rules.
type streamPair struct {
	rules    *Rules
	relay    string // address of the relay
	listener net.Listener
	a, b     net.Conn
}

func newStreamPair(t *testing.T) streamPair {
	t.Helper()
	rules := NewRules(1)
	relays := NewStreamRelays(rules)
	t.Cleanup(relays.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on a TCP socket: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	address, err := relays.AddRelay("a", "b", listener.Addr().String())
	if err != nil {
		t.Fatalf("add relay from a to b: %v", err)
	}
	if _, err := relays.AddRelay("a", "b", "192.0.2.1:1"); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("AddRelay outside loopback: got error %v, want ErrNotLoopback", err)
	}
	opened, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("connect to the relay: %v", err)
	}
	t.Cleanup(func() { _ = opened.Close() }) // it may have been reset
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatalf("accept the connection of the relay: %v", err)
	}
	return streamPair{rules: rules, relay: address, listener: listener, a: opened, b: accepted}
}

// delivers reports whether a text sent at one end arrives at the other within a timeout.
func delivers(t *testing.T, from, to net.Conn, text string, timeout time.Duration) bool {
	t.Helper()
	if _, err := from.Write([]byte(text)); err != nil {
		t.Errorf("send %q: %v", text, err)
	}
	setReadTimeout(t, to, timeout)
	raw := make([]byte, 100)
	n, err := to.Read(raw)
	return err == nil && string(raw[:n]) == text
}

// connectionEnds reports whether the end of a connection arrives, and returns the error of the read.
func connectionEnds(t *testing.T, conn net.Conn) (ended bool, err error) {
	t.Helper()
	setReadTimeout(t, conn, 5*time.Second)
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !os.IsTimeout(err), err
}

// A cut of one direction of a connection holds its data until the link is healed, and does not affect the other
// direction. Lost data arrives late. A peer that closes or is unreachable ends the connection.
func TestStreamRelayAppliesLinkRules(t *testing.T) {
	pair := newStreamPair(t)
	if !delivers(t, pair.a, pair.b, "there", 5*time.Second) || !delivers(t, pair.b, pair.a, "and back", 5*time.Second) {
		t.Error("without rules: data does not arrive")
	}
	pair.rules.SetCut(Link{"a", "b"}, true)
	if delivers(t, pair.a, pair.b, "held", 50*time.Millisecond) ||
		!delivers(t, pair.b, pair.a, "the other way", 5*time.Second) {
		t.Error("a cut of a > b does not block that direction, or blocks b > a")
	}
	pair.rules.Heal()
	setReadTimeout(t, pair.b, 5*time.Second)
	raw := make([]byte, 100)
	if n, err := pair.b.Read(raw); err != nil || string(raw[:n]) != "held" {
		t.Errorf("after Heal: got %q, error %v, want the data held by the cut", raw[:n], err)
	}
	pair.rules.SetDefault(Rule{Drop: 1})
	start := time.Now()
	if !delivers(t, pair.a, pair.b, "late", 5*time.Second) || time.Since(start) < retransmitDelay {
		t.Errorf("lost data arrived after %v or not at all, want a retransmission delay of at least 200ms", time.Since(start))
	}
	pair.rules.Heal()
	if err := pair.b.Close(); err != nil {
		t.Errorf("close the connection of b: %v", err)
	}
	if ended, err := connectionEnds(t, pair.a); !ended {
		t.Errorf("the end of the peer is not relayed: %v", err)
	}
	if err := pair.listener.Close(); err != nil {
		t.Errorf("close the listener of b: %v", err)
	}
	if conn, err := net.Dial("tcp", pair.relay); err == nil {
		if ended, err := connectionEnds(t, conn); !ended {
			t.Errorf("relay to a closed listener: got %v, want the end of the connection", err)
		}
		_ = conn.Close() // it has ended
	}
}
