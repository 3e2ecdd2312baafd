package faultinject

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// mostLate is how many packets may be held back at once; beyond, they are lost.
const maxDelayed = 1 << 14

// Packets relays UDP: it stands in front of each process, which hears at one address and is told to others by the
// relay's. A sender is known by the address that it sends from, which has to be the one that it hears at.
type Packets struct {
	rules   *Rules
	delayed atomic.Int64

	mu      sync.Mutex
	senders map[netip.AddrPort]string // by where a process hears
	relays  map[string]*relay
	closed  bool
	wait    sync.WaitGroup
}

type relay struct {
	name string
	real netip.AddrPort
	conn *net.UDPConn
}

// NewPackets makes a relay under these rules.
func NewPackets(rules *Rules) *Packets {
	return &Packets{rules: rules, senders: map[netip.AddrPort]string{}, relays: map[string]*relay{}}
}

// Front puts a relay in front of a process that hears at real, and returns the address that others are to know.
func (p *Packets) AddRelay(name string, real string) (string, error) {
	at, err := netip.ParseAddrPort(real)
	if err != nil {
		return "", fmt.Errorf("front of %s: %w", name, err)
	}
	if !at.Addr().IsLoopback() {
		return "", fmt.Errorf("front of %s: %s is not on loopback", name, real)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), 0)))
	if err != nil {
		return "", fmt.Errorf("front of %s: %w", name, err)
	}
	f := &relay{name: name, real: at, conn: conn}
	p.mu.Lock()
	p.senders[at], p.relays[name] = name, f
	p.mu.Unlock()
	p.wait.Go(func() { p.relay(f) })
	return conn.LocalAddr().String(), nil
}

// relay passes on what comes for one process. Packets of senders that are not known pass as from "".
func (p *Packets) relay(f *relay) {
	raw := make([]byte, 1<<16)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // what was sent on before found nobody
		}
		p.mu.Lock()
		sender := p.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		p.mu.Unlock()
		fate := p.rules.Next(Link{sender, f.name})
		for range fate.Copies {
			if fate.Delay <= 0 {
				f.conn.WriteToUDPAddrPort(raw[:n], f.real)
				continue
			}
			if p.delayed.Add(1) > maxDelayed {
				p.delayed.Add(-1)
				continue
			}
			held := append([]byte(nil), raw[:n]...)
			time.AfterFunc(fate.Delay, func() {
				defer p.delayed.Add(-1)
				f.conn.WriteToUDPAddrPort(held, f.real)
			})
		}
	}
}

// Close ends all relays.
func (p *Packets) Close() {
	p.mu.Lock()
	for _, f := range p.relays {
		f.conn.Close()
	}
	p.mu.Unlock()
	p.wait.Wait()
}
