package faultinject

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A process is started, stalled, killed and started again; what is asked at the wrong time is an error.
func TestProcess(t *testing.T) {
	const program = `trap 'echo left; exit 0' TERM; echo run; while :; do sleep 0.01; done`
	process := &Process{
		Name: "p", Path: "/bin/sh", Args: []string{"-c", program}, Log: filepath.Join(t.TempDir(), "log"),
	}
	if !errors.Is(process.Stall(), ErrNotRunning) || !errors.Is(process.Kill(), ErrNotRunning) {
		t.Error("a stopped process is stalled or killed")
	}
	environment := &Environment{Rules: NewRules(1), Processes: map[string]*Process{"p": process}}
	script, err := ParseScript("0s start p\n20ms stall p\n30ms restart p\n40ms cut p > q\n50ms loss 10%")
	if err != nil {
		t.Fatal(err)
	}
	if err := environment.Play(t.Context(), script); err != nil {
		t.Fatal(err)
	}
	rule := environment.Rules.RuleFor(Link{"p", "q"})
	if !errors.Is(process.Start(), ErrRunning) || process.Runs() != 2 || process.PID() == 0 ||
		!rule.Cut || rule.Drop != 0.1 {
		t.Errorf("%d runs, %+v", process.Runs(), rule)
	}
	for end := time.Now().Add(5 * time.Second); strings.Count(process.Output(), "run") < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	t.Run("terminate", func(t *testing.T) { checkTerminate(t, process) })
	if err := environment.Play(t.Context(), Script{{Verb: Kill, Target: "nobody"}}); !errors.Is(err, ErrUnknownProcess) {
		t.Errorf("a process that does not exist: %v", err)
	}
	process.Path = filepath.Join(t.TempDir(), "none")
	if process.Start() == nil {
		t.Error("a program that does not exist is started")
	}
	if _, err := os.Stat(process.Log); err != nil {
		t.Error(err)
	}
}

// checkTerminate checks that a process ends when it is asked to, and does what it has to do before.
func checkTerminate(t *testing.T, process *Process) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := process.Terminate(ctx); err != nil || process.Running() || !strings.HasSuffix(process.Output(), "left\n") {
		t.Errorf("%v, %q", err, process.Output())
	}
}
