package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// fakeEngine stands in for the engine and passes its calls to the test.
type fakeEngine struct {
	requests, disconnected chan *engine.ClientRequest
}

// ReceiveRequest passes a request to the test. As with the engine, the request ends before its result is known.
func (f fakeEngine) ReceiveRequest(request *engine.ClientRequest) {
	var ended sync.Once
	onEnd, respond := request.OnEnd, request.Respond
	request.OnEnd = func(mayHaveRun bool) { ended.Do(func() { onEnd(mayHaveRun) }) }
	request.Respond = func(result engine.Result) {
		request.OnEnd(result.Kind != engine.Rejected)
		respond(result)
	}
	f.requests <- request
}

// ClientDisconnected passes a request to the test and ends it, as if no attempt had been started.
func (f fakeEngine) ClientDisconnected(request *engine.ClientRequest) {
	request.OnEnd(false)
	f.disconnected <- request
}

// start starts a server on loopback and returns its address.
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

// testNetwork holds the timeouts of the servers under test.
var testNetwork = settings.Network{MaxClientTimeout: 2000, ResponseGracePeriod: 20}

// quietLog returns a logger that writes nothing.
func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// serve starts a server on l. It calls prepare, which may be nil, before Serve.
func serve(t *testing.T, l net.Listener, maxConnections int, prepare func(*Server)) (*Server, fakeEngine) {
	t.Helper()
	return serveWith(t, l, maxConnections, testNetwork, prepare)
}

// serveWith starts a server like serve, with the given timeouts.
func serveWith(
	t *testing.T, l net.Listener, maxConnections int, network settings.Network, prepare func(*Server),
) (*Server, fakeEngine) {
	t.Helper()
	fake := fakeEngine{make(chan *engine.ClientRequest, 100), make(chan *engine.ClientRequest, 100)}
	server := New(fake, clock.New(), decision.Settings{MaxRetryAfter: 500, Classes: []decision.RequestClass{
		{Name: "read", Idempotency: decision.Idempotent},
		{Name: "mark", Idempotency: decision.IdempotentWithKey},
		{Name: "pay"},
	}, Tenants: []decision.TenantID{"", "acme"}}, network, Limits{maxConnections, 1}, quietLog())
	if prepare != nil {
		prepare(server)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.httpServer.Close() // the test may have closed it
		if err := <-served; err != nil {
			t.Errorf("Serve: got error %v, want none", err)
		}
	})
	return server, fake
}

// client is one client connection.
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
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{t, c, bufio.NewReader(c)}
}

// send sends a request. It adds a new correlation id if the headers have none.
func (c *client) send(line, headers, body string) {
	if !strings.Contains(headers, "X-Correlation-Id") {
		headers += fmt.Sprintf("X-Correlation-Id: c%d\r\n", correlationIDs.Add(1))
	}
	c.write(fmt.Sprintf("%s HTTP/1.1\r\nHost: app.svc\r\n%s\r\n%s", line, headers, body))
}

// write sends bytes. It ignores errors: if the server has closed the connection, the next read fails.
func (c *client) write(text string) { _, _ = io.WriteString(c.Conn, text) }

// closeConn closes the connection.
func (c *client) closeConn() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Error(err)
	}
}

// setReadDeadline sets the read deadline of the connection.
func (c *client) setReadDeadline(deadline time.Time) {
	c.t.Helper()
	if err := c.SetReadDeadline(deadline); err != nil {
		c.t.Fatal(err)
	}
}

// correlationIDs counts the correlation ids that send has added.
var correlationIDs atomic.Int64

// readResponse reads a response and its body. The status code is 0 if the connection ends without a response.
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

func TestMalformedRequestsGetErrorStatus(t *testing.T) {
	long := strings.Repeat("x", maxBodyBytes+1)
	for name, test := range map[string]struct {
		line, headers, body string
		status              int // 0: the connection is closed
	}{
		"no time left":          {"GET /read/1", "", "", 400},
		"time left is a word":   {"GET /read/1", "X-Time-Left: soon\r\n", "", 400},
		"time left is NaN":      {"GET /read/1", "X-Time-Left: NaN\r\n", "", 400},
		"time left is 0":        {"GET /read/1", "X-Time-Left: 0\r\n", "", 400},
		"time left is negative": {"GET /read/1", "X-Time-Left: -1\r\n", "", 400},
		"time left is 1e9":      {"GET /read/1", "X-Time-Left: 1e9\r\n", "", 400},
		"unknown request class": {"GET /other/1", "X-Time-Left: 1\r\n", "", 404},
		"no request class":      {"GET //read", "X-Time-Left: 1\r\n", "", 404},
		"POST of a GET class":   {"POST /read/1", "X-Time-Left: 1\r\nContent-Length: 0\r\n", "", 405},
		"GET of a POST class":   {"GET /pay/1", "X-Time-Left: 1\r\n", "", 405},
		"no idempotency key":    {"POST /mark/1", "X-Time-Left: 1\r\nContent-Length: 0\r\n", "", 400},
		"body too long":         {"POST /pay/1", fmt.Sprintf("X-Time-Left: 1\r\nContent-Length: %d\r\n", len(long)), long, 413},
		"body of 60 MB":         {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 60000000\r\n", "", 413},
		"negative length":       {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: -5\r\n", "", 400},
		"length overflows":      {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 99999999999999999999\r\n", "", 400},
		"two lengths":           {"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n", "five5", 400},
		"chunked":               {"POST /pay/1", "X-Time-Left: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", 411},
		"smuggled request": {
			"POST /pay/1", "X-Time-Left: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
			"0\r\n\r\nGET /read/1 HTTP/1.1\r\nHost: a\r\nX-Time-Left: 1\r\nX-Correlation-Id: hidden\r\n\r\n", 411,
		},
		"GET with a body":       {"GET /read/1", "X-Time-Left: 1\r\nContent-Length: 2\r\n", "hi", 400},
		"no id":                 {"GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id:\r\n", "", 400},
		"two ids":               {"GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: a\r\nX-Correlation-Id: b\r\n", "", 400},
		"id too long":           {"GET /read/1", "X-Time-Left: 1\r\nX-Correlation-Id: " + long[:200] + "\r\n", "", 400},
		"other host":            {"GET http://other/read/1", "X-Time-Left: 1\r\n", "", 404},
		"escaped request class": {"GET /%72ead/1", "X-Time-Left: 1\r\n", "", 404},
		"unknown tenant":        {"GET /read/1", "X-Time-Left: 1\r\nX-Account: new\r\n", "", 400},
		"headers too long":      {"GET /read/1", "X-Filler: " + long + "\r\n", "", 431},
		"incomplete body":       {"POST /pay/1", "X-Time-Left: 0.05\r\nContent-Length: 5\r\n", "four", 0},
		"not HTTP":              {"what", "", "", 400},
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, 10)
			c := dial(t, address)
			c.send(test.line, test.headers, test.body)
			if res, _ := c.readResponse(); res.StatusCode != test.status {
				t.Errorf("response: got status %d, want %d", res.StatusCode, test.status)
			}
			if len(fake.requests) != 0 {
				t.Error("engine: got a malformed request, want none")
			}
		})
	}
}

func TestResultsBecomeResponses(t *testing.T) {
	response := &engine.Response{
		Body: []byte("hi"), Header: map[string][]string{"Content-Type": {"text/odd"}, "Connection": {"x"}},
	}
	for name, test := range map[string]struct {
		result      engine.Result
		status      int
		retryAfter  string
		body        string
		contentType string
	}{
		"succeeded":                  {engine.Result{Response: response}, 200, "", "hi", "text/odd"},
		"rejected":                   {engine.Result{Kind: engine.Rejected}, 503, "", "", ""},
		"rejected, with Retry-After": {engine.Result{Kind: engine.Rejected, RetryAfter: 125}, 503, "0.125", "", ""},
		"failed":                     {engine.Result{Kind: engine.Failed}, 500, "", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, 10)
			c := dial(t, address)
			for _, id := range []string{"c1", "c2"} { // on one connection
				c.send("POST /mark/a%2fb?q=1;2", "X-Time-Left: 0.5\r\nX-Account: acme\r\nX-Repeat: 1\r\nX-Correlation-Id: "+id+"\r\n"+
					"X-Facts: what?\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n", "body")
				request := <-fake.requests
				raw := request.Request
				got := fmt.Sprint(request.Class, request.Tenant, request.Remaining, request.Retried, raw.Method, raw.URI, raw.Host,
					raw.Header["X-Correlation-Id"], raw.Header["Idempotency-Key"], string(raw.Body))
				if want := "markacme500 truePOST/mark/a%2fb?q=1;2app.svc[" + id + "] [k]body"; got != want {
					t.Errorf("engine: got request %s, want %s", got, want)
				}
				request.Respond(test.result)
				res, body := c.readResponse()
				if res.StatusCode != test.status || res.Header.Get("Retry-After") != test.retryAfter || body != test.body || res.Close ||
					res.Header.Get("Content-Type") != test.contentType {
					t.Errorf("response: got status %d, headers %v, body %q; want %+v", res.StatusCode, res.Header, body, test)
				}
			}
		})
	}
}

// The first "key" parameter of the query becomes the sticky key. The URI is passed on unchanged.
func TestQueryKeyBecomesStickyKey(t *testing.T) {
	_, fake, address := start(t, 10)
	c := dial(t, address)
	for uri, want := range map[string]decision.Key{
		"/read/1": "", "/read?key=0001059dfba1f517": "0001059dfba1f517", "/read?a=1&key=b&key=c": "b",
		"/read?key": "", "/read?monkey=x&key=%2f+y": "/ y", "/read?key=a;b": "a;b", "/read?key=%zz": "%zz",
	} {
		c.send("GET "+uri, "X-Time-Left: 0.5\r\nX-Correlation-Id: c1\r\n", "")
		request := <-fake.requests
		if request.Key != want || request.Request.URI != uri {
			t.Errorf("%s: got key %q, URI %s; want key %q, the URI unchanged", uri, request.Key, request.Request.URI, want)
		}
		request.Respond(engine.Result{Kind: engine.Rejected})
		c.readResponse()
	}
}

// A request with the correlation id of an open one gets a 409. The id is free once the open request has ended.
func TestCorrelationIDOfOpenRequestGetsConflict(t *testing.T) {
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
			(<-fake.requests).Respond(succeededResult(0)())
		}
		if res, _ := c.readResponse(); res.StatusCode != status {
			t.Errorf("response: got status %d, want %d", res.StatusCode, status)
		}
		if status == 409 {
			clients[0].closeConn()
			<-fake.disconnected
			for server.ids.count() > 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

// Connections without a complete request are closed within responseTimeout.
func TestIncompleteRequestIsClosed(t *testing.T) {
	for name, sent := range map[string]string{
		"no byte": "", "part of the request line": "GET /re", "part of the headers": "GET /read/1 HTTP/1.1\r\nHost: a\r\n",
		"part of the body": "POST /pay/1 HTTP/1.1\r\nHost: a\r\nX-Time-Left: 2\r\nX-Correlation-Id: half\r\n" +
			"Content-Length: 5\r\n\r\nfour",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, fake, address := start(t, 10)
			c := dial(t, address)
			c.write(sent)
			c.setReadDeadline(time.Now().Add(responseTimeout))
			if _, err := io.ReadAll(c); err != nil || len(fake.requests) > 0 {
				t.Errorf("connection: got error %v, %d requests at the engine; want a close and no request", err, len(fake.requests))
			}
		})
	}
}

// A request without a result from the engine gets a 500 after its deadline, and the engine is notified.
func TestOverdueRequestGets500(t *testing.T) {
	_, fake, address := start(t, 10)
	c := dial(t, address)
	c.send("GET /read/1", "X-Time-Left: 0.02\r\n", "")
	request := <-fake.requests
	if res, _ := c.readResponse(); res.StatusCode != 500 || <-fake.disconnected != request {
		t.Errorf("response: got status %d, want 500", res.StatusCode)
	}
}

func TestClientDisconnectReachesEngine(t *testing.T) {
	for name, disconnect := range map[string]func(*client){
		"closes": (*client).closeConn,
		"resets": func(c *client) {
			if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
				c.t.Error(err)
			}
			c.closeConn()
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, 10)
			c := dial(t, address)
			c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
			request := <-fake.requests
			if disconnect(c); <-fake.disconnected != request {
				t.Error("ClientDisconnected was called with another request")
			}
		})
	}
}

// While hundreds of clients connect and send nothing, the connections of other clients stay open and new ones are served.
func TestSilentClientsDoNotBlockOthers(t *testing.T) {
	server, fake, address := start(t, 16)
	exchange := func(c *client) {
		t.Helper()
		c.send("GET /read/1", "X-Time-Left: 1\r\n", "")
		select {
		case request := <-fake.requests:
			request.Respond(engine.Result{Kind: engine.Failed})
		case <-time.After(responseTimeout):
			t.Fatal("the engine received no request")
		}
		if res, _ := c.readResponse(); res.StatusCode != 500 {
			t.Errorf("response: got status %d, want 500", res.StatusCode)
		}
	}
	for range 10 {
		dial(t, address)
	}
	for server.limiter.connCount() < 10 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(newConnectionGrace) // their grace period is over
	active := []*client{dial(t, address), dial(t, address), dial(t, address), dial(t, address)}
	for _, c := range active {
		exchange(c)
	}
	for range 10 {
		dial(t, address)
	}
	for _, c := range append(active, dial(t, address)) {
		exchange(c)
	}
	for range 100 {
		dial(t, address)
	}
	began := time.Now()
	if exchange(dial(t, address)); time.Since(began) > readTimeout {
		t.Errorf("response: got it after %v, want at most %v", time.Since(began), readTimeout)
	}
}

// Beyond the limit the longest idle connection is closed. If none is idle, requests are rejected.
func TestBeyondLimitIdleIsEvictedOrRequestRejected(t *testing.T) {
	server, fake, address := start(t, 2)
	clients := []*client{dial(t, address), dial(t, address)}
	for i, c := range clients { // in sequence: a connection becomes idle only after the client has the response
		c.send("GET /up", "", "")
		for c.readResponse(); server.limiter.idleCount() <= i; {
			time.Sleep(time.Millisecond)
		}
	}
	clients = append(clients, dial(t, address))
	clients[2].send("GET /read/1", "X-Time-Left: 1\r\n", "")
	request := <-fake.requests
	if res, _ := clients[0].readResponse(); res.StatusCode != 0 {
		t.Error("the longest idle connection is still open")
	}
	clients[1].send("GET /read/2", "X-Time-Left: 1\r\n", "")
	second := <-fake.requests
	excess := dial(t, address)
	for server.limiter.connCount() < 3 {
		time.Sleep(time.Millisecond)
	}
	excess.send("GET /read/3", "X-Time-Left: 1\r\n", "")
	if res, _ := excess.readResponse(); res.StatusCode != 503 || !res.Close || res.Header.Get("Retry-After") != "0.500" {
		t.Errorf("beyond the limit: got status %d, %v; want 503 with Retry-After 0.500 and close", res.StatusCode, res.Header)
	}
	for _, request := range []*engine.ClientRequest{request, second} {
		request.Respond(engine.Result{Kind: engine.Rejected})
	}
	for _, c := range clients[1:] {
		if res, _ := c.readResponse(); res.StatusCode != 503 {
			t.Errorf("response: got status %d, want 503", res.StatusCode)
		}
		c.closeConn()
	}
	for server.limiter.connCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	if server.limiter.conns.idle.Len() != 0 {
		t.Error("closed connections are still listed as idle")
	}
}

// idleCount returns the number of idle connections.
func (l *connLimiter) idleCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns.idle.Len()
}

// connCount returns the number of connections.
func (l *connLimiter) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns.entries)
}

// pendingCount returns the number of connections that carry a request without a response.
func (l *connLimiter) pendingCount() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns.entries {
		if c.(*sockopt.Conn).RequestPending() {
			n++
		}
	}
	return n
}

// Before SetReady a server responds 503 on /up and rejects requests with Retry-After. None of them reaches the engine.
func TestNotReadyRejectsRequests(t *testing.T) {
	l := listen(t)
	server, fake := serve(t, l, 10, (*Server).SetNotReady)
	exchange := func(line string) *http.Response {
		c := dial(t, l.Addr().String())
		c.send(line, "X-Time-Left: 1\r\n", "")
		res, _ := c.readResponse()
		return res
	}
	if res := exchange("GET /up"); res.StatusCode != 503 {
		t.Errorf("/up: got status %d, want 503", res.StatusCode)
	}
	if res := exchange("GET /read/1"); res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.500" {
		t.Errorf("request: got status %d, %v; want 503 with Retry-After 0.500", res.StatusCode, res.Header)
	}
	if server.SetReady(); len(fake.requests) != 0 {
		t.Error("engine: got a request before SetReady, want none")
	}
	if res := exchange("GET /up"); res.StatusCode != 200 {
		t.Errorf("/up after SetReady: got status %d, want 200", res.StatusCode)
	}
}
