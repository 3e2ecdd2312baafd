package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershed/internal/config"
)

// testSettings are the settings of most tests, with an idempotent and a non-idempotent request class.
const testSettings = `{"n-instances":1,"zone":"z","limits":{"most-tries":5,"cancel":true,"retry-after":true,"max-retry-after-ms":20,
"conn-idle-ms":30000,"connect-timeout-ms":100},"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,
"overload-for-ms":1000,"answer-slack-ms":20},"domain":{"caps":[1],"waves":[1],"uncounted":1,"guarded-stages":0,
"on-votes":1,"votes-to-revert":1,"vote-wait-ms":100,"vote-ttl-ms":1000},"services":[
{"name":"read","aim-ms":100,"give-up-ms":300,"idempotency":"safe"},{"name":"pay","aim-ms":100,"give-up-ms":300,"idempotency":"unsafe"}]}`

// endpointFault is a way in which the endpoints of a platformStub fail.
type endpointFault int32

const (
	noFault         endpointFault = iota
	respondsError                 // status 500
	neverResponds                 // reads the request and never responds
	dropsConnection               // closes the connection without a response
	faultCount                    // the number of faults, including noFault
	respondsLargely               // no fault: responds with a body of nearly the largest length
)

// platformStub runs stubs of three endpoints, a discovery agent and the rollout controller.
type platformStub struct {
	endpoints  []*httptest.Server
	agent      *httptest.Server
	controller net.Listener
	closing    sync.Once
	done       chan struct{} // closed when close is called

	fault           atomic.Int32 // the endpointFault of all endpoints
	version         atomic.Int32 // version of the endpoint list; from version 2 on the first endpoint is draining
	discoveryCalls  atomic.Int32 // polls and watches that the discovery agent has received
	controllerLines atomic.Int32 // lines that the controller has received

	mu                sync.Mutex
	nonIdempotentRuns map[string]int         // how often endpoints received each POST request, by its X-Correlation-Id
	attemptTimes      map[string][]time.Time // when endpoints received each request, by its X-Correlation-Id
	draws             *rand.Rand             // if not nil, the fault of each request is drawn from it
	hold              <-chan struct{}        // if not nil, endpoints reject each request but servedID's once it is closed
}

// newPlatformStub starts the stubs. The end of the test stops them.
func newPlatformStub(t *testing.T) *platformStub {
	t.Helper()
	p := &platformStub{
		nonIdempotentRuns: map[string]int{}, attemptTimes: map[string][]time.Time{}, done: make(chan struct{}),
	}
	p.version.Store(1)
	controller, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.controller = controller
	for range 3 {
		p.endpoints = append(p.endpoints, httptest.NewServer(http.HandlerFunc(p.serveEndpoint)))
	}
	p.agent = httptest.NewServer(http.HandlerFunc(p.serveEndpointList))
	go p.serveController()
	t.Cleanup(p.close)
	return p
}

func (p *platformStub) setFault(f endpointFault) { p.fault.Store(int32(f)) }

func (p *platformStub) agentAddress() string { return p.agent.Listener.Addr().String() }

func (p *platformStub) controllerAddress() string { return p.controller.Addr().String() }

func (p *platformStub) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	hold, fault := p.recordAttempt(r)
	if hold != nil {
		rejectOnceReleased(w, r, hold)
		return
	}
	switch fault {
	case respondsError:
		w.WriteHeader(http.StatusInternalServerError)
	case neverResponds:
		_, _ = io.ReadAll(r.Body) // the balancer may cancel the attempt
		select {
		case <-r.Context().Done():
		case <-p.done:
		}
	case respondsLargely:
		_, _ = io.WriteString(w, strings.Repeat("x", 60<<10)) // the balancer may have cancelled the attempt
	case dropsConnection:
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "hi") // the balancer may have cancelled the attempt
}

// servedID is the X-Correlation-Id of requests that are served in spite of holdAttempts.
const servedID = "served"

// recordAttempt records a request that an endpoint has received. It returns the channel after which the request is
// rejected, or nil and its fault.
func (p *platformStub) recordAttempt(r *http.Request) (hold <-chan struct{}, fault endpointFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.Header.Get("X-Correlation-Id")
	p.attemptTimes[id] = append(p.attemptTimes[id], time.Now())
	if p.hold != nil && id != servedID {
		return p.hold, noFault
	}
	fault = endpointFault(p.fault.Load())
	if p.draws != nil {
		if p.draws.IntN(2) == 0 {
			return drawRelease(p.draws), noFault
		}
		fault = endpointFault(p.draws.IntN(int(faultCount)))
	}
	if r.Method == http.MethodPost {
		p.nonIdempotentRuns[id]++
	}
	return nil, fault
}

// drawRelease returns a channel that is closed within 0.2 s.
func drawRelease(random *rand.Rand) <-chan struct{} {
	released := make(chan struct{})
	time.AfterFunc(drawBetween(random, 0, 200*time.Millisecond), func() { close(released) })
	return released
}

// drawFaults makes the endpoints reject half of the requests after a random time, and draws the faults of the others.
func (p *platformStub) drawFaults(seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draws = rand.New(rand.NewPCG(seed, 1))
}

// attemptsOfAfter returns how many attempts of a request the endpoints received after a time.
func (p *platformStub) attemptsOfAfter(id string, latest time.Time) int {
	return p.attemptsAfter(latest)[id]
}

// rejectOnceReleased rejects a request, without running it, once release is closed. If the balancer gives up before, it
// does nothing.
func rejectOnceReleased(w http.ResponseWriter, r *http.Request, release <-chan struct{}) {
	_, _ = io.ReadAll(r.Body) // the balancer may cancel the attempt
	select {
	case <-release:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
}

// holdAttempts makes the endpoints reject each request but servedID's, and not before release is closed.
func (p *platformStub) holdAttempts(release <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = release
}

// attempts returns how many attempts of a request the endpoints have received.
func (p *platformStub) attempts(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.attemptTimes[id])
}

// attemptsAfter returns the ids of the requests of which endpoints received attempts after a time, with their numbers.
func (p *platformStub) attemptsAfter(latest time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := map[string]int{}
	for id, times := range p.attemptTimes {
		for _, at := range times {
			if at.After(latest) {
				late[id]++
			}
		}
	}
	return late
}

// serveEndpointList responds to a poll at once, and to a watch as soon as its version is no longer the newest.
func (p *platformStub) serveEndpointList(w http.ResponseWriter, r *http.Request) {
	p.discoveryCalls.Add(1)
	for r.URL.RawQuery != "" && strings.Contains(r.URL.RawQuery, fmt.Sprintf("since=%d&", p.version.Load())) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
	var entries []string
	for i, server := range p.endpoints {
		status := "Ready"
		if i == 0 && p.version.Load() > 1 {
			status = "Terminating"
		}
		entries = append(entries, fmt.Sprintf(`{"name":"n%d","address":%q,"zone":"z","type":"k","status":%q,"weight":1,"image_id":1}`,
			i, server.Listener.Addr(), status))
	}
	list := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, p.version.Load(), strings.Join(entries, ","))
	_, _ = io.WriteString(w, list) // the balancer may have moved to another agent
}

func (p *platformStub) serveController() {
	for {
		connection, err := p.controller.Accept()
		if err != nil {
			return
		}
		go p.serveControllerConnection(connection)
	}
}

// serveControllerConnection acknowledges each line, and sends a stage update behind it.
func (p *platformStub) serveControllerConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the balancer may have closed it
	for lines := bufio.NewScanner(connection); lines.Scan(); {
		var message struct{ ID int }
		if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
			return // a test that waits for lines fails then
		}
		p.controllerLines.Add(1)
		if _, err := fmt.Fprintf(connection, `{"id":%d,"result":true}`+"\n"+
			`{"method":"stage","params":{"image":1,"ring":0,"progress":"live","ceiling":1}}`+"\n", message.ID); err != nil {
			return
		}
	}
}

// checkRunsOnce fails the test if endpoints received a non-idempotent request more than once.
func (p *platformStub) checkRunsOnce(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, runs := range p.nonIdempotentRuns {
		if runs > 1 {
			t.Errorf("non-idempotent request %s ran %d times, want at most once", id, runs)
		}
	}
}

// runsOf returns how often endpoints received the POST request with an id.
func (p *platformStub) runsOf(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nonIdempotentRuns[id]
}

// close stops the stubs. Further calls do nothing.
func (p *platformStub) close() {
	p.closing.Do(func() {
		close(p.done)
		_ = p.controller.Close() // nothing depends on the error
		for _, server := range append(p.endpoints, p.agent) {
			server.CloseClientConnections()
			server.Close()
		}
	})
}

// config returns a configuration for an instance that uses the platform.
func (p *platformStub) config(t *testing.T) *config.Config {
	t.Helper()
	cfg, _ := p.configFile(t)
	return cfg
}

// configFile returns the configuration of config and the path of its file.
func (p *platformStub) configFile(t *testing.T) (*config.Config, string) {
	t.Helper()
	return p.configFileWith(t, testSettings, "{}")
}

// configFileWith returns a configuration with the given settings and limits, as JSON, and the path of its file.
func (p *platformStub) configFileWith(t *testing.T, settings, limits string) (*config.Config, string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","platform":{"address":%q},"settings":%s,"limits":%s}`,
		closedAddress(t), p.agentAddress(), p.controllerAddress(), settings, limits)
	path := writeFile(t, filepath.Join(t.TempDir(), "config.json"), text)
	cfg, err := config.Read(path, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return cfg, path
}
