package admin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"ottershed/internal/golden"
)

// dateHeader matches the header whose value depends on when the test runs.
var dateHeader = regexp.MustCompile(`Date: [^\r]*\r\n`)

// The bytes of each kind of response equal those of the golden file, in which DATE and ADDRESS replace the date and the
// address of the server.
func TestGoldenResponses(t *testing.T) {
	address := goldenServer(t)
	var observed strings.Builder
	for _, c := range []struct{ title, line, headers, body string }{
		{"response to GET", "GET /who", "", ""},
		{"response to POST", "POST /do", "Content-Type: application/json\r\n", `"it"`},
		{"error of the handler", "POST /do", "Content-Type: application/json\r\n", `"<that>"`},
		{"body too long", "POST /do", "Content-Type: application/json\r\n", strings.Repeat("x", maxBodyBytes+1)},
		{"unknown path", "GET /none", "", ""},
		{"unsupported method", "DELETE /who", "", ""},
		{"content type of a form", "POST /do", "Content-Type: text/plain\r\n", `"it"`},
		{"Host is a name", "GET http://elsewhere.example:80/who", "", ""},
		{"result that JSON cannot encode", "GET /broken", "", ""},
	} {
		request := fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", c.line, address,
			c.headers, len(c.body), c.body)
		observed.WriteString(golden.Section(c.title, golden.Quote(exchange(t, address, request))))
	}
	if err := golden.CheckFile("testdata/responses.golden", []byte(observed.String())); err != nil {
		t.Error(err)
	}
}

// goldenServer runs a server with a path for each kind of response and returns its address.
func goldenServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New()
	s.Get("/who", func() any { return map[string]any{"n": 1, "names": []string{"a", "<b>"}} })
	s.Get("/broken", func() any { return func() {} })
	s.Post("/do", func(_ context.Context, body []byte) (any, error) {
		if string(body) != `"it"` {
			return nil, errors.New("that can't be done: " + string(body))
		}
		return "done", nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: got error %v, want none", err)
		}
	})
	return listener.Addr().String()
}

// exchange sends a request and returns the bytes of its response, with the date and address replaced.
func exchange(t *testing.T, address, request string) []byte {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // the whole response was read
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	var all bytes.Buffer
	res, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &all)), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	raw := dateHeader.ReplaceAll(all.Bytes(), []byte("Date: DATE\r\n"))
	return bytes.ReplaceAll(raw, []byte(address), []byte("ADDRESS"))
}

// The bytes of the requests that Call sends equal those of the golden file.
func TestGoldenRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the test is over
	requests := make(chan []byte, 2)
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			requests <- respondEmpty(t, c)
		}
	}()
	observed := ""
	for _, body := range [][]byte{nil, []byte(`{"a":1}`)} {
		if _, err := Call(t.Context(), listener.Addr().String(), "/path", body); err != nil {
			t.Fatal(err)
		}
		observed += golden.Quote(bytes.ReplaceAll(<-requests, []byte(listener.Addr().String()), []byte("ADDRESS"))) + "\n"
	}
	if err := golden.CheckFile("testdata/requests.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// respondEmpty reads a request from a connection, responds with an empty JSON object, and returns the bytes of the
// request.
func respondEmpty(t *testing.T, c net.Conn) []byte {
	t.Helper()
	defer func() { _ = c.Close() }() // Call returns an error if the response is lost
	var all bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &all)))
	if err != nil {
		return all.Bytes()
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		t.Errorf("read request body: %v", err)
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		t.Errorf("write response: %v", err)
	}
	return all.Bytes()
}
