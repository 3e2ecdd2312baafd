// Package peers gives the failure detector of internal/cluster/membership a socket and a clock: one goroutine owns the detector,
// another reads the socket, and all else reads views.
package gossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/logging"
)

// Config is what the operator's file says of membership.
type Config struct {
	Membership membership.Settings // Run, Start and Chance are drawn here
	Bind       string              // ip:port to hear on
	Codec      membership.Codec
}

const (
	inbox    = 256  // packets that wait for the owner; beyond, they are lost as on the way
	longest  = 4096 // bytes read of a packet
	outbox   = 256  // changes that wait for a reader
	farewell = 3    // packets of word that this member leaves, a moment apart
)

// Counters are sums since the start.
type Counters struct {
	PacketsIn  uint64 `json:"packets_in"`
	PacketsOut uint64 `json:"packets_out"`
	BytesIn    uint64 `json:"bytes_in"`
	BytesOut   uint64 `json:"bytes_out"`
	Refused    uint64 `json:"refused"` // packets that could not be read or were not of this cluster
	Missed     uint64 `json:"missed"`  // changes that no reader took in time
}

// Peers is this marshal's part in the membership of its fleet.
type Peers struct {
	conn    *net.UDPConn
	codec   membership.Codec
	clock   *clock.Clock
	log     logrus.FieldLogger
	det     *membership.Detector // the owner's
	run     membership.RunID
	in      chan *membership.Packet
	leave   chan chan struct{}
	changes chan membership.Change
	view    atomic.Pointer[membership.View]
	wanted  atomic.Bool // somebody reads the changes
	causes  logging.Causes
	turns   uint64 // of the view

	packetsIn, packetsOut, bytesIn, bytesOut, bad, missed atomic.Uint64
}

// Listen opens the socket; Run does the rest. An error names the key of the operator's file.
func Listen(cfg Config, c *clock.Clock, log logrus.FieldLogger) (*Peers, error) {
	var drawn [16]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	set := cfg.Membership
	set.Run = membership.RunID(binary.BigEndian.Uint64(drawn[:8]))
	set.Chance = binary.BigEndian.Uint64(drawn[8:])
	set.Start = c.Now()
	if err := errors.Join(set.Check(), cfg.Codec.Check()); err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("membership.bind: want ip:port, got %q", cfg.Bind)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("membership.bind: %w", err)
	}
	p := &Peers{conn: conn, codec: cfg.Codec, clock: c, log: log, det: membership.New(set), run: set.Run,
		in: make(chan *membership.Packet, inbox), leave: make(chan chan struct{}),
		changes: make(chan membership.Change, outbox)}
	p.publish()
	return p, nil
}

// RunID is the number by which this process is told from others of its name.
func (p *Peers) RunID() membership.RunID { return p.run }

// View is the present view. It is never nil and does not change.
func (p *Peers) View() *membership.View { return p.view.Load() }

// Changes tells of members' states as they change, from the first call on; it has one reader. It holds a bounded number; a
// reader that falls behind sees in Counters that it missed some, and finds the truth in View.
func (p *Peers) Changes() <-chan membership.Change {
	p.wanted.Store(true)
	return p.changes
}

// Counters are the sums so far.
func (p *Peers) Counters() Counters {
	return Counters{PacketsIn: p.packetsIn.Load(), PacketsOut: p.packetsOut.Load(), BytesIn: p.bytesIn.Load(),
		BytesOut: p.bytesOut.Load(), Refused: p.bad.Load(), Missed: p.missed.Load()}
}

// Leave tells the others that this member goes, and returns once that is said.
func (p *Peers) Leave(ctx context.Context) {
	said := make(chan struct{})
	select {
	case p.leave <- said:
		<-said
	case <-ctx.Done():
	}
}

// Run owns the detector until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		p.read()
	}()
	defer func() {
		p.conn.Close()
		<-read
	}()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-p.in:
			p.carryOut(p.det.Receive(p.clock.Now(), packet))
		case <-wake.C:
			p.carryOut(p.det.Tick(p.clock.Now()))
		case said := <-p.leave:
			for range farewell { // Danger: word that is lost would leave the others to find out
				p.carryOut(p.det.Leave(p.clock.Now()))
			}
			close(said)
		}
		wake.Reset(clock.Span(max(0, p.det.Next()-p.clock.Now())))
	}
}

// read hands packets to the owner until the socket is closed.
func (p *Peers) read() {
	raw := make([]byte, longest)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier packet found nobody; that says nothing of the socket
		}
		packet, err := p.codec.Decode(raw[:n])
		if err != nil {
			p.bad.Add(1)
			if p.causes.New("refused") {
				p.log.WithError(err).Warn("membership: packet refused")
			}
			continue
		}
		p.packetsIn.Add(1)
		p.bytesIn.Add(uint64(n))
		select {
		case p.in <- packet:
		default:
		}
	}
}

// carryOut sends what the detector wants sent, logs changes and hands them on.
func (p *Peers) carryOut(out membership.Output) {
	for i := range out.Sends {
		s := &out.Sends[i]
		raw, err := p.codec.Encode(&s.Packet)
		at, aerr := netip.ParseAddrPort(s.To)
		if err = errors.Join(err, aerr); err == nil {
			_, err = p.conn.WriteToUDPAddrPort(raw, at)
		}
		if err != nil {
			if p.causes.New("send") {
				p.log.WithError(err).Warn("membership: packet not sent")
			}
			continue
		}
		p.packetsOut.Add(1)
		p.bytesOut.Add(uint64(len(raw)))
	}
	if p.det.Turns() != p.turns || len(out.Changes) > 0 {
		p.publish()
	}
	for _, c := range out.Changes {
		p.tell(c)
	}
}

func (p *Peers) publish() {
	v := p.det.View()
	p.turns = p.det.Turns()
	p.view.Store(&v)
}

func (p *Peers) tell(c membership.Change) {
	v := p.View()
	line := p.log.WithFields(logrus.Fields{"member": c.Name, "state": c.State, "was": c.Was, "address": c.Address,
		"incarnation": uint64(c.Incarnation)})
	if c.By != "" {
		line = line.WithField("by", c.By)
	}
	switch {
	case c.Name == v.Self && v.Superseded != "":
		line.WithField("superseded_by", v.Superseded).Error("membership: a newer process has this marshal's name")
	case c.New:
		line.Info("member found")
	case c.State == membership.Suspect, c.State == membership.Dead:
		line.Warn("member changed")
	default:
		line.Info("member changed")
	}
	if !p.wanted.Load() {
		return
	}
	select {
	case p.changes <- c:
	default:
		p.missed.Add(1)
	}
}
