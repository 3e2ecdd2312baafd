package sockopt

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Read reads like the Read method of [net.TCPConn], with these differences. It returns no bytes behind the head of a request
// together with that head, and fails with ErrTooManyLines if the head has too many lines. The first byte of each request
// after the first one sets the read deadline to headTimeout from now, unless the reader has already buffered a part of that
// request. And a deadline that passes within a request ends only the wait: Read still returns bytes that have arrived, until
// it finds none. They may have arrived in time, while the process was held up, and the request would be lost with them.
//
// A read of a single byte without a deadline returns no byte: it waits until the peer closes the connection. http.Server reads
// so while a request is served, to learn that its client has left. If it got the first byte of a further request, it would
// look no further, and the close behind that byte would not end the request.
//
// After CloseIfIdle or CloseIfIncomplete has closed the connection, the error wraps [net.ErrClosed]. Read may be called by one goroutine at a
// time.
func (c *Conn) Read(buffer []byte) (n int, err error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	if c.isWatchingRead(len(buffer)) {
		return 0, c.awaitClose()
	}
	c.setReading(true)
	defer c.setReading(false)
	var readErr error
	var requestStarts bool // a further request starts with this read
	tryRead := func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			readErr = net.ErrClosed
			return true
		}
		requestStarts = c.awaitsRequest(len(buffer)) || requestStarts
		n, readErr = c.readPart(int(fd), buffer)
		if n > 0 {
			if !c.pending {
				c.startAt = time.Now()
			}
			c.pending = true
			c.responded = false
		}
		return !errors.Is(readErr, syscall.EAGAIN)
	}
	err = c.raw.Read(tryRead)
	if errors.Is(err, os.ErrDeadlineExceeded) && !requestStarts && c.withinRequest(len(buffer)) && c.readArrived(tryRead) {
		err = nil
	}
	if err != nil {
		return 0, err
	}
	if err := readError(n, readErr); err != nil {
		return 0, err
	}
	if requestStarts {
		// Without a new deadline, the idle timeout could expire before the reader notices that a request has started.
		_ = c.SetReadDeadline(time.Now().Add(c.headTimeout)) // fails only on a closed connection
	}
	return n, nil
}

// readError returns the error of Read for the result of readPart.
func readError(n int, err error) error {
	var errno syscall.Errno
	switch {
	case errors.As(err, &errno):
		return os.NewSyscallError("read", err)
	case err == nil && n == 0:
		return io.EOF
	}
	return err
}

// setReading records whether Read is in progress for a request.
func (c *Conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// readPart reads what is there of a head or of a body; c.mu must be held. Bytes behind the head go back to those that were
// read ahead. The error is ErrTooManyLines, or that of readAvailable.
func (c *Conn) readPart(fd int, buffer []byte) (int, error) {
	if c.head.ended && c.bodyLeft > 0 {
		n, _, err := c.readAvailable(fd, buffer[:min(int64(len(buffer)), c.bodyLeft)])
		c.bodyLeft -= int64(max(n, 0))
		return n, err
	}
	if c.head.tooLong {
		return 0, ErrTooManyLines
	}
	n, arrivedAt, err := c.readAvailable(fd, buffer)
	if n <= 0 || c.head.ended {
		return n, err
	}
	c.headAt = arrivedAt
	inHead := c.head.scan(buffer[:n], c.headLines)
	c.ahead.putBack(buffer[inHead:n], arrivedAt)
	if inHead == 0 {
		return 0, ErrTooManyLines
	}
	return inHead, nil
}

// readAvailable reads what is there, first the bytes that were read ahead; c.mu must be held. The error is one of the socket,
// EAGAIN if nothing is there. arrivedAt is zero for the bytes of a body.
func (c *Conn) readAvailable(fd int, buffer []byte) (n int, arrivedAt time.Time, err error) {
	switch {
	case len(c.ahead.input) > 0:
		n, arrivedAt = c.ahead.take(buffer)
		return n, arrivedAt, nil
	case c.ended != nil:
		return 0, time.Time{}, c.ended
	}
	n, err = readFD(fd, buffer)
	if n <= 0 || c.head.ended {
		return n, time.Time{}, err
	}
	return n, c.arrivedAt(fd), err
}

// arrivedAt returns when the newest input arrived. A client sends a request after it has the response to the one before, so input
// that arrived earlier counts from the write of that. The time must be of the write's beginning: after it the process may be held
// up while the client sends. c.mu must be held.
func (c *Conn) arrivedAt(fd int) time.Time { return later(arrivalTime(fd, time.Now()), c.writtenAt) }

// isWatchingRead reports whether a read of readSize bytes is one by which http.Server waits for the end of the connection.
// While it reads a request, there is always a deadline.
func (c *Conn) isWatchingRead(readSize int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return readSize == 1 && !c.deadline
}

// awaitsRequest reports whether the reader waits for the next request and has buffered nothing of it, given the size of
// the slice that it reads into. In this case no request is pending. c.mu must be held. The reader reads ahead: its
// buffer is empty only if it reads into the whole buffer.
func (c *Conn) awaitsRequest(readSize int) bool {
	c.bufferSize = cmp.Or(c.bufferSize, readSize)
	if !c.responded || readSize < c.bufferSize {
		return false
	}
	c.pending = false
	c.responded = false
	c.accepted = false
	c.head, c.bodyLeft = headScanner{}, 0
	return true
}

// readArrived calls tryRead after the read deadline and reports whether it has read. Once it has not, it returns false until
// a new deadline is set: bufio.Reader.ReadLine hides the error of a read that breaks a line off, and a later read that
// succeeded would add the rest of that line as another one.
func (c *Conn) readArrived(tryRead func(fd uintptr) bool) bool {
	c.mu.Lock()
	timedOut := c.timedOut
	c.mu.Unlock()
	arrived := false
	if !timedOut {
		err := c.raw.Control(func(fd uintptr) { arrived = tryRead(fd) })
		arrived = arrived && err == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timedOut = !arrived
	return arrived
}

// SetReadDeadline sets the time from which Read does not wait any more.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.timedOut = false
	c.deadline = !deadline.IsZero()
	c.mu.Unlock()
	err := c.TCPConn.SetReadDeadline(deadline)
	if !deadline.IsZero() {
		select {
		case c.deadlineSet <- struct{}{}:
		default:
		}
	}
	return err
}

// withinRequest reports whether a read of readSize bytes is for a request that may be partly on the connection: the first
// one, or one of which a part was read. A read of a single byte is none: http.Server reads so while a request is served,
// and sets a deadline in the past to interrupt it.
func (c *Conn) withinRequest(readSize int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.responded && readSize > 1
}

// readFD calls read(2) and repeats it if a signal interrupts it.
func readFD(fd int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buffer)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}
