package discovery

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ottershed/internal/engine"
	"ottershed/internal/golden"
	"ottershed/internal/settings"
)

// The request line and the headers of each kind of call match the golden file: for a full snapshot and for changes, of
// a pushed and of a polled list. ADDRESS stands for the address of the agent.
func TestGoldenCalls(t *testing.T) {
	known := &engine.EndpointUpdate{Version: 7}
	var observed strings.Builder
	for _, c := range []struct {
		title   string
		network settings.Network
		known   *engine.EndpointUpdate
		kinds   int // number of kinds of calls
	}{
		{"pushed, with a drain grace", settings.Network{DrainGrace: 5000}, nil, 2},
		{"pushed, without a drain grace", settings.Network{}, known, 2},
		{"polled, no list known", settings.Network{PollEndpoints: true, MaxPollInterval: 4000}, nil, 2},
		{"polled, a list known", settings.Network{PollEndpoints: true, MaxPollInterval: 4000}, known, 1},
	} {
		heads := firstCalls(t, c.network, c.known, c.kinds)
		observed.WriteString(golden.Section(c.title, strings.Join(heads, "")))
	}
	if err := golden.CheckFile("testdata/calls.golden", []byte(observed.String())); err != nil {
		t.Error(err)
	}
}

// firstCalls returns the first calls of a watcher of the given number of kinds, each kind once: a call without a
// response is hedged by further calls with the same bytes.
func firstCalls(t *testing.T, n settings.Network, known *engine.EndpointUpdate, kinds int) (heads []string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the test is over
	calls := make(chan string, 1000)
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go respondToCalls(c, calls)
		}
	}()
	watcher := New(listener.Addr().String(), known, n, func(engine.EndpointUpdate) {}, discardLog())
	watcher.ResumeWatch() // allows the first call if a list is known
	_, stop := runWatcher(t, watcher)
	defer stop()
	seen := map[string]bool{}
	for timeout := time.After(10 * time.Second); len(heads) < kinds; {
		select {
		case head := <-calls:
			if !seen[head] {
				heads = append(heads, strings.ReplaceAll(head, listener.Addr().String(), "ADDRESS"))
			}
			seen[head] = true
		case <-timeout:
			t.Fatalf("got %d kinds of calls within 10 s, want %d: %q", len(heads), kinds, heads)
		}
	}
	return heads
}

// respondToCalls sends the bytes of each call on a connection to calls, and responds to full snapshot calls.
func respondToCalls(c net.Conn, calls chan<- string) {
	defer func() { _ = c.Close() }() // the watcher may have closed its side
	var all bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &all))
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		calls <- golden.Quote(all.Bytes())
		all.Reset()
		if request.URL.RawQuery == "" {
			body := encodeUpdate(41, true, "Ready")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
		} // a call for changes stays open, since there are none
	}
}
