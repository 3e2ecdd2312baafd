package discovery

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/logging"
	"ottershed/internal/settings"
)

const (
	watchTimeout    = 2 * time.Second        // of a watch; short, since a call may hang while the agent is down
	responseTimeout = time.Second            // until a response begins that the agent has at hand
	snapshotTimeout = 4 * time.Second        // see timing.snapshotTimeout
	stallTimeout    = 200 * time.Millisecond // without a byte of a response that has begun: all of it is at hand
	retryDelay      = 50 * time.Millisecond  // after a failure; the next call must come within 200 ms

	queueFraction = 4                     // part of the time in which an instance must poll: for a queued call
	hedgeFraction = 4                     // part of the grace for drains: between calls without a response
	watchFraction = 2                     // part of the grace for drains: a watch on pushed lists, see newTiming
	minGrace      = 50 * time.Millisecond // in place of a grace for drains of 0
)

const noVersion = -1 // no list is known, or the next one must be a full snapshot

// timing holds the time limits and delays of calls.
type timing struct {
	// watchTimeout is how long the service may keep a watch open without a change. Higher means fewer calls, and a
	// longer wait until the loss of a watch is noticed. Default 2 s, and for a pushed list at most half the grace for
	// drains.
	watchTimeout time.Duration
	// responseTimeout limits the wait for the first byte of a response that is due. Default 1 s, and for a polled
	// service at least a quarter of the time in which an instance must poll.
	responseTimeout time.Duration
	// stallTimeout limits the wait for the next byte of a response that has begun. Default 200 ms.
	stallTimeout time.Duration
	// snapshotTimeout limits a full snapshot call until its last byte, and the response to a watch from its first
	// byte to its last. It serves an agent that responds late or slowly, whose list would never arrive if each call
	// were given up before. The operators count a change as notified 6 s after discovery had it and could be reached,
	// and a new process routes by its configuration's list after 5 s (cmd/balancer); this is below both. Default 4 s.
	snapshotTimeout time.Duration
	// retryDelay is the wait after a failed call. Default 50 ms, and for a pushed list at most hedgeAfter.
	retryDelay time.Duration
	// hedgeAfter is when a full snapshot call without a response gets another beside it; 0: none does. It is 0 for a
	// polled service, and a quarter of the grace for drains for a pushed list, at most responseTimeout.
	hedgeAfter time.Duration
}

// newTiming derives the time limits from the settings of the deployment.
func newTiming(network settings.Network) timing {
	limits := timing{
		watchTimeout: watchTimeout, responseTimeout: responseTimeout, stallTimeout: stallTimeout,
		snapshotTimeout: snapshotTimeout, retryDelay: retryDelay,
	}
	if network.PollEndpoints {
		// The service carries out a queued call even if the caller has given it up. If all instances gave theirs up,
		// it would work for nobody.
		limits.responseTimeout = max(limits.responseTimeout, clock.Duration(network.PollWithin)/queueFraction)
		return limits
	}
	// A watch that was open when the agent failed may never be answered, and what the agent holds as soon as it is
	// back counts as notified. So a pushed list is watched in calls of half the grace, and a late response is
	// followed by another call soon: however short the outage, its end is noticed within the grace.
	grace := cmp.Or(clock.Duration(network.DrainGrace), minGrace)
	limits.hedgeAfter = min(grace/hedgeFraction, limits.responseTimeout)
	limits.watchTimeout = min(limits.watchTimeout, grace/watchFraction)
	limits.retryDelay = min(limits.retryDelay, limits.hedgeAfter)
	return limits
}

// Watcher follows the endpoint list and hands on each update. Its methods may be called from any goroutine.
type Watcher struct {
	timing
	delivery
	commands

	address      string // host:port at the start
	knownVersion int64  // version of the list that is known at the start; noVersion: none
	polls        bool   // calls go to a service with a queue, which may reject them
	decode       func([]byte) (engine.EndpointUpdate, error)
	log          logrus.FieldLogger
	causes       logging.Limiter
	calls        atomic.Int64 // sent since the start
}

// commands carries what other goroutines ask of the running watches.
type commands struct {
	resolve chan struct{} // the next call is for a full snapshot; one place
	resume  chan struct{} // a rejected call may go out again; one place
	moved   chan string   // the new address
}

// New makes a Watcher of the list at address (host:port). known is the list that is held already, nil for none; only a
// polled service is asked for changes since it. handle gets the lists one at a time; a PollRejected may come beside them
// while two watches run.
func New(
	address string, known *engine.EndpointUpdate, network settings.Network, handle func(engine.EndpointUpdate),
	log logrus.FieldLogger,
) *Watcher {
	watcher := &Watcher{
		timing:   newTiming(network),
		delivery: delivery{emptyToo: network.PollEndpoints, handle: handle, received: make(chan struct{})},
		commands: commands{
			resolve: make(chan struct{}, 1), resume: make(chan struct{}, 1), moved: make(chan string),
		},
		address: address, knownVersion: noVersion, polls: network.PollEndpoints, decode: Decode, log: log,
	}
	if watcher.polls && known != nil {
		watcher.knownVersion = known.Version
	}
	return watcher
}

// Received is closed as soon as a list has been handed on.
func (w *Watcher) Received() <-chan struct{} { return w.received }

// Calls is the number of calls for the list since the start.
func (w *Watcher) Calls() int64 { return w.calls.Load() }

// Resolve makes the next call one for a full snapshot.
func (w *Watcher) Resolve() { signal(w.resolve) }

// ResumeWatch says that a call that was rejected may go out again.
func (w *Watcher) ResumeWatch() { signal(w.resume) }

// signal sets a flag that one receiver takes; a flag that is set already stays.
func signal(flag chan<- struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// SetAddress says that the list is at another address (host:port) from now on. It waits until Run has taken it.
func (w *Watcher) SetAddress(ctx context.Context, address string) {
	select {
	case w.moved <- address:
	case <-ctx.Done():
	}
}

// Run follows the list until ctx ends. After a change of address the versions of the next agent need not continue
// those of the one before, and it may be slow to respond; so the new watch begins with a full snapshot, and the old
// one goes on until that has come.
func (w *Watcher) Run(ctx context.Context) {
	watches := watchSet{
		watcher: w, cancel: map[int]context.CancelFunc{}, ended: make(chan int), delivered: make(chan int),
	}
	defer watches.running.Wait()
	watches.start(ctx, w.address, w.knownVersion)
	for {
		select {
		case <-ctx.Done():
			watches.cancelAll()
			return
		case address := <-w.moved:
			watches.move(ctx, address)
		case number := <-watches.delivered:
			watches.promote(number)
		case number := <-watches.ended:
			watches.remove(number)
		}
	}
}

// watchSet is the watches that run: one, and after a change of address also those before it until the newest has
// delivered. Only Run's goroutine uses it.
type watchSet struct {
	watcher   *Watcher
	newest    int                        // number of the watch that was started last, from 1
	current   int                        // number of the newest watch that has delivered; 0: none has
	cancel    map[int]context.CancelFunc // of the watches that run, by number
	ended     chan int                   // numbers of watches that have returned
	delivered chan int                   // numbers of watches that have delivered their first update
	running   sync.WaitGroup
}

// start runs a watch at this address; version is that of the list that is known there.
func (s *watchSet) start(ctx context.Context, address string, version int64) {
	s.newest++
	next := &watch{
		Watcher: s.watcher, number: s.newest, version: version, url: "http://" + address + "/discovery/hosts",
		delivered: s.delivered,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
	watchCtx, cancel := context.WithCancel(ctx)
	s.cancel[next.number] = cancel
	s.running.Go(func() {
		next.run(watchCtx)
		select {
		case s.ended <- next.number:
		case <-ctx.Done():
		}
	})
}

// move starts a watch at another address. The newest watch ends if it has not delivered, since it never needs to.
func (s *watchSet) move(ctx context.Context, address string) {
	// A watch may have delivered its list while its number is still on its way here. If it were taken for one that
	// has not, it would end, and so would the one before it, which is no longer the newest: no watch would be left.
	s.promote(s.watcher.newestDelivered())
	if s.newest != s.current {
		s.end(s.newest)
	}
	s.start(ctx, address, noVersion)
}

// promote makes the watch that has delivered the current one and ends the one before it.
func (s *watchSet) promote(number int) {
	if number <= s.current {
		return
	}
	s.end(s.current)
	s.current = number
}

// end cancels a watch if it runs.
func (s *watchSet) end(number int) {
	if cancel := s.cancel[number]; cancel != nil {
		cancel()
	}
}

// remove forgets a watch that has returned.
func (s *watchSet) remove(number int) {
	s.cancel[number]()
	delete(s.cancel, number)
}

func (s *watchSet) cancelAll() {
	for _, cancel := range s.cancel {
		cancel()
	}
}
