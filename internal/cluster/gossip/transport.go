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
	"ottershed/internal/clock"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/logging"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Config is what the operator's file says of membership.
type Config struct {
	Membership membership.Settings // Run, Start and Chance are drawn here
	Bind       string              // ip:port to hear on
	Codec      membership.Codec
}

const (
	receiveQueue    = 256  // packets that wait for the owner; beyond, they are lost as on the way
	maxPacketBytes  = 4096 // bytes read of a packet
	changeQueue     = 256  // changes that wait for a reader
	leaveBroadcasts = 3    // packets of word that this member leaves, a moment apart
)

// Counters are sums since the start.
type Counters struct {
	PacketsIn      uint64 `json:"packets_in"`
	PacketsOut     uint64 `json:"packets_out"`
	BytesIn        uint64 `json:"bytes_in"`
	BytesOut       uint64 `json:"bytes_out"`
	Rejected       uint64 `json:"refused"` // packets that could not be read or were not of this cluster
	DroppedChanges uint64 `json:"missed"`  // changes that no reader took in time
}

// Peers is this marshal's part in the membership of its fleet.
type Transport struct {
	conn      *net.UDPConn
	codec     membership.Codec
	clock     *clock.Clock
	log       logrus.FieldLogger
	detector  *membership.Detector // the owner's
	run       membership.RunID
	packets   chan *membership.Packet
	leave     chan chan struct{}
	changes   chan membership.Change
	view      atomic.Pointer[membership.View]
	hasReader atomic.Bool // somebody reads the changes
	causes    logging.Limiter
	version   uint64 // of the view

	packetsIn, packetsOut, bytesIn, bytesOut, rejected, droppedChanges atomic.Uint64
}

// Listen opens the socket; Run does the rest. An error names the key of the operator's file.
func Listen(cfg Config, c *clock.Clock, log logrus.FieldLogger) (*Transport, error) {
	var drawn [16]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	set := cfg.Membership
	set.Run = membership.RunID(binary.BigEndian.Uint64(drawn[:8]))
	set.RandomSeed = binary.BigEndian.Uint64(drawn[8:])
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
	p := &Transport{
		conn: conn, codec: cfg.Codec, clock: c, log: log, detector: membership.New(set), run: set.Run,
		packets: make(chan *membership.Packet, receiveQueue), leave: make(chan chan struct{}),
		changes: make(chan membership.Change, changeQueue),
	}
	p.publish()
	return p, nil
}

// RunID is the number by which this process is told from others of its name.
func (t *Transport) RunID() membership.RunID { return t.run }

// View is the present view. It is never nil and does not change.
func (t *Transport) View() *membership.View { return t.view.Load() }

// Changes tells of members' states as they change, from the first call on; it has one reader. It holds a bounded number; a
// reader that falls behind sees in Counters that it missed some, and finds the truth in View.
func (t *Transport) Changes() <-chan membership.Change {
	t.hasReader.Store(true)
	return t.changes
}

// Counters are the sums so far.
func (t *Transport) Counters() Counters {
	return Counters{
		PacketsIn: t.packetsIn.Load(), PacketsOut: t.packetsOut.Load(), BytesIn: t.bytesIn.Load(),
		BytesOut: t.bytesOut.Load(), Rejected: t.rejected.Load(), DroppedChanges: t.droppedChanges.Load(),
	}
}

// Leave tells the others that this member goes, and returns once that is said.
func (t *Transport) Leave(ctx context.Context) {
	sent := make(chan struct{})
	select {
	case t.leave <- sent:
		<-sent
	case <-ctx.Done():
	}
}

// Run owns the detector until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		t.read()
	}()
	defer func() {
		t.conn.Close()
		<-read
	}()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-t.packets:
			t.execute(t.detector.Receive(t.clock.Now(), packet))
		case <-wake.C:
			t.execute(t.detector.Tick(t.clock.Now()))
		case sent := <-t.leave:
			for range leaveBroadcasts { // Danger: word that is lost would leave the others to find out
				t.execute(t.detector.Leave(t.clock.Now()))
			}
			close(sent)
		}
		wake.Reset(clock.Duration(max(0, t.detector.Next()-t.clock.Now())))
	}
}

// read hands packets to the owner until the socket is closed.
func (t *Transport) read() {
	raw := make([]byte, maxPacketBytes)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier packet found nobody; that says nothing of the socket
		}
		packet, err := t.codec.Decode(raw[:n])
		if err != nil {
			t.rejected.Add(1)
			if t.causes.Allow("refused") {
				t.log.WithError(err).Warn("membership: packet refused")
			}
			continue
		}
		t.packetsIn.Add(1)
		t.bytesIn.Add(uint64(n))
		select {
		case t.packets <- packet:
		default:
		}
	}
}

// carryOut sends what the detector wants sent, logs changes and hands them on.
func (t *Transport) execute(out membership.Output) {
	for i := range out.Sends {
		s := &out.Sends[i]
		raw, err := t.codec.Encode(&s.Packet)
		at, aerr := netip.ParseAddrPort(s.To)
		if err = errors.Join(err, aerr); err == nil {
			_, err = t.conn.WriteToUDPAddrPort(raw, at)
		}
		if err != nil {
			if t.causes.Allow("send") {
				t.log.WithError(err).Warn("membership: packet not sent")
			}
			continue
		}
		t.packetsOut.Add(1)
		t.bytesOut.Add(uint64(len(raw)))
	}
	if t.detector.Version() != t.version || len(out.Changes) > 0 {
		t.publish()
	}
	for _, c := range out.Changes {
		t.notify(c)
	}
}

func (t *Transport) publish() {
	v := t.detector.View()
	t.version = t.detector.Version()
	t.view.Store(&v)
}

func (t *Transport) notify(c membership.Change) {
	v := t.View()
	line := t.log.WithFields(logrus.Fields{
		"member": c.Name, "state": c.State, "was": c.Previous, "address": c.Address,
		"incarnation": uint64(c.Incarnation),
	})
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
	if !t.hasReader.Load() {
		return
	}
	select {
	case t.changes <- c:
	default:
		t.droppedChanges.Add(1)
	}
}
