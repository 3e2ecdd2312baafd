package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"ottershed/decision"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

const entry = `{"name":"s-1","address":"10.1.0.18:8080","zone":"a","type":"m2","group":3,"status":"%s","weight":1.5,"since_ms":7000,"image_id":41}`

func list(index int, snapshot bool, statuses ...string) string {
	var entries []string
	for _, s := range statuses {
		entries = append(entries, fmt.Sprintf(entry, s))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

func TestDecode(t *testing.T) {
	for name, tc := range map[string]struct {
		text  string
		how   decision.SnapshotKind
		state decision.EndpointState
		fault string
	}{
		"ready":       {list(41, true, "Ready"), decision.FullSnapshot, decision.Serving, ""},
		"terminating": {list(42, false, "Terminating"), decision.Delta, decision.Draining, ""},
		"gone":        {list(42, false, "Gone"), decision.Delta, decision.Removed, ""},
		"no JSON":     {`{"index":4`, 0, 0, "list:"},
		"no index":    {`{}`, 0, 0, "no index"},
		"odd status":  {list(1, true, "Lost"), 0, 0, `"Lost"`},
		"no name":     {`{"index":1,"endpoints":[{"status":"Ready"}]}`, 0, 0, `entry ""`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Decode([]byte(tc.text))
			if tc.fault != "" {
				if err == nil || !strings.Contains(err.Error(), tc.fault) {
					t.Errorf("error %v, want one with %q", err, tc.fault)
				}
				return
			}
			want := engine.Endpoint{Address: "10.1.0.18:8080", Endpoint: decision.Endpoint{
				ID: "s-1", Cell: 3, Started: 7000, Zone: "a",
				Build: 41, MachineType: "m2", State: tc.state, Capacity: 1.5,
			}}
			if err != nil || got.Kind != tc.how || len(got.Endpoints) != 1 || got.Endpoints[0] != want {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// The whole list comes first, then watches from its index on; what fails or hangs costs a call for the whole list.
func TestWatch(t *testing.T) {
	const whole, watch = "/discovery/hosts", "/discovery/hosts?since=%d&timeout_ms=50"
	type step struct{ call, response string }
	for name, steps := range map[string][]step{
		"watches":          {{whole, list(41, true, "Ready")}, {fmt.Sprintf(watch, 41), list(43, false, "Terminating")}, {fmt.Sprintf(watch, 43), list(43, false)}, {fmt.Sprintf(watch, 43), ""}},
		"unreadable":       {{whole, list(41, true, "Ready")}, {fmt.Sprintf(watch, 41), "what?"}, {whole, list(44, true)}, {fmt.Sprintf(watch, 44), ""}},
		"hangs":            {{whole, list(41, true, "Ready")}, {fmt.Sprintf(watch, 41), "hang"}, {whole, "hang"}, {whole, list(44, true)}, {fmt.Sprintf(watch, 44), ""}},
		"an error":         {{whole, "500"}, {whole, list(41, true)}, {fmt.Sprintf(watch, 41), ""}},
		"the index is old": {{whole, list(41, true)}, {fmt.Sprintf(watch, 41), list(2, true, "Ready")}, {fmt.Sprintf(watch, 2), ""}},
	} {
		t.Run(name, func(t *testing.T) {
			calls, updates := make(chan string, 100), make(chan engine.EndpointUpdate, 100)
			var mu sync.Mutex // calls may come beside each other
			n := 0
			next := func(call string) (response string) {
				mu.Lock()
				defer mu.Unlock()
				if n < len(steps) {
					response = steps[n].response
					calls <- call
				}
				n++
				return response
			}
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch response := next(r.URL.String()); response {
				case "500":
					w.WriteHeader(500)
				case "", "hang":
					<-r.Context().Done()
				default:
					io.WriteString(w, response)
				}
			}))
			defer s.Close()
			log := logrus.New()
			log.SetOutput(io.Discard)
			f := New(strings.TrimPrefix(s.URL, "http://"), nil, settings.Network{}, func(l engine.EndpointUpdate) { updates <- l }, log)
			// The answers here are due at once. Limits of a second keep a busy machine from adding a call beside one of them.
			f.watchTimeout, f.responseTimeout, f.hedgeAfter, f.retryDelay = 50*time.Millisecond, time.Second, time.Second, time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { f.Run(ctx); close(ended) }()
			lists := 0
			for i, step := range steps {
				if got := receive(t, calls); got != step.call {
					t.Errorf("call %d: %s, want %s", i, got, step.call)
				}
				if step.response == list(43, false) {
					continue // no change, nothing to tell
				}
				if want, err := Decode([]byte(step.response)); err == nil {
					if lists++; fmt.Sprint(receive(t, updates)) != fmt.Sprint(want) {
						t.Errorf("step %d told something else", i)
					}
				}
			}
			cancel()
			<-ended
			if lists == 0 || len(updates) != 0 {
				t.Errorf("%d lists told, %d too many", lists, len(updates))
			}
		})
	}
}

// receive is the next value of a channel; none within 20 s fails the test.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(20 * time.Second):
		t.Fatal("nothing received within 20 s")
		panic("unreachable")
	}
}

// Moved, the list is asked for whole at the next address; until that answers the first one is watched on, and not heard
// any more then. A part of an answer holds nothing up.
func TestSetAddress(t *testing.T) {
	updates := make(chan engine.EndpointUpdate, 100)
	agent := func(first string) (s *httptest.Server, calls, responses chan string) {
		calls, responses = make(chan string, 100), make(chan string, 100)
		responses <- first
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- r.URL.RawQuery
			select {
			case a := <-responses:
				if a == "part" {
					w.Header().Set("Content-Length", "100")
					io.WriteString(w, `{"index":`)
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}
				io.WriteString(w, a)
			case <-r.Context().Done():
				calls <- "left"
			}
		}))
		t.Cleanup(s.Close)
		return s, calls, responses
	}
	one, oneCalls, oneResponses := agent(list(41, true, "Ready"))
	two, twoCalls, twoResponses := agent("part")
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(one.Listener.Addr().String(), nil, settings.Network{}, func(l engine.EndpointUpdate) { updates <- l }, log)
	f.stallTimeout = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	expect := func(stamp int64) {
		t.Helper()
		select {
		case l := <-updates:
			if l.Version != stamp {
				t.Errorf("list %d told, want %d", l.Version, stamp)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("list %d not told", stamp)
		}
	}
	expect(41)
	<-oneCalls
	f.SetAddress(ctx, "127.0.0.1:1") // nothing there
	f.SetAddress(ctx, two.Listener.Addr().String())
	<-twoCalls
	oneResponses <- list(42, false, "Terminating")
	expect(42)
	if got := <-twoCalls; got != "" { // after the part of an answer
		t.Errorf("asked the next agent for %q first", got)
	}
	twoResponses <- list(7, true, "Ready")
	expect(7)
	if got := <-twoCalls; !strings.HasPrefix(got, "since=7&") {
		t.Errorf("then for %q", got)
	}
	for got := ""; got != "left"; got = <-oneCalls {
	}
}

// Where the list is asked of a service with a queue, a marshal follows on what it holds, never asks for the whole list
// again, and lets the module say when a call that was refused, or failed twice, goes out; one that was cut goes out at once.
func TestPolledEndpoints(t *testing.T) {
	calls, updates := make(chan string, 100), make(chan engine.EndpointUpdate, 100)
	responses := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch a := <-responses; a {
		case "503", "429":
			w.WriteHeader(map[string]int{"503": 503, "429": 429}[a])
		case "cut": // after its head; before it, the client's transport would ask once more by itself
			w.Header().Set("Content-Length", "100")
			io.WriteString(w, "{")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		default:
			io.WriteString(w, a)
		}
	}))
	defer s.Close()
	defer close(responses)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(strings.TrimPrefix(s.URL, "http://"), &engine.EndpointUpdate{Version: 41}, settings.Network{PollEndpoints: true, PollWithin: 10000},
		func(l engine.EndpointUpdate) { updates <- l }, log)
	f.watchTimeout, f.retryDelay = 50*time.Millisecond, time.Millisecond
	if f.responseTimeout != 2500*time.Millisecond {
		t.Errorf("a call that waits its turn is given up after %v", f.responseTimeout)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	for i, step := range []struct {
		turn     bool // the module has to say so first
		since    int
		response string
		updates  decision.SnapshotKind
	}{
		{true, 41, "503", decision.PollRejected},
		{true, 41, "429", decision.PollRejected},
		{true, 41, list(43, false, "Ready"), decision.Delta},
		{false, 43, "cut", -1},
		{false, 43, list(43, false), decision.Delta}, // without entries: the call was taken
		{false, 43, "what?", -1},
		{false, 43, "cut", decision.PollRejected},
		{true, 43, list(44, true, "Ready"), decision.FullSnapshot},
		{false, 44, "503", decision.PollRejected},
	} {
		if step.turn {
			select {
			case got := <-calls:
				t.Fatalf("step %d: asked %q before its turn", i, got)
			case <-time.After(5 * time.Millisecond):
				f.ResumeWatch()
			}
		}
		var got string
		select {
		case got = <-calls:
		case <-time.After(5 * time.Second):
			t.Fatalf("step %d: not asked", i)
		}
		if want := fmt.Sprintf("since=%d&timeout_ms=50", step.since); got != want {
			t.Errorf("step %d: asked %q, want %q", i, got, want)
		}
		responses <- step.response
		if step.updates >= 0 {
			if got := <-updates; got.Kind != step.updates {
				t.Errorf("step %d: told %d, want %d", i, got.Kind, step.updates)
			}
		}
	}
	cancel()
	<-ended
}

// An agent that was down answers none of the calls it took meanwhile: the list is asked for again well within the grace for
// drains, so that it is heard as soon as the agent is back; and one that is slower than that is heard all the same.
func TestAgentBack(t *testing.T) {
	for name, tc := range map[string]struct {
		lost int           // calls that are never answered
		slow time.Duration // the others
	}{"back after an outage": {40, 0}, "slower than calls follow": {0, 30 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			back := make(chan time.Time, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n := int(calls.Add(1))
				if n <= tc.lost || r.URL.RawQuery != "" {
					<-r.Context().Done()
					return
				}
				select {
				case back <- time.Now():
				default:
				}
				time.Sleep(tc.slow)
				io.WriteString(w, list(41, true, "Ready"))
			}))
			defer s.Close()
			log := logrus.New()
			log.SetOutput(io.Discard)
			updates := make(chan engine.EndpointUpdate, 10)
			f := New(strings.TrimPrefix(s.URL, "http://"), nil, settings.Network{DrainGrace: 40}, func(l engine.EndpointUpdate) { updates <- l }, log)
			if f.hedgeAfter != 10*time.Millisecond || f.retryDelay > f.hedgeAfter {
				t.Errorf("another call after %v, after a failure after %v", f.hedgeAfter, f.retryDelay)
			}
			f.responseTimeout = 100 * time.Millisecond // ten calls at most are open; forty are lost in some four such times
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { f.Run(ctx); close(ended) }()
			select {
			case l := <-updates:
				if l.Version != 41 || int(calls.Load()) < tc.lost+1 {
					t.Errorf("list %d after %d calls", l.Version, calls.Load())
				}
			case <-time.After(10 * time.Second):
				t.Error("the list was not told")
			}
			cancel()
			<-ended
			if len(back) != 1 {
				t.Error("no call reached the agent once it was back")
			}
		})
	}
}

// agent is a stand-in for which the test says what each call gets: the answer, or "" for none.
func fakeAgent(t *testing.T, respond func(r *http.Request) string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a := respond(r); a != "" {
			io.WriteString(w, a)
		} else {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// follow runs a follower until the test ends.
func follow(t *testing.T, f *Watcher) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return ctx
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// expect waits for the list of this number.
func expect(t *testing.T, updates <-chan engine.EndpointUpdate, stamp int64) {
	t.Helper()
	select {
	case l := <-updates:
		if l.Version != stamp {
			t.Errorf("list %d told, want %d", l.Version, stamp)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("list %d not told", stamp)
	}
}

// An agent is silent only for as long as it takes to lose the open watch; what it holds then is heard within the grace.
func TestShortSilence(t *testing.T) {
	const grace = 2000
	updates, lost := make(chan engine.EndpointUpdate, 10), make(chan time.Time, 1)
	var calls atomic.Int64
	f := New(fakeAgent(t, func(r *http.Request) string {
		switch calls.Add(1) {
		case 1:
			return list(41, true, "Ready")
		case 2: // lost with the watch
			lost <- time.Now()
		case 3:
			return list(42, true, "Terminating")
		}
		return ""
	}), nil, settings.Network{DrainGrace: grace}, func(l engine.EndpointUpdate) { updates <- l }, quiet())
	follow(t, f)
	expect(t, updates, 41)
	<-f.Received()
	back := <-lost
	expect(t, updates, 42)
	if took := time.Since(back); took > grace*time.Millisecond {
		t.Errorf("heard %v after the agent was back", took)
	}
}

// A move that comes when the next agent has told its list, and before that is known, ends neither watch: what that
// agent tells afterwards is heard, while the address after it is silent.
func TestSetAddressDuringFirstUpdate(t *testing.T) {
	updates, more := make(chan engine.EndpointUpdate, 10), make(chan string, 1)
	hold := func(r *http.Request) string { return "" }
	one := fakeAgent(t, func(r *http.Request) string {
		if r.URL.RawQuery == "" {
			return list(41, true, "Ready")
		}
		return ""
	})
	two := fakeAgent(t, func(r *http.Request) string {
		if r.URL.RawQuery == "" {
			return list(7, true, "Ready")
		}
		select {
		case a := <-more:
			return a
		case <-r.Context().Done():
			return ""
		}
	})
	silent := fakeAgent(t, hold)
	var f *Watcher
	var ctx context.Context
	f = New(one, nil, settings.Network{DrainGrace: 4000}, func(l engine.EndpointUpdate) {
		if l.Version == 7 {
			f.SetAddress(ctx, silent) // taken by Run while this watch has told and not yet said so
		}
		updates <- l
	}, quiet())
	ctx = follow(t, f)
	expect(t, updates, 41)
	f.SetAddress(ctx, two)
	expect(t, updates, 7)
	more <- list(8, false, "Terminating")
	expect(t, updates, 8)
}

// However short the grace, a silent agent has few calls open, for each takes a descriptor; and the first of them is heard
// when it is answered at last.
func TestFewCalls(t *testing.T) {
	updates, first := make(chan engine.EndpointUpdate, 10), make(chan struct{})
	var calls, open, most atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		now := open.Add(1)
		defer open.Add(-1)
		most.Store(max(most.Load(), now))
		if n == 1 {
			<-first
			io.WriteString(w, list(41, true, "Ready"))
			return
		}
		if n == 4*maxOpenCalls {
			close(first)
		}
		<-r.Context().Done()
	}))
	defer s.Close()
	f := New(s.Listener.Addr().String(), nil, settings.Network{DrainGrace: 8}, func(l engine.EndpointUpdate) { updates <- l }, quiet())
	f.responseTimeout = 10 * time.Second
	follow(t, f)
	expect(t, updates, 41)
	// The stand-in sees the end of a call a moment late.
	if most.Load() > 2*maxOpenCalls {
		t.Errorf("%d calls open at once, want %d or hardly more", most.Load(), maxOpenCalls)
	}
}

// Of two calls beside each other the first answer counts, and what the other would tell is never heard: an older list does
// not come after a newer one.
func TestTwoResponses(t *testing.T) {
	updates, second := make(chan engine.EndpointUpdate, 10), make(chan struct{})
	var calls atomic.Int64
	canceled := make(chan struct{})
	f := New(fakeAgent(t, func(r *http.Request) string {
		switch calls.Add(1) {
		case 1: // slow, and older
			<-second
			select {
			case <-r.Context().Done():
				close(canceled)
			case <-time.After(10 * time.Second):
			}
			return list(41, true, "Ready")
		case 2:
			close(second)
			return list(42, true, "Terminating")
		case 3:
			<-canceled
			return list(43, false, "Gone")
		}
		return ""
	}), nil, settings.Network{DrainGrace: 100}, func(l engine.EndpointUpdate) { updates <- l }, quiet())
	f.responseTimeout, f.watchTimeout = 20*time.Second, 20*time.Second
	follow(t, f)
	expect(t, updates, 42)
	expect(t, updates, 43)
}

// piece is a part of an answer, and how long it comes after the one before; the first after the call.
type piece struct {
	after time.Duration
	text  string
}

// never is a piece that doesn't come.
var never = piece{after: time.Hour}

// evenly cuts an answer into so many pieces that come so long after each other.
func evenly(after time.Duration, body string, count int) (pieces []piece) {
	for i := range count {
		pieces = append(pieces, piece{after, body[i*len(body)/count : (i+1)*len(body)/count]})
	}
	return pieces
}

// pieceBody is the body of an answer that comes in pieces.
type pieceBody struct {
	ctx    context.Context
	pieces []piece
}

func (b *pieceBody) Read(p []byte) (int, error) {
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	next := &b.pieces[0]
	select {
	case <-time.After(next.after):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, next.text)
	if next.after, next.text = 0, next.text[n:]; next.text == "" {
		b.pieces = b.pieces[1:]
	}
	return n, nil
}

func (b *pieceBody) Close() error { return nil }

// slowAgent is an agent in the time of synctest: for each call, numbered from 1, it says in which pieces the answer comes.
type slowAgent struct {
	respond func(call int, since string) []piece
	mu      sync.Mutex
	calls   []context.Context
	most    int // calls that were open at once
}

// open is how many calls are; mu must be held.
func (a *slowAgent) open() (n int) {
	for _, call := range a.calls {
		if call.Err() == nil {
			n++
		}
	}
	return n
}

var errBroken = errors.New("connection broken")

func (a *slowAgent) RoundTrip(r *http.Request) (*http.Response, error) {
	a.mu.Lock()
	a.calls = append(a.calls, r.Context())
	number := len(a.calls)
	a.most = max(a.most, a.open())
	a.mu.Unlock()
	pieces := a.respond(number, r.URL.Query().Get("since"))
	if len(pieces) == 0 {
		return nil, errBroken
	}
	select {
	case <-time.After(pieces[0].after):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	pieces[0].after = 0
	return &http.Response{StatusCode: http.StatusOK, Body: &pieceBody{r.Context(), pieces}, Request: r}, nil
}

// slowWatch makes a watch on the agent at a grace for drains of 40 ms, so that calls follow each other every 10 ms.
func slowWatch(a *slowAgent, updates func(engine.EndpointUpdate)) *watch {
	f := New("agent", nil, settings.Network{DrainGrace: 40}, updates, quiet())
	return &watch{
		Watcher: f, number: 1, version: -1, url: "http://agent/discovery/hosts", client: &http.Client{Transport: a},
		updates: make(chan int, 1),
	}
}

// An agent that answers late, or slowly, is heard all the same within the time in which the operators count a change as told;
// calls beside each other neither end nor drown the one whose answer comes.
func TestSlowAgent(t *testing.T) {
	const hasten = 10 * time.Millisecond // between calls
	older, newer := list(41, true, "Ready"), list(42, true, "Terminating")
	for name, tc := range map[string]struct {
		response func(call int) []piece
		stamp    int64
		at       time.Duration // when the list is told
		calls    int           // until then; 0: any
		decoding time.Duration // how long each list takes
	}{
		"each answer three seconds late": {
			response: func(int) []piece { return []piece{{3 * time.Second, older}} },
			stamp:    41, at: 3 * time.Second,
		},
		"an outage, then half a second late": {response: func(call int) []piece {
			if call < 250 { // 2.5 s
				return []piece{never}
			}
			return []piece{{500 * time.Millisecond, older}}
		}, stamp: 41, at: 3500 * time.Millisecond},
		"only the second that stays open is answered": {response: func(call int) []piece {
			if call == 101 {
				return []piece{{3500 * time.Millisecond, older}} // when the first has been given up
			}
			return []piece{never}
		}, stamp: 41, at: 4500 * time.Millisecond},
		"in pieces for three seconds": {
			response: func(int) []piece { return evenly(300*time.Millisecond, older, 10) },
			stamp:    41, at: 3 * time.Second,
		},
		"steadily, longer than calls follow": {response: func(call int) []piece {
			if call == 1 {
				return append([]piece{{after: 5 * time.Millisecond}}, evenly(100*time.Millisecond, older, 10)...)
			}
			return []piece{{0, newer}}
		}, stamp: 41, at: 1005 * time.Millisecond, calls: 1},
		"steadily, and too long": {response: func(call int) []piece {
			if call == 1 {
				return append([]piece{{after: 5 * time.Millisecond}}, evenly(150*time.Millisecond, older, 30)...)
			}
			return []piece{{0, newer}}
		}, stamp: 42, at: snapshotTimeout, calls: 2},
		"only a part": {response: func(call int) []piece {
			if call == 1 {
				return []piece{{5 * time.Millisecond, older[:20]}, never}
			}
			return []piece{{0, newer}}
		}, stamp: 42, at: stallTimeout + hasten, calls: 2},
		"a part, and the rest when another answer has come": {response: func(call int) []piece {
			if call == 1 {
				return []piece{{5 * time.Millisecond, older[:20]}, {stallTimeout + hasten, older[20:]}}
			}
			return []piece{{0, newer}}
		}, stamp: 42, at: stallTimeout + hasten, calls: 2},
		"long to decode": {
			response: func(call int) []piece { return []piece{{5 * time.Millisecond, older}} },
			stamp:    41, at: 1005 * time.Millisecond, calls: 1, decoding: time.Second,
		},
		"slow to read and long to decode": {response: func(call int) []piece {
			return append([]piece{{after: 5 * time.Millisecond}}, evenly(390*time.Millisecond, older, 10)...)
		}, stamp: 41, at: 4905 * time.Millisecond, decoding: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				updates := make(chan engine.EndpointUpdate, 10)
				a := &slowAgent{respond: func(call int, since string) []piece {
					if since != "" {
						return []piece{never}
					}
					return tc.response(call)
				}}
				f := slowWatch(a, func(l engine.EndpointUpdate) {
					select {
					case updates <- l:
					default:
					}
				})
				f.decode = func(raw []byte) (engine.EndpointUpdate, error) {
					time.Sleep(tc.decoding)
					return Decode(raw)
				}
				ctx, cancel := context.WithCancel(t.Context())
				began := time.Now()
				go f.run(ctx)
				defer time.Sleep(tc.decoding + time.Millisecond) // what is being decoded goes on to its end
				defer cancel()
				select {
				case l := <-updates:
					a.mu.Lock()
					calls, most := len(a.calls), a.most
					a.mu.Unlock()
					if took := time.Since(began); l.Version != tc.stamp || took < tc.at || took > tc.at+hasten {
						t.Errorf("list %d told after %v, want %d after %v", l.Version, took, tc.stamp, tc.at)
					}
					if tc.calls > 0 && calls > tc.calls+1 { // the next watch may be out
						t.Errorf("%d calls, want %d", calls, tc.calls)
					}
					if most > maxOpenCalls {
						t.Errorf("%d calls open at once, want %d at most", most, maxOpenCalls)
					}
				case <-time.After(20 * time.Second):
					t.Fatal("no list was told")
				}
				time.Sleep(5 * time.Millisecond)
				if len(updates) > 0 {
					t.Errorf("then list %d was told", (<-updates).Version)
				}
			})
		})
	}
}

// A silent agent, however long, has no more calls open than there are descriptors for, and is said to be silent after a
// second; one that breaks the connection is not waited for.
func TestLongSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &slowAgent{respond: func(call int, _ string) []piece {
			if call == 2000 { // after 20 s
				return nil
			}
			return []piece{never}
		}}
		f := slowWatch(a, func(engine.EndpointUpdate) { t.Error("a list was told") })
		began := time.Now()
		var warned atomic.Int64
		f.log = warnings{f.log, func() { warned.CompareAndSwap(0, int64(time.Since(began))) }}
		_, err := f.next(t.Context())
		if took := time.Since(began); !errors.Is(err, errBroken) || took < 19*time.Second || took > 21*time.Second {
			t.Errorf("after %v: %v, want %v", took, err, errBroken)
		}
		if at := time.Duration(warned.Load()); at < responseTimeout || at > responseTimeout+20*time.Millisecond {
			t.Errorf("said to be silent after %v, want %v", at, responseTimeout)
		}
		synctest.Wait()
		if open := a.open(); a.most > maxOpenCalls || open > 0 {
			t.Errorf("%d calls open at once, %d in the end, want %d and none", a.most, open, maxOpenCalls)
		}
	})
}

// warnings is a log that tells of each warning.
type warnings struct {
	logrus.FieldLogger
	warned func()
}

func (w warnings) WithError(err error) *logrus.Entry {
	w.warned()
	return w.FieldLogger.WithError(err)
}

// The answer to a watch is read for as long as bytes come; one that stays a part is followed by a call for the whole list.
func TestSlowWatch(t *testing.T) {
	part := []piece{{0, list(42, false, "Terminating")[:20]}, never}
	for name, tc := range map[string]struct {
		watch []piece
		stamp int64
		at    time.Duration
	}{
		"steadily":    {evenly(100*time.Millisecond, list(42, false, "Terminating"), 10), 42, time.Second},
		"only a part": {part, 43, stallTimeout},
		"for ever":    {evenly(100*time.Millisecond, list(42, false, "Terminating"), 60), 43, snapshotTimeout + 30*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				updates := make(chan engine.EndpointUpdate, 10)
				watches := 0
				a := &slowAgent{respond: func(call int, since string) []piece {
					if since == "" {
						return []piece{{0, list(43, true, "Gone")}}
					}
					if watches++; watches > 1 {
						return []piece{never}
					}
					pieces := append([]piece(nil), tc.watch...)
					pieces[0].after = 0
					return pieces
				}}
				f := slowWatch(a, func(l engine.EndpointUpdate) {
					select {
					case updates <- l:
					default:
					}
				})
				f.version = 41
				ctx, cancel := context.WithCancel(t.Context())
				began := time.Now()
				go f.run(ctx)
				defer synctest.Wait()
				defer cancel()
				l := <-updates
				if took := time.Since(began); l.Version != tc.stamp || took < tc.at-100*time.Millisecond || took > tc.at+10*time.Millisecond {
					t.Errorf("list %d told after %v, want %d after %v", l.Version, took, tc.stamp, tc.at)
				}
			})
		})
	}
}
