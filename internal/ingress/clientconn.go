package ingress

import (
	"context"
	"errors"
	"net"

	"golang.org/x/time/rate"

	"ottershed/internal/sockopt"
)

// errClientLeft is the reason not to respond to a request whose client has closed its connection.
var errClientLeft = errors.New("client has closed its connection")

// clientConn is an accepted connection in the context of its requests. Only the handler of its current request uses it.
type clientConn struct {
	*sockopt.Conn
	requests  *rate.Limiter
	pipelines bool // the client has sent further input before it could have the response to the previous request
}

// clientConnKey is the context key of a clientConn.
type clientConnKey struct{}

// withClientConn adds an accepted connection to the context of its requests.
func (s *Server) withClientConn(ctx context.Context, conn net.Conn) context.Context {
	client := &clientConn{Conn: conn.(*sockopt.Conn), requests: s.pacer.newConnLimit()}
	client.DelayRefusals(func() { s.delayInvalidRequest(client) })
	return context.WithValue(ctx, clientConnKey{}, client)
}

// clientConnOf returns the connection of a request.
func clientConnOf(ctx context.Context) *clientConn {
	return ctx.Value(clientConnKey{}).(*clientConn)
}

// observePipelining records whether the client sends requests without waiting for responses. It must be called right before a
// response is written: a client may send its next request as soon as it has that response.
func (c *clientConn) observePipelining() { c.pipelines = c.HasInput() }
