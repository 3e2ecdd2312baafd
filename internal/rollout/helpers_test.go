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

const stageJSON = `{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}`

// call is a line that a fake rollout controller has read, with its connection.
type call struct {
	conn   net.Conn
	ID     int
	text   string
	Method string
}

// send sends a line to the client.
func (c call) send(format string, args ...any) {
	_, _ = fmt.Fprintf(c.conn, format+"\n", args...) // the client may have closed the connection
}

// respond sends a response with a result.
func (c call) respond(result string) { c.send(`{"jsonrpc":"2.0","id":%d,"result":%s}`, c.ID, result) }

// startClient starts a client and a fake rollout controller that sends nothing by itself.
func startClient(t *testing.T) (*Client, chan call, chan decision.Event) {
	t.Helper()
	return startClientWithTimeout(t, 100)
}

// startClientWithTimeout is startClient with a given vote timeout, in milliseconds.
func startClientWithTimeout(t *testing.T, timeout decision.Millis) (*Client, chan call, chan decision.Event) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen as the rollout controller: %v", err)
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
	runClient(t, client)
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

// runClient runs a client until the test ends.
func runClient(t *testing.T, client *Client) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		client.Run(t.Context())
		close(ended)
	}()
	t.Cleanup(func() { <-ended })
}

// closeQuietly closes a listener or connection and ignores the error.
func closeQuietly(closer io.Closer) {
	_ = closer.Close() // it may be closed already
}

// nextCall returns the next call of a method and skips others.
func nextCall(t *testing.T, calls chan call, method string) call {
	t.Helper()
	for {
		select {
		case received := <-calls:
			if received.Method == method {
				return received
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("got no %s call from the client within 5s, want one", method)
		}
	}
}

// nextEvent returns the next event that the client passes on.
func nextEvent(t *testing.T, events chan decision.Event) decision.Event {
	t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(5 * time.Second):
		t.Fatal("got no event from the client within 5s, want one")
		return nil
	}
}

// awaitSubscription accepts the client's next follow call, sends a stage on its connection, and returns the call once
// the client has passed the stage on.
func awaitSubscription(t *testing.T, calls chan call, events chan decision.Event) call {
	t.Helper()
	follow := nextCall(t, calls, "follow")
	follow.respond("true")
	follow.send(`{"jsonrpc":"2.0","method":"stage","params":%s}`, stageJSON)
	nextEvent(t, events)
	return follow
}

// sendHeartbeats sends heartbeats on a call's connection until the test ends.
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
