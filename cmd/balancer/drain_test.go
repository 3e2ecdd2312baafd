package main

import (
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// processResources counts the goroutines and open file descriptors of the test process.
type processResources struct{ goroutines, descriptors int }

func openResources(t *testing.T) processResources {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("the system has no /proc")
	}
	return processResources{runtime.NumGoroutine(), len(descriptors)}
}

// checkReleased fails the test if more goroutines or descriptors than before stay open.
func checkReleased(t *testing.T, before processResources) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		now := openResources(t)
		if now.goroutines <= before.goroutines && now.descriptors <= before.descriptors {
			return
		}
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("resources of the test process: got %d goroutines and %d descriptors, want at most %d and %d\n%s", now.goroutines, now.descriptors,
				before.goroutines, before.descriptors, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// checkInTime fails the test if a response with status 200 is not the endpoint's, or if a response takes longer than the
// client's timeout of 250 ms and 200 ms of slack.
func checkInTime(t *testing.T, r response) {
	t.Helper()
	if r.err != nil || r.status == http.StatusOK && r.body != "hi" {
		t.Errorf("status %d: got body %q, error %v, want body \"hi\"", r.status, r.body, r.err)
	}
	if r.latency > 450*time.Millisecond {
		t.Errorf("status %d after %v, want at most 450 ms", r.status, r.latency)
	}
}

// Endpoints fail in each way in turn, one endpoint drains, and the instance drains with requests in flight. Each request
// gets one response in time, no non-idempotent request runs twice, and all goroutines and descriptors are released.
func TestFaultsOnRealSockets(t *testing.T) {
	// The first socket of the process opens two descriptors for the network poller, which stay open.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	before := openResources(t)
	platform := newPlatformStub(t)
	cfg := platform.config(t)
	server := startServer(t, cfg)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	clients := &clientLoad{url: "http://" + cfg.Listen, client: client, pause: time.Millisecond, check: checkInTime}
	clients.start(t, 8)
	for f := range faultCount {
		platform.setFault(f)
		awaitMore(t, &clients.responses, 40)
		platform.version.Add(1)
	}
	platform.setFault(noFault)
	awaitMore(t, &clients.successes, 100)
	platform.setFault(neverResponds)
	server.stop <- syscall.SIGTERM
	time.Sleep(drainGrace / 2) // clients keep sending while the instance drains
	clients.stop()
	if err := <-server.ended; err != nil {
		t.Errorf("instance ended with error %v, want none", err)
	}
	client.CloseIdleConnections()
	platform.close()
	platform.checkRunsOnce(t)
	for _, line := range []string{"msg=serving", "msg=draining signal=terminated", "msg=stopped"} {
		if !strings.Contains(server.log.String(), line) {
			t.Errorf("log of the instance: want a line with %q, got\n%s", line, server.log.String())
		}
	}
	checkReleased(t, before)
}
