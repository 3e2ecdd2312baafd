package rollout

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/logging"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxLine           = 8 << 10
	heartbeatInterval = time.Second // the desk says so often that it is there
	missedHeartbeats  = 2           // signs of life missed until another connection is opened beside
	redialFraction    = 4           // part of a sign of life: between two connections that fail
)

// Desk keeps one followed connection, and a second one only while the first is silent. Votes go out on the one
// that has spoken.
type Client struct {
	address     string // of Run; Move sends it another
	moved       chan string
	voteTimeout time.Duration // for the answer to a vote
	heartbeat   time.Duration // between two signs of life
	handle      func(decision.Event)
	log         logrus.FieldLogger

	mu             sync.Mutex
	lastID         uint64      // of the last call
	lastConnection int         // of the last link
	active         *connection // the one that votes go to; nil while there is none
	causes         logging.Limiter
	unavailable    bool // as last logged
}

// New makes a desk at address; a vote's answer is waited for as long as wait.
func New(address string, voteTimeout decision.Millis, handle func(decision.Event), log logrus.FieldLogger) *Client {
	d := &Client{address: address, moved: make(chan string), voteTimeout: clock.Duration(voteTimeout), heartbeat: heartbeatInterval, handle: handle, log: log}
	if d.voteTimeout <= 0 {
		d.voteTimeout = heartbeatInterval
	}
	return d
}

// Move says that the desk is at another address from now on.
func (d *Client) SetAddress(ctx context.Context, address string) {
	select {
	case d.moved <- address:
	case <-ctx.Done():
	}
}

// Run keeps the connection until ctx ends. Danger: what was told while no connection stood is not told again. So
// a silent one, or one at an address that was left, is given up only once the next one speaks; never are there more
// than two, but for one on which the fate of a vote is still out.
func (d *Client) Run(ctx context.Context) {
	var now, next *connection
	for ctx.Err() == nil {
		wait := missedHeartbeats * d.heartbeat
		if next == nil && (now == nil || now.address != d.address) {
			if next = d.dial(ctx); next == nil {
				d.setUnavailable(now == nil || d.unavailable)
				wait = d.heartbeat / redialFraction
			}
		}
		over := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case d.address = <-d.moved:
			next.close()
			next = nil
		case <-now.receivedChan():
			d.setUnavailable(false)
			if now.address == d.address { // else the next one is there for another reason than its silence
				next.close()
				next = nil
			}
		case <-next.receivedChan():
			d.setUnavailable(false)
			now.retire()
			now, next = next, nil
		case <-now.endedChan():
			now.backOff(ctx)
			now = nil
		case <-next.endedChan():
			next.backOff(ctx)
			next = nil
		case <-over.C:
			if wait == missedHeartbeats*d.heartbeat {
				d.setUnavailable(true)
				next.close()
				next = d.dial(ctx)
			}
		}
		over.Stop()
	}
	now.close()
	next.close()
}

// quiet logs that the desk has fallen silent or speaks again.
func (d *Client) setUnavailable(unavailable bool) {
	switch {
	case unavailable && !d.unavailable:
		d.log.WithField("address", d.address).Warn("desk silent")
	case !unavailable && d.unavailable:
		d.log.WithField("address", d.address).Info("desk speaks again")
	}
	d.unavailable = unavailable
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (d *Client) nextID() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	return d.lastID
}

// dial opens a connection and asks to follow; nil if it doesn't come up.
func (d *Client) dial(ctx context.Context) *connection {
	dialer := net.Dialer{Timeout: d.heartbeat, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return nil
	}
	l := &connection{
		client: d, address: d.address, conn: conn, openedAt: time.Now(), followID: d.nextID(), received: make(chan struct{}, 1),
		ended: make(chan struct{}), pendingVotes: map[uint64]*time.Timer{},
	}
	d.mu.Lock()
	d.lastConnection++
	l.number = d.lastConnection
	d.mu.Unlock()
	if !l.write(encodeFollow(l.followID)) {
		conn.Close()
		return nil
	}
	go l.read()
	return l
}

// Vote sends a vote. Its fate comes as news, once: never sent counts as an error.
func (d *Client) Vote(v decision.Vote) { d.VoteFenced(v, nil) }

// Fence names a piece of work that a vote goes by, and the token under which it is held. A desk that knows of fences
// refuses a vote under a token below the highest that it has seen of that piece.
type Fence struct {
	Lease string `json:"work"`
	Token uint64 `json:"token"`
}

// VoteUnder sends a vote with the fences that it goes by.
func (d *Client) VoteFenced(v decision.Vote, fences []Fence) {
	go func() { // a write may block
		d.mu.Lock()
		l := d.active
		d.mu.Unlock()
		if l == nil || !l.vote(d.nextID(), v, fences) {
			d.handle(decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteFailed})
		}
	}()
}

// link is one connection; its reader owns it. All methods but read take a nil link as one that never speaks.
type connection struct {
	client   *Client
	address  string
	conn     net.Conn
	number   int
	openedAt time.Time
	followID uint64        // the call's id
	received chan struct{} // something came
	ended    chan struct{} // closed when the reader has ended

	mu           sync.Mutex
	pendingVotes map[uint64]*time.Timer // votes without an answer; the answer, its timer or the end empties it
	retiring     bool                   // to be closed when none is open
}

func (l *connection) receivedChan() <-chan struct{} {
	if l == nil {
		return nil
	}
	return l.received
}

func (l *connection) endedChan() <-chan struct{} {
	if l == nil {
		return nil
	}
	return l.ended
}

// close makes the reader end.
func (l *connection) close() {
	if l != nil {
		l.conn.Close()
	}
}

// retire makes the reader end as soon as the fate of every vote is known.
func (l *connection) retire() {
	if l != nil {
		l.mu.Lock()
		l.retiring = true
		if len(l.pendingVotes) == 0 {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// rest waits after the end of a link that stood for less than a sign of life, so that ends don't follow at once.
func (l *connection) backOff(ctx context.Context) {
	if time.Since(l.openedAt) < l.client.heartbeat {
		sleep(ctx, l.client.heartbeat/redialFraction)
	}
}

func (l *connection) write(line []byte) bool {
	l.conn.SetWriteDeadline(time.Now().Add(l.client.voteTimeout))
	_, err := l.conn.Write(line)
	return err == nil
}

// vote writes a vote; false: it was not sent.
func (l *connection) vote(id uint64, v decision.Vote, fences []Fence) bool {
	l.mu.Lock()
	if l.pendingVotes == nil {
		l.mu.Unlock()
		return false
	}
	l.pendingVotes[id] = time.AfterFunc(l.client.voteTimeout, func() { l.resolveVote(id, decision.VoteTimedOut) })
	l.mu.Unlock()
	if !l.write(encodeVote(id, v, fences)) {
		l.resolveVote(id, decision.VoteFailed)
		l.close() // a part of a line may stand on it
	}
	return true
}

// settle tells the fate of a vote whose answer won't come, if it still waits for one.
func (l *connection) resolveVote(id uint64, result decision.VoteResult) {
	if l.takePending(id) {
		l.client.handle(decision.StageUpdate{IsVoteResult: true, VoteResult: result})
	}
}

// waits tells whether a vote waited for its answer; now it does no more.
func (l *connection) takePending(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	timer, waits := l.pendingVotes[id]
	if waits {
		timer.Stop()
		if delete(l.pendingVotes, id); l.retiring && len(l.pendingVotes) == 0 {
			l.conn.Close()
		}
	}
	return waits
}

// read hands on what comes until the connection ends; then what was open may have counted.
func (l *connection) read() {
	lines := bufio.NewScanner(l.conn)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	for lines.Scan() && l.handleLine(lines.Bytes()) {
	}
	l.conn.Close()
	l.client.mu.Lock()
	if l.client.active == l {
		l.client.active = nil
	}
	l.client.mu.Unlock()
	l.mu.Lock()
	open := l.pendingVotes
	l.pendingVotes = nil
	l.mu.Unlock()
	for _, timer := range open {
		if timer.Stop() {
			l.client.handle(decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut})
		}
	}
	close(l.ended)
}

// take hands on one line; false if the connection is no good any more.
func (l *connection) handleLine(text []byte) bool {
	var in message
	if err := json.Unmarshal(text, &in); err != nil {
		return l.usable(err)
	}
	first := l.activate()
	select {
	case l.received <- struct{}{}:
	default:
	}
	switch {
	case in.ID == nil:
		event, err := in.event()
		if event != nil && err == nil && first {
			l.client.handle(event)
		}
		return l.usable(err)
	case *in.ID == l.followID:
		return l.usable(in.checkFollowed())
	}
	result, err := in.voteResult()
	switch waits := l.takePending(*in.ID); {
	case waits && !first && result.VoteResult == decision.VoteAccepted:
		// Danger: it tells an older state than the newer line may have told. As it may have counted, it goes out again.
		result = decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}
	case !waits && first && result.VoteResult == decision.VoteAccepted:
		result.IsVoteResult = false // too late to be the fate, but what it tells counts as told
	case !waits:
		return l.usable(err)
	}
	l.client.handle(result)
	return l.usable(err)
}

// legible tells whether the connection is good for more.
func (l *connection) usable(err error) bool {
	if err != nil && l.client.causes.Allow("unreadable") {
		l.client.log.WithError(err).Warn("desk unreadable")
	}
	return err == nil
}

// speaks makes this link the one that votes go to, unless a newer one has spoken. Danger: told by both, older
// news would come after newer.
func (l *connection) activate() bool {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	if l.client.active == nil || l.client.active.number <= l.number {
		l.client.active = l
	}
	return l.client.active == l
}
