package engine

import (
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ottershed/decision"
)

type actions = []decision.Action

func TestActions(t *testing.T) {
	for name, test := range map[string]struct {
		does     actions
		calls    string
		result   string
		received decision.Event // the module's last event; nil: any
		open     int
	}{
		"waits": {
			received: decision.RequestReceived{Request: 1, Class: "read", Tenant: "t", TTL: 490},
			open:     1,
		},
		"attempt": {
			does:  actions{decision.StartAttempt{Request: 1, Endpoint: "a"}},
			calls: "start 1 at a a:1 until 1490",
			open:  1,
		},
		"attempt, timeout": {
			does:  actions{decision.StartAttempt{Request: 1, Endpoint: "a", Timeout: 90}},
			calls: "start 1 at a a:1 until 1090",
			open:  1,
		},
		"timeout is cut": {
			does:  actions{decision.StartAttempt{Request: 1, Endpoint: "a", Timeout: 900}},
			calls: "start 1 at a a:1 until 1490",
			open:  1,
		},
		"attempt at an unknown endpoint": {
			does:     actions{decision.StartAttempt{Request: 1, Endpoint: "c"}},
			received: decision.AttemptEnded{Request: 1, Outcome: decision.NotSent, Endpoint: "c"},
			open:     1,
		},
		"attempt after the result": {
			does:   actions{decision.Fail{Request: 1}, decision.StartAttempt{Request: 1, Endpoint: "a"}},
			result: "2;0;false",
		},
		"reject": {
			does:   actions{decision.Reject{Request: 1, RetryAfter: 100}},
			result: "1;100;false",
		},
		"fail": {actions{decision.Fail{Request: 1}}, "", "2;0;false", nil, 0},
		"one result only": {
			does:   actions{decision.Fail{Request: 1}, decision.Reject{Request: 1}},
			result: "2;0;false",
		},
		"result, attempt in flight": {
			does:   actions{decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.Fail{Request: 1}},
			calls:  "start 1 at a a:1 until 1490",
			result: "2;0;false",
			open:   1,
		},
		"cancel": {
			does:  actions{decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.Cancel{Request: 1}},
			calls: "start 1 at a a:1 until 1490,cancel 1",
			open:  1,
		},
		"cancel of unknown": {
			does: actions{decision.Cancel{Request: 1, Attempt: 3}, decision.Cancel{Request: 9}},
			open: 1,
		},
		"others": {actions{
			decision.Vote{Build: 7, Stage: 2, Verdict: decision.VoteRollback},
			decision.CloseIdle{Endpoint: "a"},
			decision.ResolveEndpoints{},
			decision.WatchEndpoints{On: true},
			decision.SendToPeer{All: true},
			decision.Log{Text: "x"},
		}, "vote 7 2 3,close idle a,resolve,resume watch", "", nil, 1},
		"health check": {
			does:     actions{decision.StartHealthCheck{Endpoint: "a"}},
			received: decision.HealthCheckEnded{Endpoint: "a", Outcome: decision.NotSent},
			open:     1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.request(test.does...)
			calls := strings.Join(h.calls, ",")
			if calls != test.calls || h.results[0] != test.result || len(h.requests.open) != test.open {
				t.Errorf("calls %q, want %q; result %q, want %q; open %d, want %d", calls, test.calls, h.results[0], test.result,
					len(h.requests.open), test.open)
			}
			last := h.module.received[len(h.module.received)-1]
			if diff := cmp.Diff(test.received, last); test.received != nil && diff != "" {
				t.Errorf("received (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOutcomes(t *testing.T) {
	response := &Response{}
	for name, test := range map[string]struct {
		end    AttemptResult
		then   actions
		result string
		ended  bool // the module learns that the request has ended
		open   int
	}{
		"succeeded": {
			end:    AttemptResult{Outcome: decision.Succeeded, EndedAt: 1040, Response: response},
			result: "0;0;true",
			ended:  true,
		},
		"failed, waits": {AttemptResult{Outcome: decision.EndpointFailed, EndedAt: 1040}, nil, "", false, 1},
		"failed, given up": {
			end:    AttemptResult{Outcome: decision.EndpointFailed, EndedAt: 1040},
			then:   actions{decision.Fail{Request: 1}},
			result: "2;0;false",
		},
		"rejected, retried": {
			end:  AttemptResult{Outcome: decision.EndpointRejected, EndedAt: 1040},
			then: actions{decision.StartAttempt{Request: 1, Endpoint: "b"}},
			open: 1,
		},
		"timed out, rejected": {
			end:    AttemptResult{Outcome: decision.TimedOut, EndedAt: 1040},
			then:   actions{decision.Reject{Request: 1}},
			result: "1;0;false",
		},
		"ended before it began": {AttemptResult{Outcome: decision.Unreachable, EndedAt: 900}, nil, "", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			core := newHarness()
			core.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
			core.now = 1045
			load := &decision.Load{Util: 0.5}
			test.end.Load = load
			core.attempts[0].OnEnd(test.end)
			msg := core.posted[0]
			core.posted = nil
			core.deliver(msg, test.then...)
			want := decision.AttemptEnded{
				Request: 1, Outcome: test.end.Outcome, Endpoint: "a", After: max(0, test.end.EndedAt-1000),
				RequestEnded: test.ended,
				Load:         load,
			}
			if got := core.module.received[1]; !reflect.DeepEqual(got, want) {
				t.Errorf("received %+v, want %+v", got, want)
			}
			if core.results[0] != test.result || len(core.requests.open) != test.open {
				t.Errorf("result %q, want %q; open %d, want %d", core.results[0], test.result, len(core.requests.open), test.open)
			}
			received := len(core.module.received)
			if core.deliver(msg); len(core.module.received) != received {
				t.Error("an attempt ended twice")
			}
		})
	}
}

// The last time to send an attempt reaches the upstream.
func TestSendBy(t *testing.T) {
	h := newHarness()
	h.request(
		decision.StartAttempt{Request: 1, Endpoint: "a", SendBy: 1200},
		decision.StartAttempt{Request: 1, Endpoint: "b"},
	)
	if one, two := h.attempts[0].SendBy, h.attempts[1].SendBy; one != 1200 || two != 0 {
		t.Errorf("SendBy is %g and %g", one, two)
	}
}

// A client that leaves ends its request, and later results of its attempts still reach the module.
func TestClientDisconnected(t *testing.T) {
	h := newHarness()
	request := h.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
	h.deliver(clientDisconnected{request}, decision.Cancel{Request: 1})
	h.deliver(attemptEnded{1, 0, AttemptResult{Outcome: decision.Canceled, EndedAt: 1001}})
	h.deliver(clientDisconnected{request})
	received := h.module.received
	if len(received) != 3 {
		t.Fatalf("received %d events: %v", len(received), received)
	}
	_, disconnected := received[1].(decision.ClientDisconnected)
	_, ended := received[2].(decision.AttemptEnded)
	if !disconnected || !ended || len(h.requests.open) != 0 || h.results[0] != "" {
		t.Errorf("received %T, %T; open %d; results %q", received[1], received[2], len(h.requests.open), h.results)
	}
}

// A response of a build cancels attempts of the same sticky key to earlier builds that are not yet sent, and nothing
// else.
func TestStickyKeySucceeded(t *testing.T) {
	for name, test := range map[string]struct {
		key      decision.Key
		endpoint decision.EndpointID
		outcome  decision.Outcome
		calls    string
	}{
		"newer build":   {"k", "new", decision.Succeeded, "cancel unsent old"},
		"failed":        {"k", "new", decision.EndpointFailed, ""},
		"another key":   {"l", "new", decision.Succeeded, ""},
		"no key":        {"", "new", decision.Succeeded, ""},
		"the same one":  {"k", "old", decision.Succeeded, ""},
		"earlier build": {"k", "oldest", decision.Succeeded, ""},
	} {
		t.Run(name, func(t *testing.T) {
			core := newHarness()
			core.deliver(endpointsReceived{EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{
				{decision.Endpoint{ID: "oldest", Build: 6}, "x:1"},
				{decision.Endpoint{ID: "old", Build: 7}, "o:1"},
				{decision.Endpoint{ID: "new", Build: 8}, "n:1"},
			}}})
			take := func(id decision.RequestID, key decision.Key, endpoint decision.EndpointID) {
				request := &ClientRequest{
					Class: "read", Key: key, Remaining: 500, ReceivedAt: 990, Request: &Request{}, Respond: func(Result) {},
				}
				core.deliver(requestReceived{request}, decision.StartAttempt{Request: id, Endpoint: endpoint})
			}
			take(1, "k", "old")
			take(2, "", "oldest")
			take(3, test.key, test.endpoint)
			core.calls = nil
			core.deliver(attemptEnded{3, 0, AttemptResult{Outcome: test.outcome, EndedAt: 1001, Response: &Response{}}})
			if got := strings.Join(core.calls, "; "); got != test.calls {
				t.Errorf("calls %q, want %q", got, test.calls)
			}
		})
	}
}
