// Package marshal owns the decision module: one goroutine gives it events with the time and does what it returns.
// Everything else reaches it through a queue.
package engine

import (
	"context"
	"ottershed/decision"
	"ottershed/internal/clock"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Marshal is the queue to the goroutine that owns the module. It holds one message at most for each open hit,
// forward and news reader's line, so those bound it.
type Engine struct {
	core     *core
	clock    *clock.Clock
	lateness lateness

	mu       sync.Mutex
	priority []queuedMessage // list and desk: they pass before hits that wait
	regular  []queuedMessage
	notify   chan struct{}
}

type queuedMessage struct {
	message
	queuedAt decision.Millis
}

// New makes a marshal; Run starts it.
func New(s decision.Settings, seed uint64, c *clock.Clock, log logrus.FieldLogger) *Engine {
	m := &Engine{clock: c, lateness: lateness{log: log, bound: 1000}, notify: make(chan struct{}, 1)}
	for _, g := range s.Classes {
		m.lateness.bound = min(m.lateness.bound, g.LatencyObjective*lateShare)
	}
	m.core = newCore(func(seed uint64) module { return decision.New(s, seed) }, seed, m.post, log)
	m.core.objectives = map[decision.ClassName]decision.Millis{}
	for _, g := range s.Classes {
		m.core.objectives[g.Name] = g.LatencyObjective
	}
	return m
}

// Connect names those who carry out what the module decides; it comes before Run.
func (m *Engine) Connect(upstream Upstream, controller Controller, discovery Discovery) {
	m.core.upstream, m.core.controller, m.core.discovery = upstream, controller, discovery
}

// Hit hands over a hit that has come whole.
func (m *Engine) ReceiveRequest(request *ClientRequest) { m.post(requestReceived{request}) }

// Gone says that a hit's client has gone away.
func (m *Engine) ClientDisconnected(request *ClientRequest) { m.post(clientDisconnected{request}) }

// List hands over what discovery has told.
func (m *Engine) UpdateEndpoints(update EndpointUpdate) { m.post(endpointsReceived{update}) }

// Told hands over what the desk has told.
func (m *Engine) HandleEvent(e decision.Event) { m.post(eventReceived{e}) }

// Settle hands over new figures of the deployment; they pass before hits that wait, and what is open stays.
func (m *Engine) UpdateSettings(s decision.Settings) {
	m.post(eventReceived{decision.SettingsChanged{Settings: s}})
}

// Adopt hands over what a marshal that is gone had seen; once.
func (m *Engine) AcquireEvidence(e decision.Evidence) {
	m.post(eventReceived{decision.EvidenceAcquired{Evidence: e}})
}

// Disown says that what this marshal has seen is another's by now.
func (m *Engine) RevokeEvidence() { m.post(eventReceived{decision.EvidenceRevoked{}}) }

// Evidence is what the module has seen of the build on trial; false where there is none, or ctx ends before.
func (m *Engine) Evidence(ctx context.Context) (decision.Evidence, bool) {
	reply := make(chan *decision.Evidence, 1)
	m.post(evidenceRequested{reply})
	select {
	case e := <-reply:
		if e != nil {
			return *e, true
		}
	case <-ctx.Done():
	}
	return decision.Evidence{}, false
}

func (m *Engine) post(msg message) {
	p := queuedMessage{msg, m.clock.Now()}
	m.mu.Lock()
	switch msg.(type) {
	case endpointsReceived, eventReceived, evidenceRequested, statsRequested:
		m.priority = append(m.priority, p)
	default:
		m.regular = append(m.regular, p)
	}
	m.mu.Unlock()
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// next takes the oldest message, news first, and tells how many wait behind it.
func (m *Engine) next() (msg queuedMessage, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := &m.priority
	if len(*from) == 0 {
		from = &m.regular
	}
	if len(*from) == 0 {
		return queuedMessage{}, 0
	}
	msg, (*from)[0] = (*from)[0], queuedMessage{}
	if *from = (*from)[1:]; len(*from) == 0 {
		*from = nil
	}
	return msg, len(m.priority) + len(m.regular)
}

// Run is the goroutine that owns the module. It ends with ctx.
func (m *Engine) Run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := m.clock.Now()
		msg, waiting := m.next()
		if msg.message != nil {
			m.lateness.observe(now, now-msg.queuedAt, waiting, "queue")
			m.core.handle(now, msg.message)
		}
		// Danger: under a flood of hits the timers would starve; so they are looked at between any two.
		at, ok := m.core.nextTimer()
		if ok && at <= now {
			m.lateness.observe(now, now-at, waiting, "timer")
			m.core.fireTimers(now)
			continue
		}
		if msg.message != nil {
			continue
		}
		if ok {
			wake.Reset(clock.Duration(at - now))
		}
		select {
		case <-ctx.Done():
			return
		case <-m.notify:
		case <-wake.C:
		}
	}
}

// lateness logs how far behind the owner was at worst. Danger: to the module a late owner looks like slow nodes.
type lateness struct {
	log         logrus.FieldLogger
	bound       decision.Millis
	since       decision.Millis // start of what the next line sums up
	worst       decision.Millis
	waiting     int
	worstSource string
}

const (
	lateShare  = 0.05 // of the shortest target latency: from there on answers come late for it
	latePeriod = 5000 // ms that one line sums up
)

// saw takes how late a message of the queue or a timer was, and how many messages waited behind it.
func (l *lateness) observe(now, late decision.Millis, waiting int, source string) {
	if late >= l.worst {
		l.worst, l.worstSource = late, source
	}
	l.waiting = max(l.waiting, waiting)
	if now-l.since < latePeriod {
		return
	}
	if l.worst > l.bound {
		l.log.WithFields(logrus.Fields{"late_ms": int(l.worst), "waiting": l.waiting, "at": l.worstSource}).Warn("owner late")
	}
	l.since, l.worst, l.waiting = now, 0, 0
}
