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
	maxDelayed     = 1 << 14 // packets that are delayed at once; further ones are lost
	maxPacketBytes = 1 << 16
)

// ErrNotLoopback is an address of a relay's target that is not on loopback.
var ErrNotLoopback = errors.New("not on loopback")

// loopbackAddress parses the address of a relay's target.
func loopbackAddress(address string) (netip.AddrPort, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return target, err
	}
	if !target.Addr().IsLoopback() {
		return target, fmt.Errorf("%s: %w", address, ErrNotLoopback)
	}
	return target, nil
}

// Packets relays UDP. Each process receives at an address of its own, while the others send to the address of its
// relay. A sender is known by the address that it sends from, which has to be the one that it receives at.
type Packets struct {
	rules   *Rules
	delayed atomic.Int64
	running sync.WaitGroup

	mu     sync.Mutex
	names  map[netip.AddrPort]string // of the processes, by where they receive
	relays []*packetRelay
}

// packetRelay is the relay in front of one process.
type packetRelay struct {
	name   string
	target netip.AddrPort
	conn   *net.UDPConn
}

// NewPackets makes relays under these rules.
func NewPackets(rules *Rules) *Packets {
	return &Packets{rules: rules, names: map[netip.AddrPort]string{}}
}

// AddRelay puts a relay in front of a process that receives at an address, and returns the address that others are to
// send to.
func (p *Packets) AddRelay(name, address string) (string, error) {
	target, err := loopbackAddress(address)
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", name, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(target.Addr(), 0)))
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", name, err)
	}
	relay := &packetRelay{name: name, target: target, conn: conn}
	p.mu.Lock()
	p.names[target] = name
	p.relays = append(p.relays, relay)
	p.mu.Unlock()
	p.running.Go(func() { p.run(relay) })
	return conn.LocalAddr().String(), nil
}

// run relays the packets to one process. A sender that is not known has the name "".
func (p *Packets) run(relay *packetRelay) {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := relay.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier packet found no process at the target
		}
		p.mu.Lock()
		sender := p.names[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		p.mu.Unlock()
		p.deliver(relay, buffer[:n], p.rules.Next(Link{sender, relay.name}))
	}
}

// deliver sends the copies of a packet, at once or after their delay.
func (p *Packets) deliver(relay *packetRelay, packet []byte, fate Fate) {
	for range fate.Copies {
		if fate.Delay <= 0 {
			relay.send(packet)
			continue
		}
		if p.delayed.Add(1) > maxDelayed {
			p.delayed.Add(-1)
			continue
		}
		delayed := slices.Clone(packet)
		time.AfterFunc(fate.Delay, func() {
			defer p.delayed.Add(-1)
			relay.send(delayed)
		})
	}
}

func (r *packetRelay) send(packet []byte) {
	_, _ = r.conn.WriteToUDPAddrPort(packet, r.target) // a packet that can't be sent is lost, as UDP allows
}

// Close ends all relays.
func (p *Packets) Close() {
	p.mu.Lock()
	for _, relay := range p.relays {
		_ = relay.conn.Close() // nothing is left to do for a socket that fails to close
	}
	p.mu.Unlock()
	p.running.Wait()
}
