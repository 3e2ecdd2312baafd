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

// Process is a program that faults befall. Its output goes to one file, over all its runs.
type Process struct {
	Name string
	Path string
	Args []string
	Env  []string // added to this process's
	Log  string   // path of the file

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed at the end of the present run
	err    error
	runs   int
}

// Start starts it; one that runs already is an error.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return fmt.Errorf("start %s: it runs", p.Name)
	}
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer out.Close()
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = dieWithParent()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.exited, p.runs = cmd, ended, p.runs+1
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd {
			p.err = err
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// running holds with the lock held.
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

// Running tells whether it has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Runs is how often it was started.
func (p *Process) Runs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// PID is its number, 0 where it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *Process) signal(s syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil, fmt.Errorf("%s: %v: it does not run", p.Name, s)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return nil, fmt.Errorf("%s: %v: %w", p.Name, s, err)
	}
	return p.exited, nil
}

// Stall stops its clock; Resume lets it go on.
func (p *Process) Stall() error  { _, err := p.signal(syscall.SIGSTOP); return err }
func (p *Process) Resume() error { _, err := p.signal(syscall.SIGCONT); return err }

// Hang up has it read its configuration again.
func (p *Process) HangUp() error { _, err := p.signal(syscall.SIGHUP); return err }

// Kill ends it at once and waits for its end; one that is stalled ends, too.
func (p *Process) Kill() error {
	ended, err := p.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-ended
	return nil
}

// errLate is a process that does not end when it is asked to.
var errTimeout = errors.New("it has not ended in time")

// Leave asks it to end and waits for that; the error is that of its exit code, or that it took too long.
func (p *Process) Terminate(ctx context.Context) error {
	ended, err := p.signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", p.Name, errTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

// Restart kills it where it runs, waits, and starts it again.
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

// Output is all that it has written so far.
func (p *Process) Output() string {
	raw, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
