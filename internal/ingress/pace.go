package ingress

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

const (
	// connRequestRate is the number of requests of one connection that are handled in a second.
	connRequestRate = 500
	// connRequestBurst is the number of requests of one connection that are handled without a pause.
	connRequestBurst = 50
	// sharedRequestRate is the number of requests in a second, for each core, that all connections share for what no client
	// that keeps to the protocol sends: requests before the response to the one before, and invalid ones. A request takes 0.1 to
	// 0.3 ms of a core. A higher value lets clients at full speed take more of the processor from others.
	sharedRequestRate = 1000
	// maxSharedDelay is the longest delay of a request by sharedRequestRate. A client that sends no valid request must have its
	// error within responseTimeout.
	maxSharedDelay = responseTimeout / 3
)

// pacer limits the processor time that clients at full speed take from others.
//
// A limit on each connection by itself does not suffice: some of them together, or one on a part of a core, could use up what
// the instance has. Their goroutines would never wait, and each step of another request would wait until each of them has had
// its turn, which may last 10 ms.
type pacer struct {
	connRate rate.Limit // see connRequestRate
	shared   *rate.Limiter
	sleep    func(time.Duration)
}

// newPacer returns a pacer for an instance that has a number of cores.
func newPacer(cores float64) *pacer {
	return &pacer{connRate: connRequestRate, shared: rate.NewLimiter(rate.Limit(cores*sharedRequestRate), 1), sleep: time.Sleep}
}

// newConnLimit returns the limit of one connection.
func (p *pacer) newConnLimit() *rate.Limiter { return rate.NewLimiter(p.connRate, connRequestBurst) }

// awaitShared delays a request by the rate that all connections share. It returns the delay.
func (p *pacer) awaitShared() time.Duration {
	reservation := p.shared.Reserve()
	delay := reservation.Delay()
	if delay > maxSharedDelay {
		reservation.Cancel() // the requests after this one do not wait for it
		delay = maxSharedDelay
	}
	p.sleep(delay)
	return delay
}

// pace returns a handler that delays the requests of a connection that sends more than the rate of one connection, or that sends
// requests before it has its responses. The client's further requests wait in its socket meanwhile. A draining server does not
// delay, since each response closes its connection.
func (s *Server) pace(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := clientConnOf(r.Context())
		conn.AcceptRequest()
		if !s.state.reached(draining) {
			s.delayRequest(conn)
		}
		next.ServeHTTP(w, r)
	})
}

// delayRequest delays a request of a connection as pace describes.
func (s *Server) delayRequest(conn *clientConn) {
	delay := conn.requests.Reserve().Delay()
	s.pacer.sleep(delay)
	if conn.pipelines {
		delay += s.pacer.awaitShared()
	}
	s.delays.observePacing(conn.RemoteAddr(), delay)
}

// delayInvalidRequest delays the error response to an invalid request by the rate that all connections share. The response closes
// the connection, and a client that comes again at once on another one has a new limit there. There is no delay while the server
// drains, or while other clients may need the place of the connection.
func (s *Server) delayInvalidRequest(conn *clientConn) {
	if !s.state.reached(draining) && !s.limiter.halfFull() {
		s.delays.observePacing(conn.RemoteAddr(), s.pacer.awaitShared())
	}
}
