package ingress

import (
	"context"
	"errors"
	"net"

	"ottershed/internal/sockopt"
)

// errClientLeft is the reason not to respond to a request whose client has closed its connection.
var errClientLeft = errors.New("client has closed its connection")

// clientConnKey is the context key of the client's connection.
type clientConnKey struct{}

// withClientConn adds an accepted connection to the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn.(*sockopt.Conn))
}

// clientConnOf returns the connection of a request.
func clientConnOf(ctx context.Context) *sockopt.Conn {
	return ctx.Value(clientConnKey{}).(*sockopt.Conn)
}
