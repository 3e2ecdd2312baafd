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

// hasPendingSignal reports whether a signal to a process is still pending.
func hasPendingSignal(pid int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false // the process has ended, or the system has no /proc
	}
	for line := range strings.Lines(string(raw)) {
		name, mask, _ := strings.Cut(strings.TrimSpace(line), ":")
		if (name == "SigPnd" || name == "ShdPnd") && strings.Trim(mask, "\t0") != "" {
			return true
		}
	}
	return false
}

// startAtFIFO starts a process whose configuration file is a FIFO, and returns once the process has opened it.
func startAtFIFO(t *testing.T, path string) (*balancerProcess, *os.File) {
	t.Helper()
	removeFile(t, path)
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skip("the system has no FIFOs")
	}
	p := startProcess(t, path)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has opened the FIFO
	if err != nil {
		t.Fatal(err)
	}
	return p, pipe
}

// While the process reads its configuration, SIGHUP does not end it, and SIGTERM ends it with exit code 0.
func TestSignalsAtTheStart(t *testing.T) {
	for name, test := range map[string]struct {
		signals []os.Signal
		logText string // the test waits for this text in the log before it sends SIGTERM
	}{
		"SIGHUP": {[]os.Signal{syscall.SIGHUP, syscall.SIGHUP}, "msg=serving"},
		// The signal may have reached the process but not yet its channel. Then the process serves for a moment and stops. The
		// line is therefore either "stopped before serving" or "stopped".
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
			removeFile(t, path) // the next read gets a regular file
			writeFile(t, path, text)
			if _, err := pipe.WriteString(text); err != nil {
				t.Errorf("write the configuration into the FIFO: %v", err)
			}
			if err := pipe.Close(); err != nil {
				t.Errorf("close the FIFO: %v", err)
			}
			for end := time.Now().Add(10 * time.Second); !strings.Contains(process.log.String(), test.logText); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("log of the process: want a line with %q, got\n%s", test.logText, process.log.String())
				}
			}
			_ = process.command.Process.Signal(syscall.SIGTERM) // fails if an earlier SIGTERM has ended the process
			<-process.done
			if process.err != nil {
				t.Errorf("process ended with %v, want exit code 0\n%s", process.err, process.log.String())
			}
		})
	}
}

// deployCommand returns the command `run` of the deploy file, with the test binary in place of the balancer.
func deployCommand(t *testing.T) string {
	t.Helper()
	_, run, _ := strings.Cut(readFile(t, "../../deploy/balancer.toml"), "\nrun = \"")
	run, _, _ = strings.Cut(run, "\"\n")
	program := testProgram(t)
	run = strings.Replace(run, "bin/balancer", program, 1)
	if !strings.Contains(run, program) {
		t.Fatalf("got run = %q in deploy/balancer.toml, want it to start bin/balancer", run)
	}
	return run
}

// Discovery moves while the deploy file's `run` starts an instance. SIGHUP is sent before the process can receive it, the
// environment has the old address and the file the new one. The instance must use the file's address.
func TestMovedAtTheStart(t *testing.T) {
	before, after := newPlatformStub(t), newPlatformStub(t)
	_, path := after.configFile(t)
	p := startCommand(t, exec.Command("/bin/sh", "-c", deployCommand(t)), "LB_CONFIG="+path, "LB_DISCOVERY="+before.agentAddress())
	for end := time.Now().Add(5 * time.Second); after.discoveryCalls.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no call to the agent in the file, and %d to the one in the environment, want calls to the former\n%s",
				before.discoveryCalls.Load(), p.log.String())
		}
	}
	p.terminate(t) // the shell has replaced itself by the balancer
}
