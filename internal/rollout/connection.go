package rollout

// One connection and its reader.

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"ottershed/decision"
)

const maxLine = 8 << 10 // bytes of a line; a longer one ends the connection

// connection is one connection to the rollout controller; its reader owns it. The methods that Run calls take a nil
// connection as one that never receives anything.
type connection struct {
	client   *Client
	address  string
	conn     net.Conn
	number   int // counted from 1; a higher one is newer
	openedAt time.Time
	followID uint64        // id of the call that subscribes to events
	received chan struct{} // something was received
	ended    chan struct{} // closed when the reader has ended
	votes    pendingVotes
}

func newConnection(client *Client, conn net.Conn) *connection {
	return &connection{
		client: client, address: client.address, conn: conn, openedAt: time.Now(),
		followID: client.ids.next(), number: client.active.nextNumber(),
		received: make(chan struct{}, 1), ended: make(chan struct{}),
		votes: pendingVotes{timers: map[uint64]*time.Timer{}},
	}
}

func (c *connection) receivedChan() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.received
}

func (c *connection) endedChan() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.ended
}

// close makes the reader end.
func (c *connection) close() {
	if c != nil {
		_ = c.conn.Close() // the reader ends either way
	}
}

// retire makes the reader end as soon as every vote has its result.
func (c *connection) retire() {
	if c != nil {
		c.votes.closeWhenEmpty(c.close)
	}
}

// backOff waits after the end of a connection that stood for less than a heartbeat interval, so that connections
// that fail don't follow each other at once.
func (c *connection) backOff(ctx context.Context) {
	if time.Since(c.openedAt) < c.client.heartbeat {
		sleep(ctx, c.client.heartbeat/redialFraction)
	}
}

// write writes a line; false if that failed.
func (c *connection) write(line []byte) bool {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.client.voteTimeout)); err != nil {
		return false
	}
	_, err := c.conn.Write(line)
	return err == nil
}

// read hands on what is received until the connection ends. Votes that still wait for their result then may have
// counted.
func (c *connection) read() {
	lines := bufio.NewScanner(c.conn)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	for lines.Scan() && c.handleLine(lines.Bytes()) {
	}
	c.close()
	c.client.active.release(c)
	for range c.votes.stop() {
		c.client.handle(voteFailedWith(decision.VoteTimedOut))
	}
	close(c.ended)
}

// handleLine hands on one line; false if the connection is unusable.
func (c *connection) handleLine(line []byte) bool {
	var msg message
	if err := json.Unmarshal(line, &msg); err != nil {
		return c.usable(err)
	}
	newest := c.activate()
	select {
	case c.received <- struct{}{}:
	default:
	}
	switch {
	case msg.ID == nil:
		return c.usable(c.handleNotification(&msg, newest))
	case *msg.ID == c.followID:
		return c.usable(msg.checkFollowed())
	default:
		return c.usable(c.handleVoteResponse(&msg, newest))
	}
}

// handleNotification hands on an event, unless a newer connection may have brought a newer one.
func (c *connection) handleNotification(msg *message, newest bool) error {
	event, err := msg.event()
	if event != nil && err == nil && newest {
		c.client.handle(event)
	}
	return err
}

// handleVoteResponse hands on the response to a vote. One that comes too late is no longer the vote's result, but
// its stage update counts.
func (c *connection) handleVoteResponse(msg *message, newest bool) error {
	update, err := msg.voteResult()
	accepted := update.VoteResult == decision.VoteAccepted
	pending := c.votes.take(*msg.ID)
	switch {
	case pending && accepted && !newest:
		// A newer connection may have brought a newer stage than this response. The vote is repeated, for it may
		// have counted or not.
		update = voteFailedWith(decision.VoteTimedOut)
	case !pending && accepted && newest:
		update.IsVoteResult = false
	case !pending:
		return err
	}
	c.client.handle(update)
	return err
}

// usable logs an error of the wire and tells whether there was none.
func (c *connection) usable(err error) bool {
	if err != nil && c.client.warnings.Allow("unreadable") {
		c.client.log.WithError(err).Warn("rollout controller message malformed")
	}
	return err == nil
}

// activate makes this the connection on which votes go out, unless a newer one has received something. It tells
// whether it is: on both, older events could come after newer ones.
func (c *connection) activate() bool { return c.client.active.offer(c) }

// activeConnection is the newest connection that has received something. Votes go out on it, and only its events
// count.
type activeConnection struct {
	mu         sync.Mutex
	lastNumber int         // of the newest connection
	conn       *connection // nil: none
}

func (a *activeConnection) nextNumber() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	return a.lastNumber
}

func (a *activeConnection) get() *connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// offer makes a connection the active one unless that is newer, and tells whether it is the active one then.
func (a *activeConnection) offer(conn *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.conn.number <= conn.number {
		a.conn = conn
	}
	return a.conn == conn
}

// release ends a connection's part as the active one.
func (a *activeConnection) release(conn *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
	}
}
