// Package platform provides fakes of the services around the balancers of a cluster: endpoints, the discovery agent and
// the rollout controller, each on its own loopback port. They are written from the description of the protocols and do
// not share code with the balancer. Tests of cmd/balancer and the experiments of cmd/testbed use them.
//
// New starts all fakes, Close stops them:
//
//	services, err := platform.New(3)                                       // three endpoints that run build 1
//	services.SetBuild(services.Endpoints()[0], 2)                          // one of them runs the candidate
//	services.Controller().SetStage(platform.Stage{Build: 2, Progress: "testing", ExposureLimit: 0.3})
//
// Files: platform.go (start, stop, totals over all endpoints), endpoint.go (an endpoint), discovery.go (the endpoint
// list and its watch), controller.go (the rollout controller).
package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// headerTimeout bounds the time that a fake waits for the header of a request.
const headerTimeout = 10 * time.Second

// Platform holds the fakes that all balancers of a cluster share.
type Platform struct {
	endpoints        []*Endpoint
	discoveryServer  *http.Server
	discoveryAddress string
	controller       *Controller
	closing          chan struct{}

	mu      sync.Mutex
	index   int           // version of the endpoint list; incremented with each change
	changed chan struct{} // closed and replaced with each change of the list
}

// New starts endpoints with build 1, a discovery agent that lists them and a controller for which build 1 is live.
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

// serveOnLoopback starts a server at a free loopback port and returns its address.
func serveOnLoopback(h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("start fake server: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // returns http.ErrServerClosed after Close
	return server, listener.Addr().String(), nil
}

// Close stops the fakes. Further calls do nothing. It must not be called concurrently.
func (p *Platform) Close() {
	select {
	case <-p.closing:
		return
	default:
		close(p.closing)
	}
	for _, endpoint := range p.endpoints {
		_ = endpoint.server.Close() // a failed close leaves nothing to clean up
	}
	if p.discoveryServer != nil {
		_ = p.discoveryServer.Close() // a failed close leaves nothing to clean up
	}
	if p.controller != nil {
		p.controller.close()
	}
}

// Discovery returns the address of the discovery agent.
func (p *Platform) Discovery() string { return p.discoveryAddress }

// Controller returns the rollout controller.
func (p *Platform) Controller() *Controller { return p.controller }

// Endpoints returns the endpoints in the order of the endpoint list.
func (p *Platform) Endpoints() []*Endpoint { return p.endpoints }

// Requests returns the number of requests that all endpoints have received in full.
func (p *Platform) Requests() (requests int) {
	for _, endpoint := range p.endpoints {
		requests += endpoint.Requests()
	}
	return requests
}

// DuplicateExecutions returns the ids of non-idempotent requests that ran more than once, over all endpoints.
func (p *Platform) DuplicateExecutions() (ids []string) {
	runs := map[string]int{}
	for _, endpoint := range p.endpoints {
		endpoint.addNonIdempotentRuns(runs)
	}
	for id, count := range runs {
		if count > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// SetBuild changes the build of an endpoint and notifies the watchers of the endpoint list.
func (p *Platform) SetBuild(e *Endpoint, build int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Build = build
	p.index++
	close(p.changed)
	p.changed = make(chan struct{})
}
