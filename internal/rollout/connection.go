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

const maxLineBytes = 8 << 10 // a longer line from the rollout controller ends the connection

// connection is one connection to the rollout controller. Its reader goroutine owns it. The methods that Run calls
// treat a nil connection as one that never receives a message.
type connection struct {
	client   *Client
	address  string
	conn     net.Conn
	number   int // counts the client's connections from 1, so a newer one has a higher number
	openedAt time.Time
	followID uint64        // id of the call that subscribes to events
	received chan struct{} // signals a received message
	ended    chan struct{} // closed when the reader ends
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

// close closes the connection, which ends the reader.
func (c *connection) close() {
	if c != nil {
		_ = c.conn.Close() // the reader ends even if closing fails
	}
}

// closeAfterVotes closes the connection as soon as each pending vote has its result.
func (c *connection) closeAfterVotes() {
	if c != nil {
		c.votes.closeWhenEmpty(c.close)
	}
}

// backOff waits if the connection has ended within a heartbeat interval of its start. Otherwise failing connections
// would be redialed without a pause.
func (c *connection) backOff(ctx context.Context) {
	if time.Since(c.openedAt) < c.client.heartbeat {
		sleep(ctx, c.client.heartbeat/redialsPerHeartbeat)
	}
}

// write sends a line and returns whether that succeeded.
func (c *connection) write(line []byte) bool {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.client.voteTimeout)); err != nil {
		return false
	}
	_, err := c.conn.Write(line)
	return err == nil
}

// read handles the received lines until the connection ends. Pending votes then time out, because the controller may
// have counted them.
func (c *connection) read() {
	lines := bufio.NewScanner(c.conn)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for lines.Scan() && c.handleLine(lines.Bytes()) {
	}
	c.close()
	c.client.active.release(c)
	for range c.votes.stop() {
		c.client.handle(failedVote(decision.VoteTimedOut))
	}
	close(c.ended)
}

// handleLine handles one line. It returns false if the line is malformed and the connection must be closed.
func (c *connection) handleLine(line []byte) bool {
	var msg message
	if err := json.Unmarshal(line, &msg); err != nil {
		return c.logIfMalformed(err)
	}
	newest := c.activate()
	select {
	case c.received <- struct{}{}:
	default:
	}
	switch {
	case msg.ID == nil:
		return c.logIfMalformed(c.handleNotification(&msg, newest))
	case *msg.ID == c.followID:
		return c.logIfMalformed(msg.checkFollowResponse())
	default:
		return c.logIfMalformed(c.handleVoteResponse(&msg, newest))
	}
}

// handleNotification passes on an event. It drops the event if a newer connection is active, because that one may have
// received newer events.
func (c *connection) handleNotification(msg *message, newest bool) error {
	event, err := msg.event()
	if event != nil && err == nil && newest {
		c.client.handle(event)
	}
	return err
}

// handleVoteResponse passes on the result of a vote. A response after the vote's timeout is not its result any more,
// but the stage update in the response is still passed on.
func (c *connection) handleVoteResponse(msg *message, newest bool) error {
	update, err := msg.voteResult()
	accepted := update.VoteResult == decision.VoteAccepted
	pending := c.votes.remove(*msg.ID)
	switch {
	case pending && accepted && !newest:
		// A newer connection may have received a newer stage than the one in this response. The vote is cast again,
		// because it may or may not have counted.
		update = failedVote(decision.VoteTimedOut)
	case !pending && accepted && newest:
		update.IsVoteResult = false
	case !pending:
		return err
	}
	c.client.handle(update)
	return err
}

// logIfMalformed logs err as the fault of a malformed message, unless err is nil. It returns whether err is nil.
func (c *connection) logIfMalformed(err error) bool {
	if err != nil && c.client.warnings.Allow("unreadable") {
		c.client.log.WithError(err).Warn("rollout controller message malformed")
	}
	return err == nil
}

// activate makes this connection the active one unless a newer one is active. It returns whether this connection is
// active afterwards. If it is not, its events must be dropped, because newer ones may have arrived before.
func (c *connection) activate() bool { return c.client.active.promote(c) }

// activeConnection holds the newest connection that has received a message. Votes are sent on it, and events of other
// connections are dropped.
type activeConnection struct {
	mu         sync.Mutex
	lastNumber int         // number of the newest connection
	conn       *connection // nil without an active connection
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

// promote makes conn the active connection unless a newer one is active. It returns whether conn is active afterwards.
func (a *activeConnection) promote(conn *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.conn.number <= conn.number {
		a.conn = conn
	}
	return a.conn == conn
}

// release leaves no connection active if conn is the active one.
func (a *activeConnection) release(conn *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == conn {
		a.conn = nil
	}
}
