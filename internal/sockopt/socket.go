// Package socket has what the standard library's connections lack: a look at one without reading from it, and a
// connection that someone else than its reader may close as long as nothing was read.
package sockopt

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Quiet tells whether a connection still stands and nothing has come on it.
func IsIdle(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err == nil && isIdle(raw)
}

func isIdle(raw syscall.RawConn) (yes bool) {
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		yes = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && yes
}

// Conn is a connection on which a client asks. Danger: between a look at the socket and its closing, its reader may
// take a request out, which is lost then. So reading and closing exclude each other here.
type Conn struct {
	*net.TCPConn
	raw         syscall.RawConn
	headTimeout time.Duration // from the first byte of a further request on

	mu         sync.Mutex
	pending    bool // something was read and isn't answered
	responded  bool // by Answered; what the reader holds may be a part of the next request
	bufferSize int  // length of the reader's buffer, by its first read
	closed     bool // by CloseUnasked
}

// NewConn makes one of a connection that was accepted, with the time that the head of a further request may take.
func NewConn(c *net.TCPConn, forHead time.Duration) (*Conn, error) {
	raw, err := c.SyscallConn()
	return &Conn{TCPConn: c, raw: raw, headTimeout: forHead}, err
}

// Read reads as the connection itself does.
func (c *Conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	var failed error
	var begins bool // the next request
	err = c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			failed = net.ErrClosed
			return true
		}
		// The reader reads ahead: only one that reads into its whole buffer holds nothing of a further request.
		c.bufferSize = cmp.Or(c.bufferSize, len(p))
		if c.responded && len(p) >= c.bufferSize {
			c.pending, c.responded, begins = false, false, true
		}
		for n, failed = syscall.Read(int(fd), p); errors.Is(failed, syscall.EINTR); {
			n, failed = syscall.Read(int(fd), p)
		}
		if n > 0 {
			c.pending, c.responded = true, false
		}
		return !errors.Is(failed, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, os.NewSyscallError("read", failed)
	case n == 0:
		return 0, io.EOF
	case begins:
		// The time of an idle connection may be over before the reader knows that a request has begun.
		c.SetReadDeadline(time.Now().Add(c.headTimeout))
	}
	return n, nil
}

// Answered says that a request is answered; the connection is at rest once its reader waits and holds nothing further.
func (c *Conn) MarkResponded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = true
}

// Asked tells whether something was read and not answered.
func (c *Conn) RequestPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// CloseUnasked closes the connection unless something was asked and not answered, and tells whether it did.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	c.closed = c.closed || !c.pending && isIdle(c.raw)
	closed := c.closed
	c.mu.Unlock() // closing waits for the reader, who may wait here
	if closed {
		c.Close()
	}
	return closed
}
