package platform

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Endpoint is a stand-in for a server that is balanced to. It counts what it runs, by the request's id.
type Endpoint struct {
	Name  string
	Build int // change it by Platform.SetBuild

	server   *http.Server
	address  string
	platform *Platform

	mu                sync.Mutex
	nonIdempotentRuns map[string]int // by the request's id
	requests          int
	latency           time.Duration
	fail              bool
}

func newEndpoint(p *Platform, name string) (*Endpoint, error) {
	e := &Endpoint{Name: name, Build: 1, platform: p, nonIdempotentRuns: map[string]int{}}
	var err error
	e.server, e.address, err = serveOnLoopback(http.HandlerFunc(e.serve))
	return e, err
}

// Behave sets how long the endpoint works on a request, and whether it then answers with an error.
func (e *Endpoint) Behave(latency time.Duration, fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency, e.fail = latency, fail
}

// Requests is how many requests the endpoint has received in full.
func (e *Endpoint) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *Endpoint) addNonIdempotentRuns(sum map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, times := range e.nonIdempotentRuns {
		sum[id] += times
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
	_, _ = fmt.Fprintf(w, "%s of %s", id, e.Name) // a balancer that has left needs no response
}

// begin counts a request and returns how it is to be handled.
func (e *Endpoint) begin(r *http.Request, id string) (latency time.Duration, fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	if r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == "" {
		e.nonIdempotentRuns[id]++
	}
	return e.latency, e.fail
}
