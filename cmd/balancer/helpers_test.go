package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/config"
	"ottershed/internal/logging"
)

// testSettings are those of the tests: one request class that is idempotent, and one that is not.
const testSettings = `{"n-instances":1,"zone":"z","limits":{"most-tries":5,"cancel":true,"retry-after":true,"max-retry-after-ms":20,
"conn-idle-ms":30000,"connect-timeout-ms":100},"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,
"overload-for-ms":1000,"answer-slack-ms":20},"domain":{"caps":[1],"waves":[1],"uncounted":1,"guarded-stages":0,
"on-votes":1,"votes-to-revert":1,"vote-wait-ms":100,"vote-ttl-ms":1000},"services":[
{"name":"read","aim-ms":100,"give-up-ms":300,"idempotency":"safe"},{"name":"pay","aim-ms":100,"give-up-ms":300,"idempotency":"unsafe"}]}`

// stepTimeout limits how long a test waits for a step that has no limit of its own; it has slack for a busy machine.
const stepTimeout = time.Minute

// fault is how the endpoints of a platform fail.
type fault int32

const (
	noFault         fault = iota
	respondsError         // status 500
	neverResponds         // reads the request and leaves it without a response
	dropsConnection       // closes the connection in place of a response
	faults                // how many there are
)

// platform is stand-ins for three endpoints, discovery and the rollout controller.
type platform struct {
	endpoints  []*httptest.Server
	agent      *httptest.Server
	controller net.Listener
	closing    sync.Once
	done       chan struct{} // closed as the platform closes

	fault           atomic.Int32 // a fault, of all endpoints
	version         atomic.Int32 // of the endpoint list; from the second on the first endpoint drains
	discoveryCalls  atomic.Int32
	controllerLines atomic.Int32 // lines that the controller received

	mu                sync.Mutex
	nonIdempotentRuns map[string]int // how often endpoints received each POST, by its id
}

// newPlatform starts the stand-ins; they end with the test at the latest.
func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{nonIdempotentRuns: map[string]int{}, done: make(chan struct{})}
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

func (p *platform) setFault(f fault) { p.fault.Store(int32(f)) }

func (p *platform) agentAddress() string { return p.agent.Listener.Addr().String() }

func (p *platform) controllerAddress() string { return p.controller.Addr().String() }

func (p *platform) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		p.mu.Lock()
		p.nonIdempotentRuns[r.Header.Get("X-Correlation-Id")]++
		p.mu.Unlock()
	}
	switch fault(p.fault.Load()) {
	case respondsError:
		w.WriteHeader(http.StatusInternalServerError)
	case neverResponds:
		_, _ = io.ReadAll(r.Body) // the balancer may cancel the attempt
		select {
		case <-r.Context().Done():
		case <-p.done:
		}
	case dropsConnection:
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "hi") // the balancer may have cancelled the attempt
}

// serveEndpointList answers a poll at once, and a watch once its version is not the newest any more.
func (p *platform) serveEndpointList(w http.ResponseWriter, r *http.Request) {
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

func (p *platform) serveController() {
	for {
		connection, err := p.controller.Accept()
		if err != nil {
			return
		}
		go p.serveControllerConnection(connection)
	}
}

// serveControllerConnection acknowledges each line, and sends a stage update behind it.
func (p *platform) serveControllerConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the balancer may have closed it
	for lines := bufio.NewScanner(connection); lines.Scan(); {
		var message struct{ ID int }
		if err := json.Unmarshal(lines.Bytes(), &message); err != nil {
			return // tests that wait for lines fail
		}
		p.controllerLines.Add(1)
		if _, err := fmt.Fprintf(connection, `{"id":%d,"result":true}`+"\n"+
			`{"method":"stage","params":{"image":1,"ring":0,"progress":"live","ceiling":1}}`+"\n", message.ID); err != nil {
			return
		}
	}
}

// checkRunsOnce fails the test where endpoints received a non-idempotent request more than once.
func (p *platform) checkRunsOnce(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, runs := range p.nonIdempotentRuns {
		if runs > 1 {
			t.Errorf("non-idempotent request %s ran %d times", id, runs)
		}
	}
}

// close ends the stand-ins; a second call does nothing.
func (p *platform) close() {
	p.closing.Do(func() {
		close(p.done)
		_ = p.controller.Close() // nothing is left to do where it fails
		for _, server := range append(p.endpoints, p.agent) {
			server.CloseClientConnections()
			server.Close()
		}
	})
}

// config is a configuration of an instance in front of the platform.
func (p *platform) config(t *testing.T) *config.Config {
	t.Helper()
	cfg, _ := p.configFile(t)
	return cfg
}

// configFile is the configuration and the path of its file.
func (p *platform) configFile(t *testing.T) (*config.Config, string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","platform":{"address":%q},"settings":%s}`,
		closedAddress(t), p.agentAddress(), p.controllerAddress(), testSettings)
	path := writeFile(t, filepath.Join(t.TempDir(), "config.json"), text)
	cfg, err := config.Read(path, noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return cfg, path
}

// noEnvironment is an environment without variables.
func noEnvironment(string) string { return "" }

// closedAddress is an address that was free a moment ago: it refuses connections until somebody listens there.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// server is an instance that runs in the test's own process.
type server struct {
	log    syncBuffer
	stop   chan os.Signal
	hup    chan os.Signal
	reread chan error // what came of reading the file at each SIGHUP
	ended  chan error // what run returned
}

// startServer runs an instance that knows no SIGHUP.
func startServer(t *testing.T, cfg *config.Config) *server {
	t.Helper()
	s := &server{stop: make(chan os.Signal, 1), ended: make(chan error, 1)}
	go func() { s.ended <- run(t.Context(), cfg, logging.New(&s.log, logrus.InfoLevel), s.stop, nil, nil, 0) }()
	return s
}

// startReloadingServer runs an instance that reads the file again at SIGHUP.
func startReloadingServer(t *testing.T, cfg *config.Config, path string) *server {
	t.Helper()
	s := &server{stop: make(chan os.Signal, 1), hup: make(chan os.Signal), reread: make(chan error), ended: make(chan error, 1)}
	reread := func() (*config.Config, error) {
		next, err := config.Reread(path, noEnvironment)
		s.reread <- err
		return next, err
	}
	go func() {
		s.ended <- run(t.Context(), cfg, logging.New(&s.log, logrus.InfoLevel), s.stop, s.hup, reread, 0)
	}()
	return s
}

// reload sends SIGHUP, and returns what came of reading the file.
func (s *server) reload() error {
	s.hup <- syscall.SIGHUP
	return <-s.reread
}

// process is the balancer as a process of its own.
type process struct {
	command *exec.Cmd
	log     syncBuffer
	done    chan struct{} // closed as the process has ended
	err     error         // what Wait returned, once done is closed
}

// startProcess runs the serve command with this configuration file.
func startProcess(t *testing.T, path string) *process {
	t.Helper()
	return startCommand(t, exec.Command(testProgram(t), "serve", "--config", path))
}

// startCommand runs a command that becomes the balancer, with these variables more in its environment. It is killed at the
// end of the test at the latest.
func startCommand(t *testing.T, command *exec.Cmd, variables ...string) *process {
	t.Helper()
	p := &process{command: command, done: make(chan struct{})}
	command.Env = append(append(os.Environ(), asProgram+"=1"), variables...)
	command.Stderr = &p.log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		p.err = command.Wait()
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // most have ended
		<-p.done
	})
	return p
}

// testProgram is the path of the test's own program, which TestMain has be the balancer.
func testProgram(t *testing.T) string {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Errorf("%v: %v\n%s", s, err, p.log.String())
	}
}

// terminate sends SIGTERM, and fails the test unless the process ends with exit code 0.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	<-p.done
	if p.err != nil {
		t.Errorf("ended with %v\n%s", p.err, p.log.String())
	}
}

// load is clients that send one request after another, every second client non-idempotent ones.
type load struct {
	url       string // of the instance
	client    *http.Client
	pause     time.Duration              // of a client between a response and its next request
	check     func(*testing.T, response) // what is to hold for each response
	ids       atomic.Int32
	sent      atomic.Int32
	responded atomic.Int32
	succeeded atomic.Int32 // responses with status 200
	stopping  chan struct{}
	stopOnce  sync.Once
	clients   sync.WaitGroup
}

// response is what a client got.
type response struct {
	status int
	body   string
	err    error // of reading the body
	took   time.Duration
}

// start runs so many clients, once the instance listens.
func (l *load) start(t *testing.T, clients int) {
	t.Helper()
	l.stopping = make(chan struct{})
	t.Cleanup(l.stop)
	awaitListening(t, l.client, l.url)
	for i := range clients {
		l.clients.Go(func() {
			for !l.stopped() && l.send(t, i%2 == 0) {
				time.Sleep(l.pause)
			}
		})
	}
}

func (l *load) stopped() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// send sends a request, and tells whether it got a response.
func (l *load) send(t *testing.T, nonIdempotent bool) bool {
	t.Helper()
	method, path, body := http.MethodGet, "/read/1", ""
	if nonIdempotent {
		method, path, body = http.MethodPost, "/pay/1", "body"
	}
	request, err := newRequest(method, l.url+path, body, fmt.Sprint(l.ids.Add(1)), "0.250")
	if err != nil {
		t.Error(err)
		return false
	}
	l.sent.Add(1)
	began := time.Now()
	res, err := l.client.Do(request)
	if err != nil {
		t.Errorf("a request got no response: %v", err)
		return false
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close() // read to its end
	l.check(t, response{res.StatusCode, string(raw), err, time.Since(began)})
	l.responded.Add(1)
	if res.StatusCode == http.StatusOK {
		l.succeeded.Add(1)
	}
	return true
}

// stop ends the clients, and returns once they have ended. The end of the test does so too.
func (l *load) stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	l.clients.Wait()
}

// awaitMore waits until a counter has grown by so much.
func awaitMore(t *testing.T, counter *atomic.Int32, more int32) {
	t.Helper()
	until := counter.Load() + more
	waitFor(t, stepTimeout, "too few requests get a response", func() bool { return counter.Load() >= until })
}

// awaitListening waits until an instance responds to anything at all.
func awaitListening(t *testing.T, client *http.Client, url string) {
	t.Helper()
	waitFor(t, stepTimeout, "the instance does not listen", func() bool {
		res, err := client.Get(url + "/up")
		if err != nil {
			return false
		}
		_ = res.Body.Close() // its status is not asked for
		return true
	})
}

// newRequest makes a request with the headers that clients send.
func newRequest(method, url, body, id, secondsLeft string) (*http.Request, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Time-Left", secondsLeft)
	return request, nil
}

// waitFor fails the test with what is missing, where a condition is not met in time.
func waitFor(t *testing.T, within time.Duration, missing string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(missing)
		}
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// writeFile returns the path.
func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func removeFile(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
}

// syncBuffer is a log that a test reads while an instance writes.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}
