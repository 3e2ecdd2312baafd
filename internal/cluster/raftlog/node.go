package raftlog

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
)

const (
	snapshotsDir         = "snapshots" // below the store's directory; raft's file snapshot store names it
	snapshotsRetained    = 2
	snapshotThreshold    = 256 // entries since the last snapshot
	trailingLogs         = 256 // entries that stay in the log behind a snapshot
	commitTimeoutDivisor = 200 // of ElectionTimeout; followers learn of a commit by then at the latest
	raftPoolSize         = 3   // idle connections to each server
)

// Node is one server's part in the log.
type Node struct {
	cfg        Config
	log        logrus.FieldLogger
	clock      *clock.Clock
	store      *Store
	mux        *mux
	routes     *http.ServeMux
	server     *http.Server
	httpClient *http.Client
	client     *Client // proposes, to whichever server leads
	fsm        *fsm
	processID  uint64                    // identifies this process in the stamps of the entries that it writes as leader
	raft       atomic.Pointer[raft.Raft] // nil until the server has bootstrapped, restarted or rejoined
	hadLog     atomic.Bool               // the store held a log at the start
}

// Open opens the port. Run does the rest. The caller keeps the store and closes it after Run.
func Open(cfg Config, store *Store, processClock *clock.Clock, log logrus.FieldLogger) (*Node, error) {
	listener, err := net.Listen("tcp", cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("policy.bind: %w", err)
	}
	node := &Node{
		cfg:        cfg,
		log:        log,
		clock:      processClock,
		store:      store,
		mux:        newMux(listener, cfg.Key),
		routes:     http.NewServeMux(),
		httpClient: NewHTTPClient(cfg.Key),
		fsm:        &fsm{machines: map[Kind]StateMachine{}},
		processID:  rand.Uint64() | 1, // 0 means an unknown process
	}
	node.client = &Client{
		Servers: cfg.Servers, HTTP: node.httpClient, ElectionTimeout: cfg.ElectionTimeout, Clock: processClock,
	}
	node.server = &http.Server{Handler: node.routes, ReadHeaderTimeout: handshakeTimeout}
	node.Handle("GET /log/state", node.handleState)
	node.Handle("POST /log/propose", node.handlePropose)
	node.Handle("POST /log/barrier", node.handleBarrier)
	node.Handle("POST /log/readmit", node.handleReadmit)
	go func() {
		_ = node.server.Serve(httpListener{node.mux}) // returns when Run closes the server or the listener
	}()
	return node, nil
}

// Register gives the commands of a kind to a state machine. Call it before Run.
func (n *Node) Register(kind Kind, machine StateMachine) { n.fsm.machines[kind] = machine }

// Handle registers a handler for requests of other members. Call it before Run.
func (n *Node) Handle(pattern string, h http.HandlerFunc) { n.routes.HandleFunc(pattern, h) }

// HTTPClient makes requests to other servers.
func (n *Node) HTTPClient() *http.Client { return n.httpClient }

func (n *Node) address(name string) (string, error) {
	for _, s := range n.cfg.Servers {
		if s.Name == name {
			return s.Address, nil
		}
	}
	return "", fmt.Errorf("no server is called %q", name)
}

// Run bootstraps, restarts or rejoins the log and keeps it until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.shutdown()
	existing, err := n.hasExistingLog()
	if err != nil {
		n.log.WithError(err).Error("raft: store unreadable")
		return
	}
	n.hadLog.Store(existing)
	if existing {
		err = n.startRaft(false)
	} else {
		err = n.join(ctx)
	}
	if err != nil && ctx.Err() == nil {
		n.log.WithError(err).Error("raft: not started")
	}
	<-ctx.Done()
}

func (n *Node) shutdown() {
	if r := n.raft.Load(); r != nil {
		if err := r.Shutdown().Error(); err != nil {
			n.log.WithError(err).Warn("raft: shutdown failed")
		}
	}
	_ = n.server.Close() // the process shuts down
	n.mux.close()
	n.httpClient.CloseIdleConnections()
}

func (n *Node) hasExistingLog() (bool, error) {
	snapshots, err := n.snapshotStore()
	if err != nil {
		return false, err
	}
	return raft.HasExistingState(n.store, n.store, snapshots)
}

func (n *Node) snapshotStore() (*raft.FileSnapshotStore, error) {
	return raft.NewFileSnapshotStore(n.cfg.Dir, snapshotsRetained, io.Discard)
}

// startRaft starts raft on what the store holds. With bootstrap, a new log begins with all servers as voters.
func (n *Node) startRaft(bootstrap bool) error {
	snapshots, err := n.snapshotStore()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	settings := n.raftSettings()
	layer := streamLayer{mux: n.mux, name: n.cfg.Name, address: n.address}
	transport := raft.NewNetworkTransport(layer, raftPoolSize, 2*n.cfg.ElectionTimeout, raftLogWriter{n.log})
	if bootstrap {
		err := raft.BootstrapCluster(settings, n.store, n.store, snapshots, transport, n.initialConfiguration())
		if err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	r, err := raft.NewRaft(settings, n.fsm, n.store, n.store, snapshots, transport)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	n.raft.Store(r)
	n.log.WithFields(logrus.Fields{"new": bootstrap, "last_index": r.LastIndex()}).Info("raft: started")
	return nil
}

func (n *Node) raftSettings() *raft.Config {
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(n.cfg.Name)
	settings.HeartbeatTimeout = n.cfg.ElectionTimeout
	settings.ElectionTimeout = n.cfg.ElectionTimeout
	settings.LeaderLeaseTimeout = n.cfg.ElectionTimeout / 2
	// A policy version takes effect at a server only once that has learnt of its commit.
	settings.CommitTimeout = n.cfg.ElectionTimeout / commitTimeoutDivisor
	settings.SnapshotThreshold = snapshotThreshold
	settings.TrailingLogs = trailingLogs
	settings.SnapshotInterval = 10 * n.cfg.ElectionTimeout
	settings.ShutdownOnRemove = false // a server is removed for a moment as it rejoins
	settings.LogOutput = raftLogWriter{n.log}
	settings.LogLevel = "WARN"
	return settings
}

// initialConfiguration has all servers as voters, in an order that is the same at each.
func (n *Node) initialConfiguration() raft.Configuration {
	var all raft.Configuration
	for _, s := range n.cfg.Servers {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(s.Name), Address: raft.ServerAddress(s.Name)})
	}
	slices.SortFunc(all.Servers, func(a, b raft.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// raftLogWriter turns the log lines of hashicorp/raft into debug lines with a field.
type raftLogWriter struct{ log logrus.FieldLogger }

func (l raftLogWriter) Write(p []byte) (int, error) {
	l.log.WithField("raft", strings.TrimSpace(string(p))).Debug("log")
	return len(p), nil
}

// Status is what a server knows of the log.
type Status struct {
	Role    string   `json:"role"` // leader, follower, candidate, shutdown; placing: raft has not started
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit_index"`
	Applied uint64   `json:"applied_index"` // of the newest command that the state machines have applied
	Voters  []string `json:"voters"`
}

// Status is the present status.
func (n *Node) Status() Status {
	r := n.raft.Load()
	if r == nil {
		return Status{Role: "placing"}
	}
	_, leader := r.LeaderWithID()
	status := Status{
		Role:    strings.ToLower(r.State().String()),
		Leader:  string(leader),
		Term:    r.CurrentTerm(),
		Commit:  r.CommitIndex(),
		Applied: n.fsm.lastApplied.Load(),
	}
	if f := r.GetConfiguration(); f.Error() == nil {
		for _, server := range f.Configuration().Servers {
			if server.Suffrage == raft.Voter {
				status.Voters = append(status.Voters, string(server.ID))
			}
		}
	}
	return status
}

// IsLeader reports whether this server leads, as far as it knows.
func (n *Node) IsLeader() bool {
	r := n.raft.Load()
	return r != nil && r.State() == raft.Leader
}

// leaderName is the leader that this server knows of; empty if it knows none.
func (n *Node) leaderName() string {
	if n.IsLeader() {
		return n.cfg.Name
	}
	if r := n.raft.Load(); r != nil {
		_, id := r.LeaderWithID()
		return string(id)
	}
	return ""
}
