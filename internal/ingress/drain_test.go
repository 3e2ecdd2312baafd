package ingress

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
)

// A draining server responds 503 on /up, serves requests for the grace period, closes connections after their responses,
// and ends when every request has its response.
func TestDrainServesGracePeriodThenEnds(t *testing.T) {
	server, fake, address := start(t, 10)
	readiness := func(c *client) int {
		c.send("GET /up", "", "")
		res, _ := c.readResponse()
		return res.StatusCode
	}
	checked, idle, busy := dial(t, address), dial(t, address), dial(t, address)
	if readiness(checked) != 200 || readiness(idle) != 200 {
		t.Error("/up before Drain: got another status than 200, want 200")
	}
	busy.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	first := <-fake.requests
	drained := make(chan error)
	go func() { drained <- server.Drain(200 * time.Millisecond) }()
	waitFor(t, "draining", func() bool { return server.state.reached(draining) })
	if status := readiness(checked); status != 503 {
		t.Errorf("/up: got status %d, want 503", status)
	}
	late := dial(t, address)
	late.send("GET /read/2", "X-Time-Left: 1\r\n", "")
	for i, request := range []*engine.ClientRequest{first, <-fake.requests} {
		select {
		case err := <-drained:
			t.Errorf("Drain: returned %v with a request open, want it to wait", err)
		default:
		}
		request.Respond(engine.Result{Kind: engine.Failed})
		if res, _ := []*client{busy, late}[i].readResponse(); res.StatusCode != 500 || !res.Close {
			t.Errorf("response: got status %d, close %v; want 500, true", res.StatusCode, res.Close)
		}
	}
	if err := <-drained; err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("listener: accepts connections after Drain")
	}
}

// slowListener is a listener whose Accept returns errors 50 ms late.
type slowListener struct{ net.Listener }

func (s slowListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

// Drain without open requests returns no error, also if http.Server notices late that the listener is closed.
func TestDrainWithoutOpenRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(fakeEngine{}, clock.New(), decision.Settings{}, testNetwork, Limits{10, 1}, quietLog())
	served := make(chan error, 1)
	go func() { served <- server.Serve(slowListener{l}) }()
	c := dial(t, l.Addr().String())
	c.send("GET /up", "Connection: close\r\n", "")
	for c.readResponse(); server.limiter.closeUnusedAndIdle() > 0; {
		time.Sleep(time.Millisecond)
	}
	if err := server.Drain(0); err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
	if err := <-served; err != nil {
		t.Errorf("Serve: got error %v, want none", err)
	}
}

// gatedListener is a listener whose Accept waits until the test sends on accept or closes it.
type gatedListener struct {
	*net.TCPListener
	accept chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// drain calls Drain without a grace period and waits until the server is closing. The channel receives the result.
func drain(server *Server) chan error {
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(0) }()
	for !server.limiter.isClosing() {
		time.Sleep(time.Millisecond)
	}
	return drained
}

// A request on a connection that is still in the accept queue when the server starts closing gets its response.
func TestDrainRespondsToQueuedConnections(t *testing.T) {
	gated := gatedListener{listen(t), make(chan struct{})}
	checkQueuedConnections(t, gated, gated)
}

// checkQueuedConnections drains a server with requests on connections in the accept queue, and fails the test unless each
// is rejected with a response. The server accepts from listener, which calls gated.
func checkQueuedConnections(t *testing.T, gated gatedListener, listener net.Listener) {
	t.Helper()
	server, _ := serve(t, listener, 10, nil)
	clients := []*client{dial(t, gated.Addr().String()), dial(t, gated.Addr().String()), dial(t, gated.Addr().String())}
	for _, c := range clients {
		c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	}
	drained := drain(server)
	close(gated.accept)
	for i, c := range clients {
		if res, _ := c.readResponse(); res.StatusCode != 503 || !res.Close || res.Header.Get("Retry-After") == "" {
			t.Errorf("client %d: got status %d (0: closed without a response), close %v; want 503 with Retry-After, true",
				i, res.StatusCode, res.Close)
		}
	}
	if err := <-drained; err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
}

// A draining server waits for a connection that was accepted but is not yet known to http.Server.
func TestDrainCountsAcceptedConnection(t *testing.T) {
	accepted, release := make(chan struct{}), make(chan struct{})
	l := listen(t)
	server, _ := serve(t, l, 10, func(server *Server) {
		server.httpServer.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			// http.Server calls this just before it tracks the connection.
			close(accepted)
			<-release
			return server.withClientConn(ctx, conn)
		}
	})
	c := dial(t, l.Addr().String())
	c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	<-accepted
	drained := drain(server)
	if n := server.limiter.connCount(); n != 1 {
		t.Errorf("limiter: got %d connections, want 1", n)
	}
	close(release)
	if res, _ := c.readResponse(); res.StatusCode != 503 {
		t.Errorf("response: got status %d, want 503", res.StatusCode)
	}
	if err := <-drained; err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
}

// While the server is closing, a request of which a part was read is rejected at once, a new connection has its grace
// period, and an open request with a long deadline gets its response.
func TestDrainWithPartialNewAndOpenRequests(t *testing.T) {
	l := listen(t)
	server, fake := serve(t, l, 10, nil)
	partial, open := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	open.send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-fake.requests
	partial.write("GET /read/1 HTTP/1.1\r\nX-Time-Le")
	waitFor(t, "both requests are partly read", func() bool { return server.limiter.pendingCount() == 2 })
	unused := dial(t, l.Addr().String())
	waitFor(t, "the unused connection is accepted", func() bool { return server.limiter.connCount() == 3 })
	drained := drain(server)
	unused.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	partial.write("ft: 1\r\nHost: h\r\nX-Correlation-Id: half\r\n\r\n")
	for name, c := range map[string]*client{"partial request": partial, "new connection": unused} {
		if res, _ := c.readResponse(); res.StatusCode != 503 || !res.Close {
			t.Errorf("%s: got status %d, close %v; want 503, true", name, res.StatusCode, res.Close)
		}
	}
	select {
	case err := <-drained:
		t.Errorf("Drain: returned %v with a request open, want it to wait", err)
	default:
	}
	request.Respond(engine.Result{Response: &engine.Response{Header: map[string][]string{}, Body: []byte("hi")}})
	if res, body := open.readResponse(); res.StatusCode != 200 || body != "hi" {
		t.Errorf("open request: got status %d, body %q; want 200, hi", res.StatusCode, body)
	}
	if err := <-drained; err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
}

// A connection without a byte is not closed before newConnectionGrace, also by a closing server.
func TestUnusedConnectionHasGracePeriod(t *testing.T) {
	l, tracked := listen(t), make(chan struct{})
	server, _ := serve(t, l, 10, func(server *Server) {
		observeStates(server, func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				close(tracked)
			}
		})
	})
	dial(t, l.Addr().String())
	<-tracked // the limiter lists a connection in Accept, and again, as if it were new, when http.Server reports it
	for _, test := range []struct {
		age       time.Duration
		remaining int // number of connections
	}{{-time.Hour, 1}, {newConnectionGrace, 0}} {
		server.limiter.mu.Lock()
		for conn, entry := range server.limiter.conns.entries {
			entry.since = time.Now().Add(-test.age)
			server.limiter.conns.entries[conn] = entry
		}
		server.limiter.mu.Unlock()
		if n := server.limiter.closeUnusedAndIdle(); n != test.remaining {
			t.Errorf("connection of age %v: got %d connections left, want %d", test.age, n, test.remaining)
		}
	}
}

// Serve returns nil after Drain was called first, and closes the listener.
func TestDrainBeforeServe(t *testing.T) {
	server := New(fakeEngine{}, clock.New(), decision.Settings{}, testNetwork, Limits{10, 1}, quietLog())
	if err := server.Drain(0); err != nil {
		t.Errorf("Drain: got error %v, want none", err)
	}
	l := listen(t)
	if err := server.Serve(l); err != nil {
		t.Errorf("Serve after Drain: got error %v, want none", err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close() // the test has already failed
		t.Error("listener: accepts connections after Drain")
	}
}
