package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// readinessLimit is the operators' stricter limit on how long a restarted instance may take to be ready, see
	// discoveryTimeout.
	readinessLimit = 6 * time.Second
	// maxListBytes is the limit on an endpoint list in internal/discovery.
	maxListBytes = 1 << 20
	// rejectionLimit is how long a rejection may take. It has slack for a busy machine.
	rejectionLimit = 450 * time.Millisecond
	// retryAfter is the Retry-After header of rejections under testSettings.
	retryAfter = "0.020"
)

// endpointHost is a server that several endpoints of a list share. It counts the requests that they receive.
type endpointHost struct {
	server   *httptest.Server
	mu       sync.Mutex
	firstAt  time.Time      // time of the first request
	requests map[string]int // number of requests by path
}

func newEndpointHost(t *testing.T) *endpointHost {
	t.Helper()
	host := &endpointHost{requests: map[string]int{}}
	host.server = httptest.NewServer(host)
	t.Cleanup(host.server.Close)
	return host
}

func (h *endpointHost) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.requests) == 0 {
		h.firstAt = time.Now()
	}
	h.requests[r.URL.Path]++
}

// received returns the time of the first request, and the number of requests by path.
func (h *endpointHost) received() (firstAt time.Time, requests map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstAt, maps.Clone(h.requests)
}

func (h *endpointHost) address() string { return h.server.Listener.Addr().String() }

// unusedAddress returns an address that no process listens on. Clients dial it before the process listens, and must not reach
// another listener that has got the same port. The port is therefore below the range that Linux assigns automatically.
func unusedAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return listener.Addr().String()
	}
	t.Fatal("no free port from 15000 to 29999")
	return ""
}

// clientAttempt is one attempt of a client at the instance, and its result.
type clientAttempt struct {
	path                string
	sentAt, respondedAt time.Time
	status              int
	retryAfter          string // Retry-After header of the response
	err                 error  // error of sending the request or reading the response
}

// isRejection reports whether the instance rejected the request with status 503 and Retry-After.
func (a *clientAttempt) isRejection() bool {
	return a.status == http.StatusServiceUnavailable && a.retryAfter == retryAfter
}

func (a *clientAttempt) latency() time.Duration { return a.respondedAt.Sub(a.sentAt) }

// restartRun is a process and its clients, which send requests from the start of the process. Of the endpoints that are ready
// on the configuration's list, half are draining on discovery's list.
type restartRun struct {
	address           string
	started           time.Time
	draining, staying *endpointHost
	process           *balancerProcess
	client            *http.Client
	hasResponded      atomic.Bool   // the process has responded to a client
	listening         chan struct{} // closed when the process has responded
	ready             chan struct{} // closed when /up has responded with status 200
	done              chan struct{} // closed when all clients have stopped

	// Set once done is closed.
	lastUnready, firstReady time.Time // last request to /up that found the instance unready; first response of /up with status 200
	attempts                []clientAttempt
	undelivered             []string // paths of requests that were still rejected at the end
}

// newRestart starts a process and its clients, and returns when the process has responded or the clients have stopped.
func newRestart(t *testing.T, p *platformStub, agent startAgent, huge bool) *restartRun {
	t.Helper()
	restart := &restartRun{
		address:  unusedAddress(t),
		draining: newEndpointHost(t), staying: newEndpointHost(t),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
		listening: make(chan struct{}), ready: make(chan struct{}), done: make(chan struct{}),
	}
	configured, announced := restart.endpointLists(t, huge)
	cfg, path := p.configFile(t)
	writeFile(t, path, strings.NewReplacer(
		`"`+cfg.Listen+`"`, `"`+restart.address+`"`, `"`+cfg.Discovery+`"`, `"`+agent(t, announced)+`"`,
		`"give-up-ms":300`, `"give-up-ms":2000`, `"seed":`, `"known":`+string(configured)+`,"seed":`,
	).Replace(readFile(t, path)))
	restart.started = time.Now()
	restart.process = startProcess(t, path)
	go restart.generateLoad()
	select {
	case <-restart.listening:
	case <-restart.done:
	}
	return restart
}

// endpointPair returns two endpoints, one on each host. All endpoints of a list come from such pairs, so that a request to
// any of them is recorded.
func (r *restartRun) endpointPair(suffix string) []endpoint {
	return []endpoint{
		{"leaving" + suffix, r.draining.address(), "z", "k", "Ready", 1, 1},
		{"staying" + suffix, r.staying.address(), "z", "k", "Ready", 1, 1},
	}
}

// withDraining returns a copy of the endpoints, in which those on the host draining are draining.
func (r *restartRun) withDraining(endpoints []endpoint) []endpoint {
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		if endpoints[i].Address == r.draining.address() {
			endpoints[i].Status = "Terminating"
		}
	}
	return endpoints
}

// endpointLists returns the configuration's list and discovery's list. Huge lists are nearly as long as discovery allows.
func (r *restartRun) endpointLists(t *testing.T, huge bool) (configured, announced []byte) {
	t.Helper()
	endpoints := r.endpointPair("")
	if huge {
		onePair, twoPairs := r.withDraining(r.endpointPair("-0000")),
			r.withDraining(append(r.endpointPair("-0000"), r.endpointPair("-0001")...))
		bytesPerPair := len(endpointList(t, 2, twoPairs)) - len(endpointList(t, 2, onePair))
		for i := range (maxListBytes - 1000) / bytesPerPair {
			endpoints = append(endpoints, r.endpointPair(fmt.Sprintf("-%04d", i))...)
		}
	}
	configured = endpointList(t, 1, endpoints)
	announced = endpointList(t, 2, r.withDraining(endpoints))
	const minHugeBytes = maxListBytes - 2000
	if len(announced) > maxListBytes || huge && len(announced) < minHugeBytes {
		t.Fatalf("got a list of %d bytes with %d endpoints, want at most %d bytes, and at least %d if huge (%v)",
			len(announced), len(endpoints), maxListBytes, minHugeBytes, huge)
	}
	return configured, announced
}

// generateLoad runs the clients and polls /up until the instance is ready and each client has got further responses.
func (r *restartRun) generateLoad() {
	defer close(r.done)
	deadline := r.started.Add(2 * readinessLimit) // twice the limit, to measure by how much an instance exceeds it
	var running sync.WaitGroup
	running.Go(func() { r.pollReadiness(deadline) })
	var mu sync.Mutex
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		running.Go(func() {
			attempts, undelivered := r.send(method, deadline)
			mu.Lock()
			defer mu.Unlock()
			r.attempts = append(r.attempts, attempts...)
			r.undelivered = append(r.undelivered, undelivered...)
		})
	}
	running.Wait()
}

// pollReadiness polls /up until it responds with status 200.
func (r *restartRun) pollReadiness(deadline time.Time) {
	for ; time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		sentAt := time.Now()
		res, err := r.client.Get("http://" + r.address + "/up")
		if err != nil {
			continue
		}
		_ = res.Body.Close() // only the status matters
		if !r.hasResponded.Swap(true) {
			close(r.listening)
		}
		if res.StatusCode == http.StatusOK {
			r.firstReady = time.Now()
			close(r.ready)
			return
		}
		r.lastUnready = sentAt
	}
}

// send sends one request after another until 20 of them got a response of the ready instance. It sends a rejected request
// again.
func (r *restartRun) send(method string, deadline time.Time) (attempts []clientAttempt, undelivered []string) {
	class := map[string]string{http.MethodGet: "read", http.MethodPost: "pay"}[method]
	for n, delivered := 0, 0; delivered < 20; n++ {
		path := fmt.Sprintf("/%s/%d", class, n)
		for {
			if time.Now().After(deadline) {
				return attempts, append(undelivered, path)
			}
			respondedBefore := r.hasResponded.Load()
			attempt := r.request(method, path, fmt.Sprintf("%s-%d-%d", class, n, len(attempts)))
			if errors.Is(attempt.err, syscall.ECONNREFUSED) && !respondedBefore { // the process does not listen yet
				time.Sleep(5 * time.Millisecond)
				continue
			}
			attempts = append(attempts, attempt)
			if attempt.err == nil && attempt.status == http.StatusServiceUnavailable {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			break
		}
		select {
		case <-r.ready:
			delivered++
		default:
		}
	}
	return attempts, undelivered
}

// request sends a request once, and returns the attempt with its result.
func (r *restartRun) request(method, path, id string) clientAttempt {
	a := clientAttempt{path: path}
	request, err := newRequest(method, "http://"+r.address+path, "", id, "2")
	if err != nil {
		a.err = err
		return a
	}
	a.sentAt = time.Now()
	res, err := r.client.Do(request)
	if err == nil {
		a.status, a.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close() // the body was read to its end
	}
	a.respondedAt, a.err = time.Now(), err
	return a
}

// checkReady fails the test unless the instance was ready within readinessLimit.
func (r *restartRun) checkReady(t *testing.T) {
	t.Helper()
	if r.firstReady.IsZero() {
		t.Fatal("not ready until the clients stopped")
	}
	if delay := r.firstReady.Sub(r.started); delay > readinessLimit {
		t.Errorf("ready %v after the start, want at most %v", delay, readinessLimit)
	}
}

// checkAttempts fails the test if a request was lost, ran more than once, or was not rejected at once while the instance was
// not ready. It returns how many attempts ended before the instance was ready.
func (r *restartRun) checkAttempts(t *testing.T) (rejected int) {
	t.Helper()
	var slowest time.Duration
	for i := range r.attempts {
		r.checkAttempt(t, &r.attempts[i])
		if r.attempts[i].respondedAt.Before(r.lastUnready) {
			rejected++
			slowest = max(slowest, r.attempts[i].latency())
		}
	}
	_, drainingRequests := r.draining.received()
	t.Logf("ready %v after the start; %d attempts, %d rejected until then, the slowest in %v; %d requests to draining endpoints",
		r.firstReady.Sub(r.started), len(r.attempts), rejected, slowest, len(drainingRequests))
	for _, path := range r.undelivered {
		t.Errorf("%s: still rejected at the end", path)
	}
	r.checkRuns(t)
	return rejected
}

func (r *restartRun) checkAttempt(t *testing.T, a *clientAttempt) {
	t.Helper()
	description := fmt.Sprintf("%s, sent %v after the start, took %v", a.path, a.sentAt.Sub(r.started), a.latency())
	unready := a.respondedAt.Before(r.lastUnready)
	switch {
	case a.err != nil:
		t.Errorf("%s: request lost: %v", description, a.err)
	case unready && !a.isRejection():
		t.Errorf("%s: got status %d, Retry-After %q while not ready, want 503, %q", description, a.status, a.retryAfter, retryAfter)
	case unready && a.latency() > rejectionLimit:
		t.Errorf("%s: want a rejection within %v", description, rejectionLimit)
	case a.status != http.StatusOK && !a.isRejection():
		t.Errorf("%s: got status %d, Retry-After %q, want 200, or 503 with %q", description, a.status, a.retryAfter, retryAfter)
	}
}

// checkRuns fails the test if a non-idempotent request ran more than once, or a request that succeeded did not run.
func (r *restartRun) checkRuns(t *testing.T) {
	t.Helper()
	_, drainingRequests := r.draining.received()
	_, stayingRequests := r.staying.received()
	for _, a := range r.attempts {
		runs := drainingRequests[a.path] + stayingRequests[a.path]
		if strings.HasPrefix(a.path, "/pay/") && runs > 1 || a.status == http.StatusOK && runs == 0 {
			t.Errorf("%s: got status %d and %d runs, want at least one run for status 200, and at most one of /pay",
				a.path, a.status, runs)
		}
	}
}

// checkNoRequestBefore fails the test if an endpoint received a request earlier than this time after the start.
func (r *restartRun) checkNoRequestBefore(t *testing.T, earliest time.Duration) {
	t.Helper()
	for name, host := range map[string]*endpointHost{"draining": r.draining, "staying": r.staying} {
		firstAt, requests := host.received()
		if after := firstAt.Sub(r.started); len(requests) > 0 && after < earliest {
			t.Errorf("%s endpoints: got a request %v after the start, want none before %v", name, after, earliest)
		}
	}
}

// endpointSource is the origin of the endpoint list that an instance uses once it is ready.
type endpointSource int

const (
	fromDiscovery     endpointSource = iota + 1 // discovery's list arrived in time; draining endpoints get no requests
	fromConfiguration                           // no list arrived; the instance logs a warning and uses its configuration's
)

// checkListSource fails the test unless the instance uses the list from source.
func (r *restartRun) checkListSource(t *testing.T, source endpointSource) {
	t.Helper()
	warned := strings.Contains(r.process.log.String(), "no endpoint list received since the start")
	_, requests := r.draining.received()
	switch source {
	case fromDiscovery:
		if warned || len(requests) > 0 {
			t.Errorf("got %d requests to draining endpoints, warning logged: %v, want neither with discovery's list",
				len(requests), warned)
		}
	case fromConfiguration:
		if !warned {
			t.Error("want a warning that the configured list is used")
		}
	default:
		t.Fatalf("test case has unknown source %d", source)
	}
}

// A process that starts under load is ready within 6 s, whether discovery responds late, slowly or with a huge list, refuses
// connections or never responds. Until the process is ready, each request is rejected at once with Retry-After, and none is
// lost or sent to an endpoint of the configuration's list, which may be older than discovery's. The test guards against a
// start that waits longer for an unresponsive discovery, a delay by a huge list, and requests before a list was received.
func TestRestart(t *testing.T) {
	cases := []struct {
		name     string
		agent    startAgent
		huge     bool           // the endpoint lists are nearly as long as discovery allows
		source   endpointSource // origin of the list that the instance uses once it is ready
		earliest time.Duration  // earliest time of a request to an endpoint, since the start
	}{
		{name: "slow, half a second late", agent: lateAgent(500 * time.Millisecond), source: fromDiscovery, earliest: 500 * time.Millisecond},
		{name: "slow, three seconds late", agent: lateAgent(3 * time.Second), source: fromDiscovery, earliest: 3 * time.Second},
		{name: "slow, in pieces", agent: slowAgent(100 * time.Millisecond), source: fromDiscovery, earliest: 90 * time.Millisecond},
		{name: "slow, in pieces for three seconds", agent: slowAgent(3 * time.Second), source: fromDiscovery, earliest: 2700 * time.Millisecond},
		{name: "unresponsive for three seconds", agent: recoveringAgent(3 * time.Second), source: fromDiscovery, earliest: 3 * time.Second},
		{name: "unresponsive", agent: unresponsiveAgent, source: fromConfiguration, earliest: discoveryTimeout},
		{name: "refuses connections", agent: refusingAgent, source: fromConfiguration, earliest: discoveryTimeout},
		{name: "huge", agent: lateAgent(0), huge: true, source: fromDiscovery},
		{
			name: "huge, half a second late", agent: lateAgent(500 * time.Millisecond), huge: true,
			source: fromDiscovery, earliest: 500 * time.Millisecond,
		},
		{name: "huge, unresponsive", agent: unresponsiveAgent, huge: true, source: fromConfiguration, earliest: discoveryTimeout},
	}
	platform := newPlatformStub(t)
	// All processes run at the same time, so that the test takes little longer than one timeout.
	restarts := make([]*restartRun, len(cases))
	for i, test := range cases {
		restarts[i] = newRestart(t, platform, test.agent, test.huge)
	}
	for i, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := restarts[i]
			<-r.done
			defer func() {
				if t.Failed() {
					t.Logf("log of the instance:\n%s", r.process.log.String())
				}
			}()
			r.checkReady(t)
			if rejected := r.checkAttempts(t); rejected == 0 && test.earliest > 0 {
				t.Error("want requests that were rejected while the instance was not ready, got none")
			}
			r.checkNoRequestBefore(t, test.earliest)
			r.checkListSource(t, test.source)
		})
	}
}
