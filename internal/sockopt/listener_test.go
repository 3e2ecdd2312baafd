package sockopt

import (
	"errors"
	"net"
	"runtime"
	"testing"
	"time"
)

// HasQueuedConnection is true from a client's connect until the connection is accepted, whatever the deadline of the
// listener, and an error once the listener is closed.
func TestHasQueuedConnection(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := raw.(*net.TCPListener)
	check := func(when string, want bool) {
		t.Helper()
		if queued, err := HasQueuedConnection(listener); queued != want || err != nil {
			t.Errorf("%s: got %v, error %v, want %v, no error", when, queued, err, want)
		}
	}
	check("before a connect", false)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(client)
	for stopAt := time.Now().Add(5 * time.Second); time.Now().Before(stopAt); runtime.Gosched() {
		if queued, _ := HasQueuedConnection(listener); queued {
			break // the handshake may end on this side a moment after Dial
		}
	}
	check("after a connect", true)
	if err := listener.SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	check("with an expired deadline", true)
	if err := listener.SetDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(accepted)
	check("after Accept", false)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if queued, err := HasQueuedConnection(listener); queued || !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: got %v, error %v, want false, %v", queued, err, net.ErrClosed)
	}
}
