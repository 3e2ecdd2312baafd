package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// readyWithin is the operators' figure for a restarted marshal, for days that end soon.
	readyWithin = 6 * time.Second
	// longestList is the bound on a list in internal/discovery, in bytes.
	longestList = 1 << 20
	// atOnce is how long a refusal may take at most; all time limits have slack on a busy machine.
	atOnce = 450 * time.Millisecond
	// comeBack is what Retry-After says by the settings of the tests.
	comeBack = "0.020"
)

// endpoint is a node in the form of discovery's list, which the configuration has too.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	ImageID int     `json:"image_id"`
}

// endpointList writes a whole list in discovery's form, indented.
func endpointList(t *testing.T, index int, endpoints []endpoint) []byte {
	t.Helper()
	text, err := json.MarshalIndent(map[string]any{"index": index, "snapshot": true, "endpoints": endpoints}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// recorder is a machine that nodes of the list run on; it counts what they are sent.
type recorder struct {
	server   *httptest.Server
	mu       sync.Mutex
	first    time.Time      // when the first request came
	requests map[string]int // requests by path
}

func newRecorder(t *testing.T) *recorder {
	t.Helper()
	node := &recorder{requests: map[string]int{}}
	node.server = httptest.NewServer(node)
	t.Cleanup(node.server.Close)
	return node
}

func (n *recorder) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.requests) == 0 {
		n.first = time.Now()
	}
	n.requests[r.URL.Path]++
}

// seen tells when the first request came, and how many by path.
func (n *recorder) seen() (first time.Time, ran map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.first, maps.Clone(n.requests)
}

func (n *recorder) address() string { return n.server.Listener.Addr().String() }

// answering makes an agent that writes each answer to a call for the whole list as write does. Its watches bring nothing, in
// the time that the call names.
func answering(write func(rw http.ResponseWriter, r *http.Request, list []byte)) func(*testing.T, []byte) string {
	return func(t *testing.T, list []byte) string {
		t.Helper()
		agent := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if since := r.FormValue("since"); since != "" {
				wait, err := time.ParseDuration(r.FormValue("timeout_ms") + "ms")
				if err != nil {
					t.Errorf("a watch with %q: %v", r.URL.RawQuery, err)
				}
				select {
				case <-time.After(wait):
					fmt.Fprintf(rw, `{"index":%s,"snapshot":false,"endpoints":[]}`, since)
				case <-r.Context().Done():
				}
				return
			}
			write(rw, r, list)
		}))
		t.Cleanup(agent.Close)
		t.Cleanup(agent.CloseClientConnections)
		return agent.Listener.Addr().String()
	}
}

// after makes an agent that answers each call so long after it came.
func after(delay time.Duration) func(*testing.T, []byte) string {
	return answering(func(rw http.ResponseWriter, r *http.Request, list []byte) {
		select {
		case <-time.After(delay):
			rw.Write(list)
		case <-r.Context().Done():
		}
	})
}

// inPieces makes an agent that begins to answer at once and takes so long to the end.
func inPieces(span time.Duration) func(*testing.T, []byte) string {
	const pieces = 10
	return answering(func(rw http.ResponseWriter, r *http.Request, list []byte) {
		for i := range pieces {
			rw.Write(list[i*len(list)/pieces : (i+1)*len(list)/pieces])
			if http.NewResponseController(rw).Flush() != nil {
				return
			}
			select {
			case <-time.After(span / pieces):
			case <-r.Context().Done():
				return
			}
		}
	})
}

// silentFor makes an agent that never answers what comes so long after its first call, and from then on at once.
func silentFor(span time.Duration) func(*testing.T, []byte) string {
	var once sync.Once
	var back time.Time
	return answering(func(rw http.ResponseWriter, r *http.Request, list []byte) {
		once.Do(func() { back = time.Now().Add(span) })
		if time.Now().Before(back) {
			<-r.Context().Done()
			return
		}
		rw.Write(list)
	})
}

// silentAgent takes connections and never answers.
func silentAgent(t *testing.T, _ []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the system takes them, nobody reads
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// refusingAgent refuses connections.
func refusingAgent(t *testing.T, _ []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// unusedAddress is one that nobody listens on. It is below the ports that Linux gives to whoever asks for any: clients dial it
// before the process listens, and must not reach somebody else who got it meanwhile.
func unusedAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
	t.Fatal("no port is free")
	return ""
}

// attempt is one request to the marshal and what came of it.
type attempt struct {
	path            string
	sent, responded time.Time
	status          int
	retryAfter      string
	err             error
}

// restart is a process of ottershed from its start on, with clients that send requests from the first moment. Discovery has
// half of the nodes as leaving that its configuration's list has as ready.
type restart struct {
	address          string
	began            time.Time
	leaving, staying *recorder
	log              syncBuffer
	client           *http.Client
	responses        atomic.Bool   // it has answered somebody
	listening        chan struct{} // closed as soon as it has
	ready            chan struct{} // closed as soon as /up has said yes
	done             chan struct{} // closed as soon as clients and /up's reader have ended

	// Once over is closed.
	lastUnready, firstReady time.Time // when the last GET /up that was answered no was sent, and when the first yes came
	attempts                []attempt
	undelivered             []string // paths of requests that were still refused at the end
}

// newRestart starts a process and its clients, and returns as soon as it listens.
func newRestart(t *testing.T, w *platform, agent func(*testing.T, []byte) string, huge bool) *restart {
	t.Helper()
	r := &restart{
		leaving: newRecorder(t), staying: newRecorder(t), listening: make(chan struct{}), ready: make(chan struct{}),
		done: make(chan struct{}), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second},
	}
	// All at two addresses: what a node of the list is sent must reach somebody.
	pair := func(suffix string) []endpoint {
		return []endpoint{
			{"leaving" + suffix, r.leaving.address(), "z", "k", "Ready", 1, 1},
			{"staying" + suffix, r.staying.address(), "z", "k", "Ready", 1, 1},
		}
	}
	leave := func(endpoints []endpoint) []endpoint {
		endpoints = slices.Clone(endpoints)
		for i := range endpoints {
			if endpoints[i].Address == r.leaving.address() {
				endpoints[i].Status = "Terminating"
			}
		}
		return endpoints
	}
	known := pair("")
	if huge {
		one, two := leave(pair("-0000")), leave(append(pair("-0000"), pair("-0001")...))
		each := len(endpointList(t, 2, two)) - len(endpointList(t, 2, one))
		for i := range (longestList - 1000) / each {
			known = append(known, pair(fmt.Sprintf("-%04d", i))...)
		}
	}
	knownList := endpointList(t, 1, known)
	list := endpointList(t, 2, leave(known))
	if len(list) > longestList || huge && len(list) < longestList-2000 {
		t.Fatalf("a list of %d bytes, %d endpoints", len(list), len(known))
	}
	cfg, path := w.file(t)
	r.address = unusedAddress(t)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, strings.NewReplacer(`"`+cfg.Listen+`"`, `"`+r.address+`"`, `"`+cfg.Discovery+`"`, `"`+agent(t, list)+`"`,
		`"give-up-ms":300`, `"give-up-ms":2000`, `"seed":`, `"known":`+string(knownList)+`,"seed":`).Replace(string(text)))
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "serve", "--config", path)
	cmd.Env, cmd.Stderr = append(os.Environ(), asProgram+"=1"), &r.log
	r.began = time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	go r.watch()
	select {
	case <-r.listening:
	case <-r.done:
	}
	return r
}

// watch has clients send and asks /up, until it is ready and has delivered to each client for a while.
func (r *restart) watch() {
	defer close(r.done)
	giveUp := r.began.Add(2 * readyWithin) // late enough to tell how late a late one is
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

// askUp asks /up until it says yes.
func (r *restart) pollReadiness(giveUp time.Time) {
	for ; time.Now().Before(giveUp); time.Sleep(5 * time.Millisecond) {
		sent := time.Now()
		res, err := r.client.Get("http://" + r.address + "/up")
		if err != nil {
			continue
		}
		res.Body.Close()
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

// send sends one request behind another, each again while it is refused, until some were delivered by a marshal that is
// ready.
func (r *restart) send(method string, giveUp time.Time) (attempts []attempt, undelivered []string) {
	group := map[string]string{http.MethodGet: "read", http.MethodPost: "pay"}[method]
	for n, delivered := 0, 0; delivered < 20; n++ {
		path := fmt.Sprintf("/%s/%d", group, n)
		for {
			if time.Now().After(giveUp) {
				return attempts, append(undelivered, path)
			}
			respondedBefore := r.responses.Load()
			a := r.request(method, path, fmt.Sprintf("%s-%d-%d", group, n, len(attempts)))
			if errors.Is(a.err, syscall.ECONNREFUSED) && !respondedBefore { // it does not listen yet
				time.Sleep(5 * time.Millisecond)
				continue
			}
			attempts = append(attempts, a)
			if a.err == nil && a.status == http.StatusServiceUnavailable {
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
	req, err := http.NewRequest(method, "http://"+r.address+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left", "2")
	a.sent = time.Now()
	res, err := r.client.Do(req)
	if err == nil {
		a.status, a.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	a.responded, a.err = time.Now(), err
	return a
}

// checkAttempts tells of requests that were lost, ran more than once, or were not refused at once while the process was not
// ready. It returns how many were refused until then.
func (r *restart) checkAttempts(t *testing.T) (refused int) {
	t.Helper()
	slowest := time.Duration(0)
	for _, a := range r.attempts {
		took := a.responded.Sub(a.sent)
		at := fmt.Sprintf("%s, sent %v after the start, took %v", a.path, a.sent.Sub(r.began), took)
		isRefusal := a.status == http.StatusServiceUnavailable && a.retryAfter == comeBack
		switch {
		case a.err != nil:
			t.Errorf("%s: lost: %v", at, a.err)
		case a.responded.Before(r.lastUnready) && !isRefusal:
			t.Errorf("%s: status %d, Retry-After %q, while not ready", at, a.status, a.retryAfter)
		case a.responded.Before(r.lastUnready) && took > atOnce:
			t.Errorf("%s: not refused at once", at)
		case a.status != http.StatusOK && !isRefusal:
			t.Errorf("%s: status %d, Retry-After %q", at, a.status, a.retryAfter)
		}
		if a.responded.Before(r.lastUnready) {
			refused++
			slowest = max(slowest, took)
		}
	}
	_, leavingRan := r.leaving.seen()
	_, stayingRan := r.staying.seen()
	t.Logf("ready %v after the start; %d attempts, %d refused before it, the slowest of them in %v; %d hits to nodes that leave",
		r.firstReady.Sub(r.began), len(r.attempts), refused, slowest, len(leavingRan))
	for _, path := range r.undelivered {
		t.Errorf("%s: refused until the end", path)
	}
	for _, a := range r.attempts {
		if n := leavingRan[a.path] + stayingRan[a.path]; strings.HasPrefix(a.path, "/pay/") && n > 1 ||
			a.status == http.StatusOK && n == 0 {
			t.Errorf("%s: ran %d times", a.path, n)
		}
	}
	return refused
}

// A process that starts under load is ready within 6 s, however discovery does: slow, silent, refusing or with a huge list.
// Until then each request is refused at once with Retry-After, none is lost, and none is forwarded by the configuration's
// list, which may be older than what discovery holds. It fails where a start waits longer for a silent discovery, where a
// huge list holds it up, and where a marshal forwards before it has heard.
func TestRestart(t *testing.T) {
	const (
		byDiscovery     = "discovery"     // its list is told before the wait is over; nodes that leave get nothing
		byConfiguration = "configuration" // nothing can be told, so hits go by that list, with a warning
	)
	cases := []struct {
		name     string
		agent    func(*testing.T, []byte) string
		huge     bool
		goesBy   string
		earliest time.Duration // of a forward, from the start on
	}{
		{name: "slow, half a second late", agent: after(500 * time.Millisecond), goesBy: byDiscovery, earliest: 500 * time.Millisecond},
		{name: "slow, three seconds late", agent: after(3 * time.Second), goesBy: byDiscovery, earliest: 3 * time.Second},
		{name: "slow, in pieces", agent: inPieces(100 * time.Millisecond), goesBy: byDiscovery, earliest: 90 * time.Millisecond},
		{name: "slow, in pieces for three seconds", agent: inPieces(3 * time.Second), goesBy: byDiscovery, earliest: 2700 * time.Millisecond},
		{name: "silent for three seconds", agent: silentFor(3 * time.Second), goesBy: byDiscovery, earliest: 3 * time.Second},
		{name: "silent", agent: silentAgent, goesBy: byConfiguration, earliest: discoveryTimeout},
		{name: "refuses connections", agent: refusingAgent, goesBy: byConfiguration, earliest: discoveryTimeout},
		{name: "huge", agent: after(0), huge: true, goesBy: byDiscovery},
		{name: "huge, half a second late", agent: after(500 * time.Millisecond), huge: true, goesBy: byDiscovery, earliest: 500 * time.Millisecond},
		{name: "huge, silent", agent: silentAgent, huge: true, goesBy: byConfiguration, earliest: discoveryTimeout},
	}
	w := newPlatform(t)
	t.Cleanup(w.close)
	// All processes wait beside each other, so that the test takes little longer than one wait.
	restarts := make([]*restart, len(cases))
	for i, tc := range cases {
		restarts[i] = newRestart(t, w, tc.agent, tc.huge)
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := restarts[i]
			<-r.done
			defer func() {
				if t.Failed() {
					t.Logf("its log:\n%s", r.log.String())
				}
			}()
			if r.firstReady.IsZero() {
				t.Fatal("never ready")
			}
			if took := r.firstReady.Sub(r.began); took > readyWithin {
				t.Errorf("ready %v after the start, want %v at most", took, readyWithin)
			}
			if refused := r.checkAttempts(t); refused == 0 && tc.earliest > 0 {
				t.Error("no request came while it was not ready")
			}
			for name, node := range map[string]*recorder{"leave": r.leaving, "stay": r.staying} {
				first, ran := node.seen()
				if after := first.Sub(r.began); len(ran) > 0 && after < tc.earliest {
					t.Errorf("nodes that %s got a hit %v after the start, want none before %v", name, after, tc.earliest)
				}
			}
			warned := strings.Contains(r.log.String(), "no endpoint list since the start")
			if _, ran := r.leaving.seen(); tc.goesBy == byDiscovery && (warned || len(ran) > 0) {
				t.Errorf("it did not go by discovery's list alone: %d hits to nodes that leave, warned: %v", len(ran), warned)
			}
			if tc.goesBy != byDiscovery && tc.goesBy != byConfiguration {
				t.Fatalf("the case names no list: %q", tc.goesBy)
			}
			if tc.goesBy == byConfiguration && !warned {
				t.Error("no warning that hits go by the list of the configuration")
			}
		})
	}
}
