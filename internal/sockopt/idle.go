// Package sockopt has what the connections of package net lack: a look at one without reading from it, and a connection
// of a client that someone else than its reader may close as long as it carries no request.
//
// [IsIdle] serves idle connections to endpoints. [NewConn] wraps an accepted connection; its server calls
// [Conn.MarkResponded] after each response, and whoever wants its descriptor calls [Conn.CloseIfIdle].
//
//	idle.go  whether a connection stands with nothing to read
//	conn.go  reading and closing a client's connection
package sockopt

import (
	"errors"
	"syscall"
)

// IsIdle tells whether a connection stands and nothing has come on it that was not read.
func IsIdle(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	return err == nil && isIdle(raw)
}

// isIdle peeks at the socket: neither a byte nor an end may be there.
func isIdle(raw syscall.RawConn) bool {
	idle := false
	err := raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && idle
}
