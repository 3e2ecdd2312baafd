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

// A process can be started, stalled, killed and restarted. Operations that do not fit its state return an error.
func TestProcessRejectsCallsInWrongState(t *testing.T) {
	const program = `trap 'echo left; exit 0' TERM; echo run; while :; do sleep 0.01; done`
	process := &Process{
		Name: "p", Path: "/bin/sh", Args: []string{"-c", program}, Log: filepath.Join(t.TempDir(), "log"),
	}
	if !errors.Is(process.Stall(), ErrNotRunning) || !errors.Is(process.Kill(), ErrNotRunning) {
		t.Error("Stall or Kill of a stopped process does not return ErrNotRunning")
	}
	environment := &Environment{Rules: NewRules(1), Processes: map[string]*Process{"p": process}}
	script, err := ParseScript("0s start p\n20ms stall p\n30ms restart p\n40ms cut p > q\n50ms loss 10%")
	if err != nil {
		t.Fatalf("parse script: %v", err)
	}
	if err := environment.Play(t.Context(), script); err != nil {
		t.Fatalf("play script: %v", err)
	}
	rule := environment.Rules.RuleFor(Link{"p", "q"})
	if !errors.Is(process.Start(), ErrRunning) || process.StartCount() != 2 || process.PID() == 0 ||
		!rule.Cut || rule.Drop != 0.1 {
		t.Errorf("after the script: got %d starts, process ID %d, rule %+v, want 2 starts, a running process whose Start fails, a cut and a "+
			"loss of 0.1", process.StartCount(), process.PID(), rule)
	}
	for end := time.Now().Add(5 * time.Second); strings.Count(process.Output(), "run") < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	t.Run("terminate", func(t *testing.T) { checkTerminate(t, process) })
	if err := environment.Play(t.Context(), Script{{Verb: Kill, Target: "nobody"}}); !errors.Is(err, ErrUnknownProcess) {
		t.Errorf("step for an unknown process: got error %v, want ErrUnknownProcess", err)
	}
	process.Path = filepath.Join(t.TempDir(), "none")
	if process.Start() == nil {
		t.Error("Start of a missing program returns no error")
	}
	if _, err := os.Stat(process.Log); err != nil {
		t.Errorf("log file of the process: %v", err)
	}
}

// checkTerminate checks that Terminate stops a process after its SIGTERM handler has run.
func checkTerminate(t *testing.T, process *Process) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := process.Terminate(ctx); err != nil || process.Running() || !strings.HasSuffix(process.Output(), "left\n") {
		t.Errorf("Terminate: got error %v, running %v, output %q, want no error, a stopped process, output that ends with \"left\"",
			err, process.Running(), process.Output())
	}
}
