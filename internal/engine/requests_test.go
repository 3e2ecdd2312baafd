package engine

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ottershed/decision"
)

type actions = []decision.Action

func TestModuleActionsAreCarriedOut(t *testing.T) {
	for name, test := range map[string]struct {
		actions  actions
		calls    string
		result   string
		received decision.Event // last event that the module received; not compared if nil
		open     int            // number of open requests
	}{
		"no action": {
			received: decision.RequestReceived{Request: 1, Class: "read", Tenant: "t", Remaining: 490},
			open:     1,
		},
		"attempt": {
			actions: actions{decision.StartAttempt{Request: 1, Endpoint: "a"}},
			calls:   "start 1 at a a:1 until 1490",
			open:    1,
		},
		"attempt, timeout": {
			actions: actions{decision.StartAttempt{Request: 1, Endpoint: "a", Timeout: 90}},
			calls:   "start 1 at a a:1 until 1090",
			open:    1,
		},
		"timeout beyond the deadline": {
			actions: actions{decision.StartAttempt{Request: 1, Endpoint: "a", Timeout: 900}},
			calls:   "start 1 at a a:1 until 1490",
			open:    1,
		},
		"attempt at an unknown endpoint": {
			actions:  actions{decision.StartAttempt{Request: 1, Endpoint: "c"}},
			received: decision.AttemptEnded{Request: 1, Outcome: decision.NotSent, Endpoint: "c"},
			open:     1,
		},
		"attempt after the result": {
			actions: actions{decision.Fail{Request: 1}, decision.StartAttempt{Request: 1, Endpoint: "a"}},
			result:  "2;0;false",
		},
		"reject": {
			actions: actions{decision.Reject{Request: 1, RetryAfter: 100}},
			result:  "1;100;false",
		},
		"fail": {actions{decision.Fail{Request: 1}}, "", "2;0;false", nil, 0},
		"second result": {
			actions: actions{decision.Fail{Request: 1}, decision.Reject{Request: 1}},
			result:  "2;0;false",
		},
		"result, attempt in flight": {
			actions: actions{decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.Fail{Request: 1}},
			calls:   "start 1 at a a:1 until 1490",
			result:  "2;0;false",
			open:    1,
		},
		"cancel": {
			actions: actions{decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.Cancel{Request: 1}},
			calls:   "start 1 at a a:1 until 1490,cancel 1",
			open:    1,
		},
		"cancel of an unknown attempt": {
			actions: actions{decision.Cancel{Request: 1, Attempt: 3}, decision.Cancel{Request: 9}},
			open:    1,
		},
		"other actions": {actions{
			decision.Vote{Build: 7, Stage: 2, Verdict: decision.VoteRollback},
			decision.CloseIdleConnections{Endpoint: "a"},
			decision.RequestSnapshot{},
			decision.WatchEndpoints{On: true},
			decision.SendToPeer{All: true},
			decision.Log{Text: "x"},
		}, "vote 7 2 3,close idle a,request snapshot,resume watch", "", nil, 1},
		"health check": {
			actions:  actions{decision.StartHealthCheck{Endpoint: "a"}},
			received: decision.HealthCheckEnded{Endpoint: "a", Outcome: decision.NotSent},
			open:     1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.request(test.actions...)
			calls := strings.Join(h.calls, ",")
			if calls != test.calls || h.results[0] != test.result || len(h.requests.open) != test.open {
				t.Errorf("calls: got %q, want %q; result: got %q, want %q; open requests: got %d, want %d", calls, test.calls,
					h.results[0], test.result, len(h.requests.open), test.open)
			}
			lastEvent := h.module.received[len(h.module.received)-1]
			if diff := cmp.Diff(test.received, lastEvent); test.received != nil && diff != "" {
				t.Errorf("last event (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAttemptOutcomeReachesClientAndModule(t *testing.T) {
	response := &Response{}
	for name, test := range map[string]struct {
		end        AttemptResult
		actions    actions
		result     string
		resultSent bool // RequestEnded of the module's event
		open       int  // number of open requests
	}{
		"succeeded": {
			end:        AttemptResult{Outcome: decision.Succeeded, EndedAt: 1040, Response: response},
			result:     "0;0;true",
			resultSent: true,
		},
		"failed, no action": {AttemptResult{Outcome: decision.EndpointFailed, EndedAt: 1040}, nil, "", false, 1},
		"failed, request failed": {
			end:     AttemptResult{Outcome: decision.EndpointFailed, EndedAt: 1040},
			actions: actions{decision.Fail{Request: 1}},
			result:  "2;0;false",
		},
		"rejected, retried": {
			end:     AttemptResult{Outcome: decision.EndpointRejected, EndedAt: 1040},
			actions: actions{decision.StartAttempt{Request: 1, Endpoint: "b"}},
			open:    1,
		},
		"timed out, request rejected": {
			end:     AttemptResult{Outcome: decision.TimedOut, EndedAt: 1040},
			actions: actions{decision.Reject{Request: 1}},
			result:  "1;0;false",
		},
		"end time before the start time": {AttemptResult{Outcome: decision.Unreachable, EndedAt: 900}, nil, "", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			core := newHarness()
			core.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
			core.now = 1045
			load := &decision.Load{Utilisation: 0.5}
			test.end.Load = load
			core.attempts[0].OnResult(test.end)
			msg := core.posted[0]
			core.posted = nil
			core.deliver(msg, test.actions...)
			want := decision.AttemptEnded{
				Request: 1, Outcome: test.end.Outcome, Endpoint: "a", After: max(0, test.end.EndedAt-1000),
				RequestEnded: test.resultSent,
				Load:         load,
			}
			if got := core.module.received[1]; !reflect.DeepEqual(got, want) {
				t.Errorf("event of the module: got %+v, want %+v", got, want)
			}
			if core.results[0] != test.result || len(core.requests.open) != test.open {
				t.Errorf("result: got %q, want %q; open requests: got %d, want %d", core.results[0], test.result,
					len(core.requests.open), test.open)
			}
			received := len(core.module.received)
			if core.deliver(msg); len(core.module.received) != received {
				t.Error("outcome of an attempt that has ended: got another event, want none")
			}
		})
	}
}

// SendBy of an action reaches the upstream unchanged.
func TestSendByReachesUpstream(t *testing.T) {
	h := newHarness()
	h.request(
		decision.StartAttempt{Request: 1, Endpoint: "a", SendBy: 1200},
		decision.StartAttempt{Request: 1, Endpoint: "b"},
	)
	if first, second := h.attempts[0].SendBy, h.attempts[1].SendBy; first != 1200 || second != 0 {
		t.Errorf("SendBy: got %g and %g, want 1200 and 0", first, second)
	}
}

// After a client has disconnected, its request gets no result, and the outcomes of its attempts still reach the module.
func TestDisconnectEndsRequestWithoutResult(t *testing.T) {
	h := newHarness()
	request := h.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
	h.deliver(clientDisconnected{request}, decision.Cancel{Request: 1})
	h.deliver(attemptEnded{1, 0, AttemptResult{Outcome: decision.Canceled, EndedAt: 1001}})
	h.deliver(clientDisconnected{request})
	received := h.module.received
	if len(received) != 3 {
		t.Fatalf("events: got %d, want 3: %v", len(received), received)
	}
	_, disconnected := received[1].(decision.ClientDisconnected)
	_, ended := received[2].(decision.AttemptEnded)
	if !disconnected || !ended || len(h.requests.open) != 0 || h.results[0] != "" {
		t.Errorf("events: got %T, %T, want decision.ClientDisconnected, decision.AttemptEnded", received[1], received[2])
		t.Errorf("open requests: got %d, want 0; results: got %q, want none", len(h.requests.open), h.results)
	}
}

// OnEnd is called once, when the request is over and its last attempt has ended, and then before the result. It says whether
// an attempt may have run. Guards against an id that a new request gets while an attempt with it is out, or has run.
func TestOnEndComesAfterLastAttempt(t *testing.T) {
	start := decision.StartAttempt{Request: 1, Endpoint: "a"}
	end := func(outcome decision.Outcome) message {
		return attemptEnded{1, 0, AttemptResult{Outcome: outcome, EndedAt: 1001, Response: &Response{}}}
	}
	for name, test := range map[string]struct {
		actions      []decision.Action
		disconnects  bool
		outcome      decision.Outcome
		endsBefore   int  // calls of OnEnd before the outcome of the attempt is known
		mayHaveRun   bool // argument of OnEnd
		endsAtResult int  // calls of OnEnd before the result
	}{
		"rejected without an attempt":                   {[]decision.Action{decision.Reject{Request: 1}}, false, 0, 1, false, 1},
		"succeeded":                                     {[]decision.Action{start}, false, decision.Succeeded, 0, true, 1},
		"client disconnected, attempt ran":              {[]decision.Action{start}, true, decision.Canceled, 0, true, 0},
		"client disconnected, attempt not sent":         {[]decision.Action{start}, true, decision.NotSent, 0, false, 0},
		"client disconnected, no attempt":               {nil, true, 0, 1, false, 0},
		"failed while an attempt is out, which ran":     {[]decision.Action{start, decision.Fail{Request: 1}}, false, decision.TimedOut, 0, true, 0},
		"failed while an attempt is out, not connected": {[]decision.Action{start, decision.Fail{Request: 1}}, false, decision.Unreachable, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			request := h.request(test.actions...)
			if test.disconnects {
				h.deliver(clientDisconnected{request})
			}
			if len(h.ends) != test.endsBefore {
				t.Errorf("OnEnd: called %d times before the outcome, want %d", len(h.ends), test.endsBefore)
			}
			h.deliver(end(test.outcome))
			h.deliver(end(test.outcome))
			if !slices.Equal(h.ends, []bool{test.mayHaveRun}) || h.endsAtResult != test.endsAtResult {
				t.Errorf("OnEnd: got calls %v, %d before the result; want one, %v, and %d", h.ends, h.endsAtResult, test.mayHaveRun,
					test.endsAtResult)
			}
		})
	}
}

// After a build has responded for a sticky key, an attempt that waits for its connection must not take the key back to
// an earlier build. No other attempt is canceled.
func TestStickyKeyResponseCancelsUnsentToEarlierBuilds(t *testing.T) {
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
		"same build":    {"k", "old", decision.Succeeded, ""},
		"earlier build": {"k", "oldest", decision.Succeeded, ""},
	} {
		t.Run(name, func(t *testing.T) {
			core := newHarness()
			core.deliver(endpointsReceived{EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{
				{decision.Endpoint{ID: "oldest", Build: 6}, "x:1"},
				{decision.Endpoint{ID: "old", Build: 7}, "o:1"},
				{decision.Endpoint{ID: "new", Build: 8}, "n:1"},
			}}})
			receive := func(id decision.RequestID, key decision.Key, endpoint decision.EndpointID) {
				request := &ClientRequest{
					Class: "read", Key: key, Remaining: 500, ReceivedAt: 990, Request: &Request{}, Respond: func(Result) {},
				}
				core.deliver(requestReceived{request}, decision.StartAttempt{Request: id, Endpoint: endpoint})
			}
			receive(1, "k", "old")
			receive(2, "", "oldest")
			receive(3, test.key, test.endpoint)
			core.calls = nil
			core.deliver(attemptEnded{3, 0, AttemptResult{Outcome: test.outcome, EndedAt: 1001, Response: &Response{}}})
			if got := strings.Join(core.calls, "; "); got != test.calls {
				t.Errorf("calls: got %q, want %q", got, test.calls)
			}
		})
	}
}
