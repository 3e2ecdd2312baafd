package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxWatchWaitMS bounds how long a watch waits for a change, in milliseconds, whatever it asks for.
const maxWatchWaitMS = 60_000

// listedEndpoint is an endpoint as the discovery agent describes it.
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

// endpointList is the discovery agent's response.
type endpointList struct {
	Index     int              `json:"index"`
	Snapshot  bool             `json:"snapshot"`
	Endpoints []listedEndpoint `json:"endpoints"`
}

// serveHosts answers with the list: at once without an index, otherwise at the first change after that index or at the
// end of the time that the watch waits.
func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("since") != "" && !p.awaitChange(r) {
		return
	}
	_ = json.NewEncoder(w).Encode(p.endpointList()) // a balancer that has left needs no response
}

// awaitChange waits for a list newer than the watch knows; false where the watcher has left or the platform closes.
func (p *Platform) awaitChange(r *http.Request) bool {
	// An index or a time that is no number counts as 0: the watch is answered at once.
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	expired := time.After(time.Duration(min(waitMS, maxWatchWaitMS)) * time.Millisecond)
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
