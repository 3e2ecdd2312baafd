package failover

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/rollout"
)

// Log gives access to the replicated log, either at one of its servers or at an instance that follows the servers.
type Log interface {
	// Command appends a command of the kind to the log and returns the reply after the command was applied.
	Command(ctx context.Context, kind byte, command []byte) ([]byte, error)
	// Get requests the path from a server of the log and decodes the JSON response into to.
	Get(ctx context.Context, path string, to any) error
}

// Engine runs the decision module whose evidence is checkpointed.
type Engine interface {
	// Evidence returns the module's evidence on the candidate, or false if no build is on trial.
	Evidence(ctx context.Context) (decision.Evidence, bool)
	// AddEvidence adds the evidence of another instance.
	AddEvidence(decision.Evidence)
	// DiscardEvidence discards the module's evidence because a successor has it.
	DiscardEvidence()
	// HandleEvent passes an event to the module.
	HandleEvent(decision.Event)
}

// Controller is the rollout controller, which rejects a vote under an outdated fence.
type Controller interface {
	// VoteWithFences sends a vote with the leases, and their tokens, that the vote's evidence comes from.
	VoteWithFences(v decision.Vote, fences []rollout.Fence)
}

// Members provides the membership of the cluster and its changes.
type Members interface {
	View() *membership.View
	Changes() <-chan membership.Change
}

// Config holds the operator's settings and the identity of the process.
type Config struct {
	Name        string        // name of the instance
	Incarnation uint64        // identifies the process among those that ran under Name; chosen at its start
	TTL         time.Duration // TTL of a lease; a higher TTL writes less to the log and delays takeover
}

// renewalsPerTTL is the number of renewals, each with a checkpoint, within a lease's TTL. More renewals lose less
// evidence when an instance dies, but write more to the log.
const renewalsPerTTL = 4

// Manager renews the instance's own lease and takes over the leases of dead instances. It is safe for concurrent use.
type Manager struct {
	cfg        Config
	log        Log
	engine     Engine
	controller Controller
	clock      *clock.Clock
	logger     logrus.FieldLogger

	view    func() *membership.View
	changes <-chan membership.Change // starts takeover as soon as membership reports a death

	own ownLease
	// checkpointMutex is held while a checkpoint is collected and written. Two checkpoints at once could be written in
	// the wrong order, and evidence that was collected before a merge would overwrite the merged evidence.
	checkpointMutex contextMutex
	manualTakeovers chan manualTakeover // received by takeoverLoop
}

// manualTakeover is an operator's request to take a lease over.
type manualTakeover struct {
	id    lease.ID
	reply chan error // receives the result; has a buffer of one
}

// New returns a manager, which does nothing until Run.
func New(
	cfg Config, log Log, engine Engine, controller Controller, members Members, clk *clock.Clock,
	logger logrus.FieldLogger,
) *Manager {
	return &Manager{
		cfg: cfg, log: log, engine: engine, controller: controller, clock: clk, logger: logger,
		view: members.View, changes: members.Changes(),
		own: ownLease{session: lease.Session{
			ID:     lease.TrialID(cfg.Name),
			Holder: lease.Holder{Name: cfg.Name, Incarnation: cfg.Incarnation},
			TTL:    float64(cfg.TTL) / float64(time.Millisecond),
		}},
		checkpointMutex: make(contextMutex, 1),
		manualTakeovers: make(chan manualTakeover),
	}
}

func (mgr *Manager) renewInterval() time.Duration { return mgr.cfg.TTL / renewalsPerTTL }

// Run renews this instance's lease and takes over expired leases of other instances until ctx ends. The two loops run
// concurrently; otherwise the instance could lose its own lease while a takeover waits for the reply.
func (mgr *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { mgr.takeoverLoop(ctx) })
	ticker := time.NewTicker(mgr.renewInterval())
	defer ticker.Stop()
	for {
		mgr.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// takeoverLoop takes over leases one at a time. The ticker covers lost membership changes, and leases that had not
// expired when their holder died.
func (mgr *Manager) takeoverLoop(ctx context.Context) {
	ticker := time.NewTicker(mgr.renewInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case manual := <-mgr.manualTakeovers:
			manual.reply <- mgr.takeOver(ctx, manual.id)
		case change := <-mgr.changes:
			if change.State >= membership.Dead {
				mgr.takeOverExpired(ctx)
			}
		case <-ticker.C:
			mgr.takeOverExpired(ctx)
		}
	}
}
