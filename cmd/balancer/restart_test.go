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
	// readyWithin is the operators' limit for a restarted instance, for days that end soon.
	readinessLimit = 6 * time.Second
	// longestList is the limit on a list in internal/discovery, in bytes.
	maxListBytes = 1 << 20
	// atOnce is how long a rejection may take at most; all time limits have slack on a busy machine.
	rejectionLimit = 450 * time.Millisecond
	// retryAfter is the Retry-After header of rejections by the settings of the tests.
	retryAfter = "0.020"
)

// recorder is a machine that endpoints of the list run on; it counts the requests that they receive.
type endpointHost struct {
	server   *httptest.Server
	mu       sync.Mutex
	first    time.Time      // when the first request arrived
	requests map[string]int // requests by path
}

func newEndpointHost(t *testing.T) *endpointHost {
	t.Helper()
	recorder := &endpointHost{requests: map[string]int{}}
	recorder.server = httptest.NewServer(recorder)
	t.Cleanup(recorder.server.Close)
	return recorder
}

func (r *endpointHost) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) == 0 {
		r.first = time.Now()
	}
	r.requests[request.URL.Path]++
}

// seen returns when the first request arrived, and how many arrived by path.
func (r *endpointHost) received() (first time.Time, ran map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, maps.Clone(r.requests)
}

func (r *endpointHost) address() string { return r.server.Listener.Addr().String() }

// unusedAddress is one that nobody listens on. It is below the ports that Linux gives to whoever asks for any: clients dial it
// before the process listens, and must not reach another listener that got it meanwhile.
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
	t.Fatal("no port is free")
	return ""
}

// attempt is one request to the instance and what came of it.
type clientAttempt struct {
	path            string
	sent, responded time.Time
	status          int
	retryAfter      string
	err             error
}

// rejected tells whether the instance rejected the request with Retry-After.
func (a *clientAttempt) rejected() bool {
	return a.status == http.StatusServiceUnavailable && a.retryAfter == retryAfter
}

func (a *clientAttempt) latency() time.Duration { return a.responded.Sub(a.sent) }

// restart is a process from its start on, with clients that send requests from the first moment. Half of the endpoints
// that are ready on its configuration's list drain on discovery's.
type restartRun struct {
	address           string
	started           time.Time
	draining, staying *endpointHost
	process           *balancerProcess
	client            *http.Client
	responded         atomic.Bool   // the process has responded to somebody
	listening         chan struct{} // closed as soon as it has
	ready             chan struct{} // closed as soon as /up has said yes
	done              chan struct{} // closed as soon as all clients have ended

	// Set once done is closed.
	lastUnready, firstReady time.Time // when the last /up that said no was sent, and when the first yes arrived
	attempts                []clientAttempt
	undelivered             []string // paths of requests that were still rejected at the end
}

// newRestart starts a process and its clients, and returns as soon as it listens.
func newRestart(t *testing.T, p *platformStub, agent startAgent, huge bool) *restartRun {
	t.Helper()
	started := &restartRun{
		address:  unusedAddress(t),
		draining: newEndpointHost(t), staying: newEndpointHost(t),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
		listening: make(chan struct{}), ready: make(chan struct{}), done: make(chan struct{}),
	}
	configured, announced := started.endpointLists(t, huge)
	cfg, path := p.configFile(t)
	writeFile(t, path, strings.NewReplacer(
		`"`+cfg.Listen+`"`, `"`+started.address+`"`, `"`+cfg.Discovery+`"`, `"`+agent(t, announced)+`"`,
		`"give-up-ms":300`, `"give-up-ms":2000`, `"seed":`, `"known":`+string(configured)+`,"seed":`,
	).Replace(readFile(t, path)))
	started.started = time.Now()
	started.process = startProcess(t, path)
	go started.generateLoad()
	select {
	case <-started.listening:
	case <-started.done:
	}
	return started
}

// pair is two endpoints, one on each recorder: a request to any endpoint of a list must reach one of them.
func (r *restartRun) endpointPair(suffix string) []endpoint {
	return []endpoint{
		{"leaving" + suffix, r.draining.address(), "z", "k", "Ready", 1, 1},
		{"staying" + suffix, r.staying.address(), "z", "k", "Ready", 1, 1},
	}
}

// drain returns the endpoints with half of them draining.
func (r *restartRun) withDraining(endpoints []endpoint) []endpoint {
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		if endpoints[i].Address == r.draining.address() {
			endpoints[i].Status = "Terminating"
		}
	}
	return endpoints
}

// lists are the configuration's endpoint list and discovery's. Huge ones are as long as discovery's may be.
func (r *restartRun) endpointLists(t *testing.T, huge bool) (configured, announced []byte) {
	t.Helper()
	endpoints := r.endpointPair("")
	if huge {
		one, two := r.withDraining(r.endpointPair("-0000")), r.withDraining(append(r.endpointPair("-0000"), r.endpointPair("-0001")...))
		each := len(endpointList(t, 2, two)) - len(endpointList(t, 2, one))
		for i := range (maxListBytes - 1000) / each {
			endpoints = append(endpoints, r.endpointPair(fmt.Sprintf("-%04d", i))...)
		}
	}
	configured = endpointList(t, 1, endpoints)
	announced = endpointList(t, 2, r.withDraining(endpoints))
	if len(announced) > maxListBytes || huge && len(announced) < maxListBytes-2000 {
		t.Fatalf("a list of %d bytes, %d endpoints", len(announced), len(endpoints))
	}
	return configured, announced
}

// watch runs the clients and polls /up, until the instance is ready and has delivered to each client for a while.
func (r *restartRun) generateLoad() {
	defer close(r.done)
	giveUp := r.started.Add(2 * readinessLimit) // late enough to measure how late a late one is
	var running sync.WaitGroup
	running.Go(func() { r.pollReadiness(giveUp) })
	var mu sync.Mutex
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		running.Go(func() {
			attempts, undelivered := r.send(method, giveUp)
			mu.Lock()
			defer mu.Unlock()
			r.attempts = append(r.attempts, attempts...)
			r.undelivered = append(r.undelivered, undelivered...)
		})
	}
	running.Wait()
}

// pollReadiness polls /up until it says yes.
func (r *restartRun) pollReadiness(giveUp time.Time) {
	for ; time.Now().Before(giveUp); time.Sleep(5 * time.Millisecond) {
		sent := time.Now()
		res, err := r.client.Get("http://" + r.address + "/up")
		if err != nil {
			continue
		}
		_ = res.Body.Close() // only its status is asked for
		if !r.responded.Swap(true) {
			close(r.listening)
		}
		if res.StatusCode == http.StatusOK {
			r.firstReady = time.Now()
			close(r.ready)
			return
		}
		r.lastUnready = sent
	}
}

// send sends one request after another, each again while it is rejected, until some were delivered by an instance that is
// ready.
func (r *restartRun) send(method string, giveUp time.Time) (attempts []clientAttempt, undelivered []string) {
	class := map[string]string{http.MethodGet: "read", http.MethodPost: "pay"}[method]
	for n, delivered := 0, 0; delivered < 20; n++ {
		path := fmt.Sprintf("/%s/%d", class, n)
		for {
			if time.Now().After(giveUp) {
				return attempts, append(undelivered, path)
			}
			respondedBefore := r.responded.Load()
			sent := r.request(method, path, fmt.Sprintf("%s-%d-%d", class, n, len(attempts)))
			if errors.Is(sent.err, syscall.ECONNREFUSED) && !respondedBefore { // it does not listen yet
				time.Sleep(5 * time.Millisecond)
				continue
			}
			attempts = append(attempts, sent)
			if sent.err == nil && sent.status == http.StatusServiceUnavailable {
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

// request sends a request once.
func (r *restartRun) request(method, path, id string) clientAttempt {
	a := clientAttempt{path: path}
	request, err := newRequest(method, "http://"+r.address+path, "", id, "2")
	if err != nil {
		a.err = err
		return a
	}
	a.sent = time.Now()
	res, err := r.client.Do(request)
	if err == nil {
		a.status, a.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close() // read to its end
	}
	a.responded, a.err = time.Now(), err
	return a
}

// checkReady fails the test unless the instance was ready in time.
func (r *restartRun) checkReady(t *testing.T) {
	t.Helper()
	if r.firstReady.IsZero() {
		t.Fatal("never ready")
	}
	if took := r.firstReady.Sub(r.started); took > readinessLimit {
		t.Errorf("ready %v after the start, want %v at most", took, readinessLimit)
	}
}

// checkAttempts fails the test where a request was lost, ran more than once, or was not rejected at once while the instance
// was not ready. It returns how many were rejected until then.
func (r *restartRun) checkAttempts(t *testing.T) (rejected int) {
	t.Helper()
	var slowest time.Duration
	for i := range r.attempts {
		r.checkAttempt(t, &r.attempts[i])
		if r.attempts[i].responded.Before(r.lastUnready) {
			rejected++
			slowest = max(slowest, r.attempts[i].latency())
		}
	}
	_, drainingRan := r.draining.received()
	t.Logf("ready %v after the start; %d attempts, %d rejected before it, the slowest of them in %v; %d requests to draining endpoints",
		r.firstReady.Sub(r.started), len(r.attempts), rejected, slowest, len(drainingRan))
	for _, path := range r.undelivered {
		t.Errorf("%s: rejected until the end", path)
	}
	r.checkRuns(t)
	return rejected
}

func (r *restartRun) checkAttempt(t *testing.T, a *clientAttempt) {
	t.Helper()
	at := fmt.Sprintf("%s, sent %v after the start, took %v", a.path, a.sent.Sub(r.started), a.latency())
	unready := a.responded.Before(r.lastUnready)
	switch {
	case a.err != nil:
		t.Errorf("%s: lost: %v", at, a.err)
	case unready && !a.rejected():
		t.Errorf("%s: status %d, Retry-After %q, while not ready", at, a.status, a.retryAfter)
	case unready && a.latency() > rejectionLimit:
		t.Errorf("%s: not rejected at once", at)
	case a.status != http.StatusOK && !a.rejected():
		t.Errorf("%s: status %d, Retry-After %q", at, a.status, a.retryAfter)
	}
}

// checkRuns fails the test where a non-idempotent request ran more than once, or one that succeeded never.
func (r *restartRun) checkRuns(t *testing.T) {
	t.Helper()
	_, drainingRan := r.draining.received()
	_, stayingRan := r.staying.received()
	for _, a := range r.attempts {
		n := drainingRan[a.path] + stayingRan[a.path]
		if strings.HasPrefix(a.path, "/pay/") && n > 1 || a.status == http.StatusOK && n == 0 {
			t.Errorf("%s: ran %d times", a.path, n)
		}
	}
}

// checkEarliest fails the test where an endpoint received a request sooner after the start.
func (r *restartRun) checkNoRequestBefore(t *testing.T, earliest time.Duration) {
	t.Helper()
	for name, endpoints := range map[string]*endpointHost{"draining": r.draining, "staying": r.staying} {
		first, ran := endpoints.received()
		if after := first.Sub(r.started); len(ran) > 0 && after < earliest {
			t.Errorf("%s endpoints got a request %v after the start, want none before %v", name, after, earliest)
		}
	}
}

// listSource is whose endpoint list an instance uses once it is ready.
type endpointSource int

const (
	fromDiscovery     endpointSource = iota + 1 // it received the list in time; draining endpoints get nothing
	fromConfiguration                           // it received none, so it uses its configuration's, with a warning
)

// checkSource fails the test unless the instance uses the list of this source.
func (r *restartRun) checkListSource(t *testing.T, source endpointSource) {
	t.Helper()
	warned := strings.Contains(r.process.log.String(), "no endpoint list since the start")
	_, ran := r.draining.received()
	switch source {
	case fromDiscovery:
		if warned || len(ran) > 0 {
			t.Errorf("it did not use discovery's list alone: %d requests to draining endpoints, warned: %v", len(ran), warned)
		}
	case fromConfiguration:
		if !warned {
			t.Error("no warning that it uses the list of the configuration")
		}
	default:
		t.Fatalf("the case names no list: %d", source)
	}
}

// A process that starts under load is ready within 6 s, whatever discovery does: late, slow, unresponsive, refusing or with a
// huge list. Until then each request is rejected at once with Retry-After, none is lost, and none is sent to an endpoint by the
// configuration's list, which may be older than discovery's. It fails where a start waits longer for an unresponsive discovery,
// where a huge list delays it, and where an instance sends requests before it received a list.
func TestRestart(t *testing.T) {
	cases := []struct {
		name     string
		agent    startAgent
		huge     bool
		source   endpointSource
		earliest time.Duration // of a request to an endpoint, from the start on
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
	// All processes run beside each other, so that the test takes little longer than one timeout.
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
					t.Logf("its log:\n%s", r.process.log.String())
				}
			}()
			r.checkReady(t)
			if rejected := r.checkAttempts(t); rejected == 0 && test.earliest > 0 {
				t.Error("no request arrived while it was not ready")
			}
			r.checkNoRequestBefore(t, test.earliest)
			r.checkListSource(t, test.source)
		})
	}
}
