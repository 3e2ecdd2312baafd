// Package engine runs the event loop of an instance. The loop's goroutine owns the decision module: it passes each
// event with the current time to the module and carries out the actions that the module returns. All other goroutines
// send messages to the loop through a queue.
//
// Create an [Engine] with [New], set the components that carry out actions with [Engine.Connect], and then call
// [Engine.Run]. The other methods may be called from any goroutine. Only [Engine.Stats] and [Engine.Evidence] wait for
// the event loop, until it has replied or their context ends.
//
//	file          contents
//	engine.go     construction, entry points, event loop
//	queue.go      message queue of the event loop, with two priorities
//	lag.go        warning about an event loop that is behind schedule
//	messages.go   messages in the queue and their handlers
//	actions.go    execution of the module's actions
//	requests.go   open requests and their attempts
//	requestlog.go debug lines on each step of a request
//	endpoints.go  endpoints and their addresses
//	timers.go     timers of the module
//	recovery.go   restart of the module after a panic
//	stats.go      counters
//	events.go     names of events in the log
//	types.go      types and interfaces of the package's callers
package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
)

// Engine is an event loop with its message queue.
type Engine struct {
	core  *core
	clock *clock.Clock
	lag   lagMonitor
	queue *queue
}

// core handles the messages of the event loop and holds the decision module with the state around it. It does no I/O
// of its own and starts no goroutines: the caller passes the current time, and effects go through the interfaces. Only
// the event loop's goroutine may use it.
type core struct {
	module     module
	upstream   Upstream
	controller Controller
	discovery  Discovery
	log        logrus.FieldLogger
	post       func(message) // appends to the queue

	requests  requestTable
	endpoints map[decision.EndpointID]Endpoint // entries of the endpoint list; a draining endpoint has no address
	timers    timers
	recovery  recovery
	followUps []decision.Event // events caused by the current actions; passed to the module after them
	stats     statsCounter
	trace     requestLog
}

// module is the interface of the decision module.
type module interface {
	Handle(now decision.Millis, event decision.Event) []decision.Action
}

// New creates an engine that reads the time from c. The seed determines the module's random choices.
func New(s decision.Settings, seed uint64, c *clock.Clock, log logrus.FieldLogger) *Engine {
	e := &Engine{clock: c, lag: newLagMonitor(s.Classes, log), queue: newQueue()}
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
		trace:     newRequestLog(log),
		post:      post,
		requests:  requestTable{open: map[decision.RequestID]*openRequest{}},
		endpoints: map[decision.EndpointID]Endpoint{},
		recovery:  recovery{newModule: start, seed: seed, restartedAt: neverRestarted},
		stats:     statsCounter{objectives: map[decision.ClassName]decision.Millis{}},
	}
}

// Connect sets the components that carry out the module's actions. It must be called before Run.
func (e *Engine) Connect(upstream Upstream, controller Controller, discovery Discovery) {
	e.core.upstream = upstream
	e.core.controller = controller
	e.core.discovery = discovery
}

// ReceiveRequest queues a client's request whose body has been read completely.
func (e *Engine) ReceiveRequest(request *ClientRequest) { e.post(requestReceived{request}) }

// ClientDisconnected reports that the client of a request has disconnected.
func (e *Engine) ClientDisconnected(request *ClientRequest) { e.post(clientDisconnected{request}) }

// UpdateEndpoints queues a new endpoint list or a change to the current one.
func (e *Engine) UpdateEndpoints(update EndpointUpdate) { e.post(endpointsReceived{update}) }

// HandleEvent queues an event of the rollout controller for the module.
func (e *Engine) HandleEvent(event decision.Event) { e.post(eventReceived{event}) }

// UpdateSettings queues new settings of the deployment. Open requests continue.
func (e *Engine) UpdateSettings(s decision.Settings) {
	e.post(eventReceived{decision.SettingsChanged{Settings: s}})
}

// AddEvidence queues the evidence that this instance takes over from one that has left. It must be called once for
// each takeover, because the module adds the evidence to its own.
func (e *Engine) AddEvidence(evidence decision.Evidence) {
	e.post(eventReceived{decision.EvidenceAdded{Evidence: evidence}})
}

// DiscardEvidence makes the module discard its evidence, because another instance has taken it over.
func (e *Engine) DiscardEvidence() { e.post(eventReceived{decision.EvidenceRevoked{}}) }

// Evidence returns what the module has observed of the candidate. It returns false without a candidate, or if ctx ends
// before the event loop replies.
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

// Stats returns the current counters and the module's status. It returns false if ctx ends before the event loop
// replies.
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

// Run runs the event loop until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := e.clock.Now()
		msg, waiting := e.queue.next()
		handled := msg.message != nil
		if handled {
			e.lag.observe(now, now-msg.queuedAt, waiting, "queue")
			e.core.handle(now, msg.message)
		}
		// Due timers run between any two messages. Otherwise a flood of requests would delay them without bound.
		dueAt, pending := e.core.timers.next()
		if pending && dueAt <= now {
			e.lag.observe(now, now-dueAt, waiting, "timer")
			e.core.fireTimers(now)
			continue
		}
		if handled {
			continue
		}
		if pending {
			wake.Reset(clock.Duration(dueAt - now))
		}
		select {
		case <-ctx.Done():
			return
		case <-e.queue.notify:
		case <-wake.C:
		}
	}
}
