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

// date is the header whose value depends on when the test runs.
var date = regexp.MustCompile(`Date: [^\r]*\r\n`)

// goldenRead is a request that is passed on.
const goldenRead = "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: g1\r\n\r\n"

// exchange is one request and what is done with it.
type exchange struct {
	title   string
	request string
	result  *engine.Result // of the engine; nil: it hears nothing of the request
	prepare func(*Server)  // before the server serves; may be nil
	serving func(*Server)  // while it serves; may be nil
}

// head is a request of this line with these headers, beside those that every request needs.
func head(line, headers string) string {
	return line + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: g1\r\n" + headers + "\r\n"
}

// finalResponses are the outcomes of requests that are handed over, or rejected with a response of the same kind.
func finalResponses() []exchange {
	reply := &engine.Response{Body: []byte("ok\n"), Fields: map[string][]string{
		"Content-Type": {"text/odd"}, "X-Image": {"42"},
		"Set-Cookie": {"a=1", "b=2"}, "Retry-After": {"9"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"2"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"77"}, "X-Backend-Load": {"util=0.5"},
	}}
	return []exchange{
		{title: "success passed through", request: goldenRead, result: &engine.Result{Response: reply}},
		{
			title: "success without a body", request: goldenRead,
			result: &engine.Result{Response: &engine.Response{Fields: http.Header{}}},
		},
		{
			title: "rejected, with Retry-After", request: goldenRead,
			result: &engine.Result{Kind: engine.Rejected, RetryAfter: 125.4},
		},
		{title: "rejected, without advice", request: goldenRead, result: &engine.Result{Kind: engine.Rejected}},
		{title: "failed", request: goldenRead, result: &engine.Result{Kind: engine.Failed}},
		{
			title: "failed, the marshal leaves", request: goldenRead, result: &engine.Result{Kind: engine.Failed},
			serving: startDraining,
		},
		{title: "rejected before the list is known", request: goldenRead, prepare: (*Server).SetNotReady},
		{
			title: "rejected for want of room", request: goldenRead,
			prepare: func(server *Server) { server.limiter.maxConnections = 0 },
		},
		{
			title:   "brought again, may have run",
			request: head("POST /pay/1", "X-Time-Left: 1\r\nX-Resume: 1\r\nContent-Length: 0\r\n"),
			prepare: func(server *Server) { server.HandleResumed(lease.DecideResume) },
		},
		{
			title: "an HTTP/1.0 client", request: strings.Replace(goldenRead, "HTTP/1.1", "HTTP/1.0", 1),
			result: &engine.Result{Response: &engine.Response{Fields: http.Header{}, Body: []byte("ok")}},
		},
	}
}

// refusedRequests are requests that never reach the engine.
func refusedRequests() []exchange {
	const left = "X-Time-Left: 1\r\n"
	return []exchange{
		{title: "400 no time", request: head("GET /read/1", "")},
		{title: "400 two times", request: head("GET /read/1", left+left)},
		{title: "400 two ids", request: head("GET /read/1", left+"X-Correlation-Id: g2\r\n")},
		{title: "400 two accounts", request: head("GET /read/1", left+"X-Account: a\r\nX-Account: b\r\n")},
		{title: "400 two marks", request: head("POST /mark/1", left+"Idempotency-Key: a\r\nIdempotency-Key: b\r\n")},
		{title: "400 no mark", request: head("POST /mark/1", left+"Content-Length: 0\r\n")},
		{title: "400 no id", request: strings.Replace(goldenRead, "X-Correlation-Id: g1\r\n", "", 1)},
		{title: "400 account", request: head("GET /read/1", left+"X-Account: nobody\r\n")},
		{title: "400 GET with a body", request: head("GET /read/1", left+"Content-Length: 2\r\n") + "hi"},
		{title: "400 no HTTP", request: "what\r\n\r\n"},
		{title: "404 path group", request: head("GET /other/1", left)},
		{title: "405 takes GET", request: head("POST /read/1", left+"Content-Length: 0\r\n")},
		{title: "405 takes POST", request: head("GET /pay/1", left)},
		{title: "411 a transfer coding", request: head("POST /pay/1", left+"Transfer-Encoding: chunked\r\n") + "0\r\n\r\n"},
		{
			title:   "413 the body is too long",
			request: head("POST /pay/1", left+fmt.Sprintf("Content-Length: %d\r\n", maxBody+1)),
		},
		{title: "431 the head is too long", request: head("GET /read/1", "X-Filler: "+strings.Repeat("x", 3*maxHead)+"\r\n")},
		{
			title:   "a body that stays a part: closed",
			request: head("POST /pay/1", "X-Time-Left: 0.05\r\nContent-Length: 5\r\n") + "four",
		},
		{title: "a head that stays a part: closed", request: "GET /read/1 HTTP/1.1\r\nHost: a\r\n"},
	}
}

// readinessChecks are what /up says in each state.
func readinessChecks() []exchange {
	const readiness = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	return []exchange{
		{title: "up: ready", request: readiness},
		{title: "up: held, the list is not known yet", request: readiness, prepare: (*Server).SetNotReady},
		{
			title: "up: ready after it was held", request: readiness, prepare: (*Server).SetNotReady,
			serving: (*Server).SetReady,
		},
		{title: "up: leaving", request: readiness, serving: startDraining},
	}
}

// startDraining puts a server into the state draining, without the end that follows.
func startDraining(server *Server) { server.state.advance(draining) }

// The bytes of the response to each request are those of the golden file. The value of Date is volatile and stands
// there as DATE.
func TestGoldenResponses(t *testing.T) {
	for file, exchanges := range map[string][]exchange{
		"answers": finalResponses(), "refusals": refusedRequests(), "up": readinessChecks(),
	} {
		t.Run(file, func(t *testing.T) {
			var observed strings.Builder
			for _, exchanged := range exchanges {
				observed.WriteString(golden.Section(exchanged.title, golden.Quote(responseBytes(t, exchanged))))
			}
			if err := golden.Check("testdata/"+file+".golden", []byte(observed.String())); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request whose id is that of an open one is refused; the open one gets its response all the same.
func TestGoldenConflict(t *testing.T) {
	_, fake, address := start(t, 10)
	first, second := dial(t, address), dial(t, address)
	first.write(goldenRead)
	request := <-fake.requests
	second.write(goldenRead)
	refused := finalResponse(t, second)
	request.Respond(engine.Result{Kind: engine.Failed})
	observed := golden.Section("409 the id is open", golden.Quote(refused)) +
		golden.Section("the open one", golden.Quote(finalResponse(t, first)))
	if err := golden.Check("testdata/conflict.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// responseBytes is the response to one exchange at a server of its own.
func responseBytes(t *testing.T, exchanged exchange) []byte {
	t.Helper()
	l := listen(t)
	server, fake := serve(t, l, 10, exchanged.prepare)
	if exchanged.serving != nil {
		exchanged.serving(server)
	}
	c := dial(t, l.Addr().String())
	if _, err := io.WriteString(c, exchanged.request); err != nil {
		t.Fatal(err)
	}
	if exchanged.result != nil {
		(<-fake.requests).Respond(*exchanged.result)
	}
	raw := finalResponse(t, c)
	if len(fake.requests) > 0 {
		t.Errorf("%s: it reached the engine", exchanged.title)
	}
	return raw
}

// finalResponse is one response as it came, up to the connection's end where that is announced; empty where the
// connection ends without one.
func finalResponse(t *testing.T, c *client) []byte {
	t.Helper()
	var all bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &all))
	if res, err := http.ReadResponse(r, nil); err == nil {
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Error(err)
		}
	} else if all.Len() > 0 {
		t.Errorf("not a response: %q: %v", all.String(), err)
	}
	return date.ReplaceAll(all.Bytes(), []byte("Date: DATE\r\n"))
}
