package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"ottershed/internal/engine"
	"ottershed/internal/sockopt"
)

const (
	firstRequest = "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: first\r\n\r\n"
	nextRequest  = "GET /read/2 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: next\r\n\r\n"
)

// partLengths holds the number of bytes of nextRequest that the server has read when connections are closed.
var partLengths = map[string]int{
	"one byte": 1, "half the head": len(nextRequest) / 2, "the whole request": len(nextRequest),
}

// readResumeWait is longer than the server takes to read again after a response.
const readResumeWait = 20 * time.Millisecond

// forEachClosing runs a test for each reason to close connections and each length of partLengths.
func forEachClosing(t *testing.T, run func(t *testing.T, closeConns func(*Server), part, rest string)) {
	t.Helper()
	for name, closeConns := range map[string]func(*Server){
		"draining begins": func(server *Server) { server.state.advance(draining) },
		"accepting ends": func(server *Server) {
			server.state.advance(draining)
			_ = server.limiter.shutdown() // the tests of Drain check its result
			server.limiter.expireGrace()
			server.limiter.closeUnusedAndIdle()
		},
		"connections are evicted": func(server *Server) { server.limiter.expireGrace(); server.limiter.evictAll() },
	} {
		for part, length := range partLengths {
			t.Run(name+" after "+part, func(t *testing.T) { run(t, closeConns, nextRequest[:length], nextRequest[length:]) })
		}
	}
}

// expireGrace ends the grace period of all unused connections.
func (l *connLimiter) expireGrace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection, entry := range l.conns.entries {
		entry.since = entry.since.Add(-newConnectionGrace)
		l.conns.entries[connection] = entry
	}
}

// evictAll evicts all connections that the limiter can evict.
func (l *connLimiter) evictAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.evict() {
	}
}

// hasUnreadBytes reports whether the socket of a connection holds bytes that were not read.
func (l *connLimiter) hasUnreadBytes() (unread bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.conns.entries {
		unread = unread || !sockopt.IsIdle(connection.(*sockopt.Conn))
	}
	return unread
}

// observeStates calls inspect after each state change of a connection, before the server continues with the connection.
func observeStates(server *Server, inspect func(net.Conn, http.ConnState)) {
	server.httpServer.ConnState = func(connection net.Conn, state http.ConnState) {
		server.limiter.track(connection, state)
		inspect(connection, state)
	}
}

// waitFor waits until a condition holds, and fails the test after 5 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5s: %s", what)
		}
	}
}

// failedResult returns the result of the engine that readFailedOrRejected accepts.
func failedResult() engine.Result { return engine.Result{Kind: engine.Failed} }

// succeededResult returns a function that makes results with a body of size bytes.
func succeededResult(size int) func() engine.Result {
	return func() engine.Result {
		response := &engine.Response{Header: http.Header{}, Body: make([]byte, size)}
		return engine.Result{Kind: engine.Succeeded, Response: response}
	}
}

// respondToRequests responds to all further requests at once, until the test ends.
func respondToRequests(t *testing.T, fake fakeEngine, result func() engine.Result) {
	t.Helper()
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	go func() {
		for {
			select {
			case request := <-fake.requests:
				request.Respond(result())
			case <-fake.disconnected:
			case <-testEnded:
				return
			}
		}
	}()
}

// readFailedOrRejected reads a response and checks that it is a 500 for failedResult, or a 503 with Retry-After that
// closes the connection. It reports whether the response closes the connection.
func (c *client) readFailedOrRejected() bool {
	c.t.Helper()
	response, _ := c.readResponse()
	rejected := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" &&
		response.Close
	if response.StatusCode != http.StatusInternalServerError && !rejected {
		c.t.Errorf("response: got status %d (0: closed without a response), %v; want 500, or 503 with Retry-After and close",
			response.StatusCode, response.Header)
	}
	return response.Close
}

// readFailedOrKept reads a response and checks that it is a 500 for failedResult, or a 503 with Retry-After, and that it
// keeps the connection open for the requests behind it. It returns the status.
func (c *client) readFailedOrKept() (status int) {
	c.t.Helper()
	response, _ := c.readResponse()
	rejected := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
	if response.StatusCode != http.StatusInternalServerError && !rejected || response.Close {
		c.t.Errorf("response: got status %d (0: closed without a response), %v, close %v; want 500, or 503 with Retry-After, no close",
			response.StatusCode, response.Header, response.Close)
	}
	return response.StatusCode
}

// makeIdle sends a request, reads its response and waits until the server counts the connection as idle.
func (c *client) makeIdle(server *Server) {
	c.send("GET /up", "", "")
	c.readResponse()
	waitFor(c.t, "connection is idle", func() bool { return server.limiter.idleCount() == 1 })
}

// Guards against closing a connection as unused or idle, or while draining, after the server has read a part of a request
// from it. The client would get no response.
func TestPartiallyReadRequestSurvivesClosing(t *testing.T) {
	for name, idle := range map[string]bool{"new connection": false, "idle connection": true} {
		t.Run(name, func(t *testing.T) {
			forEachClosing(t, func(t *testing.T, closeConns func(*Server), part, rest string) {
				t.Helper()
				server, fake, address := start(t, 10)
				c := dial(t, address)
				if idle {
					c.makeIdle(server)
				}
				c.write(part)
				waitFor(t, "server has read the request part", func() bool { return server.limiter.pendingCount() == 1 })
				closeConns(server)
				c.write(rest)
				respondToRequests(t, fake, failedResult)
				if closes := c.readFailedOrRejected(); server.state.reached(draining) && !closes {
					t.Error("the response of a draining server does not close the connection")
				}
			})
		})
	}
}

// Guards against closing a connection after the server has read a part of a pipelined request from it. The bytes are in
// a buffer of http.Server, where the limiter cannot see them. Either the first response announces the close, or the
// second request gets a response too.
func TestPipelinedRequestSurvivesClosing(t *testing.T) {
	for name, test := range map[string]struct {
		sentSeparately       bool // the second request is sent by itself; otherwise in one segment with the first
		closedBeforeResponse bool // connections are closed before the first response
		// closedWhileReading: connections are closed while the server waits for the rest of the second request. If neither
		// this nor closedBeforeResponse is set, they are closed when the connection becomes idle.
		closedWhileReading bool
	}{
		"one segment, before the response":    {false, true, false},
		"one segment, after the response":     {false, false, false},
		"one segment, while the rest is read": {false, false, true},
		"separate, before the response":       {true, true, false},
		"separate, after the response":        {true, false, false},
		"separate, while the rest is read":    {true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			forEachClosing(t, func(t *testing.T, closeConns func(*Server), part, rest string) {
				t.Helper()
				l, connsClosed := listen(t), make(chan struct{})
				var closeOnce func()
				server, fake := serve(t, l, 10, func(server *Server) {
					closeOnce = sync.OnceFunc(func() { closeConns(server); close(connsClosed) })
					observeStates(server, func(_ net.Conn, state http.ConnState) {
						if state == http.StateIdle && !test.closedWhileReading {
							closeOnce()
						}
					})
				})
				conn := dial(t, l.Addr().String())
				var request *engine.ClientRequest
				if test.sentSeparately {
					conn.write(firstRequest)
					request = <-fake.requests
					conn.write(part)
					// The server reads one byte ahead; further bytes stay in the socket.
					waitFor(t, "server has read the request part", func() bool { return len(part) > 1 || !server.limiter.hasUnreadBytes() })
				} else {
					conn.write(firstRequest + part)
					request = <-fake.requests
				}
				if test.closedBeforeResponse {
					closeOnce()
				}
				request.Respond(failedResult())
				if conn.readFailedOrRejected() {
					return
				}
				if test.closedWhileReading {
					time.Sleep(readResumeWait)
					closeOnce()
				}
				<-connsClosed
				conn.write(rest)
				respondToRequests(t, fake, failedResult)
				conn.readFailedOrRejected()
			})
		})
	}
}

// Guards against an idle timeout that closes a connection after the first bytes of a request were read. From then on,
// readTimeout applies as for every request.
func TestPartiallyReadRequestSurvivesIdleTimeout(t *testing.T) {
	for part, length := range partLengths {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			server, fake := serve(t, l, 10, func(server *Server) { server.httpServer.IdleTimeout = readTimeout / 2 })
			c := dial(t, l.Addr().String())
			c.makeIdle(server)
			c.write(nextRequest[:length])
			waitFor(t, "server has read the request part", func() bool { return server.limiter.pendingCount() == 1 })
			c.setReadDeadline(time.Now().Add(readTimeout * 3 / 4)) // after the idle timeout, before readTimeout
			if _, err := c.r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("read before the deadline: got error %v, want the connection open for the rest of the request", err)
			}
			c.setReadDeadline(time.Now().Add(responseTimeout))
			c.write(nextRequest[length:])
			respondToRequests(t, fake, failedResult)
			c.readFailedOrRejected()
		})
	}
}

// Guards against a request that reaches the engine although the idle timeout of its connection expired before it was
// read.
func TestRequestAfterIdleTimeoutIsNotServed(t *testing.T) {
	l := listen(t)
	server, fake := serve(t, l, 10, func(server *Server) {
		server.httpServer.IdleTimeout = 1 // expires at once
	})
	c := dial(t, l.Addr().String())
	c.send("GET /up", "", "")
	c.readResponse()
	c.write(nextRequest)
	if response, _ := c.readResponse(); response.StatusCode != 0 {
		t.Errorf("response after the idle timeout: got status %d, want the connection closed", response.StatusCode)
	}
	waitFor(t, "connection has ended", func() bool { return server.limiter.connCount() == 0 })
	if len(fake.requests) != 0 {
		t.Error("engine: got the request of a connection with an expired idle timeout, want none")
	}
}

// blockedWriter is a response writer that blocks the handler after the last byte of the response, until release is
// closed.
type blockedWriter struct {
	http.ResponseWriter
	remaining int // bytes of the response
	release   chan struct{}
}

func (b *blockedWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

func (b *blockedWriter) Write(p []byte) (int, error) {
	n, err := b.ResponseWriter.Write(p)
	if b.remaining -= n; b.remaining == 0 {
		<-b.release
	}
	return n, err
}

// Guards against a 409 for a client that reuses its correlation id after the last byte of its response. net/http sends a
// short response when the handler has ended, and a long one earlier, so here the handler is blocked after the last byte.
func TestCorrelationIDIsFreeAfterResponse(t *testing.T) {
	for name, test := range map[string]struct {
		responseBytes int  // length of the body of each response
		sameConn      bool // both requests use one connection
	}{
		"short, same connection":  {2, true},
		"short, other connection": {2, false},
		"long, same connection":   {maxBodyBytes, true},
		"long, other connection":  {maxBodyBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, release := listen(t), make(chan struct{})
			_, fake := serve(t, l, 10, func(server *Server) {
				handler := server.httpServer.Handler
				server.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handler.ServeHTTP(&blockedWriter{w, maxBodyBytes, release}, r)
				})
			})
			unblock := sync.OnceFunc(func() { close(release) })
			defer unblock()
			clients := []*client{dial(t, l.Addr().String()), dial(t, l.Addr().String())}
			if test.sameConn {
				clients[1] = clients[0]
			}
			respondToRequests(t, fake, succeededResult(test.responseBytes))
			for i, c := range clients {
				c.send("GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: same\r\n", "")
				if i == 1 && test.sameConn {
					unblock()
				}
				if response, body := c.readResponse(); response.StatusCode != http.StatusOK || len(body) != test.responseBytes {
					t.Errorf("request %d: got status %d, %d bytes; want 200, %d", i+1, response.StatusCode, len(body), test.responseBytes)
				}
			}
		})
	}
}
