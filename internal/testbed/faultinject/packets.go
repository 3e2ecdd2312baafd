package faultinject

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDelayed     = 1 << 14 // maximum number of packets whose delay has not ended, in all relays; further ones are lost
	maxPacketBytes = 1 << 16
)

// ErrNotLoopback reports a relay target outside loopback.
var ErrNotLoopback = errors.New("not on loopback")

// parseLoopbackAddress parses the address of a relay target. The error wraps ErrNotLoopback if it is not on loopback.
func parseLoopbackAddress(address string) (netip.AddrPort, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return target, err
	}
	if !target.Addr().IsLoopback() {
		return target, fmt.Errorf("%s: %w", address, ErrNotLoopback)
	}
	return target, nil
}

// PacketRelays relays UDP. Each process receives at its own address, and the other processes send to the address of its
// relay. A sender is identified by its source address, so a process must send from the address at which it receives.
type PacketRelays struct {
	rules   *Rules
	delayed atomic.Int64
	running sync.WaitGroup

	mu     sync.Mutex
	names  map[netip.AddrPort]string // process names by receive address
	relays []*packetRelay
}

// packetRelay is the relay in front of one process.
type packetRelay struct {
	name   string
	target netip.AddrPort
	conn   *net.UDPConn
}

// NewPacketRelays returns a set of relays that apply rules.
func NewPacketRelays(rules *Rules) *PacketRelays {
	return &PacketRelays{rules: rules, names: map[netip.AddrPort]string{}}
}

// AddRelay starts a relay in front of the process that receives at address. It returns the address to which other
// processes must send.
func (p *PacketRelays) AddRelay(name, address string) (string, error) {
	target, err := parseLoopbackAddress(address)
	if err != nil {
		return "", fmt.Errorf("add relay to %s: %w", name, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(target.Addr(), 0)))
	if err != nil {
		return "", fmt.Errorf("add relay to %s: %w", name, err)
	}
	relay := &packetRelay{name: name, target: target, conn: conn}
	p.mu.Lock()
	p.names[target] = name
	p.relays = append(p.relays, relay)
	p.mu.Unlock()
	p.running.Go(func() { p.run(relay) })
	return conn.LocalAddr().String(), nil
}

// run relays packets to one process until the relay is closed. An unknown sender has the empty name.
func (p *PacketRelays) run(relay *packetRelay) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := relay.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier packet reached a closed port at the target
		}
		p.mu.Lock()
		sender := p.names[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		p.mu.Unlock()
		p.deliver(relay, buffer[:n], p.rules.NextDelivery(Link{sender, relay.name}))
	}
}

// deliver sends the copies of a packet, immediately or after the delay.
func (p *PacketRelays) deliver(relay *packetRelay, packet []byte, delivery Delivery) {
	for range delivery.Copies {
		if delivery.Delay <= 0 {
			relay.send(packet)
			continue
		}
		if p.delayed.Add(1) > maxDelayed {
			p.delayed.Add(-1)
			continue
		}
		delayed := slices.Clone(packet)
		time.AfterFunc(delivery.Delay, func() {
			defer p.delayed.Add(-1)
			relay.send(delayed)
		})
	}
}

func (r *packetRelay) send(packet []byte) {
	_, _ = r.conn.WriteToUDPAddrPort(packet, r.target) // a packet that cannot be sent is lost, as UDP allows
}

// Close stops all relays and waits for their goroutines.
func (p *PacketRelays) Close() {
	p.mu.Lock()
	for _, relay := range p.relays {
		_ = relay.conn.Close() // a failed close leaves nothing to clean up
	}
	p.mu.Unlock()
	p.running.Wait()
}
