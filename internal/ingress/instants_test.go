package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"ottershed/internal/engine"
	"ottershed/internal/sockopt"
	"sync"
	"testing"
	"time"
)

const (
	firstRequest = "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: first\r\n\r\n"
	nextRequest  = "GET /read/2 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: next\r\n\r\n"
)

// requestParts names how many bytes of nextRequest the server has read when its connection may be closed.
var requestParts = map[string]int{"one byte": 1, "half the head": len(nextRequest) / 2, "the whole request": len(nextRequest)}

// eachInstant runs a test for every way to close connections and every part of a request.
func eachInstant(t *testing.T, run func(t *testing.T, closing func(*Server), part, rest string)) {
	for name, closing := range map[string]func(*Server){
		"the grace begins": func(f *Server) { f.draining.Store(true) },
		"the gate is shut": func(f *Server) {
			f.draining.Store(true)
			f.limiter.shutdown()
			f.limiter.pastMoment()
			f.limiter.closeQuiet()
		},
		"room is made": func(f *Server) { f.limiter.pastMoment(); f.limiter.evictAll() },
	} {
		for part, length := range requestParts {
			t.Run(name+" after "+part, func(t *testing.T) { run(t, closing, nextRequest[:length], nextRequest[length:]) })
		}
	}
}

// pastMoment has every connection have stood for longer than a new one's moment.
func (g *connLimiter) pastMoment() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for connection, place := range g.conns {
		place.since = place.since.Add(-newConnectionGrace)
		g.conns[connection] = place
	}
}

// makeAllRoom closes whatever the gate would close for want of room.
func (g *connLimiter) evictAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.evictOne() {
	}
}

// unread tells whether bytes wait in the socket of a connection.
func (g *connLimiter) unread() (yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for connection := range g.conns {
		yes = yes || !sockopt.IsIdle(connection.(*sockopt.Conn))
	}
	return yes
}

// watch has look called after each step of a connection, before the server goes on with it.
func observeStates(f *Server, inspect func(net.Conn, http.ConnState)) {
	f.server.ConnState = func(connection net.Conn, state http.ConnState) {
		f.limiter.state(connection, state)
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

// errored is the answer that wantAnswer takes for one of the marshal.
func failed() engine.Result { return engine.Result{Kind: engine.Failed} }

// delivered makes answers of so many bytes.
func succeeded(size int) func() engine.Result {
	return func() engine.Result {
		response := &engine.Response{Fields: http.Header{}, Body: make([]byte, size)}
		return engine.Result{Kind: engine.Succeeded, Response: response}
	}
}

// answerHits has all hits answered at once from now on.
func respondToRequests(t *testing.T, m fakeEngine, result func() engine.Result) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case request := <-m.requests:
				request.Respond(result())
			case <-m.disconnected:
			case <-done:
				return
			}
		}
	}()
}

// wantAnswer reads an answer, 500 for errored or 503 with the time to come back; it tells if that is said to be the last.
func (c *client) wantResponse() bool {
	c.t.Helper()
	response, _ := c.readResponse()
	rejected := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" && response.Close
	if response.StatusCode != http.StatusInternalServerError && !rejected {
		c.t.Errorf("status %d (0: closed without an answer), %v", response.StatusCode, response.Header)
	}
	return response.Close
}

// keep has the connection carry a request and come to rest.
func (c *client) keep(f *Server) {
	c.send("GET /up", "", "")
	c.readResponse()
	waitFor(c.t, "a kept connection", func() bool { return f.limiter.resting() == 1 })
}

// Guards against a connection that is closed as silent or idle, or by a leaving front, although the server has read a part
// of a request from it: the client would be left without an answer.
func TestRequestMeetsClosing(t *testing.T) {
	for name, kept := range map[string]bool{"on a new connection": false, "on a kept connection": true} {
		t.Run(name, func(t *testing.T) {
			eachInstant(t, func(t *testing.T, closing func(*Server), part, rest string) {
				f, m, address := start(t, 10)
				c := dial(t, address)
				if kept {
					c.keep(f)
				}
				io.WriteString(c, part)
				waitFor(t, "the server's read", func() bool { return f.limiter.requestPending() == 1 })
				closing(f)
				io.WriteString(c, rest)
				respondToRequests(t, m, failed)
				if last := c.wantResponse(); f.draining.Load() && !last {
					t.Error("a leaving front doesn't say that it closes")
				}
			})
		})
	}
}

// Guards against the same for a request that comes before the answer to the one before it: the server holds bytes of it in
// a buffer of its own, where the gate can't see them. The first answer says that the connection closes, or the second
// request is answered.
func TestPipelinedMeetsClosing(t *testing.T) {
	for name, tc := range map[string]struct {
		apart bool // the second request comes by itself, else in one segment with the first
		early bool // the closing comes before the first answer, else as the connection comes to rest after it
	}{
		"in one segment, before the answer": {false, true},
		"in one segment, after the answer":  {false, false},
		"by itself, before the answer":      {true, true},
		"by itself, after the answer":       {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			eachInstant(t, func(t *testing.T, closing func(*Server), part, rest string) {
				l, closed := listen(t), make(chan struct{})
				var close1 func()
				f, m := serve(t, l, 10, func(f *Server) {
					close1 = sync.OnceFunc(func() { closing(f); close(closed) })
					observeStates(f, func(_ net.Conn, state http.ConnState) {
						if state == http.StateIdle {
							close1()
						}
					})
				})
				c := dial(t, l.Addr().String())
				var request *engine.ClientRequest
				if tc.apart {
					io.WriteString(c, firstRequest)
					request = <-m.requests
					io.WriteString(c, part)
					// Of several bytes the server takes one ahead, the others wait in the socket.
					waitFor(t, "the server's read", func() bool { return len(part) > 1 || !f.limiter.unread() })
				} else {
					io.WriteString(c, firstRequest+part)
					request = <-m.requests
				}
				if tc.early {
					close1()
				}
				request.Respond(failed())
				if c.wantResponse() {
					return
				}
				<-closed
				io.WriteString(c, rest)
				respondToRequests(t, m, failed)
				c.wantResponse()
			})
		})
	}
}

// Guards against the end of an idle connection's time after the first bytes of a request were read: the client has as long
// for the rest of the head as every client.
func TestRequestMeetsIdleTimeout(t *testing.T) {
	for part, length := range requestParts {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			f, m := serve(t, l, 10, func(f *Server) { f.server.IdleTimeout = readTimeout / 2 })
			c := dial(t, l.Addr().String())
			c.keep(f)
			io.WriteString(c, nextRequest[:length])
			waitFor(t, "the server's read", func() bool { return f.limiter.requestPending() == 1 })
			c.SetReadDeadline(time.Now().Add(readTimeout * 3 / 4)) // the idle time is over, that of a head is not
			if _, err := c.r.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("not kept for the rest of the request: %v", err)
			}
			c.SetReadDeadline(time.Now().Add(responseDue))
			io.WriteString(c, nextRequest[length:])
			respondToRequests(t, m, failed)
			c.wantResponse()
		})
	}
}

// Guards against a request that reaches the marshal although its connection's idle time was over before it was read.
func TestRequestAfterIdleTimeout(t *testing.T) {
	l := listen(t)
	f, m := serve(t, l, 10, func(f *Server) { f.server.IdleTimeout = 1 }) // over as soon as it begins
	c := dial(t, l.Addr().String())
	c.send("GET /up", "", "")
	c.readResponse()
	io.WriteString(c, nextRequest)
	if response, _ := c.readResponse(); response.StatusCode != 0 {
		t.Errorf("status %d", response.StatusCode)
	}
	waitFor(t, "the connection's end", func() bool { return f.limiter.count() == 0 })
	if len(m.requests) != 0 {
		t.Error("it reached the marshal")
	}
}

// heldUp is an answer's writer that holds up the handler once the last byte is written.
type blockedWriter struct {
	http.ResponseWriter
	left int
	let  chan struct{}
}

func (h *blockedWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

func (h *blockedWriter) Write(p []byte) (int, error) {
	n, err := h.ResponseWriter.Write(p)
	if h.left -= n; h.left == 0 {
		<-h.let
	}
	return n, err
}

// Guards against "that of an open request" for a client that has read the last byte of its answer. The bytes of a short
// answer go out once its handler has ended; those of a long one before, and there the handler is held up.
func TestIDReusedAfterResponse(t *testing.T) {
	for name, tc := range map[string]struct {
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
			_, m := serve(t, l, 10, func(f *Server) {
				handler := f.server.Handler
				f.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					handler.ServeHTTP(&blockedWriter{w, maxBody, let}, r)
				})
			})
			free := sync.OnceFunc(func() { close(let) })
			defer free()
			clients := []*client{dial(t, l.Addr().String()), dial(t, l.Addr().String())}
			if tc.same {
				clients[1] = clients[0]
			}
			respondToRequests(t, m, succeeded(tc.size))
			for i, c := range clients {
				c.send("GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: same\r\n", "")
				if i == 1 && tc.same {
					free()
				}
				if response, body := c.readResponse(); response.StatusCode != http.StatusOK || len(body) != tc.size {
					t.Errorf("request %d: status %d, %d bytes", i+1, response.StatusCode, len(body))
				}
			}
		})
	}
}
