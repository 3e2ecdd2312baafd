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
	chunkedHead      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	rejection        = "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

const (
	// maxWait is much longer than any expected wait of these tests, and much shorter than longDeadline.
	maxWait = 3 * time.Second
	// longDeadline is the time in ms until the deadline of an attempt that must end earlier.
	longDeadline = 10_000
)

// hookedConn is a connection that calls read after each non-empty read and write before each write.
type hookedConn struct {
	*net.TCPConn
	read  func()
	write func() error
}

func (c hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.read()
	}
	return n, err
}

func (c hookedConn) Write(b []byte) (int, error) {
	if err := c.write(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// hookConns adds hooks to the connections that the pool opens from now on.
func hookConns(pool *Pool, read func(), write func() error) {
	dial := pool.dial
	pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		c, err := dial(ctx, d, address)
		if err != nil {
			return nil, err
		}
		return hookedConn{c.(*net.TCPConn), read, write}, nil
	}
}

// noWriteHook is a write hook that does nothing.
func noWriteHook() error { return nil }

// notifyReads returns a channel that receives a value after each non-empty read from an endpoint.
func notifyReads(pool *Pool) <-chan struct{} {
	read := make(chan struct{}, 100)
	hookConns(pool, func() { read <- struct{}{} }, noWriteHook)
	return read
}

// checkResult checks that an attempt has this outcome, and a response only if it succeeded. It checks that the pool has
// this number of connections, all of them idle.
func checkResult(t *testing.T, pool *Pool, result engine.AttemptResult, want decision.Outcome, idle int) {
	t.Helper()
	if result.Outcome != want || (result.Response != nil) != (want == decision.Succeeded) {
		t.Errorf("attempt: got outcome %d with response %v, want outcome %d, with a response only if succeeded",
			result.Outcome, result.Response, want)
	}
	if result.Response != nil && string(result.Response.Body) != "hi" {
		t.Errorf("response: got body %q, want %q", result.Response.Body, "hi")
	}
	if n := pool.Stats(); n.Open != idle || n.Idle != idle {
		t.Errorf("pool: got %d connections, %d idle, want %d, all idle", n.Open, n.Idle, idle)
	}
}

// An incomplete response is not passed on, and its attempt never counts as not run. The connection is closed and the
// request is not sent again. Wherever the response breaks off, a closed connection gives ConnectionBroken at once, and
// an endpoint that stops sending gives MalformedResponse after the response read timeout.
func TestIncompleteResponseNotPassedOn(t *testing.T) {
	for place, incomplete := range map[string]string{
		"in the status line":    "HTTP/1.1 20",
		"in a header name":      "HTTP/1.1 200 OK\r\nContent-Le",
		"in a content length":   "HTTP/1.1 200 OK\r\nContent-Length: 1",
		"after the header":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
		"in the body":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh",
		"in a chunk size":       chunkedHead + "1",
		"in a chunk":            chunkedHead + "2\r\nh",
		"before the last chunk": chunkedHead + "2\r\nhi\r\n",
		"before the trailer":    chunkedHead + "2\r\nhi\r\n0\r\n",
		"in the trailer":        chunkedHead + "2\r\nhi\r\n0\r\nX-Checks",
	} {
		for how, test := range map[string]struct {
			interrupt func(net.Conn)
			want      decision.Outcome
		}{
			"FIN": {func(c net.Conn) {
				_ = c.(*net.TCPConn).CloseWrite() // fails only on a closed connection
			}, decision.ConnectionBroken},
			"RST":     {resetConn, decision.ConnectionBroken},
			"silence": {func(net.Conn) {}, decision.MalformedResponse},
		} {
			t.Run(place+", "+how, func(t *testing.T) {
				pool := newPool(4)
				read, readTimeout := notifyReads(pool), pool.timing.responseReadTimeout
				if test.want == decision.ConnectionBroken {
					pool.timing.responseReadTimeout = time.Hour // a closed connection must be detected without the timeout
				}
				server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
					respondWith(incomplete)(c, r)
					<-read
					test.interrupt(c)
				})
				startedAt := time.Now()
				checkResult(t, pool, pool.attempt(server.Addr().String(), "POST", longDeadline, nil), test.want, 0)
				took := time.Since(startedAt)
				if took > maxWait || test.want == decision.MalformedResponse && took < readTimeout {
					t.Errorf("attempt: ended after %v, want at most %v, and at least %v if malformed", took, maxWait, readTimeout)
				}
				if <-server.closed; server.requests.Load() != 1 {
					t.Errorf("endpoint: got %d requests, want 1", server.requests.Load())
				}
			})
		}
	}
}

// discardInput reads the rest of a request in the background, until the pool closes the connection.
func discardInput(c net.Conn) { go func() { _, _ = io.Copy(io.Discard, c) }() }

// sendByteByByte returns a handler that sends start at once and then repeats text byte by byte.
func sendByteByByte(start, text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		_, err := io.WriteString(c, start)
		for i := 0; err == nil; i++ {
			_, err = c.Write([]byte{text[i%len(text)]})
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// A response that arrives one byte at a time is cut off after a quarter of the connect timeout, at least 50 ms, from
// its first byte on. Further bytes do not extend the timeout. Otherwise the endpoint would block its requests until
// their deadlines.
func TestSlowResponseEndsAtReadTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		start, text    string
		connectTimeout decision.Millis
		readTimeout    time.Duration
	}{
		"status line": {"", "H", 100, 50 * time.Millisecond},
		"header":      {"HTTP/1.1 200 OK\r\nX-Padding: ", "x", 100, 50 * time.Millisecond},
		"body": {
			"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n", "x", 100, 50 * time.Millisecond,
		},
		"chunks":  {chunkedHead, "1\r\nx\r\n", 100, 50 * time.Millisecond},
		"trailer": {chunkedHead + "0\r\n", "A: b\r\n", 100, 50 * time.Millisecond},
		"body, longer connect timeout": {
			"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n", "x", 800, 200 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeEndpoint(t, sendByteByByte(test.start, test.text))
			network := settings.Network{IdleTimeout: 2000, ConnectTimeout: test.connectTimeout}
			pool := NewPool(clock.New(), network, 4, newPool(4).log)
			startedAt := time.Now()
			checkResult(t, pool, pool.attempt(server.Addr().String(), "POST", longDeadline, nil), decision.MalformedResponse, 0)
			if took := time.Since(startedAt); took < test.readTimeout || took > maxWait {
				t.Errorf("attempt: ended after %v, want %v to %v", took, test.readTimeout, maxWait)
			}
		})
	}
}

// A 1xx response is skipped: only the response after it counts and may start until the deadline of the attempt. If
// nothing follows, the endpoint may have run the request.
func TestInterimResponseSkipped(t *testing.T) {
	for name, test := range map[string]struct {
		then func(net.Conn)
		want decision.Outcome
		idle int // open connections afterwards, all of them idle
	}{
		"response":      {func(c net.Conn) { respondWith(okResponse)(c, nil) }, decision.Succeeded, 1},
		"two responses": {func(c net.Conn) { respondWith(okResponse+okResponse)(c, nil) }, decision.Succeeded, 0},
		"FIN":           {func(c net.Conn) { closeQuietly(c) }, decision.ConnectionBroken, 0},
		"RST":           {resetConn, decision.ConnectionBroken, 0},
		"silence":       {func(net.Conn) {}, decision.TimedOut, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			read := notifyReads(pool)
			server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
				respondWith(continueResponse)(c, r)
				<-read
				test.then(c)
			})
			// This timeout has passed when the next response arrives, and must not apply to it. Bytes that are buffered
			// already are read without a timeout.
			pool.timing.responseReadTimeout = time.Nanosecond
			checkResult(t, pool, pool.attempt(server.Addr().String(), "POST", 500, nil), test.want, test.idle)
		})
	}
}

// A response that arrives before the request is written completely gives the outcome. If the attempt counted as not run
// because of the incomplete write, the request would be sent again and run twice, or an endpoint that only rejected it
// would count as unreachable.
func TestEarlyResponseGivesOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		then     func(net.Conn) // called when the pool has the response and still writes
		want     decision.Outcome
		idle     int // open connections afterwards, all of them idle
	}{
		"succeeded, then reads the rest": {okResponse, discardInput, decision.Succeeded, 1},
		"two responses, reads the rest":  {okResponse + okResponse, discardInput, decision.Succeeded, 0},
		"succeeded, then resets":         {okResponse, resetConn, decision.Succeeded, 0},
		"rejected, then resets":          {rejection, resetConn, decision.EndpointRejected, 0},
		"succeeded, reads no more":       {okResponse, func(net.Conn) {}, decision.Succeeded, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			l, dialed, results := listenSmallBuffers(t, pool), make(chan net.Conn, 1), make(chan engine.AttemptResult, 1)
			dial := pool.dial
			pool.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
				c, err := dial(ctx, d, address)
				dialed <- c
				return c, err
			}
			pool.SetAddress("n", l.Addr().String())
			pool.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: l.Addr().String(), Deadline: pool.clock.Now() + 1000,
				Request:  &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, oversizedBody)},
				OnResult: func(r engine.AttemptResult) { results <- r },
			})
			endpoint, client := acceptStarted(t, l), <-dialed
			writeText(endpoint, test.response)
			for sockopt.IsIdle(client.(syscall.Conn)) { // the response has not arrived yet
				time.Sleep(time.Millisecond)
			}
			test.then(endpoint)
			checkResult(t, pool, <-results, test.want, test.idle)
		})
	}
}
