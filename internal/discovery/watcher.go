package discovery

import (
	"cmp"
	"context"
	"net/http"
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

// MaxNotificationDelay is the time after which the operators count a change of the list as notified, from the moment that
// discovery has it and can be reached, whatever became of earlier calls.
const MaxNotificationDelay = 6 * time.Second

// Default time limits and delays of calls; see the fields of timing that have the same names.
const (
	watchTimeout    = 2 * time.Second // short, since calls get no response while the agent is down
	responseTimeout = time.Second
	snapshotTimeout = 4 * time.Second
	stallTimeout    = 200 * time.Millisecond // the agent has a response ready as a whole
	retryDelay      = 50 * time.Millisecond  // the agent ends a watch without another call within 200 ms
)

// Values from which newTiming derives time limits.
const (
	// queueFraction: the response timeout of a polled service is at least this fraction (1/4) of MaxPollInterval.
	queueFraction = 4
	// hedgeFraction: the interval between hedged calls is this fraction (1/4) of the drain grace.
	hedgeFraction = 4
	// watchFraction: the watch timeout of a pushed list is at most this fraction (1/2) of the drain grace.
	watchFraction = 2
	// minGrace replaces a drain grace of 0.
	minGrace = 50 * time.Millisecond
)

const noVersion = -1 // no list is known, or the next call must request a full snapshot

// timing holds the time limits and delays of calls.
type timing struct {
	// watchTimeout is how long the service may keep a watch open without a change. A higher value means fewer calls and
	// a longer time until a lost watch is noticed. Default 2 s, for a pushed list at most half of the drain grace. For a
	// polled service it ends PollResponseTime before hedgeAfter, so that only a late response is hedged.
	watchTimeout time.Duration
	// responseTimeout limits the wait for the first byte of a response that is due. Default 1 s, for a polled service at
	// least a quarter of the time within which an instance must poll; a call to it stays open beyond that.
	responseTimeout time.Duration
	// stallTimeout limits the wait for the next byte of a response that has started. Default 200 ms; 0 for a polled
	// service, which is called again after hedgeAfter whether bytes arrive or not.
	stallTimeout time.Duration
	// snapshotTimeout limits a full snapshot call until its last byte, and the response to a watch from its first
	// byte to its last. The list of an agent that responds late or slowly would never arrive if each call ended
	// earlier. The limit is below two others: the operators count a change as notified 6 s after discovery had it and
	// was reachable, and a new process uses the list of its configuration after 5 s (cmd/balancer). Default 4 s.
	snapshotTimeout time.Duration
	// retryDelay is the delay after a failed call. Default 50 ms, for a pushed list at most hedgeAfter.
	retryDelay time.Duration
	// hedgeAfter is the interval at which further calls are sent while none has a response: for a pushed list full
	// snapshot calls, a quarter of the drain grace apart, at most responseTimeout; for a polled service any calls, so far
	// apart that the response to the next one can arrive within MaxNotificationDelay of the one before.
	hedgeAfter time.Duration
}

// newTiming derives the time limits from the settings.
func newTiming(network settings.Network) timing {
	limits := timing{
		watchTimeout: watchTimeout, responseTimeout: responseTimeout, stallTimeout: stallTimeout,
		snapshotTimeout: snapshotTimeout, retryDelay: retryDelay,
	}
	if network.PollEndpoints {
		// The service processes a queued call even after the caller has canceled it. If all instances canceled early, all
		// of its work would be wasted.
		limits.responseTimeout = max(limits.responseTimeout, clock.Duration(network.MaxPollInterval)/queueFraction)
		pollResponseTime := clock.Duration(decision.PollResponseTime)
		limits.hedgeAfter = MaxNotificationDelay - pollResponseTime
		limits.watchTimeout = min(limits.watchTimeout, limits.hedgeAfter-pollResponseTime)
		limits.stallTimeout = 0
		return limits
	}
	// A watch that was open when the agent failed may never get a response, and changes count as notified as soon as the
	// agent is back. So a watch of a pushed list lasts half of the grace at most, and further calls follow soon if a
	// response is late. The end of an outage, however short, is then noticed within the grace.
	grace := cmp.Or(clock.Duration(network.DrainGrace), minGrace)
	limits.hedgeAfter = min(grace/hedgeFraction, limits.responseTimeout)
	limits.watchTimeout = min(limits.watchTimeout, grace/watchFraction)
	limits.retryDelay = min(limits.retryDelay, limits.hedgeAfter)
	return limits
}

// Watcher follows the endpoint list and passes each update to a handler. Its methods may be called from any goroutine.
type Watcher struct {
	timing
	delivery
	commands

	address      string // host:port of the first watch
	knownVersion int64  // version of the list that is known at the start; noVersion: none
	polls        bool   // the list is polled: the service has a queue and may reject calls (settings.Network.PollEndpoints)
	decode       func([]byte) (engine.EndpointUpdate, error)
	transport    func() http.RoundTripper // creates the connections of a watch
	log          logrus.FieldLogger
	causes       logging.Limiter // limits log lines about failed calls, by cause
	calls        atomic.Int64    // number of calls sent since the start
}

// commands passes commands of other goroutines to the running watches.
type commands struct {
	snapshotRequests chan struct{} // the next call must request a full snapshot; buffer of 1
	resumption       *resumption   // see ResumeWatch
	newAddress       chan string   // host:port from which the list is to be fetched from now on
}

// New creates a Watcher of the list at address (host:port). known is a list that is known already, nil for none. Only a
// polled service is asked for the changes since that list; from an agent, a full snapshot is fetched. handle is called
// with one list at a time, but a PollRejected may be passed concurrently while two watches run.
func New(
	address string, known *engine.EndpointUpdate, network settings.Network, handle func(engine.EndpointUpdate),
	log logrus.FieldLogger,
) *Watcher {
	watcher := &Watcher{
		timing:   newTiming(network),
		delivery: delivery{deliverEmpty: network.PollEndpoints, handle: handle, received: make(chan struct{})},
		commands: commands{
			snapshotRequests: make(chan struct{}, 1), resumption: newResumption(), newAddress: make(chan string),
		},
		address: address, knownVersion: noVersion, polls: network.PollEndpoints, decode: Decode,
		transport: newTransport, log: log,
	}
	if watcher.polls && known != nil {
		watcher.knownVersion = known.Version
	}
	return watcher
}

// newTransport returns the transport of one watch, which has at most one idle connection.
func newTransport() http.RoundTripper {
	return &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
}

// FirstListReceived returns a channel that is closed once the first update of a list was passed to the handler. A
// PollRejected does not count.
func (w *Watcher) FirstListReceived() <-chan struct{} { return w.received }

// Calls returns the number of calls sent since the start.
func (w *Watcher) Calls() int64 { return w.calls.Load() }

// RequestSnapshot makes the next call request a full snapshot.
func (w *Watcher) RequestSnapshot() { signal(w.snapshotRequests) }

// ResumeWatch allows the next call to a polled service, which waits for it after a rejection, after a repeated failure
// and at the start with a known list. After a change of address it allows one to either service.
func (w *Watcher) ResumeWatch() { w.resumption.resume() }

// signal sends to a channel with a buffer of 1, without blocking. A signal that is pending already is not duplicated.
func signal(pending chan<- struct{}) {
	select {
	case pending <- struct{}{}:
	default:
	}
}

// SetAddress switches to the list at another address (host:port). It blocks until Run has received the address or ctx
// ends.
func (w *Watcher) SetAddress(ctx context.Context, address string) {
	select {
	case w.newAddress <- address:
	case <-ctx.Done():
	}
}

// Run follows the list until ctx ends. After a change of address, the new agent's versions may be unrelated to those of
// the previous one, and the new agent may be slow to respond. So the new watch starts with a full snapshot, and the old
// watch continues until that snapshot was delivered.
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
		case address := <-w.newAddress:
			watches.switchAddress(ctx, address)
		case number := <-watches.delivered:
			watches.promote(number)
		case number := <-watches.ended:
			watches.remove(number)
		}
	}
}

// watchSet holds the running watches: one, and after a change of address also older ones until the newest has
// delivered. It is used only by the goroutine of Run.
type watchSet struct {
	watcher   *Watcher
	newest    int                        // number of the watch started last, from 1
	current   int                        // number of the newest watch that has delivered; 0: none
	cancel    map[int]context.CancelFunc // cancel functions of the running watches, by number
	ended     chan int                   // numbers of watches that have returned
	delivered chan int                   // numbers of watches that have delivered their first update
	running   sync.WaitGroup
}

// start starts a watch at this address. version is the version of the list that is known from there, or noVersion.
func (s *watchSet) start(ctx context.Context, address string, version int64) {
	s.newest++
	next := &watch{
		Watcher: s.watcher, number: s.newest, version: version, url: "http://" + address + "/discovery/hosts",
		delivered: s.delivered,
		client:    &http.Client{Transport: s.watcher.transport()},
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

// switchAddress starts a watch at another address. It stops the newest watch if that has not delivered, since its list
// is not needed any more.
func (s *watchSet) switchAddress(ctx context.Context, address string) {
	// A watch may have delivered its list before its number was received here. Without this check the watch would be
	// stopped here, and the previous watch would stop as superseded: no watch would be left.
	s.promote(s.watcher.newestDelivered())
	if s.newest != s.current {
		s.stop(s.newest)
	}
	s.start(ctx, address, noVersion)
}

// promote makes a watch that has delivered the current one and stops the previous one.
func (s *watchSet) promote(number int) {
	if number <= s.current {
		return
	}
	s.stop(s.current)
	s.current = number
}

// stop cancels a watch if it is running.
func (s *watchSet) stop(number int) {
	if cancel := s.cancel[number]; cancel != nil {
		cancel()
	}
}

// remove releases the context of a watch that has returned and removes the watch.
func (s *watchSet) remove(number int) {
	s.cancel[number]()
	delete(s.cancel, number)
}

// cancelAll cancels all running watches.
func (s *watchSet) cancelAll() {
	for _, cancel := range s.cancel {
		cancel()
	}
}
