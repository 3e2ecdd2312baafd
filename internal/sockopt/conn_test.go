package sockopt

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"
)

// testHeadLines is the limit on lines of the connections under test.
const testHeadLines = 8

// connPair returns both sides of a connection.
func connPair(t *testing.T) (client *net.TCPConn, server *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server, err = NewConn(accepted.(*net.TCPConn), time.Second, testHeadLines)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(dialed); closeQuietly(server) })
	return dialed.(*net.TCPConn), server
}

// closeQuietly closes a side of a connection, which the test may have closed already.
func closeQuietly(c net.Conn) { _ = c.Close() }

// sendText sends a text. It ignores errors: if the other side is closed, the result of its Read shows that.
func sendText(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

// Read returns the same errors as net.TCPConn, and net.ErrClosed after the connection was closed as idle.
func TestReadEndsWithCause(t *testing.T) {
	for name, test := range map[string]struct {
		action   func(client *net.TCPConn, server *Conn)
		want     error
		received string
	}{
		"text":               {func(c *net.TCPConn, _ *Conn) { sendText(c, "hi") }, nil, "hi"},
		"closed by the peer": {func(c *net.TCPConn, _ *Conn) { closeQuietly(c) }, io.EOF, ""},
		"read deadline passed": {func(_ *net.TCPConn, s *Conn) {
			_ = s.SetReadDeadline(time.Now().Add(time.Millisecond)) // without a deadline, the test would hang
		}, os.ErrDeadlineExceeded, ""},
		"closed by this side": {func(_ *net.TCPConn, s *Conn) { closeQuietly(s) }, net.ErrClosed, ""},
		"closed as idle":      {func(_ *net.TCPConn, s *Conn) { s.CloseIfIdle() }, net.ErrClosed, ""},
		"closed as idle, input before the descriptor is closed": {func(c *net.TCPConn, s *Conn) {
			s.mu.Lock()
			s.closed = true
			s.mu.Unlock()
			sendText(c, "lost")
		}, net.ErrClosed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := connPair(t)
			go test.action(c, s)
			b := make([]byte, 10)
			n, err := s.Read(b)
			if string(b[:n]) != test.received || !errors.Is(err, test.want) {
				t.Errorf("Read: got %q, error %v, want %q, error %v", b[:n], err, test.received, test.want)
			}
		})
	}
}

// CloseIfIdle closes a connection only while its reader waits for a request and no request is unread or unanswered.
func TestCloseIfIdleOnlyWithoutRequest(t *testing.T) {
	client, server := connPair(t)
	sendText(client, "request")
	for IsIdle(server) {
		runtime.Gosched()
	}
	if server.CloseIfIdle() {
		t.Error("CloseIfIdle: closed with an unread request")
	}
	b := make([]byte, 10)
	if n, err := server.Read(b); n == 0 || err != nil {
		t.Fatalf("Read: got %d bytes, error %v, want a request", n, err)
	}
	if server.CloseIfIdle() {
		t.Error("CloseIfIdle: closed with a request that has no response")
	}
	server.MarkResponded()
	if server.CloseIfIdle() {
		t.Error("CloseIfIdle: closed before the reader waits again, although it may have buffered a further request")
	}
	read := make(chan error)
	go func() {
		_, err := server.Read(b)
		read <- err
	}()
	for !server.CloseIfIdle() {
		runtime.Gosched()
	}
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Read: got error %v, want %v", err, net.ErrClosed)
	}
}

// A reader that reads into a part of its buffer has the start of a further request in the rest of the buffer. Its
// connection is not closed as idle, however long the reader waits.
func TestPartlyReadRequestNotClosed(t *testing.T) {
	client, server := connPair(t)
	sendText(client, "request, and a part of the next one")
	buffer := make([]byte, 64)
	received, err := server.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	server.MarkResponded()
	read := make(chan int)
	go func() {
		n, _ := server.Read(buffer[received:])
		read <- n
	}()
	for stopAt := time.Now().Add(50 * time.Millisecond); time.Now().Before(stopAt); runtime.Gosched() {
		if server.CloseIfIdle() {
			t.Fatal("CloseIfIdle: closed while the reader has a part of a request")
		}
	}
	sendText(client, "the rest")
	if n := <-read; n != len("the rest") {
		t.Errorf("Read of the rest of the request: got %d bytes, want %d", n, len("the rest"))
	}
}

// If CloseIfIdle and a request race, the request is either read and the connection stays open, or it is not read at
// all.
func TestCloseIfIdleExcludesRead(t *testing.T) {
	var closedCount, readCount int
	for i := range 500 {
		client, server := connPair(t)
		go sendText(client, "request")
		read := make(chan int)
		go func() {
			n, _ := server.Read(make([]byte, 10))
			read <- n
		}()
		for range i % 20 {
			runtime.Gosched()
		}
		closed := server.CloseIfIdle()
		if !closed {
			readCount++
		} else {
			closedCount++
		}
		if n := <-read; closed != (n == 0) {
			t.Fatalf("CloseIfIdle and Read: got closed %v and %d bytes read, want either closed or read", closed, n)
		}
		closeQuietly(client)
		closeQuietly(server)
	}
	t.Logf("closed %d, read %d", closedCount, readCount)
}

// A read deadline ends the wait for bytes. It does not keep bytes from the reader that arrived before it was noticed, or a
// request would be lost if the process was held up meanwhile. Only a connection between two requests ends at its deadline:
// its client sends a request again that crosses the end.
func TestReadAfterDeadline(t *testing.T) {
	buffer := make([]byte, 64)
	for name, test := range map[string]struct {
		prepare func(t *testing.T, client net.Conn, server *Conn) // called before the client sends "late"
		want    error
	}{
		"first request": {func(*testing.T, net.Conn, *Conn) {}, nil},
		"rest of a request": {func(t *testing.T, client net.Conn, server *Conn) {
			t.Helper()
			readText(t, client, server, "part", buffer)
		}, nil},
		"between two requests": {func(t *testing.T, client net.Conn, server *Conn) {
			t.Helper()
			readText(t, client, server, "request", buffer)
			server.MarkResponded()
		}, os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connPair(t)
			test.prepare(t, client, server)
			sendText(client, "late")
			for IsIdle(server) {
				runtime.Gosched()
			}
			if err := server.SetReadDeadline(time.Unix(1, 0)); err != nil {
				t.Fatal(err)
			}
			n, err := server.Read(buffer)
			if received := string(buffer[:n]); !errors.Is(err, test.want) || (received == "late") != (err == nil) {
				t.Errorf("Read after the deadline: got %q, error %v, want error %v, and the text if there is none", received, err, test.want)
			}
			if n, err := server.Read(buffer); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("Read of nothing after the deadline: got %d bytes, error %v, want 0, %v", n, err, os.ErrDeadlineExceeded)
			}
		})
	}
}

// Once a read after the deadline has found nothing, further ones fail too, until a new deadline is set. A reader that took
// the rest of a line for another line would parse another request than the client has sent.
func TestReadFailsUntilNewDeadline(t *testing.T) {
	client, server := connPair(t)
	buffer := make([]byte, 64)
	readText(t, client, server, "X-Filler: a li", buffer)
	if err := server.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	for _, sent := range []string{"", "ne", ""} {
		sendText(client, sent)
		for sent != "" && IsIdle(server) {
			runtime.Gosched()
		}
		if n, err := server.Read(buffer); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("Read with %q sent after the deadline: got %d bytes, error %v, want 0, %v", sent, n, err, os.ErrDeadlineExceeded)
		}
	}
	if err := server.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if n, err := server.Read(buffer); string(buffer[:n]) != "ne" || err != nil {
		t.Errorf("Read with a new deadline: got %q, error %v, want \"ne\"", buffer[:n], err)
	}
}

// readText has the client send a text and the server read it.
func readText(t *testing.T, client net.Conn, server *Conn, text string, buffer []byte) {
	t.Helper()
	sendText(client, text)
	if n, err := server.Read(buffer); string(buffer[:n]) != text || err != nil {
		t.Fatalf("Read: got %q, error %v, want %q", buffer[:n], err, text)
	}
}
