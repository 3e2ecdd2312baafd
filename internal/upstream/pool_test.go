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

// fakeEndpoint is an HTTP server that passes each request with its connection to a function of the test.
type fakeEndpoint struct {
	net.Listener
	requests, conns atomic.Int32
	closed          chan struct{} // receives a value for each connection that the pool closed
}

// listen listens on a free port of the loopback interface until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test may have closed it
	return l
}

// newFakeEndpoint starts a fake endpoint, which puts the body of each request into its Body header.
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
				defer closeQuietly(conn)
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

// closeQuietly closes the endpoint's side of a connection. The pool may have closed its side already.
func closeQuietly(c net.Conn) { _ = c.Close() }

// writeText writes to a connection. It ignores errors: if the pool has closed its side, the outcome of the attempt shows
// that.
func writeText(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// resetConn closes a connection with a RST.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	closeQuietly(c)
}

// respondWith returns a handler that sends a text as the response.
func respondWith(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) { writeText(c, text) }
}

// okResponse is a successful response with a load report.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: inflight=7,queue=2,util=0.61\r\n\r\nhi"

// newPool creates a pool with an idle time of 2 s at the endpoints and a connect timeout of 100 ms.
func newPool(maxConnections int) *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewPool(clock.New(), settings.Network{IdleTimeout: 2000, ConnectTimeout: 100}, maxConnections, log)
}

// attempt runs one attempt at address and returns its result. during is called while the attempt runs.
func (pool *Pool) attempt(
	address, method string, remaining decision.Millis, during func(cancel func()),
) engine.AttemptResult {
	results := make(chan engine.AttemptResult, 2)
	pool.SetAddress("n", address)
	cancel := pool.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: address, Deadline: pool.clock.Now() + remaining,
		Request: &engine.Request{
			Method: method, URI: "/read/x?q=%2f;1", Host: "app.svc", Body: []byte("body"),
			Header: map[string][]string{"X-Correlation-Id": {"c1"}, "Idempotency-Key": {"k"}, "X-Time-Left": {"9"}},
		},
		OnResult: func(r engine.AttemptResult) { results <- r },
	})
	if during != nil {
		during(cancel)
	}
	return <-results
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// unresponsiveAddress returns an address at which connecting times out, since the accept queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatalf("set the accept queue to length 0: control: %v, listen: %v", err, listenErr)
	}
	for range 10 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return l.Addr().String()
		}
		t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	}
	t.Fatal("accept queue not full after 10 connections")
	return ""
}

// The response of an endpoint determines the outcome of the attempt and whether the connection is reused.
func TestResponseGivesOutcome(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	hold := func(net.Conn, *http.Request) { <-release }
	resetAtOnce := func(c net.Conn, _ *http.Request) { resetConn(c) }
	for name, test := range map[string]struct {
		response func(net.Conn, *http.Request)
		want     decision.Outcome
		idle     int // open connections afterwards, all of them idle
	}{
		"succeeded": {respondWith(okResponse), decision.Succeeded, 1},
		"succeeded, then closes": {
			func(c net.Conn, _ *http.Request) {
				respondWith("HTTP/1.1 200 OK\r\n\r\nhi")(c, nil)
				closeQuietly(c)
			}, decision.Succeeded, 0,
		},
		"succeeded, chunked": {
			respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), decision.Succeeded, 1,
		},
		"after 100 Continue":       {respondWith("HTTP/1.1 100 Continue\r\n\r\n" + okResponse), decision.Succeeded, 1},
		"bytes after the response": {respondWith(okResponse + "x"), decision.Succeeded, 0},
		"500":                      {respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"400":                      {respondWith("HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"rejected by 503": {
			respondWith("HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.EndpointRejected, 1,
		},
		"rejected by 504": {
			respondWith("HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.EndpointRejected, 1,
		},
		"503 without X-Unprocessed": {respondWith("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"500 with X-Unprocessed": {
			respondWith("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
			decision.EndpointFailed, 1,
		},
		"reset":  {resetAtOnce, decision.ConnectionBroken, 0},
		"closed": {func(c net.Conn, _ *http.Request) { closeQuietly(c) }, decision.ConnectionBroken, 0},
		"closed within the body": {
			func(c net.Conn, _ *http.Request) {
				respondWith(okResponse[:len(okResponse)-1])(c, nil)
				closeQuietly(c)
			}, decision.ConnectionBroken, 0,
		},
		"not HTTP":               {respondWith("what?\r\n\r\n"), decision.MalformedResponse, 0},
		"binary data":            {respondWith("\x16\x03\x01\x00\xff\n\n"), decision.MalformedResponse, 0},
		"incomplete header":      {respondWith("HTTP/1.1 200 OK\r\nContent-Le"), decision.MalformedResponse, 0},
		"incomplete body":        {respondWith(okResponse[:len(okResponse)-1]), decision.MalformedResponse, 0},
		"length beyond the body": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi"), decision.MalformedResponse, 0},
		"length of 3 GB":         {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi"), decision.MalformedResponse, 0},
		"conflicting lengths": {
			respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi"), decision.MalformedResponse, 0,
		},
		"negative length": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi"), decision.MalformedResponse, 0},
		"no length":       {respondWith("HTTP/1.1 200 OK\r\n\r\nhi"), decision.MalformedResponse, 0},
		"protocol switch": {respondWith("HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n"), decision.MalformedResponse, 0},
		"body too long": {
			respondWith("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), decision.MalformedResponse,
			0,
		},
		"header too long":     {respondWith("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 3*maxBody)), decision.MalformedResponse, 0},
		"response sent twice": {respondWith(okResponse + okResponse), decision.Succeeded, 0},
		"no response":         {hold, decision.TimedOut, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, pool := newFakeEndpoint(t, test.response), newPool(4)
			result := pool.attempt(server.Addr().String(), "POST", 200, nil)
			if result.Outcome != test.want || (result.Response != nil) != (test.want == decision.Succeeded) {
				t.Errorf("attempt: got outcome %d with response %v, want outcome %d", result.Outcome, result.Response, test.want)
			}
			if result.Response != nil && string(result.Response.Body) != "hi" {
				t.Errorf("response: got body %q, want %q", result.Response.Body, "hi")
			}
			if n := server.requests.Load(); n != 1 {
				t.Errorf("endpoint: got %d requests, want 1", n)
			}
			if pool.slots.taken != test.idle || len(pool.endpoints["n"].idle) != test.idle {
				t.Errorf("pool: got %d connections, %d idle, want %d, all idle", pool.slots.taken, len(pool.endpoints["n"].idle), test.idle)
			}
		})
	}
}

// An attempt without a connection ends as unreachable, or as not sent if its deadline passes before the connect
// timeout.
func TestConnectFailureGivesOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		address func(*testing.T) string
		timeout decision.Millis
		want    decision.Outcome
	}{
		"connection refused":                  {refusingAddress, 500, decision.Unreachable},
		"connect timeout":                     {unresponsiveAddress, 500, decision.Unreachable},
		"deadline before the connect timeout": {unresponsiveAddress, 30, decision.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			result := pool.attempt(test.address(t), "GET", test.timeout, nil)
			if result.Outcome != test.want || pool.slots.taken != 0 {
				t.Errorf("attempt: got outcome %d, %d connections, want outcome %d, none", result.Outcome, pool.slots.taken, test.want)
			}
		})
	}
}

// Invalid values in a load report are ignored.
func TestParseLoadIgnoresInvalidValues(t *testing.T) {
	for text, want := range map[string]decision.Load{
		"util=0.5,queue=NaN": {Utilisation: 0.5, Queue: -1}, "util=Inf,queue=3": {Utilisation: -1, Queue: 3},
		"util=-Inf,queue=-3": {Utilisation: -1, Queue: -1}, "util=1e999,;;,=,queue": {Utilisation: -1, Queue: -1},
	} {
		if got := parseLoad(text); *got != want {
			t.Errorf("parseLoad(%q): got load %+v, want %+v", text, *got, want)
		}
	}
}

// The connection of a canceled attempt is closed before the result is passed on. A second cancel has no effect.
func TestCancelClosesConnection(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	server := newFakeEndpoint(t, func(net.Conn, *http.Request) { close(received); <-release })
	pool := newPool(4)
	result := pool.attempt(server.Addr().String(), "POST", 5000, func(cancel func()) { <-received; cancel(); cancel() })
	if result.Outcome != decision.Canceled || pool.slots.taken != 0 {
		t.Errorf("attempt: got outcome %d, %d connections, want %d, none", result.Outcome, pool.slots.taken, decision.Canceled)
	}
	close(release)
	<-server.closed
	result = pool.attempt(unresponsiveAddress(t), "POST", 5000, func(cancel func()) { cancel() })
	if result.Outcome != decision.NotSent {
		t.Errorf("canceled before it was sent: got outcome %d, want %d", result.Outcome, decision.NotSent)
	}
}

// A request is sent unchanged except for the remaining time.
func TestRequestSentUnchanged(t *testing.T) {
	var got string
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		got = fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header["X-Correlation-Id"], r.Header["Idempotency-Key"],
			r.Header["Body"])
		if remaining := r.Header.Get("X-Time-Left"); remaining < "0.4" || remaining > "0.500" {
			t.Errorf("endpoint: got X-Time-Left %q, want 0.4 to 0.500", remaining)
		}
		respondWith(okResponse)(c, r)
	})
	result := newPool(4).attempt(server.Addr().String(), "POST", 500, nil)
	want, load := "POST/read/x?q=%2f;1app.svc[c1] [k] [body]", decision.Load{Utilisation: 0.61, Queue: 2}
	if got != want || *result.Load != load {
		t.Errorf("endpoint and result: got request %s, load %+v, want %s, load %+v", got, result.Load, want, load)
	}
}

// An idle connection is reused for the next attempt, unless it is closed, expired or within the reuse delay.
func TestIdleConnectionReused(t *testing.T) {
	for name, test := range map[string]struct {
		change func(pool *Pool, address string) // called between the two attempts
		conns  int32                            // number of connections that both attempts use
	}{
		"reused":                 {func(pool *Pool, _ string) { pool.expireReuseDelay() }, 1},
		"within the reuse delay": {func(pool *Pool, _ string) { pool.timing.reuseDelay = time.Hour }, 2},
		"expired":                {func(pool *Pool, _ string) { pool.idleLimit = 0 }, 2},
		"closed as expired": {
			func(pool *Pool, _ string) { pool.idleLimit = 0; pool.closeExpired(false); pool.idleLimit = time.Hour }, 2,
		},
		"closed":            {func(pool *Pool, _ string) { pool.CloseIdleConnections("n") }, 2},
		"removed and added": {func(pool *Pool, address string) { pool.SetAddress("n", ""); pool.SetAddress("n", address) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
			pool.SetAddress("n", server.Addr().String())
			send := func() {
				results := make(chan engine.AttemptResult, 1)
				pool.StartAttempt(engine.Attempt{
					Endpoint: "n", Address: server.Addr().String(), Deadline: pool.clock.Now() + 1000,
					Request: &engine.Request{Method: "GET", URI: "/", Host: "h"}, OnResult: func(r engine.AttemptResult) { results <- r },
				})
				if result := <-results; result.Outcome != decision.Succeeded { // the fake endpoint has counted the connection by then
					t.Errorf("attempt: got outcome %d, want %d", result.Outcome, decision.Succeeded)
				}
			}
			send()
			test.change(pool, server.Addr().String())
			send()
			if n := server.conns.Load(); n != test.conns {
				t.Errorf("pool: got %d connections, want %d", n, test.conns)
			}
		})
	}
}

// expireReuseDelay makes the idle connections to the endpoint reusable, as if their reuse delay had passed.
func (pool *Pool) expireReuseDelay() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, c := range pool.endpoints["n"].idle {
		c.idleSince = c.idleSince.Add(-pool.timing.reuseDelay)
	}
}

// A second response to a request that arrives after the next request was written is not taken for the response to that
// request.
func TestLateSecondResponseDiscarded(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	firstConn := make(chan net.Conn, 2)
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "first" {
			respondWith(okResponse)(c, r)
			firstConn <- c
			return
		}
		first := <-firstConn
		writeText(first, late) // simulates an endpoint that responds to the first request twice
		if first != c {
			respondWith(okResponse)(c, r)
		}
	})
	pool := newPool(4)
	pool.timing.reuseDelay = time.Hour
	pool.SetAddress("n", server.Addr().String())
	send := func(id string) engine.AttemptResult {
		results := make(chan engine.AttemptResult, 1)
		pool.StartAttempt(engine.Attempt{
			Endpoint: "n", Address: server.Addr().String(), Deadline: pool.clock.Now() + 1000,
			Request:  &engine.Request{Method: "POST", URI: "/", Host: "h", Header: map[string][]string{"X-Correlation-Id": {id}}},
			OnResult: func(r engine.AttemptResult) { results <- r },
		})
		return <-results
	}
	send("first")
	if result := send("next"); result.Outcome != decision.Succeeded || string(result.Response.Body) != "hi" {
		t.Errorf("attempt: got outcome %d with body %q, want %d with %q", result.Outcome, result.Response.Body, decision.Succeeded, "hi")
	}
	pool.mu.Lock()
	old := pool.endpoints["n"].idle[0] // its further bytes are detected after the reuse delay
	pool.mu.Unlock()
	for timeout := time.Now().Add(5 * time.Second); old.isUsable(); time.Sleep(time.Millisecond) {
		if time.Now().After(timeout) {
			t.Fatal("second response not received within 5 s")
		}
	}
	pool.timing.reuseDelay = lateResponseWindow // otherwise the connection would be closed as expired
	pool.expireReuseDelay()
	pool.mu.Lock()
	pool.endpoints["n"].idle = pool.endpoints["n"].idle[:1] // keep only the first connection
	pool.slots.taken = 1
	pool.mu.Unlock()
	if c := pool.takeIdle(pool.lookupTarget("n", server.Addr().String())); c != nil || pool.heldConnections() != 0 {
		t.Errorf("connection with a second response: got connection %v, %d held, want none", c, pool.heldConnections())
	}
}

// An attempt is not sent if its endpoint changes between the decision and the first byte: another machine at the
// address, draining, or a lower exposure limit.
func TestNotSentAfterEndpointChange(t *testing.T) {
	for name, test := range map[string]struct {
		change func(pool *Pool, address string)
		idle   int // idle connections afterwards
	}{
		"another machine": {func(pool *Pool, address string) { pool.SetAddress("n", address) }, 0},
		"draining":        {func(pool *Pool, _ string) { pool.SetAddress("n", "") }, 0},
		"draining and back": {
			func(pool *Pool, address string) { pool.SetAddress("n", ""); pool.SetAddress("n", address) }, 0,
		},
		"lower exposure limit": {func(pool *Pool, _ string) { pool.CancelUnsent("n") }, 1},
	} {
		for _, when := range []string{"while connecting", "before reuse"} {
			t.Run(name+" "+when, func(t *testing.T) {
				server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
				address := server.Addr().String()
				pool.attempt(address, "GET", 1000, nil)
				dest := pool.lookupTarget("n", address)
				requests := server.requests.Load()
				if when == "while connecting" {
					// no idle connection is reused
					pool.timing.reuseDelay = time.Hour
					dial := pool.dial
					pool.dial = func(ctx context.Context, d *net.Dialer, dialed string) (net.Conn, error) {
						c, err := dial(ctx, d, dialed)
						test.change(pool, address)
						return c, err
					}
				} else {
					pool.expireReuseDelay()
					test.change(pool, address)
				}
				result := pool.runAttempt(t.Context(), engine.Attempt{
					Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
				}, dest)
				if result.Outcome != decision.NotSent || server.requests.Load() != requests {
					t.Errorf("attempt: got outcome %d, sent %d times, want %d, not sent",
						result.Outcome, server.requests.Load()-requests, decision.NotSent)
				}
				if pool.heldConnections() != test.idle {
					t.Errorf("pool: got %d connections, want %d", pool.heldConnections(), test.idle)
				}
			})
		}
	}
}

// Guards against a request that is written after its client has left while its attempt took a connection and encoded it. The
// connection is kept, since nothing was sent on it.
func TestNotSentIfClientLeavesRightBeforeWrite(t *testing.T) {
	server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
	address := server.Addr().String()
	pool.attempt(address, "GET", 1000, nil)
	pool.expireReuseDelay()
	checks := 0
	result := pool.runAttempt(t.Context(), engine.Attempt{
		Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
		MaySend: func() bool { checks++; return checks == 1 },
	}, pool.lookupTarget("n", address))
	if result.Outcome != decision.NotSent || server.requests.Load() != 1 || pool.heldConnections() != 1 {
		t.Errorf("attempt: got outcome %d, %d requests, %d connections, want %d, 1 of before, 1", result.Outcome,
			server.requests.Load(), pool.heldConnections(), decision.NotSent)
	}
}

// Guards against a connection that is kept longer than the endpoint keeps it, because an attempt took it and was not sent: a later
// request could be written just as the endpoint closes it. Its idle time goes on, and the idle connections stay in order.
func TestUnsentAttemptLeavesIdleTime(t *testing.T) {
	server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
	address := server.Addr().String()
	pool.attempt(address, "GET", 1000, nil)
	pool.expireReuseDelay()
	taken := pool.takeIdle(pool.lookupTarget("n", address))
	idleSince := taken.idleSince
	pool.attempt(address, "GET", 1000, nil) // opens another connection, which is idle for a shorter time
	target := pool.lookupTarget("n", address)
	pool.putIdle("n", target.endpoint, taken)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if idle := target.endpoint.idle; len(idle) != 2 || idle[0] != taken || !taken.idleSince.Equal(idleSince) {
		t.Errorf("idle connections: got %d, the unsent one first %v, idle since %v, want 2, true, %v as before", len(idle),
			idle[0] == taken, taken.idleSince, idleSince)
	}
}

// An attempt is not sent if it is canceled, its SendBy passes or its client leaves before the first byte. By then the request
// may have its final response, or the endpoints may have forgotten the attempt that this one repeats.
func TestNotSentAfterCancelOrSendBy(t *testing.T) {
	const clientLeft = "the client has left" // Host of a request whose client has left
	for name, endSending := range map[string]func(cancel func(), attempt *engine.Attempt, pool *Pool){
		"canceled": func(cancel func(), _ *engine.Attempt, _ *Pool) { cancel() },
		"SendBy passed": func(_ func(), attempt *engine.Attempt, pool *Pool) {
			for pool.clock.Now() < attempt.SendBy {
				time.Sleep(time.Millisecond)
			}
		},
		"client left": func(_ func(), attempt *engine.Attempt, _ *Pool) { attempt.Request.Host = clientLeft },
	} {
		for _, when := range []string{"while connecting", "before the start"} {
			t.Run(name+" "+when, func(t *testing.T) {
				server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
				address := server.Addr().String()
				pool.attempt(address, "GET", 1000, nil)
				requests, dest := server.requests.Load(), pool.lookupTarget("n", address)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				now := pool.clock.Now()
				attempt := engine.Attempt{
					Endpoint: "n", Address: address, SendBy: now + 20, Deadline: now + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
				}
				attempt.MaySend = func() bool { return attempt.Request.Host != clientLeft }
				if when == "before the start" {
					pool.expireReuseDelay()
					endSending(cancel, &attempt, pool)
				} else {
					pool.timing.reuseDelay = time.Hour // no idle connection is reused
					dial := pool.dial
					pool.dial = func(_ context.Context, d *net.Dialer, dialed string) (net.Conn, error) {
						c, err := dial(t.Context(), d, dialed) // succeeds even if the attempt is canceled
						endSending(cancel, &attempt, pool)
						return c, err
					}
				}
				result := pool.runAttempt(ctx, attempt, dest)
				if result.Outcome != decision.NotSent || server.requests.Load() != requests {
					t.Errorf("attempt: got outcome %d, sent %d times, want %d, not sent",
						result.Outcome, server.requests.Load()-requests, decision.NotSent)
				}
				if pool.heldConnections() != 1 {
					t.Errorf("pool: got %d connections, want 1 idle", pool.heldConnections())
				}
			})
		}
	}
}

// An endpoint does not count as unreachable if its connection does not come up before SendBy.
func TestConnectPastSendByNotSent(t *testing.T) {
	pool, address := newPool(4), unresponsiveAddress(t)
	pool.SetAddress("n", address)
	now := pool.clock.Now()
	result := pool.runAttempt(t.Context(), engine.Attempt{
		Endpoint: "n", Address: address, SendBy: now + 20, Deadline: now + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
	}, pool.lookupTarget("n", address))
	if took := pool.clock.Now() - now; result.Outcome != decision.NotSent || took > 90 || pool.heldConnections() != 0 {
		t.Errorf("attempt: got outcome %d after %.0f ms, %d connections, want %d within 90 ms, none",
			result.Outcome, took, pool.heldConnections(), decision.NotSent)
	}
}

// A connection to the previous machine of an endpoint is not kept for the next one at the same address.
func TestConnectionNotKeptAfterEndpointChange(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		received <- struct{}{}
		<-release
		respondWith(okResponse)(c, r)
	})
	pool := newPool(4)
	address := server.Addr().String()
	result := pool.attempt(address, "GET", 1000, func(func()) {
		<-received
		pool.SetAddress("n", address)
		close(release)
	})
	if result.Outcome != decision.Succeeded || pool.heldConnections() != 0 {
		t.Errorf("attempt: got outcome %d, %d connections, want %d, none",
			result.Outcome, pool.heldConnections(), decision.Succeeded)
	}
}

// An attempt that ends without a response after its endpoint was replaced frees only its own slot. The slots of the
// idle connections were freed when the endpoint list changed.
func TestSlotFreedOnceAfterEndpointChange(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Method == "GET" {
			respondWith(okResponse)(c, r)
			return
		}
		close(received)
		<-release
	})
	pool := newPool(4)
	address := server.Addr().String()
	pool.attempt(address, "GET", 1000, nil) // its connection is not reused: the next attempt opens another
	pool.timing.reuseDelay = time.Hour
	results := make(chan engine.AttemptResult, 1)
	cancel := pool.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}, OnResult: func(r engine.AttemptResult) { results <- r },
	})
	<-received
	pool.SetAddress("n", address)
	cancel()
	if result := <-results; result.Outcome != decision.Canceled || pool.heldConnections() != 0 {
		t.Errorf("attempt: got outcome %d, %d connections, want %d, none",
			result.Outcome, pool.heldConnections(), decision.Canceled)
	}
}

// After Run ends, the pool keeps no connection of an attempt that is still running and opens no new ones.
func TestStoppedPoolKeepsNoConnection(t *testing.T) {
	received, release := make(chan struct{}, 9), make(chan struct{})
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		received <- struct{}{}
		<-release
		respondWith(okResponse)(c, r)
	})
	pool := newPool(4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	result := pool.attempt(server.Addr().String(), "GET", 1000, func(func()) { <-received; pool.Run(ctx); close(release) })
	if result.Outcome != decision.Succeeded || pool.slots.taken != 0 {
		t.Errorf("running at the end: got outcome %d, %d connections, want %d, none",
			result.Outcome, pool.slots.taken, decision.Succeeded)
	}
	result = pool.attempt(server.Addr().String(), "GET", 1000, nil)
	if result.Outcome != decision.NotSent || pool.slots.taken != 0 {
		t.Errorf("after the end: got outcome %d, %d connections, want %d, none",
			result.Outcome, pool.slots.taken, decision.NotSent)
	}
}

// An attempt without a response closes the idle connections to its endpoint, unless the endpoint responded to another
// attempt meanwhile.
func TestNoResponseClosesIdleConnections(t *testing.T) {
	for name, test := range map[string]struct {
		outcome   decision.Outcome
		responded bool // another attempt got a response meanwhile
		idle      int  // idle connections afterwards
	}{
		"timed out": {decision.TimedOut, false, 0}, "canceled": {decision.Canceled, false, 0},
		"broken":      {decision.ConnectionBroken, false, 0},
		"unreachable": {decision.Unreachable, false, 0}, "timed out, other response": {decision.TimedOut, true, 1},
		"not sent": {decision.NotSent, false, 1}, "rejected": {decision.EndpointRejected, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
			address := server.Addr().String()
			pool.attempt(address, "GET", 1000, nil)
			current, startedAt := pool.lookupTarget("n", address).endpoint, time.Now()
			if test.responded {
				pool.observeOutcome(current, startedAt, decision.Succeeded)
			}
			pool.observeOutcome(current, startedAt, test.outcome)
			if len(pool.endpoints["n"].idle) != test.idle || pool.slots.taken != test.idle {
				t.Errorf("pool: got %d idle connections, %d connections, want %d of each",
					len(pool.endpoints["n"].idle), pool.slots.taken, test.idle)
			}
		})
	}
}

// No request fails if the endpoint has closed an idle connection, since nothing was sent on it.
func TestClosedIdleConnectionReplaced(t *testing.T) {
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { respondWith(okResponse)(c, r); closeQuietly(c) })
	pool := newPool(4)
	for range 3 {
		if result := pool.attempt(server.Addr().String(), "POST", 1000, nil); result.Outcome != decision.Succeeded {
			t.Errorf("attempt: got outcome %d, want %d", result.Outcome, decision.Succeeded)
		}
		<-server.closed
	}
	if n := server.requests.Load(); n != 3 {
		t.Errorf("endpoint: got %d requests, want 3", n)
	}
}

// An attempt is not sent if its endpoint starts draining while the connection comes up.
func TestNotSentAfterDrainWhileConnecting(t *testing.T) {
	server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
	pool.SetAddress("n", server.Addr().String())
	dest := pool.lookupTarget("n", server.Addr().String())
	dial := pool.dial
	pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		pool.SetAddress("n", "")
		return dial(ctx, d, address)
	}
	c, outcome := pool.connect(t.Context(), &attemptRun{
		attempt: engine.Attempt{Endpoint: "n", Address: server.Addr().String()}, target: dest,
		deadline: time.Now().Add(time.Second),
	})
	if c != nil || outcome != decision.NotSent || pool.slots.taken != 0 {
		t.Errorf("attempt: got connection %v, outcome %d, %d connections, want no connection, outcome %d",
			c, outcome, pool.slots.taken, decision.NotSent)
	}
}

// At the connection limit, the pool closes the connection that has been idle longest, also one to another endpoint.
// Without an idle connection the attempt is not sent.
func TestConnectionLimitClosesLongestIdle(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Method == "POST" {
			<-release
		}
		respondWith(okResponse)(c, r)
	})
	pool := newPool(2)
	address := server.Addr().String()
	send := func(id decision.EndpointID, method string) chan engine.AttemptResult {
		results := make(chan engine.AttemptResult, 1)
		pool.StartAttempt(engine.Attempt{
			Endpoint: id, Address: address, Deadline: pool.clock.Now() + 300,
			Request: &engine.Request{Method: method, URI: "/", Host: "h"}, OnResult: func(r engine.AttemptResult) { results <- r },
		})
		return results
	}
	for _, id := range []decision.EndpointID{"a", "b", "c"} {
		pool.SetAddress(id, address)
		if result := <-send(id, "GET"); result.Outcome != decision.Succeeded {
			t.Errorf("endpoint %s: got outcome %d, want %d", id, result.Outcome, decision.Succeeded)
		}
	}
	a, b, c := len(pool.endpoints["a"].idle), len(pool.endpoints["b"].idle), len(pool.endpoints["c"].idle)
	if a != 0 || b != 1 || c != 1 {
		t.Errorf("idle connections of endpoints a, b, c: got %d, %d, %d, want 0, 1, 1", a, b, c)
	}
	first, second := send("a", "POST"), send("b", "POST")
	for pool.heldConnections() < 2 || server.requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	if result := <-send("c", "GET"); result.Outcome != decision.NotSent {
		t.Errorf("without a free slot: got outcome %d, want %d", result.Outcome, decision.NotSent)
	}
	firstResult, secondResult := <-first, <-second
	if firstResult.Outcome != decision.TimedOut || secondResult.Outcome != decision.TimedOut ||
		pool.heldConnections() != 0 {
		t.Errorf("attempts: got outcomes %d, %d, %d connections, want %d twice, none",
			firstResult.Outcome, secondResult.Outcome, pool.heldConnections(), decision.TimedOut)
	}
}

// heldConnections returns the number of connections, including those coming up.
func (pool *Pool) heldConnections() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.slots.taken
}

// The idle limit is halved if a connection breaks when it is reused, and grows again if it does not break. A connection
// that was idle only briefly does not count.
func TestIdleLimitAdaptsToBrokenReuse(t *testing.T) {
	pool := newPool(4) // the longest idle time is 1 s
	for _, test := range []struct {
		idleFor time.Duration
		intact  bool          // the connection did not break
		want    time.Duration // idle limit afterwards
	}{
		{100 * time.Millisecond, false, time.Second},
		{600 * time.Millisecond, false, time.Second / 2},
		{300 * time.Millisecond, false, time.Second / 4},
		{200 * time.Millisecond, true, 9 * time.Second / 32},
		{100 * time.Millisecond, true, 9 * time.Second / 32},
	} {
		if pool.observeReuse(test.idleFor, test.intact); pool.idleLimit != test.want {
			t.Errorf("idle for %v, intact %v: got limit %v, want %v",
				test.idleFor, test.intact, pool.idleLimit, test.want)
		}
	}
	for range 100 {
		pool.closeExpired(false)
	}
	if pool.idleLimit != time.Second {
		t.Errorf("without reuse: got limit %v, want %v", pool.idleLimit, time.Second)
	}
}

// listenSmallBuffers listens with small receive buffers and gives the pool small send buffers, so that only a part of a
// large request is written before the endpoint reads.
func listenSmallBuffers(t *testing.T, pool *Pool) *net.TCPListener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var sockoptErr error
		err := c.Control(func(fd uintptr) {
			sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(err, sockoptErr)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test may have closed it
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

// A partly written request counts as not run if the endpoint resets the connection, the attempt is canceled or the
// deadline passes. Its connection is closed.
func TestPartlyWrittenRequestNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		interrupt func(endpoint *net.TCPConn, cancel func())
		want      decision.Outcome
	}{
		"reset by the endpoint": {func(endpoint *net.TCPConn, _ func()) { resetConn(endpoint) }, decision.Unreachable},
		"canceled":              {func(_ *net.TCPConn, cancel func()) { cancel() }, decision.NotSent},
		"deadline passed":       {func(*net.TCPConn, func()) {}, decision.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			l := listenSmallBuffers(t, pool)
			address, results := l.Addr().String(), make(chan engine.AttemptResult, 1)
			pool.SetAddress("n", address)
			cancel := pool.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: address, Deadline: pool.clock.Now() + 500,
				Request:  &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, 1<<20)},
				OnResult: func(r engine.AttemptResult) { results <- r },
			})
			endpoint, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(endpoint)
			head := make([]byte, 16)
			if _, err := io.ReadFull(endpoint, head); err != nil { // a part has arrived
				t.Fatal(err)
			}
			test.interrupt(endpoint, cancel)
			if result := <-results; result.Outcome != test.want || pool.heldConnections() != 0 {
				t.Errorf("attempt: got outcome %d, %d connections, want outcome %d, none",
					result.Outcome, pool.heldConnections(), test.want)
			}
			if received, _ := io.ReadAll(endpoint); len(received) >= 1<<20 {
				t.Errorf("endpoint: got %d bytes of the request, want fewer than %d", len(received), 1<<20)
			}
		})
	}
}
