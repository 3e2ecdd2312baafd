package discovery

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// callStep is a call that is expected, and what it gets.
type callStep struct {
	call     string // path and query
	response reply
}

// A full snapshot comes first, then watches from its version on; a call that fails or has no response is followed by
// one for a full snapshot.
func TestWatch(t *testing.T) {
	const snapshot = "/discovery/hosts"
	since := func(version int) string { return fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=50", version) }
	for name, steps := range map[string][]callStep{
		"watches": {
			{snapshot, reply{body: list(41, true, "Ready")}},
			{since(41), reply{body: list(43, false, "Terminating")}},
			{since(43), reply{body: list(43, false)}},
			{since(43), reply{}},
		},
		"unreadable": {
			{snapshot, reply{body: list(41, true, "Ready")}},
			{since(41), reply{body: "what?"}},
			{snapshot, reply{body: list(44, true)}},
			{since(44), reply{}},
		},
		"hangs": {
			{snapshot, reply{body: list(41, true, "Ready")}},
			{since(41), reply{}},
			{snapshot, reply{}},
			{snapshot, reply{body: list(44, true)}},
			{since(44), reply{}},
		},
		"an error": {
			{snapshot, reply{status: http.StatusInternalServerError}},
			{snapshot, reply{body: list(41, true)}},
			{since(41), reply{}},
		},
		"the index is old": {
			{snapshot, reply{body: list(41, true)}},
			{since(41), reply{body: list(2, true, "Ready")}},
			{since(2), reply{}},
		},
	} {
		t.Run(name, func(t *testing.T) { checkSteps(t, steps) })
	}
}

// checkSteps follows an agent that replies as the steps say, and expects their calls and the updates they carry.
func checkSteps(t *testing.T, steps []callStep) {
	t.Helper()
	calls, updates := make(chan string, 100), make(chan engine.EndpointUpdate, 100)
	watcher := New(scriptedAgent(t, steps, calls), nil, settings.Network{},
		func(update engine.EndpointUpdate) { updates <- update }, quiet())
	// The responses here are due at once. Limits of a second keep a busy machine from adding a call beside one of them.
	watcher.watchTimeout, watcher.retryDelay = 50*time.Millisecond, time.Millisecond
	watcher.responseTimeout, watcher.hedgeAfter = time.Second, time.Second
	_, stop := follow(t, watcher)
	delivered := 0
	for i, step := range steps {
		if got := receive(t, calls); got != step.call {
			t.Errorf("call %d: %s, want %s", i, got, step.call)
		}
		if step.response.body == list(43, false) {
			continue // no change, nothing to deliver
		}
		want, err := Decode([]byte(step.response.body))
		if err != nil {
			continue
		}
		delivered++
		if fmt.Sprint(receive(t, updates)) != fmt.Sprint(want) {
			t.Errorf("step %d delivered something else", i)
		}
	}
	stop()
	if delivered == 0 || len(updates) != 0 {
		t.Errorf("%d lists delivered, %d too many", delivered, len(updates))
	}
}

// scriptedAgent replies to the calls as the steps say, and leaves those after them open. It sends each call to calls.
func scriptedAgent(t *testing.T, steps []callStep, calls chan<- string) string {
	t.Helper()
	var mu sync.Mutex // calls may come beside each other
	next := 0
	return fakeAgent(t, func(r *http.Request) reply {
		mu.Lock()
		defer mu.Unlock()
		if next == len(steps) {
			return reply{}
		}
		calls <- r.URL.String()
		next++
		return steps[next-1].response
	})
}

// queryAgent is an agent that sends the query of each call to calls and takes its replies from a channel. It sends
// "left" when a call that has no reply yet is ended.
func queryAgent(t *testing.T, first reply) (address string, calls chan string, replies chan reply) {
	t.Helper()
	calls, replies = make(chan string, 100), make(chan reply, 100)
	replies <- first
	address = fakeAgent(t, func(r *http.Request) reply {
		calls <- r.URL.RawQuery
		select {
		case next := <-replies:
			return next
		case <-r.Context().Done():
			calls <- "left"
			return reply{}
		}
	})
	return address, calls, replies
}

// After a change of address a full snapshot is asked for at the next address; until that responds the first one is
// watched, and not any more then. A response that stalls blocks nothing.
func TestSetAddress(t *testing.T) {
	const within = 5 * time.Second
	updates := make(chan engine.EndpointUpdate, 100)
	one, oneCalls, oneReplies := queryAgent(t, reply{body: list(41, true, "Ready")})
	two, twoCalls, twoReplies := queryAgent(t, reply{body: `{"index":`, ending: stall})
	watcher := New(one, nil, settings.Network{}, func(update engine.EndpointUpdate) { updates <- update }, quiet())
	watcher.stallTimeout = 20 * time.Millisecond
	ctx, _ := follow(t, watcher)
	expect(t, updates, 41, within)
	<-oneCalls
	watcher.SetAddress(ctx, "127.0.0.1:1") // nothing there
	watcher.SetAddress(ctx, two)
	<-twoCalls
	oneReplies <- reply{body: list(42, false, "Terminating")}
	expect(t, updates, 42, within)
	if got := <-twoCalls; got != "" { // after the response that stalled
		t.Errorf("first call to the next agent has the query %q", got)
	}
	twoReplies <- reply{body: list(7, true, "Ready")}
	expect(t, updates, 7, within)
	if got := <-twoCalls; !strings.HasPrefix(got, "since=7&") {
		t.Errorf("then one with the query %q", got)
	}
	for got := ""; got != "left"; got = <-oneCalls {
	}
}

// A change of address that comes when the next agent has delivered its list, and before Run knows, ends neither watch:
// what that agent delivers afterwards is received, while the address after it has no response.
func TestSetAddressDuringFirstUpdate(t *testing.T) {
	updates, more := make(chan engine.EndpointUpdate, 10), make(chan string, 1)
	one := fakeAgent(t, func(r *http.Request) reply {
		if r.URL.RawQuery == "" {
			return reply{body: list(41, true, "Ready")}
		}
		return reply{}
	})
	two := fakeAgent(t, func(r *http.Request) reply {
		if r.URL.RawQuery == "" {
			return reply{body: list(7, true, "Ready")}
		}
		select {
		case body := <-more:
			return reply{body: body}
		case <-r.Context().Done():
			return reply{}
		}
	})
	unavailable := fakeAgent(t, func(*http.Request) reply { return reply{} })
	var watcher *Watcher
	var ctx context.Context
	watcher = New(one, nil, settings.Network{DrainGrace: 4000}, func(update engine.EndpointUpdate) {
		if update.Version == 7 {
			watcher.SetAddress(ctx, unavailable) // Run takes it while this watch has delivered and not yet said so
		}
		updates <- update
	}, quiet())
	ctx, _ = follow(t, watcher)
	expect(t, updates, 41, 10*time.Second)
	watcher.SetAddress(ctx, two)
	expect(t, updates, 7, 10*time.Second)
	more <- list(8, false, "Terminating")
	expect(t, updates, 8, 10*time.Second)
}

// Where the list is polled from a service with a queue, an instance follows from the version it holds, never asks for
// a full snapshot again, and lets the decision module say when a call that was rejected, or failed twice, goes out;
// one whose connection broke goes out at once.
func TestPolledEndpoints(t *testing.T) {
	const noUpdate = -1
	calls, updates := make(chan string, 100), make(chan engine.EndpointUpdate, 100)
	replies := make(chan reply, 100)
	defer close(replies)
	address := fakeAgent(t, func(r *http.Request) reply {
		calls <- r.URL.RawQuery
		return <-replies
	})
	watcher := New(address, &engine.EndpointUpdate{Version: 41}, settings.Network{PollEndpoints: true, PollWithin: 10000},
		func(update engine.EndpointUpdate) { updates <- update }, quiet())
	watcher.watchTimeout, watcher.retryDelay = 50*time.Millisecond, time.Millisecond
	if watcher.responseTimeout != 2500*time.Millisecond {
		t.Errorf("a call that waits in the queue is given up after %v", watcher.responseTimeout)
	}
	_, stop := follow(t, watcher)
	// Before its head is sent, the client's transport would repeat the call by itself.
	broken := reply{body: "{", ending: abort}
	for i, step := range []struct {
		awaitsResume bool // the module has to say so first
		since        int
		response     reply
		update       decision.SnapshotKind
	}{
		{true, 41, reply{status: http.StatusServiceUnavailable}, decision.PollRejected},
		{true, 41, reply{status: http.StatusTooManyRequests}, decision.PollRejected},
		{true, 41, reply{body: list(43, false, "Ready")}, decision.Delta},
		{false, 43, broken, noUpdate},
		{false, 43, reply{body: list(43, false)}, decision.Delta}, // without entries: the call was accepted
		{false, 43, reply{body: "what?"}, noUpdate},
		{false, 43, broken, decision.PollRejected},
		{true, 43, reply{body: list(44, true, "Ready")}, decision.FullSnapshot},
		{false, 44, reply{status: http.StatusServiceUnavailable}, decision.PollRejected},
	} {
		if step.awaitsResume {
			select {
			case got := <-calls:
				t.Fatalf("step %d: call %q before ResumeWatch", i, got)
			case <-time.After(5 * time.Millisecond):
				watcher.ResumeWatch()
			}
		}
		got := ""
		select {
		case got = <-calls:
		case <-time.After(5 * time.Second):
			t.Fatalf("step %d: no call", i)
		}
		if want := fmt.Sprintf("since=%d&timeout_ms=50", step.since); got != want {
			t.Errorf("step %d: call %q, want %q", i, got, want)
		}
		replies <- step.response
		if step.update == noUpdate {
			continue
		}
		if got := <-updates; got.Kind != step.update {
			t.Errorf("step %d: update %d, want %d", i, got.Kind, step.update)
		}
	}
	stop()
}

// An agent has an outage only as long as it takes to lose the open watch; what it holds then is received within the
// grace.
func TestShortSilence(t *testing.T) {
	const grace = 2000 // ms
	updates, lost := make(chan engine.EndpointUpdate, 10), make(chan time.Time, 1)
	var calls atomic.Int64
	watcher := New(fakeAgent(t, func(*http.Request) reply {
		switch calls.Add(1) {
		case 1:
			return reply{body: list(41, true, "Ready")}
		case 2: // lost with the watch
			lost <- time.Now()
		case 3:
			return reply{body: list(42, true, "Terminating")}
		}
		return reply{}
	}), nil, settings.Network{DrainGrace: grace}, func(update engine.EndpointUpdate) { updates <- update }, quiet())
	follow(t, watcher)
	expect(t, updates, 41, 10*time.Second)
	<-watcher.Received()
	back := <-lost
	expect(t, updates, 42, 10*time.Second)
	if took := time.Since(back); took > grace*time.Millisecond {
		t.Errorf("received %v after the agent was back", took)
	}
}
