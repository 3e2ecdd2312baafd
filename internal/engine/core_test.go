package engine

import (
	"fmt"
	"io"
	"math/rand/v2"
	"ottershed/decision"
	"ottershed/internal/clock"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// script is a module that does what it is told and keeps what it hears.
type fakeModule struct {
	received  []decision.Event
	actions   []decision.Action // at the next event
	panicNext bool              // at the next event
}

func (s *fakeModule) Handle(_ decision.Millis, e decision.Event) []decision.Action {
	s.received = append(s.received, e)
	does, bad := s.actions, s.panicNext
	if s.actions, s.panicNext = nil, false; bad {
		panic("scripted")
	}
	return does
}

// rig is a core on a fake clock, with its surroundings.
type harness struct {
	*core
	module   *fakeModule
	now      decision.Millis
	log      []string // by nodes, desk and discovery
	attempts []Attempt
	posted   []message
	results  []string
	started  int
}

func newHarness() *harness {
	r := &harness{now: 1000}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.core = newCore(func(uint64) module {
		r.module = &fakeModule{}
		r.started++
		return r.module
	}, 1, func(m message) { r.posted = append(r.posted, m) }, log)
	r.core.upstream, r.core.controller, r.core.discovery = r, r, r
	r.deliver(endpointsReceived{EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{newEndpoint("a", "a:1", decision.Serving), newEndpoint("b", "b:1", decision.Serving)}}})
	r.log, r.module.received = nil, nil
	return r
}

func newEndpoint(id decision.EndpointID, address string, s decision.EndpointState) Endpoint {
	return Endpoint{Endpoint: decision.Endpoint{ID: id, State: s}, Address: address}
}

func (r *harness) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf(format, args...))
}

func (r *harness) StartAttempt(f Attempt) func() {
	r.attempts = append(r.attempts, f)
	no := len(r.attempts)
	r.note("forward %d to %s at %s until %g", no, f.Endpoint, f.Address, f.Deadline)
	return func() { r.note("recall %d", no) }
}

func (r *harness) SetAddress(id decision.EndpointID, address string) {
	r.note("moved %s %s", id, address)
}
func (r *harness) CancelUnsent(id decision.EndpointID) { r.note("unsend %s", id) }
func (r *harness) CloseIdle(id decision.EndpointID)    { r.note("close idle %s", id) }
func (r *harness) Vote(v decision.Vote)                { r.note("vote %d %d %d", v.Build, v.Stage, v.Verdict) }
func (r *harness) ResumeWatch()                        { r.note("watch") }
func (r *harness) Resolve()                            { r.note("lookup") }

// tell gives a message, at which the module does these actions, and then what the core posted to itself.
func (r *harness) deliver(msg message, does ...decision.Action) {
	r.module.actions = does
	r.handle(r.now, msg)
	for len(r.posted) > 0 {
		msg, r.posted = r.posted[0], r.posted[1:]
		r.handle(r.now, msg)
	}
}

// hit takes a hit at which the module does these actions.
func (r *harness) request(does ...decision.Action) *ClientRequest {
	h := &ClientRequest{Class: "read", Tenant: "t", Remaining: 500, ReceivedAt: 990, Request: &Request{}}
	no := len(r.results)
	r.results = append(r.results, "")
	h.Respond = func(a Result) { r.results[no] += fmt.Sprintf("%d;%g;%v", a.Kind, a.RetryAfter, a.Response != nil) }
	r.deliver(requestReceived{h}, does...)
	return h
}

func TestActions(t *testing.T) {
	for name, tc := range map[string]struct {
		does     []decision.Action
		did      string // by the surroundings
		result   string
		received decision.Event // the module's last event; nil: any
		open     int
	}{
		"held":             {nil, "", "", decision.RequestReceived{Request: 1, Class: "read", Tenant: "t", TTL: 490}, 1},
		"forward":          {[]decision.Action{decision.StartAttempt{Request: 1, Endpoint: "a"}}, "forward 1 to a at a:1 until 1490", "", nil, 1},
		"forward, timeout": {[]decision.Action{decision.StartAttempt{Request: 1, Endpoint: "a", Timeout: 90}}, "forward 1 to a at a:1 until 1090", "", nil, 1},
		"timeout is cut":   {[]decision.Action{decision.StartAttempt{Request: 1, Endpoint: "a", Timeout: 900}}, "forward 1 to a at a:1 until 1490", "", nil, 1},
		"forward to none": {
			[]decision.Action{decision.StartAttempt{Request: 1, Endpoint: "c"}},
			"", "",
			decision.AttemptEnded{Request: 1, Outcome: decision.NotSent, Endpoint: "c"},
			1,
		},
		"forward after the end": {[]decision.Action{decision.Fail{Request: 1}, decision.StartAttempt{Request: 1, Endpoint: "a"}}, "", "2;0;false", nil, 0},
		"bounce":                {[]decision.Action{decision.Reject{Request: 1, RetryAfter: 100}}, "", "1;100;false", nil, 0},
		"fail":                  {[]decision.Action{decision.Fail{Request: 1}}, "", "2;0;false", nil, 0},
		"one answer only":       {[]decision.Action{decision.Fail{Request: 1}, decision.Reject{Request: 1}}, "", "2;0;false", nil, 0},
		"answer, forward out":   {[]decision.Action{decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.Fail{Request: 1}}, "forward 1 to a at a:1 until 1490", "2;0;false", nil, 1},
		"cancel":                {[]decision.Action{decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.Cancel{Request: 1}}, "forward 1 to a at a:1 until 1490,recall 1", "", nil, 1},
		"cancel of none":        {[]decision.Action{decision.Cancel{Request: 1, Attempt: 3}, decision.Cancel{Request: 9}}, "", "", nil, 1},
		"others": {[]decision.Action{
			decision.Vote{Build: 7, Stage: 2, Verdict: decision.VoteRollback},
			decision.CloseIdle{Endpoint: "a"},
			decision.ResolveEndpoints{},
			decision.WatchEndpoints{On: true},
			decision.SendToPeer{All: true},
			decision.Log{Text: "x"},
		}, "vote 7 2 3,close idle a,lookup,watch", "", nil, 1},
		"probe": {[]decision.Action{decision.StartHealthCheck{Endpoint: "a"}}, "", "", decision.HealthCheckEnded{Endpoint: "a", Outcome: decision.NotSent}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.request(tc.does...)
			if did := strings.Join(r.log, ","); did != tc.did || r.results[0] != tc.result || len(r.openRequests) != tc.open {
				t.Errorf("did %q, want %q; answer %q, want %q; open %d, want %d", did, tc.did, r.results[0], tc.result,
					len(r.openRequests), tc.open)
			}
			last := r.module.received[len(r.module.received)-1]
			if diff := cmp.Diff(tc.received, last); tc.received != nil && diff != "" {
				t.Errorf("heard (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOutcomes(t *testing.T) {
	response := &Response{}
	for name, tc := range map[string]struct {
		end    AttemptResult
		then   []decision.Action
		result string
		ended  bool // the module is told that the hit has ended
		open   int
	}{
		"delivered":             {AttemptResult{Outcome: decision.Succeeded, EndedAt: 1040, Response: response}, nil, "0;0;true", true, 0},
		"error, waits":          {AttemptResult{Outcome: decision.EndpointFailed, EndedAt: 1040}, nil, "", false, 1},
		"error, given up":       {AttemptResult{Outcome: decision.EndpointFailed, EndedAt: 1040}, []decision.Action{decision.Fail{Request: 1}}, "2;0;false", false, 0},
		"full, elsewhere":       {AttemptResult{Outcome: decision.EndpointRejected, EndedAt: 1040}, []decision.Action{decision.StartAttempt{Request: 1, Endpoint: "b"}}, "", false, 1},
		"timed out at the end":  {AttemptResult{Outcome: decision.TimedOut, EndedAt: 1040}, []decision.Action{decision.Reject{Request: 1}}, "1;0;false", false, 0},
		"ended before it began": {AttemptResult{Outcome: decision.Unreachable, EndedAt: 900}, nil, "", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
			r.now = 1045
			load := &decision.Load{Util: 0.5}
			tc.end.Load = load
			r.attempts[0].OnEnd(tc.end)
			msg := r.posted[0]
			r.posted = nil
			r.deliver(msg, tc.then...)
			want := decision.AttemptEnded{
				Request: 1, Outcome: tc.end.Outcome, Endpoint: "a", After: max(0, tc.end.EndedAt-1000), RequestEnded: tc.ended,
				Load: load,
			}
			if got := r.module.received[1]; !reflect.DeepEqual(got, want) {
				t.Errorf("heard %+v, want %+v", got, want)
			}
			if r.results[0] != tc.result || len(r.openRequests) != tc.open {
				t.Errorf("answer %q, want %q; open %d, want %d", r.results[0], tc.result, len(r.openRequests), tc.open)
			}
			received := len(r.module.received)
			if r.deliver(msg); len(r.module.received) != received {
				t.Error("an ending counted twice")
			}
		})
	}
}

// The last moment to send a forward reaches who sends it.
func TestSendBy(t *testing.T) {
	r := newHarness()
	r.request(decision.StartAttempt{Request: 1, Endpoint: "a", SendBy: 1200}, decision.StartAttempt{Request: 1, Endpoint: "b"})
	if one, two := r.attempts[0].SendBy, r.attempts[1].SendBy; one != 1200 || two != 0 {
		t.Errorf("to be sent by %g and %g", one, two)
	}
}

// A client that goes away ends its hit, and late endings of its forwards still reach the module.
func TestClientDisconnected(t *testing.T) {
	r := newHarness()
	h := r.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
	r.deliver(clientDisconnected{h}, decision.Cancel{Request: 1})
	r.deliver(attemptEnded{1, 0, AttemptResult{Outcome: decision.Canceled, EndedAt: 1001}})
	r.deliver(clientDisconnected{h})
	heard := r.module.received
	if len(heard) != 3 {
		t.Fatalf("heard %d events: %v", len(heard), heard)
	}
	_, gone := heard[1].(decision.ClientDisconnected)
	_, ended := heard[2].(decision.AttemptEnded)
	if !gone || !ended || len(r.openRequests) != 0 || r.results[0] != "" {
		t.Errorf("heard %T, %T; open %d; answers %q", heard[1], heard[2], len(r.openRequests), r.results)
	}
}

func TestEndpointUpdates(t *testing.T) {
	for name, tc := range map[string]struct {
		list      EndpointUpdate
		did       string
		remaining int
	}{
		"same":    {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("a", "a:1", decision.Serving)}}, "", 2},
		"address": {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("a", "a:2", decision.Serving)}}, "moved a a:2", 2},
		"started": {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{{decision.Endpoint{ID: "a", Started: 7}, "a:1"}}}, "moved a a:1", 2},
		"build":   {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{{decision.Endpoint{ID: "a", Build: 7}, "a:1"}}}, "moved a a:1", 2},
		"drains":  {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("a", "a:1", decision.Draining)}}, "moved a ", 2},
		"twice": {
			EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("a", "a:2", decision.Serving), newEndpoint("a", "a:2", decision.Draining)}},
			"moved a a:2,moved a ", 2,
		},
		"gone":        {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("a", "", decision.Removed)}}, "moved a ", 1},
		"gone twice":  {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("c", "", decision.Removed)}}, "", 2},
		"new":         {EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{newEndpoint("c", "c:1", decision.Serving)}}, "moved c c:1", 3},
		"whole":       {EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{newEndpoint("a", "a:1", decision.Serving)}}, "moved b ", 1},
		"whole, none": {EndpointUpdate{Kind: decision.CachedSnapshot, Version: 4}, "moved a ,moved b ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.deliver(endpointsReceived{tc.list})
			did := strings.Join(r.log, ",")
			if did == "moved b ,moved a " { // of a map
				did = "moved a ,moved b "
			}
			got := r.module.received[0].(decision.EndpointsChanged)
			if did != tc.did || len(r.endpoints) != tc.remaining || got.Kind != tc.list.Kind || got.Version != tc.list.Version ||
				len(got.Endpoints) != len(tc.list.Endpoints) {
				t.Errorf("did %q, want %q; %d nodes left, want %d; heard %+v", did, tc.did, len(r.endpoints), tc.remaining, got)
			}
			r.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
			if sends := len(r.attempts) == 1; sends != (r.endpoints["a"].Address != "") {
				t.Errorf("a takes a forward: %v, at %q", sends, r.endpoints["a"].Address)
			}
		})
	}
}

// A lower cap on a build calls back what is not yet sent to its nodes; no other news does.
func TestLowerExposureCap(t *testing.T) {
	for name, tc := range map[string]struct {
		update decision.StageUpdate
		did    string
	}{
		"lower":          {decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.1}, "unsend b"},
		"sent back":      {decision.StageUpdate{Build: 7, Phase: decision.RollingBack}, "unsend b"},
		"the same":       {decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.25}, ""},
		"higher":         {decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.6}, ""},
		"another build":  {decision.StageUpdate{Build: 8, Phase: decision.InTrial, ExposureCap: 0.1}, ""},
		"a vote's fault": {decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.deliver(endpointsReceived{EndpointUpdate{Kind: decision.Delta, Endpoints: []Endpoint{
				{decision.Endpoint{ID: "b", Build: 7}, "b:1"},
				{decision.Endpoint{ID: "c", Build: 7, State: decision.Draining}, "c:1"},
			}}})
			r.deliver(eventReceived{decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.25}})
			r.log = nil
			if r.deliver(eventReceived{tc.update}); strings.Join(r.log, ",") != tc.did {
				t.Errorf("did %q, want %q", r.log, tc.did)
			}
		})
	}
}

// What a build has answered calls back what is not yet sent of the same key to nodes of earlier builds, and nothing else.
func TestStickyKeySucceeded(t *testing.T) {
	for name, tc := range map[string]struct {
		key     decision.Key
		node    decision.EndpointID
		outcome decision.Outcome
		did     string
	}{
		"newer build":   {"k", "new", decision.Succeeded, "unsend old"},
		"not answered":  {"k", "new", decision.EndpointFailed, ""},
		"another key":   {"l", "new", decision.Succeeded, ""},
		"no key":        {"", "new", decision.Succeeded, ""},
		"the same one":  {"k", "old", decision.Succeeded, ""},
		"earlier build": {"k", "oldest", decision.Succeeded, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.deliver(endpointsReceived{EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{
				{decision.Endpoint{ID: "oldest", Build: 6}, "x:1"},
				{decision.Endpoint{ID: "old", Build: 7}, "o:1"},
				{decision.Endpoint{ID: "new", Build: 8}, "n:1"},
			}}})
			take := func(id decision.RequestID, key decision.Key, endpoint decision.EndpointID) {
				h := &ClientRequest{Class: "read", Key: key, Remaining: 500, ReceivedAt: 990, Request: &Request{}, Respond: func(Result) {}}
				r.deliver(requestReceived{h}, decision.StartAttempt{Request: id, Endpoint: endpoint})
			}
			take(1, "k", "old")
			take(2, "", "oldest")
			take(3, tc.key, tc.node)
			r.log = nil
			r.deliver(attemptEnded{3, 0, AttemptResult{Outcome: tc.outcome, EndedAt: 1001, Response: &Response{}}})
			if got := strings.Join(r.log, "; "); got != tc.did {
				t.Errorf("did %q, want %q", got, tc.did)
			}
		})
	}
}

func TestTimers(t *testing.T) {
	r := newHarness()
	r.request(decision.WakeAt{Token: 2, At: 1020}, decision.WakeAt{Token: 1, At: 1010}, decision.WakeAt{Token: 3, At: 1030})
	for _, tc := range []struct {
		now      decision.Millis
		received int
		next     decision.Millis
	}{{1005, 1, 1010}, {1020, 3, 1030}, {1031, 4, 0}} {
		r.fireTimers(tc.now)
		if next, _ := r.nextTimer(); next != tc.next || len(r.module.received) != tc.received {
			t.Errorf("at %g: next %g, want %g; heard %d, want %d", tc.now, next, tc.next, len(r.module.received), tc.received)
		}
	}
	if got := fmt.Sprint(r.module.received[1:]); got != "[{1} {2} {3}]" {
		t.Errorf("timers came as %s", got)
	}
}

// A panic ends what is open as errored; the module starts anew with the list and the news, and a second panic at
// once doesn't go round in circles.
func TestPanic(t *testing.T) {
	for name, twice := range map[string]bool{"once": false, "again at once": true} {
		t.Run(name, func(t *testing.T) {
			r := newHarness()
			r.deliver(eventReceived{decision.StageUpdate{Age: 5, Build: 7, IsVoteResult: true}})
			r.request(decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.WakeAt{At: 1010})
			r.now = 1100
			r.module.panicNext = true
			old := r.core.start
			r.core.start = func(seed uint64) module {
				m := old(seed).(*fakeModule)
				m.panicNext = twice && r.started == 2
				return m
			}
			r.deliver(eventReceived{decision.ResponseFlagged{}})
			if r.results[0] != "2;0;false" || r.log[len(r.log)-1] != "recall 1" {
				t.Errorf("answer %q, did %q", r.results[0], r.log)
			}
			received := "[]"
			if !twice {
				received = "[{2 0 [{a 0 0  0  0 0} {b 0 0  0  0 0}]} {105 7 0 false 0 0 0}]"
			}
			got := fmt.Sprint(r.module.received)
			got = strings.ReplaceAll(got, "{b 0 0  0  0 0} {a 0 0  0  0 0}", "{a 0 0  0  0 0} {b 0 0  0  0 0}")
			if _, timer := r.nextTimer(); got != received || timer {
				t.Errorf("heard %s, want %s; timer %v", got, received, timer)
			}
			r.deliver(attemptEnded{1, 0, AttemptResult{Outcome: decision.Canceled}})
			if len(r.openRequests) != 0 {
				t.Error("a hit stayed open")
			}
		})
	}
}

// News pass before hits that wait, and each kind keeps its order.
func TestQueueOrder(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := New(decision.Settings{Classes: []decision.RequestClass{{LatencyObjective: 400}}, ExposureCaps: []float64{1}, Stages: []float64{1}}, 1, clock.New(), log)
	m.ReceiveRequest(&ClientRequest{Class: "1"})
	m.HandleEvent(decision.ResponseFlagged{Endpoint: "2"})
	m.ReceiveRequest(&ClientRequest{Class: "3"})
	m.UpdateEndpoints(EndpointUpdate{Version: 4})
	got := ""
	for msg, _ := m.next(); msg.message != nil; msg, _ = m.next() {
		switch msg := msg.message.(type) {
		case requestReceived:
			got += string(msg.request.Class)
		case eventReceived:
			got += string(msg.event.(decision.ResponseFlagged).Endpoint)
		case endpointsReceived:
			got += fmt.Sprint(msg.update.Version)
		}
	}
	if got != "2413" {
		t.Errorf("order %s, want 2413", got)
	}
}

// world plays nodes to a core that holds the real module, on a fake clock.
type fakeUpstream struct {
	*harness
	random      *rand.Rand
	pending     []pending
	attemptsRun map[*Request]bool // a mutating hit that may have run
	inFlight    map[*Request]int
	faults      []string
}

type pending struct {
	at   decision.Millis
	f    Attempt
	done *bool
}

func (w *fakeUpstream) StartAttempt(f Attempt) func() {
	if w.attemptsRun[f.Request] {
		w.faults = append(w.faults, "a mutating hit that may have run went out again")
	}
	if w.inFlight[f.Request]++; w.inFlight[f.Request] > 1 {
		w.faults = append(w.faults, "two forwards out")
	}
	p := pending{min(w.now+w.random.ExpFloat64()*60, f.Deadline), f, new(bool)}
	w.pending = append(w.pending, p)
	return func() { w.end(p, decision.Canceled) }
}

func (w *fakeUpstream) end(p pending, e decision.Outcome) {
	if *p.done {
		return
	}
	*p.done = true
	w.inFlight[p.f.Request]--
	if p.f.Request.Method == "POST" && e != decision.EndpointRejected && e != decision.Unreachable {
		w.attemptsRun[p.f.Request] = true
	}
	p.f.OnEnd(AttemptResult{Outcome: e, EndedAt: w.now, Response: &Response{}})
}

// Over a day on which nodes fail in all ways, and the module panics once, every hit gets one answer in time, none
// runs twice, and nothing is left at the end.
func TestDay(t *testing.T) {
	set := decision.Settings{
		Instances: 1, Zone: "z", MaxAttempts: 4, CancelAllowed: true, SlowStartFloor: 0.4, OverloadFactor: 3, SlowStartWindow: 4000,
		OverloadWindow: 1000, ExposureCaps: []float64{1}, Stages: []float64{1}, FreeAttempts: 1, VoteTTL: 6000, VoteWait: 800, MaxRetryAfter: 100,
		Classes: []decision.RequestClass{{Name: "read", LatencyObjective: 200, Idempotency: decision.Idempotent}, {Name: "pay", LatencyObjective: 200}},
	}
	w := &fakeUpstream{harness: newHarness(), random: rand.New(rand.NewPCG(1, 2)), attemptsRun: map[*Request]bool{}, inFlight: map[*Request]int{}}
	starts := 0
	w.core.start = func(seed uint64) module { starts++; return decision.New(set, seed) }
	w.core.module, w.core.upstream = w.core.start(1), w
	w.deliver(endpointsReceived{EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{newEndpoint("a", "a:1", decision.Serving), newEndpoint("b", "b:1", decision.Serving)}}})
	outcomes := []decision.Outcome{decision.EndpointFailed, decision.EndpointRejected, decision.Unreachable, decision.ConnectionBroken, decision.TimedOut}
	type taken struct {
		*ClientRequest
		results int
	}
	var requests []*taken
	for ; w.now < 30000; w.now++ {
		if w.now < 25000 && w.random.IntN(10) == 0 {
			h := &taken{ClientRequest: &ClientRequest{Class: "read", Remaining: 500, ReceivedAt: w.now, Request: &Request{Method: "GET"}}}
			if w.random.IntN(3) == 0 {
				h.Class, h.Request.Method = "pay", "POST"
			}
			h.Respond = func(Result) {
				if h.results++; w.now > h.ReceivedAt+h.Remaining+5 {
					w.faults = append(w.faults, "a late answer")
				}
			}
			requests = append(requests, h)
			w.deliver(requestReceived{h.ClientRequest})
		}
		if w.now == 15000 { // as a panic does
			w.restart(w.now)
			w.dispatch(w.now, decision.ResponseFlagged{})
		}
		for _, p := range slices.Clone(w.pending) {
			if p.at <= w.now && !*p.done {
				outcome := decision.Succeeded
				if p.at >= p.f.Deadline {
					outcome = decision.TimedOut
				} else if w.random.IntN(4) == 0 {
					outcome = outcomes[w.random.IntN(len(outcomes))]
				}
				w.end(p, outcome)
			}
		}
		w.pending = slices.DeleteFunc(w.pending, func(p pending) bool { return *p.done })
		for len(w.posted) > 0 {
			msg := w.posted[0]
			w.posted = w.posted[1:]
			w.handle(w.now, msg)
		}
		w.core.fireTimers(w.now)
	}
	for _, h := range requests {
		if h.results != 1 {
			t.Fatalf("a hit got %d answers", h.results)
		}
	}
	if len(w.faults) > 0 || len(w.openRequests) > 0 || len(w.timers) > 1 || len(w.pending) > 0 || starts != 2 || len(requests) < 1000 {
		t.Errorf("faults %v; open %d, timers %d, forwards %d; %d starts, %d hits", w.faults, len(w.openRequests), len(w.timers), len(w.pending),
			starts, len(requests))
	}
}
