package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"ottershed/internal/discovery"
)

// polledSettings are testSettings with a list that is polled.
var polledSettings = strings.NewReplacer(`{"n-instances":1,`, `{"n-instances":6,"discovery":"ask",`,
	`"rules":{`, `"rules":{"ask-within-ms":10000,"drain-grace-ms":250,`).Replace(testSettings)

// interruptedAgent passes calls on to the agent of a platformStub, except during an outage, which also ends the watch that
// is open. The outage ends, with a new version of the list, in the moment in which its last call has been received.
type interruptedAgent struct {
	platform *platformStub
	fail     http.HandlerFunc // what becomes of a call in an outage
	begun    chan struct{}    // closed at the start of the outage

	mu          sync.Mutex
	callsToFail int       // calls until the end of the outage; 0: no outage
	endedAt     time.Time // end of the outage
	notifiedAt  time.Time // time of the first response after the outage
}

func (a *interruptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.failNext() {
		a.fail(w, r)
		return
	}
	if a.serveUnlessInterrupted(w, r) {
		a.fail(w, r)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.endedAt.IsZero() && a.notifiedAt.IsZero() && r.Context().Err() == nil {
		a.notifiedAt = time.Now()
	}
}

// serveUnlessInterrupted passes a call on. It reports whether the start of the outage has ended the call.
func (a *interruptedAgent) serveUnlessInterrupted(w http.ResponseWriter, r *http.Request) (interrupted bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	served := make(chan struct{})
	defer close(served)
	if endedAt, _ := a.times(); endedAt.IsZero() {
		go func() {
			select {
			case <-a.begun:
				cancel()
			case <-served:
			}
		}()
	}
	a.platform.serveEndpointList(w, r.WithContext(ctx))
	return ctx.Err() != nil && r.Context().Err() == nil
}

// failNext counts a call of an outage and ends the outage with its last call. It returns false if there is no outage.
func (a *interruptedAgent) failNext() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.callsToFail == 0 {
		return false
	}
	a.callsToFail--
	if a.callsToFail == 0 {
		a.endedAt = time.Now()
		a.platform.version.Store(2)
	}
	return true
}

func (a *interruptedAgent) startOutage(calls int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callsToFail = calls
	close(a.begun)
}

// times returns the end of the outage and the time of the first response after it; zero if they have not come.
func (a *interruptedAgent) times() (endedAt, notifiedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt, a.notifiedAt
}

// Guards against an instance that polls its list only long after an outage of discovery, and sends requests to endpoints
// that drain: all in a separate process, it has the list MaxNotificationDelay after the end of the outage.
func TestPolledListReceivedAfterOutage(t *testing.T) {
	const failedCalls = 4
	for name, fail := range map[string]http.HandlerFunc{
		"rejected": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"error":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"reset":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"silent":   func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := newPlatformStub(t)
			agent := &interruptedAgent{platform: platform, fail: fail, begun: make(chan struct{})}
			server := httptest.NewServer(agent)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			_, path := platform.configFileWith(t, polledSettings, "{}")
			text := strings.Replace(readFile(t, path), platform.agentAddress(), server.Listener.Addr().String(), 1)
			process := startProcess(t, writeFile(t, path, text))
			waitFor(t, stepTimeout, "agent got no call", func() bool { return platform.discoveryCalls.Load() > 1 })
			agent.startOutage(failedCalls)
			waitFor(t, stepTimeout, "agent got no call after the outage", func() bool {
				_, notifiedAt := agent.times()
				return !notifiedAt.IsZero()
			})
			endedAt, notifiedAt := agent.times()
			if took := notifiedAt.Sub(endedAt); took > discovery.MaxNotificationDelay {
				t.Errorf("got a call %v after the outage, want one within %v\n%s", took, discovery.MaxNotificationDelay, process.log.String())
			}
			process.terminate(t)
		})
	}
}
