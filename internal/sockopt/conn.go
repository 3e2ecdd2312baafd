package sockopt

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection. Its reader could receive a request after another goroutine has checked the socket for
// input and before that goroutine closes it, and the request would be lost. So reading and CloseIfIdle exclude each
// other.
type Conn struct {
	*net.TCPConn
	raw         syscall.RawConn
	headTimeout time.Duration // see NewConn
	headLines   int           // see NewConn
	deadlineSet chan struct{} // signals a read deadline to pauseWatch; holds at most one signal

	beforeRefusal func() // see DelayRefusals; set before the first read

	mu         sync.Mutex
	accepted   bool // see AcceptRequest
	pending    bool // at least a part of a request was read, and the request has no response yet
	responded  bool // set by MarkResponded; the reader may have buffered a part of the next request
	bufferSize int  // size of the reader's buffer in bytes, from its first read; 0: unknown
	closed     bool // set by CloseIfIdle and CloseIfIncomplete
	timedOut   bool // a read after the deadline has found nothing; reset by SetReadDeadline
	deadline   bool // a read deadline is set

	reading bool      // Read is in progress for a request, and not only to wait for the end of the connection
	ahead   readAhead // input that Read has not returned yet
	ended   error     // io.EOF, or the error of the socket, that Peer has found instead of further input

	head      headScanner // the head of the current request
	bodyLeft  int64       // see ExpectBody
	headAt    time.Time   // when the newest bytes of the head arrived
	startAt   time.Time   // when the first bytes of the current request were read
	writtenAt time.Time   // when the newest write to the peer began; zero before the first
}

// NewConn wraps an accepted connection. headTimeout limits the time from the first byte of a request to the end of its
// header, from the second request of the connection on. A higher value lets a client that stops within a header keep
// its connection longer. headLines limits the lines of a request's head, the request line included. A higher value lets a
// client use more memory, since each header field takes much more of it than its bytes. The error is that of SyscallConn.
func NewConn(c *net.TCPConn, headTimeout time.Duration, headLines int) (*Conn, error) {
	raw, err := c.SyscallConn()
	return &Conn{TCPConn: c, raw: raw, headTimeout: headTimeout, headLines: headLines, deadlineSet: make(chan struct{}, 1)}, err
}

// ExpectBody announces that a body of this length follows the head that was read. Its reader calls it before it reads the
// body. Without the length, bytes of the next head could be read with those of the body, and their lines not be counted.
func (c *Conn) ExpectBody(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = length
}

// DelayRefusals makes Write call wait before what http.Server writes by itself, without a handler: the error response to a request
// that it can't parse. It must be called before the first read.
func (c *Conn) DelayRefusals(wait func()) { c.beforeRefusal = wait }

// AcceptRequest records that the current request has reached its handler.
func (c *Conn) AcceptRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = true
}

// Write writes like the Write method of [net.TCPConn]. See DelayRefusals for the exception.
func (c *Conn) Write(text []byte) (int, error) {
	c.mu.Lock()
	accepted := c.accepted
	c.mu.Unlock()
	if !accepted && c.beforeRefusal != nil {
		c.beforeRefusal()
	}
	c.mu.Lock()
	c.writtenAt = time.Now()
	c.mu.Unlock()
	return c.TCPConn.Write(text)
}

// HeadArrivedAt returns when the end of the current request's head arrived. It may have lain in the socket, or have been read ahead
// while an earlier request was served. If the client has sent more since, the time may be later, but no later than the read.
func (c *Conn) HeadArrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headAt
}

// MarkResponded records that the current request has its response. The connection becomes idle when its reader waits
// for the next request and has buffered nothing of it.
func (c *Conn) MarkResponded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = true
}

// RequestPending reports whether at least a part of a request was read that has no response yet.
func (c *Conn) RequestPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// CloseIfIdle closes the connection if no request is pending and the socket has neither unread input nor an end of file
// or error, of which the reader learns by itself. It returns true if this call or an earlier one has closed the
// connection. It may be called from any goroutine.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	c.closed = c.closed || !c.pending && len(c.ahead.input) == 0 && isIdle(c.raw)
	closed := c.closed
	c.mu.Unlock() // Close waits for the reader, which may wait for the lock
	if closed {
		_ = c.Close() // a second Close fails; the reader gets net.ErrClosed in any case
	}
	return closed
}

// IncompleteSince returns when the first bytes of a request were read whose rest the reader waits for. It returns false if
// there is no such request.
func (c *Conn) IncompleteSince() (since time.Time, incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startAt, c.awaitsRest()
}

// awaitsRest reports whether the reader waits for the rest of a request. c.mu must be held.
func (c *Conn) awaitsRest() bool { return c.reading && c.pending && !c.closed }

// CloseIfIncomplete closes the connection if its reader waits for the rest of a request, and the socket has neither unread input
// nor an end of file or error. It reports whether it has closed the connection. It may be called from any goroutine.
func (c *Conn) CloseIfIncomplete() bool {
	c.mu.Lock()
	closes := c.awaitsRest() && len(c.ahead.input) == 0 && isIdle(c.raw)
	c.closed = c.closed || closes
	c.mu.Unlock() // Close waits for the reader, which may wait for the lock
	if closes {
		_ = c.Close() // the reader gets net.ErrClosed in any case
	}
	return closes
}
