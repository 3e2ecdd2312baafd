// Package platform stands in for what surrounds the balancers of a cluster: the endpoints that they balance to, the
// discovery agent and the rollout controller, each on a loopback port of its own and written from the protocol's
// description rather than from the balancer's code. Tests of cmd/balancer and the experiments of cmd/testbed run on it.
//
// New starts all of it, Close ends it:
//
//	stand, err := platform.New(3)                                          // three endpoints that run build 1
//	stand.SetBuild(stand.Endpoints()[0], 2)                                // one of them runs the candidate
//	stand.Controller().SetStage(platform.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
//
// Files: platform.go (start, end, figures over all endpoints), endpoint.go (an endpoint), discovery.go (the endpoint
// list and its watch), controller.go (the rollout controller).
package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds how long a stand-in waits for a request's header.
const headerTimeout = 10 * time.Second

// Platform is the stand-ins that all balancers of a cluster share.
type Platform struct {
	endpoints        []*Endpoint
	discoveryServer  *http.Server
	discoveryAddress string
	controller       *Controller
	closing          chan struct{}

	mu      sync.Mutex
	index   int           // of the endpoint list; grows by 1 with each change
	changed chan struct{} // closed and replaced at each change of the list
}

// New starts endpoints of build 1, a discovery agent that lists them and a controller at which build 1 is live.
func New(endpoints int) (*Platform, error) {
	p := &Platform{index: 1, changed: make(chan struct{}), closing: make(chan struct{})}
	if err := p.start(endpoints); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(endpoints int) error {
	for i := range endpoints {
		endpoint, err := newEndpoint(p, fmt.Sprintf("s-%02d", i))
		if err != nil {
			return err
		}
		p.endpoints = append(p.endpoints, endpoint)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.serveHosts)
	var err error
	p.discoveryServer, p.discoveryAddress, err = serveOnLoopback(mux)
	if err != nil {
		return err
	}
	p.controller, err = newController()
	return err
}

// serveOnLoopback starts a server at a free port of loopback and returns its address.
func serveOnLoopback(h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // it returns http.ErrServerClosed after Close
	return server, listener.Addr().String(), nil
}

// Close ends the stand-ins. Further calls do nothing.
func (p *Platform) Close() {
	select {
	case <-p.closing:
		return
	default:
		close(p.closing)
	}
	for _, endpoint := range p.endpoints {
		_ = endpoint.server.Close() // nothing is left to do for a listener that fails to close
	}
	if p.discoveryServer != nil {
		_ = p.discoveryServer.Close() // likewise
	}
	if p.controller != nil {
		p.controller.close()
	}
}

// Discovery is the discovery agent's address.
func (p *Platform) Discovery() string { return p.discoveryAddress }

// Controller is the rollout controller.
func (p *Platform) Controller() *Controller { return p.controller }

// Endpoints are the endpoints, in the order of the list.
func (p *Platform) Endpoints() []*Endpoint { return p.endpoints }

// Requests is how many requests all endpoints have received in full.
func (p *Platform) Requests() (requests int) {
	for _, endpoint := range p.endpoints {
		requests += endpoint.Requests()
	}
	return requests
}

// RanTwice are the ids of non-idempotent requests that ran more than once, over all endpoints.
func (p *Platform) RanTwice() (ids []string) {
	runs := map[string]int{}
	for _, endpoint := range p.endpoints {
		endpoint.addNonIdempotentRuns(runs)
	}
	for id, times := range runs {
		if times > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// SetBuild changes the build that an endpoint runs and notifies the watchers of the endpoint list.
func (p *Platform) SetBuild(e *Endpoint, build int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Build = build
	p.index++
	close(p.changed)
	p.changed = make(chan struct{})
}
