package faultinject

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// listenUDP is a socket on loopback that is closed with the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // nothing is left to do
	return conn
}

// mustSend sends a packet.
func mustSend(t *testing.T, from *net.UDPConn, text string, to *net.UDPAddr) {
	t.Helper()
	if _, err := from.WriteToUDP([]byte(text), to); err != nil {
		t.Fatal(err)
	}
}

// mustReceive is the next packet.
func mustReceive(t *testing.T, conn *net.UDPConn) string {
	t.Helper()
	allow(t, conn, 5*time.Second)
	raw := make([]byte, 100)
	n, _, err := conn.ReadFromUDP(raw)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw[:n])
}

// allow sets how long reads from now on may take.
func allow(t *testing.T, conn net.Conn, span time.Duration) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(span)); err != nil {
		t.Fatal(err)
	}
}

// Packets pass a relay by the rule of their sender's link, and only by that.
func TestPackets(t *testing.T) {
	rules := NewRules(1)
	relay := NewPackets(rules)
	defer relay.Close()
	receiver, cut, delayed := listenUDP(t), listenUDP(t), listenUDP(t)
	relayAddress, err := relay.AddRelay("a", receiver.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	for name, conn := range map[string]*net.UDPConn{"b": cut, "c": delayed} {
		if _, err := relay.AddRelay(name, conn.LocalAddr().String()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := relay.AddRelay("x", "192.0.2.1:1"); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("a relay to an address that is not on loopback: %v", err)
	}
	target, err := net.ResolveUDPAddr("udp", relayAddress)
	if err != nil {
		t.Fatal(err)
	}
	rules.Cut(Link{"b", "a"}, true)
	rules.Set(Link{"c", "a"}, Rule{Delay: 20 * time.Millisecond, Duplicate: 1})
	began := time.Now()
	mustSend(t, cut, "from b", target)
	mustSend(t, delayed, "from c", target)
	one, two := mustReceive(t, receiver), mustReceive(t, receiver)
	if one != "from c" || two != "from c" || time.Since(began) < 20*time.Millisecond {
		t.Errorf("%q, %q after %v", one, two, time.Since(began))
	}
	rules.Heal()
	mustSend(t, cut, "healed", target)
	if mustReceive(t, receiver) != "healed" {
		t.Error("not healed")
	}
}

// streamPair is a connection from a to b through a relay, under rules.
type streamPair struct {
	rules    *Rules
	relay    string // its address
	listener net.Listener
	a, b     net.Conn
}

func newStreamPair(t *testing.T) streamPair {
	t.Helper()
	rules := NewRules(1)
	relay := NewStreams(rules)
	t.Cleanup(relay.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // it may be closed already
	address, err := relay.AddRelay("a", "b", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := relay.AddRelay("a", "b", "192.0.2.1:1"); !errors.Is(err, ErrNotLoopback) {
		t.Errorf("a relay to an address that is not on loopback: %v", err)
	}
	opened, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() }) // it may have been reset
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return streamPair{rules: rules, relay: address, listener: listener, a: opened, b: accepted}
}

// passes tells whether a text sent at one end arrives at the other in time.
func passes(t *testing.T, from, to net.Conn, text string, within time.Duration) bool {
	t.Helper()
	if _, err := from.Write([]byte(text)); err != nil {
		t.Errorf("send %q: %v", text, err)
	}
	allow(t, to, within)
	raw := make([]byte, 100)
	n, err := to.Read(raw)
	return err == nil && string(raw[:n]) == text
}

// endsInTime tells whether the end of a connection arrives; its error is that of the read.
func endsInTime(t *testing.T, conn net.Conn) (ended bool, err error) {
	t.Helper()
	allow(t, conn, 5*time.Second)
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !os.IsTimeout(err), err
}

// Connections pass a relay. A cut of one direction keeps what was sent until it is healed, and leaves the other
// direction as it is; a process that has ended resets its connections.
func TestStreams(t *testing.T) {
	pair := newStreamPair(t)
	if !passes(t, pair.a, pair.b, "there", 5*time.Second) || !passes(t, pair.b, pair.a, "and back", 5*time.Second) {
		t.Error("nothing passes")
	}
	pair.rules.Cut(Link{"a", "b"}, true)
	if passes(t, pair.a, pair.b, "held", 50*time.Millisecond) ||
		!passes(t, pair.b, pair.a, "the other way", 5*time.Second) {
		t.Error("a cut is not that of its direction")
	}
	pair.rules.Heal()
	allow(t, pair.b, 5*time.Second)
	raw := make([]byte, 100)
	if n, err := pair.b.Read(raw); err != nil || string(raw[:n]) != "held" {
		t.Errorf("what was kept: %q, %v", raw[:n], err)
	}
	pair.rules.SetDefault(Rule{Drop: 1})
	began := time.Now()
	if !passes(t, pair.a, pair.b, "late", 5*time.Second) || time.Since(began) < retransmitDelay {
		t.Errorf("what is lost arrives after %v", time.Since(began))
	}
	pair.rules.Heal()
	if err := pair.b.Close(); err != nil {
		t.Error(err)
	}
	if ended, err := endsInTime(t, pair.a); !ended {
		t.Errorf("the end does not pass: %v", err)
	}
	if err := pair.listener.Close(); err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", pair.relay); err == nil {
		if ended, err := endsInTime(t, conn); !ended {
			t.Errorf("nobody listens, and %v", err)
		}
		_ = conn.Close() // it has ended
	}
}
