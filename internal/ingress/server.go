package ingress

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// Times that a connection has.
const (
	// responseDue is when a client that sends nothing readable must have an error or a close, from connecting on.
	responseDue = 3 * time.Second
	// readTimeout is the time for the head of a request, and again for its body.
	readTimeout = responseDue / 3
	// idleTimeout is how long a connection is kept that carries no request.
	idleTimeout = 2 * responseDue
)

// Engine is what requests are handed to.
type Engine interface {
	// ReceiveRequest takes a request; its Respond is called once at most.
	ReceiveRequest(*engine.ClientRequest)
	// ClientDisconnected says that nobody waits for the result any more.
	ClientDisconnected(*engine.ClientRequest)
}

// Server is the HTTP server that clients connect to.
type Server struct {
	engine Engine
	clock  *clock.Clock
	parser requestParser

	retryAfter    decision.Millis // advice to clients that are rejected here; 0: none
	responseSlack decision.Millis // past a client's deadline, for the final response
	drainTimeout  time.Duration   // from the end of accepting on, for the requests that are open then
	decideResume  func(*decision.RequestClass) lease.ResumeDecision

	httpServer *http.Server
	limiter    *connLimiter
	state      lifecycle
	notReady   atomic.Bool // from SetNotReady until SetReady
	openIDs    openIDs
}

// New makes a server that keeps up to maxConnections connections of clients; [Server.Serve] starts it.
func New(
	e Engine, c *clock.Clock, s decision.Settings, n settings.Network, maxConnections int, log logrus.FieldLogger,
) *Server {
	server := &Server{
		engine: e, clock: c, parser: newRequestParser(s, n.LongestTimeout),
		retryAfter: s.MaxRetryAfter, responseSlack: n.ResponseSlack,
		drainTimeout: clock.Duration(n.LongestTimeout + n.ResponseSlack),
		openIDs:      openIDs{ids: map[string]bool{}},
	}
	server.limiter = newConnLimiter(maxConnections, &server.state, log)
	server.httpServer = &http.Server{
		Handler: server.handler(), ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		ErrorLog: discardLog(), ConnState: server.limiter.track,
	}
	return server
}

// handler serves the readiness check on /up, and requests on every other path.
func (s *Server) handler() http.Handler {
	proxy := &httputil.ReverseProxy{
		Rewrite: rewrite, Transport: s, ModifyResponse: s.finishResponse, ErrorHandler: abortConnection,
		ErrorLog: discardLog(),
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" {
			s.serveReadiness(w)
			return
		}
		s.serveRequest(w, r, proxy)
	})
}

// discardLog is for faults of clients, which are not logged.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// HandleResumed has requests with the header X-Resume, which clients send once more after an instance has gone, refused
// where decide says so; before Serve. Without it they are served as others are.
func (s *Server) HandleResumed(decide func(*decision.RequestClass) lease.ResumeDecision) {
	s.decideResume = decide
}

// SetNotReady has requests rejected, and /up respond 503, until SetReady; before Serve. The instance's list of
// endpoints may be older than the watch events that count from its start on.
func (s *Server) SetNotReady() { s.notReady.Store(true) }

// SetReady ends SetNotReady.
func (s *Server) SetReady() { s.notReady.Store(false) }

// serveReadiness tells the layer in front whether this instance takes requests.
func (s *Server) serveReadiness(w http.ResponseWriter) {
	if s.state.reached(draining) || s.notReady.Load() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// finishResponse runs before a response is written. It has the connection closed afterwards while the server drains or
// has too many, and releases the id: the last byte of a long response is out before its handler ends, and from then on
// the client may use the id again.
func (s *Server) finishResponse(res *http.Response) error {
	if s.state.reached(draining) || res.Close {
		res.Header.Set("Connection", "close")
	}
	handoverOf(res.Request).releaseID()
	return nil
}

// abortConnection ends the connection of a client that has disconnected.
func abortConnection(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }

// Serve accepts connections until Drain.
func (s *Server) Serve(listener net.Listener) error {
	if !s.limiter.listen(listener) { // drained before it began
		return listener.Close()
	}
	err := s.httpServer.Serve(s.limiter)
	if s.state.reached(draining) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
