package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"ottershed/internal/cluster/lease"
	"ottershed/internal/engine"
	"ottershed/internal/golden"
)

// dateHeader matches the header whose value depends on when the test runs.
var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// goldenRequest is a request that is passed to the engine.
const goldenRequest = "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: g1\r\n\r\n"

// goldenCase is one request and the conditions under which it is served.
type goldenCase struct {
	title   string
	request string
	result  *engine.Result // result of the engine; nil: the engine must not receive the request
	prepare func(*Server)  // called before Serve; may be nil
	serving func(*Server)  // called while the server serves; may be nil
}

// requestHead returns a request line and headers: Host, a correlation id and the given headers.
func requestHead(line, headers string) string {
	return line + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: g1\r\n" + headers + "\r\n"
}

// finalResponses lists requests that are passed to the engine, or rejected without it.
func finalResponses() []goldenCase {
	reply := &engine.Response{Body: []byte("ok\n"), Header: map[string][]string{
		"Content-Type": {"text/odd"}, "X-Image": {"42"},
		"Set-Cookie": {"a=1", "b=2"}, "Retry-After": {"9"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"2"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"77"}, "X-Backend-Load": {"util=0.5"},
	}}
	return []goldenCase{
		{title: "succeeded", request: goldenRequest, result: &engine.Result{Response: reply}},
		{
			title: "succeeded, without a body", request: goldenRequest,
			result: &engine.Result{Response: &engine.Response{Header: http.Header{}}},
		},
		{
			title: "rejected, with Retry-After", request: goldenRequest,
			result: &engine.Result{Kind: engine.Rejected, RetryAfter: 125.4},
		},
		{title: "rejected, without Retry-After", request: goldenRequest, result: &engine.Result{Kind: engine.Rejected}},
		{title: "failed", request: goldenRequest, result: &engine.Result{Kind: engine.Failed}},
		{
			title: "failed, draining", request: goldenRequest, result: &engine.Result{Kind: engine.Failed},
			serving: startDraining,
		},
		{title: "rejected, not ready", request: goldenRequest, prepare: (*Server).SetNotReady},
		{
			title: "rejected, connection limit exceeded", request: goldenRequest,
			prepare: func(server *Server) { server.limiter.maxConnections = 0 },
		},
		{
			title:   "resumed, may have run",
			request: requestHead("POST /pay/1", "X-Time-Left: 1\r\nX-Resume: 1\r\nContent-Length: 0\r\n"),
			prepare: func(server *Server) { server.SetResumeDecision(lease.DecideResume) },
		},
		{
			title: "HTTP/1.0 client", request: strings.Replace(goldenRequest, "HTTP/1.1", "HTTP/1.0", 1),
			result: &engine.Result{Response: &engine.Response{Header: http.Header{}, Body: []byte("ok")}},
		},
	}
}

// invalidRequests lists requests that never reach the engine.
func invalidRequests() []goldenCase {
	const timeLeft = "X-Time-Left: 1\r\n"
	return []goldenCase{
		{title: "400 no X-Time-Left", request: requestHead("GET /read/1", "")},
		{title: "400 two X-Time-Left", request: requestHead("GET /read/1", timeLeft+timeLeft)},
		{title: "400 two X-Correlation-Id", request: requestHead("GET /read/1", timeLeft+"X-Correlation-Id: g2\r\n")},
		{title: "400 two X-Account", request: requestHead("GET /read/1", timeLeft+"X-Account: a\r\nX-Account: b\r\n")},
		{title: "400 two Idempotency-Key", request: requestHead("POST /mark/1", timeLeft+"Idempotency-Key: a\r\nIdempotency-Key: b\r\n")},
		{title: "400 no Idempotency-Key", request: requestHead("POST /mark/1", timeLeft+"Content-Length: 0\r\n")},
		{title: "400 no X-Correlation-Id", request: strings.Replace(goldenRequest, "X-Correlation-Id: g1\r\n", "", 1)},
		{title: "400 unknown X-Account", request: requestHead("GET /read/1", timeLeft+"X-Account: nobody\r\n")},
		{title: "400 GET with a body", request: requestHead("GET /read/1", timeLeft+"Content-Length: 2\r\n") + "hi"},
		{title: "400 not HTTP", request: "what\r\n\r\n"},
		{title: "404 unknown request class", request: requestHead("GET /other/1", timeLeft)},
		{title: "405 POST of a GET class", request: requestHead("POST /read/1", timeLeft+"Content-Length: 0\r\n")},
		{title: "405 GET of a POST class", request: requestHead("GET /pay/1", timeLeft)},
		{title: "411 transfer encoding", request: requestHead("POST /pay/1", timeLeft+"Transfer-Encoding: chunked\r\n") + "0\r\n\r\n"},
		{
			title:   "413 body too long",
			request: requestHead("POST /pay/1", timeLeft+fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes+1)),
		},
		{
			title:   "431 headers too long",
			request: requestHead("GET /read/1", "X-Filler: "+strings.Repeat("x", 3*maxHeaderBytes)+"\r\n"),
		},
		{
			title:   "incomplete body: closed",
			request: requestHead("POST /pay/1", "X-Time-Left: 0.05\r\nContent-Length: 5\r\n") + "four",
		},
		{title: "incomplete headers: closed", request: "GET /read/1 HTTP/1.1\r\nHost: a\r\n"},
	}
}

// readinessChecks lists requests of /up in each state of the server.
func readinessChecks() []goldenCase {
	const readiness = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	return []goldenCase{
		{title: "up: ready", request: readiness},
		{title: "up: not ready", request: readiness, prepare: (*Server).SetNotReady},
		{
			title: "up: ready after SetReady", request: readiness, prepare: (*Server).SetNotReady,
			serving: (*Server).SetReady,
		},
		{title: "up: draining", request: readiness, serving: startDraining},
	}
}

// startDraining enters the state draining, without the shutdown that Drain continues with.
func startDraining(server *Server) { server.state.advance(draining) }

// The bytes of the response to each request equal those of the golden file, in which DATE replaces the date.
func TestGoldenResponses(t *testing.T) {
	for file, cases := range map[string][]goldenCase{
		"responses": finalResponses(), "errors": invalidRequests(), "readiness": readinessChecks(),
	} {
		t.Run(file, func(t *testing.T) {
			var observed strings.Builder
			for _, test := range cases {
				observed.WriteString(golden.Section(test.title, golden.Quote(responseBytes(t, test))))
			}
			if err := golden.CheckFile("testdata/"+file+".golden", []byte(observed.String())); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request with the correlation id of an open one gets a 409. The open one still gets its response.
func TestGoldenConflict(t *testing.T) {
	_, fake, address := start(t, 10)
	first, second := dial(t, address), dial(t, address)
	first.write(goldenRequest)
	request := <-fake.requests
	second.write(goldenRequest)
	conflict := finalResponse(t, second)
	request.Respond(engine.Result{Kind: engine.Failed})
	observed := golden.Section("409 correlation id in use", golden.Quote(conflict)) +
		golden.Section("the open request", golden.Quote(finalResponse(t, first)))
	if err := golden.CheckFile("testdata/conflict.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// responseBytes starts a server, sends the request of a case and returns the bytes of the response.
func responseBytes(t *testing.T, test goldenCase) []byte {
	t.Helper()
	l := listen(t)
	server, fake := serve(t, l, 10, test.prepare)
	if test.serving != nil {
		test.serving(server)
	}
	c := dial(t, l.Addr().String())
	if _, err := io.WriteString(c, test.request); err != nil {
		t.Fatal(err)
	}
	if test.result != nil {
		(<-fake.requests).Respond(*test.result)
	}
	raw := finalResponse(t, c)
	if len(fake.requests) > 0 {
		t.Errorf("%s: the request reached the engine", test.title)
	}
	return raw
}

// finalResponse returns the bytes of one response, with the date replaced. They are empty if the connection ends without
// a response.
func finalResponse(t *testing.T, c *client) []byte {
	t.Helper()
	var all bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &all))
	if res, err := http.ReadResponse(r, nil); err == nil {
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Error(err)
		}
	} else if all.Len() > 0 {
		t.Errorf("read response: got %q, error %v", all.String(), err)
	}
	return dateHeader.ReplaceAll(all.Bytes(), []byte("Date: DATE\r\n"))
}
