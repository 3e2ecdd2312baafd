package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/logging"
	"ottershed/internal/settings"
)

const (
	wait    = 2 * time.Second        // of a watch; short, for a call may hang while discovery is down
	answer  = time.Second            // for an answer that is due, where the agent has the list
	queued  = 4                      // part of the time in which a marshal must ask: for an answer that waits its turn
	pause   = 50 * time.Millisecond  // after a failure; the next call must come within 200 ms
	rest    = 200 * time.Millisecond // without a byte of an answer that has begun: it stands ready at the agent
	hasty   = 4                      // part of the grace for drains: between calls to an agent that is silent
	often   = 2                      // part of it: of a watch on pushed lists, see New
	slack   = 50 * time.Millisecond  // by which time limits are longer on sockets: a grace of nothing, or none, counts as this
	beside  = 16                     // calls that are open at once, half of the descriptors that are kept for such
	staying = 4                      // of them, those that may stay open for all of patience
	longest = 1 << 20                // bytes of a list
)

// patience is how long a call for the whole list may take until its last byte, and the answer to a watch from its first
// byte to its last. It is for an agent that answers late or slowly, whose list is never heard if each call is given up
// before its answer has come. By the operators' page a change counts as told 6 s after discovery had it and could be
// reached, and a new process goes by its configuration's list after 5 s (unheard in cmd/balancer); this is below both.
const patience = 4 * time.Second

// errOverdue ends a call that is not answered in time.
var errOverdue = errors.New("no answer in time")

// errRefused is the answer of a service that has too many calls.
var errRefused = errors.New("refused")

// Follower keeps a watch on the list and hands on what it is told.
type Follower struct {
	address string // at the start
	known   int64  // version of the list held at the start; below 0: none
	asks    bool   // calls are taken by a service with a queue, and may be refused
	told    func(engine.List)
	log     logrus.FieldLogger
	causes  logging.Causes
	lookup  chan struct{}
	again   chan struct{} // a refused call may go out again
	moved   chan string
	calls   atomic.Int64 // that went out

	mu    sync.Mutex
	spoke int // number of the newest watch that was told something

	wait, answer, rest, patience, pause time.Duration
	hasten                              time.Duration // a call that is not answered by then gets another beside it; 0: none does
	decode                              func([]byte) (engine.List, error)
	heard                               chan struct{} // closed as soon as a list has been told
	once                                sync.Once
}

// New makes a follower of the list at address; known is the list that is held, if any.
func New(address string, known *engine.List, n settings.Network, told func(engine.List), log logrus.FieldLogger) *Follower {
	f := &Follower{address: address, known: -1, asks: n.AskList, told: told, log: log, lookup: make(chan struct{}, 1),
		again: make(chan struct{}, 1), moved: make(chan string), heard: make(chan struct{}), wait: wait, answer: answer,
		rest: rest, patience: patience, pause: pause, decode: Decode}
	// Danger: a call given up while it waits its turn is carried out all the same. Where all marshals gave theirs up,
	// the service would work for nobody.
	if f.asks {
		f.answer = max(f.answer, clock.Span(n.AskWithin)/queued)
	}
	if f.asks && known != nil {
		f.known = known.Stamp
	}
	// Danger: a watch that was open when the agent fell silent may never be answered, and what the agent holds as soon as it
	// is back counts as told. So a pushed list is watched in calls of half the grace, each due soon after: however short
	// the silence, its end is heard within the grace.
	if !f.asks {
		grace := cmp.Or(clock.Span(n.DrainGrace), slack)
		f.hasten = min(grace/hasty, f.answer)
		f.wait = min(f.wait, grace/often)
		f.pause = min(f.pause, f.hasten)
	}
	return f
}

// Heard is closed as soon as a list has been told.
func (f *Follower) Heard() <-chan struct{} { return f.heard }

// Calls is how many calls for the list went out since the start.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Lookup asks for the whole list again.
func (f *Follower) Lookup() {
	select {
	case f.lookup <- struct{}{}:
	default:
	}
}

// Watch says that a call that was refused may go out again.
func (f *Follower) Watch() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Move says that the list is at another address from now on.
func (f *Follower) Move(ctx context.Context, address string) {
	select {
	case f.moved <- address:
	case <-ctx.Done():
	}
}

// Run follows until ctx ends. Danger: the next agent's numbers need not be those of the one before, and a new one may
// be slow to answer; so there a new watch begins with the whole list, and the old one goes on until that has come.
func (f *Follower) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	number, cancel := 0, map[int]context.CancelFunc{} // watches that go on; those that are over empty it
	over, speaks := make(chan int), make(chan int)
	begin := func(address string, known int64) {
		number++
		w := &watch{Follower: f, number: number, at: known, base: "http://" + address + "/discovery/hosts", speaks: speaks,
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
		var of context.Context
		of, cancel[number] = context.WithCancel(ctx)
		running.Go(func() {
			w.run(of)
			select {
			case over <- w.number:
			case <-ctx.Done():
			}
		})
	}
	now := 0                   // the newest that has spoken
	spoke := func(n int) int { // ends the one before it
		if n > now && cancel[now] != nil {
			cancel[now]()
		}
		return max(n, now)
	}
	begin(f.address, f.known)
	for {
		select {
		case <-ctx.Done():
			for _, c := range cancel {
				c()
			}
			return
		case address := <-f.moved:
			// Danger: a watch may have told its list and not be heard here yet. Taken for one that has not spoken it would end,
			// and so would the one before it, which is no longer the newest: nobody would follow.
			now = spoke(f.spoken())
			if number != now && cancel[number] != nil { // hasn't spoken, and never need
				cancel[number]()
			}
			begin(address, -1)
		case n := <-speaks:
			now = spoke(n)
		case n := <-over:
			cancel[n]()
			delete(cancel, n)
		}
	}
}

// watch is what goes on at one address.
type watch struct {
	*Follower
	number int
	base   string
	at     int64 // version that the list is told of; below 0: none
	client *http.Client
	speaks chan<- int
	silent bool // the last calls failed or were not answered in time
}

// call is one request for the list, and how far its answer has come.
type call struct {
	url    string
	begins time.Duration // limit until the answer begins
	stalls time.Duration // limit without a byte of an answer that has begun; 0: none, for other calls go out beside it
	ends   time.Duration // limit until the last byte

	// Of a call for the whole list that others go out beside.
	stays bool // it makes no room for others
	sent  time.Time
	end   context.CancelFunc
	list  engine.List
	err   error

	last     atomic.Int64 // when the last byte came, in ns from sent on; 0: none has
	complete atomic.Bool  // all bytes have come, and the list is being decoded
}

// arriving tells whether the answer has begun and goes on: a byte came within this span, or it is being decoded.
func (c *call) arriving(span time.Duration) bool {
	last := time.Duration(c.last.Load())
	return c.complete.Load() || last > 0 && time.Since(c.sent)-last < span
}

// progress notes that bytes have come.
func (c *call) progress() { c.last.Store(max(1, int64(time.Since(c.sent)))) }

// progressReader says each time that bytes have come.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

// run follows until ctx ends: the whole list first and after a failure, then watches. Each goes out as soon as the
// answer before has come. Danger: where a call costs the service something, whole lists for all marshals cost most of
// it; so there a watch follows on what is held, also after a failure, and the first call, as each after one that was refused or
// after two that failed, waits until the module asks.
func (f *watch) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	if f.asks && f.at >= 0 { // with a list in hand; else it is asked for at once
		f.turn(ctx)
	}
	for ctx.Err() == nil {
		list, err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errOverdue) && f.hasten > 0:
			f.at = -1 // at once, for the agent may be back
			continue
		case err != nil:
			f.warnSilent(err)
			if !f.asks {
				f.at = -1
			}
			if f.asks && (f.silent || errors.Is(err, errRefused)) {
				f.told(engine.List{How: decision.ListRefused})
				f.turn(ctx)
			} else {
				sleep(ctx, f.pause)
			}
			f.silent = true
			continue
		case f.silent:
			f.silent = false
			f.log.WithFields(logrus.Fields{"index": list.Stamp, "nodes": len(list.Entries)}).
				Info("discovery answers again")
		}
		if !f.tell(ctx, list) {
			return
		}
		f.at = list.Stamp
		select {
		case <-f.lookup:
			f.at = -1
		default:
		}
	}
}

// next is what the next call brings: changes of the list that is held, else the whole list.
func (f *watch) next(ctx context.Context) (engine.List, error) {
	if f.at >= 0 {
		begins := f.wait + cmp.Or(f.hasten, f.answer)
		return f.get(ctx, &call{url: fmt.Sprintf("%s?since=%d&timeout_ms=%d", f.base, f.at, f.wait.Milliseconds()),
			begins: begins, stalls: f.rest, ends: begins + f.patience})
	}
	if f.hasten == 0 {
		return f.get(ctx, &call{url: f.base, begins: f.answer, stalls: f.rest, ends: f.answer + f.patience})
	}
	return f.whole(ctx)
}

// whole asks for the whole list, and again beside the calls that are not answered, until one is or the first fails.
// An agent that is down for a while answers none of the calls that it took meanwhile, and what it holds from
// its first moment back counts as told. Asked once a second, hundreds of marshals sent new hits to nodes that had begun
// to drain during the outage, up to a second past the grace.
//
// The agent may also be slow. So once a second a call goes out that stays open for patience, while the others are given up
// earlier and the oldest of them makes room; a call that is overdue ends alone. And while an answer arrives or is decoded,
// no further call goes out: a huge list takes a slow machine longer than hasten, and asked for again and again beside it
// none would be complete in time. An answer that stays a part holds the calls up for rest.
//
// All calls go out after the list told last, so none brings an older one; of their answers only the first counts.
func (f *watch) whole(ctx context.Context) (engine.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan *call)
	again := time.NewTicker(f.hasten)
	defer again.Stop()
	stayed := time.Time{}         // when the newest call went out that stays open
	for open := []*call(nil); ; { // the oldest first
		c := f.wholeCall(stayed)
		if c.stays {
			stayed = c.sent
		}
		open = append(makeRoom(open), c)
		var of context.Context
		of, c.end = context.WithCancel(ctx)
		go func() {
			defer c.end()
			c.list, c.err = f.get(of, c)
			select {
			case answered <- c:
			case <-ctx.Done():
			}
		}()
		for waits := true; waits; {
			select {
			case c := <-answered:
				at := slices.Index(open, c)
				switch {
				case c.err == nil:
					return c.list, nil
				case at < 0: // it has made room
				case errors.Is(c.err, errOverdue):
					open = slices.Delete(open, at, at+1)
				default:
					return engine.List{}, c.err
				}
			case <-again.C:
				waits = slices.ContainsFunc(open, func(c *call) bool { return c.arriving(f.rest) })
			case <-ctx.Done():
				return engine.List{}, ctx.Err()
			}
		}
	}
}

// wholeCall is the next call for the whole list; the newest that stays open went out at stayed. When the next of these is
// due, the agent has been silent long enough to say so.
func (f *watch) wholeCall(stayed time.Time) *call {
	lasts := max(f.answer, f.patience)
	c := &call{url: f.base, begins: f.answer, ends: lasts, sent: time.Now()}
	if stayed.IsZero() || c.sent.Sub(stayed) >= lasts/staying {
		c.stays, c.begins = true, lasts
	}
	if c.stays && !stayed.IsZero() {
		f.warnSilent(errOverdue)
		f.silent = true
	}
	return c
}

// makeRoom ends the oldest call that doesn't stay open if there are as many as may be.
func makeRoom(open []*call) []*call {
	if len(open) < beside {
		return open
	}
	oldest := max(0, slices.IndexFunc(open, func(c *call) bool { return !c.stays }))
	open[oldest].end()
	return slices.Delete(open, oldest, oldest+1)
}

func (f *watch) warnSilent(err error) {
	if f.causes.New("silent") {
		f.log.WithError(err).Warn("discovery silent or unreadable")
	}
}

// turn waits until the module has the next call go out.
func (f *watch) turn(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.again:
	}
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// tell hands a list on unless a newer watch has done so before. Danger: told by both, an older list would come after
// a newer one.
func (f *watch) tell(ctx context.Context, list engine.List) bool {
	f.mu.Lock()
	first := f.spoke < f.number
	f.spoke = max(f.spoke, f.number)
	newest := f.spoke == f.number
	if newest && (f.asks || list.How == decision.Whole || len(list.Entries) > 0) { // one without entries: the call was taken
		f.told(list)
		f.once.Do(func() { close(f.heard) })
	}
	f.mu.Unlock()
	if first {
		select {
		case f.speaks <- f.number:
		case <-ctx.Done():
		}
	}
	return newest
}

// spoken is the number of the newest watch that was told something.
func (f *Follower) spoken() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spoke
}

// get makes a call and keeps its limits; errOverdue says that it broke one.
func (f *watch) get(ctx context.Context, c *call) (engine.List, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.ends, errOverdue)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	overdue := time.AfterFunc(c.begins, func() { end(errOverdue) })
	defer overdue.Stop()
	list, err := f.fetch(ctx, c, overdue)
	if err != nil && errors.Is(context.Cause(ctx), errOverdue) {
		err = errOverdue
	}
	return list, err
}

// fetch makes a call. It sets overdue, which ends it, anew each time that bytes of the answer come.
func (f *watch) fetch(ctx context.Context, c *call, overdue *time.Timer) (engine.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return engine.List{}, err
	}
	f.calls.Add(1)
	res, err := f.client.Do(req)
	if err != nil {
		return engine.List{}, err
	}
	defer res.Body.Close()
	// Without the limit of stalls, an answer that stays a part would hold up the next call for as long as a whole watch.
	progress := func() {
		c.progress()
		if c.stalls > 0 {
			overdue.Reset(c.stalls)
		}
	}
	overdue.Stop()
	progress()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return engine.List{}, fmt.Errorf("list: status %d: %w", res.StatusCode, errRefused)
	default:
		return engine.List{}, fmt.Errorf("list: status %d", res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(progressReader{res.Body, progress}, longest))
	if err != nil {
		return engine.List{}, fmt.Errorf("list: %w", err)
	}
	c.complete.Store(true)
	return f.decode(raw)
}
