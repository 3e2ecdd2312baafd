package gossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/logging"
)

const (
	receiveQueue    = 256  // received packets that wait for the detector; further ones are dropped
	maxPacketBytes  = 4096 // bytes read of a datagram
	leaveBroadcasts = 3    // calls of Detector.Leave
)

// Config configures a transport, from the operator's file.
type Config struct {
	Membership membership.Settings // Run, Start and RandomSeed are set by Listen
	Bind       string              // ip:port, UDP, to receive on
	Codec      membership.Codec
}

// Transport is this process's part in the membership of its cluster.
type Transport struct {
	conn      *net.UDPConn
	codec     membership.Codec
	clock     *clock.Clock
	log       logrus.FieldLogger
	logLimit  logging.Limiter      // of lines about single packets
	detector  *membership.Detector // Run's goroutine owns it
	run       membership.RunID
	packets   chan *membership.Packet // received
	leave     chan chan struct{}      // requests of Leave; the channel that is sent is closed once done
	published publisher
	counters  counters
}

// Listen opens the socket; Run does the rest. An error names the key of the operator's file.
func Listen(cfg Config, processClock *clock.Clock, log logrus.FieldLogger) (*Transport, error) {
	settings, err := complete(cfg.Membership, processClock)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(settings.Check(), cfg.Codec.Check()); err != nil {
		return nil, err
	}
	bind, err := netip.ParseAddrPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("membership.bind: want ip:port, got %q", cfg.Bind)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, fmt.Errorf("membership.bind: %w", err)
	}
	transport := &Transport{
		conn:      conn,
		codec:     cfg.Codec,
		clock:     processClock,
		log:       log,
		detector:  membership.New(settings),
		run:       settings.Run,
		packets:   make(chan *membership.Packet, receiveQueue),
		leave:     make(chan chan struct{}),
		published: publisher{changes: make(chan membership.Change, changeQueue)},
	}
	transport.publishView()
	return transport, nil
}

// complete sets the settings that are drawn or measured at the start.
func complete(settings membership.Settings, processClock *clock.Clock) (membership.Settings, error) {
	var drawn [16]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return settings, fmt.Errorf("membership: %w", err)
	}
	settings.Run = membership.RunID(binary.BigEndian.Uint64(drawn[:8]))
	settings.RandomSeed = binary.BigEndian.Uint64(drawn[8:])
	settings.Start = processClock.Now()
	return settings, nil
}

// RunID tells this process from others of its name.
func (t *Transport) RunID() membership.RunID { return t.run }

// Leave announces the shutdown of this member, and returns once that is sent.
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
		_ = t.conn.Close() // ends read
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
			for range leaveBroadcasts {
				t.execute(t.detector.Leave(t.clock.Now()))
			}
			close(sent)
		}
		wake.Reset(clock.Duration(max(0, t.detector.Next()-t.clock.Now())))
	}
}

// read decodes datagrams for Run until the socket is closed.
func (t *Transport) read() {
	raw := make([]byte, maxPacketBytes)
	for {
		length, _, err := t.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error about a datagram sent earlier; the socket is still good
		}
		packet, err := t.codec.Decode(raw[:length])
		if err != nil {
			t.counters.rejected.Add(1)
			t.warn("refused", "membership: packet rejected", err)
			continue
		}
		t.counters.received(length)
		select {
		case t.packets <- packet:
		default: // dropped, as if lost on the network
		}
	}
}

// execute carries out an output of the detector.
func (t *Transport) execute(out membership.Output) {
	for i := range out.Sends {
		length, err := t.send(&out.Sends[i])
		if err != nil {
			t.warn("send", "membership: packet not sent", err)
			continue
		}
		t.counters.sent(length)
	}
	t.publish(out.Changes)
}

// send encodes and sends a packet and returns its length.
func (t *Transport) send(s *membership.Send) (int, error) {
	raw, err := t.codec.Encode(&s.Packet)
	if err != nil {
		return 0, err
	}
	address, err := netip.ParseAddrPort(s.To)
	if err != nil {
		return 0, err
	}
	return t.conn.WriteToUDPAddrPort(raw, address)
}

// warn logs an error of a single packet, limited for each cause.
func (t *Transport) warn(cause, message string, err error) {
	if t.logLimit.Allow(cause) {
		t.log.WithError(err).Warn(message)
	}
}
