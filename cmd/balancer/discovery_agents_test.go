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

// endpoint is an entry of a list as discovery and the configuration write it.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	ImageID int     `json:"image_id"`
}

// endpointList writes a snapshot in discovery's form, indented.
func endpointList(t *testing.T, index int, endpoints []endpoint) []byte {
	t.Helper()
	text, err := json.MarshalIndent(map[string]any{"index": index, "snapshot": true, "endpoints": endpoints}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// startAgent starts a discovery agent with this list, and returns its address.
type startAgent func(t *testing.T, list []byte) (address string)

// respondingAgent responds to each poll as respond does. Its watches bring nothing, in the time that the call names.
func respondingAgent(respond func(w http.ResponseWriter, r *http.Request, list []byte)) startAgent {
	return func(t *testing.T, list []byte) string {
		t.Helper()
		agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if since := r.FormValue("since"); since != "" {
				wait, err := time.ParseDuration(r.FormValue("timeout_ms") + "ms")
				if err != nil {
					t.Errorf("a watch with %q: %v", r.URL.RawQuery, err)
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

// lateAgent responds to each poll with this delay.
func lateAgent(delay time.Duration) startAgent {
	return respondingAgent(func(w http.ResponseWriter, r *http.Request, list []byte) {
		select {
		case <-time.After(delay):
			_, _ = w.Write(list) // the instance may have stopped
		case <-r.Context().Done():
		}
	})
}

// slowAgent begins to respond to a poll at once, and sends the list in pieces over this time.
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

// recoveringAgent never responds to polls of this time from its first one on, and at once to later ones.
func recoveringAgent(span time.Duration) startAgent {
	var once sync.Once
	var back time.Time
	return respondingAgent(func(w http.ResponseWriter, r *http.Request, list []byte) {
		once.Do(func() { back = time.Now().Add(span) })
		if time.Now().Before(back) {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(list) // the instance may have stopped
	})
}

// unresponsiveAgent accepts connections and never responds.
func unresponsiveAgent(t *testing.T, _ []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the system accepts them, nobody reads
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // no test depends on it
	return listener.Addr().String()
}

// refusingAgent refuses connections.
func refusingAgent(t *testing.T, _ []byte) string {
	t.Helper()
	return closedAddress(t)
}
