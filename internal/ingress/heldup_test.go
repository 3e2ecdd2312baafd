package ingress

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// maxHoldUp is the longest time for which the process may be held up between reading its clock and acting on it.
const maxHoldUp = 150 * time.Millisecond

// shortTimeouts are the timeouts of a server whose requests are over soon after they came.
var shortTimeouts = settings.Network{MaxClientTimeout: 20, ResponseGracePeriod: 5}

// heldUpWriter is a response writer that blocks before the first byte of the response until release is closed.
type heldUpWriter struct {
	http.ResponseWriter
	release <-chan struct{}
}

func (h heldUpWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

func (h heldUpWriter) WriteHeader(status int) {
	<-h.release
	h.ResponseWriter.WriteHeader(status)
}

// Guards against a request that gets no response because a drain ends by a time limit of its own. After a hold-up over the
// end of the request's time, the drain was the first to look at its clock, and it closed the connection.
func TestDrainWaitsForResponseAfterRequestsTime(t *testing.T) {
	const polls = 10 // of Drain, which take longer than the time of the request
	listener, release := listen(t), make(chan struct{})
	endHoldUp := sync.OnceFunc(func() { close(release) })
	defer endHoldUp()
	polled := 0
	server, fake := serveWith(t, listener, 10, shortTimeouts, func(server *Server) {
		handler := server.httpServer.Handler
		server.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(heldUpWriter{w, release}, r)
		})
		server.sleep = func(wait time.Duration) {
			time.Sleep(wait)
			if polled++; polled == polls {
				endHoldUp()
			}
		}
	})
	c := dial(t, listener.Addr().String())
	c.send("POST /pay/1", "X-Time-Left: 0.020\r\nContent-Length: 0\r\n", "")
	<-fake.requests
	if err := server.Drain(0); err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
	if res, _ := c.readResponse(); res.StatusCode != http.StatusInternalServerError || !res.Close {
		t.Errorf("response: got status %d (0: closed without a response), close %v; want 500, true", res.StatusCode, res.Close)
	}
}

// Guards against a drain that never ends because a client does not read its response. The write timeout of the server ends
// the connection.
func TestDrainEndsWithClientThatNeverReads(t *testing.T) {
	const responseBytes = 64 << 20 // more than the socket buffers of both sides can hold
	listener := listen(t)
	server, fake := serve(t, listener, 10, func(server *Server) {
		server.httpServer.WriteTimeout /= 20 // no limit stays none
	})
	dial(t, listener.Addr().String()).send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-fake.requests
	drained := drain(server)
	request.Respond(succeededResult(responseBytes)())
	select {
	case err := <-drained:
		if err != nil {
			t.Errorf("Drain: got error %v, want none", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("Drain: not over after 5s, want it to end with the write timeout")
	}
}

// heldUpListener is a gatedListener after whose first deadline in the future the process is held up.
type heldUpListener struct {
	gatedListener
	holdUp func()
}

func (l heldUpListener) SetDeadline(deadline time.Time) error {
	err := l.gatedListener.SetDeadline(deadline)
	if time.Now().Before(deadline) {
		l.holdUp()
	}
	return err
}

// Guards against requests that are lost because a hold-up makes the accept queue look empty: the deadline for the last look
// passed before the look, and the listener was closed with connections in its queue.
func TestDrainAcceptsQueuedConnectionsAfterHoldUp(t *testing.T) {
	gated := gatedListener{listen(t), make(chan struct{})}
	holdUp := sync.OnceFunc(func() { time.Sleep(maxHoldUp) })
	checkQueuedConnections(t, gated, heldUpListener{gated, holdUp})
}

// deadlineHoldUpWriter is a response writer. The process is held up after its handler has set a read deadline.
type deadlineHoldUpWriter struct{ http.ResponseWriter }

func (d deadlineHoldUpWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

func (d deadlineHoldUpWriter) SetReadDeadline(deadline time.Time) error {
	err := http.NewResponseController(d.ResponseWriter).SetReadDeadline(deadline)
	time.Sleep(maxHoldUp)
	return err
}

// Guards against a request that gets no response because its time ends in a hold-up before its body is read. The whole
// request is on the connection, and most of the body in the socket.
func TestBodyIsReadAfterHoldUpOverRequestsTime(t *testing.T) {
	listener := listen(t)
	_, fake := serve(t, listener, 10, func(server *Server) {
		handler := server.httpServer.Handler
		server.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(deadlineHoldUpWriter{w}, r)
		})
	})
	respondToRequests(t, fake, failedResult)
	c := dial(t, listener.Addr().String())
	c.send("POST /pay/1", fmt.Sprintf("X-Time-Left: 0.1\r\nContent-Length: %d\r\n", maxBodyBytes), strings.Repeat("x", maxBodyBytes))
	if res, _ := c.readResponse(); res.StatusCode != http.StatusInternalServerError {
		t.Errorf("response: got status %d (0: closed without a response), want 500", res.StatusCode)
	}
}

// Guards against a request that gets no response because the deadline for its head passed in a hold-up, with the whole
// request on the connection. A request that is not there still ends with the deadline.
func TestHeadIsReadAfterHoldUpOverReadDeadline(t *testing.T) {
	gated := gatedListener{listen(t), make(chan struct{})}
	_, fake := serve(t, gated, 10, func(server *Server) {
		server.httpServer.ReadHeaderTimeout = 1 // expires before the first read
	})
	respondToRequests(t, fake, failedResult)
	sent, silent := dial(t, gated.Addr().String()), dial(t, gated.Addr().String())
	sent.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	close(gated.accept)
	if res, _ := sent.readResponse(); res.StatusCode != http.StatusInternalServerError {
		t.Errorf("response: got status %d (0: closed without a response), want 500", res.StatusCode)
	}
	if res, _ := silent.readResponse(); res.StatusCode != 0 {
		t.Errorf("response without a request: got status %d, want the connection closed", res.StatusCode)
	}
}

// Guards against a request that is passed to the engine after the grace period, because Drain is held up before it enters
// the state closing. Its response could come after the process was killed.
func TestRequestAfterGracePeriodIsRejectedWhileDrainIsHeldUp(t *testing.T) {
	listener, release := listen(t), make(chan struct{})
	server, fake := serve(t, listener, 10, func(server *Server) {
		server.sleep = func(time.Duration) { <-release }
	})
	c := dial(t, listener.Addr().String())
	c.makeIdle(server)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(time.Nanosecond) }()
	waitFor(t, "draining", func() bool { return server.state.reached(draining) })
	respondToRequests(t, fake, failedResult)
	c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	if res, _ := c.readResponse(); res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("response: got status %d, close %v; want 503, true", res.StatusCode, res.Close)
	}
	close(release)
	if err := <-drained; err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
}

// errClose is the error of unclosableListener.
var errClose = errors.New("close failed")

// unclosableListener is a listener whose Close returns an error.
type unclosableListener struct{ *net.TCPListener }

func (l unclosableListener) Close() error { return errors.Join(l.TCPListener.Close(), errClose) }

// Guards against open requests that are lost because closing the listener returns an error. Drain returns the error when
// they have their responses.
func TestDrainWaitsAfterListenerError(t *testing.T) {
	listener := unclosableListener{listen(t)}
	server, fake := serve(t, listener, 10, nil)
	c := dial(t, listener.Addr().String())
	c.send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-fake.requests
	drained := drain(server)
	select {
	case <-server.limiter.listenerClosed:
	case <-time.After(responseTimeout):
		t.Fatal("the listener is not closed")
	}
	select {
	case err := <-drained:
		t.Fatalf("Drain: returned %v with a request open, want it to wait", err)
	case <-time.After(5 * drainPollInterval):
	}
	request.Respond(failedResult())
	if res, _ := c.readResponse(); res.StatusCode != http.StatusInternalServerError {
		t.Errorf("response: got status %d, want 500", res.StatusCode)
	}
	if err := <-drained; !errors.Is(err, errClose) {
		t.Errorf("Drain: got error %v, want %v", err, errClose)
	}
}

// heldUpEngine returns the result of each request at once. The process is held up after that until the request's time and
// the server's grace are over.
type heldUpEngine struct{ fakeEngine }

func (h heldUpEngine) ReceiveRequest(request *engine.ClientRequest) {
	request.OnEnd(true)
	request.Respond(succeededResult(2)())
	time.Sleep(clock.Duration(request.Remaining + 2*shortTimeouts.ResponseGracePeriod))
}

// Guards against a 500 for a request whose result is there, because its time ended in a hold-up. A client would take a
// non-idempotent request that has run for one that may not have.
func TestResultGoesBeforeOverdueTimer(t *testing.T) {
	const requests = 30 // without an order, each request gets either of the two responses
	listener := listen(t)
	disconnected := make(chan *engine.ClientRequest, requests)
	serveWith(t, listener, 10, shortTimeouts, func(server *Server) {
		server.engine = heldUpEngine{fakeEngine{disconnected: disconnected}}
	})
	c := dial(t, listener.Addr().String())
	for range requests {
		c.send("POST /pay/1", "X-Time-Left: 0.005\r\nContent-Length: 0\r\n", "")
		if res, body := c.readResponse(); res.StatusCode != http.StatusOK || len(body) != 2 {
			t.Fatalf("response: got status %d, %d bytes; want 200, 2", res.StatusCode, len(body))
		}
	}
	if len(disconnected) != 0 {
		t.Errorf("engine: got %d requests reported as disconnected, want none", len(disconnected))
	}
}
