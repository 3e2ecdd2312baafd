package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/internal/config"
	"ottershed/internal/logging"
)

// testServer is an instance that runs in the test process.
type testServer struct {
	log    lockedBuffer
	stop   chan os.Signal // a signal on it makes the instance drain and stop
	hup    chan os.Signal // a signal on it makes the instance reload; nil: no reloads
	reread chan error     // result of reading the file at each SIGHUP
	ended  chan error     // result of run
}

// startServer starts an instance without reloads.
func startServer(t *testing.T, cfg *config.Config) *testServer {
	t.Helper()
	s := &testServer{stop: make(chan os.Signal, 1), ended: make(chan error, 1)}
	go func() { s.ended <- run(t.Context(), cfg, logging.New(&s.log, logrus.InfoLevel), s.stop, nil, nil, 0) }()
	return s
}

// startReloadingServer starts an instance that reloads the file at path at SIGHUP.
func startReloadingServer(t *testing.T, cfg *config.Config, path string) *testServer {
	t.Helper()
	s := &testServer{stop: make(chan os.Signal, 1), hup: make(chan os.Signal), reread: make(chan error), ended: make(chan error, 1)}
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

// reload sends SIGHUP, and returns the error of reading the file.
func (s *testServer) reload() error {
	s.hup <- syscall.SIGHUP
	return <-s.reread
}

// balancerProcess is the balancer as a separate process.
type balancerProcess struct {
	command *exec.Cmd
	log     lockedBuffer
	done    chan struct{} // closed when the process has ended
	err     error         // result of Wait, set before done is closed
}

// startProcess runs the command serve with the configuration file at path.
func startProcess(t *testing.T, path string) *balancerProcess {
	t.Helper()
	return startCommand(t, exec.Command(testProgram(t), "serve", "--config", path))
}

// startCommand starts a command that runs the test binary as the balancer, with additional environment variables. The end
// of the test kills the process.
func startCommand(t *testing.T, command *exec.Cmd, variables ...string) *balancerProcess {
	t.Helper()
	p := &balancerProcess{command: command, done: make(chan struct{})}
	command.Env = append(append(os.Environ(), runAsBalancer+"=1"), variables...)
	command.Stderr = &p.log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		p.err = command.Wait()
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // fails if the process has ended already
		<-p.done
	})
	return p
}

// testProgram returns the path of the test binary, which TestMain can run as the balancer.
func testProgram(t *testing.T) string {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

func (p *balancerProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Errorf("send signal %v: %v\n%s", s, err, p.log.String())
	}
}

// terminate sends SIGTERM, and fails the test unless the process ends with exit code 0.
func (p *balancerProcess) terminate(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	<-p.done
	if p.err != nil {
		t.Errorf("process ended with %v, want exit code 0\n%s", p.err, p.log.String())
	}
}

// isStopped reports whether all threads of a process are stopped. A stop signal reaches them one after another.
func (p *balancerProcess) isStopped(t *testing.T) bool {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil || len(threads) == 0 {
		t.Fatalf("threads of the process: got %d, error %v", len(threads), err)
	}
	for _, path := range threads {
		_, state, _ := strings.Cut(readFile(t, path), ") ") // behind the name of the program
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// hasEvicted reports whether a process, which logs at the debug level, has evicted the connection of a client for a reason.
func (p *balancerProcess) hasEvicted(client, reason string) bool {
	evicted := fmt.Sprintf(`msg="connection evicted" client=%q`, client)
	for line := range strings.Lines(p.log.String()) {
		if strings.Contains(line, evicted) && strings.Contains(line, "reason="+reason) {
			return true
		}
	}
	return false
}

// lockedBuffer is a buffer that a test can read while an instance writes its log to it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *lockedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}
