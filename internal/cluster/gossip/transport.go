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
	receiveQueueSize   = 256  // received packets that wait for the detector; further packets are dropped
	readBufferBytes    = 4096 // bytes read of a datagram; the rest of a longer one is discarded
	leaveAnnouncements = 3    // calls of Detector.Leave for one shutdown
)

// Config configures a transport, according to the operator's file.
type Config struct {
	Membership membership.Settings // Listen sets Run, Start and RandomSeed
	Bind       string              // ip:port of the UDP socket
	Codec      membership.Codec
}

// Transport runs this process's failure detector over a UDP socket.
type Transport struct {
	conn      *net.UDPConn
	codec     membership.Codec
	clock     *clock.Clock
	log       logrus.FieldLogger
	logLimit  logging.Limiter      // limits log lines about single packets
	detector  *membership.Detector // used by the goroutine of Run only
	run       membership.RunID
	received  chan *membership.Packet // decoded packets for the detector
	leave     chan chan struct{}      // requests of Leave; the channel sent is closed when the request is done
	published publisher
	counters  counters
}

// Listen validates the configuration and opens the socket of a transport, which Run starts. An error names the invalid
// key of the operator's file.
func Listen(cfg Config, processClock *clock.Clock, log logrus.FieldLogger) (*Transport, error) {
	settings, err := withStartValues(cfg.Membership, processClock)
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
		received:  make(chan *membership.Packet, receiveQueueSize),
		leave:     make(chan chan struct{}),
		published: publisher{changes: make(chan membership.Change, changeQueueSize)},
	}
	transport.publishView()
	return transport, nil
}

// withStartValues returns the settings with a random run ID and random seed, and with the current time as start time.
func withStartValues(settings membership.Settings, processClock *clock.Clock) (membership.Settings, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return settings, fmt.Errorf("membership: draw run ID: %w", err)
	}
	settings.Run = membership.RunID(binary.BigEndian.Uint64(random[:8]))
	settings.RandomSeed = binary.BigEndian.Uint64(random[8:])
	settings.Start = processClock.Now()
	return settings, nil
}

// RunID returns the random ID that distinguishes this process from others with its name.
func (t *Transport) RunID() membership.RunID { return t.run }

// Leave announces the shutdown of this member. It returns when the announcement was sent, or when ctx ends before Run
// accepts the request. Call it while Run is running.
func (t *Transport) Leave(ctx context.Context) {
	sent := make(chan struct{})
	select {
	case t.leave <- sent:
		<-sent
	case <-ctx.Done():
	}
}

// Run drives the detector until ctx ends: it passes on received packets, ticks and requests of Leave, and carries out
// the detector's output. It closes the socket before it returns.
func (t *Transport) Run(ctx context.Context) {
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		t.read()
	}()
	defer func() {
		_ = t.conn.Close() // ends read
		<-readerDone
	}()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-t.received:
			t.execute(t.detector.Receive(t.clock.Now(), packet))
		case <-wake.C:
			t.execute(t.detector.Tick(t.clock.Now()))
		case sent := <-t.leave:
			for range leaveAnnouncements {
				t.execute(t.detector.Leave(t.clock.Now()))
			}
			close(sent)
		}
		wake.Reset(clock.Duration(max(0, t.detector.Next()-t.clock.Now())))
	}
}

// read decodes datagrams and queues them for Run until the socket is closed.
func (t *Transport) read() {
	raw := make([]byte, readBufferBytes)
	for {
		length, _, err := t.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error about a datagram sent earlier; the socket remains usable
		}
		packet, err := t.codec.Decode(raw[:length])
		if err != nil {
			t.counters.rejected.Add(1)
			t.warnLimited("refused", "membership: packet rejected", err)
			continue
		}
		t.counters.received(length)
		select {
		case t.received <- packet:
		default: // the queue is full; the protocol tolerates lost packets
		}
	}
}

// execute sends the packets and publishes the changes in an output of the detector.
func (t *Transport) execute(out membership.Output) {
	for i := range out.Sends {
		length, err := t.send(&out.Sends[i])
		if err != nil {
			t.warnLimited("send", "membership: packet not sent", err)
			continue
		}
		t.counters.sent(length)
	}
	t.publish(out.Changes)
}

// send encodes and sends a packet, and returns its length in bytes.
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

// warnLimited logs an error about a single packet, with a limited rate for each cause.
func (t *Transport) warnLimited(cause, message string, err error) {
	if t.logLimit.Allow(cause) {
		t.log.WithError(err).Warn(message)
	}
}
