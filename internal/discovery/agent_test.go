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

// entry is an endpoint as it is encoded, but for its status.
const entry = `{"name":"s-1","address":"10.1.0.18:8080","zone":"a","type":"m2","group":3,"status":"%s","weight":1.5,"since_ms":7000,"image_id":41}`

// list is an endpoint list as it is encoded, with an endpoint in each of these statuses.
func list(index int, snapshot bool, statuses ...string) string {
	var entries []string
	for _, s := range statuses {
		entries = append(entries, fmt.Sprintf(entry, s))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(entries, ","))
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

// reply is what a stand-in agent does with a call; the zero value leaves it open until the caller ends it.
type reply struct {
	status int    // 0: 200, if there is a body
	body   string // all of it, or its beginning
	ending ending
}

// ending is what follows the body of a reply.
type ending int

const (
	whole ending = iota // the body is all
	stall               // the body is a part of 100 bytes; nothing more comes until the caller ends the call
	abort               // the body is a part of 100 bytes; the connection breaks
)

// fakeAgent is a stand-in for the agent, by its address. The test says what each call gets; it may take its time.
func fakeAgent(t *testing.T, respond func(r *http.Request) reply) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		send(t, w, r, respond(r))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// send carries out a reply.
func send(t *testing.T, w http.ResponseWriter, r *http.Request, next reply) {
	t.Helper()
	if next == (reply{}) {
		<-r.Context().Done()
		return
	}
	if next.ending != whole {
		w.Header().Set("Content-Length", "100")
	}
	if next.status != 0 {
		w.WriteHeader(next.status)
	}
	_, _ = io.WriteString(w, next.body) // the caller may have ended the call already
	if next.ending == whole {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		t.Errorf("part of a response not sent: %v", err)
	}
	if next.ending == abort {
		panic(http.ErrAbortHandler)
	}
	<-r.Context().Done()
}

// follow runs a watcher until the test ends or stop is called; ctx is that of its Run.
func follow(t *testing.T, watcher *Watcher) (ctx context.Context, stop func()) {
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

// quiet is a log that nobody reads.
func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// expect waits for the list of this version.
func expect(t *testing.T, updates <-chan engine.EndpointUpdate, version int64, within time.Duration) {
	t.Helper()
	select {
	case update := <-updates:
		if update.Version != version {
			t.Errorf("list %d delivered, want %d", update.Version, version)
		}
	case <-time.After(within):
		t.Fatalf("list %d not delivered within %v", version, within)
	}
}

// piece is a part of a response, and how long it comes after the one before; the first after the call.
type piece struct {
	after time.Duration
	text  string
}

// never is a piece that doesn't come.
var never = piece{after: time.Hour}

// evenly cuts a response into so many pieces that come so long after each other.
func evenly(after time.Duration, body string, count int) (pieces []piece) {
	for i := range count {
		pieces = append(pieces, piece{after, body[i*len(body)/count : (i+1)*len(body)/count]})
	}
	return pieces
}

// pieceBody is the body of a response that comes in pieces.
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

// slowAgent is an agent in the time of synctest: respond says in which pieces the response to a call comes, none for a
// connection that breaks; calls are numbered from 1.
type slowAgent struct {
	respond func(call int, since string) []piece

	mu    sync.Mutex
	calls []context.Context
	most  int // calls that were open at once
}

// open is how many calls are open; mu must be held.
func (a *slowAgent) open() (n int) {
	for _, call := range a.calls {
		if call.Err() == nil {
			n++
		}
	}
	return n
}

// errBroken is the failure of a call whose connection breaks.
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
	watcher := New("agent", nil, settings.Network{DrainGrace: 40}, updates, quiet())
	return &watch{
		Watcher: watcher, number: 1, version: noVersion, url: "http://agent/discovery/hosts",
		client: &http.Client{Transport: a}, delivered: make(chan int, 1),
	}
}

// offerTo hands updates to a channel, and drops them once it is full.
func offerTo(updates chan<- engine.EndpointUpdate) func(engine.EndpointUpdate) {
	return func(update engine.EndpointUpdate) {
		select {
		case updates <- update:
		default:
		}
	}
}
