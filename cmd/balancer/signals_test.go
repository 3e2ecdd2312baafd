package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pending tells whether a signal that was sent to a process still waits to be taken.
func hasPendingSignal(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false // ended, or no /proc here
	}
	for line := range strings.Lines(string(raw)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":")
		if (name == "SigPnd" || name == "ShdPnd") && strings.Trim(mask, "\t0") != "" {
			return true
		}
	}
	return false
}

// startAtFIFO starts a process whose configuration file is a FIFO, and returns once the process reads from it.
func startAtFIFO(t *testing.T, path string) (*balancerProcess, *os.File) {
	t.Helper()
	removeFile(t, path)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skip("no fifo here")
	}
	p := startProcess(t, path)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has it open to read
	if err != nil {
		t.Fatal(err)
	}
	return p, pipe
}

// Signals that arrive while the process still reads its configuration: SIGHUP does not end it, SIGTERM ends it in good order.
func TestSignalsAtTheStart(t *testing.T) {
	for name, test := range map[string]struct {
		signals []os.Signal
		line    string // that the log has before SIGTERM is sent (once more)
	}{
		"SIGHUP": {[]os.Signal{syscall.SIGHUP, syscall.SIGHUP}, "msg=serving"},
		// It may have reached the process and not the channel yet: then the process serves for a moment, and stops.
		"SIGTERM":            {[]os.Signal{syscall.SIGTERM}, "stopped"},
		"SIGHUP and SIGTERM": {[]os.Signal{syscall.SIGHUP, syscall.SIGTERM}, "stopped"},
	} {
		t.Run(name, func(t *testing.T) {
			_, path := newPlatformStub(t).configFile(t)
			text := readFile(t, path)
			process, pipe := startAtFIFO(t, path)
			for _, s := range test.signals {
				process.signal(t, s)
			}
			for end := time.Now().Add(5 * time.Second); hasPendingSignal(process.command.Process.Pid) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			removeFile(t, path) // for reading it again
			writeFile(t, path, text)
			if _, err := pipe.WriteString(text); err != nil {
				t.Error(err)
			}
			if err := pipe.Close(); err != nil {
				t.Error(err)
			}
			for end := time.Now().Add(10 * time.Second); !strings.Contains(process.log.String(), test.line); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("no line with %q in\n%s", test.line, process.log.String())
				}
			}
			_ = process.command.Process.Signal(syscall.SIGTERM) // it may have ended by the first
			<-process.done
			if process.err != nil {
				t.Errorf("ended with %v\n%s", process.err, process.log.String())
			}
		})
	}
}

// deployRun is the command of the deploy file that starts an instance, of the test's own program.
func deployCommand(t *testing.T) string {
	t.Helper()
	_, run, _ := strings.Cut(readFile(t, "../../deploy/balancer.toml"), "\nrun = \"")
	run, _, _ = strings.Cut(run, "\"\n")
	program := testProgram(t)
	run = strings.Replace(run, "bin/balancer", program, 1)
	if !strings.Contains(run, program) {
		t.Fatalf("run is %q", run)
	}
	return run
}

// An instance that the deploy file's `run` starts while its discovery moves: SIGHUP was sent before the process could receive
// it, its environment is older than the move, and its file newer. It uses the file's address.
func TestMovedAtTheStart(t *testing.T) {
	before, after := newPlatformStub(t), newPlatformStub(t)
	_, path := after.configFile(t)
	p := startCommand(t, exec.Command("/bin/sh", "-c", deployCommand(t)), "LB_CONFIG="+path, "LB_DISCOVERY="+before.agentAddress())
	for end := time.Now().Add(5 * time.Second); after.discoveryCalls.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the agent of the file gets no call, the other one %d\n%s", before.discoveryCalls.Load(), p.log.String())
		}
	}
	p.terminate(t) // the shell has become the balancer
}
