package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// fakeEndpoint stands in for an endpoint: respond does what it likes with each request on each connection.
type fakeEndpoint struct {
	net.Listener
	requests, conns atomic.Int32
	closed          chan struct{} // one for each connection that the pool ended
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // a test may have closed it
	return l
}

func newFakeEndpoint(t *testing.T, respond func(net.Conn, *http.Request)) *fakeEndpoint {
	t.Helper()
	server := &fakeEndpoint{Listener: listen(t), closed: make(chan struct{}, 100)}
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			server.conns.Add(1)
			go func() {
				defer end(conn)
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						server.closed <- struct{}{}
						return
					}
					server.requests.Add(1)
					body, _ := io.ReadAll(req.Body)
					req.Header.Set("Body", string(body))
					respond(conn, req)
				}
			}()
		}
	}()
	return server
}

// end closes an endpoint's side of a connection, which the pool may have closed before.
func end(c net.Conn) { _ = c.Close() }

// write writes to a connection that the pool may have closed before; that shows in the attempt's outcome.
func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// reset ends a connection without a FIN.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails on a connection that has ended only
	end(c)
}

// say has an endpoint respond with this text.
func say(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) { write(c, text) }
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: inflight=7,queue=2,util=0.61\r\n\r\nhi"

func newPool(maxConnections int) *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewPool(clock.New(), settings.Network{IdleAfter: 2000, ConnectTimeout: 100}, maxConnections, log)
}

// attempt carries one attempt to address and waits for its outcome.
func (pool *Pool) attempt(
	address, method string, remaining decision.Millis, during func(cancel func()),
) engine.AttemptResult {
	ends := make(chan engine.AttemptResult, 2)
	pool.SetAddress("n", address)
	cancel := pool.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: address, Deadline: pool.clock.Now() + remaining,
		Request: &engine.Request{
			Method: method, URI: "/read/x?q=%2f;1", Host: "app.svc", Body: []byte("body"),
			Fields: map[string][]string{"X-Correlation-Id": {"c1"}, "Idempotency-Key": {"k"}, "X-Time-Left": {"9"}},
		},
		OnEnd: func(e engine.AttemptResult) { ends <- e },
	})
	if during != nil {
		during(cancel)
	}
	return <-ends
}

func refusing(t *testing.T) string {
	t.Helper()
	l := listen(t)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// never gives an address at which no connection comes up: its queue is full.
func never(t *testing.T) string {
	t.Helper()
	l := listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	for range 10 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return l.Addr().String()
		}
		t.Cleanup(func() { _ = c.Close() }) // a test may have closed it
	}
	t.Fatal("the listener's queue never fills")
	return ""
}

func TestOutcomes(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	hold := func(net.Conn, *http.Request) { <-held }
	resets := func(c net.Conn, _ *http.Request) { reset(c) }
	for name, test := range map[string]struct {
		response func(net.Conn, *http.Request)
		want     decision.Outcome
		reused   int
	}{
		"succeeded": {say(ok), decision.Succeeded, 1},
		"succeeded, then closes": {
			func(c net.Conn, _ *http.Request) { say("HTTP/1.1 200 OK\r\n\r\nhi")(c, nil); end(c) }, decision.Succeeded, 0,
		},
		"succeeded in chunks": {
			say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), decision.Succeeded, 1,
		},
		"after a continue":       {say("HTTP/1.1 100 Continue\r\n\r\n" + ok), decision.Succeeded, 1},
		"more than the response": {say(ok + "x"), decision.Succeeded, 0},
		"500":                    {say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"400":                    {say("HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"rejected by 503": {
			say("HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.EndpointRejected, 1,
		},
		"rejected by 504": {
			say("HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.EndpointRejected, 1,
		},
		"503 that may have run": {say("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"500 that says it didn't": {
			say("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
			decision.EndpointFailed, 1,
		},
		"reset":  {resets, decision.ConnectionBroken, 0},
		"closed": {func(c net.Conn, _ *http.Request) { end(c) }, decision.ConnectionBroken, 0},
		"cut short": {
			func(c net.Conn, _ *http.Request) { say(ok[:len(ok)-1])(c, nil); end(c) }, decision.ConnectionBroken, 0,
		},
		"no HTTP":           {say("what?\r\n\r\n"), decision.MalformedResponse, 0},
		"noise":             {say("\x16\x03\x01\x00\xff\n\n"), decision.MalformedResponse, 0},
		"half a head":       {say("HTTP/1.1 200 OK\r\nContent-Le"), decision.MalformedResponse, 0},
		"half a body":       {say(ok[:len(ok)-1]), decision.MalformedResponse, 0},
		"a length too long": {say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi"), decision.MalformedResponse, 0},
		"3 GB":              {say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi"), decision.MalformedResponse, 0},
		"two lengths": {
			say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi"), decision.MalformedResponse, 0,
		},
		"a length below 0": {say("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi"), decision.MalformedResponse, 0},
		"no length":        {say("HTTP/1.1 200 OK\r\n\r\nhi"), decision.MalformedResponse, 0},
		"another protocol": {say("HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n"), decision.MalformedResponse, 0},
		"body too long": {
			say("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), decision.MalformedResponse,
			0,
		},
		"headers too long": {say("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 3*maxBody)), decision.MalformedResponse, 0},
		"twice":            {say(ok + ok), decision.Succeeded, 0},
		"no response":      {hold, decision.TimedOut, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, pool := newFakeEndpoint(t, test.response), newPool(4)
			end := pool.attempt(server.Addr().String(), "POST", 200, nil)
			if end.Outcome != test.want || (end.Response != nil) != (test.want == decision.Succeeded) {
				t.Errorf("ended %d, want %d; reply %v", end.Outcome, test.want, end.Response)
			}
			if end.Response != nil && string(end.Response.Body) != "hi" {
				t.Errorf("body %q", end.Response.Body)
			}
			if n := server.requests.Load(); n != 1 {
				t.Errorf("sent %d times", n)
			}
			if pool.slots.taken != test.reused || len(pool.endpoints["n"].idle) != test.reused {
				t.Errorf("held %d, idle %d, want %d", pool.slots.taken, len(pool.endpoints["n"].idle), test.reused)
			}
		})
	}
}

func TestNoConnection(t *testing.T) {
	for name, test := range map[string]struct {
		address func(*testing.T) string
		left    decision.Millis
		want    decision.Outcome
	}{
		"refused":                      {refusing, 500, decision.Unreachable},
		"never up":                     {never, 500, decision.Unreachable},
		"never up before the deadline": {never, 30, decision.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			if end := pool.attempt(test.address(t), "GET", test.left, nil); end.Outcome != test.want || pool.slots.taken != 0 {
				t.Errorf("ended %d, want %d; held %d", end.Outcome, test.want, pool.slots.taken)
			}
		})
	}
}

// Figures of a load report that are none are left out.
func TestLoad(t *testing.T) {
	for text, want := range map[string]decision.Load{
		"util=0.5,queue=NaN": {Util: 0.5, Queue: -1}, "util=Inf,queue=3": {Util: -1, Queue: 3},
		"util=-Inf,queue=-3": {Util: -1, Queue: -1}, "util=1e999,;;,=,queue": {Util: -1, Queue: -1},
	} {
		if got := parseLoad(text); *got != want {
			t.Errorf("%q: %+v, want %+v", text, *got, want)
		}
	}
}

// What is canceled ends so, with its connection closed before that is told; canceling twice does nothing more.
func TestCancel(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	server := newFakeEndpoint(t, func(net.Conn, *http.Request) { close(came); <-held })
	pool := newPool(4)
	end := pool.attempt(server.Addr().String(), "POST", 5000, func(cancel func()) { <-came; cancel(); cancel() })
	if end.Outcome != decision.Canceled || pool.slots.taken != 0 {
		t.Errorf("ended %d, held %d", end.Outcome, pool.slots.taken)
	}
	close(held)
	<-server.closed
	if end := pool.attempt(never(t), "POST", 5000, func(cancel func()) { cancel() }); end.Outcome != decision.NotSent {
		t.Errorf("canceled before it was sent: ended %d", end.Outcome)
	}
}

// The request passes on as it came but for the time that is left.
func TestRequest(t *testing.T) {
	var got string
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		got = fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header["X-Correlation-Id"], r.Header["Idempotency-Key"],
			r.Header["Body"])
		if remaining := r.Header.Get("X-Time-Left"); remaining < "0.4" || remaining > "0.500" {
			t.Errorf("time left %q of half a second", remaining)
		}
		say(ok)(c, r)
	})
	end := newPool(4).attempt(server.Addr().String(), "POST", 500, nil)
	want, load := "POST/read/x?q=%2f;1app.svc[c1] [k] [body]", decision.Load{Util: 0.61, Queue: 2}
	if got != want || *end.Load != load {
		t.Errorf("got %s, want %s; load %+v", got, want, end.Load)
	}
}

// A kept connection serves the next attempt, unless the endpoint has closed it or its time is over.
func TestReuse(t *testing.T) {
	for name, test := range map[string]struct {
		change func(pool *Pool, address string)
		conns  int32
	}{
		"again":      {func(pool *Pool, _ string) { pool.rested() }, 1},
		"not rested": {func(pool *Pool, _ string) { pool.times.reuseDelay = time.Hour }, 2},
		"retired":    {func(pool *Pool, _ string) { pool.idleLimit = 0 }, 2},
		"swept": {
			func(pool *Pool, _ string) { pool.idleLimit = 0; pool.retire(false); pool.idleLimit = time.Hour }, 2,
		},
		"closed":           {func(pool *Pool, _ string) { pool.CloseIdle("n") }, 2},
		"drained and back": {func(pool *Pool, address string) { pool.SetAddress("n", ""); pool.SetAddress("n", address) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			server, pool := newFakeEndpoint(t, say(ok)), newPool(4)
			pool.SetAddress("n", server.Addr().String())
			send := func() {
				ends := make(chan engine.AttemptResult, 1)
				pool.StartAttempt(engine.Attempt{
					Endpoint: "n", Address: server.Addr().String(), Deadline: pool.clock.Now() + 1000,
					Request: &engine.Request{Method: "GET", URI: "/", Host: "h"}, OnEnd: func(e engine.AttemptResult) { ends <- e },
				})
				if end := <-ends; end.Outcome != decision.Succeeded { // so the stand-in has counted its connection
					t.Errorf("ended %d", end.Outcome)
				}
			}
			send()
			test.change(pool, server.Addr().String())
			send()
			if n := server.conns.Load(); n != test.conns {
				t.Errorf("%d connections, want %d", n, test.conns)
			}
		})
	}
}

// rested has the idle connections to the endpoint stand as if they had rested; they can't be used before.
func (pool *Pool) rested() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.endpoints["n"].idle {
		c.idleSince = c.idleSince.Add(-pool.times.reuseDelay)
	}
}

// A second response to a request, which comes when the next one has been written, is never taken for the response to
// that.
func TestLateSecondResponse(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	firsts := make(chan net.Conn, 2)
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "first" {
			say(ok)(c, r)
			firsts <- c
			return
		}
		first := <-firsts
		write(first, late) // the endpoint's own fault: it responds to the first request once more
		if first != c {
			say(ok)(c, r)
		}
	})
	pool := newPool(4)
	pool.times.reuseDelay = time.Hour
	pool.SetAddress("n", server.Addr().String())
	send := func(id string) engine.AttemptResult {
		ends := make(chan engine.AttemptResult, 1)
		pool.StartAttempt(engine.Attempt{
			Endpoint: "n", Address: server.Addr().String(), Deadline: pool.clock.Now() + 1000,
			Request: &engine.Request{Method: "POST", URI: "/", Host: "h", Fields: map[string][]string{"X-Correlation-Id": {id}}},
			OnEnd:   func(e engine.AttemptResult) { ends <- e },
		})
		return <-ends
	}
	send("first")
	if end := send("next"); end.Outcome != decision.Succeeded || string(end.Response.Body) != "hi" {
		t.Errorf("ended %d with %q", end.Outcome, end.Response.Body)
	}
	pool.mu.Lock()
	old := pool.endpoints["n"].idle[0] // what has come on it meanwhile is seen once it has rested
	pool.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); old.quiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second response did not come")
		}
	}
	pool.times.reuseDelay = lateResponse // else the connection would be closed for its age, whatever lies on it
	pool.rested()
	pool.mu.Lock()
	pool.endpoints["n"].idle = pool.endpoints["n"].idle[:1] // only that one
	pool.slots.taken = 1
	pool.mu.Unlock()
	if c := pool.takeIdle(pool.targetAt("n", server.Addr().String())); c != nil || pool.count() != 0 {
		t.Errorf("a connection with a second response on it is used again, %d held", pool.count())
	}
}

// What comes between the decision for an endpoint and the first byte: another machine at its address, its drain, a
// lower exposure limit. The attempt isn't sent, and the next one is.
func TestBetweenDecisionAndSending(t *testing.T) {
	for name, test := range map[string]struct {
		change func(pool *Pool, address string)
		idle   int // connections that are kept nevertheless
	}{
		"another machine there": {func(pool *Pool, address string) { pool.SetAddress("n", address) }, 0},
		"drains":                {func(pool *Pool, _ string) { pool.SetAddress("n", "") }, 0},
		"drains and is back": {
			func(pool *Pool, address string) { pool.SetAddress("n", ""); pool.SetAddress("n", address) }, 0,
		},
		"a lower limit": {func(pool *Pool, _ string) { pool.CancelUnsent("n") }, 1},
	} {
		for _, when := range []string{"while it is dialed", "before it is taken"} {
			t.Run(name+" "+when, func(t *testing.T) {
				server, pool := newFakeEndpoint(t, say(ok)), newPool(4)
				address := server.Addr().String()
				pool.attempt(address, "GET", 1000, nil)
				began := pool.targetAt("n", address)
				requests := server.requests.Load()
				if when == "while it is dialed" { // all that is idle has not rested yet
					pool.times.reuseDelay = time.Hour
					dial := pool.dial
					pool.dial = func(ctx context.Context, d *net.Dialer, meant string) (net.Conn, error) {
						c, err := dial(ctx, d, meant)
						test.change(pool, address)
						return c, err
					}
				} else {
					pool.rested()
					test.change(pool, address)
				}
				end := pool.runAttempt(t.Context(), engine.Attempt{
					Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
				}, began)
				if end.Outcome != decision.NotSent || server.requests.Load() != requests {
					t.Errorf("ended %d, sent %d times", end.Outcome, server.requests.Load()-requests)
				}
				if pool.count() != test.idle {
					t.Errorf("%d connections kept, want %d", pool.count(), test.idle)
				}
			})
		}
	}
}

// An attempt that is canceled, or whose last moment to be sent passes, before its first byte is out is never sent: the
// request may have its final response by then, or the endpoints may have forgotten the attempt that it repeats.
func TestNotSentAnyMore(t *testing.T) {
	for name, over := range map[string]func(cancel func(), attempt *engine.Attempt, pool *Pool){
		"canceled": func(cancel func(), _ *engine.Attempt, _ *Pool) { cancel() },
		"too late": func(_ func(), attempt *engine.Attempt, pool *Pool) {
			for pool.clock.Now() < attempt.SendBy {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		for _, when := range []string{"while it is dialed", "before it begins"} {
			t.Run(name+" "+when, func(t *testing.T) {
				server, pool := newFakeEndpoint(t, say(ok)), newPool(4)
				address := server.Addr().String()
				pool.attempt(address, "GET", 1000, nil)
				requests, meant := server.requests.Load(), pool.targetAt("n", address)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				now := pool.clock.Now()
				attempt := engine.Attempt{
					Endpoint: "n", Address: address, SendBy: now + 20, Deadline: now + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
				}
				if when == "before it begins" {
					pool.rested()
					over(cancel, &attempt, pool)
				} else {
					pool.times.reuseDelay = time.Hour // what is idle can't be taken
					dial := pool.dial
					pool.dial = func(_ context.Context, d *net.Dialer, to string) (net.Conn, error) {
						c, err := dial(t.Context(), d, to) // it is up as the end comes
						over(cancel, &attempt, pool)
						return c, err
					}
				}
				end := pool.runAttempt(ctx, attempt, meant)
				if end.Outcome != decision.NotSent || server.requests.Load() != requests {
					t.Errorf("ended %d, sent %d times", end.Outcome, server.requests.Load()-requests)
				}
				if pool.count() != 1 {
					t.Errorf("%d connections held, want the idle one", pool.count())
				}
			})
		}
	}
}

// A connection that doesn't come up by the last moment to send says nothing of the endpoint.
func TestNotUpInTimeToSend(t *testing.T) {
	pool, address := newPool(4), never(t)
	pool.SetAddress("n", address)
	now := pool.clock.Now()
	end := pool.runAttempt(t.Context(), engine.Attempt{
		Endpoint: "n", Address: address, SendBy: now + 20, Deadline: now + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
	}, pool.targetAt("n", address))
	if took := pool.clock.Now() - now; end.Outcome != decision.NotSent || took > 90 || pool.count() != 0 {
		t.Errorf("ended %d after %.0f ms, %d held", end.Outcome, took, pool.count())
	}
}

// A connection to the machine that was the endpoint before is not kept for the one that is it now, at the same address.
func TestGivenBackToAnother(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { came <- struct{}{}; <-held; say(ok)(c, r) })
	pool := newPool(4)
	address := server.Addr().String()
	end := pool.attempt(address, "GET", 1000, func(func()) { <-came; pool.SetAddress("n", address); close(held) })
	if end.Outcome != decision.Succeeded || pool.count() != 0 {
		t.Errorf("ended %d, %d connections kept", end.Outcome, pool.count())
	}
}

// An attempt that ends without a response when its endpoint is another by now gives back its own slot and nothing else:
// the idle connections to the endpoint before were closed and counted when the list changed.
func TestEndedAfterSetAddress(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	defer close(held)
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Method == "GET" {
			say(ok)(c, r)
			return
		}
		close(came)
		<-held
	})
	pool := newPool(4)
	address := server.Addr().String()
	pool.attempt(address, "GET", 1000, nil) // stays idle; it has not rested, so the next one opens another
	pool.times.reuseDelay = time.Hour
	ends := make(chan engine.AttemptResult, 1)
	cancel := pool.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}, OnEnd: func(e engine.AttemptResult) { ends <- e },
	})
	<-came
	pool.SetAddress("n", address)
	cancel()
	if end := <-ends; end.Outcome != decision.Canceled || pool.count() != 0 {
		t.Errorf("ended %d, held %d", end.Outcome, pool.count())
	}
}

// A pool that has ended keeps no connection of an attempt that is responded to later, and opens none.
func TestEnd(t *testing.T) {
	came, held := make(chan struct{}, 9), make(chan struct{})
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { came <- struct{}{}; <-held; say(ok)(c, r) })
	pool := newPool(4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	end := pool.attempt(server.Addr().String(), "GET", 1000, func(func()) { <-came; pool.Run(ctx); close(held) })
	if end.Outcome != decision.Succeeded || pool.slots.taken != 0 {
		t.Errorf("out at the end: ended %d, held %d", end.Outcome, pool.slots.taken)
	}
	end = pool.attempt(server.Addr().String(), "GET", 1000, nil)
	if end.Outcome != decision.NotSent || pool.slots.taken != 0 {
		t.Errorf("after the end: ended %d, held %d", end.Outcome, pool.slots.taken)
	}
}

// An attempt without a response ends the idle connections to its endpoint, unless that has responded to another
// meanwhile.
func TestSilentEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		outcome   decision.Outcome
		responded bool
		idle      int
	}{
		"timed out": {decision.TimedOut, false, 0}, "canceled": {decision.Canceled, false, 0},
		"broken":      {decision.ConnectionBroken, false, 0},
		"unreachable": {decision.Unreachable, false, 0}, "timed out, responded": {decision.TimedOut, true, 1},
		"never sent": {decision.NotSent, false, 1}, "full": {decision.EndpointRejected, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			server, pool := newFakeEndpoint(t, say(ok)), newPool(4)
			address := server.Addr().String()
			pool.attempt(address, "GET", 1000, nil)
			n, began := pool.targetAt("n", address).endpoint, time.Now()
			if test.responded {
				pool.observeOutcome(n, began, decision.Succeeded)
			}
			pool.observeOutcome(n, began, test.outcome)
			if len(pool.endpoints["n"].idle) != test.idle || pool.slots.taken != test.idle {
				t.Errorf("idle %d, held %d, want %d", len(pool.endpoints["n"].idle), pool.slots.taken, test.idle)
			}
		})
	}
}

// An endpoint that has closed a kept connection costs no request: nothing was sent on it.
func TestStale(t *testing.T) {
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { say(ok)(c, r); end(c) })
	pool := newPool(4)
	for range 3 {
		if end := pool.attempt(server.Addr().String(), "POST", 1000, nil); end.Outcome != decision.Succeeded {
			t.Errorf("ended %d", end.Outcome)
		}
		<-server.closed
	}
	if n := server.requests.Load(); n != 3 {
		t.Errorf("sent %d times, want 3", n)
	}
}

// An attempt whose connection comes up after its endpoint has begun to drain is not sent.
func TestDrainMeanwhile(t *testing.T) {
	server, pool := newFakeEndpoint(t, say(ok)), newPool(4)
	pool.SetAddress("n", server.Addr().String())
	meant := pool.targetAt("n", server.Addr().String())
	dial := pool.dial
	pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		pool.SetAddress("n", "")
		return dial(ctx, d, address)
	}
	c, outcome := pool.connect(t.Context(), &attemptRun{
		attempt: engine.Attempt{Endpoint: "n", Address: server.Addr().String()}, target: meant,
		deadline: time.Now().Add(time.Second),
	})
	if c != nil || outcome != decision.NotSent || pool.slots.taken != 0 {
		t.Errorf("connection %v, ending %d, held %d", c, outcome, pool.slots.taken)
	}
}

// Short of descriptors, idle connections to other endpoints are closed first, the longest idle one before the others.
func TestShort(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Method == "POST" {
			<-held
		}
		say(ok)(c, r)
	})
	pool := newPool(2)
	address := server.Addr().String()
	send := func(id decision.EndpointID, method string) chan engine.AttemptResult {
		ends := make(chan engine.AttemptResult, 1)
		pool.StartAttempt(engine.Attempt{
			Endpoint: id, Address: address, Deadline: pool.clock.Now() + 300,
			Request: &engine.Request{Method: method, URI: "/", Host: "h"}, OnEnd: func(e engine.AttemptResult) { ends <- e },
		})
		return ends
	}
	for _, id := range []decision.EndpointID{"a", "b", "c"} {
		pool.SetAddress(id, address)
		if end := <-send(id, "GET"); end.Outcome != decision.Succeeded {
			t.Errorf("%s ended %d", id, end.Outcome)
		}
	}
	a, b, c := len(pool.endpoints["a"].idle), len(pool.endpoints["b"].idle), len(pool.endpoints["c"].idle)
	if a != 0 || b != 1 || c != 1 {
		t.Errorf("idle %d, %d, %d", a, b, c)
	}
	first, second := send("a", "POST"), send("b", "POST")
	for pool.count() < 2 || server.requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	if end := <-send("c", "GET"); end.Outcome != decision.NotSent {
		t.Errorf("without a slot ended %d", end.Outcome)
	}
	if a, b := <-first, <-second; a.Outcome != decision.TimedOut || b.Outcome != decision.TimedOut || pool.count() != 0 {
		t.Errorf("ended %d, %d; held %d", a.Outcome, b.Outcome, pool.count())
	}
}

func (pool *Pool) count() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.slots.taken
}

// Where idle connections break at their next request they are used sooner or not at all; while they hold, longer again.
// A break of one that was hardly idle says nothing of that.
func TestReused(t *testing.T) {
	pool := newPool(4) // they are retired after a second
	for _, test := range []struct {
		idle      time.Duration
		succeeded bool
		want      time.Duration
	}{
		{100 * time.Millisecond, false, time.Second},
		{600 * time.Millisecond, false, time.Second / 2},
		{300 * time.Millisecond, false, time.Second / 4},
		{200 * time.Millisecond, true, 9 * time.Second / 32},
		{100 * time.Millisecond, true, 9 * time.Second / 32},
	} {
		if pool.observeReuse(test.idle, test.succeeded); pool.idleLimit != test.want {
			t.Errorf("idle %v, held %v: now %v, want %v", test.idle, test.succeeded, pool.idleLimit, test.want)
		}
	}
	for range 100 {
		pool.retire(false)
	}
	if pool.idleLimit != time.Second {
		t.Errorf("with none used: %v", pool.idleLimit)
	}
}

// narrow is an endpoint that takes a part of a request only: its buffer and the pool's are small.
func narrow(t *testing.T, pool *Pool) *net.TCPListener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // a test may have closed it
	dial := pool.dial
	pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		c, err := dial(ctx, d, address)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	return l.(*net.TCPListener)
}

// A request of which a part is written when the endpoint resets, the attempt is canceled or its time is over has never
// run, and the connection with that part on it is closed.
func TestPartWritten(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(endpoint *net.TCPConn, cancel func())
		want decision.Outcome
	}{
		"the endpoint resets": {func(endpoint *net.TCPConn, _ func()) { reset(endpoint) }, decision.Unreachable},
		"canceled":            {func(_ *net.TCPConn, cancel func()) { cancel() }, decision.NotSent},
		"time is over":        {func(*net.TCPConn, func()) {}, decision.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			l := narrow(t, pool)
			address, ends := l.Addr().String(), make(chan engine.AttemptResult, 1)
			pool.SetAddress("n", address)
			cancel := pool.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 500,
				Request: &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, 1<<20)},
				OnEnd:   func(e engine.AttemptResult) { ends <- e },
			})
			endpoint, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer end(endpoint)
			head := make([]byte, 16)
			if _, err := io.ReadFull(endpoint, head); err != nil { // a part has come
				t.Fatal(err)
			}
			test.end(endpoint, cancel)
			if end := <-ends; end.Outcome != test.want || pool.count() != 0 {
				t.Errorf("ended %d, want %d; %d connections held", end.Outcome, test.want, pool.count())
			}
			if rest, _ := io.ReadAll(endpoint); len(rest) >= 1<<20 {
				t.Error("the whole request came")
			}
		})
	}
}
