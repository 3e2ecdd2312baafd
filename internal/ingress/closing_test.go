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

// requestParts names how many bytes of nextRequest the server has read when its connection may be closed.
var requestParts = map[string]int{
	"one byte": 1, "half the head": len(nextRequest) / 2, "the whole request": len(nextRequest),
}

// readerWaits is more than the server takes from a response until it reads on.
const readerWaits = 20 * time.Millisecond

// eachInstant runs a test for every way to close connections and every part of a request.
func eachInstant(t *testing.T, run func(t *testing.T, closeConns func(*Server), part, rest string)) {
	t.Helper()
	for name, closeConns := range map[string]func(*Server){
		"the grace begins": func(server *Server) { server.state.advance(draining) },
		"accepting has ended": func(server *Server) {
			server.state.advance(draining)
			_ = server.limiter.shutdown() // the tests of Drain check its result
			server.limiter.pastMoment()
			server.limiter.closeQuiet()
		},
		"connections are evicted": func(server *Server) { server.limiter.pastMoment(); server.limiter.evictAll() },
	} {
		for part, length := range requestParts {
			t.Run(name+" after "+part, func(t *testing.T) { run(t, closeConns, nextRequest[:length], nextRequest[length:]) })
		}
	}
}

// pastMoment has every connection have stood for longer than a new one's grace period.
func (l *connLimiter) pastMoment() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection, place := range l.conns.positions {
		place.since = place.since.Add(-newConnectionGrace)
		l.conns.positions[connection] = place
	}
}

// evictAll closes whatever the limiter would close beyond the limit.
func (l *connLimiter) evictAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.conns.evictOne() {
	}
}

// unread tells whether bytes wait in the socket of a connection.
func (l *connLimiter) unread() (yes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.conns.positions {
		yes = yes || !sockopt.IsIdle(connection.(*sockopt.Conn))
	}
	return yes
}

// observeStates has inspect called after each step of a connection, before the server goes on with it.
func observeStates(server *Server, inspect func(net.Conn, http.ConnState)) {
	server.httpServer.ConnState = func(connection net.Conn, state http.ConnState) {
		server.limiter.track(connection, state)
		inspect(connection, state)
	}
}

// waitFor waits until something is so.
func waitFor(t *testing.T, what string, so func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !so(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// failed is the result that wantResponse takes for one of the engine.
func failed() engine.Result { return engine.Result{Kind: engine.Failed} }

// succeeded makes results of so many bytes.
func succeeded(size int) func() engine.Result {
	return func() engine.Result {
		response := &engine.Response{Fields: http.Header{}, Body: make([]byte, size)}
		return engine.Result{Kind: engine.Succeeded, Response: response}
	}
}

// respondToRequests has all requests responded to at once from now on.
func respondToRequests(t *testing.T, fake fakeEngine, result func() engine.Result) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case request := <-fake.requests:
				request.Respond(result())
			case <-fake.disconnected:
			case <-done:
				return
			}
		}
	}()
}

// wantResponse reads a response, 500 for failed or 503 with Retry-After; it tells whether that closes the connection.
func (c *client) wantResponse() bool {
	c.t.Helper()
	response, _ := c.readResponse()
	rejected := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" &&
		response.Close
	if response.StatusCode != http.StatusInternalServerError && !rejected {
		c.t.Errorf("status %d (0: closed without a response), %v", response.StatusCode, response.Header)
	}
	return response.Close
}

// keep has the connection carry a request and come to rest.
func (c *client) keep(server *Server) {
	c.send("GET /up", "", "")
	c.readResponse()
	waitFor(c.t, "a kept connection", func() bool { return server.limiter.resting() == 1 })
}

// Guards against a connection that is closed as unused or idle, or by a draining server, although the server has read a
// part of a request from it: the client would be left without a response.
func TestRequestMeetsClosing(t *testing.T) {
	for name, kept := range map[string]bool{"on a new connection": false, "on a kept connection": true} {
		t.Run(name, func(t *testing.T) {
			eachInstant(t, func(t *testing.T, closeConns func(*Server), part, rest string) {
				t.Helper()
				server, fake, address := start(t, 10)
				c := dial(t, address)
				if kept {
					c.keep(server)
				}
				c.write(part)
				waitFor(t, "the server's read", func() bool { return server.limiter.requestPending() == 1 })
				closeConns(server)
				c.write(rest)
				respondToRequests(t, fake, failed)
				if last := c.wantResponse(); server.state.reached(draining) && !last {
					t.Error("a draining server doesn't say that it closes")
				}
			})
		})
	}
}

// Guards against the same for a request that comes before the response to the one before it: the server holds bytes of
// it in a buffer of its own, where the limiter can't see them. The first response says that the connection closes, or
// the second request gets a response too.
func TestPipelinedMeetsClosing(t *testing.T) {
	for name, test := range map[string]struct {
		apart bool // the second request comes by itself, else in one segment with the first
		early bool // the closing comes before the first response
		late  bool // the closing comes once the reader waits for the rest; else as the connection comes to rest
	}{
		"in one segment, before the response": {false, true, false},
		"in one segment, after the response":  {false, false, false},
		"in one segment, as its rest is read": {false, false, true},
		"by itself, before the response":      {true, true, false},
		"by itself, after the response":       {true, false, false},
		"by itself, as its rest is read":      {true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			eachInstant(t, func(t *testing.T, closeConns func(*Server), part, rest string) {
				t.Helper()
				l, connsClosed := listen(t), make(chan struct{})
				var closeOnce func()
				server, fake := serve(t, l, 10, func(server *Server) {
					closeOnce = sync.OnceFunc(func() { closeConns(server); close(connsClosed) })
					observeStates(server, func(_ net.Conn, state http.ConnState) {
						if state == http.StateIdle && !test.late {
							closeOnce()
						}
					})
				})
				conn := dial(t, l.Addr().String())
				var request *engine.ClientRequest
				if test.apart {
					conn.write(firstRequest)
					request = <-fake.requests
					conn.write(part)
					// Of several bytes the server takes one ahead, the others wait in the socket.
					waitFor(t, "the server's read", func() bool { return len(part) > 1 || !server.limiter.unread() })
				} else {
					conn.write(firstRequest + part)
					request = <-fake.requests
				}
				if test.early {
					closeOnce()
				}
				request.Respond(failed())
				if conn.wantResponse() {
					return
				}
				if test.late {
					time.Sleep(readerWaits)
					closeOnce()
				}
				<-connsClosed
				conn.write(rest)
				respondToRequests(t, fake, failed)
				conn.wantResponse()
			})
		})
	}
}

// Guards against the end of an idle connection's time after the first bytes of a request were read: the client has as
// long for the rest of the head as every client.
func TestRequestMeetsIdleTimeout(t *testing.T) {
	for part, length := range requestParts {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			server, fake := serve(t, l, 10, func(server *Server) { server.httpServer.IdleTimeout = readTimeout / 2 })
			c := dial(t, l.Addr().String())
			c.keep(server)
			c.write(nextRequest[:length])
			waitFor(t, "the server's read", func() bool { return server.limiter.requestPending() == 1 })
			c.readUntil(time.Now().Add(readTimeout * 3 / 4)) // the idle time is over, that of a head is not
			if _, err := c.r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("not kept for the rest of the request: %v", err)
			}
			c.readUntil(time.Now().Add(responseDue))
			c.write(nextRequest[length:])
			respondToRequests(t, fake, failed)
			c.wantResponse()
		})
	}
}

// Guards against a request that reaches the engine although its connection's idle time was over before it was read.
func TestRequestAfterIdleTimeout(t *testing.T) {
	l := listen(t)
	server, fake := serve(t, l, 10, func(server *Server) {
		server.httpServer.IdleTimeout = 1 // over as soon as it begins
	})
	c := dial(t, l.Addr().String())
	c.send("GET /up", "", "")
	c.readResponse()
	c.write(nextRequest)
	if response, _ := c.readResponse(); response.StatusCode != 0 {
		t.Errorf("status %d", response.StatusCode)
	}
	waitFor(t, "the connection's end", func() bool { return server.limiter.count() == 0 })
	if len(fake.requests) != 0 {
		t.Error("it reached the engine")
	}
}

// blockedWriter is a writer of a response that holds up the handler once the last byte is written.
type blockedWriter struct {
	http.ResponseWriter
	left int
	let  chan struct{}
}

func (request *blockedWriter) Unwrap() http.ResponseWriter { return request.ResponseWriter }

func (request *blockedWriter) Write(p []byte) (int, error) {
	n, err := request.ResponseWriter.Write(p)
	if request.left -= n; request.left == 0 {
		<-request.let
	}
	return n, err
}

// Guards against "that of an open request" for a client that has read the last byte of its response. The bytes of a
// short response go out once its handler has ended; those of a long one before, and there the handler is held up.
func TestIDReusedAfterResponse(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		same bool // connection
	}{
		"short, on the same connection": {2, true},
		"short, on another connection":  {2, false},
		"long, on the same connection":  {maxBody, true},
		"long, on another connection":   {maxBody, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, let := listen(t), make(chan struct{})
			_, fake := serve(t, l, 10, func(server *Server) {
				handler := server.httpServer.Handler
				server.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handler.ServeHTTP(&blockedWriter{w, maxBody, let}, r)
				})
			})
			free := sync.OnceFunc(func() { close(let) })
			defer free()
			clients := []*client{dial(t, l.Addr().String()), dial(t, l.Addr().String())}
			if test.same {
				clients[1] = clients[0]
			}
			respondToRequests(t, fake, succeeded(test.size))
			for i, c := range clients {
				c.send("GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: same\r\n", "")
				if i == 1 && test.same {
					free()
				}
				if response, body := c.readResponse(); response.StatusCode != http.StatusOK || len(body) != test.size {
					t.Errorf("request %d: status %d, %d bytes", i+1, response.StatusCode, len(body))
				}
			}
		})
	}
}
