package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"ottershed/internal/sockopt"
)

const (
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	goOn    = "HTTP/1.1 100 Continue\r\n\r\n"
	full    = "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// soon is far more than any time that these tests wait for, and far less than the deadline of an attempt that must not
// be held until then.
const (
	soon     = 3 * time.Second
	deadline = 10_000 // ms
)

// hooked is a connection of the pool that calls read after it has read something, and write before it writes.
type hooked struct {
	*net.TCPConn
	read  func()
	write func() error
}

func (c hooked) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.read()
	}
	return n, err
}

func (c hooked) Write(b []byte) (int, error) {
	if err := c.write(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// hook puts hooks into the connections that the pool opens from now on.
func hook(pool *Pool, read func(), write func() error) {
	dial := pool.dial
	pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		c, err := dial(ctx, d, address)
		if err != nil {
			return nil, err
		}
		return hooked{c.(*net.TCPConn), read, write}, nil
	}
}

func unhooked() error { return nil }

// seen has the pool tell each time that it has read something from an endpoint.
func seen(pool *Pool) <-chan struct{} {
	read := make(chan struct{}, 100)
	hook(pool, func() { read <- struct{}{} }, unhooked)
	return read
}

// checkEnd fails unless the attempt ended as wanted, with a response only if it succeeded, and the pool holds so many
// connections, all of them idle.
func checkEnd(t *testing.T, pool *Pool, end engine.AttemptResult, want decision.Outcome, held int) {
	t.Helper()
	if end.Outcome != want || (end.Response != nil) != (want == decision.Succeeded) {
		t.Errorf("ended %d, want %d; reply %v", end.Outcome, want, end.Response)
	}
	if end.Response != nil && string(end.Response.Body) != "hi" {
		t.Errorf("body %q", end.Response.Body)
	}
	if n := pool.Stats(); n.Open != held || n.Idle != held {
		t.Errorf("held %d, idle %d, want %d", n.Open, n.Idle, held)
	}
}

// A response that breaks off is never passed on in part, the attempt is never taken for one that did not run, its
// connection is closed and the request is not sent again. Wherever the break is, an endpoint that has ended the
// connection gives ConnectionBroken, at once, and one that sends no more MalformedResponse, after the time for the
// rest.
func TestResponseBreaksOff(t *testing.T) {
	for place, part := range map[string]string{
		"in the status line":          "HTTP/1.1 20",
		"in a field name of the head": "HTTP/1.1 200 OK\r\nContent-Le",
		"in a length":                 "HTTP/1.1 200 OK\r\nContent-Length: 1",
		"after the head":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"in the body":                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh",
		"in the size of a chunk":      chunked + "1",
		"in a chunk":                  chunked + "2\r\nh",
		"before the last chunk":       chunked + "2\r\nhi\r\n",
		"before the trailer":          chunked + "2\r\nhi\r\n0\r\n",
		"in the trailer":              chunked + "2\r\nhi\r\n0\r\nX-Checks",
	} {
		for how, test := range map[string]struct {
			end  func(net.Conn)
			want decision.Outcome
		}{
			"FIN": {func(c net.Conn) {
				_ = c.(*net.TCPConn).CloseWrite() // fails on a connection that has ended only
			}, decision.ConnectionBroken},
			"RST":     {reset, decision.ConnectionBroken},
			"silence": {func(net.Conn) {}, decision.MalformedResponse},
		} {
			t.Run(place+", "+how, func(t *testing.T) {
				pool := newPool(4)
				read, rest := seen(pool), pool.times.responseRest
				if test.want == decision.ConnectionBroken {
					pool.times.responseRest = time.Hour // the ending must not wait for the timer
				}
				server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { say(part)(c, r); <-read; test.end(c) })
				began := time.Now()
				checkEnd(t, pool, pool.attempt(server.Addr().String(), "POST", deadline, nil), test.want, 0)
				if took := time.Since(began); took > soon || test.want == decision.MalformedResponse && took < rest {
					t.Errorf("ended after %v, rest timer %v", took, rest)
				}
				if <-server.closed; server.requests.Load() != 1 {
					t.Errorf("sent %d times", server.requests.Load())
				}
			})
		}
	}
}

// drain reads what an endpoint has not read yet, until the pool closes the connection.
func drain(c net.Conn) { go func() { _, _ = io.Copy(io.Discard, c) }() }

// drip sends the start of a response at once and then, byte by byte, the same text again and again.
func drip(start, text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		_, err := io.WriteString(c, start)
		for i := 0; err == nil; i++ {
			_, err = c.Write([]byte{text[i%len(text)]})
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// An endpoint whose response comes a byte at a time is given up a quarter of the connect timeout after the first byte,
// at least 50 ms: no further byte extends that, else it would keep its requests until their deadlines.
func TestSlowResponse(t *testing.T) {
	for name, test := range map[string]struct {
		start, text string
		connect     decision.Millis
		rest        time.Duration
	}{
		"status line": {"", "H", 100, 50 * time.Millisecond},
		"head":        {"HTTP/1.1 200 OK\r\nX-Padding: ", "x", 100, 50 * time.Millisecond},
		"body": {
			"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n", "x", 100, 50 * time.Millisecond,
		},
		"chunks":  {chunked, "1\r\nx\r\n", 100, 50 * time.Millisecond},
		"trailer": {chunked + "0\r\n", "A: b\r\n", 100, 50 * time.Millisecond},
		"body, with more time to connect": {
			"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n", "x", 800, 200 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeEndpoint(t, drip(test.start, test.text))
			pool := NewPool(clock.New(), settings.Network{IdleAfter: 2000, ConnectTimeout: test.connect}, 4, newPool(4).log)
			began := time.Now()
			checkEnd(t, pool, pool.attempt(server.Addr().String(), "POST", deadline, nil), decision.MalformedResponse, 0)
			if took := time.Since(began); took < test.rest || took > soon {
				t.Errorf("given up after %v, want %v", took, test.rest)
			}
		})
	}
}

// A 1xx response is not the response: what follows it has the attempt's whole time to begin and counts alone, and an
// endpoint that falls silent after it may have run the request.
func TestAfterContinue(t *testing.T) {
	for name, test := range map[string]struct {
		then func(net.Conn)
		want decision.Outcome
		held int
	}{
		"the response":  {func(c net.Conn) { say(ok)(c, nil) }, decision.Succeeded, 1},
		"two responses": {func(c net.Conn) { say(ok+ok)(c, nil) }, decision.Succeeded, 0},
		"FIN":           {func(c net.Conn) { end(c) }, decision.ConnectionBroken, 0},
		"RST":           {reset, decision.ConnectionBroken, 0},
		"silence":       {func(net.Conn) {}, decision.TimedOut, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			read := seen(pool)
			server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { say(goOn)(c, r); <-read; test.then(c) })
			pool.times.responseRest = time.Nanosecond // over as the next piece comes; a piece that is read at once needs none
			checkEnd(t, pool, pool.attempt(server.Addr().String(), "POST", 500, nil), test.want, test.held)
		})
	}
}

// An endpoint may respond before it has the whole request. That response gives the outcome: taken for one that never
// ran, because the request was not written to its end, it would be sent again and run twice, or count against an
// endpoint that only rejected it.
func TestResponseBeforeRequestEnds(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		then     func(net.Conn) // when the response has reached this side, which still writes
		want     decision.Outcome
		held     int
	}{
		"succeeded, then reads the rest": {ok, drain, decision.Succeeded, 1},
		"two responses, reads the rest":  {ok + ok, drain, decision.Succeeded, 0},
		"succeeded, then resets":         {ok, reset, decision.Succeeded, 0},
		"rejected, then resets":          {full, reset, decision.EndpointRejected, 0},
		"succeeded, reads no more":       {ok, func(net.Conn) {}, decision.Succeeded, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			l, dialed, ends := narrow(t, pool), make(chan net.Conn, 1), make(chan engine.AttemptResult, 1)
			dial := pool.dial
			pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
				c, err := dial(ctx, d, address)
				dialed <- c
				return c, err
			}
			pool.SetAddress("n", l.Addr().String())
			pool.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: l.Addr().String(), Deadline: pool.clock.Now() + 1000,
				Request: &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, unread)},
				OnEnd:   func(e engine.AttemptResult) { ends <- e },
			})
			endpoint, client := accept(t, l), <-dialed
			write(endpoint, test.response)
			for sockopt.IsIdle(client.(syscall.Conn)) { // the response is on its way
				time.Sleep(time.Millisecond)
			}
			test.then(endpoint)
			checkEnd(t, pool, <-ends, test.want, test.held)
		})
	}
}
