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

// The request line and the headers of each kind of call are those of the golden file: for a full snapshot and for
// changes, where the list is pushed and where it is polled. The address of the agent is volatile and stands there as
// ADDRESS.
func TestGoldenCalls(t *testing.T) {
	held := &engine.EndpointUpdate{Version: 7}
	var observed strings.Builder
	for _, c := range []struct {
		title   string
		network settings.Network
		known   *engine.EndpointUpdate
		kinds   int // of calls
	}{
		{"pushed, with a grace for drains", settings.Network{DrainGrace: 5000}, nil, 2},
		{"pushed, without a grace", settings.Network{}, held, 2},
		{"asked for, no list held", settings.Network{PollEndpoints: true, PollWithin: 4000}, nil, 2},
		{"asked for, a list held", settings.Network{PollEndpoints: true, PollWithin: 4000}, held, 1},
	} {
		heads := callsOf(t, c.network, c.known, c.kinds)
		observed.WriteString(golden.Section(c.title, strings.Join(heads, "")))
	}
	if err := golden.Check("testdata/calls.golden", []byte(observed.String())); err != nil {
		t.Error(err)
	}
}

// callsOf are the first calls of so many kinds that a watcher makes, each kind once: a call without a response gets
// another beside it, with the same bytes.
func callsOf(t *testing.T, n settings.Network, known *engine.EndpointUpdate, kinds int) (heads []string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing is lost with it
	calls := make(chan string, 1000)
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go respondToCalls(c, calls)
		}
	}()
	watcher := New(listener.Addr().String(), known, n, func(engine.EndpointUpdate) {}, quiet())
	watcher.ResumeWatch() // has the first call go out where a list is held
	_, stop := follow(t, watcher)
	defer stop()
	seen := map[string]bool{}
	for late := time.After(10 * time.Second); len(heads) < kinds; {
		select {
		case head := <-calls:
			if !seen[head] {
				heads = append(heads, strings.ReplaceAll(head, listener.Addr().String(), "ADDRESS"))
			}
			seen[head] = true
		case <-late:
			t.Fatalf("only %d kinds of calls came: %q", len(heads), heads)
		}
	}
	return heads
}

// respondToCalls sends the bytes of each call that comes on a connection to calls, and responds to those for a full
// snapshot.
func respondToCalls(c net.Conn, calls chan<- string) {
	defer func() { _ = c.Close() }() // nothing is lost with it
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
			body := list(41, true, "Ready")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				return
			}
		} // one for changes stays open, since there are none
	}
}
