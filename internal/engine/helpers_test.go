package engine

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// fakeModule is a module that returns the actions that a test sets, and records the events.
type fakeModule struct {
	received  []decision.Event
	actions   []decision.Action // at the next event
	panicNext bool              // at the next event
}

func (m *fakeModule) Handle(_ decision.Millis, e decision.Event) []decision.Action {
	m.received = append(m.received, e)
	actions := m.actions
	m.actions = nil
	if m.panicNext {
		m.panicNext = false
		panic("scripted")
	}
	return actions
}

// harness is a core on a fake clock, and what its module connects it to.
type harness struct {
	*core
	module   *fakeModule
	now      decision.Millis
	calls    []string // of upstream, controller and discovery
	attempts []Attempt
	posted   []message
	results  []string
	starts   int // of the module
}

func newHarness() *harness {
	h := &harness{now: 1000}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.core = newCore(func(uint64) module {
		h.module = &fakeModule{}
		h.starts++
		return h.module
	}, 1, func(m message) { h.posted = append(h.posted, m) }, log)
	h.upstream, h.controller, h.discovery = h, h, h
	h.deliver(endpointsReceived{snapshot(
		newEndpoint("a", "a:1", decision.Serving), newEndpoint("b", "b:1", decision.Serving),
	)})
	h.calls, h.module.received = nil, nil
	return h
}

func newEndpoint(id decision.EndpointID, address string, s decision.EndpointState) Endpoint {
	return Endpoint{Endpoint: decision.Endpoint{ID: id, State: s}, Address: address}
}

func snapshot(endpoints ...Endpoint) EndpointUpdate {
	return EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: endpoints}
}

func delta(endpoints ...Endpoint) EndpointUpdate {
	return EndpointUpdate{Kind: decision.Delta, Endpoints: endpoints}
}

// note records a call.
func (h *harness) note(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *harness) StartAttempt(attempt Attempt) func() {
	h.attempts = append(h.attempts, attempt)
	number := len(h.attempts)
	h.note("start %d at %s %s until %g", number, attempt.Endpoint, attempt.Address, attempt.Deadline)
	return func() { h.note("cancel %d", number) }
}

func (h *harness) SetAddress(id decision.EndpointID, address string) {
	h.note("set address %s %s", id, address)
}
func (h *harness) CancelUnsent(id decision.EndpointID) { h.note("cancel unsent %s", id) }
func (h *harness) CloseIdle(id decision.EndpointID)    { h.note("close idle %s", id) }
func (h *harness) Vote(v decision.Vote)                { h.note("vote %d %d %d", v.Build, v.Stage, v.Verdict) }
func (h *harness) ResumeWatch()                        { h.note("resume watch") }
func (h *harness) Resolve()                            { h.note("resolve") }

// deliver hands the core a message, to which the module replies with these actions, and then what the core posted.
func (h *harness) deliver(msg message, actions ...decision.Action) {
	h.module.actions = actions
	h.handle(h.now, msg)
	for len(h.posted) > 0 {
		msg, h.posted = h.posted[0], h.posted[1:]
		h.handle(h.now, msg)
	}
}

// request delivers a request, to which the module replies with these actions.
func (h *harness) request(actions ...decision.Action) *ClientRequest {
	index := len(h.results)
	h.results = append(h.results, "")
	request := &ClientRequest{Class: "read", Tenant: "t", Remaining: 500, ReceivedAt: 990, Request: &Request{}}
	request.Respond = func(result Result) {
		h.results[index] += fmt.Sprintf("%d;%g;%v", result.Kind, result.RetryAfter, result.Response != nil)
	}
	h.deliver(requestReceived{request}, actions...)
	return request
}
