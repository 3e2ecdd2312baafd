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
	readyWithin = 6 * time.Second
	// longestList is the limit on a list in internal/discovery, in bytes.
	longestList = 1 << 20
	// atOnce is how long a rejection may take at most; all time limits have slack on a busy machine.
	atOnce = 450 * time.Millisecond
	// retryAfter is the Retry-After header of rejections by the settings of the tests.
	retryAfter = "0.020"
)

// recorder is a machine that endpoints of the list run on; it counts the requests that they receive.
type recorder struct {
	server   *httptest.Server
	mu       sync.Mutex
	first    time.Time      // when the first request arrived
	requests map[string]int // requests by path
}

func newRecorder(t *testing.T) *recorder {
	t.Helper()
	recorder := &recorder{requests: map[string]int{}}
	recorder.server = httptest.NewServer(recorder)
	t.Cleanup(recorder.server.Close)
	return recorder
}

func (r *recorder) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) == 0 {
		r.first = time.Now()
	}
	r.requests[request.URL.Path]++
}

// seen returns when the first request arrived, and how many arrived by path.
func (r *recorder) seen() (first time.Time, ran map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, maps.Clone(r.requests)
}

func (r *recorder) address() string { return r.server.Listener.Addr().String() }

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
type attempt struct {
	path            string
	sent, responded time.Time
	status          int
	retryAfter      string
	err             error
}

// rejected tells whether the instance rejected the request with Retry-After.
func (a *attempt) rejected() bool {
	return a.status == http.StatusServiceUnavailable && a.retryAfter == retryAfter
}

func (a *attempt) took() time.Duration { return a.responded.Sub(a.sent) }

// restart is a process from its start on, with clients that send requests from the first moment. Half of the endpoints
// that are ready on its configuration's list drain on discovery's.
type restart struct {
	address           string
	began             time.Time
	draining, staying *recorder
	process           *process
	client            *http.Client
	responses         atomic.Bool   // the process has responded to somebody
	listening         chan struct{} // closed as soon as it has
	ready             chan struct{} // closed as soon as /up has said yes
	done              chan struct{} // closed as soon as all clients have ended

	// Set once done is closed.
	lastUnready, firstReady time.Time // when the last /up that said no was sent, and when the first yes arrived
	attempts                []attempt
	undelivered             []string // paths of requests that were still rejected at the end
}

// newRestart starts a process and its clients, and returns as soon as it listens.
func newRestart(t *testing.T, p *platform, agent startAgent, huge bool) *restart {
	t.Helper()
	started := &restart{
		address:  unusedAddress(t),
		draining: newRecorder(t), staying: newRecorder(t),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
		listening: make(chan struct{}), ready: make(chan struct{}), done: make(chan struct{}),
	}
	configured, announced := started.lists(t, huge)
	cfg, path := p.configFile(t)
	writeFile(t, path, strings.NewReplacer(
		`"`+cfg.Listen+`"`, `"`+started.address+`"`, `"`+cfg.Discovery+`"`, `"`+agent(t, announced)+`"`,
		`"give-up-ms":300`, `"give-up-ms":2000`, `"seed":`, `"known":`+string(configured)+`,"seed":`,
	).Replace(readFile(t, path)))
	started.began = time.Now()
	started.process = startProcess(t, path)
	go started.watch()
	select {
	case <-started.listening:
	case <-started.done:
	}
	return started
}

// pair is two endpoints, one on each recorder: a request to any endpoint of a list must reach one of them.
func (r *restart) pair(suffix string) []endpoint {
	return []endpoint{
		{"leaving" + suffix, r.draining.address(), "z", "k", "Ready", 1, 1},
		{"staying" + suffix, r.staying.address(), "z", "k", "Ready", 1, 1},
	}
}

// drain returns the endpoints with half of them draining.
func (r *restart) drain(endpoints []endpoint) []endpoint {
	endpoints = slices.Clone(endpoints)
	for i := range endpoints {
		if endpoints[i].Address == r.draining.address() {
			endpoints[i].Status = "Terminating"
		}
	}
	return endpoints
}

// lists are the configuration's endpoint list and discovery's. Huge ones are as long as discovery's may be.
func (r *restart) lists(t *testing.T, huge bool) (configured, announced []byte) {
	t.Helper()
	endpoints := r.pair("")
	if huge {
		one, two := r.drain(r.pair("-0000")), r.drain(append(r.pair("-0000"), r.pair("-0001")...))
		each := len(endpointList(t, 2, two)) - len(endpointList(t, 2, one))
		for i := range (longestList - 1000) / each {
			endpoints = append(endpoints, r.pair(fmt.Sprintf("-%04d", i))...)
		}
	}
	configured = endpointList(t, 1, endpoints)
	announced = endpointList(t, 2, r.drain(endpoints))
	if len(announced) > longestList || huge && len(announced) < longestList-2000 {
		t.Fatalf("a list of %d bytes, %d endpoints", len(announced), len(endpoints))
	}
	return configured, announced
}

// watch runs the clients and polls /up, until the instance is ready and has delivered to each client for a while.
func (r *restart) watch() {
	defer close(r.done)
	giveUp := r.began.Add(2 * readyWithin) // late enough to measure how late a late one is
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
func (r *restart) pollReadiness(giveUp time.Time) {
	for ; time.Now().Before(giveUp); time.Sleep(5 * time.Millisecond) {
		sent := time.Now()
		res, err := r.client.Get("http://" + r.address + "/up")
		if err != nil {
			continue
		}
		_ = res.Body.Close() // only its status is asked for
		if !r.responses.Swap(true) {
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
func (r *restart) send(method string, giveUp time.Time) (attempts []attempt, undelivered []string) {
	class := map[string]string{http.MethodGet: "read", http.MethodPost: "pay"}[method]
	for n, delivered := 0, 0; delivered < 20; n++ {
		path := fmt.Sprintf("/%s/%d", class, n)
		for {
			if time.Now().After(giveUp) {
				return attempts, append(undelivered, path)
			}
			respondedBefore := r.responses.Load()
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
func (r *restart) request(method, path, id string) attempt {
	a := attempt{path: path}
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
func (r *restart) checkReady(t *testing.T) {
	t.Helper()
	if r.firstReady.IsZero() {
		t.Fatal("never ready")
	}
	if took := r.firstReady.Sub(r.began); took > readyWithin {
		t.Errorf("ready %v after the start, want %v at most", took, readyWithin)
	}
}

// checkAttempts fails the test where a request was lost, ran more than once, or was not rejected at once while the instance
// was not ready. It returns how many were rejected until then.
func (r *restart) checkAttempts(t *testing.T) (rejected int) {
	t.Helper()
	var slowest time.Duration
	for i := range r.attempts {
		r.checkAttempt(t, &r.attempts[i])
		if r.attempts[i].responded.Before(r.lastUnready) {
			rejected++
			slowest = max(slowest, r.attempts[i].took())
		}
	}
	_, drainingRan := r.draining.seen()
	t.Logf("ready %v after the start; %d attempts, %d rejected before it, the slowest of them in %v; %d requests to draining endpoints",
		r.firstReady.Sub(r.began), len(r.attempts), rejected, slowest, len(drainingRan))
	for _, path := range r.undelivered {
		t.Errorf("%s: rejected until the end", path)
	}
	r.checkRuns(t)
	return rejected
}

func (r *restart) checkAttempt(t *testing.T, a *attempt) {
	t.Helper()
	at := fmt.Sprintf("%s, sent %v after the start, took %v", a.path, a.sent.Sub(r.began), a.took())
	unready := a.responded.Before(r.lastUnready)
	switch {
	case a.err != nil:
		t.Errorf("%s: lost: %v", at, a.err)
	case unready && !a.rejected():
		t.Errorf("%s: status %d, Retry-After %q, while not ready", at, a.status, a.retryAfter)
	case unready && a.took() > atOnce:
		t.Errorf("%s: not rejected at once", at)
	case a.status != http.StatusOK && !a.rejected():
		t.Errorf("%s: status %d, Retry-After %q", at, a.status, a.retryAfter)
	}
}

// checkRuns fails the test where a non-idempotent request ran more than once, or one that succeeded never.
func (r *restart) checkRuns(t *testing.T) {
	t.Helper()
	_, drainingRan := r.draining.seen()
	_, stayingRan := r.staying.seen()
	for _, a := range r.attempts {
		n := drainingRan[a.path] + stayingRan[a.path]
		if strings.HasPrefix(a.path, "/pay/") && n > 1 || a.status == http.StatusOK && n == 0 {
			t.Errorf("%s: ran %d times", a.path, n)
		}
	}
}

// checkEarliest fails the test where an endpoint received a request sooner after the start.
func (r *restart) checkEarliest(t *testing.T, earliest time.Duration) {
	t.Helper()
	for name, endpoints := range map[string]*recorder{"draining": r.draining, "staying": r.staying} {
		first, ran := endpoints.seen()
		if after := first.Sub(r.began); len(ran) > 0 && after < earliest {
			t.Errorf("%s endpoints got a request %v after the start, want none before %v", name, after, earliest)
		}
	}
}

// listSource is whose endpoint list an instance uses once it is ready.
type listSource int

const (
	byDiscovery     listSource = iota + 1 // it received the list in time; draining endpoints get nothing
	byConfiguration                       // it received none, so it uses its configuration's, with a warning
)

// checkSource fails the test unless the instance uses the list of this source.
func (r *restart) checkSource(t *testing.T, source listSource) {
	t.Helper()
	warned := strings.Contains(r.process.log.String(), "no endpoint list since the start")
	_, ran := r.draining.seen()
	switch source {
	case byDiscovery:
		if warned || len(ran) > 0 {
			t.Errorf("it did not use discovery's list alone: %d requests to draining endpoints, warned: %v", len(ran), warned)
		}
	case byConfiguration:
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
		source   listSource
		earliest time.Duration // of a request to an endpoint, from the start on
	}{
		{name: "slow, half a second late", agent: lateAgent(500 * time.Millisecond), source: byDiscovery, earliest: 500 * time.Millisecond},
		{name: "slow, three seconds late", agent: lateAgent(3 * time.Second), source: byDiscovery, earliest: 3 * time.Second},
		{name: "slow, in pieces", agent: slowAgent(100 * time.Millisecond), source: byDiscovery, earliest: 90 * time.Millisecond},
		{name: "slow, in pieces for three seconds", agent: slowAgent(3 * time.Second), source: byDiscovery, earliest: 2700 * time.Millisecond},
		{name: "unresponsive for three seconds", agent: recoveringAgent(3 * time.Second), source: byDiscovery, earliest: 3 * time.Second},
		{name: "unresponsive", agent: unresponsiveAgent, source: byConfiguration, earliest: discoveryTimeout},
		{name: "refuses connections", agent: refusingAgent, source: byConfiguration, earliest: discoveryTimeout},
		{name: "huge", agent: lateAgent(0), huge: true, source: byDiscovery},
		{
			name: "huge, half a second late", agent: lateAgent(500 * time.Millisecond), huge: true,
			source: byDiscovery, earliest: 500 * time.Millisecond,
		},
		{name: "huge, unresponsive", agent: unresponsiveAgent, huge: true, source: byConfiguration, earliest: discoveryTimeout},
	}
	platform := newPlatform(t)
	// All processes run beside each other, so that the test takes little longer than one timeout.
	restarts := make([]*restart, len(cases))
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
			r.checkEarliest(t, test.earliest)
			r.checkSource(t, test.source)
		})
	}
}
