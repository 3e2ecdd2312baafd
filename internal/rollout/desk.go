package rollout

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/logging"
)

const (
	longestLine = 8 << 10
	lifeSign    = time.Second // the desk says so often that it is there
	patience    = 2           // signs of life missed until another connection is opened beside
	pause       = 4           // part of a sign of life: between two connections that fail
)

// Desk keeps one followed connection, and a second one only while the first is silent. Votes go out on the one
// that has spoken.
type Desk struct {
	address string // of Run; Move sends it another
	moved   chan string
	wait    time.Duration // for the answer to a vote
	sign    time.Duration // between two signs of life
	told    func(decision.Event)
	log     logrus.FieldLogger

	mu     sync.Mutex
	id     uint64 // of the last call
	number int    // of the last link
	line   *link  // the one that votes go to; nil while there is none
	causes logging.Causes
	silent bool // as last logged
}

// New makes a desk at address; a vote's answer is waited for as long as wait.
func New(address string, wait decision.Millis, told func(decision.Event), log logrus.FieldLogger) *Desk {
	d := &Desk{address: address, moved: make(chan string), wait: clock.Span(wait), sign: lifeSign, told: told, log: log}
	if d.wait <= 0 {
		d.wait = lifeSign
	}
	return d
}

// Move says that the desk is at another address from now on.
func (d *Desk) Move(ctx context.Context, address string) {
	select {
	case d.moved <- address:
	case <-ctx.Done():
	}
}

// Run keeps the connection until ctx ends. Danger: what was told while no connection stood is not told again. So
// a silent one, or one at an address that was left, is given up only once the next one speaks; never are there more
// than two, but for one on which the fate of a vote is still out.
func (d *Desk) Run(ctx context.Context) {
	var now, next *link
	for ctx.Err() == nil {
		wait := patience * d.sign
		if next == nil && (now == nil || now.address != d.address) {
			if next = d.dial(ctx); next == nil {
				d.quiet(now == nil || d.silent)
				wait = d.sign / pause
			}
		}
		over := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case d.address = <-d.moved:
			next.close()
			next = nil
		case <-now.spoken():
			d.quiet(false)
			if now.address == d.address { // else the next one is there for another reason than its silence
				next.close()
				next = nil
			}
		case <-next.spoken():
			d.quiet(false)
			now.retire()
			now, next = next, nil
		case <-now.gone():
			now.rest(ctx)
			now = nil
		case <-next.gone():
			next.rest(ctx)
			next = nil
		case <-over.C:
			if wait == patience*d.sign {
				d.quiet(true)
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
func (d *Desk) quiet(silent bool) {
	switch {
	case silent && !d.silent:
		d.log.WithField("address", d.address).Warn("desk silent")
	case !silent && d.silent:
		d.log.WithField("address", d.address).Info("desk speaks again")
	}
	d.silent = silent
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (d *Desk) nextID() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.id++
	return d.id
}

// dial opens a connection and asks to follow; nil if it doesn't come up.
func (d *Desk) dial(ctx context.Context) *link {
	dialer := net.Dialer{Timeout: d.sign, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return nil
	}
	l := &link{desk: d, address: d.address, conn: conn, since: time.Now(), follow: d.nextID(), spoke: make(chan struct{}, 1),
		ended: make(chan struct{}), open: map[uint64]*time.Timer{}}
	d.mu.Lock()
	d.number++
	l.number = d.number
	d.mu.Unlock()
	if !l.write(encodeFollow(l.follow)) {
		conn.Close()
		return nil
	}
	go l.read()
	return l
}

// Vote sends a vote. Its fate comes as news, once: never sent counts as an error.
func (d *Desk) Vote(v decision.Vote) { d.VoteUnder(v, nil) }

// Fence names a piece of work that a vote goes by, and the token under which it is held. A desk that knows of fences
// refuses a vote under a token below the highest that it has seen of that piece.
type Fence struct {
	Work  string `json:"work"`
	Token uint64 `json:"token"`
}

// VoteUnder sends a vote with the fences that it goes by.
func (d *Desk) VoteUnder(v decision.Vote, fences []Fence) {
	go func() { // a write may block
		d.mu.Lock()
		l := d.line
		d.mu.Unlock()
		if l == nil || !l.vote(d.nextID(), v, fences) {
			d.told(decision.StageNews{ToVote: true, VoteFate: decision.VoteError})
		}
	}()
}

// link is one connection; its reader owns it. All methods but read take a nil link as one that never speaks.
type link struct {
	desk    *Desk
	address string
	conn    net.Conn
	number  int
	since   time.Time
	follow  uint64        // the call's id
	spoke   chan struct{} // something came
	ended   chan struct{} // closed when the reader has ended

	mu   sync.Mutex
	open map[uint64]*time.Timer // votes without an answer; the answer, its timer or the end empties it
	last bool                   // to be closed when none is open
}

func (l *link) spoken() <-chan struct{} {
	if l == nil {
		return nil
	}
	return l.spoke
}

func (l *link) gone() <-chan struct{} {
	if l == nil {
		return nil
	}
	return l.ended
}

// close makes the reader end.
func (l *link) close() {
	if l != nil {
		l.conn.Close()
	}
}

// retire makes the reader end as soon as the fate of every vote is known.
func (l *link) retire() {
	if l != nil {
		l.mu.Lock()
		l.last = true
		if len(l.open) == 0 {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// rest waits after the end of a link that stood for less than a sign of life, so that ends don't follow at once.
func (l *link) rest(ctx context.Context) {
	if time.Since(l.since) < l.desk.sign {
		sleep(ctx, l.desk.sign/pause)
	}
}

func (l *link) write(line []byte) bool {
	l.conn.SetWriteDeadline(time.Now().Add(l.desk.wait))
	_, err := l.conn.Write(line)
	return err == nil
}

// vote writes a vote; false: it was not sent.
func (l *link) vote(id uint64, v decision.Vote, fences []Fence) bool {
	l.mu.Lock()
	if l.open == nil {
		l.mu.Unlock()
		return false
	}
	l.open[id] = time.AfterFunc(l.desk.wait, func() { l.settle(id, decision.VoteTimeout) })
	l.mu.Unlock()
	if !l.write(encodeVote(id, v, fences)) {
		l.settle(id, decision.VoteError)
		l.close() // a part of a line may stand on it
	}
	return true
}

// settle tells the fate of a vote whose answer won't come, if it still waits for one.
func (l *link) settle(id uint64, fate decision.VoteFate) {
	if l.waits(id) {
		l.desk.told(decision.StageNews{ToVote: true, VoteFate: fate})
	}
}

// waits tells whether a vote waited for its answer; now it does no more.
func (l *link) waits(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	timer, waits := l.open[id]
	if waits {
		timer.Stop()
		if delete(l.open, id); l.last && len(l.open) == 0 {
			l.conn.Close()
		}
	}
	return waits
}

// read hands on what comes until the connection ends; then what was open may have counted.
func (l *link) read() {
	lines := bufio.NewScanner(l.conn)
	lines.Buffer(make([]byte, 0, longestLine), longestLine)
	for lines.Scan() && l.take(lines.Bytes()) {
	}
	l.conn.Close()
	l.desk.mu.Lock()
	if l.desk.line == l {
		l.desk.line = nil
	}
	l.desk.mu.Unlock()
	l.mu.Lock()
	open := l.open
	l.open = nil
	l.mu.Unlock()
	for _, timer := range open {
		if timer.Stop() {
			l.desk.told(decision.StageNews{ToVote: true, VoteFate: decision.VoteTimeout})
		}
	}
	close(l.ended)
}

// take hands on one line; false if the connection is no good any more.
func (l *link) take(text []byte) bool {
	var in line
	if err := json.Unmarshal(text, &in); err != nil {
		return l.legible(err)
	}
	first := l.speaks()
	select {
	case l.spoke <- struct{}{}:
	default:
	}
	switch {
	case in.ID == nil:
		event, err := in.notice()
		if event != nil && err == nil && first {
			l.desk.told(event)
		}
		return l.legible(err)
	case *in.ID == l.follow:
		return l.legible(in.accepted())
	}
	fate, err := in.fate()
	switch waits := l.waits(*in.ID); {
	case waits && !first && fate.VoteFate == decision.VoteOK:
		// Danger: it tells an older state than the newer line may have told. As it may have counted, it goes out again.
		fate = decision.StageNews{ToVote: true, VoteFate: decision.VoteTimeout}
	case !waits && first && fate.VoteFate == decision.VoteOK:
		fate.ToVote = false // too late to be the fate, but what it tells counts as told
	case !waits:
		return l.legible(err)
	}
	l.desk.told(fate)
	return l.legible(err)
}

// legible tells whether the connection is good for more.
func (l *link) legible(err error) bool {
	if err != nil && l.desk.causes.New("unreadable") {
		l.desk.log.WithError(err).Warn("desk unreadable")
	}
	return err == nil
}

// speaks makes this link the one that votes go to, unless a newer one has spoken. Danger: told by both, older
// news would come after newer.
func (l *link) speaks() bool {
	l.desk.mu.Lock()
	defer l.desk.mu.Unlock()
	if l.desk.line == nil || l.desk.line.number <= l.number {
		l.desk.line = l
	}
	return l.desk.line == l
}
