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
type Town struct {
	nodes  []*Node
	agent  *http.Server
	at     string
	desk   *Desk
	ending chan struct{}

	mu      sync.Mutex
	index   int
	changed chan struct{} // closed and made anew with each change of the list
}

// Node is a stand-in for a node. It counts what it runs, by the hit's id.
type Node struct {
	Name  string
	Build int

	server *http.Server
	at     string
	town   *Town

	mu    sync.Mutex
	ran   map[string]int // mutating hits
	hits  int
	state string
	work  time.Duration
	fail  bool
}

// NewTown starts so many nodes of one build, discovery and a desk at which that build is released.
func NewTown(nodes int) (*Town, error) {
	t := &Town{index: 1, changed: make(chan struct{}), ending: make(chan struct{})}
	for i := range nodes {
		n := &Node{Name: fmt.Sprintf("s-%02d", i), Build: 1, town: t, ran: map[string]int{}, state: "Ready"}
		var err error
		if n.server, n.at, err = serveOn(http.HandlerFunc(n.serve)); err != nil {
			t.Close()
			return nil, err
		}
		t.nodes = append(t.nodes, n)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", t.hosts)
	var err error
	if t.agent, t.at, err = serveOn(mux); err != nil {
		t.Close()
		return nil, err
	}
	if t.desk, err = newDesk(); err != nil {
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
func (t *Town) Close() {
	select {
	case <-t.ending:
		return
	default:
		close(t.ending)
	}
	for _, n := range t.nodes {
		n.server.Close()
	}
	if t.agent != nil {
		t.agent.Close()
	}
	if t.desk != nil {
		t.desk.close()
	}
}

// Discovery is the address of the agent.
func (t *Town) Discovery() string { return t.at }

// Desk is the release desk.
func (t *Town) Desk() *Desk { return t.desk }

// Nodes are the nodes.
func (t *Town) Nodes() []*Node { return t.nodes }

// Begun is how many hits all nodes have begun.
func (t *Town) Begun() (n int) {
	for _, node := range t.nodes {
		n += node.Hits()
	}
	return n
}

// Twice are the mutating hits that ran more than once, over all nodes.
func (t *Town) Twice() []string {
	all := map[string]int{}
	for _, n := range t.nodes {
		n.mu.Lock()
		for id, times := range n.ran {
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
func (t *Town) SetBuild(n *Node, build int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n.Build = build
	t.index++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Behave sets how long a node works on a hit, and whether it fails them.
func (n *Node) Behave(work time.Duration, fail bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.work, n.fail = work, fail
}

// Hits is how many a node has begun.
func (n *Node) Hits() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hits
}

func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // its last byte never came: it has not run
	}
	id := r.Header.Get("X-Correlation-Id")
	n.mu.Lock()
	n.hits++
	if r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == "" {
		n.ran[id]++
	}
	work, fail := n.work, n.fail
	n.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	case <-n.town.ending:
		return
	}
	if fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "%s of %s", id, n.Name)
}

// hosts is the list, and the watch that waits for a change of it.
func (t *Town) hosts(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	over := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		t.mu.Lock()
		index, changed := t.index, t.changed
		t.mu.Unlock()
		if r.URL.Query().Get("since") == "" || index > since {
			break
		}
		select {
		case <-changed:
			continue
		case <-over:
		case <-r.Context().Done():
			return
		case <-t.ending:
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
	t.mu.Lock()
	list.Index = t.index
	for _, n := range t.nodes {
		list.Endpoints = append(list.Endpoints, endpoint{Name: n.Name, Address: n.at, Zone: "z", Type: "k", Status: n.state,
			Weight: 1, Image: n.Build})
	}
	t.mu.Unlock()
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
type Desk struct {
	listener net.Listener
	ending   chan struct{}

	mu      sync.Mutex
	stage   Stage
	since   time.Time
	follows map[net.Conn]bool
	ballots []Ballot
	tokens  map[string]uint64 // the highest seen, by piece of work
}

const (
	signOfLife  = time.Second
	mostBallots = 1 << 16
)

func newDesk() (*Desk, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	d := &Desk{listener: l, ending: make(chan struct{}), stage: Stage{Image: 1, Progress: "live", Ceiling: 1}, since: time.Now(),
		follows: map[net.Conn]bool{}, tokens: map[string]uint64{}}
	go d.accept()
	go d.live()
	return d, nil
}

// Address is where it listens.
func (d *Desk) Address() string { return d.listener.Addr().String() }

func (d *Desk) close() {
	close(d.ending)
	d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.follows {
		c.Close()
	}
}

// Ballots are the votes that came, in order.
func (d *Desk) Ballots() []Ballot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Ballot(nil), d.ballots...)
}

// Move has the newest build stand elsewhere and tells all who follow.
func (d *Desk) Move(s Stage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stage, d.since = s, time.Now()
	for c := range d.follows {
		d.tell(c, "stage", d.now())
	}
}

// now is the stage as it is told, with the lock held.
func (d *Desk) now() Stage {
	s := d.stage
	s.Lag = float64(time.Since(d.since)) / float64(time.Millisecond)
	return s
}

func (d *Desk) tell(c net.Conn, method string, params any) {
	d.line(c, map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
}

// line writes with the lock held. A reader that falls behind is cut off.
func (d *Desk) line(c net.Conn, object any) {
	raw, err := json.Marshal(object)
	if err == nil {
		c.SetWriteDeadline(time.Now().Add(signOfLife))
		_, err = c.Write(append(raw, '\n'))
	}
	if err != nil {
		c.Close()
		delete(d.follows, c)
	}
}

// live gives its sign of life.
func (d *Desk) live() {
	every := time.NewTicker(signOfLife)
	defer every.Stop()
	for {
		select {
		case <-d.ending:
			return
		case <-every.C:
		}
		d.mu.Lock()
		for c := range d.follows {
			d.tell(c, "ping", struct{}{})
		}
		d.mu.Unlock()
	}
}

func (d *Desk) accept() {
	for {
		c, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go d.serve(c)
		}
	}
}

func (d *Desk) serve(c net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(d.follows, c)
		d.mu.Unlock()
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
		d.mu.Lock()
		answer := map[string]any{"jsonrpc": "2.0", "id": in.ID}
		var ballot Ballot
		switch {
		case in.Method == "follow":
			answer["result"] = true
			d.line(c, answer)
			d.follows[c] = true
			d.tell(c, "stage", d.now())
			d.mu.Unlock()
			continue
		case in.Method != "castBallot" || json.Unmarshal(in.Params, &ballot) != nil ||
			!strings.Contains(" none on hold back ", " "+ballot.Opinion+" "):
			answer["error"] = map[string]any{"code": -32602, "message": "ValidationError"}
		default:
			ballot.At, ballot.From = time.Now(), c.RemoteAddr().String()
			for _, f := range ballot.Fences {
				ballot.Fenced = ballot.Fenced || f.Token < d.tokens[f.Work]
				d.tokens[f.Work] = max(d.tokens[f.Work], f.Token)
			}
			if ballot.Counted = !ballot.Fenced && ballot.Image == d.stage.Image && ballot.Ring == d.stage.Ring; ballot.Counted {
				answer["result"] = d.now()
			} else {
				answer["error"] = map[string]any{"code": -32602, "message": "ConditionFailed"}
			}
			if len(d.ballots) < mostBallots {
				d.ballots = append(d.ballots, ballot)
			}
		}
		d.line(c, answer)
		d.mu.Unlock()
	}
}
