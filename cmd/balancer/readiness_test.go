package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// startHeldAgent starts a discovery agent that responds to polls with a snapshot once release is closed. It never responds
// to watches.
func startHeldAgent(t *testing.T, release <-chan struct{}, snapshot string) (address string) {
	t.Helper()
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			return
		case <-release:
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, snapshot) // the test fails if the snapshot does not arrive
	}))
	t.Cleanup(func() {
		agent.CloseClientConnections()
		agent.Close()
	})
	return agent.Listener.Addr().String()
}

// get sends a request over a new connection. The status is 0 if there is no response.
func get(t *testing.T, url, id string) (status int, body string) {
	t.Helper()
	request, err := newRequest(http.MethodGet, url, "", id, "0.250")
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	res, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }() // nothing is left to read
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Errorf("response with status %d: got an incomplete body: %v", res.StatusCode, err)
	}
	return res.StatusCode, string(raw)
}

// awaitUnready waits until an instance responds, and fails the test if it is ready by then.
func awaitUnready(t *testing.T, url string) {
	t.Helper()
	waitFor(t, stepTimeout, "instance does not listen", func() bool {
		status, _ := get(t, url+"/up", "")
		if status != 0 && status != http.StatusServiceUnavailable {
			t.Fatalf("got status %d for /up before an endpoint list was received, want 503", status)
		}
		return status != 0
	})
}

// The configuration's endpoint list may be older than discovery's and have an endpoint that is draining by now. A new process
// must not send it requests. Until discovery responds, the process is not ready and rejects requests. Then it uses the list
// that it received.
func TestStartWhileDiscoveryIsSilent(t *testing.T) {
	platform := newPlatformStub(t)
	var drainingRequests atomic.Int32
	draining := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { drainingRequests.Add(1) }))
	t.Cleanup(draining.Close)
	entry := `{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1,"image_id":1}`
	snapshot := fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[`+entry+","+entry+"]}",
		"old", draining.Listener.Addr(), "Terminating", "new", platform.endpoints[0].Listener.Addr(), "Ready")
	release := make(chan struct{})
	cfg := platform.config(t)
	cfg.Discovery = startHeldAgent(t, release, snapshot)
	cfg.Endpoints = &engine.EndpointUpdate{Kind: decision.CachedSnapshot, Version: 1, Endpoints: []engine.Endpoint{{
		Address:  draining.Listener.Addr().String(),
		Endpoint: decision.Endpoint{ID: "old", Zone: "z", MachineType: "k", Build: 1, Capacity: 1},
	}}}
	server := startServer(t, cfg)
	url := "http://" + cfg.Listen
	awaitUnready(t, url)
	for i := range 20 {
		if status, _ := get(t, url+"/read/1", fmt.Sprint("early", i)); status != http.StatusServiceUnavailable {
			t.Errorf("request before a list was received: got status %d, want 503", status)
		}
	}
	close(release)
	// Half of the timeout, since at its end the instance becomes ready even without a list.
	waitFor(t, discoveryTimeout/2, "not ready although discovery has sent a list", func() bool {
		status, _ := get(t, url+"/up", "")
		return status == http.StatusOK
	})
	for i := range 20 {
		if status, body := get(t, url+"/read/1", fmt.Sprint("late", i)); status != http.StatusOK || body != "hi" {
			t.Errorf("request after the list was received: got status %d, body %q, want 200, \"hi\"", status, body)
		}
	}
	server.stop <- syscall.SIGTERM
	if n := drainingRequests.Load(); n != 0 {
		t.Errorf("draining endpoint got %d requests, want none", n)
	}
	if err := <-server.ended; err != nil {
		t.Errorf("instance ended with error %v, want none", err)
	}
}
