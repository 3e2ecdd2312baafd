package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/logging"
	"ottershed/internal/settings"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	watchTimeout    = 2 * time.Second        // of a watch; short, for a call may hang while discovery is down
	responseTimeout = time.Second            // for an answer that is due, where the agent has the list
	queueFraction   = 4                      // part of the time in which a marshal must ask: for an answer that waits its turn
	retryDelay      = 50 * time.Millisecond  // after a failure; the next call must come within 200 ms
	stallTimeout    = 200 * time.Millisecond // without a byte of an answer that has begun: it stands ready at the agent
	hedgeFraction   = 4                      // part of the grace for drains: between calls to an agent that is silent
	watchFraction   = 2                      // part of it: of a watch on pushed lists, see New
	minGrace        = 50 * time.Millisecond  // by which time limits are longer on sockets: a grace of nothing, or none, counts as this
	maxOpenCalls    = 16                     // calls that are open at once, half of the descriptors that are kept for such
	longCalls       = 4                      // of them, those that may stay open for all of patience
	maxSnapshot     = 1 << 20                // bytes of a list
)

// patience is how long a call for the whole list may take until its last byte, and the answer to a watch from its first
// byte to its last. It is for an agent that answers late or slowly, whose list is never heard if each call is given up
// before its answer has come. By the operators' page a change counts as told 6 s after discovery had it and could be
// reached, and a new process goes by its configuration's list after 5 s (unheard in cmd/balancer); this is below both.
const snapshotTimeout = 4 * time.Second

// errOverdue ends a call that is not answered in time.
var errTimeout = errors.New("no answer in time")

// errRefused is the answer of a service that has too many calls.
var errRejected = errors.New("refused")

// Follower keeps a watch on the list and hands on what it is told.
type Watcher struct {
	address      string // at the start
	knownVersion int64  // version of the list held at the start; below 0: none
	polls        bool   // calls are taken by a service with a queue, and may be refused
	handle       func(engine.EndpointUpdate)
	log          logrus.FieldLogger
	causes       logging.Limiter
	resolve      chan struct{}
	resume       chan struct{} // a refused call may go out again
	moved        chan string
	calls        atomic.Int64 // that went out

	mu          sync.Mutex
	newestWatch int // number of the newest watch that was told something

	watchTimeout, responseTimeout, stallTimeout, snapshotTimeout, retryDelay time.Duration
	hedgeAfter                                                               time.Duration // a call that is not answered by then gets another beside it; 0: none does
	decode                                                                   func([]byte) (engine.EndpointUpdate, error)
	received                                                                 chan struct{} // closed as soon as a list has been told
	once                                                                     sync.Once
}

// New makes a follower of the list at address; known is the list that is held, if any.
func New(address string, known *engine.EndpointUpdate, n settings.Network, handle func(engine.EndpointUpdate), log logrus.FieldLogger) *Watcher {
	f := &Watcher{
		address: address, knownVersion: -1, polls: n.PollEndpoints, handle: handle, log: log, resolve: make(chan struct{}, 1),
		resume: make(chan struct{}, 1), moved: make(chan string), received: make(chan struct{}), watchTimeout: watchTimeout, responseTimeout: responseTimeout,
		stallTimeout: stallTimeout, snapshotTimeout: snapshotTimeout, retryDelay: retryDelay, decode: Decode,
	}
	// Danger: a call given up while it waits its turn is carried out all the same. Where all marshals gave theirs up,
	// the service would work for nobody.
	if f.polls {
		f.responseTimeout = max(f.responseTimeout, clock.Duration(n.PollWithin)/queueFraction)
	}
	if f.polls && known != nil {
		f.knownVersion = known.Version
	}
	// Danger: a watch that was open when the agent fell silent may never be answered, and what the agent holds as soon as it
	// is back counts as told. So a pushed list is watched in calls of half the grace, each due soon after: however short
	// the silence, its end is heard within the grace.
	if !f.polls {
		grace := cmp.Or(clock.Duration(n.DrainGrace), minGrace)
		f.hedgeAfter = min(grace/hedgeFraction, f.responseTimeout)
		f.watchTimeout = min(f.watchTimeout, grace/watchFraction)
		f.retryDelay = min(f.retryDelay, f.hedgeAfter)
	}
	return f
}

// Heard is closed as soon as a list has been told.
func (f *Watcher) Received() <-chan struct{} { return f.received }

// Calls is how many calls for the list went out since the start.
func (f *Watcher) Calls() int64 { return f.calls.Load() }

// Lookup asks for the whole list again.
func (f *Watcher) Resolve() {
	select {
	case f.resolve <- struct{}{}:
	default:
	}
}

// Watch says that a call that was refused may go out again.
func (f *Watcher) ResumeWatch() {
	select {
	case f.resume <- struct{}{}:
	default:
	}
}

// Move says that the list is at another address from now on.
func (f *Watcher) SetAddress(ctx context.Context, address string) {
	select {
	case f.moved <- address:
	case <-ctx.Done():
	}
}

// Run follows until ctx ends. Danger: the next agent's numbers need not be those of the one before, and a new one may
// be slow to answer; so there a new watch begins with the whole list, and the old one goes on until that has come.
func (f *Watcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	number, cancel := 0, map[int]context.CancelFunc{} // watches that go on; those that are over empty it
	over, speaks := make(chan int), make(chan int)
	begin := func(address string, known int64) {
		number++
		w := &watch{
			Watcher: f, number: number, version: known, url: "http://" + address + "/discovery/hosts", updates: speaks,
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		}
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
	begin(f.address, f.knownVersion)
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
			now = spoke(f.newestWatchSeen())
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
	*Watcher
	number      int
	url         string
	version     int64 // version that the list is told of; below 0: none
	client      *http.Client
	updates     chan<- int
	unavailable bool // the last calls failed or were not answered in time
}

// call is one request for the list, and how far its answer has come.
type call struct {
	url              string
	firstByteTimeout time.Duration // limit until the answer begins
	stallTimeout     time.Duration // limit without a byte of an answer that has begun; 0: none, for other calls go out beside it
	timeout          time.Duration // limit until the last byte

	// Of a call for the whole list that others go out beside.
	longLived bool // it makes no room for others
	sentAt    time.Time
	cancel    context.CancelFunc
	update    engine.EndpointUpdate
	err       error

	lastByteAt atomic.Int64 // when the last byte came, in ns from sent on; 0: none has
	complete   atomic.Bool  // all bytes have come, and the list is being decoded
}

// arriving tells whether the answer has begun and goes on: a byte came within this span, or it is being decoded.
func (c *call) arriving(span time.Duration) bool {
	last := time.Duration(c.lastByteAt.Load())
	return c.complete.Load() || last > 0 && time.Since(c.sentAt)-last < span
}

// progress notes that bytes have come.
func (c *call) progress() { c.lastByteAt.Store(max(1, int64(time.Since(c.sentAt)))) }

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
	if f.polls && f.version >= 0 { // with a list in hand; else it is asked for at once
		f.awaitResume(ctx)
	}
	for ctx.Err() == nil {
		list, err := f.next(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errTimeout) && f.hedgeAfter > 0:
			f.version = -1 // at once, for the agent may be back
			continue
		case err != nil:
			f.warnUnavailable(err)
			if !f.polls {
				f.version = -1
			}
			if f.polls && (f.unavailable || errors.Is(err, errRejected)) {
				f.handle(engine.EndpointUpdate{Kind: decision.PollRejected})
				f.awaitResume(ctx)
			} else {
				sleep(ctx, f.retryDelay)
			}
			f.unavailable = true
			continue
		case f.unavailable:
			f.unavailable = false
			f.log.WithFields(logrus.Fields{"index": list.Version, "nodes": len(list.Endpoints)}).
				Info("discovery answers again")
		}
		if !f.deliver(ctx, list) {
			return
		}
		f.version = list.Version
		select {
		case <-f.resolve:
			f.version = -1
		default:
		}
	}
}

// next is what the next call brings: changes of the list that is held, else the whole list.
func (f *watch) next(ctx context.Context) (engine.EndpointUpdate, error) {
	if f.version >= 0 {
		begins := f.watchTimeout + cmp.Or(f.hedgeAfter, f.responseTimeout)
		return f.get(ctx, &call{
			url:              fmt.Sprintf("%s?since=%d&timeout_ms=%d", f.url, f.version, f.watchTimeout.Milliseconds()),
			firstByteTimeout: begins, stallTimeout: f.stallTimeout, timeout: begins + f.snapshotTimeout,
		})
	}
	if f.hedgeAfter == 0 {
		return f.get(ctx, &call{url: f.url, firstByteTimeout: f.responseTimeout, stallTimeout: f.stallTimeout, timeout: f.responseTimeout + f.snapshotTimeout})
	}
	return f.snapshot(ctx)
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
func (f *watch) snapshot(ctx context.Context) (engine.EndpointUpdate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan *call)
	again := time.NewTicker(f.hedgeAfter)
	defer again.Stop()
	stayed := time.Time{}         // when the newest call went out that stays open
	for open := []*call(nil); ; { // the oldest first
		c := f.snapshotCall(stayed)
		if c.longLived {
			stayed = c.sentAt
		}
		open = append(evictOldest(open), c)
		var of context.Context
		of, c.cancel = context.WithCancel(ctx)
		go func() {
			defer c.cancel()
			c.update, c.err = f.get(of, c)
			select {
			case done <- c:
			case <-ctx.Done():
			}
		}()
		for waits := true; waits; {
			select {
			case c := <-done:
				at := slices.Index(open, c)
				switch {
				case c.err == nil:
					return c.update, nil
				case at < 0: // it has made room
				case errors.Is(c.err, errTimeout):
					open = slices.Delete(open, at, at+1)
				default:
					return engine.EndpointUpdate{}, c.err
				}
			case <-again.C:
				waits = slices.ContainsFunc(open, func(c *call) bool { return c.arriving(f.stallTimeout) })
			case <-ctx.Done():
				return engine.EndpointUpdate{}, ctx.Err()
			}
		}
	}
}

// wholeCall is the next call for the whole list; the newest that stays open went out at stayed. When the next of these is
// due, the agent has been silent long enough to say so.
func (f *watch) snapshotCall(stayed time.Time) *call {
	lasts := max(f.responseTimeout, f.snapshotTimeout)
	c := &call{url: f.url, firstByteTimeout: f.responseTimeout, timeout: lasts, sentAt: time.Now()}
	if stayed.IsZero() || c.sentAt.Sub(stayed) >= lasts/longCalls {
		c.longLived, c.firstByteTimeout = true, lasts
	}
	if c.longLived && !stayed.IsZero() {
		f.warnUnavailable(errTimeout)
		f.unavailable = true
	}
	return c
}

// makeRoom ends the oldest call that doesn't stay open if there are as many as may be.
func evictOldest(open []*call) []*call {
	if len(open) < maxOpenCalls {
		return open
	}
	oldest := max(0, slices.IndexFunc(open, func(c *call) bool { return !c.longLived }))
	open[oldest].cancel()
	return slices.Delete(open, oldest, oldest+1)
}

func (f *watch) warnUnavailable(err error) {
	if f.causes.Allow("silent") {
		f.log.WithError(err).Warn("discovery silent or unreadable")
	}
}

// turn waits until the module has the next call go out.
func (f *watch) awaitResume(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.resume:
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
func (f *watch) deliver(ctx context.Context, list engine.EndpointUpdate) bool {
	f.mu.Lock()
	first := f.newestWatch < f.number
	f.newestWatch = max(f.newestWatch, f.number)
	newest := f.newestWatch == f.number
	if newest && (f.polls || list.Kind == decision.FullSnapshot || len(list.Endpoints) > 0) { // one without entries: the call was taken
		f.handle(list)
		f.once.Do(func() { close(f.received) })
	}
	f.mu.Unlock()
	if first {
		select {
		case f.updates <- f.number:
		case <-ctx.Done():
		}
	}
	return newest
}

// spoken is the number of the newest watch that was told something.
func (f *Watcher) newestWatchSeen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestWatch
}

// get makes a call and keeps its limits; errOverdue says that it broke one.
func (f *watch) get(ctx context.Context, c *call) (engine.EndpointUpdate, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.timeout, errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	overdue := time.AfterFunc(c.firstByteTimeout, func() { end(errTimeout) })
	defer overdue.Stop()
	list, err := f.fetch(ctx, c, overdue)
	if err != nil && errors.Is(context.Cause(ctx), errTimeout) {
		err = errTimeout
	}
	return list, err
}

// fetch makes a call. It sets overdue, which ends it, anew each time that bytes of the answer come.
func (f *watch) fetch(ctx context.Context, c *call, overdue *time.Timer) (engine.EndpointUpdate, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	f.calls.Add(1)
	res, err := f.client.Do(req)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	defer res.Body.Close()
	// Without the limit of stalls, an answer that stays a part would hold up the next call for as long as a whole watch.
	progress := func() {
		c.progress()
		if c.stallTimeout > 0 {
			overdue.Reset(c.stallTimeout)
		}
	}
	overdue.Stop()
	progress()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return engine.EndpointUpdate{}, fmt.Errorf("list: status %d: %w", res.StatusCode, errRejected)
	default:
		return engine.EndpointUpdate{}, fmt.Errorf("list: status %d", res.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(progressReader{res.Body, progress}, maxSnapshot))
	if err != nil {
		return engine.EndpointUpdate{}, fmt.Errorf("list: %w", err)
	}
	c.complete.Store(true)
	return f.decode(raw)
}
