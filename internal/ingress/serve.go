package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/engine"
	"ottershed/internal/sockopt"
)

// pendingRequestKey is the context key of a pendingRequest.
type pendingRequestKey struct{}

// pendingRequest carries a parsed request in its context through the reverse proxy, to RoundTrip and finishResponse.
type pendingRequest struct {
	request   *engine.ClientRequest
	id        *idClaim
	releaseID func()          // releases the handler's hold on the id; later calls have no effect
	waited    decision.Millis // from its arrival until its handler began, behind earlier requests of its connection
}

// pendingRequestOf returns the pendingRequest of a request that serveRequest has passed on.
func pendingRequestOf(r *http.Request) *pendingRequest {
	return r.Context().Value(pendingRequestKey{}).(*pendingRequest)
}

// serveRequest checks a request, reads its whole body and passes it to next, the reverse proxy. The engine receives only
// complete requests.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, next http.Handler) {
	receivedAt := s.clock.Reading(clientConnOf(r.Context()).HeadArrivedAt())
	waited := s.clock.Now() - receivedAt // behind earlier requests of the connection
	parsed, err := s.parser.parse(r)
	if err != nil {
		s.delayInvalidRequest(clientConnOf(r.Context()))
		s.refuse(w, r, err)
		return
	}
	if s.mayHaveRun(r, parsed) {
		setRetryAfter(w.Header(), s.retryAfter)
		s.refuse(w, r, errMayHaveRun)
		return
	}
	body := readBody(w, r)
	id, err := s.ids.claim(parsed.correlationID)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	release := sync.OnceFunc(func() { id.release(false) })
	defer release()
	request := &engine.ClientRequest{
		CorrelationID: parsed.correlationID, Class: parsed.class.Name, Tenant: parsed.tenant, Key: stickyKey(r.URL.RawQuery),
		Remaining: parsed.remaining, ReceivedAt: receivedAt, Retried: r.Header.Get(headerRetried) == "1",
		Request: &engine.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body},
		OnEnd:   func(mayHaveRun bool) { id.release(mayHaveRun && parsed.class.Idempotency != decision.Idempotent) },
	}
	r.Body = http.NoBody
	ctx := context.WithValue(r.Context(), pendingRequestKey{}, &pendingRequest{request, id, release, waited})
	next.ServeHTTP(w, r.WithContext(ctx))
}

// refuse responds to a request that is not passed to the engine, and closes its connection.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	s.log.WithError(err).WithField("id", r.Header.Get(headerCorrelationID)).Debug("request refused")
	respondError(w, err)
}

// mayHaveRun reports whether a request is a resumed one that an endpoint may already have run for an instance that has
// disappeared. Such a request is not sent to an endpoint again; the client gets errMayHaveRun at once.
func (s *Server) mayHaveRun(r *http.Request, parsed parsedRequest) bool {
	return s.decideResume != nil && r.Header.Get(headerResumed) == "1" &&
		s.decideResume(parsed.class) == lease.ResumeReject
}

// readBody reads the whole body of a request. It aborts the connection if the body is not complete within readTimeout.
// The remaining time of the request is no limit here: it may be over because the process was held up, and a complete
// request gets a response all the same.
func readBody(w http.ResponseWriter, r *http.Request) []byte {
	if r.ContentLength <= 0 {
		return nil
	}
	clientConnOf(r.Context()).ExpectBody(r.ContentLength)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return body
}

// rewrite copies method, path, query and headers unchanged, without the headers that apply to the client's connection
// only.
func rewrite(r *httputil.ProxyRequest) {
	r.Out.URL.Scheme = "http"
	r.Out.URL.Host = r.In.Host
	r.Out.URL.RawQuery = r.In.URL.RawQuery
	for _, name := range []string{"Connection", "Upgrade", "Te", "Expect"} {
		r.Out.Header.Del(name)
	}
}

// RoundTrip passes a request to the engine, waits for its final result and returns that as a response. It is the
// transport of the reverse proxy. The error is that of the context if the client has disconnected.
func (s *Server) RoundTrip(r *http.Request) (*http.Response, error) {
	client, pending := clientConnOf(r.Context()), pendingRequestOf(r)
	request := pending.request
	switch peer := client.Peer(); {
	case peer == sockopt.PeerClosed:
		s.log.WithField("id", request.CorrelationID).Debug("client disconnected before its request was passed on")
		return nil, errClientLeft
	case s.rejectsRequests():
		res := s.reject(r, "not ready, drained or too many connections")
		res.Close = !client.HasInput() // requests that are here already would get no response
		return res, nil
	case peer == sockopt.PeerUnknown:
		return s.reject(r, "too much unread input behind it"), nil
	case pending.waited >= request.Remaining:
		return s.reject(r, "its time ended behind earlier requests of its connection"), nil
	}
	request.MaySend = func() bool { return client.Peer() == sockopt.PeerOpen }
	request.Request.Header = r.Header
	results := make(chan engine.Result, 1)
	request.Respond = func(result engine.Result) { results <- result }
	pending.id.hold() // until OnEnd
	s.engine.ReceiveRequest(request)
	// The engine returns a result for each request in time. If it fails to, the client still gets a final response.
	overdue := time.NewTimer(clock.Duration(request.ReceivedAt + request.Remaining + s.responseGracePeriod - s.clock.Now()))
	defer overdue.Stop()
	select {
	case result := <-results:
		return newResponse(r, result), nil
	case <-overdue.C:
		return newResponse(r, s.overdueResult(request, results)), nil
	case <-r.Context().Done():
		s.log.WithField("id", request.CorrelationID).Debug("client disconnected")
		s.engine.ClientDisconnected(request)
		return nil, r.Context().Err()
	}
}

// reject returns the response to a request that is rejected without the engine.
func (s *Server) reject(r *http.Request, reason string) *http.Response {
	s.log.WithFields(logrus.Fields{
		"id": r.Header.Get(headerCorrelationID), "reason": reason,
	}).Debug("request rejected without the engine")
	return newResponse(r, engine.Result{Kind: engine.Rejected, RetryAfter: s.retryAfter})
}

// overdueResult returns the result of a request whose time is over: the engine's if it is there, since both are due after
// a hold-up of the process, and otherwise a failure, of which it notifies the engine.
func (s *Server) overdueResult(request *engine.ClientRequest, results <-chan engine.Result) engine.Result {
	select {
	case result := <-results:
		return result
	default:
		s.engine.ClientDisconnected(request)
		return engine.Result{Kind: engine.Failed}
	}
}

// rejectsRequests reports whether requests are rejected without the engine. After the grace period of a drain, requests
// that arrive on open connections are rejected: the process might be killed before an endpoint has responded.
func (s *Server) rejectsRequests() bool {
	return s.notReady.Load() || s.graceOver() || s.limiter.full()
}
