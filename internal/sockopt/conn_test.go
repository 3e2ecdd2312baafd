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

// pair makes both sides of a connection.
func pair(t *testing.T) (client *net.TCPConn, server *Conn) {
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
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server, err = NewConn(s.(*net.TCPConn), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { end(c); end(server) })
	return c.(*net.TCPConn), server
}

// end closes a side of a connection, which a test may have closed before.
func end(c net.Conn) { _ = c.Close() }

// send sends bytes; where the other side has closed by then, its reader gets none of them.
func send(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

// Read ends as the connection's own does, and with net.ErrClosed where the connection was closed as idle.
func TestRead(t *testing.T) {
	for name, test := range map[string]struct {
		do   func(client *net.TCPConn, server *Conn)
		want error
		text string
	}{
		"text": {func(c *net.TCPConn, _ *Conn) { send(c, "hi") }, nil, "hi"},
		"end":  {func(c *net.TCPConn, _ *Conn) { end(c) }, io.EOF, ""},
		"late": {func(_ *net.TCPConn, s *Conn) {
			_ = s.SetReadDeadline(time.Now().Add(time.Millisecond)) // the read that never ends fails the test
		}, os.ErrDeadlineExceeded, ""},
		"closed": {func(_ *net.TCPConn, s *Conn) { end(s) }, net.ErrClosed, ""},
		"idle":   {func(_ *net.TCPConn, s *Conn) { s.CloseIfIdle() }, net.ErrClosed, ""},
		"idle, bytes come before its descriptor is closed": {func(c *net.TCPConn, s *Conn) {
			s.mu.Lock()
			s.closed = true
			s.mu.Unlock()
			send(c, "lost")
		}, net.ErrClosed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := pair(t)
			go test.do(c, s)
			b := make([]byte, 10)
			n, err := s.Read(b)
			if string(b[:n]) != test.text || !errors.Is(err, test.want) {
				t.Errorf("read %q, %v", b[:n], err)
			}
		})
	}
}

// A connection is closed as idle only while its reader waits and nothing has come that has no response.
func TestCloseIfIdle(t *testing.T) {
	client, server := pair(t)
	send(client, "request")
	for IsIdle(server) {
		runtime.Gosched()
	}
	if server.CloseIfIdle() {
		t.Error("closed with a request that waits")
	}
	b := make([]byte, 10)
	if n, err := server.Read(b); n == 0 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if server.CloseIfIdle() {
		t.Error("closed with a request that was read")
	}
	server.MarkResponded()
	if server.CloseIfIdle() {
		t.Error("closed before its reader waits again, who may hold a further request")
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
		t.Errorf("the reader ends with %v", err)
	}
}

// A reader that reads into a part of its buffer holds the start of a further request in the rest of it: its connection
// is not closed as idle, however long it waits.
func TestCloseIfIdleWithPartHeld(t *testing.T) {
	client, server := pair(t)
	send(client, "request, and a part of the next one")
	buffer := make([]byte, 64)
	held, err := server.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	server.MarkResponded()
	read := make(chan int)
	go func() {
		n, _ := server.Read(buffer[held:])
		read <- n
	}()
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); runtime.Gosched() {
		if server.CloseIfIdle() {
			t.Fatal("closed while its reader holds a part of a request")
		}
	}
	send(client, "the rest")
	if n := <-read; n != len("the rest") {
		t.Errorf("read %d bytes of the rest", n)
	}
}

// Whoever is first, a request is either read to its end on a connection that stays, or not read at all.
func TestRace(t *testing.T) {
	both := [2]int{}
	for i := range 500 {
		client, server := pair(t)
		go send(client, "request")
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
			both[1]++
		} else {
			both[0]++
		}
		if n := <-read; closed != (n == 0) {
			t.Fatalf("closed %v after %d bytes were read", closed, n)
		}
		end(client)
		end(server)
	}
	t.Logf("closed %d, read %d", both[0], both[1])
}
