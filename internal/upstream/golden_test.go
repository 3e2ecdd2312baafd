package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"ottershed/decision"
	"ottershed/internal/engine"
	"ottershed/internal/golden"
)

// goldenRequests are requests as ingress passes them to the pool.
var goldenRequests = []struct {
	title   string
	request engine.Request
}{
	{"GET without headers", engine.Request{Method: "GET", URI: "/level-read/7", Host: "app.svc"}},
	{"GET with the headers of a client", engine.Request{
		Method: "GET", URI: "/level-read/a%2Fb?key=k%201&q=;", Host: "app.svc:8080",
		Header: map[string][]string{
			"X-Correlation-Id": {"c1"}, "X-Account": {"acme"}, "X-Time-Left": {"9"}, "Accept": {"a", "b"},
			"User-Agent": {"app/1"},
		},
	}},
	{"POST with a body", engine.Request{
		Method: "POST", URI: "/send-text", Host: "app.svc", Body: []byte("line\r\nend\x00"),
		Header: map[string][]string{"Content-Type": {"text/plain"}, "Content-Length": {"99"}, "X-Correlation-Id": {"c2"}},
	}},
	{"POST without a body", engine.Request{
		Method: "POST", URI: "/send-text", Host: "app.svc",
		Header: map[string][]string{"X-Correlation-Id": {"c3"}},
	}},
	{"POST with an idempotency key that the client repeats", engine.Request{
		Method: "POST", URI: "/subscribe", Host: "app.svc", Body: []byte("x"),
		Header: map[string][]string{
			"Idempotency-Key": {"mark-1"}, "X-Repeat": {"1"}, "X-Resume": {"1"},
			"X-Correlation-Id": {"c4"},
		},
	}},
	{"GET with hop-by-hop headers", engine.Request{
		Method: "GET", URI: "/level-read/7", Host: "app.svc",
		Header: map[string][]string{
			"Connection": {"close"}, "Keep-Alive": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
			"Transfer-Encoding": {"chunked"}, "Trailer": {"X"}, "Proxy-Authorization": {"p"},
		},
	}},
}

// timeLeftHeader matches X-Time-Left, whose value depends on the time of the test. Its format is fixed.
var timeLeftHeader = regexp.MustCompile(`X-Time-Left: \d+\.\d{3}\r\n`)

// The bytes of a request as read by a raw listener match the golden file, in which TIME stands for the value of
// X-Time-Left.
func TestGoldenRequests(t *testing.T) {
	var observed strings.Builder
	for _, c := range goldenRequests {
		raw := timeLeftHeader.ReplaceAll(rawRequest(t, &c.request), []byte("X-Time-Left: TIME\r\n"))
		observed.WriteString(golden.Section(c.title, golden.Quote(raw)))
	}
	if err := golden.CheckFile("testdata/requests.golden", []byte(observed.String())); err != nil {
		t.Error(err)
	}
}

// The remaining time is written in seconds with three decimals, and a negative one as 0.
func TestGoldenTimeLeft(t *testing.T) {
	var observed strings.Builder
	for _, remaining := range []decision.Millis{1234.5678, 1, 0.4, 0, -20, 3600000} {
		observed.Write(timeLeftHeader.Find(encodeRequest(&engine.Request{Method: "GET", URI: "/", Host: "h"}, remaining)))
	}
	if err := golden.CheckFile("testdata/time-left.golden", []byte(golden.Quote([]byte(observed.String())))); err != nil {
		t.Error(err)
	}
}

// rawRequest returns the bytes that a raw listener reads when the pool sends a request to it.
func rawRequest(t *testing.T, request *engine.Request) []byte {
	t.Helper()
	l, read := listen(t), make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer closeQuietly(c)
		read <- captureRequest(c)
	}()
	pool, results := newPool(4), make(chan engine.AttemptResult, 1)
	pool.SetAddress("n", l.Addr().String())
	pool.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: l.Addr().String(), Deadline: pool.clock.Now() + longDeadline, Request: request,
		OnResult: func(r engine.AttemptResult) { results <- r },
	})
	if result := <-results; result.Outcome != decision.Succeeded {
		t.Fatalf("attempt: got outcome %d, want %d", result.Outcome, decision.Succeeded)
	}
	return <-read
}

// captureRequest reads one request, responds to it, and returns all bytes received until the peer closes the
// connection.
func captureRequest(c net.Conn) []byte {
	var all bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &all))
	request, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	if err == nil {
		_, err = io.WriteString(c, strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, r) // any bytes after the request, until the peer closes
	}
	return all.Bytes()
}
