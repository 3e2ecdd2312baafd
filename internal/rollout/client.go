// Package rollout is the client of the rollout controller. It casts votes and passes on the controller's events and the
// result of each vote.
//
// Create a [Client] with [New] and call [Client.Run]. Votes may be cast from any goroutine.
//
//	file           contents
//	client.go      connection management: when a connection is opened, replaced and closed
//	connection.go  one connection and its reader
//	votes.go       votes and the results that they wait for
//	wire.go        wire format: JSON-RPC objects, one on each line
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
	heartbeatInterval   = time.Second // time between two heartbeats of the rollout controller
	maxMissedHeartbeats = 2           // heartbeats missed before a second connection is opened beside the current one
	redialsPerHeartbeat = 4           // dials in a heartbeat interval while connections fail
)

// Client keeps one connection to the rollout controller. It opens a second connection while the first one is
// unresponsive or leads to an earlier address of the controller. Votes are sent on the newest connection that has
// received a message.
//
// Events that the controller sends while no connection is open are lost. The current connection is therefore replaced
// only after the next one has received a message. No more than these two connections are open, apart from replaced ones
// that still wait for the result of a vote.
type Client struct {
	voteTimeout time.Duration // limits writes and the wait for a vote's result; the module repeats a vote only after it
	heartbeat   time.Duration // heartbeatInterval; tests set other values
	handle      func(decision.Event)
	log         logrus.FieldLogger
	warnings    logging.Limiter // limits warnings about malformed messages

	address     string      // used by Run's goroutine only
	newAddress  chan string // received by Run
	unavailable bool        // state that was logged last; used by Run's goroutine only

	ids    idSequence
	active activeConnection
}

// New creates a client of the rollout controller at address. The client calls handle with each event, from any
// goroutine. A vote waits voteTimeout for its result, or a heartbeat interval if voteTimeout is not above 0.
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

// SetAddress sets a new address of the rollout controller. It blocks until Run has received the address or ctx ends.
func (c *Client) SetAddress(ctx context.Context, address string) {
	select {
	case c.newAddress <- address:
	case <-ctx.Done():
	}
}

// Run maintains the connections until ctx ends, and then closes them.
func (c *Client) Run(ctx context.Context) {
	var open connections
	for ctx.Err() == nil {
		c.handleNextEvent(ctx, &open)
	}
	open.current.close()
	open.next.close()
}

// connections holds the connections that Run maintains. Their states and transitions are:
//
//	current  next  state         transitions
//	-        -     disconnected  next is established: connecting
//	-        yes   connecting    next receives a message: connected; next ends: disconnected
//	yes      -     connected     current misses heartbeats or the address changes: replacing; current ends: disconnected
//	yes      yes   replacing     next receives a message, or current does at the current address: connected;
//	                             current ends: connecting; next ends: connected
type connections struct {
	current *connection // has received a message; may be nil
	next    *connection // has not received a message yet; may be nil
}

// handleNextEvent dials the next connection if one is needed, then waits for one event of the connections and handles
// it.
func (c *Client) handleNextEvent(ctx context.Context, open *connections) {
	timeout := maxMissedHeartbeats * c.heartbeat
	dialFailed := false
	if open.next == nil && (open.current == nil || open.current.address != c.address) {
		open.next = c.dial(ctx)
		if open.next == nil {
			c.setUnavailable(open.current == nil || c.unavailable)
			timeout = c.heartbeat / redialsPerHeartbeat
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
		c.handleCurrentReceived(open)
	case <-open.next.receivedChan():
		c.setUnavailable(false)
		open.current.closeAfterVotes()
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
			c.handleHeartbeatTimeout(ctx, open)
		}
	}
}

// handleCurrentReceived handles a message on the current connection. It closes the next connection, unless the current
// connection leads to an earlier address of the controller.
func (c *Client) handleCurrentReceived(open *connections) {
	c.setUnavailable(false)
	if open.current.address == c.address {
		open.next.close()
		open.next = nil
	}
}

// handleHeartbeatTimeout handles maxMissedHeartbeats heartbeat intervals without an event. It replaces the next
// connection by a new one.
func (c *Client) handleHeartbeatTimeout(ctx context.Context, open *connections) {
	c.setUnavailable(true)
	open.next.close()
	open.next = c.dial(ctx)
}

// setUnavailable records whether the rollout controller is unavailable, and logs a change.
func (c *Client) setUnavailable(unavailable bool) {
	switch {
	case unavailable && !c.unavailable:
		c.log.WithField("address", c.address).Warn("rollout controller unavailable")
	case !unavailable && c.unavailable:
		c.log.WithField("address", c.address).Info("rollout controller connection restored")
	}
	c.unavailable = unavailable
}

// dial opens a connection and subscribes to events on it. It returns nil if either fails.
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

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
