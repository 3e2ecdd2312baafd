package sockopt

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerState tells whether the peer of a connection has closed it.
type PeerState int

// watchPause is the time from one look at further input of a peer to the next, while Read waits for the end of the connection. A
// lower value shows the end behind that input earlier, and lets a peer that sends without pause use more processor time.
const watchPause = 20 * time.Millisecond

// The states of a peer.
const (
	// PeerOpen: the peer has not closed the connection.
	PeerOpen PeerState = iota
	// PeerClosed: the peer has closed or reset the connection, or has shut down its sending side.
	PeerClosed
	// PeerUnknown: there is so much unread input that the end of the connection may be behind it.
	PeerUnknown
)

// Peer returns the state of the connection's peer. It sees the end of the connection behind unread input, by reading the input
// ahead. A look at the socket alone does not suffice: the peer's end is sent only after all its bytes, and these wait at the
// peer while the receive window is closed. Peer does not wait, and may be called from any goroutine. A connection that this
// side has closed counts as closed by the peer.
func (c *Conn) Peer() PeerState {
	state := PeerClosed
	_ = c.raw.Control(func(fd uintptr) { state = c.inspectPeer(int(fd)) }) // an error means that this side has closed it
	return state
}

// inspectPeer returns the state of the peer. It reads ahead unless a Read is in progress: that Read waits for input, and
// would not be woken for bytes that were taken from the socket meanwhile.
func (c *Conn) inspectPeer(descriptor int) PeerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ended != nil {
		return PeerClosed
	}
	for !c.reading && !c.ahead.full() {
		n, err := c.readAheadOnce(descriptor)
		switch {
		case n > 0:
			continue
		case errors.Is(err, syscall.EAGAIN):
			return PeerOpen
		}
		c.end(err)
		return PeerClosed
	}
	return socketState(descriptor)
}

// readAheadOnce reads ahead some of what is there. c.mu must be held.
func (c *Conn) readAheadOnce(descriptor int) (n int, err error) {
	if len(c.ahead.input) == 0 {
		if n, err = peekByte(descriptor); n <= 0 {
			return n, err // no memory is needed
		}
	}
	if n, err = readFD(descriptor, c.ahead.spare()); n > 0 {
		c.ahead.commit(n, c.arrivedAt(descriptor))
	}
	return n, err
}

// HasInput reports whether there is further input that Read has not returned, in the socket or read ahead.
func (c *Conn) HasInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead.input) > 0 || c.ended == nil && hasUnread(c.raw)
}

// hasUnread reports whether the socket has unread input.
func hasUnread(raw syscall.RawConn) bool {
	unread := false
	err := raw.Control(func(fd uintptr) {
		n, _ := peekByte(int(fd))
		unread = n > 0
	})
	return unread && err == nil
}

// end records that no input follows, and discards the requests that were read ahead. err is nil for the end of the input.
func (c *Conn) end(err error) {
	c.ended = err
	if err == nil {
		c.ended = io.EOF
	}
	c.ahead = readAhead{}
}

// socketState returns what the socket shows of its peer without reading.
func socketState(fd int) PeerState {
	n, err := peekByte(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return PeerOpen
	case err != nil, n == 0, hungUp(fd):
		return PeerClosed
	}
	return PeerUnknown
}

// peekByte receives a byte and leaves it in the socket. It repeats the call if a signal interrupts it. Zero bytes without an
// error mean that the peer has shut down its sending side and all input was read.
func peekByte(fd int) (n int, err error) {
	for {
		var peeked [1]byte
		n, _, err = syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// hungUp reports whether poll(2) shows the end of the connection or an error, possibly behind unread input. If poll fails, it
// shows nothing.
func hungUp(fd int) bool {
	ended, err := pollNow(fd, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
	return ended && err == nil
}

// awaitClose waits until the peer has closed the connection, and returns io.EOF then. The bytes of a further request do not
// end the wait; they are read ahead. It returns early at the read deadline, or if this side closes the connection.
func (c *Conn) awaitClose() error {
	select {
	case <-c.deadlineSet: // of the request that was read
	default:
	}
	for {
		closed, err := c.awaitInput()
		if err != nil {
			return err
		}
		if closed {
			break
		}
		c.pauseWatch()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return io.EOF
}

// awaitInput waits for input or the end of the connection. It reports whether the peer has closed the connection.
func (c *Conn) awaitInput() (closed bool, err error) {
	inspections := 0
	err = c.raw.Read(func(fd uintptr) bool {
		inspections++
		closed = c.inspectPeer(int(fd)) == PeerClosed
		return closed || inspections > 1
	})
	return closed, err
}

// pauseWatch waits for watchPause, or until a read deadline is set.
func (c *Conn) pauseWatch() {
	pause := time.NewTimer(watchPause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-c.deadlineSet:
	}
}
