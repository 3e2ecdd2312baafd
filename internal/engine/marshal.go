// Package marshal owns the decision module: one goroutine gives it events with the time and does what it returns.
// Everything else reaches it through a queue.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
)

// Marshal is the queue to the goroutine that owns the module. It holds one message at most for each open hit,
// forward and news reader's line, so those bound it.
type Marshal struct {
	core  *core
	clock *clock.Clock
	late  lateness

	mu     sync.Mutex
	news   []posted // list and desk: they pass before hits that wait
	hits   []posted
	notify chan struct{}
}

type posted struct {
	message
	at decision.Millis
}

// New makes a marshal; Run starts it.
func New(s decision.Settings, seed uint64, c *clock.Clock, log logrus.FieldLogger) *Marshal {
	m := &Marshal{clock: c, late: lateness{log: log, bound: 1000}, notify: make(chan struct{}, 1)}
	for _, g := range s.Groups {
		m.late.bound = min(m.late.bound, g.Target*latePart)
	}
	m.core = newCore(func(seed uint64) module { return decision.New(s, seed) }, seed, m.post, log)
	m.core.targets = map[decision.GroupName]decision.Millis{}
	for _, g := range s.Groups {
		m.core.targets[g.Name] = g.Target
	}
	return m
}

// Connect names those who carry out what the module decides; it comes before Run.
func (m *Marshal) Connect(n Nodes, k Desk, d Discovery) {
	m.core.nodes, m.core.desk, m.core.discovery = n, k, d
}

// Hit hands over a hit that has come whole.
func (m *Marshal) Hit(h *Hit) { m.post(hitTaken{h}) }

// Gone says that a hit's client has gone away.
func (m *Marshal) Gone(h *Hit) { m.post(hitGone{h}) }

// List hands over what discovery has told.
func (m *Marshal) List(l List) { m.post(listTold{l}) }

// Told hands over what the desk has told.
func (m *Marshal) Told(e decision.Event) { m.post(told{e}) }

// Settle hands over new figures of the deployment; they pass before hits that wait, and what is open stays.
func (m *Marshal) Settle(s decision.Settings) { m.post(told{decision.SettingsChanged{Settings: s}}) }

// Adopt hands over what a marshal that is gone had seen; once.
func (m *Marshal) Adopt(e decision.Evidence) { m.post(told{decision.Adopted{Evidence: e}}) }

// Disown says that what this marshal has seen is another's by now.
func (m *Marshal) Disown() { m.post(told{decision.Disowned{}}) }

// Evidence is what the module has seen of the build on trial; false where there is none, or ctx ends before.
func (m *Marshal) Evidence(ctx context.Context) (decision.Evidence, bool) {
	reply := make(chan *decision.Evidence, 1)
	m.post(evidenceAsked{reply})
	select {
	case e := <-reply:
		if e != nil {
			return *e, true
		}
	case <-ctx.Done():
	}
	return decision.Evidence{}, false
}

func (m *Marshal) post(msg message) {
	p := posted{msg, m.clock.Now()}
	m.mu.Lock()
	switch msg.(type) {
	case listTold, told, evidenceAsked, figuresAsked:
		m.news = append(m.news, p)
	default:
		m.hits = append(m.hits, p)
	}
	m.mu.Unlock()
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// next takes the oldest message, news first, and tells how many wait behind it.
func (m *Marshal) next() (msg posted, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := &m.news
	if len(*from) == 0 {
		from = &m.hits
	}
	if len(*from) == 0 {
		return posted{}, 0
	}
	msg, (*from)[0] = (*from)[0], posted{}
	if *from = (*from)[1:]; len(*from) == 0 {
		*from = nil
	}
	return msg, len(m.news) + len(m.hits)
}

// Run is the goroutine that owns the module. It ends with ctx.
func (m *Marshal) Run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := m.clock.Now()
		msg, waiting := m.next()
		if msg.message != nil {
			m.late.saw(now, now-msg.at, waiting, "queue")
			m.core.handle(now, msg.message)
		}
		// Danger: under a flood of hits the timers would starve; so they are looked at between any two.
		at, ok := m.core.nextTimer()
		if ok && at <= now {
			m.late.saw(now, now-at, waiting, "timer")
			m.core.due(now)
			continue
		}
		if msg.message != nil {
			continue
		}
		if ok {
			wake.Reset(clock.Span(at - now))
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
	log     logrus.FieldLogger
	bound   decision.Millis
	since   decision.Millis // start of what the next line sums up
	worst   decision.Millis
	waiting int
	at      string
}

const (
	latePart   = 0.05 // of the shortest target latency: from there on answers come late for it
	latePeriod = 5000 // ms that one line sums up
)

// saw takes how late a message of the queue or a timer was, and how many messages waited behind it.
func (l *lateness) saw(now, late decision.Millis, waiting int, at string) {
	if late >= l.worst {
		l.worst, l.at = late, at
	}
	l.waiting = max(l.waiting, waiting)
	if now-l.since < latePeriod {
		return
	}
	if l.worst > l.bound {
		l.log.WithFields(logrus.Fields{"late_ms": int(l.worst), "waiting": l.waiting, "at": l.at}).Warn("owner late")
	}
	l.since, l.worst, l.waiting = now, 0, 0
}
