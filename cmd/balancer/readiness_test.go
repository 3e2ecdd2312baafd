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

// startHeldAgent starts a discovery agent that responds only once held is closed: then with this snapshot, and to watches never.
func startHeldAgent(t *testing.T, held <-chan struct{}, snapshot string) (address string) {
	t.Helper()
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			return
		case <-held:
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, snapshot) // the test fails where it does not arrive
	}))
	t.Cleanup(func() {
		agent.CloseClientConnections()
		agent.Close()
	})
	return agent.Listener.Addr().String()
}

// get sends a request over a connection of its own. The status is 0 where there is no response.
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
		t.Errorf("status %d, body cut short: %v", res.StatusCode, err)
	}
	return res.StatusCode, string(raw)
}

// awaitUnready waits until an instance responds, and fails the test where it is ready by then.
func awaitUnready(t *testing.T, url string) {
	t.Helper()
	waitFor(t, stepTimeout, "the instance does not listen", func() bool {
		status, _ := get(t, url+"/up", "")
		if status != 0 && status != http.StatusServiceUnavailable {
			t.Fatalf("ready before it received an endpoint list: status %d for /up", status)
		}
		return status != 0
	})
}

// A new process sends no request by an endpoint list that may be older than discovery's: until its agent responds it is not
// ready and rejects requests, and then it uses the list that it received. The endpoint that is ready on the configuration's
// list and drains by now gets nothing.
func TestStartWhileDiscoveryIsSilent(t *testing.T) {
	platform := newPlatformStub(t)
	var drainingGot atomic.Int32
	draining := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { drainingGot.Add(1) }))
	t.Cleanup(draining.Close)
	entry := `{"name":%q,"address":%q,"zone":"z","type":"k","status":%q,"weight":1,"image_id":1}`
	snapshot := fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[`+entry+","+entry+"]}",
		"old", draining.Listener.Addr(), "Terminating", "new", platform.endpoints[0].Listener.Addr(), "Ready")
	held := make(chan struct{})
	cfg := platform.config(t)
	cfg.Discovery = startHeldAgent(t, held, snapshot)
	cfg.Endpoints = &engine.EndpointUpdate{Kind: decision.CachedSnapshot, Version: 1, Endpoints: []engine.Endpoint{{
		Address:  draining.Listener.Addr().String(),
		Endpoint: decision.Endpoint{ID: "old", Zone: "z", MachineType: "k", Build: 1, Capacity: 1},
	}}}
	server := startServer(t, cfg)
	url := "http://" + cfg.Listen
	awaitUnready(t, url)
	for i := range 20 {
		if status, _ := get(t, url+"/read/1", fmt.Sprint("early", i)); status != http.StatusServiceUnavailable {
			t.Errorf("a request before any list was received: status %d", status)
		}
	}
	close(held)
	// In half of the timeout: at its end the instance is ready without a list.
	waitFor(t, discoveryTimeout/2, "not ready though discovery sent a list", func() bool {
		status, _ := get(t, url+"/up", "")
		return status == http.StatusOK
	})
	for i := range 20 {
		if status, body := get(t, url+"/read/1", fmt.Sprint("late", i)); status != http.StatusOK || body != "hi" {
			t.Errorf("a request after the list was received: status %d, body %q", status, body)
		}
	}
	server.stop <- syscall.SIGTERM
	if n := drainingGot.Load(); n != 0 {
		t.Errorf("the draining endpoint got %d requests", n)
	}
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
}
