package rollout

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

const stage = `{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}`

// call is a line that the stand-in of the rollout controller has read, and its connection.
type call struct {
	conn   net.Conn
	ID     int
	text   string
	Method string
}

// send writes a line.
func (c call) send(format string, args ...any) {
	_, _ = fmt.Fprintf(c.conn, format+"\n", args...) // the client may have closed the connection
}

// result writes a response.
func (c call) result(result string) { c.send(`{"jsonrpc":"2.0","id":%d,"result":%s}`, c.ID, result) }

// start runs a client and a stand-in of the rollout controller that does nothing by itself.
func start(t *testing.T) (*Client, chan call, chan decision.Event) {
	t.Helper()
	return startWithTimeout(t, 100)
}

// startWithTimeout does so with another timeout of votes.
func startWithTimeout(t *testing.T, timeout decision.Millis) (*Client, chan call, chan decision.Event) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls, events := make(chan call, 100), make(chan decision.Event, 100)
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go readCalls(conn, calls)
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := New(listener.Addr().String(), timeout, func(event decision.Event) { events <- event }, log)
	client.heartbeat = 20 * time.Millisecond
	t.Cleanup(func() { closeQuietly(listener) })
	run(t, client)
	return client, calls, events
}

func readCalls(conn net.Conn, calls chan<- call) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		received := call{conn: conn, text: lines.Text()}
		_ = json.Unmarshal(lines.Bytes(), &received) // tests compare the text
		calls <- received
	}
	calls <- call{conn: conn, Method: "closed"}
}

// run runs a client until the test ends.
func run(t *testing.T, client *Client) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		client.Run(t.Context())
		close(ended)
	}()
	t.Cleanup(func() { <-ended })
}

// closeQuietly closes what a test no longer needs.
func closeQuietly(closer io.Closer) {
	_ = closer.Close() // the test is over, or has closed it before
}

// next returns the next call of a method; others are skipped.
func next(t *testing.T, calls chan call, method string) call {
	t.Helper()
	for {
		select {
		case received := <-calls:
			if received.Method == method {
				return received
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no %s came", method)
		}
	}
}

// wait returns the next event of the client.
func wait(t *testing.T, events chan decision.Event) decision.Event {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(5 * time.Second):
		t.Fatal("no event came")
		return nil
	}
}

// followed returns a connection on which the client has subscribed and received a stage.
func followed(t *testing.T, calls chan call, events chan decision.Event) call {
	t.Helper()
	follow := next(t, calls, "follow")
	follow.result("true")
	follow.send(`{"jsonrpc":"2.0","method":"stage","params":%s}`, stage)
	wait(t, events)
	return follow
}

// sendHeartbeats sends heartbeats on a connection until the test ends.
func sendHeartbeats(t *testing.T, conn call) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				conn.send(`{"jsonrpc":"2.0","method":"ping"}`)
			}
		}
	}()
}
