package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/engine"
)

// handoverKey finds the handover of a request in its context.
type handoverKey struct{}

// handover takes a checked request through the reverse proxy to RoundTrip, and its id back.
type handover struct {
	request   *engine.ClientRequest
	releaseID func() // may be called more than once
}

func handoverOf(r *http.Request) *handover { return r.Context().Value(handoverKey{}).(*handover) }

// openIDs holds the correlation ids of the requests that are open: for an endpoint two requests with one id are copies
// of each other, so the second one is refused.
type openIDs struct {
	mu  sync.Mutex
	ids map[string]bool // the end of a request's handler removes its id
}

// claim takes an id and tells whether no open request has it.
func (o *openIDs) claim(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := !o.ids[id]
	o.ids[id] = true
	return free
}

func (o *openIDs) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

// serveRequest checks a request and reads it to its end before the engine hears of it, and passes it to next.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, next http.Handler) {
	receivedAt := s.clock.Now()
	parsed, err := s.parser.parse(r)
	if err == nil && s.maybeRunBefore(r, parsed) {
		setRetryAfter(w.Header(), s.retryAfter)
		err = errMayHaveRun
	}
	if err != nil {
		refuse(w, err)
		return
	}
	body := readBody(w, r, clock.Duration(parsed.remaining))
	if !s.openIDs.claim(parsed.correlationID) {
		refuse(w, errCorrelationIDInUse)
		return
	}
	release := sync.OnceFunc(func() { s.openIDs.release(parsed.correlationID) })
	defer release()
	request := &engine.ClientRequest{
		Class: parsed.class.Name, Tenant: parsed.tenant, Key: stickyKey(r.URL.RawQuery), Remaining: parsed.remaining,
		ReceivedAt: receivedAt, Retried: r.Header.Get(headerRetried) == "1",
		Request: &engine.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body},
	}
	r.Body = http.NoBody
	ctx := context.WithValue(r.Context(), handoverKey{}, &handover{request, release})
	next.ServeHTTP(w, r.WithContext(ctx))
}

// maybeRunBefore tells whether a client sends a request once more that an instance which has gone may have run. Another
// instance never sends such a request to an endpoint; its client is told at once.
func (s *Server) maybeRunBefore(r *http.Request, parsed parsedRequest) bool {
	return s.decideResume != nil && r.Header.Get(headerResumed) == "1" &&
		s.decideResume(parsed.class) == lease.ResumeReject
}

// readBody reads a body to its end. One that is not complete within the time for reading, or within the request's own
// time where that is shorter, ends its connection.
func readBody(w http.ResponseWriter, r *http.Request, remaining time.Duration) []byte {
	if r.ContentLength <= 0 {
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(min(readTimeout, remaining))) // fails on a connection that has ended only
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{}) // the same
	return body
}

// rewrite keeps method, path, query and headers as they came, but for the headers that concern one connection only.
func rewrite(r *httputil.ProxyRequest) {
	r.Out.URL.Scheme = "http"
	r.Out.URL.Host = r.In.Host
	r.Out.URL.RawQuery = r.In.URL.RawQuery
	for _, name := range []string{"Connection", "Upgrade", "Te", "Expect"} {
		r.Out.Header.Del(name)
	}
}

// RoundTrip hands a request to the engine and waits for its final result.
func (s *Server) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.rejectsRequests() {
		res := newResponse(r, engine.Result{Kind: engine.Rejected, RetryAfter: s.retryAfter})
		res.Close = true
		return res, nil
	}
	request := handoverOf(r).request
	request.Request.Fields = r.Header
	results := make(chan engine.Result, 1)
	request.Respond = func(result engine.Result) { results <- result }
	s.engine.ReceiveRequest(request)
	// The engine ends each request in time; should it fail to, the client gets its final response all the same.
	overdue := time.NewTimer(clock.Duration(request.ReceivedAt + request.Remaining + s.responseSlack - s.clock.Now()))
	defer overdue.Stop()
	select {
	case result := <-results:
		return newResponse(r, result), nil
	case <-overdue.C:
		s.engine.ClientDisconnected(request)
		return newResponse(r, engine.Result{Kind: engine.Failed}), nil
	case <-r.Context().Done():
		s.engine.ClientDisconnected(request)
		return nil, r.Context().Err()
	}
}

// rejectsRequests tells whether requests are rejected without the engine. One that comes after accepting has ended, on
// a connection that was still open, might get no response from an endpoint before the process is killed.
func (s *Server) rejectsRequests() bool {
	return s.notReady.Load() || s.limiter.acceptingEnded() || s.limiter.full()
}
