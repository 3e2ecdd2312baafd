package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// longHoldUp is about as long as the event loop was late in the operators' logs, and more than lossLimit.
	longHoldUp = 620 * time.Millisecond
)

// Guards against requests whose time in the socket or the accept queue of a held-up process is not counted: they got their whole
// time once more when they were read, and their responses came so late that they counted as lost. Endpoints do not respond.
func TestTimeBeforeRequestIsReadCounts(t *testing.T) {
	platform := newPlatformStub(t)
	cfg, path := platform.configFileWith(t, testSettings, `{"cores":1,"memory_mb":64,"sockets":512}`)
	process := startProcess(t, path)
	waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady("http://" + cfg.Listen) })
	kept := steadyClient{server: cfg.Listen, keeps: true}
	defer kept.close()
	if err := kept.exchange("before"); err != nil {
		t.Fatal(err)
	}
	platform.setFault(neverResponds)
	process.signal(t, syscall.SIGSTOP)
	waitFor(t, stepTimeout, "process is not stopped", func() bool { return process.isStopped(t) })
	var exchanges sync.WaitGroup
	for name, client := range map[string]*steadyClient{"kept": &kept, "new": {server: cfg.Listen}} {
		exchanges.Go(func() {
			sentAt := time.Now()
			err := client.exchange(fmt.Sprint("held-up-", name))
			if late := time.Since(sentAt) - steadyTimeLeft; err != nil || late > lossLimit {
				t.Errorf("%s connection: response %v after the request's time, error %v; want at most %v", name, late, err, lossLimit)
			}
			if attempts := platform.attempts("held-up-" + name); attempts > 0 {
				t.Errorf("%s connection: got %d attempts after the request's time, want none", name, attempts)
			}
		})
	}
	time.Sleep(longHoldUp)
	process.signal(t, syscall.SIGCONT)
	exchanges.Wait()
}
