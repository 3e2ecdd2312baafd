package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxWatchWaitMS bounds the wait of a watch, in milliseconds, whatever timeout the request has.
const maxWatchWaitMS = 60_000

// listedEndpoint is an endpoint in a response of the discovery agent.
type listedEndpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int     `json:"since_ms"`
	Build   int     `json:"image_id"`
}

// endpointList is a response of the discovery agent.
type endpointList struct {
	Index     int              `json:"index"`
	Snapshot  bool             `json:"snapshot"`
	Endpoints []listedEndpoint `json:"endpoints"`
}

// serveHosts responds with the endpoint list. Without an index it responds at once; otherwise it responds at the first
// change after that index or at the timeout of the watch.
func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("since") != "" && !p.awaitChange(r) {
		return
	}
	_ = json.NewEncoder(w).Encode(p.endpointList()) // a failed write means that the balancer has disconnected
}

// awaitChange waits for a list newer than the index of the watch. It also returns true at the timeout
// of the watch, and false if the client has disconnected or the platform is closed.
func (p *Platform) awaitChange(r *http.Request) bool {
	// A malformed index or timeout counts as 0, so that the watch returns at once.
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	timeoutMS, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	expired := time.After(time.Duration(min(timeoutMS, maxWatchWaitMS)) * time.Millisecond)
	for {
		p.mu.Lock()
		index, changed := p.index, p.changed
		p.mu.Unlock()
		if index > since {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return true
		case <-r.Context().Done():
			return false
		case <-p.closing:
			return false
		}
	}
}

func (p *Platform) endpointList() endpointList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := endpointList{Index: p.index, Snapshot: true}
	for _, endpoint := range p.endpoints {
		list.Endpoints = append(list.Endpoints, listedEndpoint{
			Name: endpoint.Name, Address: endpoint.address, Zone: "z", Type: "k", Status: "Ready",
			Weight: 1, Build: endpoint.Build,
		})
	}
	return list
}
