package faultinject

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Errors of operations that do not fit the state of the process.
var (
	ErrRunning    = errors.New("process is already running")
	ErrNotRunning = errors.New("process is not running")
	ErrTimeout    = errors.New("process has not exited in time")
)

// Process runs a program that faults are injected into. It is stopped or running, and a running process may be stalled:
//
//	stopped -> running: Start, Restart
//	running -> stopped: Kill, Terminate, exit of the program
//	running -> stalled: Stall
//	stalled -> running: Resume
//	stalled -> stopped: Kill
//
// Stall, Resume, Reload, Kill and Terminate return ErrNotRunning if the process is stopped. The exported fields must be
// set before the first start.
type Process struct {
	Name string   // name of the process in errors and scripts
	Path string   // path of the program
	Args []string // arguments without the program name
	Env  []string // variables (NAME=value) that are added to the environment of the calling process
	Log  string   // path of the file to which the output of all runs is appended

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{} // closed when the newest run exits; nil before the first start
	exitErr    error         // exit error of the newest run
	startCount int
}

// Start starts the process. It returns ErrRunning if the process is running.
func (p *Process) Start() error {
	if err := p.start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	return nil
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return ErrRunning
	}
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the child has its own descriptor
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = parentDeathSignal()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.startCount++
	go p.wait(cmd, exited)
	return nil
}

// wait waits for the exit of a run and records its error.
func (p *Process) wait(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	if p.cmd == cmd {
		p.exitErr = err
	}
	p.mu.Unlock()
	close(exited)
}

// running reports whether the process is running. The caller must hold p.mu.
func (p *Process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// StartCount returns the number of times the process was started.
func (p *Process) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// signal sends a signal and returns a channel that is closed when the run exits.
func (p *Process) signal(s syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil, fmt.Errorf("send signal %q to %s: %w", s, p.Name, ErrNotRunning)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return nil, fmt.Errorf("send signal %q to %s: %w", s, p.Name, err)
	}
	return p.exited, nil
}

// Stall suspends the process with SIGSTOP.
func (p *Process) Stall() error {
	_, err := p.signal(syscall.SIGSTOP)
	return err
}

// Resume continues a stalled process with SIGCONT.
func (p *Process) Resume() error {
	_, err := p.signal(syscall.SIGCONT)
	return err
}

// Reload sends SIGHUP, on which a balancer reloads its configuration.
func (p *Process) Reload() error {
	_, err := p.signal(syscall.SIGHUP)
	return err
}

// Kill sends SIGKILL, which also ends a stalled process, and waits for the exit.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Terminate sends SIGTERM and waits for the exit. It returns an error for a nonzero exit code, or ErrTimeout if ctx
// ends first.
func (p *Process) Terminate(ctx context.Context) error {
	exited, err := p.signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-exited:
	case <-ctx.Done():
		return fmt.Errorf("terminate %s: %w", p.Name, ErrTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exitErr != nil {
		return fmt.Errorf("terminate %s: %w", p.Name, p.exitErr)
	}
	return nil
}

// Restart kills the process if it is running, waits for a delay and starts it.
func (p *Process) Restart(delay time.Duration) error {
	if p.Running() {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return p.Start()
}

// Output returns the output of all runs so far, or the error text if the log cannot be read.
func (p *Process) Output() string {
	raw, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
