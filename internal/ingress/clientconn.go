package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"ottershed/internal/sockopt"
)

const (
	// connRequestRate is the number of requests of one connection that are handled in a second. A client that sends more,
	// without waiting for responses or with requests that need no endpoint, would take the processor from other clients.
	connRequestRate = 500
	// connRequestBurst is the number of requests of one connection that are handled without a pause.
	connRequestBurst = 50
)

// errClientLeft is the reason not to respond to a request whose client has closed its connection.
var errClientLeft = errors.New("client has closed its connection")

// clientConn is an accepted connection in the context of its requests.
type clientConn struct {
	*sockopt.Conn
	requests *rate.Limiter
}

// clientConnKey is the context key of a clientConn.
type clientConnKey struct{}

// withClientConn adds an accepted connection to the context of its requests.
func (s *Server) withClientConn(ctx context.Context, conn net.Conn) context.Context {
	limiter := rate.NewLimiter(s.connRequestRate, connRequestBurst)
	return context.WithValue(ctx, clientConnKey{}, clientConn{conn.(*sockopt.Conn), limiter})
}

// clientConnOf returns the connection of a request.
func clientConnOf(ctx context.Context) clientConn {
	return ctx.Value(clientConnKey{}).(clientConn)
}

// pace returns a handler that delays the requests of a connection that sends more than s.connRequestRate. The client's further
// requests wait in its socket meanwhile. A draining server does not delay, since each response closes its connection.
func (s *Server) pace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := clientConnOf(r.Context())
		if delay := conn.requests.Reserve().Delay(); delay > 0 && !s.state.reached(draining) {
			s.delays.observePacing(conn.RemoteAddr(), delay)
			time.Sleep(delay)
		}
		next.ServeHTTP(w, r)
	})
}
