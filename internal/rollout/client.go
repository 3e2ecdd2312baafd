// Package rollout is the client of the rollout controller: it casts votes and hands on the controller's events,
// among them the result of each vote.
//
// Make a [Client] with [New] and call [Client.Run]. Votes may be cast from any goroutine.
//
//	file           concern
//	client.go      which connections are open; when another one replaces the current one
//	connection.go  one connection and its reader
//	votes.go       casting votes; votes that wait for their result
//	wire.go        the wire: JSON-RPC objects, one a line
package rollout

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/logging"
)

const (
	heartbeatInterval = time.Second // between two heartbeats of the rollout controller
	missedHeartbeats  = 2           // heartbeats missed until another connection is opened beside the current one
	redialFraction    = 4           // part of a heartbeat interval between two connections that fail
)

// Client keeps one connection to the rollout controller, and a second one while the first is unresponsive or goes
// to an address that is no longer the controller's. Votes go out on the newest connection that has received
// something.
//
// Events that the controller sends while no connection stands are lost. So the current connection is given up only
// when the next one has received something. There are never more than these two, but for connections that wait for
// the result of a vote.
type Client struct {
	voteTimeout time.Duration // for the response to a vote; a higher value waits longer before the vote is repeated
	heartbeat   time.Duration // heartbeatInterval, but in tests
	handle      func(decision.Event)
	log         logrus.FieldLogger
	warnings    logging.Limiter // of malformed messages

	address     string      // of Run's goroutine
	newAddress  chan string // to Run
	unavailable bool        // as last logged; of Run's goroutine

	ids    idSequence
	active activeConnection
}

// New makes a client of the rollout controller at address. Events go to handle, from any goroutine. A vote waits for
// its result as long as voteTimeout; 0: as long as a heartbeat interval.
func New(
	address string, voteTimeout decision.Millis, handle func(decision.Event), log logrus.FieldLogger,
) *Client {
	client := &Client{
		voteTimeout: clock.Duration(voteTimeout), heartbeat: heartbeatInterval, handle: handle, log: log,
		address: address, newAddress: make(chan string),
	}
	if client.voteTimeout <= 0 {
		client.voteTimeout = heartbeatInterval
	}
	return client
}

// SetAddress says that the rollout controller has another address from now on. It waits until Run has taken the
// address or ctx ends.
func (c *Client) SetAddress(ctx context.Context, address string) {
	select {
	case c.newAddress <- address:
	case <-ctx.Done():
	}
}

// Run keeps the connection until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var open connections
	for ctx.Err() == nil {
		c.step(ctx, &open)
	}
	open.current.close()
	open.next.close()
}

// connections are those that Run keeps. These are their states:
//
//	current  next  state         leaves it when
//	-        -     disconnected  a connection is established: connecting
//	-        yes   connecting    next receives something: connected; next ends: disconnected
//	yes      -     connected     current is silent, or the address changes: replacing; current ends: disconnected
//	yes      yes   replacing     next receives something, or current does at the present address: connected;
//	                             current ends: connecting; next ends: connected
type connections struct {
	current *connection // it has received something; nil: none
	next    *connection // it has not yet; nil: none
}

// step waits for the next thing that happens to the connections. A connection is dialed before that where one is
// wanted.
func (c *Client) step(ctx context.Context, open *connections) {
	timeout := missedHeartbeats * c.heartbeat
	dialFailed := false
	if open.next == nil && (open.current == nil || open.current.address != c.address) {
		open.next = c.dial(ctx)
		if open.next == nil {
			c.setUnavailable(open.current == nil || c.unavailable)
			timeout = c.heartbeat / redialFraction
			dialFailed = true
		}
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case c.address = <-c.newAddress:
		open.next.close()
		open.next = nil
	case <-open.current.receivedChan():
		c.currentReceived(open)
	case <-open.next.receivedChan():
		c.setUnavailable(false)
		open.current.retire()
		open.current = open.next
		open.next = nil
	case <-open.current.endedChan():
		open.current.backOff(ctx)
		open.current = nil
	case <-open.next.endedChan():
		open.next.backOff(ctx)
		open.next = nil
	case <-timer.C:
		if !dialFailed {
			c.missedHeartbeats(ctx, open)
		}
	}
}

// currentReceived gives up the next connection, unless that one is needed for its address.
func (c *Client) currentReceived(open *connections) {
	c.setUnavailable(false)
	if open.current.address == c.address {
		open.next.close()
		open.next = nil
	}
}

// missedHeartbeats opens another next connection.
func (c *Client) missedHeartbeats(ctx context.Context, open *connections) {
	c.setUnavailable(true)
	open.next.close()
	open.next = c.dial(ctx)
}

// setUnavailable logs whether the rollout controller is available, if that has changed.
func (c *Client) setUnavailable(unavailable bool) {
	switch {
	case unavailable && !c.unavailable:
		c.log.WithField("address", c.address).Warn("rollout controller unavailable")
	case !unavailable && c.unavailable:
		c.log.WithField("address", c.address).Info("rollout controller connection restored")
	}
	c.unavailable = unavailable
}

// dial opens a connection and subscribes to events on it; nil if that fails.
func (c *Client) dial(ctx context.Context) *connection {
	dialer := net.Dialer{Timeout: c.heartbeat, KeepAlive: -1}
	netConn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil
	}
	conn := newConnection(c, netConn)
	if !conn.write(encodeFollow(conn.followID)) {
		conn.close()
		return nil
	}
	go conn.read()
	return conn
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
