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

// Errors of what is asked of a process at the wrong time.
var (
	ErrRunning    = errors.New("the process runs already")
	ErrNotRunning = errors.New("the process does not run")
	ErrTimeout    = errors.New("the process has not ended in time")
)

// Process is a program that faults are injected into. It is stopped or running, and a running one may be stalled:
//
//	stopped -> running: Start, Restart
//	running -> stopped: Kill, Terminate, its own end
//	running -> stalled: Stall
//	stalled -> running: Resume
//	stalled -> stopped: Kill
//
// The fields are set before the first start.
type Process struct {
	Name string   // in errors and scripts
	Path string   // of the program
	Args []string // without the program's name
	Env  []string // added to the environment of this process
	Log  string   // path of the file that the output of all runs is appended to

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed at the end of the newest run; nil before the first
	err    error         // of the end of the newest run
	runs   int
}

// Start starts the process.
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
	defer func() { _ = out.Close() }() // the started process has a descriptor of its own
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = dieWithParent()
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.runs++
	go p.wait(cmd, exited)
	return nil
}

// wait records the end of a run.
func (p *Process) wait(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	if p.cmd == cmd {
		p.err = err
	}
	p.mu.Unlock()
	close(exited)
}

// running tells whether the process runs. The caller has the lock.
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

// Running tells whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Runs is how often the process was started.
func (p *Process) Runs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// PID is the process's id, 0 where it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// signal sends a signal and returns a channel that is closed at the end of the run.
func (p *Process) signal(s syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil, fmt.Errorf("%s: %v: %w", p.Name, s, ErrNotRunning)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return nil, fmt.Errorf("%s: %v: %w", p.Name, s, err)
	}
	return p.exited, nil
}

// Stall stops the process's execution.
func (p *Process) Stall() error {
	_, err := p.signal(syscall.SIGSTOP)
	return err
}

// Resume lets a stalled process continue.
func (p *Process) Resume() error {
	_, err := p.signal(syscall.SIGCONT)
	return err
}

// HangUp makes the process read its configuration again.
func (p *Process) HangUp() error {
	_, err := p.signal(syscall.SIGHUP)
	return err
}

// Kill ends the process at once, stalled or not, and waits for its end.
func (p *Process) Kill() error {
	exited, err := p.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Terminate asks the process to end and waits for that. The error is that of its exit code, or ErrTimeout where ctx
// ends first.
func (p *Process) Terminate(ctx context.Context) error {
	exited, err := p.signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-exited:
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", p.Name, ErrTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

// Restart kills the process where it runs, waits for a span and starts it.
func (p *Process) Restart(after time.Duration) error {
	if p.Running() {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	if after > 0 {
		time.Sleep(after)
	}
	return p.Start()
}

// Output is what all runs have written so far, or the text of the error where the log can't be read.
func (p *Process) Output() string {
	raw, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
