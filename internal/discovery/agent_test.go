package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// entryFormat is the encoding of an endpoint with a placeholder for its status.
const entryFormat = `{"name":"s-1","address":"10.1.0.18:8080","zone":"a","type":"m2","group":3,"status":"%s","weight":1.5,"since_ms":7000,"image_id":41}`

// encodeUpdate encodes an endpoint list with an endpoint in each of these statuses.
func encodeUpdate(index int, snapshot bool, statuses ...string) string {
	var entries []string
	for _, status := range statuses {
		entries = append(entries, fmt.Sprintf(entryFormat, status))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
}

// receive returns the next value of a channel. The test fails if none arrives within 20 s.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(20 * time.Second):
		t.Fatalf("channel: received no value of type %T within 20 s", *new(T))
		panic("unreachable")
	}
}

// reply is the response of a fake agent to a call. The zero value leaves the call open until the caller ends it.
type reply struct {
	status int    // 0: 200 if body is not empty
	body   string // complete, or the first part
	ending ending
}

// ending is what happens after the body of a reply was sent.
type ending int

const (
	complete ending = iota // the body is complete
	stall                  // the body is a part of 100 bytes; nothing follows until the caller ends the call
	abort                  // the body is a part of 100 bytes; the connection is aborted
)

// fakeAgent starts a fake agent and returns its address. respond returns the reply to each call and may block.
func fakeAgent(t *testing.T, respond func(r *http.Request) reply) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sendReply(t, w, r, respond(r))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// sendReply sends a reply. Unless it is complete, the call then stays open or its connection is aborted.
func sendReply(t *testing.T, w http.ResponseWriter, r *http.Request, response reply) {
	t.Helper()
	if response == (reply{}) {
		<-r.Context().Done()
		return
	}
	if response.ending != complete {
		w.Header().Set("Content-Length", "100")
	}
	if response.status != 0 {
		w.WriteHeader(response.status)
	}
	_, _ = io.WriteString(w, response.body) // the caller may have ended the call already
	if response.ending == complete {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		t.Errorf("send part of a response: %v", err)
	}
	if response.ending == abort {
		panic(http.ErrAbortHandler)
	}
	<-r.Context().Done()
}

// runWatcher runs a watcher until the test ends or stop is called. ctx is the context of Run.
func runWatcher(t *testing.T, watcher *Watcher) (ctx context.Context, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		watcher.Run(ctx)
		close(ended)
	}()
	stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return ctx, stop
}

// discardLog returns a logger without output.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// expectVersion waits for the next update and checks its version.
func expectVersion(t *testing.T, updates <-chan engine.EndpointUpdate, version int64, within time.Duration) {
	t.Helper()
	select {
	case update := <-updates:
		if update.Version != version {
			t.Errorf("handler: got list version %d, want %d", update.Version, version)
		}
	case <-time.After(within):
		t.Fatalf("handler: got no list within %v, want list version %d", within, version)
	}
}

// segment is a part of a response with its delay after the previous segment, or after the call for the first.
type segment struct {
	delay time.Duration
	text  string
}

// neverSent is a segment that does not arrive.
var neverSent = segment{delay: time.Hour}

// splitEvenly splits a response into count segments with the same delay.
func splitEvenly(delay time.Duration, body string, count int) (segments []segment) {
	for i := range count {
		segments = append(segments, segment{delay, body[i*len(body)/count : (i+1)*len(body)/count]})
	}
	return segments
}

// segmentedBody is the body of a response that arrives in segments.
type segmentedBody struct {
	ctx      context.Context
	segments []segment
}

func (b *segmentedBody) Read(p []byte) (int, error) {
	if len(b.segments) == 0 {
		return 0, io.EOF
	}
	next := &b.segments[0]
	select {
	case <-time.After(next.delay):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(p, next.text)
	if next.delay, next.text = 0, next.text[n:]; next.text == "" {
		b.segments = b.segments[1:]
	}
	return n, nil
}

func (b *segmentedBody) Close() error { return nil }

// slowAgent is an agent for tests in synctest bubbles. respond returns the segments of the response to a call, none for
// a broken connection. Calls are numbered from 1.
type slowAgent struct {
	respond func(call int, since string) []segment

	mu      sync.Mutex
	calls   []context.Context
	maxOpen int // largest number of calls open at the same time
}

// openCalls returns the number of open calls; mu must be held.
func (a *slowAgent) openCalls() (n int) {
	for _, call := range a.calls {
		if call.Err() == nil {
			n++
		}
	}
	return n
}

// errBroken is the error of a call whose connection breaks.
var errBroken = errors.New("connection broken")

func (a *slowAgent) RoundTrip(r *http.Request) (*http.Response, error) {
	a.mu.Lock()
	a.calls = append(a.calls, r.Context())
	number := len(a.calls)
	a.maxOpen = max(a.maxOpen, a.openCalls())
	a.mu.Unlock()
	segments := a.respond(number, r.URL.Query().Get("since"))
	if len(segments) == 0 {
		return nil, errBroken
	}
	select {
	case <-time.After(segments[0].delay):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	segments[0].delay = 0
	return &http.Response{StatusCode: http.StatusOK, Body: &segmentedBody{r.Context(), segments}, Request: r}, nil
}

// newSlowWatch creates a watch on the agent with a drain grace of 40 ms, so that calls are hedged every 10 ms.
func newSlowWatch(a *slowAgent, updates func(engine.EndpointUpdate)) *watch {
	watcher := New("agent", nil, settings.Network{DrainGrace: 40}, updates, discardLog())
	return &watch{
		Watcher: watcher, number: 1, version: noVersion, url: "http://agent/discovery/hosts",
		client: &http.Client{Transport: a}, delivered: make(chan int, 1),
	}
}

// sendOrDrop returns a handler that sends updates to a channel and drops them while the channel is full.
func sendOrDrop(updates chan<- engine.EndpointUpdate) func(engine.EndpointUpdate) {
	return func(update engine.EndpointUpdate) {
		select {
		case updates <- update:
		default:
		}
	}
}
