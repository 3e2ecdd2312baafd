package engine

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// fakeModule is a module that records events and returns the actions that the test has set.
type fakeModule struct {
	received  []decision.Event
	actions   []decision.Action // returned for the next event
	panicNext bool              // panic at the next event
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

// harness runs a core with a fake clock and a fake module. It is also the upstream, controller and discovery of that
// core, and records their calls.
type harness struct {
	*core
	module   *fakeModule
	now      decision.Millis
	calls    []string // calls to upstream, controller and discovery
	attempts []Attempt
	posted   []message
	results  []string // of each request, as "KIND;RETRY_AFTER;HAS_RESPONSE"; empty without a result
	starts   int      // how often a module was started
	ends     []bool   // arguments of OnEnd of all requests

	endsAtResult int // number of calls of OnEnd before the newest result
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

// record appends a call to h.calls.
func (h *harness) record(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *harness) StartAttempt(attempt Attempt) func() {
	h.attempts = append(h.attempts, attempt)
	number := len(h.attempts)
	h.record("start %d at %s %s until %g", number, attempt.Endpoint, attempt.Address, attempt.Deadline)
	return func() { h.record("cancel %d", number) }
}

func (h *harness) SetAddress(id decision.EndpointID, address string) {
	h.record("set address %s %s", id, address)
}
func (h *harness) CancelUnsent(id decision.EndpointID)         { h.record("cancel unsent %s", id) }
func (h *harness) CloseIdleConnections(id decision.EndpointID) { h.record("close idle %s", id) }
func (h *harness) Vote(v decision.Vote)                        { h.record("vote %d %d %d", v.Build, v.Stage, v.Verdict) }
func (h *harness) ResumeWatch()                                { h.record("resume watch") }
func (h *harness) RequestSnapshot()                            { h.record("request snapshot") }

// deliver passes a message to the core, and then the messages that the core posts. The module returns the actions for
// the first event.
func (h *harness) deliver(msg message, actions ...decision.Action) {
	h.module.actions = actions
	h.handle(h.now, msg)
	for len(h.posted) > 0 {
		msg, h.posted = h.posted[0], h.posted[1:]
		h.handle(h.now, msg)
	}
}

// request delivers a new request, for which the module returns the actions.
func (h *harness) request(actions ...decision.Action) *ClientRequest {
	index := len(h.results)
	h.results = append(h.results, "")
	request := &ClientRequest{Class: "read", Tenant: "t", Remaining: 500, ReceivedAt: 990, Request: &Request{}}
	request.OnEnd = func(mayHaveRun bool) { h.ends = append(h.ends, mayHaveRun) }
	request.Respond = func(result Result) {
		h.endsAtResult = len(h.ends)
		h.results[index] += fmt.Sprintf("%d;%g;%v", result.Kind, result.RetryAfter, result.Response != nil)
	}
	h.deliver(requestReceived{request}, actions...)
	return request
}
