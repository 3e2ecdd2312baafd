package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"ottershed/internal/sockopt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// fake takes hits in place of the marshal.
type fakeEngine struct {
	requests, disconnected chan *engine.ClientRequest
}

func (f fakeEngine) ReceiveRequest(h *engine.ClientRequest)     { f.requests <- h }
func (f fakeEngine) ClientDisconnected(h *engine.ClientRequest) { f.disconnected <- h }

func start(t *testing.T, maxConnections int) (*Server, fakeEngine, string) {
	l := listen(t)
	f, m := serve(t, l, maxConnections, nil)
	return f, m, l.Addr().String()
}

func listen(t *testing.T) *net.TCPListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// serve starts a front on l, prepared by the test.
func serve(t *testing.T, l net.Listener, maxConnections int, prepare func(*Server)) (*Server, fakeEngine) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := fakeEngine{make(chan *engine.ClientRequest, 100), make(chan *engine.ClientRequest, 100)}
	f := New(m, clock.New(), decision.Settings{MaxRetryAfter: 500, Classes: []decision.RequestClass{
		{Name: "read", Idempotency: decision.Idempotent},
		{Name: "mark", Idempotency: decision.IdempotentWithKey},
		{Name: "pay"},
	}, Tenants: []decision.TenantID{"", "acme"}}, settings.Network{LongestTimeout: 2000, ResponseSlack: 20}, maxConnections, log)
	if prepare != nil {
		prepare(f)
	}
	served := make(chan error, 1)
	go func() { served <- f.Serve(l) }()
	t.Cleanup(func() {
		f.server.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return f, m
}

// client is one connection.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &client{t, c, bufio.NewReader(c)}
}

// send sends a request, with an id of its own if it has none.
func (c *client) send(line, headers, body string) {
	if !strings.Contains(headers, "X-Correlation-Id") {
		headers += fmt.Sprintf("X-Correlation-Id: c%d\r\n", ids.Add(1))
	}
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: app.svc\r\n%s\r\n%s", line, headers, body)
}

var ids atomic.Int64

// answer reads an answer; the status is 0 if the connection ends.
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
	for name, tc := range map[string]struct {
		line, headers, body string
		status              int // 0: the connection is closed
	}{
		"no time":           {"GET /read/1", "", "", 400},
		"time is a word":    {"GET /read/1", "X-Time-Left: soon\r\n", "", 400},
		"time is no number": {"GET /read/1", "X-Time-Left: NaN\r\n", "", 400},
		"time is up":        {"GET /read/1", "X-Time-Left: 0\r\n", "", 400},
		"time below":        {"GET /read/1", "X-Time-Left: -1\r\n", "", 400},
		"time absurd":       {"GET /read/1", "X-Time-Left: 1e9\r\n", "", 400},
		"path group":        {"GET /other/1", "X-Time-Left: 1\r\n", "", 404},
		"no path group":     {"GET //read", "X-Time-Left: 1\r\n", "", 404},
		"POST, repeatable":  {"POST /read/1", "X-Time-Left: 1\r\nContent-Length: 0\r\n", "", 405},
		"GET, mutating":     {"GET /pay/1", "X-Time-Left: 1\r\n", "", 405},
		"no tag":            {"POST /mark/1", "X-Time-Left: 1\r\nContent-Length: 0\r\n", "", 400},
		"too long":          {"POST /pay/1", fmt.Sprintf("X-Time-Left: 1\r\nContent-Length: %d\r\n", len(long)), long, 413},
		"too long by 60 MB": {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 60000000\r\n", "", 413},
		"length negative":   {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: -5\r\n", "", 400},
		"length huge":       {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 99999999999999999999\r\n", "", 400},
		"two lengths":       {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n", "five5", 400},
		"chunked":           {"POST /pay/1", "X-Time-Left: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", 411},
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
		"no such account": {"GET /read/1", "X-Time-Left: 1\r\nX-Account: new\r\n", "", 400},
		"endless head":    {"GET /read/1", "X-Filler: " + long + "\r\n", "", 431},
		"cut off":         {"POST /pay/1", "X-Time-Left: 0.05\r\nContent-Length: 5\r\n", "four", 0},
		"no HTTP":         {"what", "", "", 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, m, address := start(t, 10)
			c := dial(t, address)
			c.send(tc.line, tc.headers, tc.body)
			if res, _ := c.readResponse(); res.StatusCode != tc.status {
				t.Errorf("status %d, want %d", res.StatusCode, tc.status)
			}
			if len(m.requests) != 0 {
				t.Error("it reached the marshal")
			}
		})
	}
}

func TestResponses(t *testing.T) {
	response := &engine.Response{Body: []byte("hi"), Fields: map[string][]string{"Content-Type": {"text/odd"}, "Connection": {"x"}}}
	for name, tc := range map[string]struct {
		result  engine.Result
		status  int
		retry   string
		body    string
		content string
	}{
		"delivered":          {engine.Result{Response: response}, 200, "", "hi", "text/odd"},
		"bounced":            {engine.Result{Kind: engine.Rejected}, 503, "", "", ""},
		"bounced, come back": {engine.Result{Kind: engine.Rejected, RetryAfter: 125}, 503, "0.125", "", ""},
		"errored":            {engine.Result{Kind: engine.Failed}, 500, "", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, m, address := start(t, 10)
			c := dial(t, address)
			for range 2 { // on one connection
				c.send("POST /mark/a%2fb?q=1;2", "X-Time-Left: 0.5\r\nX-Account: acme\r\nX-Repeat: 1\r\nX-Correlation-Id: c1\r\n"+
					"X-Facts: what?\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n", "body")
				h := <-m.requests
				got := fmt.Sprint(h.Class, h.Tenant, h.Remaining, h.Retried, h.Request.Method, h.Request.URI, h.Request.Host,
					h.Request.Fields["X-Correlation-Id"], h.Request.Fields["Idempotency-Key"], string(h.Request.Body))
				if want := "markacme500 truePOST/mark/a%2fb?q=1;2app.svc[c1] [k]body"; got != want {
					t.Errorf("hit %s, want %s", got, want)
				}
				h.Respond(tc.result)
				res, body := c.readResponse()
				if res.StatusCode != tc.status || res.Header.Get("Retry-After") != tc.retry || body != tc.body || res.Close ||
					res.Header.Get("Content-Type") != tc.content {
					t.Errorf("status %d, headers %v, body %q", res.StatusCode, res.Header, body)
				}
			}
		})
	}
}

// What a hit is about passes to the module, and stays in the request as it came.
func TestKey(t *testing.T) {
	_, m, address := start(t, 10)
	c := dial(t, address)
	for uri, want := range map[string]decision.Key{
		"/read/1": "", "/read?key=0001059dfba1f517": "0001059dfba1f517", "/read?a=1&key=b&key=c": "b",
		"/read?key": "", "/read?monkey=x&key=%2f+y": "/ y", "/read?key=a;b": "a;b", "/read?key=%zz": "%zz",
	} {
		c.send("GET "+uri, "X-Time-Left: 0.5\r\nX-Correlation-Id: c1\r\n", "")
		h := <-m.requests
		if h.Key != want || h.Request.URI != uri {
			t.Errorf("%s: key %q, want %q; passed on as %s", uri, h.Key, want, h.Request.URI)
		}
		h.Respond(engine.Result{Kind: engine.Rejected})
		c.readResponse()
	}
}

// An id is refused while a hit with it is open, and free again then.
func TestOpenID(t *testing.T) {
	f, m, address := start(t, 10)
	clients := []*client{dial(t, address), dial(t, address), dial(t, address)}
	for i, status := range []int{0, 409, 200} {
		c := clients[i]
		c.send("GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: same\r\n", "")
		switch status {
		case 0:
			<-m.requests
			continue
		case 200:
			(<-m.requests).Respond(engine.Result{Kind: engine.Succeeded, Response: &engine.Response{Fields: map[string][]string{}}})
		}
		if res, _ := c.readResponse(); res.StatusCode != status {
			t.Errorf("status %d, want %d", res.StatusCode, status)
		}
		if status == 409 {
			clients[0].Close()
			<-m.disconnected
			for f.open() > 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

func (f *Server) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.openIDs)
}

// Silence, half a head and half a body end in a close long before one is owed.
func TestSlowClients(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing": "", "half a line": "GET /re", "half a head": "GET /read/1 HTTP/1.1\r\nHost: a\r\n",
		"half a body": "POST /pay/1 HTTP/1.1\r\nHost: a\r\nX-Time-Left: 2\r\nX-Correlation-Id: half\r\nContent-Length: 5\r\n\r\nfour",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, m, address := start(t, 10)
			c := dial(t, address)
			io.WriteString(c, sent)
			c.SetReadDeadline(time.Now().Add(responseDue))
			if _, err := io.ReadAll(c); err != nil || len(m.requests) > 0 {
				t.Errorf("%v, %d hits", err, len(m.requests))
			}
		})
	}
}

// A hit that the marshal leaves without an answer gets one here, and is taken back.
func TestOverdue(t *testing.T) {
	_, m, address := start(t, 10)
	c := dial(t, address)
	c.send("GET /read/1", "X-Time-Left: 0.02\r\n", "")
	h := <-m.requests
	if res, _ := c.readResponse(); res.StatusCode != 500 || <-m.disconnected != h {
		t.Errorf("status %d", res.StatusCode)
	}
}

func TestClientDisconnected(t *testing.T) {
	for name, disconnect := range map[string]func(*client){
		"closes": func(c *client) { c.Close() },
		"resets": func(c *client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			_, m, address := start(t, 10)
			c := dial(t, address)
			c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
			h := <-m.requests
			if disconnect(c); <-m.disconnected != h {
				t.Error("another hit is gone")
			}
		})
	}
}

// A marshal that leaves says so, goes on taking hits for its grace, closes connections after their answers, and
// ends when all is answered.
func TestDrain(t *testing.T) {
	f, m, address := start(t, 10)
	up := func(c *client) int {
		c.send("GET /up", "", "")
		res, _ := c.readResponse()
		return res.StatusCode
	}
	watcher, idle, busy := dial(t, address), dial(t, address), dial(t, address)
	if up(watcher) != 200 || up(idle) != 200 {
		t.Error("not up")
	}
	busy.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	first := <-m.requests
	drained := make(chan error)
	go func() { drained <- f.Drain(200 * time.Millisecond) }()
	for !f.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	if status := up(watcher); status != 503 {
		t.Errorf("up says %d", status)
	}
	late := dial(t, address)
	late.send("GET /read/2", "X-Time-Left: 1\r\n", "")
	for i, h := range []*engine.ClientRequest{first, <-m.requests} {
		select {
		case <-drained:
			t.Error("left with a hit open")
		default:
		}
		h.Respond(engine.Result{Kind: engine.Failed})
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
	f, m, address := start(t, 16)
	ask := func(c *client) {
		t.Helper()
		c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
		select {
		case h := <-m.requests:
			h.Respond(engine.Result{Kind: engine.Failed})
		case <-time.After(responseDue):
			t.Fatal("no hit came")
		}
		if res, _ := c.readResponse(); res.StatusCode != 500 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	for range 10 {
		dial(t, address)
	}
	for f.limiter.count() < 10 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(newConnectionGrace) // they are past their moment
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

// With too many connections the longest idle one is closed, and hits beyond are bounced.
func TestFull(t *testing.T) {
	f, m, address := start(t, 2)
	clients := []*client{dial(t, address), dial(t, address)}
	for i, c := range clients { // one after the other: a client has its answer before its connection counts as idle
		c.send("GET /up", "", "")
		for c.readResponse(); f.limiter.resting() <= i; {
			time.Sleep(time.Millisecond)
		}
	}
	clients = append(clients, dial(t, address))
	clients[2].send("GET /read/1", "X-Time-Left: 1\r\n", "")
	h := <-m.requests
	if res, _ := clients[0].readResponse(); res.StatusCode != 0 {
		t.Error("the longest idle one is still there")
	}
	clients[1].send("GET /read/2", "X-Time-Left: 1\r\n", "")
	h2 := <-m.requests
	over := dial(t, address)
	for f.limiter.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	over.send("GET /read/3", "X-Time-Left: 1\r\n", "")
	if res, _ := over.readResponse(); res.StatusCode != 503 || !res.Close || res.Header.Get("Retry-After") != "0.500" {
		t.Errorf("beyond: status %d, %v", res.StatusCode, res.Header)
	}
	for _, h := range []*engine.ClientRequest{h, h2} {
		h.Respond(engine.Result{Kind: engine.Rejected})
	}
	for _, c := range clients[1:] {
		if res, _ := c.readResponse(); res.StatusCode != 503 {
			t.Errorf("status %d", res.StatusCode)
		}
		c.Close()
	}
	for f.limiter.count() > 0 {
		time.Sleep(time.Millisecond)
	}
	if f.limiter.idle.Len() != 0 {
		t.Error("idle connections are left")
	}
}

func (g *connLimiter) resting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle.Len()
}

func (g *connLimiter) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// slow is a listener whose end is seen late.
type slow struct{ net.Listener }

func (s slow) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

// A front that owes nothing leaves without an error, however late its server sees that the listener is closed.
func TestDrainAtOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(fakeEngine{}, clock.New(), decision.Settings{}, settings.Network{LongestTimeout: 2000, ResponseSlack: 20}, 10, log)
	served := make(chan error, 1)
	go func() { served <- f.Serve(slow{l}) }()
	c := dial(t, l.Addr().String())
	c.send("GET /up", "Connection: close\r\n", "")
	for c.readResponse(); f.limiter.closeQuiet() > 0; {
		time.Sleep(time.Millisecond)
	}
	if err := f.Drain(0); err != nil {
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

func (g gated) Accept() (net.Conn, error) {
	<-g.let
	return g.TCPListener.Accept()
}

// leave has the front leave at once, and waits until it accepts nothing more or has begun to.
func drain(f *Server) chan error {
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(0) }()
	for !f.limiter.isClosed() {
		time.Sleep(time.Millisecond)
	}
	return drained
}

// A hit on a connection that still waits in the system's queue when the marshal ends accepting gets its answer.
func TestDrainWithQueue(t *testing.T) {
	l := gated{listen(t), make(chan struct{})}
	f, _ := serve(t, l, 10, nil)
	clients := []*client{dial(t, l.Addr().String()), dial(t, l.Addr().String()), dial(t, l.Addr().String())}
	for _, c := range clients {
		c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	}
	drained := drain(f)
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

// A marshal doesn't end between accepting a connection and the server's count of it.
func TestDrainBeforeCounted(t *testing.T) {
	came, let := make(chan struct{}), make(chan struct{})
	l := listen(t)
	f, _ := serve(t, l, 10, func(f *Server) {
		f.server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context { // the server's last step before
			close(came)
			<-let
			return ctx
		}
	})
	c := dial(t, l.Addr().String())
	c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	<-came
	drained := drain(f)
	if n := f.limiter.count(); n != 1 {
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

// What comes while the marshal ends: the rest of a hit is answered at once; a client that has connected and not asked yet
// has its moment; one whose time is long gets its answer.
func TestDrainHalfway(t *testing.T) {
	l := listen(t)
	f, m := serve(t, l, 10, nil)
	half, long := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	long.send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-m.requests
	io.WriteString(half, "GET /read/1 HTTP/1.1\r\nX-Time-Le")
	for f.limiter.requestPending() < 2 {
		time.Sleep(time.Millisecond)
	}
	new := dial(t, l.Addr().String())
	for f.limiter.count() < 3 {
		time.Sleep(time.Millisecond)
	}
	drained := drain(f)
	new.send("GET /read/1", "X-Time-Left: 1\r\n", "")
	io.WriteString(half, "ft: 1\r\nHost: h\r\nX-Correlation-Id: half\r\n\r\n")
	for name, c := range map[string]*client{"half a hit": half, "a new connection": new} {
		if res, _ := c.readResponse(); res.StatusCode != 503 || !res.Close {
			t.Errorf("%s: status %d, closes %v", name, res.StatusCode, res.Close)
		}
	}
	select {
	case <-drained:
		t.Error("left with a hit open")
	default:
	}
	request.Respond(engine.Result{Kind: engine.Succeeded, Response: &engine.Response{Fields: map[string][]string{}, Body: []byte("hi")}})
	if res, body := long.readResponse(); res.StatusCode != 200 || body != "hi" {
		t.Errorf("the long hit: status %d, %q", res.StatusCode, body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A new connection on which nothing has come has its moment, also when the marshal leaves.
func TestMoment(t *testing.T) {
	l := listen(t)
	f, _ := serve(t, l, 10, nil)
	dial(t, l.Addr().String())
	for f.limiter.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	for _, tc := range []struct {
		age  time.Duration
		left int
	}{{-time.Hour, 1}, {newConnectionGrace, 0}} {
		f.limiter.mu.Lock()
		for c, p := range f.limiter.conns {
			p.since = time.Now().Add(-tc.age)
			f.limiter.conns[c] = p
		}
		f.limiter.mu.Unlock()
		if n := f.limiter.closeQuiet(); n != tc.left {
			t.Errorf("%v after it came: %d left, want %d", tc.age, n, tc.left)
		}
	}
}

// asked is how many connections have something unanswered on them.
func (g *connLimiter) requestPending() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.(*sockopt.Conn).RequestPending() {
			n++
		}
	}
	return n
}

// A marshal that is told to leave before it serves ends in good order and takes nothing.
func TestDrainBeforeServing(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(fakeEngine{}, clock.New(), decision.Settings{}, settings.Network{LongestTimeout: 2000, ResponseSlack: 20}, 10, log)
	if err := f.Drain(0); err != nil {
		t.Error(err)
	}
	l := listen(t)
	if err := f.Serve(l); err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("accepts")
	}
}

// Until it is ready a marshal says no and bounces hits, with when to come back; none reaches the module.
func TestNotReady(t *testing.T) {
	l := listen(t)
	f, m := serve(t, l, 10, (*Server).SetNotReady)
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
		t.Errorf("a hit: %d, %v", res.StatusCode, res.Header)
	}
	if f.SetReady(); len(m.requests) != 0 {
		t.Error("a hit reached the module")
	}
	if res := ask("GET /up"); res.StatusCode != 200 {
		t.Errorf("ready, up says %d", res.StatusCode)
	}
}
