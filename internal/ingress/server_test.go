package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"ottershed/internal/sockopt"
)

// fakeEngine takes requests in place of the engine.
type fakeEngine struct {
	requests, disconnected chan *engine.ClientRequest
}

func (server fakeEngine) ReceiveRequest(request *engine.ClientRequest) { server.requests <- request }

func (server fakeEngine) ClientDisconnected(request *engine.ClientRequest) {
	server.disconnected <- request
}

func start(t *testing.T, maxConnections int) (*Server, fakeEngine, string) {
	t.Helper()
	l := listen(t)
	server, fake := serve(t, l, maxConnections, nil)
	return server, fake, l.Addr().String()
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// testNetwork has the times of the servers under test.
var testNetwork = settings.Network{LongestTimeout: 2000, ResponseSlack: 20}

// serve starts a server on l, prepared by the test.
func serve(t *testing.T, l net.Listener, maxConnections int, prepare func(*Server)) (*Server, fakeEngine) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	fake := fakeEngine{make(chan *engine.ClientRequest, 100), make(chan *engine.ClientRequest, 100)}
	server := New(fake, clock.New(), decision.Settings{MaxRetryAfter: 500, Classes: []decision.RequestClass{
		{Name: "read", Idempotency: decision.Idempotent},
		{Name: "mark", Idempotency: decision.IdempotentWithKey},
		{Name: "pay"},
	}, Tenants: []decision.TenantID{"", "acme"}}, testNetwork, maxConnections, log)
	if prepare != nil {
		prepare(server)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.httpServer.Close() // a test may have closed it
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return server, fake
}

// client is one connection.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // a test may have closed it
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{t, c, bufio.NewReader(c)}
}

// send sends a request, with an id of its own if it has none.
func (c *client) send(line, headers, body string) {
	if !strings.Contains(headers, "X-Correlation-Id") {
		headers += fmt.Sprintf("X-Correlation-Id: c%d\r\n", ids.Add(1))
	}
	c.write(fmt.Sprintf("%s HTTP/1.1\r\nHost: app.svc\r\n%s\r\n%s", line, headers, body))
}

// write sends bytes. Where the server has closed the connection by then, that shows in what the client reads.
func (c *client) write(text string) { _, _ = io.WriteString(c.Conn, text) }

// end closes the connection.
func (c *client) end() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Error(err)
	}
}

// readUntil sets the time by which reading ends.
func (c *client) readUntil(at time.Time) {
	c.t.Helper()
	if err := c.SetReadDeadline(at); err != nil {
		c.t.Fatal(err)
	}
}

var ids atomic.Int64

// readResponse reads a response; the status is 0 if the connection ends.
func (c *client) readResponse() (*http.Response, string) {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return &http.Response{}, ""
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Error(err)
	}
	return res, string(body)
}

func TestMalformedRequests(t *testing.T) {
	long := strings.Repeat("x", maxBody+1)
	for name, test := range map[string]struct {
		line, headers, body string
		status              int // 0: the connection is closed
	}{
		"no time":             {"GET /read/1", "", "", 400},
		"time is a word":      {"GET /read/1", "X-Time-Left: soon\r\n", "", 400},
		"time is no number":   {"GET /read/1", "X-Time-Left: NaN\r\n", "", 400},
		"time is up":          {"GET /read/1", "X-Time-Left: 0\r\n", "", 400},
		"time below":          {"GET /read/1", "X-Time-Left: -1\r\n", "", 400},
		"time absurd":         {"GET /read/1", "X-Time-Left: 1e9\r\n", "", 400},
		"request class":       {"GET /other/1", "X-Time-Left: 1\r\n", "", 404},
		"no request class":    {"GET //read", "X-Time-Left: 1\r\n", "", 404},
		"POST, idempotent":    {"POST /read/1", "X-Time-Left: 1\r\nContent-Length: 0\r\n", "", 405},
		"GET, not idempotent": {"GET /pay/1", "X-Time-Left: 1\r\n", "", 405},
		"no key":              {"POST /mark/1", "X-Time-Left: 1\r\nContent-Length: 0\r\n", "", 400},
		"too long":            {"POST /pay/1", fmt.Sprintf("X-Time-Left: 1\r\nContent-Length: %d\r\n", len(long)), long, 413},
		"too long by 60 MB":   {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 60000000\r\n", "", 413},
		"length negative":     {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: -5\r\n", "", 400},
		"length huge":         {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 99999999999999999999\r\n", "", 400},
		"two lengths":         {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n", "five5", 400},
		"chunked":             {"POST /pay/1", "X-Time-Left: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", 411},
		"a hidden request": {
			"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
			"0\r\n\r\nGET /read/1 HTTP/1.1\r\nHost: a\r\nX-Time-Left: 1\r\nX-Correlation-Id: hidden\r\n\r\n", 411,
		},
		"GET with a body": {"GET /read/1", "X-Time-Left: 1\r\nContent-Length: 2\r\n", "hi", 400},
		"no id":           {"GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id:\r\n", "", 400},
		"two ids":         {"GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: a\r\nX-Correlation-Id: b\r\n", "", 400},
		"id too long":     {"GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: " + long[:200] + "\r\n", "", 400},
		"another host":    {"GET http://other/read/1", "X-Time-Left: 1\r\n", "", 404},
		"odd letters":     {"GET /%72ead/1", "X-Time-Left: 1\r\n", "", 404},
		"no such tenant":  {"GET /read/1", "X-Time-Left: 1\r\nX-Account: new\r\n", "", 400},
		"endless head":    {"GET /read/1", "X-Filler: " + long + "\r\n", "", 431},
		"cut off":         {"POST /pay/1", "X-Time-Left: 0.05\r\nContent-Length: 5\r\n", "four", 0},
		"no HTTP":         {"what", "", "", 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, 10)
			c := dial(t, address)
			c.send(test.line, test.headers, test.body)
			if res, _ := c.readResponse(); res.StatusCode != test.status {
				t.Errorf("status %d, want %d", res.StatusCode, test.status)
			}
			if len(fake.requests) != 0 {
				t.Error("it reached the engine")
			}
		})
	}
}

func TestResponses(t *testing.T) {
	response := &engine.Response{
		Body: []byte("hi"), Fields: map[string][]string{"Content-Type": {"text/odd"}, "Connection": {"x"}},
	}
	for name, test := range map[string]struct {
		result  engine.Result
		status  int
		retry   string
		body    string
		content string
	}{
		"succeeded":                  {engine.Result{Response: response}, 200, "", "hi", "text/odd"},
		"rejected":                   {engine.Result{Kind: engine.Rejected}, 503, "", "", ""},
		"rejected, with Retry-After": {engine.Result{Kind: engine.Rejected, RetryAfter: 125}, 503, "0.125", "", ""},
		"failed":                     {engine.Result{Kind: engine.Failed}, 500, "", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, 10)
			c := dial(t, address)
			for range 2 { // on one connection
				c.send("POST /mark/a%2fb?q=1;2", "X-Time-Left: 0.5\r\nX-Account: acme\r\nX-Repeat: 1\r\nX-Correlation-Id: c1\r\n"+
					"X-Facts: what?\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n", "body")
				request := <-fake.requests
				raw := request.Request
				got := fmt.Sprint(request.Class, request.Tenant, request.Remaining, request.Retried, raw.Method, raw.URI, raw.Host,
					raw.Fields["X-Correlation-Id"], raw.Fields["Idempotency-Key"], string(raw.Body))
				if want := "markacme500 truePOST/mark/a%2fb?q=1;2app.svc[c1] [k]body"; got != want {
					t.Errorf("request %s, want %s", got, want)
				}
				request.Respond(test.result)
				res, body := c.readResponse()
				if res.StatusCode != test.status || res.Header.Get("Retry-After") != test.retry || body != test.body || res.Close ||
					res.Header.Get("Content-Type") != test.content {
					t.Errorf("status %d, headers %v, body %q", res.StatusCode, res.Header, body)
				}
			}
		})
	}
}

// What a request is about passes to the engine, and stays in the request as it came.
func TestKey(t *testing.T) {
	_, fake, address := start(t, 10)
	c := dial(t, address)
	for uri, want := range map[string]decision.Key{
		"/read/1": "", "/read?key=0001059dfba1f517": "0001059dfba1f517", "/read?a=1&key=b&key=c": "b",
		"/read?key": "", "/read?monkey=x&key=%2f+y": "/ y", "/read?key=a;b": "a;b", "/read?key=%zz": "%zz",
	} {
		c.send("GET "+uri, "X-Time-Left: 0.5\r\nX-Correlation-Id: c1\r\n", "")
		request := <-fake.requests
		if request.Key != want || request.Request.URI != uri {
			t.Errorf("%s: key %q, want %q; passed on as %s", uri, request.Key, want, request.Request.URI)
		}
		request.Respond(engine.Result{Kind: engine.Rejected})
		c.readResponse()
	}
}

// An id is refused while a request with it is open, and free again then.
func TestOpenID(t *testing.T) {
	server, fake, address := start(t, 10)
	clients := []*client{dial(t, address), dial(t, address), dial(t, address)}
	for i, status := range []int{0, 409, 200} {
		c := clients[i]
		c.send("GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: same\r\n", "")
		switch status {
		case 0:
			<-fake.requests
			continue
		case 200:
			(<-fake.requests).Respond(succeeded(0)())
		}
		if res, _ := c.readResponse(); res.StatusCode != status {
			t.Errorf("status %d, want %d", res.StatusCode, status)
		}
		if status == 409 {
			clients[0].end()
			<-fake.disconnected
			for server.open() > 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

func (server *Server) open() int {
	server.openIDs.mu.Lock()
	defer server.openIDs.mu.Unlock()
	return len(server.openIDs.ids)
}

// Silence, half a head and half a body end in a close long before one is due.
func TestSlowClients(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing": "", "half a line": "GET /re", "half a head": "GET /read/1 HTTP/1.1\r\nHost: a\r\n",
		"half a body": "POST /pay/1 HTTP/1.1\r\nHost: a\r\nX-Time-Left: 2\r\nX-Correlation-Id: half\r\n" +
			"Content-Length: 5\r\n\r\nfour",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, fake, address := start(t, 10)
			c := dial(t, address)
			c.write(sent)
			c.readUntil(time.Now().Add(responseDue))
			if _, err := io.ReadAll(c); err != nil || len(fake.requests) > 0 {
				t.Errorf("%v, %d requests", err, len(fake.requests))
			}
		})
	}
}

// A request that the engine leaves without a result gets a response here, and is taken back from the engine.
func TestOverdue(t *testing.T) {
	_, fake, address := start(t, 10)
	c := dial(t, address)
	c.send("GET /read/1", "X-Time-Left: 0.02\r\n", "")
	request := <-fake.requests
	if res, _ := c.readResponse(); res.StatusCode != 500 || <-fake.disconnected != request {
		t.Errorf("status %d", res.StatusCode)
	}
}

func TestClientDisconnected(t *testing.T) {
	for name, disconnect := range map[string]func(*client){
		"closes": (*client).end,
		"resets": func(c *client) {
			if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
				c.t.Error(err)
			}
			c.end()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, 10)
			c := dial(t, address)
			c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
			request := <-fake.requests
			if disconnect(c); <-fake.disconnected != request {
				t.Error("another request is gone")
			}
		})
	}
}

// A server that drains says so, accepts requests for the grace period, closes connections after their responses, and
// ends once every request has its response.
func TestDrain(t *testing.T) {
	server, fake, address := start(t, 10)
	readiness := func(c *client) int {
		c.send("GET /up", "", "")
		res, _ := c.readResponse()
		return res.StatusCode
	}
	watcher, idle, busy := dial(t, address), dial(t, address), dial(t, address)
	if readiness(watcher) != 200 || readiness(idle) != 200 {
		t.Error("not up")
	}
	busy.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	first := <-fake.requests
	drained := make(chan error)
	go func() { drained <- server.Drain(200 * time.Millisecond) }()
	for !server.state.reached(draining) {
		time.Sleep(time.Millisecond)
	}
	if status := readiness(watcher); status != 503 {
		t.Errorf("up says %d", status)
	}
	late := dial(t, address)
	late.send("GET /read/2", "X-Time-Left: 1\r\n", "")
	for i, request := range []*engine.ClientRequest{first, <-fake.requests} {
		select {
		case err := <-drained:
			t.Errorf("ended with a request open: %v", err)
		default:
		}
		request.Respond(engine.Result{Kind: engine.Failed})
		if res, _ := []*client{busy, late}[i].readResponse(); res.StatusCode != 500 || !res.Close {
			t.Errorf("status %d, closes %v", res.StatusCode, res.Close)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("still accepts")
	}
}

// While hundreds connect and say nothing, usual clients keep their connections, and new ones are served.
func TestSilentClients(t *testing.T) {
	server, fake, address := start(t, 16)
	ask := func(c *client) {
		t.Helper()
		c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
		select {
		case request := <-fake.requests:
			request.Respond(engine.Result{Kind: engine.Failed})
		case <-time.After(responseDue):
			t.Fatal("no request came")
		}
		if res, _ := c.readResponse(); res.StatusCode != 500 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	for range 10 {
		dial(t, address)
	}
	for server.limiter.count() < 10 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(newConnectionGrace) // they are past their grace period
	usual := []*client{dial(t, address), dial(t, address), dial(t, address), dial(t, address)}
	for _, c := range usual {
		ask(c)
	}
	for range 10 {
		dial(t, address)
	}
	for _, c := range append(usual, dial(t, address)) {
		ask(c)
	}
	for range 100 {
		dial(t, address)
	}
	began := time.Now()
	if ask(dial(t, address)); time.Since(began) > readTimeout {
		t.Errorf("served after %v", time.Since(began))
	}
}

// With too many connections the longest idle one is closed, and requests beyond are rejected.
func TestFull(t *testing.T) {
	server, fake, address := start(t, 2)
	clients := []*client{dial(t, address), dial(t, address)}
	for i, c := range clients { // one after the other: a client has its response before its connection counts as idle
		c.send("GET /up", "", "")
		for c.readResponse(); server.limiter.resting() <= i; {
			time.Sleep(time.Millisecond)
		}
	}
	clients = append(clients, dial(t, address))
	clients[2].send("GET /read/1", "X-Time-Left: 1\r\n", "")
	request := <-fake.requests
	if res, _ := clients[0].readResponse(); res.StatusCode != 0 {
		t.Error("the longest idle one is still there")
	}
	clients[1].send("GET /read/2", "X-Time-Left: 1\r\n", "")
	h2 := <-fake.requests
	over := dial(t, address)
	for server.limiter.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	over.send("GET /read/3", "X-Time-Left: 1\r\n", "")
	if res, _ := over.readResponse(); res.StatusCode != 503 || !res.Close || res.Header.Get("Retry-After") != "0.500" {
		t.Errorf("beyond: status %d, %v", res.StatusCode, res.Header)
	}
	for _, request := range []*engine.ClientRequest{request, h2} {
		request.Respond(engine.Result{Kind: engine.Rejected})
	}
	for _, c := range clients[1:] {
		if res, _ := c.readResponse(); res.StatusCode != 503 {
			t.Errorf("status %d", res.StatusCode)
		}
		c.end()
	}
	for server.limiter.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	if server.limiter.conns.idle.Len() != 0 {
		t.Error("idle connections are left")
	}
}

func (l *connLimiter) resting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns.idle.Len()
}

func (l *connLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns.positions)
}

// slow is a listener whose end http.Server sees late.
type slow struct{ net.Listener }

func (s slow) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

// A server that has nothing left to respond to drains without an error, however late http.Server sees that the listener
// is closed.
func TestDrainAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := New(fakeEngine{}, clock.New(), decision.Settings{}, testNetwork, 10, log)
	served := make(chan error, 1)
	go func() { served <- server.Serve(slow{l}) }()
	c := dial(t, l.Addr().String())
	c.send("GET /up", "Connection: close\r\n", "")
	for c.readResponse(); server.limiter.closeQuiet() > 0; {
		time.Sleep(time.Millisecond)
	}
	if err := server.Drain(0); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// gated is a listener that accepts only when the test lets it.
type gated struct {
	*net.TCPListener
	let chan struct{}
}

func (l gated) Accept() (net.Conn, error) {
	<-l.let
	return l.TCPListener.Accept()
}

// drain has the server drain at once, and waits until it accepts nothing more or has begun to.
func drain(server *Server) chan error {
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(0) }()
	for !server.limiter.acceptingEnded() {
		time.Sleep(time.Millisecond)
	}
	return drained
}

// A request on a connection that still waits in the system's queue when the server ends accepting gets its response.
func TestDrainWithQueue(t *testing.T) {
	l := gated{listen(t), make(chan struct{})}
	server, _ := serve(t, l, 10, nil)
	clients := []*client{dial(t, l.Addr().String()), dial(t, l.Addr().String()), dial(t, l.Addr().String())}
	for _, c := range clients {
		c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	}
	drained := drain(server)
	close(l.let)
	for _, c := range clients {
		if res, _ := c.readResponse(); res.StatusCode != 503 || !res.Close || res.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, closes %v", res.StatusCode, res.Close)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A server doesn't end between accepting a connection and http.Server's count of it.
func TestDrainBeforeCounted(t *testing.T) {
	came, let := make(chan struct{}), make(chan struct{})
	l := listen(t)
	server, _ := serve(t, l, 10, func(server *Server) {
		server.httpServer.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			// http.Server's last step before it counts the connection
			close(came)
			<-let
			return ctx
		}
	})
	c := dial(t, l.Addr().String())
	c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	<-came
	drained := drain(server)
	if n := server.limiter.count(); n != 1 {
		t.Errorf("%d connections counted, want the one that was accepted", n)
	}
	close(let)
	if res, _ := c.readResponse(); res.StatusCode != 503 {
		t.Errorf("status %d", res.StatusCode)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// What comes while the server is closing: a request whose head was read in part is rejected at once; a new connection
// has its grace period; a request with a long deadline gets its response.
func TestDrainHalfway(t *testing.T) {
	l := listen(t)
	server, fake := serve(t, l, 10, nil)
	half, long := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	long.send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-fake.requests
	half.write("GET /read/1 HTTP/1.1\r\nX-Time-Le")
	for server.limiter.requestPending() < 2 {
		time.Sleep(time.Millisecond)
	}
	new := dial(t, l.Addr().String())
	for server.limiter.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	drained := drain(server)
	new.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	half.write("ft: 1\r\nHost: h\r\nX-Correlation-Id: half\r\n\r\n")
	for name, c := range map[string]*client{"half a request": half, "a new connection": new} {
		if res, _ := c.readResponse(); res.StatusCode != 503 || !res.Close {
			t.Errorf("%s: status %d, closes %v", name, res.StatusCode, res.Close)
		}
	}
	select {
	case err := <-drained:
		t.Errorf("ended with a request open: %v", err)
	default:
	}
	request.Respond(engine.Result{Response: &engine.Response{Fields: map[string][]string{}, Body: []byte("hi")}})
	if res, body := long.readResponse(); res.StatusCode != 200 || body != "hi" {
		t.Errorf("the long request: status %d, %q", res.StatusCode, body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A new connection on which nothing has come has its grace period, also when the server drains.
func TestMoment(t *testing.T) {
	l := listen(t)
	server, _ := serve(t, l, 10, nil)
	dial(t, l.Addr().String())
	for server.limiter.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	for _, test := range []struct {
		age  time.Duration
		left int
	}{{-time.Hour, 1}, {newConnectionGrace, 0}} {
		server.limiter.mu.Lock()
		for c, p := range server.limiter.conns.positions {
			p.since = time.Now().Add(-test.age)
			server.limiter.conns.positions[c] = p
		}
		server.limiter.mu.Unlock()
		if n := server.limiter.closeQuiet(); n != test.left {
			t.Errorf("%v after it came: %d left, want %d", test.age, n, test.left)
		}
	}
}

// requestPending is how many connections carry a request without a response.
func (l *connLimiter) requestPending() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns.positions {
		if c.(*sockopt.Conn).RequestPending() {
			n++
		}
	}
	return n
}

// A server that is drained before it serves ends in good order and takes nothing.
func TestDrainBeforeServing(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	server := New(fakeEngine{}, clock.New(), decision.Settings{}, testNetwork, 10, log)
	if err := server.Drain(0); err != nil {
		t.Error(err)
	}
	l := listen(t)
	if err := server.Serve(l); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close() // the test has failed
		t.Error("accepts")
	}
}

// Until it is ready a server responds 503 on /up and rejects requests with Retry-After; none reaches the engine.
func TestNotReady(t *testing.T) {
	l := listen(t)
	server, fake := serve(t, l, 10, (*Server).SetNotReady)
	ask := func(line string) *http.Response {
		c := dial(t, l.Addr().String())
		c.send(line, "X-Time-Left: 1\r\n", "")
		res, _ := c.readResponse()
		return res
	}
	if res := ask("GET /up"); res.StatusCode != 503 {
		t.Errorf("up says %d", res.StatusCode)
	}
	if res := ask("GET /read/1"); res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.500" {
		t.Errorf("a request: %d, %v", res.StatusCode, res.Header)
	}
	if server.SetReady(); len(fake.requests) != 0 {
		t.Error("a request reached the engine")
	}
	if res := ask("GET /up"); res.StatusCode != 200 {
		t.Errorf("ready, up says %d", res.StatusCode)
	}
}
