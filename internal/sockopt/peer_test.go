package sockopt

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// resetQuietly closes a connection with a reset.
func resetQuietly(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	closeQuietly(c)
}

// awaitPeer waits until a connection's peer is in a state.
func awaitPeer(t *testing.T, when string, server *Conn, want PeerState) {
	t.Helper()
	for stopAt := time.Now().Add(5 * time.Second); server.Peer() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(stopAt) {
			t.Fatalf("%s: got peer state %d, want %d", when, server.Peer(), want)
		}
	}
}

// Peer sees a close or reset behind unread input, and does not take input for a close. Guards against requests that are
// sent on although their client has left.
func TestPeerSeesCloseBehindUnreadInput(t *testing.T) {
	for name, unread := range map[string]string{
		"nothing unread": "", "a byte unread": "x", "as much unread as is read ahead": strings.Repeat("x", maxReadAhead),
	} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closed":    func(c *net.TCPConn) { closeQuietly(c) },
			"reset":     resetQuietly,
			"shut down": func(c *net.TCPConn) { _ = c.CloseWrite() }, // fails only on a closed connection
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				client, server := connPair(t)
				sendText(client, unread)
				awaitPeer(t, "before the close", server, PeerOpen)
				leave(client)
				awaitPeer(t, "after the close", server, PeerClosed)
			})
		}
	}
}

// With more unread input, the end of the connection may not arrive: the state is unknown until input is read.
func TestPeerIsUnknownBehindMuchInput(t *testing.T) {
	client, server := connPair(t)
	sendText(client, strings.Repeat("x", maxReadAhead+1))
	awaitPeer(t, "with much unread input", server, PeerUnknown)
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second)) // as http.Server does while it reads a request
	if _, err := io.ReadFull(server, make([]byte, maxReadAhead+1)); err != nil {
		t.Fatal(err)
	}
	awaitPeer(t, "after reading", server, PeerOpen)
	closeQuietly(server)
	awaitPeer(t, "closed by this side", server, PeerClosed)
}

// A client that has sent more than the sockets hold closes its connection. The state is unknown until the end is in sight,
// and never open in between.
func TestPeerIsNeverOpenAfterCloseBehindFullWindow(t *testing.T) {
	client, server := connPair(t)
	sent := 0
	for chunk := strings.Repeat("x", 64<<10); ; {
		_ = client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // fails only on a closed connection
		n, err := io.WriteString(client, chunk)
		if sent += n; err != nil {
			break
		}
	}
	closeQuietly(client)
	buffer := make([]byte, 4<<10)
	state, read := server.Peer(), 0
	for ; state == PeerUnknown; state = server.Peer() {
		n, err := server.Read(buffer)
		if read += n; err != nil {
			t.Fatal(err)
		}
	}
	if state != PeerClosed || read < sent/2 {
		t.Errorf("after %d bytes of %d: got state %d, want it unknown at first and then %d, never open", read, sent, state, PeerClosed)
	}
}

// A read of a single byte without a deadline, by which http.Server watches for the end of a connection, ends with the close
// and not with further input, which the next read gets whole.
func TestWatchingReadEndsWithCloseOnly(t *testing.T) {
	client, server := connPair(t)
	watched := make(chan error, 1)
	watch := func() {
		n, err := server.Read(make([]byte, 1))
		if n != 0 {
			t.Errorf("watching read: got %d bytes, want none", n)
		}
		watched <- err
	}
	go watch()
	sendText(client, "next request")
	awaitPeer(t, "with a further request", server, PeerOpen)
	select {
	case err := <-watched:
		t.Fatalf("watching read: ended with %v while the client waits", err)
	case <-time.After(20 * time.Millisecond):
	}
	_ = server.SetReadDeadline(time.Unix(1, 0)) // as http.Server does after the response
	if err := <-watched; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("watching read: got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
	buffer := make([]byte, 64)
	if n, err := server.Read(buffer); string(buffer[:n]) != "next request" || err != nil {
		t.Errorf("read after the watching read: got %q, error %v, want the whole request", buffer[:n], err)
	}
	_ = server.SetReadDeadline(time.Time{}) // fails only on a closed connection
	sendText(client, "unread")
	go watch()
	closeQuietly(client)
	if err := <-watched; !errors.Is(err, io.EOF) {
		t.Errorf("watching read: got error %v, want %v", err, io.EOF)
	}
}

// A connection that this side closes as idle ends a watching read.
func TestWatchingReadEndsWithOwnClose(t *testing.T) {
	_, server := connPair(t)
	watched := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		watched <- err
	}()
	if !server.CloseIfIdle() {
		t.Error("CloseIfIdle: not closed, want closed")
	}
	if err := <-watched; !errors.Is(err, net.ErrClosed) {
		t.Errorf("watching read: got error %v, want %v", err, net.ErrClosed)
	}
}

// countingRaw counts how often Read inspects a socket.
type countingRaw struct {
	syscall.RawConn
	inspections atomic.Int64
}

// Read counts the calls of inspect.
func (c *countingRaw) Read(inspect func(fd uintptr) bool) error {
	return c.RawConn.Read(func(fd uintptr) bool {
		c.inspections.Add(1)
		return inspect(fd)
	})
}

// watch starts the read by which http.Server waits for the end of a connection. It returns the channel with its error.
func watch(server *Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 1))
		ended <- err
	}()
	return ended
}

// Guards against a peer that sends without pause and takes the processor by it, while its request waits: each of its bytes woke
// the read that waits for the end of the connection. The end itself is still seen in time.
func TestInputDoesNotWakeWatchAtFullSpeed(t *testing.T) {
	const sendTime = 10 * watchPause
	client, server := connPair(t)
	raw := &countingRaw{RawConn: server.raw}
	server.raw = raw
	ended := watch(server)
	began := time.Now()
	sent := 0
	for ; time.Since(began) < sendTime; sent++ {
		sendText(client, "x")
		time.Sleep(watchPause / 100)
	}
	closeQuietly(client)
	closedAt := time.Now()
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("error: got %v, want %v", err, io.EOF)
	}
	if seen := time.Since(closedAt); seen > departureLimit {
		t.Errorf("end of the connection: seen after %v, want at most %v", seen, departureLimit)
	}
	// Two inspections after each pause, and two at the start.
	if inspections, most := raw.inspections.Load(), 2+2*int64(time.Since(began)/watchPause+1); inspections > most {
		t.Errorf("%d bytes in %v: got %d inspections of the socket, want at most %d", sent, time.Since(began), inspections, most)
	}
}

// departureLimit is the time within which the end of a connection must be known.
const departureLimit = 100 * time.Millisecond

// Guards against a request that waits for the pause of the read before it: http.Server ends that read by a deadline.
func TestDeadlineEndsPauseOfWatch(t *testing.T) {
	client, server := connPair(t)
	for range 20 {
		ended := watch(server)
		sendText(client, "x")
		time.Sleep(watchPause / 10)
		began := time.Now()
		_ = server.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("error: got %v, want %v", err, os.ErrDeadlineExceeded)
		}
		_ = server.SetReadDeadline(time.Time{})
		if took := time.Since(began); took < watchPause/2 {
			return
		}
	}
	t.Errorf("read: ended more than %v after its deadline each time, want it to end at once", watchPause/2)
}
