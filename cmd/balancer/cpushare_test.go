package main

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// cpuPeriod is the period in which a process gets its share of a core, as in the bandwidth control of Linux.
	cpuPeriod = 100 * time.Millisecond
	// cpuPollInterval is how often the processor time of a process is looked at.
	cpuPollInterval = 200 * time.Microsecond
)

// cpuTime returns the processor time that a process has used.
func (p *balancerProcess) cpuTime() time.Duration {
	const scheduledTime = 2 // the clock of all threads' time on a processor, see clock_getcpuclockid(3)
	clockID := int32(^p.command.Process.Pid<<3 | scheduledTime)
	var used unix.Timespec
	if err := unix.ClockGettime(clockID, &used); err != nil {
		return 0 // the process has ended
	}
	return time.Duration(used.Nano())
}

// limitCPU keeps a process at a share of a core until the end of the test, by stopping it for the rest of each period in which
// it has used its part. What it uses beyond that counts for the next period.
func (p *balancerProcess) limitCPU(t *testing.T, share float64) {
	t.Helper()
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.enforceCPU(time.Duration(share*float64(cpuPeriod)), ended)
	}()
	t.Cleanup(func() {
		close(ended)
		<-stopped
	})
}

// enforceCPU lets a process run for quota in each period, until ended is closed.
func (p *balancerProcess) enforceCPU(quota time.Duration, ended <-chan struct{}) {
	tick := time.NewTicker(cpuPollInterval)
	defer tick.Stop()
	periodEnd, allowed, running := time.Now().Add(cpuPeriod), p.cpuTime()+quota, true
	for {
		select {
		case <-ended:
			_ = p.command.Process.Signal(syscall.SIGCONT) // fails if the process has ended
			return
		case now := <-tick.C:
			used := p.cpuTime()
			for ; now.After(periodEnd); periodEnd = periodEnd.Add(cpuPeriod) {
				allowed = min(allowed, used) + quota // unused time is not kept
			}
			if mayRun := used < allowed; mayRun != running {
				running = mayRun
				p.setRunning(running)
			}
		}
	}
}

// setRunning continues or stops a process. It does nothing if the process has ended.
func (p *balancerProcess) setRunning(running bool) {
	signal := syscall.SIGSTOP
	if running {
		signal = syscall.SIGCONT
	}
	_ = p.command.Process.Signal(signal)
}
