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

// Timeouts of a connection.
const (
	// responseTimeout is the time from connecting within which a client that sends no valid request must get an error
	// response or a close.
	responseTimeout = 3 * time.Second
	// readTimeout is the time for reading the headers of a request, and again for its body.
	readTimeout = responseTimeout / 3
	// writeTimeout is the time that a client has at least for reading a response, from the moment that it is written.
	writeTimeout = responseTimeout
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 2 * responseTimeout
)

// Engine processes the requests that the server has checked and read.
type Engine interface {
	// ReceiveRequest accepts a request. The engine calls its Respond at most once.
	ReceiveRequest(*engine.ClientRequest)
	// ClientDisconnected notifies the engine that the result of a request is no longer needed.
	ClientDisconnected(*engine.ClientRequest)
}

// Server is the HTTP server for clients.
type Server struct {
	engine Engine
	clock  *clock.Clock
	log    logrus.FieldLogger
	parser requestParser

	retryAfter          decision.Millis // Retry-After of requests rejected without the engine; 0: none
	responseGracePeriod decision.Millis // time after a client's deadline within which the engine still responds
	pacer               *pacer
	sleep               func(time.Duration) // time.Sleep; tests replace it to hold Drain up
	decideResume        func(*decision.RequestClass) lease.ResumeDecision

	httpServer *http.Server
	limiter    *connLimiter
	state      lifecycle
	graceEnd   atomic.Pointer[time.Time] // end of the grace period; nil until Drain is called
	notReady   atomic.Bool               // set by SetNotReady, cleared by SetReady
	ids        *requestIDs
	delays     *delayLog
}

// Limits are what a server may use.
type Limits struct {
	Connections int     // client connections that requests are served on
	Cores       float64 // processor time in a second; a higher value lets clients at full speed send more
}

// New returns a server. [Server.Serve] starts it.
func New(
	e Engine, c *clock.Clock, s decision.Settings, n settings.Network, limits Limits, log logrus.FieldLogger,
) *Server {
	server := &Server{
		engine: e, clock: c, log: log, parser: newRequestParser(s, n.MaxClientTimeout), sleep: time.Sleep,
		retryAfter: s.MaxRetryAfter, responseGracePeriod: n.ResponseGracePeriod,
		ids: newRequestIDs(), pacer: newPacer(limits.Cores), delays: &delayLog{log: log},
	}
	server.limiter = newConnLimiter(limits.Connections, &server.state, log)
	server.httpServer = &http.Server{
		Handler: server.handler(), ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout: latestResult(n) + writeTimeout, ErrorLog: discardLog(), ConnState: server.limiter.track,
		ConnContext: server.withClientConn,
	}
	return server
}

// latestResult returns the longest time from the end of a request's header until its result is known.
func latestResult(n settings.Network) time.Duration {
	return readTimeout + clock.Duration(n.MaxClientTimeout+n.ResponseGracePeriod)
}

// handler returns the handler of the server: the readiness check on /up, and client requests on all other paths, both paced.
func (s *Server) handler() http.Handler {
	proxy := &httputil.ReverseProxy{
		Rewrite: rewrite, Transport: s, ModifyResponse: s.finishResponse, ErrorHandler: abortConnection,
		ErrorLog: discardLog(),
	}
	return s.pace(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" {
			s.serveReadiness(w, r)
			return
		}
		s.serveRequest(w, r, proxy)
	}))
}

// discardLog returns a logger that writes nothing. net/http logs errors that clients cause, such as malformed requests.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// SetResumeDecision sets the decision on requests with the header X-Resume, which clients repeat after an instance has
// disappeared. If decide returns lease.ResumeReject for the class of such a request, the response is an error with
// Retry-After. By default these requests are served like all others. It must be called before Serve.
func (s *Server) SetResumeDecision(decide func(*decision.RequestClass) lease.ResumeDecision) {
	s.decideResume = decide
}

// SetNotReady makes the server reject requests, and respond 503 on /up, until SetReady. It must be called before Serve.
// An instance uses it until it has received the endpoint list: a list from its configuration may miss changes that
// happened before its watch began.
func (s *Server) SetNotReady() { s.notReady.Store(true) }

// SetReady reverts SetNotReady. It may be called from any goroutine.
func (s *Server) SetReady() { s.notReady.Store(false) }

// serveReadiness responds to the load balancer in front with 200 if this instance accepts requests, and 503 otherwise.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	clientConnOf(r.Context()).observePipelining()
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // the body is not read
	}
	if s.state.reached(draining) || s.notReady.Load() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// finishResponse runs before a response is written. It announces the close of the connection if the server drains or has
// rejected the request itself. It also releases the correlation id: the last byte of a long response is sent before its
// handler ends, and the client may reuse the id once it has read that byte.
func (s *Server) finishResponse(res *http.Response) error {
	if s.state.reached(draining) || res.Close {
		res.Header.Set("Connection", "close")
	}
	clientConnOf(res.Request.Context()).observePipelining()
	pending := pendingRequestOf(res.Request)
	s.delays.observeResponse(s.clock.Now(), pending.request, pending.waited, res.StatusCode)
	pending.releaseID()
	return nil
}

// abortConnection is the error handler of the reverse proxy. It closes the connection of a client that has disconnected.
func abortConnection(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }

// Serve accepts connections and serves requests until Drain. It returns nil after Drain. If Drain was called before,
// Serve closes the listener at once and returns the error of that.
func (s *Server) Serve(listener net.Listener) error {
	if !s.limiter.setListener(listener) { // Drain was called before
		return listener.Close()
	}
	err := s.httpServer.Serve(s.limiter)
	if s.state.reached(draining) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
