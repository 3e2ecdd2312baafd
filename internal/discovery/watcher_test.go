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

// callStep is an expected call with its response.
type callStep struct {
	call     string // path and query
	response reply
}

// The first call fetches a full snapshot, the following ones watch from its version on. After a failed or timed-out
// call a full snapshot is fetched.
func TestWatchCallSequence(t *testing.T) {
	const snapshot = "/discovery/hosts"
	since := func(version int) string { return fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=50", version) }
	for name, steps := range map[string][]callStep{
		"watches": {
			{snapshot, reply{body: encodeUpdate(41, true, "Ready")}},
			{since(41), reply{body: encodeUpdate(43, false, "Terminating")}},
			{since(43), reply{body: encodeUpdate(43, false)}},
			{since(43), reply{}},
		},
		"malformed list": {
			{snapshot, reply{body: encodeUpdate(41, true, "Ready")}},
			{since(41), reply{body: "what?"}},
			{snapshot, reply{body: encodeUpdate(44, true)}},
			{since(44), reply{}},
		},
		"no response": {
			{snapshot, reply{body: encodeUpdate(41, true, "Ready")}},
			{since(41), reply{}},
			{snapshot, reply{}},
			{snapshot, reply{body: encodeUpdate(44, true)}},
			{since(44), reply{}},
		},
		"status 500": {
			{snapshot, reply{status: http.StatusInternalServerError}},
			{snapshot, reply{body: encodeUpdate(41, true)}},
			{since(41), reply{}},
		},
		"index decreases": {
			{snapshot, reply{body: encodeUpdate(41, true)}},
			{since(41), reply{body: encodeUpdate(2, true, "Ready")}},
			{since(2), reply{}},
		},
	} {
		t.Run(name, func(t *testing.T) { checkSteps(t, steps) })
	}
}

// checkSteps runs a watcher on an agent with scripted responses and checks the calls and the delivered updates.
func checkSteps(t *testing.T, steps []callStep) {
	t.Helper()
	calls, updates := make(chan string, 100), make(chan engine.EndpointUpdate, 100)
	watcher := New(scriptedAgent(t, steps, calls), nil, settings.Network{},
		func(update engine.EndpointUpdate) { updates <- update }, discardLog())
	// The agent responds at once. Limits of 1 s avoid hedged calls on a busy machine.
	watcher.watchTimeout, watcher.retryDelay = 50*time.Millisecond, time.Millisecond
	watcher.responseTimeout, watcher.hedgeAfter = time.Second, time.Second
	_, stop := runWatcher(t, watcher)
	delivered := 0
	for i, step := range steps {
		if got := receive(t, calls); got != step.call {
			t.Errorf("call %d: got %s, want %s", i, got, step.call)
		}
		if step.response.body == encodeUpdate(43, false) {
			continue // no change, nothing to deliver
		}
		want, err := Decode([]byte(step.response.body))
		if err != nil {
			continue
		}
		delivered++
		if got := receive(t, updates); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("step %d: got update %v, want %v", i, got, want)
		}
	}
	stop()
	if delivered == 0 || len(updates) != 0 {
		t.Errorf("delivered updates: got %d expected and %d unexpected, want at least 1 and none", delivered, len(updates))
	}
}

// scriptedAgent starts an agent that sends the responses of the steps and leaves later calls open. The calls of the
// steps are sent to calls.
func scriptedAgent(t *testing.T, steps []callStep, calls chan<- string) string {
	t.Helper()
	var mu sync.Mutex // calls may be concurrent
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

// queryAgent starts an agent that sends the query of each call to calls and takes its replies from a channel; first is
// the reply to the first call. It sends "canceled" to calls when the caller ends a call without a reply.
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
			calls <- "canceled"
			return reply{}
		}
	})
	return address, calls, replies
}

// After a change of address a full snapshot is fetched from the new address. The old address is watched until that
// snapshot arrives, and not longer. A stalled response blocks nothing.
func TestSetAddressKeepsOldWatchUntilSnapshot(t *testing.T) {
	const within = 5 * time.Second
	updates := make(chan engine.EndpointUpdate, 100)
	oldAddress, oldCalls, oldReplies := queryAgent(t, reply{body: encodeUpdate(41, true, "Ready")})
	nextAddress, nextCalls, nextReplies := queryAgent(t, reply{body: `{"index":`, ending: stall})
	watcher := New(oldAddress, nil, settings.Network{},
		func(update engine.EndpointUpdate) { updates <- update }, discardLog())
	watcher.stallTimeout = 20 * time.Millisecond
	ctx, _ := runWatcher(t, watcher)
	expectVersion(t, updates, 41, within)
	<-oldCalls
	watcher.SetAddress(ctx, "127.0.0.1:1") // refuses connections
	watcher.SetAddress(ctx, nextAddress)
	<-nextCalls
	oldReplies <- reply{body: encodeUpdate(42, false, "Terminating")}
	expectVersion(t, updates, 42, within)
	if got := <-nextCalls; got != "" { // after the stalled response
		t.Errorf("new address: got query %q, want none", got)
	}
	nextReplies <- reply{body: encodeUpdate(7, true, "Ready")}
	expectVersion(t, updates, 7, within)
	if got := <-nextCalls; !strings.HasPrefix(got, "since=7&") {
		t.Errorf("new address: got query %q, want prefix %q", got, "since=7&")
	}
	for got := ""; got != "canceled"; got = <-oldCalls {
	}
}

// A change of address just after a new agent has delivered its first list, before Run has received the watch's number,
// must not stop both watches. Later updates of that agent are still received while the next address does not respond.
func TestSetAddressDuringFirstUpdateKeepsWatch(t *testing.T) {
	updates, more := make(chan engine.EndpointUpdate, 10), make(chan string, 1)
	oldAddress := fakeAgent(t, func(r *http.Request) reply {
		if r.URL.RawQuery == "" {
			return reply{body: encodeUpdate(41, true, "Ready")}
		}
		return reply{}
	})
	nextAddress := fakeAgent(t, func(r *http.Request) reply {
		if r.URL.RawQuery == "" {
			return reply{body: encodeUpdate(7, true, "Ready")}
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
	watcher = New(oldAddress, nil, settings.Network{DrainGrace: 4000}, func(update engine.EndpointUpdate) {
		if update.Version == 7 {
			watcher.SetAddress(ctx, unavailable) // Run receives it before the number of this watch
		}
		updates <- update
	}, discardLog())
	ctx, _ = runWatcher(t, watcher)
	expectVersion(t, updates, 41, 10*time.Second)
	watcher.SetAddress(ctx, nextAddress)
	expectVersion(t, updates, 7, 10*time.Second)
	more <- encodeUpdate(8, false, "Terminating")
	expectVersion(t, updates, 8, 10*time.Second)
}

// A polling watcher continues from the known version and never fetches a full snapshot again. After a rejection or two
// failures in a row, the next call waits for ResumeWatch. After one broken connection, the next call is sent at once.
func TestPolledListResumesAfterRejection(t *testing.T) {
	const noUpdate = -1
	calls, updates := make(chan string, 100), make(chan engine.EndpointUpdate, 100)
	replies := make(chan reply, 100)
	defer close(replies)
	address := fakeAgent(t, func(r *http.Request) reply {
		calls <- r.URL.RawQuery
		return <-replies
	})
	watcher := New(address, &engine.EndpointUpdate{Version: 41}, settings.Network{PollEndpoints: true, MaxPollInterval: 10000},
		func(update engine.EndpointUpdate) { updates <- update }, discardLog())
	watcher.watchTimeout, watcher.retryDelay = 50*time.Millisecond, time.Millisecond
	if watcher.responseTimeout != 2500*time.Millisecond {
		t.Errorf("watcher of a polled list: got response timeout %v, want 2.5s", watcher.responseTimeout)
	}
	_, stop := runWatcher(t, watcher)
	// If the connection broke before the response header, http.Transport would repeat the call by itself.
	brokenReply := reply{body: "{", ending: abort}
	for i, step := range []struct {
		awaitsResume bool // ResumeWatch must be called first
		since        int  // version in the query of the call
		response     reply
		update       decision.SnapshotKind // kind of the update that the handler gets; noUpdate: none
	}{
		{true, 41, reply{status: http.StatusServiceUnavailable}, decision.PollRejected},
		{true, 41, reply{status: http.StatusTooManyRequests}, decision.PollRejected},
		{true, 41, reply{body: encodeUpdate(43, false, "Ready")}, decision.Delta},
		{false, 43, brokenReply, noUpdate},
		{false, 43, reply{body: encodeUpdate(43, false)}, decision.Delta}, // no entries: shows that the call was accepted
		{false, 43, reply{body: "what?"}, noUpdate},
		{false, 43, brokenReply, decision.PollRejected},
		{true, 43, reply{body: encodeUpdate(44, true, "Ready")}, decision.FullSnapshot},
		{false, 44, reply{status: http.StatusServiceUnavailable}, decision.PollRejected},
	} {
		if step.awaitsResume {
			select {
			case got := <-calls:
				t.Fatalf("step %d: got call %q before ResumeWatch, want none", i, got)
			case <-time.After(5 * time.Millisecond):
				watcher.ResumeWatch()
			}
		}
		got := ""
		select {
		case got = <-calls:
		case <-time.After(5 * time.Second):
			t.Fatalf("step %d: got no call within 5 s", i)
		}
		if want := fmt.Sprintf("since=%d&timeout_ms=50", step.since); got != want {
			t.Errorf("step %d: got call %q, want %q", i, got, want)
		}
		replies <- step.response
		if step.update == noUpdate {
			continue
		}
		if got := <-updates; got.Kind != step.update {
			t.Errorf("step %d: got update kind %d, want %d", i, got.Kind, step.update)
		}
	}
	stop()
}

// After an outage that is just long enough to lose the open watch, the list of the agent is received within the grace.
func TestShortOutageNoticedWithinGrace(t *testing.T) {
	const grace = 2000 // ms
	updates, lost := make(chan engine.EndpointUpdate, 10), make(chan time.Time, 1)
	var calls atomic.Int64
	watcher := New(fakeAgent(t, func(*http.Request) reply {
		switch calls.Add(1) {
		case 1:
			return reply{body: encodeUpdate(41, true, "Ready")}
		case 2: // the watch that is lost in the outage
			lost <- time.Now()
		case 3:
			return reply{body: encodeUpdate(42, true, "Terminating")}
		}
		return reply{}
	}), nil, settings.Network{DrainGrace: grace}, func(update engine.EndpointUpdate) { updates <- update }, discardLog())
	runWatcher(t, watcher)
	expectVersion(t, updates, 41, 10*time.Second)
	<-watcher.FirstListReceived()
	back := <-lost
	expectVersion(t, updates, 42, 10*time.Second)
	if took := time.Since(back); took > grace*time.Millisecond {
		t.Errorf("received %v after the agent was back, want at most %d ms", took, grace)
	}
}
