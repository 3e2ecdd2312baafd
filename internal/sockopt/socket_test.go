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

func pair(t *testing.T) (client *net.TCPConn, server *Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
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
	t.Cleanup(func() { c.Close(); server.Close() })
	return c.(*net.TCPConn), server
}

func TestRead(t *testing.T) {
	for name, tc := range map[string]struct {
		do   func(client *net.TCPConn, server *Conn)
		want error
		text string
	}{
		"text":    {func(c *net.TCPConn, _ *Conn) { c.Write([]byte("hi")) }, nil, "hi"},
		"end":     {func(c *net.TCPConn, _ *Conn) { c.Close() }, io.EOF, ""},
		"late":    {func(_ *net.TCPConn, s *Conn) { s.SetReadDeadline(time.Now().Add(time.Millisecond)) }, os.ErrDeadlineExceeded, ""},
		"closed":  {func(_ *net.TCPConn, s *Conn) { s.Close() }, net.ErrClosed, ""},
		"unasked": {func(_ *net.TCPConn, s *Conn) { s.CloseIfIdle() }, net.ErrClosed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := pair(t)
			go tc.do(c, s)
			b := make([]byte, 10)
			n, err := s.Read(b)
			if string(b[:n]) != tc.text || !errors.Is(err, tc.want) {
				t.Errorf("read %q, %v", b[:n], err)
			}
		})
	}
}

func TestCloseUnasked(t *testing.T) {
	c, s := pair(t)
	c.Write([]byte("hit"))
	for IsIdle(s) {
	}
	if s.CloseIfIdle() {
		t.Error("closed with a hit that waits")
	}
	b := make([]byte, 10)
	s.Read(b)
	if s.CloseIfIdle() {
		t.Error("closed with a hit that was read")
	}
	if s.MarkResponded(); s.CloseIfIdle() {
		t.Error("closed before its reader waits again, who may hold a further hit")
	}
	read := make(chan error)
	go func() {
		_, err := s.Read(b)
		read <- err
	}()
	for !s.CloseIfIdle() {
		runtime.Gosched()
	}
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the reader ends with %v", err)
	}
}

// Whoever is first, a request is either read whole on a connection that stays, or not read at all.
func TestRace(t *testing.T) {
	both := [2]int{}
	for i := range 500 {
		c, s := pair(t)
		go c.Write([]byte("hit"))
		read := make(chan int)
		go func() {
			n, _ := s.Read(make([]byte, 10))
			read <- n
		}()
		for range i % 20 {
			runtime.Gosched()
		}
		closed := s.CloseIfIdle()
		if !closed {
			both[1]++
		} else {
			both[0]++
		}
		if n := <-read; closed != (n == 0) {
			t.Fatalf("closed %v after %d bytes were read", closed, n)
		}
		c.Close()
		s.Close()
	}
	t.Logf("closed %d, read %d", both[0], both[1])
}
