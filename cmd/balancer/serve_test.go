package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/config"
	"ottershed/internal/engine"
	"ottershed/internal/logging"
)

const settings = `{"n-instances":1,"zone":"z","limits":{"most-tries":5,"cancel":true,"retry-after":true,"max-retry-after-ms":20,
"conn-idle-ms":30000,"connect-timeout-ms":100},"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,
"overload-for-ms":1000,"answer-slack-ms":20},"domain":{"caps":[1],"waves":[1],"uncounted":1,"guarded-stages":0,
"on-votes":1,"votes-to-revert":1,"vote-wait-ms":100,"vote-ttl-ms":1000},"services":[
{"name":"read","aim-ms":100,"give-up-ms":300,"idempotency":"safe"},{"name":"pay","aim-ms":100,"give-up-ms":300,"idempotency":"unsafe"}]}`

// town is stand-ins for nodes, discovery and the release desk.
type platform struct {
	endpoints         []*httptest.Server
	fault             atomic.Int32 // which trouble the nodes have
	version           atomic.Int32
	discoveryCalls    atomic.Int32 // calls to the agent
	controllerLines   atomic.Int32 // lines to the desk
	agent             *httptest.Server
	controller        net.Listener
	mu                sync.Mutex
	nonIdempotentRuns map[string]int // mutating hits, by id
	done              chan struct{}
}

func newPlatform(t *testing.T) *platform {
	w := &platform{nonIdempotentRuns: map[string]int{}, done: make(chan struct{})}
	w.version.Store(1)
	for range 3 {
		w.endpoints = append(w.endpoints, httptest.NewServer(http.HandlerFunc(w.serveEndpoint)))
	}
	w.agent = httptest.NewServer(http.HandlerFunc(w.serveEndpointList))
	var err error
	if w.controller, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go w.serveController()
	return w
}

func (p *platform) serveEndpoint(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		p.mu.Lock()
		p.nonIdempotentRuns[r.Header.Get("X-Correlation-Id")]++
		p.mu.Unlock()
	}
	switch p.fault.Load() {
	case 1:
		rw.WriteHeader(500)
	case 2: // silent
		io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
		case <-p.done:
		}
	case 3:
		panic(http.ErrAbortHandler)
	}
	io.WriteString(rw, "hi")
}

func (p *platform) serveEndpointList(rw http.ResponseWriter, r *http.Request) {
	p.discoveryCalls.Add(1)
	for r.URL.RawQuery != "" && strings.Contains(r.URL.RawQuery, fmt.Sprintf("since=%d&", p.version.Load())) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
	var entries []string
	for i, n := range p.endpoints {
		status := "Ready"
		if i == 0 && p.version.Load() > 1 {
			status = "Terminating"
		}
		entries = append(entries, fmt.Sprintf(`{"name":"n%d","address":%q,"zone":"z","type":"k","status":%q,"weight":1,"image_id":1}`,
			i, n.Listener.Addr(), status))
	}
	fmt.Fprintf(rw, `{"index":%d,"snapshot":true,"endpoints":[%s]}`, p.version.Load(), strings.Join(entries, ","))
}

func (p *platform) serveController() {
	for {
		c, err := p.controller.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for lines := bufio.NewScanner(c); lines.Scan(); {
				var in struct{ ID int }
				json.Unmarshal(lines.Bytes(), &in)
				p.controllerLines.Add(1)
				fmt.Fprintf(c, `{"id":%d,"result":true}`+"\n"+
					`{"method":"stage","params":{"image":1,"ring":0,"progress":"live","ceiling":1}}`+"\n", in.ID)
			}
		}()
	}
}

func (p *platform) close() {
	close(p.done)
	p.controller.Close()
	for _, s := range append(p.endpoints, p.agent) {
		s.CloseClientConnections()
		s.Close()
	}
}

func (p *platform) config(t *testing.T) *config.Config {
	cfg, _ := p.file(t)
	return cfg
}

// file is the configuration and the path of its file.
func (p *platform) file(t *testing.T) (*config.Config, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","platform":{"address":%q},"settings":%s}`,
		l.Addr(), p.agent.Listener.Addr(), p.controller.Addr(), settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Read(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg, path
}

func descriptors(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(all)
}

// Through a day on which nodes fail in turn, one drains, and the marshal leaves with hits open, each hit gets one
// answer in its time, no mutating one runs twice, and all goroutines and descriptors are given back.
func TestDayOnSockets(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0") // the first socket brings two descriptors that stay, the poller's
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	routines, files := runtime.NumGoroutine(), descriptors(t)
	w := newPlatform(t)
	cfg := w.config(t)
	var out bytes.Buffer
	stop, left := make(chan os.Signal, 1), make(chan error)
	go func() { left <- run(context.Background(), cfg, logging.New(&out, logrus.InfoLevel), stop, nil, nil, 0) }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableKeepAlives: false}}
	url := "http://" + cfg.Listen
	for {
		if res, err := client.Get(url + "/up"); err == nil {
			res.Body.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	var requests, delivered, id atomic.Int32
	var clients sync.WaitGroup
	leaving := make(chan struct{})
	for i := range 8 {
		clients.Go(func() {
			for {
				select {
				case <-leaving:
					return
				default:
				}
				req, _ := http.NewRequest(http.MethodGet, url+"/read/1", nil)
				if i%2 == 0 {
					req, _ = http.NewRequest(http.MethodPost, url+"/pay/1", strings.NewReader("body"))
				}
				req.Header.Set("X-Correlation-Id", fmt.Sprint(id.Add(1)))
				req.Header.Set("X-Time-Left", "0.250")
				began := time.Now()
				res, err := client.Do(req)
				if err != nil {
					t.Errorf("a hit got no answer: %v", err)
					return
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil || res.StatusCode == 200 && string(body) != "hi" {
					t.Errorf("body %q, %v", body, err)
				}
				if took := time.Since(began); took > 450*time.Millisecond {
					t.Errorf("status %d after %v", res.StatusCode, took)
				}
				if requests.Add(1); res.StatusCode == 200 {
					delivered.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	for ill := range int32(4) {
		w.fault.Store(ill)
		for until := requests.Load() + 40; requests.Load() < until; {
			time.Sleep(time.Millisecond)
		}
		w.version.Add(1)
	}
	w.fault.Store(0)
	for until := delivered.Load() + 100; delivered.Load() < until; {
		time.Sleep(time.Millisecond)
	}
	w.fault.Store(2)
	stop <- syscall.SIGTERM
	time.Sleep(drainGrace / 2) // clients go on meanwhile
	close(leaving)
	clients.Wait()
	if err := <-left; err != nil {
		t.Error(err)
	}
	client.CloseIdleConnections()
	w.close()
	for _, n := range w.nonIdempotentRuns {
		if n > 1 {
			t.Errorf("a mutating hit ran %d times", n)
		}
	}
	for _, line := range []string{"msg=serving", "msg=draining signal=terminated", "msg=stopped"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("no line with %q in\n%s", line, out.String())
		}
	}
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > routines || descriptors(t) > files; {
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("%d goroutines of %d, %d descriptors of %d\n%s", runtime.NumGoroutine(), routines, descriptors(t), files,
				stacks[:runtime.Stack(stacks, true)])
		}
		time.Sleep(time.Millisecond)
	}
}

// On SIGHUP the marshal moves to the addresses of the file; one that is missing, half written or wrong changes nothing;
// SIGHUP while it leaves does no harm.
func TestReload(t *testing.T) {
	one, two := newPlatform(t), newPlatform(t)
	defer one.close()
	defer two.close()
	cfg, path := one.file(t)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	stop, hup, left, taken := make(chan os.Signal, 1), make(chan os.Signal), make(chan error), make(chan error)
	go func() {
		left <- run(context.Background(), cfg, logging.New(&out, logrus.InfoLevel), stop, hup, func() (*config.Config, error) {
			next, err := config.Reread(path, func(string) string { return "" })
			taken <- err
			return next, err
		}, 0)
	}()
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	until("the first agent and desk are not asked", func() bool { return one.discoveryCalls.Load() > 1 && one.controllerLines.Load() > 0 })
	for _, text := range []string{"", string(good[:len(good)/2]), strings.Replace(string(good), `"discovery":"`, `"discovery":":`, 1)} {
		if os.Remove(path); text != "" {
			os.WriteFile(path, []byte(text), 0o600)
		}
		if hup <- syscall.SIGHUP; <-taken == nil {
			t.Errorf("taken: %q", text)
		}
	}
	next := strings.Replace(string(good), one.agent.Listener.Addr().String(), two.agent.Listener.Addr().String(), 1)
	next = strings.Replace(next, one.controller.Addr().String(), two.controller.Addr().String(), 1)
	for _, text := range []string{next, string(good), next} { // one behind another
		os.WriteFile(path, []byte(text), 0o600)
		if hup <- syscall.SIGHUP; <-taken != nil {
			t.Errorf("not taken: %q", text)
		}
	}
	stop <- syscall.SIGTERM
	hup <- syscall.SIGHUP
	<-taken
	until("the next agent and desk are not asked", func() bool { return two.discoveryCalls.Load() > 1 && two.controllerLines.Load() > 0 })
	if err := <-left; err != nil {
		t.Error(err)
	}
	if n := strings.Count(out.String(), "configuration not reloaded"); n != 3 || !strings.Contains(out.String(), "error=\"discovery: ") {
		t.Errorf("%d lines for three files that are no good\n%s", n, out.String())
	}
}

// A new process forwards by no list that may be older than what discovery holds: while its agent is silent it is not
// ready and bounces hits, and then it goes by what it is told. The node that the old list has and that leaves by now gets
// nothing.
func TestStartWhileDiscoveryIsSilent(t *testing.T) {
	w := newPlatform(t)
	defer w.close()
	var leaving atomic.Int32
	node := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { leaving.Add(1) }))
	defer node.Close()
	back := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			return
		case <-back:
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		entry := `{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1,"image_id":1}`
		fmt.Fprintf(rw, `{"index":2,"snapshot":true,"endpoints":[`+entry+","+entry+"]}", "old", node.Listener.Addr(), "Terminating",
			"new", w.endpoints[0].Listener.Addr(), "Ready")
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	cfg := w.config(t)
	cfg.Discovery = agent.Listener.Addr().String()
	cfg.Endpoints = &engine.EndpointUpdate{Kind: decision.CachedSnapshot, Version: 1, Endpoints: []engine.Endpoint{{
		Address:  node.Listener.Addr().String(),
		Endpoint: decision.Endpoint{ID: "old", Zone: "z", MachineType: "k", Build: 1, Capacity: 1},
	}}}
	stop, left := make(chan os.Signal, 1), make(chan error)
	go func() {
		left <- run(context.Background(), cfg, logging.New(io.Discard, logrus.InfoLevel), stop, nil, nil, 0)
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ask := func(path, id string) (int, string) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+cfg.Listen+path, nil)
		req.Header.Set("X-Correlation-Id", id)
		req.Header.Set("X-Time-Left", "0.250")
		res, err := client.Do(req)
		if err != nil {
			return 0, ""
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(body)
	}
	for status := 0; status == 0; time.Sleep(time.Millisecond) {
		if status, _ = ask("/up", ""); status != 0 && status != http.StatusServiceUnavailable {
			t.Fatalf("ready before any list is told: /up says %d", status)
		}
	}
	for i := range 20 {
		if status, _ := ask("/read/1", fmt.Sprint("early", i)); status != http.StatusServiceUnavailable {
			t.Errorf("a hit before any list is told: %d", status)
		}
	}
	close(back)
	// By half of the wait: at its end the marshal is ready without a list.
	for end := time.Now().Add(discoveryTimeout / 2); ; time.Sleep(time.Millisecond) {
		if status, _ := ask("/up", ""); status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("not ready though the list is told")
		}
	}
	for i := range 20 {
		if status, body := ask("/read/1", fmt.Sprint("late", i)); status != http.StatusOK || body != "hi" {
			t.Errorf("a hit after the list is told: %d, %q", status, body)
		}
	}
	if stop <- syscall.SIGTERM; leaving.Load() != 0 {
		t.Errorf("the node that leaves got %d hits", leaving.Load())
	}
	if err := <-left; err != nil {
		t.Error(err)
	}
}

// Signals that come while the process still reads its configuration: SIGHUP has no part in its end, SIGTERM ends it in
// good order.
func TestSignalsAtTheStart(t *testing.T) {
	for name, tc := range map[string]struct {
		signals []os.Signal
		line    string
	}{
		"SIGHUP": {[]os.Signal{syscall.SIGHUP, syscall.SIGHUP}, "msg=serving"},
		// It may have reached the process and not the channel yet: then it serves for a moment, and leaves.
		"SIGTERM":            {[]os.Signal{syscall.SIGTERM}, "stopped"},
		"SIGHUP and SIGTERM": {[]os.Signal{syscall.SIGHUP, syscall.SIGTERM}, "stopped"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newPlatform(t)
			defer w.close()
			_, path := w.file(t)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			os.Remove(path)
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Skip("no fifo here")
			}
			program, err := os.Executable()
			if err != nil {
				t.Fatal(err)
			}
			var out syncBuffer
			cmd := exec.Command(program, "serve", "--config", path)
			cmd.Env, cmd.Stderr = append(os.Environ(), asProgram+"=1"), &out
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer cmd.Process.Kill()
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has it open to read
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range tc.signals {
				cmd.Process.Signal(s)
			}
			for end := time.Now().Add(5 * time.Second); pending(cmd.Process.Pid) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			os.Remove(path) // for reading it again
			writeFile(t, path, string(text))
			pipe.Write(text)
			pipe.Close()
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), tc.line); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("no line with %q in\n%s", tc.line, out.String())
				}
			}
			cmd.Process.Signal(syscall.SIGTERM)
			if err := <-ended; err != nil {
				t.Errorf("ended with %v\n%s", err, out.String())
			}
		})
	}
}

// A marshal that `run` starts as its discovery moves: SIGHUP came before the process could hear it, its environment is that of
// before, its file that of after. It goes by the file.
func TestMovedAtTheStart(t *testing.T) {
	before, after := newPlatform(t), newPlatform(t)
	defer before.close()
	defer after.close()
	_, path := after.file(t)
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, run, _ := strings.Cut(string(deploy), "\nrun = \"")
	run, _, _ = strings.Cut(run, "\"\n")
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if run = strings.Replace(run, "bin/balancer", program, 1); !strings.Contains(run, program) {
		t.Fatalf("run is %q", run)
	}
	var out syncBuffer
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Stderr = &out
	cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+path, "LB_DISCOVERY="+before.agent.Listener.Addr().String())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for end := time.Now().Add(5 * time.Second); after.discoveryCalls.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the agent that the file names is not asked, the other one %d times\n%s", before.discoveryCalls.Load(), out.String())
		}
	}
	cmd.Process.Signal(syscall.SIGTERM) // the shell is the marshal by now
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, out.String())
	}
}

// pending tells whether a signal that was sent to a process still waits to be taken.
func pending(pid int) bool {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":")
		if (name == "SigPnd" || name == "ShdPnd") && strings.Trim(mask, "\t0") != "" {
			return true
		}
	}
	return false
}

func TestStartFails(t *testing.T) {
	w := newPlatform(t)
	defer w.close()
	cfg := w.config(t)
	cfg.Listen = w.controller.Addr().String() // taken
	if err := run(context.Background(), cfg, logging.New(io.Discard, logrus.InfoLevel), nil, nil, nil, 0); err == nil {
		t.Error("served on a taken address")
	}
}

// The move to a deployment of another shape, and back, in a running marshal: on SIGHUP the module takes the new
// figures (a clock that hundreds can hold, exposure for each path group) without a restart, while clients go on;
// every hit gets one answer, none that mutates runs twice, and the same step leads back.
func TestSwitchSettings(t *testing.T) {
	w := newPlatform(t)
	defer w.close()
	cfg, path := w.file(t)
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	moved := strings.Replace(string(old), `"n-instances":1,`, `"n-instances":600,`, 1)
	moved = strings.Replace(moved, `"domain":{`, `"domain":{"vote-mode":"clocked","to-pause":1,"per":"per_lane",`, 1)
	if next, err := config.Reread(writeFile(t, path, moved), func(string) string { return "" }); err != nil ||
		!cfg.Switchable(next) || next.Settings.HoldQuorum != 1 || next.Settings.Control != decision.ByClock {
		t.Fatalf("the moved file: %v, %+v", err, next)
	}
	writeFile(t, path, string(old))
	var out syncBuffer
	stop, hup, left, taken := make(chan os.Signal, 1), make(chan os.Signal), make(chan error), make(chan error)
	go func() {
		left <- run(context.Background(), cfg, logging.New(&out, logrus.InfoLevel), stop, hup, func() (*config.Config, error) {
			next, err := config.Reread(path, func(string) string { return "" })
			taken <- err
			return next, err
		}, 0)
	}()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	url := "http://" + cfg.Listen
	for {
		if res, err := client.Get(url + "/up"); err == nil {
			res.Body.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	var requests, responded, id atomic.Int32
	var clients sync.WaitGroup
	leaving := make(chan struct{})
	for i := range 4 {
		clients.Go(func() {
			for {
				select {
				case <-leaving:
					return
				default:
				}
				req, _ := http.NewRequest(http.MethodGet, url+"/read/1", nil)
				if i%2 == 0 {
					req, _ = http.NewRequest(http.MethodPost, url+"/pay/1", strings.NewReader("body"))
				}
				req.Header.Set("X-Correlation-Id", fmt.Sprint(id.Add(1)))
				req.Header.Set("X-Time-Left", "0.250")
				requests.Add(1)
				res, err := client.Do(req)
				if err != nil {
					t.Errorf("a hit got no answer: %v", err)
					return
				}
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
				responded.Add(1)
			}
		})
	}
	for _, text := range []string{moved, string(old), moved, string(old)} { // there, back, and again
		for until := responded.Load() + 50; responded.Load() < until; {
			time.Sleep(time.Millisecond)
		}
		writeFile(t, path, text)
		if hup <- syscall.SIGHUP; <-taken != nil {
			t.Fatalf("not taken: %q", text)
		}
	}
	for until := responded.Load() + 50; responded.Load() < until; {
		time.Sleep(time.Millisecond)
	}
	close(leaving)
	clients.Wait()
	stop <- syscall.SIGTERM
	if err := <-left; err != nil {
		t.Error(err)
	}
	if requests.Load() != responded.Load() {
		t.Errorf("%d hits, %d answers", requests.Load(), responded.Load())
	}
	w.mu.Lock()
	for key, n := range w.nonIdempotentRuns {
		if n > 1 {
			t.Errorf("hit %s ran %d times", key, n)
		}
	}
	w.mu.Unlock()
	if n := strings.Count(out.String(), "settings taken"); n != 4 || strings.Contains(out.String(), "need a restart") {
		t.Errorf("%d switches of the settings, want 4\n%s", n, out.String())
	}
}

func writeFile(t *testing.T, path, text string) string {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// syncBuffer is a log that the test reads while the marshal writes.
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
