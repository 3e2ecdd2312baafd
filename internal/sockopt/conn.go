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

// Conn is a connection that carries the requests of a client. Between a look at the socket and its closing, the reader
// may take a request out, which would be lost then. So reading and closing exclude each other here.
type Conn struct {
	*net.TCPConn
	raw         syscall.RawConn
	headTimeout time.Duration // for the head of a further request, from its first byte on

	mu         sync.Mutex
	pending    bool // something was read and has no response
	responded  bool // by MarkResponded; what the reader holds may be a part of the next request
	bufferSize int  // bytes of the reader's buffer, by its first read; 0: not known yet
	closed     bool // by CloseIfIdle
}

// NewConn wraps a connection that was accepted. headTimeout is the time that the head of a further request may take; a
// higher value lets a client that stops halfway keep its connection for longer.
func NewConn(c *net.TCPConn, headTimeout time.Duration) (*Conn, error) {
	raw, err := c.SyscallConn()
	return &Conn{TCPConn: c, raw: raw, headTimeout: headTimeout}, err
}

// Read reads as the connection itself does.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	if len(buffer) == 0 {
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
		begins = c.readerWaits(len(buffer)) || begins
		n, failed = readFD(int(fd), buffer)
		if n > 0 {
			c.pending = true
			c.responded = false
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
		_ = c.SetReadDeadline(time.Now().Add(c.headTimeout)) // fails on a connection that has ended only
	}
	return n, nil
}

// readerWaits tells whether the reader waits for the next request and holds nothing of it; the lock is held. The reader
// reads ahead: only one that reads into its whole buffer holds no bytes.
func (c *Conn) readerWaits(size int) bool {
	c.bufferSize = cmp.Or(c.bufferSize, size)
	if !c.responded || size < c.bufferSize {
		return false
	}
	c.pending = false
	c.responded = false
	return true
}

// readFD is the system call, made again where a signal interrupts it.
func readFD(fd int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buffer)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// MarkResponded says that a request has its response. The connection is idle once its reader waits and holds nothing of
// a further request.
func (c *Conn) MarkResponded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = true
}

// RequestPending tells whether something was read that has no response.
func (c *Conn) RequestPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// CloseIfIdle closes the connection unless something has come that has no response, and tells whether it did.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	c.closed = c.closed || !c.pending && isIdle(c.raw)
	closed := c.closed
	c.mu.Unlock() // closing waits for the reader, who may wait for the lock
	if closed {
		_ = c.Close() // the second one fails, and the reader has net.ErrClosed in any case
	}
	return closed
}
