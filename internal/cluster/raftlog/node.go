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
	snapshotsDir         = "snapshots" // below the store's directory; the name is that of raft's file snapshot store
	snapshotsRetained    = 2           // newest snapshots that are not deleted
	snapshotThreshold    = 256         // entries since the last snapshot that cause a new one
	trailingLogs         = 256         // entries that stay in the log after a snapshot
	commitTimeoutDivisor = 200         // a follower learns of a commit within ElectionTimeout divided by this number
	raftPoolSize         = 3           // idle connections to each server
)

// Node is one server of the log.
type Node struct {
	cfg            Config
	log            logrus.FieldLogger
	clock          *clock.Clock
	store          *Store
	mux            *mux
	routes         *http.ServeMux
	server         *http.Server
	httpClient     *http.Client
	client         *Client // sends proposals to the leader
	fsm            *fsm
	processID      uint64                    // identifies this process in the stamps that it writes as leader
	raft           atomic.Pointer[raft.Raft] // nil until the server has bootstrapped, restarted or rejoined
	hadExistingLog atomic.Bool               // the store had a log when Run was called
}

// Open opens the port of a server and starts to serve HTTP requests. Run starts raft. The caller retains the store and
// must close it after Run has returned. An error names the invalid key of the operator's file.
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
		fsm:        &fsm{machines: map[CommandKind]StateMachine{}},
		processID:  rand.Uint64() | 1, // must not be 0, which means an unknown process
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

// Register registers the state machine for the commands of a kind. Call it before Run.
func (n *Node) Register(kind CommandKind, machine StateMachine) { n.fsm.machines[kind] = machine }

// Handle registers a handler for HTTP requests of other members. Call it before Run.
func (n *Node) Handle(pattern string, h http.HandlerFunc) { n.routes.HandleFunc(pattern, h) }

// HTTPClient returns the HTTP client for requests to other servers.
func (n *Node) HTTPClient() *http.Client { return n.httpClient }

// address returns the address of a server by name.
func (n *Node) address(name string) (string, error) {
	for _, s := range n.cfg.Servers {
		if s.Name == name {
			return s.Address, nil
		}
	}
	return "", fmt.Errorf("unknown server %q", name)
}

// Run bootstraps, restarts or rejoins the log, and replicates it until ctx ends. Then it shuts the server down. It logs
// an error of the start, after which the server takes no part in the log; it returns at once if the store cannot be
// read. Call it once.
func (n *Node) Run(ctx context.Context) {
	defer n.shutdown()
	existing, err := n.hasExistingLog()
	if err != nil {
		n.log.WithError(err).Error("raft: cannot read store")
		return
	}
	n.hadExistingLog.Store(existing)
	if existing {
		err = n.startRaft(false)
	} else {
		err = n.join(ctx)
	}
	if err != nil && ctx.Err() == nil {
		n.log.WithError(err).Error("raft: start failed")
	}
	<-ctx.Done()
}

// shutdown stops raft, and closes the port and the HTTP connections.
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

// hasExistingLog reports whether the store or its snapshots hold a log.
func (n *Node) hasExistingLog() (bool, error) {
	snapshots, err := n.snapshotStore()
	if err != nil {
		return false, err
	}
	return raft.HasExistingState(n.store, n.store, snapshots)
}

// snapshotStore opens the store of raft's snapshots.
func (n *Node) snapshotStore() (*raft.FileSnapshotStore, error) {
	return raft.NewFileSnapshotStore(n.cfg.Dir, snapshotsRetained, io.Discard)
}

// startRaft starts raft with the content of the store. With bootstrap, it starts a new log with all servers as voters.
func (n *Node) startRaft(bootstrap bool) error {
	snapshots, err := n.snapshotStore()
	if err != nil {
		return fmt.Errorf("open snapshot store: %w", err)
	}
	settings := n.raftSettings()
	layer := streamLayer{mux: n.mux, name: n.cfg.Name, address: n.address}
	transport := raft.NewNetworkTransport(layer, raftPoolSize, 2*n.cfg.ElectionTimeout, raftLogWriter{n.log})
	if bootstrap {
		err := raft.BootstrapCluster(settings, n.store, n.store, snapshots, transport, n.initialConfiguration())
		if err != nil {
			return fmt.Errorf("bootstrap log: %w", err)
		}
	}
	r, err := raft.NewRaft(settings, n.fsm, n.store, n.store, snapshots, transport)
	if err != nil {
		return fmt.Errorf("start raft: %w", err)
	}
	n.raft.Store(r)
	n.log.WithFields(logrus.Fields{"new": bootstrap, "last_index": r.LastIndex()}).Info("raft: started")
	return nil
}

// raftSettings returns the configuration of hashicorp/raft.
func (n *Node) raftSettings() *raft.Config {
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(n.cfg.Name)
	settings.HeartbeatTimeout = n.cfg.ElectionTimeout
	settings.ElectionTimeout = n.cfg.ElectionTimeout
	settings.LeaderLeaseTimeout = n.cfg.ElectionTimeout / 2
	// A server applies a policy version only after it has learned of the commit, so followers must learn of commits soon.
	settings.CommitTimeout = n.cfg.ElectionTimeout / commitTimeoutDivisor
	settings.SnapshotThreshold = snapshotThreshold
	settings.TrailingLogs = trailingLogs
	settings.SnapshotInterval = 10 * n.cfg.ElectionTimeout
	settings.ShutdownOnRemove = false // a server that rejoins is removed for a short time
	settings.LogOutput = raftLogWriter{n.log}
	settings.LogLevel = "WARN"
	return settings
}

// initialConfiguration returns a configuration with all servers as voters, sorted so that it is the same at each
// server.
func (n *Node) initialConfiguration() raft.Configuration {
	var all raft.Configuration
	for _, s := range n.cfg.Servers {
		all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(s.Name), Address: raft.ServerAddress(s.Name)})
	}
	slices.SortFunc(all.Servers, func(a, b raft.Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// raftLogWriter logs the messages of hashicorp/raft at level debug, with their text in the field raft.
type raftLogWriter struct{ log logrus.FieldLogger }

func (l raftLogWriter) Write(p []byte) (int, error) {
	l.log.WithField("raft", strings.TrimSpace(string(p))).Debug("raft: library message")
	return len(p), nil
}

// Status is the state of the log as known to one server.
type Status struct {
	Role         string   `json:"role"`          // leader, follower, candidate or shutdown; placing: raft has not started
	Leader       string   `json:"leader"`        // name of the leader; empty if unknown
	Term         uint64   `json:"term"`          // current term
	CommitIndex  uint64   `json:"commit_index"`  // index of the last committed entry
	AppliedIndex uint64   `json:"applied_index"` // index of the newest command that the state machines have applied
	Voters       []string `json:"voters"`        // names of the voters
}

// Status returns the current status; before raft has started, only its Role. Any goroutine may call it.
func (n *Node) Status() Status {
	r := n.raft.Load()
	if r == nil {
		return Status{Role: "placing"}
	}
	_, leader := r.LeaderWithID()
	status := Status{
		Role:         strings.ToLower(r.State().String()),
		Leader:       string(leader),
		Term:         r.CurrentTerm(),
		CommitIndex:  r.CommitIndex(),
		AppliedIndex: n.fsm.lastApplied.Load(),
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

// IsLeader reports whether this server is the leader, as far as it knows: another server may have been elected since.
func (n *Node) IsLeader() bool {
	r := n.raft.Load()
	return r != nil && r.State() == raft.Leader
}

// leaderName returns the name of the leader as known to this server; empty if it knows none.
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
