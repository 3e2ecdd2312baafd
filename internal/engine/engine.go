// Package engine is the event loop that owns the decision module of an instance. One goroutine hands the module
// every event with the time and carries out the actions that it returns; everything else reaches that goroutine
// through a queue.
//
// Make an [Engine] with [New], name the parts that carry out actions with [Engine.Connect], and then call
// [Engine.Run]. The other methods may be called from any goroutine; none of them waits for the event loop but
// [Engine.Stats] and [Engine.Evidence], which wait until it has replied or their context ends.
//
//	file          concern
//	engine.go     construction, entry points, event loop
//	queue.go      the queue to the event loop, with its two priorities
//	lateness.go   log line for an event loop that is behind
//	messages.go   messages in the queue, and their handlers
//	actions.go    carrying out the module's actions
//	requests.go   open requests and their attempts
//	endpoints.go  addresses of the endpoints
//	timers.go     the module's timers
//	recovery.go   restart of the module after a panic
//	stats.go      counters
//	events.go     names of the module's events in the log
//	types.go      what goes in and out of the package
package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
)

// Engine is the event loop with its queue.
type Engine struct {
	core     *core
	clock    *clock.Clock
	lateness lateness
	queue    *queue
}

// core is the module with its surroundings. It does no I/O of its own and starts no goroutine: it takes messages in
// order with the time, and acts through the interfaces. It belongs to the event loop's goroutine.
type core struct {
	module     module
	upstream   Upstream
	controller Controller
	discovery  Discovery
	log        logrus.FieldLogger
	post       func(message) // to the queue

	requests  requestTable
	endpoints map[decision.EndpointID]Endpoint // by the endpoint list; draining ones have no address
	timers    timers
	recovery  recovery
	followUps []decision.Event // events that actions caused; the module gets them after these actions
	stats     statsCounter
}

// module is the decision module.
type module interface {
	Handle(now decision.Millis, event decision.Event) []decision.Action
}

// New makes an engine that tells the time by the clock. The seed is that of the module's random choices.
func New(s decision.Settings, seed uint64, c *clock.Clock, log logrus.FieldLogger) *Engine {
	e := &Engine{clock: c, lateness: newLateness(s.Classes, log), queue: newQueue()}
	start := func(seed uint64) module { return decision.New(s, seed) }
	e.core = newCore(start, seed, e.post, log)
	for _, class := range s.Classes {
		e.core.stats.objectives[class.Name] = class.LatencyObjective
	}
	return e
}

func newCore(start func(seed uint64) module, seed uint64, post func(message), log logrus.FieldLogger) *core {
	return &core{
		module:    start(seed),
		log:       log,
		post:      post,
		requests:  requestTable{open: map[decision.RequestID]*openRequest{}},
		endpoints: map[decision.EndpointID]Endpoint{},
		recovery:  recovery{start: start, seed: seed, restartedAt: neverRestarted},
		stats:     statsCounter{objectives: map[decision.ClassName]decision.Millis{}},
	}
}

// Connect names the parts that carry out what the module decides. It comes before Run.
func (e *Engine) Connect(upstream Upstream, controller Controller, discovery Discovery) {
	e.core.upstream = upstream
	e.core.controller = controller
	e.core.discovery = discovery
}

// ReceiveRequest hands over a request that was received completely.
func (e *Engine) ReceiveRequest(request *ClientRequest) { e.post(requestReceived{request}) }

// ClientDisconnected says that the client of a request has left.
func (e *Engine) ClientDisconnected(request *ClientRequest) { e.post(clientDisconnected{request}) }

// UpdateEndpoints hands over the endpoint list, or changes of it.
func (e *Engine) UpdateEndpoints(update EndpointUpdate) { e.post(endpointsReceived{update}) }

// HandleEvent hands over an event from the rollout controller.
func (e *Engine) HandleEvent(event decision.Event) { e.post(eventReceived{event}) }

// UpdateSettings hands over new settings of the deployment. Requests that are open stay open.
func (e *Engine) UpdateSettings(s decision.Settings) {
	e.post(eventReceived{decision.SettingsChanged{Settings: s}})
}

// AcquireEvidence hands over the evidence of an instance that has left, once.
func (e *Engine) AcquireEvidence(evidence decision.Evidence) {
	e.post(eventReceived{decision.EvidenceAcquired{Evidence: evidence}})
}

// RevokeEvidence says that another instance has acquired the evidence of this one.
func (e *Engine) RevokeEvidence() { e.post(eventReceived{decision.EvidenceRevoked{}}) }

// Evidence returns what the module has observed of the candidate; false if there is none, or if ctx ends first.
func (e *Engine) Evidence(ctx context.Context) (decision.Evidence, bool) {
	reply := make(chan *decision.Evidence, 1)
	e.post(evidenceRequested{reply})
	select {
	case evidence := <-reply:
		if evidence != nil {
			return *evidence, true
		}
	case <-ctx.Done():
	}
	return decision.Evidence{}, false
}

// Stats returns the counters and the module's status as they are now; false if ctx ends first.
func (e *Engine) Stats(ctx context.Context) (Stats, bool) {
	reply := make(chan Stats, 1)
	e.post(statsRequested{reply})
	select {
	case stats := <-reply:
		return stats, true
	case <-ctx.Done():
		return Stats{}, false
	}
}

func (e *Engine) post(msg message) { e.queue.post(msg, e.clock.Now()) }

// Run is the event loop. It ends with ctx.
func (e *Engine) Run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := e.clock.Now()
		msg, waiting := e.queue.next()
		handled := msg.message != nil
		if handled {
			e.lateness.observe(now, now-msg.queuedAt, waiting, "queue")
			e.core.handle(now, msg.message)
		}
		// Timers are checked between any two messages: a flood of requests would delay them without bound otherwise.
		at, pending := e.core.timers.next()
		if pending && at <= now {
			e.lateness.observe(now, now-at, waiting, "timer")
			e.core.fireTimers(now)
			continue
		}
		if handled {
			continue
		}
		if pending {
			wake.Reset(clock.Duration(at - now))
		}
		select {
		case <-ctx.Done():
			return
		case <-e.queue.notify:
		case <-wake.C:
		}
	}
}
