// Package sockopt adds three operations to the connections and listeners of package net: checking a connection for input
// without reading from it, checking the accept queue of a listener without accepting, and closing a client's connection
// from another goroutine than its reader if no request is in progress.
//
// [IsIdle] checks idle connections to endpoints. [HasQueuedConnection] checks a listener. [NewConn] wraps an accepted
// connection. Its server calls [Conn.MarkResponded] after each response, and a goroutine that needs the descriptor calls
// [Conn.CloseIfIdle].
//
// # Files
//
//	idle.go      IsIdle
//	listener.go  HasQueuedConnection
//	conn.go      Conn: reading from a client's connection and closing it
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
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}
