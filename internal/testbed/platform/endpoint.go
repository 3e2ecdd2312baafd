package platform

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Endpoint is a fake server behind the balancers. It counts the requests that it runs, by their ids.
type Endpoint struct {
	Name  string
	Build int // number of the build that the endpoint runs; set with Platform.SetBuild

	server   *http.Server
	address  string
	platform *Platform

	mu                sync.Mutex
	nonIdempotentRuns map[string]int // executions of non-idempotent requests, by request id
	requests          int
	latency           time.Duration // time from a request to its response
	respondsWithError bool          // responses have status 500
}

func newEndpoint(p *Platform, name string) (*Endpoint, error) {
	e := &Endpoint{Name: name, Build: 1, platform: p, nonIdempotentRuns: map[string]int{}}
	var err error
	e.server, e.address, err = serveOnLoopback(http.HandlerFunc(e.serve))
	return e, err
}

// SetBehavior sets the latency of the endpoint, and whether it responds with status 500.
func (e *Endpoint) SetBehavior(latency time.Duration, fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency, e.respondsWithError = latency, fail
}

// Requests returns the number of requests that the endpoint has received in full.
func (e *Endpoint) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *Endpoint) addNonIdempotentRuns(totals map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, runs := range e.nonIdempotentRuns {
		totals[id] += runs
	}
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the body is incomplete, so the request does not run
	}
	id := r.Header.Get("X-Correlation-Id")
	latency, fail := e.begin(r, id)
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
		return
	case <-e.platform.closing:
		return
	}
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "%s of %s", id, e.Name) // a failed write means that the balancer has disconnected
}

// begin counts a request and returns the behavior for it.
func (e *Endpoint) begin(r *http.Request, id string) (latency time.Duration, fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	if r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == "" {
		e.nonIdempotentRuns[id]++
	}
	return e.latency, e.respondsWithError
}
