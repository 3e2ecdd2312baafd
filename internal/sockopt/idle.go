// Package sockopt adds four operations to the connections and listeners of package net: checking a connection for input
// without reading from it, seeing that its peer has closed it behind unread input, checking the accept queue of a listener
// without accepting, and closing a client's connection from another goroutine than its reader if no whole request is there.
//
// [IsIdle] checks idle connections to endpoints. [HasQueuedConnection] checks a listener. [NewConn] wraps an accepted
// connection. Its server calls [Conn.MarkResponded] after each response, and a goroutine that needs the descriptor calls
// [Conn.CloseIfIdle] or [Conn.CloseIfIncomplete]. [Conn.Peer] tells whether the client has left.
//
// # Files
//
//	idle.go      IsIdle
//	listener.go  HasQueuedConnection
//	conn.go      Conn: a client's connection, and closing it
//	read.go      reading from a Conn
//	arrival.go   when input arrived
//	ahead.go     input that is read before its reader asks for it
//	peer.go      whether the peer of a Conn has closed it
//	head.go      the end and the lines of a request's head
package sockopt

import (
	"errors"
	"syscall"
)

// IsIdle reports whether a connection is open and has no unread input. It does not read from the connection.
func IsIdle(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err == nil && isIdle(raw)
}

// isIdle peeks at the socket. A socket with input, end of file or an error is not idle.
func isIdle(raw syscall.RawConn) bool {
	idle := false
	err := raw.Control(func(fd uintptr) {
		_, err := peekByte(int(fd))
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}
