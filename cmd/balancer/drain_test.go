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

// resources are what a process has open.
type processResources struct{ goroutines, descriptors int }

func openResources(t *testing.T) processResources {
	t.Helper()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return processResources{runtime.NumGoroutine(), len(descriptors)}
}

// checkReleased fails the test where goroutines or descriptors stay open that were not before.
func checkReleased(t *testing.T, before processResources) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		now := openResources(t)
		if now.goroutines <= before.goroutines && now.descriptors <= before.descriptors {
			return
		}
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("%d goroutines of %d, %d descriptors of %d\n%s", now.goroutines, before.goroutines, now.descriptors,
				before.descriptors, stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// checkInTime fails the test where a response is not the endpoint's, or later than the client's 250 ms and slack.
func checkInTime(t *testing.T, r response) {
	t.Helper()
	if r.err != nil || r.status == http.StatusOK && r.body != "hi" {
		t.Errorf("body %q, %v", r.body, r.err)
	}
	if r.took > 450*time.Millisecond {
		t.Errorf("status %d after %v", r.status, r.took)
	}
}

// While endpoints fail in each way in turn, one of them drains, and the instance itself drains with requests in flight, each
// request gets one response in time, no non-idempotent one runs twice, and all goroutines and descriptors are released.
func TestFaultsOnRealSockets(t *testing.T) {
	first, err := net.Listen("tcp", "127.0.0.1:0") // the first socket opens two descriptors that stay, the poller's
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Close(); err != nil {
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
		awaitMore(t, &clients.responded, 40)
		platform.version.Add(1)
	}
	platform.setFault(noFault)
	awaitMore(t, &clients.succeeded, 100)
	platform.setFault(neverResponds)
	server.stop <- syscall.SIGTERM
	time.Sleep(drainGrace / 2) // clients send meanwhile
	clients.stop()
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
	client.CloseIdleConnections()
	platform.close()
	platform.checkRunsOnce(t)
	for _, line := range []string{"msg=serving", "msg=draining signal=terminated", "msg=stopped"} {
		if !strings.Contains(server.log.String(), line) {
			t.Errorf("no line with %q in\n%s", line, server.log.String())
		}
	}
	checkReleased(t, before)
}
