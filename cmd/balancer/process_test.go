package main

import (
	"bytes"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/internal/config"
	"ottershed/internal/logging"
)

// server is an instance that runs in the test's own process.
type testServer struct {
	log    lockedBuffer
	stop   chan os.Signal
	hup    chan os.Signal
	reread chan error // what came of reading the file at each SIGHUP
	ended  chan error // what run returned
}

// startServer runs an instance that knows no SIGHUP.
func startServer(t *testing.T, cfg *config.Config) *testServer {
	t.Helper()
	s := &testServer{stop: make(chan os.Signal, 1), ended: make(chan error, 1)}
	go func() { s.ended <- run(t.Context(), cfg, logging.New(&s.log, logrus.InfoLevel), s.stop, nil, nil, 0) }()
	return s
}

// startReloadingServer runs an instance that reads the file again at SIGHUP.
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

// reload sends SIGHUP, and returns what came of reading the file.
func (s *testServer) reload() error {
	s.hup <- syscall.SIGHUP
	return <-s.reread
}

// process is the balancer as a process of its own.
type balancerProcess struct {
	command *exec.Cmd
	log     lockedBuffer
	done    chan struct{} // closed as the process has ended
	err     error         // what Wait returned, once done is closed
}

// startProcess runs the serve command with this configuration file.
func startProcess(t *testing.T, path string) *balancerProcess {
	t.Helper()
	return startCommand(t, exec.Command(testProgram(t), "serve", "--config", path))
}

// startCommand runs a command that becomes the balancer, with these variables more in its environment. It is killed at the
// end of the test at the latest.
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

func (p *balancerProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Errorf("%v: %v\n%s", s, err, p.log.String())
	}
}

// terminate sends SIGTERM, and fails the test unless the process ends with exit code 0.
func (p *balancerProcess) terminate(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	<-p.done
	if p.err != nil {
		t.Errorf("ended with %v\n%s", p.err, p.log.String())
	}
}

// syncBuffer is a log that a test reads while an instance writes.
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
