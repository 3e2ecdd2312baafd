// Package socket has what the standard library's connections lack: a look at one without reading from it, and a
// connection that someone else than its reader may close as long as nothing was read.
package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Quiet tells whether a connection still stands and nothing has come on it.
func Quiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err == nil && quiet(raw)
}

func quiet(raw syscall.RawConn) (yes bool) {
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
	raw syscall.RawConn

	mu    sync.Mutex
	asked bool // something was read since Rest
	shut  bool // by CloseUnasked
}

// NewConn makes one of a connection that was accepted.
func NewConn(c *net.TCPConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	return &Conn{TCPConn: c, raw: raw}, err
}

// Read reads as the connection itself does.
func (c *Conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	var failed error
	err = c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.shut {
			failed = net.ErrClosed
			return true
		}
		for n, failed = syscall.Read(int(fd), p); errors.Is(failed, syscall.EINTR); {
			n, failed = syscall.Read(int(fd), p)
		}
		c.asked = c.asked || n > 0
		return !errors.Is(failed, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, os.NewSyscallError("read", failed)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Rest says that all that was asked is answered.
func (c *Conn) Rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = false
}

// Asked tells whether something was read since Rest.
func (c *Conn) Asked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

// CloseUnasked closes the connection unless something was asked and not answered, and tells whether it did.
func (c *Conn) CloseUnasked() bool {
	c.mu.Lock()
	c.shut = c.shut || !c.asked && quiet(c.raw)
	shut := c.shut
	c.mu.Unlock() // closing waits for the reader, who may wait here
	if shut {
		c.Close()
	}
	return shut
}
