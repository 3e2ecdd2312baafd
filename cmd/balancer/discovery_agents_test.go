package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// endpoint is an entry of an endpoint list, in the JSON of discovery and of the configuration.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	ImageID int     `json:"image_id"`
}

// endpointList returns a snapshot in discovery's JSON, indented.
func endpointList(t *testing.T, index int, endpoints []endpoint) []byte {
	t.Helper()
	text, err := json.MarshalIndent(map[string]any{"index": index, "snapshot": true, "endpoints": endpoints}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// startAgent starts a discovery agent with an endpoint list, and returns its address.
type startAgent func(t *testing.T, list []byte) (address string)

// respondingAgent starts an agent that responds to each poll by respond. It responds to a watch without changes, after the
// time that the watch asks for.
func respondingAgent(respond func(w http.ResponseWriter, r *http.Request, list []byte)) startAgent {
	return func(t *testing.T, list []byte) string {
		t.Helper()
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if since := r.FormValue("since"); since != "" {
				wait, err := time.ParseDuration(r.FormValue("timeout_ms") + "ms")
				if err != nil {
					t.Errorf("watch with query %q: %v", r.URL.RawQuery, err)
				}
				select {
				case <-time.After(wait):
					_, _ = fmt.Fprintf(w, `{"index":%s,"snapshot":false,"endpoints":[]}`, since) // the instance may have stopped
				case <-r.Context().Done():
				}
				return
			}
			respond(w, r, list)
		}))
		t.Cleanup(agent.Close)
		t.Cleanup(agent.CloseClientConnections)
		return agent.Listener.Addr().String()
	}
}

// lateAgent responds to each poll after a delay.
func lateAgent(delay time.Duration) startAgent {
	return respondingAgent(func(w http.ResponseWriter, r *http.Request, list []byte) {
		select {
		case <-time.After(delay):
			_, _ = w.Write(list) // the instance may have stopped
		case <-r.Context().Done():
		}
	})
}

// slowAgent starts its response to a poll at once, and sends the list in pieces over the time span.
func slowAgent(span time.Duration) startAgent {
	const pieces = 10
	return respondingAgent(func(w http.ResponseWriter, r *http.Request, list []byte) {
		for i := range pieces {
			if _, err := w.Write(list[i*len(list)/pieces : (i+1)*len(list)/pieces]); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-time.After(span / pieces):
			case <-r.Context().Done():
				return
			}
		}
	})
}

// recoveringAgent never responds to polls within the time span that begins with the first poll, and responds at once to
// later polls.
func recoveringAgent(span time.Duration) startAgent {
	var once sync.Once
	var recovery time.Time
	return respondingAgent(func(w http.ResponseWriter, r *http.Request, list []byte) {
		once.Do(func() { recovery = time.Now().Add(span) })
		if time.Now().Before(recovery) {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(list) // the instance may have stopped
	})
}

// unresponsiveAgent accepts connections and never responds.
func unresponsiveAgent(t *testing.T, _ []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, and no code reads from them
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // no check depends on the error
	return listener.Addr().String()
}

// refusingAgent refuses connections.
func refusingAgent(t *testing.T, _ []byte) string {
	t.Helper()
	return closedAddress(t)
}
