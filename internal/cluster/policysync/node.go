package policysync

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
)

// Timeouts as multiples of the election timeout.
const (
	catchUpElectionTimeouts = 10 // limit of one attempt of a server to catch up
	confirmElectionTimeouts = 4  // limit for a server to confirm to a watcher that the server's log is up to date
)

const requestTimeout = 2 * time.Second // limit of a call that the other server answers without waiting

// Hooks are the callbacks by which a process checks and applies policies. Both must return without blocking.
type Hooks struct {
	Check func(body []byte) error     // returns an error if a policy does not fit the configuration
	Apply func(policy.Decision) error // applies a decision; after an error nothing has changed
}

// Node keeps the policy of one process up to date and proposes policies to the log. It is safe for concurrent use.
type Node struct {
	cfg      raftlog.Config
	check    func(body []byte) error // Hooks.Check
	clock    *clock.Clock
	log      logrus.FieldLogger
	store    *raftlog.Store
	raft     *raftlog.Node // nil at a watcher
	applier  *applier
	watchers *watcherRegistry

	httpClient *http.Client    // calls to one server
	client     *raftlog.Client // calls to any server that responds; tries this process first if it is a server
}

// Open opens the store and, at a server, the port of the log. It applies the version that the process had applied last.
// Trials are closed until [Node.Run] has caught up. A corrupt store is set aside and replaced by an empty one.
func Open(cfg raftlog.Config, hooks Hooks, processClock *clock.Clock, log logrus.FieldLogger) (*Node, error) {
	store, asideDir, err := raftlog.OpenStore(cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("policy.dir: %w", err)
	}
	if asideDir != "" {
		log.WithField("aside", asideDir).Error("policy: store is corrupt: set aside, to be restored from the other servers")
	}
	httpClient := raftlog.NewHTTPClient(cfg.Key)
	node := &Node{
		cfg: cfg, check: hooks.Check, clock: processClock, log: log, store: store,
		applier:    newApplier(hooks.Apply, store, log),
		watchers:   &watcherRegistry{members: map[string]MemberStatus{}},
		httpClient: httpClient,
		client: &raftlog.Client{
			Servers: ownServerFirst(&cfg), HTTP: httpClient, ElectionTimeout: cfg.ElectionTimeout, Clock: processClock,
		},
	}
	node.applier.applyStored()
	if !cfg.IsServer() {
		return node, nil
	}
	if node.raft, err = raftlog.Open(cfg, store, processClock, log); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	node.raft.Register(Kind, stateMachine{node.applier})
	node.raft.Handle("GET /policy/local", node.handleLocal)
	node.raft.Handle("POST /policy/check", node.handleCheck)
	node.raft.Handle("POST /policy/since", node.handleSince)
	return node, nil
}

// ownServerFirst returns the servers, with this process first if it is one of them.
func ownServerFirst(cfg *raftlog.Config) []raftlog.Server {
	servers := slices.Clone(cfg.Servers)
	own := slices.IndexFunc(servers, func(s raftlog.Server) bool { return s.Name == cfg.Name })
	if own > 0 {
		servers[0], servers[own] = servers[own], servers[0]
	}
	return servers
}

// Log returns the log that this process keeps, or nil at a watcher.
func (n *Node) Log() *raftlog.Node { return n.raft }

// Run applies the latest version and every later one until ctx ends. Then it closes the store.
func (n *Node) Run(ctx context.Context) {
	defer func() {
		_ = n.store.Close() // each write to the store was synchronous, so a failed close loses nothing
	}()
	if n.raft == nil {
		n.follow(ctx)
		return
	}
	var running sync.WaitGroup
	running.Go(func() { n.raft.Run(ctx) })
	n.catchUp(ctx)
	running.Wait()
}

// catchUp waits until this server has applied everything that was committed at some time after its start, and then
// admits trials.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.barrier(ctx, catchUpElectionTimeouts)
		if err == nil {
			n.applier.markCaughtUp()
			return
		}
		if ctx.Err() == nil {
			n.log.WithError(err).Debug("policy: catch-up failed")
		}
	}
}

// barrier waits until this server has applied everything that was committed at the time of the call. It gives up after
// a number of election timeouts.
func (n *Node) barrier(ctx context.Context, electionTimeouts time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, electionTimeouts*n.cfg.ElectionTimeout)
	defer cancel()
	return n.raft.Barrier(ctx)
}

// Retry applies again a version that could not be applied. The caller calls Retry after the configuration of the
// process has changed.
func (n *Node) Retry() { n.applier.retry() }

// Command commits a command of any kind to the log and returns the reply of the kind's state machine.
func (n *Node) Command(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	if n.raft != nil {
		return n.raft.Propose(ctx, kind, command)
	}
	return n.client.Propose(ctx, kind, command)
}

// Get requests the path from the first server that responds and decodes the JSON response into to. It tries this
// process first if it is a server.
func (n *Node) Get(ctx context.Context, path string, to any) error {
	return n.client.Get(ctx, path, to)
}
