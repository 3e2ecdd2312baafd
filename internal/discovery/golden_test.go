package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"ottershed/internal/engine"
	"ottershed/internal/golden"
	"ottershed/internal/settings"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// The request line and the headers of each kind of call are those of the golden file: for the whole list and for changes,
// where the list is pushed and where it must be asked for. The address of the agent is volatile and stands there as ADDRESS.
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

// callsOf are the first calls of so many kinds that a follower makes, each kind once: a call that is late gets another
// beside it, with the same bytes.
func callsOf(t *testing.T, n settings.Network, known *engine.EndpointUpdate, kinds int) (heads []string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	calls := make(chan string, 1000)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go answerCalls(c, calls)
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(l.Addr().String(), known, n, func(engine.EndpointUpdate) {}, log)
	f.ResumeWatch() // has the first call go out where a list is held
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	seen := map[string]bool{}
	for late := time.After(10 * time.Second); len(heads) < kinds; {
		select {
		case head := <-calls:
			if !seen[head] {
				heads = append(heads, strings.ReplaceAll(head, l.Addr().String(), "ADDRESS"))
			}
			seen[head] = true
		case <-late:
			t.Fatalf("only %d kinds of calls came: %q", len(heads), heads)
		}
	}
	return heads
}

// answerCalls tells the bytes of each call that comes on a connection, and answers those for the whole list.
func answerCalls(c net.Conn, calls chan<- string) {
	defer c.Close()
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
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		} // one for changes stays open, for there are none
	}
}
