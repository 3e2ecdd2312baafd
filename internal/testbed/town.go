// Package lab is the project's own emulator of a fleet on loopback: stand-ins for the nodes, discovery and the release
// desk, written from the protocol's words, and several real marshal processes with faults between them. The tests of
// cmd/balancer and the experiments of cmd/testbed run on it.
package testbed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Town is the stand-ins that all marshals of a fleet share.
type Platform struct {
	endpoints        []*Endpoint
	agent            *http.Server
	discoveryAddress string
	controller       *Controller
	closing          chan struct{}

	mu      sync.Mutex
	index   int
	changed chan struct{} // closed and made anew with each change of the list
}

// Node is a stand-in for a node. It counts what it runs, by the hit's id.
type Endpoint struct {
	Name  string
	Build int

	server   *http.Server
	address  string
	platform *Platform

	mu                sync.Mutex
	nonIdempotentRuns map[string]int // mutating hits
	requests          int
	state             string
	latency           time.Duration
	fail              bool
}

// NewTown starts so many nodes of one build, discovery and a desk at which that build is released.
func NewPlatform(nodes int) (*Platform, error) {
	t := &Platform{index: 1, changed: make(chan struct{}), closing: make(chan struct{})}
	for i := range nodes {
		n := &Endpoint{Name: fmt.Sprintf("s-%02d", i), Build: 1, platform: t, nonIdempotentRuns: map[string]int{}, state: "Ready"}
		var err error
		if n.server, n.address, err = serveOn(http.HandlerFunc(n.serve)); err != nil {
			t.Close()
			return nil, err
		}
		t.endpoints = append(t.endpoints, n)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", t.hosts)
	var err error
	if t.agent, t.discoveryAddress, err = serveOn(mux); err != nil {
		t.Close()
		return nil, err
	}
	if t.controller, err = newController(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func serveOn(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go s.Serve(l)
	return s, l.Addr().String(), nil
}

// Close ends the stand-ins.
func (p *Platform) Close() {
	select {
	case <-p.closing:
		return
	default:
		close(p.closing)
	}
	for _, n := range p.endpoints {
		n.server.Close()
	}
	if p.agent != nil {
		p.agent.Close()
	}
	if p.controller != nil {
		p.controller.close()
	}
}

// Discovery is the address of the agent.
func (p *Platform) Discovery() string { return p.discoveryAddress }

// Desk is the release desk.
func (p *Platform) Controller() *Controller { return p.controller }

// Nodes are the nodes.
func (p *Platform) Endpoints() []*Endpoint { return p.endpoints }

// Begun is how many hits all nodes have begun.
func (p *Platform) Requests() (n int) {
	for _, node := range p.endpoints {
		n += node.Requests()
	}
	return n
}

// Twice are the mutating hits that ran more than once, over all nodes.
func (p *Platform) RanTwice() []string {
	all := map[string]int{}
	for _, n := range p.endpoints {
		n.mu.Lock()
		for id, times := range n.nonIdempotentRuns {
			all[id] += times
		}
		n.mu.Unlock()
	}
	var out []string
	for id, times := range all {
		if times > 1 {
			out = append(out, id)
		}
	}
	return out
}

// SetBuild has a node run a build, as the list will tell.
func (p *Platform) SetBuild(n *Endpoint, build int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.Build = build
	p.index++
	close(p.changed)
	p.changed = make(chan struct{})
}

// Behave sets how long a node works on a hit, and whether it fails them.
func (e *Endpoint) Behave(work time.Duration, fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency, e.fail = work, fail
}

// Hits is how many a node has begun.
func (e *Endpoint) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // its last byte never came: it has not run
	}
	id := r.Header.Get("X-Correlation-Id")
	e.mu.Lock()
	e.requests++
	if r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == "" {
		e.nonIdempotentRuns[id]++
	}
	work, fail := e.latency, e.fail
	e.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	case <-e.platform.closing:
		return
	}
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s of %s", id, e.Name)
}

// hosts is the list, and the watch that waits for a change of it.
func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	over := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		p.mu.Lock()
		index, changed := p.index, p.changed
		p.mu.Unlock()
		if r.URL.Query().Get("since") == "" || index > since {
			break
		}
		select {
		case <-changed:
			continue
		case <-over:
		case <-r.Context().Done():
			return
		case <-p.closing:
			return
		}
		break
	}
	type endpoint struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		Since   int     `json:"since_ms"`
		Image   int     `json:"image_id"`
	}
	list := struct {
		Index     int        `json:"index"`
		Snapshot  bool       `json:"snapshot"`
		Endpoints []endpoint `json:"endpoints"`
	}{Snapshot: true}
	p.mu.Lock()
	list.Index = p.index
	for _, n := range p.endpoints {
		list.Endpoints = append(list.Endpoints, endpoint{
			Name: n.Name, Address: n.address, Zone: "z", Type: "k", Status: n.state,
			Weight: 1, Image: n.Build,
		})
	}
	p.mu.Unlock()
	json.NewEncoder(w).Encode(list)
}

// Stage is where the newest build stands at the desk.
type Stage struct {
	Image    int     `json:"image"`
	Ring     int     `json:"ring"`
	Progress string  `json:"progress"`
	Ceiling  float64 `json:"ceiling"`
	Lag      float64 `json:"lag_ms"`
}

// Ballot is a vote as the desk took it.
type Ballot struct {
	At      time.Time
	From    string // the connection's address
	Image   int    `json:"image"`
	Ring    int    `json:"ring"`
	Opinion string `json:"opinion"`
	Fences  []struct {
		Work  string `json:"work"`
		Token uint64 `json:"token"`
	} `json:"fences"`
	Counted bool
	Fenced  bool // refused, for a newer token was seen
}

// Desk is a stand-in for the release desk, in JSON-RPC 2.0, an object a line. It counts votes and moves nothing by itself.
type Controller struct {
	listener net.Listener
	closing  chan struct{}

	mu        sync.Mutex
	stage     Stage
	since     time.Time
	followers map[net.Conn]bool
	ballots   []Ballot
	tokens    map[string]uint64 // the highest seen, by piece of work
}

const (
	pingInterval = time.Second
	maxBallots   = 1 << 16
)

func newController() (*Controller, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	d := &Controller{
		listener: l, closing: make(chan struct{}), stage: Stage{Image: 1, Progress: "live", Ceiling: 1}, since: time.Now(),
		followers: map[net.Conn]bool{}, tokens: map[string]uint64{},
	}
	go d.accept()
	go d.pingLoop()
	return d, nil
}

// Address is where it listens.
func (ctl *Controller) Address() string { return ctl.listener.Addr().String() }

func (ctl *Controller) close() {
	close(ctl.closing)
	ctl.listener.Close()
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	for c := range ctl.followers {
		c.Close()
	}
}

// Ballots are the votes that came, in order.
func (ctl *Controller) Ballots() []Ballot {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return append([]Ballot(nil), ctl.ballots...)
}

// Move has the newest build stand elsewhere and tells all who follow.
func (ctl *Controller) SetStage(s Stage) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.stage, ctl.since = s, time.Now()
	for c := range ctl.followers {
		ctl.notify(c, "stage", ctl.currentStage())
	}
}

// now is the stage as it is told, with the lock held.
func (ctl *Controller) currentStage() Stage {
	s := ctl.stage
	s.Lag = float64(time.Since(ctl.since)) / float64(time.Millisecond)
	return s
}

func (ctl *Controller) notify(c net.Conn, method string, params any) {
	ctl.writeLine(c, map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
}

// line writes with the lock held. A reader that falls behind is cut off.
func (ctl *Controller) writeLine(c net.Conn, object any) {
	raw, err := json.Marshal(object)
	if err == nil {
		c.SetWriteDeadline(time.Now().Add(pingInterval))
		_, err = c.Write(append(raw, '\n'))
	}
	if err != nil {
		c.Close()
		delete(ctl.followers, c)
	}
}

// live gives its sign of life.
func (ctl *Controller) pingLoop() {
	every := time.NewTicker(pingInterval)
	defer every.Stop()
	for {
		select {
		case <-ctl.closing:
			return
		case <-every.C:
		}
		ctl.mu.Lock()
		for c := range ctl.followers {
			ctl.notify(c, "ping", struct{}{})
		}
		ctl.mu.Unlock()
	}
}

func (ctl *Controller) accept() {
	for {
		c, err := ctl.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go ctl.serve(c)
		}
	}
}

func (ctl *Controller) serve(c net.Conn) {
	defer func() {
		ctl.mu.Lock()
		delete(ctl.followers, c)
		ctl.mu.Unlock()
		c.Close()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, 8<<10)
	for lines.Scan() {
		var in struct {
			ID     json.RawMessage `json:"id"`
			Method string          `json:"method"`
			Params json.RawMessage `json:"params"`
		}
		if json.Unmarshal(lines.Bytes(), &in) != nil {
			return
		}
		ctl.mu.Lock()
		response := map[string]any{"jsonrpc": "2.0", "id": in.ID}
		var ballot Ballot
		switch {
		case in.Method == "follow":
			response["result"] = true
			ctl.writeLine(c, response)
			ctl.followers[c] = true
			ctl.notify(c, "stage", ctl.currentStage())
			ctl.mu.Unlock()
			continue
		case in.Method != "castBallot" || json.Unmarshal(in.Params, &ballot) != nil ||
			!strings.Contains(" none on hold back ", " "+ballot.Opinion+" "):
			response["error"] = map[string]any{"code": -32602, "message": "ValidationError"}
		default:
			ballot.At, ballot.From = time.Now(), c.RemoteAddr().String()
			for _, f := range ballot.Fences {
				ballot.Fenced = ballot.Fenced || f.Token < ctl.tokens[f.Work]
				ctl.tokens[f.Work] = max(ctl.tokens[f.Work], f.Token)
			}
			if ballot.Counted = !ballot.Fenced && ballot.Image == ctl.stage.Image && ballot.Ring == ctl.stage.Ring; ballot.Counted {
				response["result"] = ctl.currentStage()
			} else {
				response["error"] = map[string]any{"code": -32602, "message": "ConditionFailed"}
			}
			if len(ctl.ballots) < maxBallots {
				ctl.ballots = append(ctl.ballots, ballot)
			}
		}
		ctl.writeLine(c, response)
		ctl.mu.Unlock()
	}
}
