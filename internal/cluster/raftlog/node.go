// Package consensus keeps a replicated log among a few servers: hashicorp/raft over one port a server, bbolt for what has
// to last. What is in the log is its parts' business. What is decided here without the library, how a server comes to its
// place, internal/cluster/quorum decides.
package raftlog

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/logclock"
	"ottershed/internal/cluster/quorum"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
)

// Server is one that keeps the log, at the address by which this one reaches it.
type Server struct {
	Name    string
	Address string
}

// Config is what the operator's file says.
type Config struct {
	Name            string
	Dir             string // that lasts
	Bind            string // ip:port, TCP; empty where this is no server
	Servers         []Server
	Key             []byte
	ElectionTimeout time.Duration // without a word of the leader for so long, another is elected
}

// IsServer tells whether this one keeps the log itself.
func (c *Config) IsServer() bool {
	return slices.ContainsFunc(c.Servers, func(s Server) bool { return s.Name == c.Name })
}

// Part is what the log is for: it takes its commands in the log's order, alike at every server; at is the log's time in
// milliseconds, see logclock.Clock. Apply, Snapshot and Restore are never called at once.
type StateMachine interface {
	Apply(index uint64, at logclock.Millis, command []byte) (answer []byte)
	Snapshot() ([]byte, error)
	Restore(raw []byte) error
}

const (
	snapshotsDir         = "snapshots"
	snapshotsRetained    = 2
	snapshotThreshold    = 256 // entries
	trailingLogs         = 256 // entries that stay in the log behind a snapshot
	maxMessageBytes      = 4 << 20
	commitTimeoutDivisor = 200 // part of the time to elect in: between two words of a leader to its followers
)

// Node is one server's part in the log.
type Node struct {
	cfg        Config
	log        logrus.FieldLogger
	store      *Store
	machines   map[byte]StateMachine
	mux        *mux
	http       *http.ServeMux
	server     *http.Server
	httpClient *http.Client
	fsm        *fsm
	clock      *clock.Clock
	processID  uint64                    // this process, in the stamps of the entries that it writes as leader
	client     *Client                   // to the leader, wherever that is
	raft       atomic.Pointer[raft.Raft] // nil until it has its place
	hadLog     atomic.Bool               // the store held a log at the start
}

// Open opens the port; Run finds the server its place. The store stays the caller's.
func Open(cfg Config, store *Store, c *clock.Clock, log logrus.FieldLogger) (*Node, error) {
	l, err := net.Listen("tcp", cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("policy.bind: %w", err)
	}
	n := &Node{
		cfg: cfg, log: log, store: store, machines: map[byte]StateMachine{}, mux: newMux(l, cfg.Key), http: http.NewServeMux(),
		httpClient: NewHTTPClient(cfg.Key), clock: c, processID: rand.Uint64() | 1,
	}
	n.client = &Client{Servers: cfg.Servers, HTTP: n.httpClient, ElectionTimeout: cfg.ElectionTimeout, Clock: c}
	n.server = &http.Server{Handler: n.http, ReadHeaderTimeout: handshakeTimeout}
	n.fsm = &fsm{machines: n.machines}
	n.http.HandleFunc("GET /log/state", n.handleState)
	n.http.HandleFunc("POST /log/propose", n.handlePropose)
	n.http.HandleFunc("POST /log/barrier", n.handleBarrier)
	n.http.HandleFunc("POST /log/readmit", n.handleReadmit)
	go n.server.Serve(httpListener{n.mux})
	return n, nil
}

// Caller makes HTTP calls to servers; the host of a URL is the address.
func NewHTTPClient(key []byte) *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy: nil, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address, httpKind, key)
		},
	}}
}

// Add gives commands of a kind to a part; before Run.
func (n *Node) Register(kind byte, p StateMachine) { n.machines[kind] = p }

// Handle has calls of other marshals to a path answered; before Run.
func (n *Node) Handle(pattern string, h http.HandlerFunc) { n.http.HandleFunc(pattern, h) }

// Calls makes calls to others.
func (n *Node) HTTPClient() *http.Client { return n.httpClient }

func (n *Node) address(name string) (string, error) {
	for _, s := range n.cfg.Servers {
		if s.Name == name {
			return s.Address, nil
		}
	}
	return "", fmt.Errorf("no server is called %q", name)
}

// Run finds the server its place and keeps it until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer func() {
		if r := n.raft.Load(); r != nil {
			if err := r.Shutdown().Error(); err != nil {
				n.log.WithError(err).Warn("log: shutdown")
			}
		}
		n.server.Close()
		n.mux.close()
		n.httpClient.CloseIdleConnections()
	}()
	held, err := n.hasExistingLog()
	if err != nil {
		n.log.WithError(err).Error("log: store can't be read")
		return
	}
	if n.hadLog.Store(held); held {
		err = n.startRaft(false)
	} else {
		err = n.join(ctx)
	}
	if err != nil && ctx.Err() == nil {
		n.log.WithError(err).Error("log: this server has no part in it")
	}
	<-ctx.Done()
}

func (n *Node) hasExistingLog() (bool, error) {
	snaps, err := raft.NewFileSnapshotStore(n.cfg.Dir, snapshotsRetained, io.Discard)
	if err != nil {
		return false, err
	}
	return raft.HasExistingState(n.store, n.store, snaps)
}

func sleepContext(ctx context.Context, span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// place finds a server without a log its place: it begins one with the others, or is taken in again.
func (n *Node) join(ctx context.Context) error {
	for {
		var peers []quorum.PeerState
		for _, s := range n.cfg.Servers {
			if s.Name != n.cfg.Name {
				var a serverState
				err := n.call(ctx, s.Address, http.MethodGet, "/log/state", nil, &a)
				peers = append(peers, quorum.PeerState{Reached: err == nil, Established: a.Established})
			}
		}
		switch quorum.DecideStart(len(peers), peers) {
		case quorum.Bootstrap:
			return n.startRaft(true)
		case quorum.Rejoin:
			n.log.Warn("log: the others hold one and this server does not; it asks to be taken in again")
			return n.rejoin(ctx)
		}
		if !sleepContext(ctx, n.cfg.ElectionTimeout/4) {
			return ctx.Err()
		}
	}
}

// rejoin asks the leader again and again for the next step until this server is a voter again.
func (n *Node) rejoin(ctx context.Context) error {
	for {
		request := readmitRequest{Name: n.cfg.Name, Empty: n.raft.Load() == nil}
		if n.raft.Load() != nil {
			request.Applied = n.fsm.lastApplied.Load()
		}
		var step quorum.Step
		err := n.callLeader(ctx, "/log/readmit", request, &step)
		if err == nil && step == quorum.CatchUp && n.raft.Load() == nil {
			if err := n.startRaft(false); err != nil {
				return err
			}
		}
		if err == nil && step == quorum.Done {
			n.log.Info("log: taken in again")
			return nil
		}
		if !sleepContext(ctx, n.cfg.ElectionTimeout/4) {
			return ctx.Err()
		}
	}
}

// begin starts raft on what the store holds; found: with all servers as voters of a new log.
func (n *Node) startRaft(bootstrap bool) error {
	snaps, err := raft.NewFileSnapshotStore(n.cfg.Dir, snapshotsRetained, io.Discard)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.cfg.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = n.cfg.ElectionTimeout, n.cfg.ElectionTimeout, n.cfg.ElectionTimeout/2
	// Danger: followers hear of a commit by then at the latest, and no version runs before.
	c.CommitTimeout = n.cfg.ElectionTimeout / commitTimeoutDivisor
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, 10*n.cfg.ElectionTimeout
	c.ShutdownOnRemove = false
	c.LogOutput, c.LogLevel = raftLogWriter{n.log}, "WARN"
	transport := raft.NewNetworkTransport(streamLayer{n.mux, n.cfg.Name, n.address}, 3, 2*n.cfg.ElectionTimeout, raftLogWriter{n.log})
	if bootstrap {
		var all raft.Configuration
		for _, s := range n.cfg.Servers {
			all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(s.Name), Address: raft.ServerAddress(s.Name)})
		}
		slices.SortFunc(all.Servers, func(a, b raft.Server) int { return cmp.Compare(a.ID, b.ID) })
		if err := raft.BootstrapCluster(c, n.store, n.store, snaps, transport, all); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	r, err := raft.NewRaft(c, n.fsm, n.store, n.store, snaps, transport)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	n.raft.Store(r)
	n.log.WithFields(logrus.Fields{"new": bootstrap, "last_index": r.LastIndex()}).Info("log: begun")
	return nil
}

// lines has raft's own lines, few as they are at its level, among ours.
type raftLogWriter struct{ log logrus.FieldLogger }

func (l raftLogWriter) Write(p []byte) (int, error) {
	l.log.WithField("raft", strings.TrimSpace(string(p))).Debug("log")
	return len(p), nil
}

// Status is what a server knows of the log.
type Status struct {
	Role    string   `json:"role"` // leader, follower, candidate, or placing: it has no place yet
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit_index"`
	Applied uint64   `json:"applied_index"` // of the newest command that its parts have taken
	Voters  []string `json:"voters"`
}

// Status is the present one.
func (n *Node) Status() Status {
	r := n.raft.Load()
	if r == nil {
		return Status{Role: "placing"}
	}
	_, leader := r.LeaderWithID()
	s := Status{
		Role: strings.ToLower(r.State().String()), Leader: string(leader), Term: r.CurrentTerm(), Commit: r.CommitIndex(),
		Applied: n.fsm.lastApplied.Load(),
	}
	if f := r.GetConfiguration(); f.Error() == nil {
		for _, server := range f.Configuration().Servers {
			if server.Suffrage == raft.Voter {
				s.Voters = append(s.Voters, string(server.ID))
			}
		}
	}
	return s
}

// Leads tells whether this server leads, as far as it knows.
func (n *Node) IsLeader() bool {
	r := n.raft.Load()
	return r != nil && r.State() == raft.Leader
}

// ErrNoLeader is no leader to be found in time. Whether a proposal was committed is not known then.
var ErrNoLeader = errors.New("log: no leader answered in time")

// Propose puts a command into the log and returns what its part answered. Danger: an answer can get lost with its leader, so it
// is proposed again until one comes: the part has to know a command that comes twice.
func (n *Node) Propose(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	first := n.client.readings.lastLeader()
	if n.IsLeader() {
		first = n.cfg.Name
	} else if r := n.raft.Load(); r != nil {
		if _, id := r.LeaderWithID(); id != "" {
			first = string(id)
		}
	}
	return n.client.propose(ctx, first, append([]byte{kind}, command...))
}

// Barrier returns when this server's parts hold all that was committed when it was called.
func (n *Node) Barrier(ctx context.Context) error {
	var index uint64
	if err := n.callLeader(ctx, "/log/barrier", nil, &index); err != nil {
		return err
	}
	for {
		if n.fsm.lastApplied.Load() >= index {
			return nil
		}
		if !sleepContext(ctx, n.cfg.ElectionTimeout/50) {
			return fmt.Errorf("log: behind: %w", ctx.Err())
		}
	}
}

// Client reaches the log from a marshal that does not keep it. It goes on with the leader that it last found.
type Client struct {
	Servers         []Server
	HTTP            *http.Client
	ElectionTimeout time.Duration
	Clock           *clock.Clock
	readings        leaderReadings
}

// Propose does as a Node's.
func (c *Client) Propose(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	return c.propose(ctx, c.readings.lastLeader(), append([]byte{kind}, command...))
}

// Get asks one server after another for what it holds.
func (c *Client) Get(ctx context.Context, path string, to any) (err error) {
	for _, s := range c.Servers {
		tryCtx, cancel := context.WithTimeout(ctx, c.ElectionTimeout)
		err = Call(tryCtx, c.HTTP, s.Address, http.MethodGet, path, nil, to)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// toLeader asks the leader, whoever that is by then; answers go to to.
func (n *Node) callLeader(ctx context.Context, path string, request, to any) error {
	err := ErrNoLeader
	for next := 0; ; next++ {
		address := ""
		if n.IsLeader() {
			address, _ = n.address(n.cfg.Name)
		} else if r := n.raft.Load(); r != nil {
			if _, id := r.LeaderWithID(); id != "" && string(id) != n.cfg.Name {
				address, _ = n.address(string(id))
			}
		}
		// Danger: one that is cut off from its leader goes on naming it; so every other try asks the next server.
		if address == "" || next%2 == 1 {
			address = n.cfg.Servers[next/2%len(n.cfg.Servers)].Address
		}
		tryCtx, cancel := context.WithTimeout(ctx, 3*n.cfg.ElectionTimeout)
		terr := n.callBody(tryCtx, address, path, request, to)
		cancel()
		if terr == nil {
			return nil
		}
		err = terr
		if !sleepContext(ctx, n.cfg.ElectionTimeout/10) {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

func (n *Node) callBody(ctx context.Context, address, path string, request, to any) error {
	if raw, ok := request.([]byte); ok {
		return n.post(ctx, address, path, raw, to)
	}
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return n.post(ctx, address, path, raw, to)
}

func (n *Node) post(ctx context.Context, address, path string, raw []byte, to any) error {
	return n.call(ctx, address, http.MethodPost, path, raw, to)
}

func (n *Node) call(ctx context.Context, address, method, path string, raw []byte, to any) error {
	return Call(ctx, n.httpClient, address, method, path, raw, to)
}

// Call makes one call to a server and reads its answer, JSON, or bytes where to is *[]byte.
func Call(ctx context.Context, c *http.Client, address, method, path string, raw []byte, to any) error {
	status, _, body, err := exchange(ctx, c, address, method, path, raw)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("call %s%s: %d: %s", address, path, status, strings.TrimSpace(string(body)))
	}
	if bytesTo, ok := to.(*[]byte); ok {
		*bytesTo = body
		return nil
	}
	if err := json.Unmarshal(body, to); err != nil {
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	return nil
}

// state is what a server says of itself to one that looks for its place.
type serverState struct {
	Established bool `json:"established"`
}

func (n *Node) handleState(w http.ResponseWriter, _ *http.Request) {
	r := n.raft.Load()
	WriteJSON(w, serverState{Established: n.hadLog.Load() || r != nil && r.CommitIndex() > 0})
}

// Answer writes a call's answer.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (n *Node) handleBarrier(w http.ResponseWriter, _ *http.Request) {
	r := n.requireLeader(w)
	if r == nil {
		return
	}
	// Danger: a leader just elected does not know how far its predecessor had committed until an entry of its own is.
	if err := r.Barrier(2 * n.cfg.ElectionTimeout).Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	WriteJSON(w, n.fsm.lastApplied.Load())
}

// readmission asks for a server's place.
type readmitRequest struct {
	Name    string `json:"name"`
	Empty   bool   `json:"empty"`
	Applied uint64 `json:"has"`
}

func (n *Node) handleReadmit(w http.ResponseWriter, req *http.Request) {
	var request readmitRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<10)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := n.address(request.Name); err != nil || request.Name == n.cfg.Name {
		http.Error(w, "not a server that could be taken in", http.StatusBadRequest)
		return
	}
	r := n.requireLeader(w)
	if r == nil {
		return
	}
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	membership := quorum.Absent
	for _, s := range f.Configuration().Servers {
		if s.ID == raft.ServerID(request.Name) {
			if membership = quorum.Learner; s.Suffrage == raft.Voter {
				membership = quorum.Voter
			}
		}
	}
	step := quorum.Readmit(membership, request.Empty, request.Applied, n.fsm.lastApplied.Load())
	id, wait := raft.ServerID(request.Name), 2*n.cfg.ElectionTimeout
	var done raft.IndexFuture
	switch step {
	case quorum.Remove:
		done = r.RemoveServer(id, f.Index(), wait)
	case quorum.AddLearner:
		done = r.AddNonvoter(id, raft.ServerAddress(request.Name), f.Index(), wait)
	case quorum.Promote:
		done = r.AddVoter(id, raft.ServerAddress(request.Name), f.Index(), wait)
	}
	if done != nil {
		if err := done.Error(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		n.log.WithFields(logrus.Fields{"server": request.Name, "step": int(step)}).Info("log: a server is taken in again")
	}
	WriteJSON(w, step)
}

// machine gives raft's entries to their parts.
type fsm struct {
	mu       sync.Mutex
	machines map[byte]StateMachine
	logClock logclock.Clock // the log's
	// last is the index of the newest command that the parts have taken. Danger: raft's own AppliedIndex counts entries
	// as applied that still wait for them; a server that went by it caught up before it held anything.
	lastApplied atomic.Uint64
}

func (f *fsm) Apply(l *raft.Log) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Type != raft.LogCommand || len(l.Data) == 0 {
		return []byte(nil)
	}
	stamp, command, ok := cutStamp(l.Data)
	var at logclock.Millis
	switch {
	case ok:
		at = f.logClock.Advance(stamp)
	case l.Data[0] == stampedEntry:
		return []byte(nil) // no leader of ours wrote it
	default:
		at = f.logClock.AdvanceTo(float64(l.AppendedAt.UnixMicro()) / 1000)
	}
	if f.machines[command[0]] == nil {
		return []byte(nil)
	}
	reply := f.machines[command[0]].Apply(l.Index, at, command[1:])
	f.lastApplied.Store(l.Index)
	return reply
}

const (
	lastKey  = "last"
	clockKey = "clock"
)

// timed is a part that has kept the log's time, from before the log did.
type clocked interface{ LogTime() logclock.Millis }

func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, err := msgpack.Marshal(&f.logClock)
	if err != nil {
		return nil, err
	}
	all := map[string][]byte{lastKey: indexKey(f.lastApplied.Load()), clockKey: at}
	for kind, p := range f.machines {
		raw, err := p.Snapshot()
		if err != nil {
			return nil, err
		}
		all[strconv.Itoa(int(kind))] = raw
	}
	raw, err := msgpack.Marshal(all)
	if err != nil {
		return nil, err
	}
	return snapshot(appendChecksum(raw)), nil
}

func (f *fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	raw, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	if raw, err = verifyChecksum(raw); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	var all map[string][]byte
	if err := msgpack.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, p := range f.machines {
		if raw, held := all[strconv.Itoa(int(kind))]; held {
			if err := p.Restore(raw); err != nil {
				return err
			}
		}
	}
	f.logClock = logclock.Clock{}
	if at := all[clockKey]; at != nil {
		if err := msgpack.Unmarshal(at, &f.logClock); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	} else { // written before entries had stamps
		for _, p := range f.machines {
			if t, ok := p.(clocked); ok {
				f.logClock.AdvanceTo(t.LogTime())
			}
		}
	}
	if last := all[lastKey]; len(last) == 8 {
		f.lastApplied.Store(binary.BigEndian.Uint64(last))
	}
	return nil
}

// snapshot is what raft writes to a file of its own, with a sum of its own.
type snapshot []byte

func (s snapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		to.Cancel()
		return err
	}
	return to.Close()
}

func (s snapshot) Release() {}

// Dir is where the store of a marshal is, under the directory of the operator's file.
func StoreDir(dir, name string) string { return filepath.Join(dir, name) }
