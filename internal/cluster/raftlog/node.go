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

	"ottershed/internal/clock"
	"ottershed/internal/cluster/quorum"
)

// Server is one that keeps the log, at the address by which this one reaches it.
type Server struct {
	Name    string
	Address string
}

// Config is what the operator's file says.
type Config struct {
	Name    string
	Dir     string // that lasts
	Bind    string // ip:port, TCP; empty where this is no server
	Servers []Server
	Key     []byte
	Elect   time.Duration // without a word of the leader for so long, another is elected
}

// IsServer tells whether this one keeps the log itself.
func (c *Config) IsServer() bool {
	return slices.ContainsFunc(c.Servers, func(s Server) bool { return s.Name == c.Name })
}

// Part is what the log is for: it takes its commands in the log's order, alike at every server; at is the log's time in
// milliseconds, see quorum.Clock. Apply, Snapshot and Restore are never called at once.
type Part interface {
	Apply(index uint64, at quorum.Millis, command []byte) (answer []byte)
	Snapshot() ([]byte, error)
	Restore(raw []byte) error
}

const (
	snapshotsDir   = "snapshots"
	keptSnapshots  = 2
	snapshotAfter  = 256 // entries
	trailing       = 256 // entries that stay in the log behind a snapshot
	longestMessage = 4 << 20
	commitsHeard   = 200 // part of the time to elect in: between two words of a leader to its followers
)

// Node is one server's part in the log.
type Node struct {
	cfg    Config
	log    logrus.FieldLogger
	store  *Store
	parts  map[byte]Part
	mux    *mux
	http   *http.ServeMux
	serve  *http.Server
	calls  *http.Client
	fsm    *machine
	clock  *clock.Clock
	self   uint64                    // this process, in the stamps of the entries that it writes as leader
	client *Client                   // to the leader, wherever that is
	began  atomic.Pointer[raft.Raft] // nil until it has its place
	held   atomic.Bool               // the store held a log at the start
}

// Open opens the port; Run finds the server its place. The store stays the caller's.
func Open(cfg Config, store *Store, c *clock.Clock, log logrus.FieldLogger) (*Node, error) {
	l, err := net.Listen("tcp", cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("policy.bind: %w", err)
	}
	n := &Node{cfg: cfg, log: log, store: store, parts: map[byte]Part{}, mux: newMux(l, cfg.Key), http: http.NewServeMux(),
		calls: Caller(cfg.Key), clock: c, self: rand.Uint64() | 1}
	n.client = &Client{Servers: cfg.Servers, Calls: n.calls, Elect: cfg.Elect, Clock: c}
	n.serve = &http.Server{Handler: n.http, ReadHeaderTimeout: greetIn}
	n.fsm = &machine{parts: n.parts}
	n.http.HandleFunc("GET /log/state", n.answerState)
	n.http.HandleFunc("POST /log/propose", n.answerPropose)
	n.http.HandleFunc("POST /log/barrier", n.answerBarrier)
	n.http.HandleFunc("POST /log/readmit", n.answerReadmit)
	go n.serve.Serve(httpListener{n.mux})
	return n, nil
}

// Caller makes HTTP calls to servers; the host of a URL is the address.
func Caller(key []byte) *http.Client {
	return &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address, httpKind, key)
		}}}
}

// Add gives commands of a kind to a part; before Run.
func (n *Node) Add(kind byte, p Part) { n.parts[kind] = p }

// Handle has calls of other marshals to a path answered; before Run.
func (n *Node) Handle(pattern string, h http.HandlerFunc) { n.http.HandleFunc(pattern, h) }

// Calls makes calls to others.
func (n *Node) Calls() *http.Client { return n.calls }

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
		if r := n.began.Load(); r != nil {
			if err := r.Shutdown().Error(); err != nil {
				n.log.WithError(err).Warn("log: shutdown")
			}
		}
		n.serve.Close()
		n.mux.close()
		n.calls.CloseIdleConnections()
	}()
	held, err := n.holds()
	if err != nil {
		n.log.WithError(err).Error("log: store can't be read")
		return
	}
	if n.held.Store(held); held {
		err = n.begin(false)
	} else {
		err = n.place(ctx)
	}
	if err != nil && ctx.Err() == nil {
		n.log.WithError(err).Error("log: this server has no part in it")
	}
	<-ctx.Done()
}

func (n *Node) holds() (bool, error) {
	snaps, err := raft.NewFileSnapshotStore(n.cfg.Dir, keptSnapshots, io.Discard)
	if err != nil {
		return false, err
	}
	return raft.HasExistingState(n.store, n.store, snaps)
}

func pause(ctx context.Context, span time.Duration) bool {
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
func (n *Node) place(ctx context.Context) error {
	for {
		var answers []quorum.Answer
		for _, s := range n.cfg.Servers {
			if s.Name != n.cfg.Name {
				var a state
				err := n.call(ctx, s.Address, http.MethodGet, "/log/state", nil, &a)
				answers = append(answers, quorum.Answer{Reached: err == nil, Established: a.Established})
			}
		}
		switch quorum.Begin(len(answers), answers) {
		case quorum.Found:
			return n.begin(true)
		case quorum.Rejoin:
			n.log.Warn("log: the others hold one and this server does not; it asks to be taken in again")
			return n.rejoin(ctx)
		}
		if !pause(ctx, n.cfg.Elect/4) {
			return ctx.Err()
		}
	}
}

// rejoin asks the leader again and again for the next step until this server is a voter again.
func (n *Node) rejoin(ctx context.Context) error {
	for {
		ask := readmission{Name: n.cfg.Name, Empty: n.began.Load() == nil}
		if n.began.Load() != nil {
			ask.Has = n.fsm.last.Load()
		}
		var step quorum.Step
		err := n.toLeader(ctx, "/log/readmit", ask, &step)
		if err == nil && step == quorum.LetItCome && n.began.Load() == nil {
			if err := n.begin(false); err != nil {
				return err
			}
		}
		if err == nil && step == quorum.Settled {
			n.log.Info("log: taken in again")
			return nil
		}
		if !pause(ctx, n.cfg.Elect/4) {
			return ctx.Err()
		}
	}
}

// begin starts raft on what the store holds; found: with all servers as voters of a new log.
func (n *Node) begin(found bool) error {
	snaps, err := raft.NewFileSnapshotStore(n.cfg.Dir, keptSnapshots, io.Discard)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.cfg.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = n.cfg.Elect, n.cfg.Elect, n.cfg.Elect/2
	// Danger: followers hear of a commit by then at the latest, and no version runs before.
	c.CommitTimeout = n.cfg.Elect / commitsHeard
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotAfter, trailing, 10*n.cfg.Elect
	c.ShutdownOnRemove = false
	c.LogOutput, c.LogLevel = lines{n.log}, "WARN"
	transport := raft.NewNetworkTransport(stream{n.mux, n.cfg.Name, n.address}, 3, 2*n.cfg.Elect, lines{n.log})
	if found {
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
	n.began.Store(r)
	n.log.WithFields(logrus.Fields{"new": found, "last_index": r.LastIndex()}).Info("log: begun")
	return nil
}

// lines has raft's own lines, few as they are at its level, among ours.
type lines struct{ log logrus.FieldLogger }

func (l lines) Write(p []byte) (int, error) {
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
	r := n.began.Load()
	if r == nil {
		return Status{Role: "placing"}
	}
	_, leader := r.LeaderWithID()
	s := Status{Role: strings.ToLower(r.State().String()), Leader: string(leader), Term: r.CurrentTerm(), Commit: r.CommitIndex(),
		Applied: n.fsm.last.Load()}
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
func (n *Node) Leads() bool {
	r := n.began.Load()
	return r != nil && r.State() == raft.Leader
}

// ErrNoLeader is no leader to be found in time. Whether a proposal was committed is not known then.
var ErrNoLeader = errors.New("log: no leader answered in time")

// Propose puts a command into the log and returns what its part answered. Danger: an answer can get lost with its leader, so it
// is proposed again until one comes: the part has to know a command that comes twice.
func (n *Node) Propose(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	first := n.client.heard.led()
	if n.Leads() {
		first = n.cfg.Name
	} else if r := n.began.Load(); r != nil {
		if _, id := r.LeaderWithID(); id != "" {
			first = string(id)
		}
	}
	return n.client.propose(ctx, first, append([]byte{kind}, command...))
}

// Barrier returns when this server's parts hold all that was committed when it was called.
func (n *Node) Barrier(ctx context.Context) error {
	var index uint64
	if err := n.toLeader(ctx, "/log/barrier", nil, &index); err != nil {
		return err
	}
	for {
		if n.fsm.last.Load() >= index {
			return nil
		}
		if !pause(ctx, n.cfg.Elect/50) {
			return fmt.Errorf("log: behind: %w", ctx.Err())
		}
	}
}

// Client reaches the log from a marshal that does not keep it. It goes on with the leader that it last found.
type Client struct {
	Servers []Server
	Calls   *http.Client
	Elect   time.Duration
	Clock   *clock.Clock
	heard   tickets
}

// Propose does as a Node's.
func (c *Client) Propose(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	return c.propose(ctx, c.heard.led(), append([]byte{kind}, command...))
}

// Get asks one server after another for what it holds.
func (c *Client) Get(ctx context.Context, path string, to any) (err error) {
	for _, s := range c.Servers {
		tryCtx, cancel := context.WithTimeout(ctx, c.Elect)
		err = Call(tryCtx, c.Calls, s.Address, http.MethodGet, path, nil, to)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// toLeader asks the leader, whoever that is by then; answers go to to.
func (n *Node) toLeader(ctx context.Context, path string, ask, to any) error {
	err := ErrNoLeader
	for next := 0; ; next++ {
		address := ""
		if n.Leads() {
			address, _ = n.address(n.cfg.Name)
		} else if r := n.began.Load(); r != nil {
			if _, id := r.LeaderWithID(); id != "" && string(id) != n.cfg.Name {
				address, _ = n.address(string(id))
			}
		}
		// Danger: one that is cut off from its leader goes on naming it; so every other try asks the next server.
		if address == "" || next%2 == 1 {
			address = n.cfg.Servers[next/2%len(n.cfg.Servers)].Address
		}
		tryCtx, cancel := context.WithTimeout(ctx, 3*n.cfg.Elect)
		terr := n.callBody(tryCtx, address, path, ask, to)
		cancel()
		if terr == nil {
			return nil
		}
		err = terr
		if !pause(ctx, n.cfg.Elect/10) {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

func (n *Node) callBody(ctx context.Context, address, path string, ask, to any) error {
	if raw, ok := ask.([]byte); ok {
		return n.post(ctx, address, path, raw, to)
	}
	raw, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	return n.post(ctx, address, path, raw, to)
}

func (n *Node) post(ctx context.Context, address, path string, raw []byte, to any) error {
	return n.call(ctx, address, http.MethodPost, path, raw, to)
}

func (n *Node) call(ctx context.Context, address, method, path string, raw []byte, to any) error {
	return Call(ctx, n.calls, address, method, path, raw, to)
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
type state struct {
	Established bool `json:"established"`
}

func (n *Node) answerState(w http.ResponseWriter, _ *http.Request) {
	r := n.began.Load()
	Answer(w, state{Established: n.held.Load() || r != nil && r.CommitIndex() > 0})
}

// Answer writes a call's answer.
func Answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (n *Node) answerBarrier(w http.ResponseWriter, _ *http.Request) {
	r := n.leading(w)
	if r == nil {
		return
	}
	// Danger: a leader just elected does not know how far its predecessor had committed until an entry of its own is.
	if err := r.Barrier(2 * n.cfg.Elect).Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	Answer(w, n.fsm.last.Load())
}

// readmission asks for a server's place.
type readmission struct {
	Name  string `json:"name"`
	Empty bool   `json:"empty"`
	Has   uint64 `json:"has"`
}

func (n *Node) answerReadmit(w http.ResponseWriter, req *http.Request) {
	var ask readmission
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<10)).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := n.address(ask.Name); err != nil || ask.Name == n.cfg.Name {
		http.Error(w, "not a server that could be taken in", http.StatusBadRequest)
		return
	}
	r := n.leading(w)
	if r == nil {
		return
	}
	f := r.GetConfiguration()
	if err := f.Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	seat := quorum.Absent
	for _, s := range f.Configuration().Servers {
		if s.ID == raft.ServerID(ask.Name) {
			if seat = quorum.Learner; s.Suffrage == raft.Voter {
				seat = quorum.Voter
			}
		}
	}
	step := quorum.Readmit(seat, ask.Empty, ask.Has, n.fsm.last.Load())
	id, wait := raft.ServerID(ask.Name), 2*n.cfg.Elect
	var done raft.IndexFuture
	switch step {
	case quorum.Remove:
		done = r.RemoveServer(id, f.Index(), wait)
	case quorum.AddToo:
		done = r.AddNonvoter(id, raft.ServerAddress(ask.Name), f.Index(), wait)
	case quorum.Promote:
		done = r.AddVoter(id, raft.ServerAddress(ask.Name), f.Index(), wait)
	}
	if done != nil {
		if err := done.Error(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		n.log.WithFields(logrus.Fields{"server": ask.Name, "step": int(step)}).Info("log: a server is taken in again")
	}
	Answer(w, step)
}

// machine gives raft's entries to their parts.
type machine struct {
	mu    sync.Mutex
	parts map[byte]Part
	clock quorum.Clock // the log's
	// last is the index of the newest command that the parts have taken. Danger: raft's own AppliedIndex counts entries
	// as applied that still wait for them; a server that went by it caught up before it held anything.
	last atomic.Uint64
}

func (m *machine) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Type != raft.LogCommand || len(l.Data) == 0 {
		return []byte(nil)
	}
	stamp, command, ok := cutStamp(l.Data)
	var at quorum.Millis
	switch {
	case ok:
		at = m.clock.Pass(stamp)
	case l.Data[0] == stamped:
		return []byte(nil) // no leader of ours wrote it
	default:
		at = m.clock.Old(float64(l.AppendedAt.UnixMicro()) / 1000)
	}
	if m.parts[command[0]] == nil {
		return []byte(nil)
	}
	answer := m.parts[command[0]].Apply(l.Index, at, command[1:])
	m.last.Store(l.Index)
	return answer
}

const (
	lastKey  = "last"
	clockKey = "clock"
)

// timed is a part that has kept the log's time, from before the log did.
type timed interface{ LogTime() quorum.Millis }

func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, err := msgpack.Marshal(&m.clock)
	if err != nil {
		return nil, err
	}
	all := map[string][]byte{lastKey: key(m.last.Load()), clockKey: at}
	for kind, p := range m.parts {
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
	return snapshot(seal(raw)), nil
}

func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	raw, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	if raw, err = unseal(raw); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	var all map[string][]byte
	if err := msgpack.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for kind, p := range m.parts {
		if raw, held := all[strconv.Itoa(int(kind))]; held {
			if err := p.Restore(raw); err != nil {
				return err
			}
		}
	}
	m.clock = quorum.Clock{}
	if at := all[clockKey]; at != nil {
		if err := msgpack.Unmarshal(at, &m.clock); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	} else { // written before entries had stamps
		for _, p := range m.parts {
			if t, ok := p.(timed); ok {
				m.clock.Old(t.LogTime())
			}
		}
	}
	if last := all[lastKey]; len(last) == 8 {
		m.last.Store(binary.BigEndian.Uint64(last))
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
func Dir(dir, name string) string { return filepath.Join(dir, name) }
