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

// Log is the replicated log, at one of its servers or at an instance that follows.
type Log interface {
	// Command appends a command of a kind and returns the reply once it was applied.
	Command(ctx context.Context, kind byte, command []byte) ([]byte, error)
	// Get reads from a server of the log.
	Get(ctx context.Context, path string, to any) error
}

// Engine runs the decision module whose evidence is kept.
type Engine interface {
	// Evidence returns what the module has gathered on the candidate, and false where no build is on trial.
	Evidence(ctx context.Context) (decision.Evidence, bool)
	// AcquireEvidence adds another instance's evidence.
	AcquireEvidence(decision.Evidence)
	// RevokeEvidence drops the module's evidence: a successor has it.
	RevokeEvidence()
	HandleEvent(decision.Event)
}

// Controller is the rollout controller, which rejects a vote under an outdated fence.
type Controller interface {
	VoteFenced(v decision.Vote, fences []rollout.Fence)
}

// Members is the membership of the cluster.
type Members interface {
	View() *membership.View
	Changes() <-chan membership.Change
}

// Config is the operator's settings and the identity of the process.
type Config struct {
	Name        string        // of the instance
	Incarnation uint64        // of the process, drawn at its start
	TTL         time.Duration // of a lease; a higher one writes less to the log and delays takeover
}

// renewalsPerTTL is how many renewals, each with a checkpoint, fall into a lease's TTL. More of them lose less evidence
// with an instance and write more to the log.
const renewalsPerTTL = 4

// Manager is an instance's part in failover.
type Manager struct {
	cfg        Config
	log        Log
	engine     Engine
	controller Controller
	clock      *clock.Clock
	logger     logrus.FieldLogger

	view    func() *membership.View
	changes <-chan membership.Change // takeover begins as soon as a death is known

	own             ownLease
	checkpointMutex contextMutex        // held while a checkpoint is gathered and written
	manualTakeovers chan manualTakeover // from operators
}

// manualTakeover is an operator's request to take a lease over.
type manualTakeover struct {
	id    lease.ID
	reply chan error // with room for one
}

// New makes a manager; Run starts its work.
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

// Run keeps this instance's lease and takes over others' until ctx ends. The two run beside each other: a takeover that
// waits for its reply must not cost the instance its own lease.
func (mgr *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { mgr.takeoverLoop(ctx) })
	every := time.NewTicker(mgr.renewInterval())
	defer every.Stop()
	for {
		mgr.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// takeoverLoop takes over leases one at a time. The ticker catches changes that were lost, and leases that had not
// expired when their holder died.
func (mgr *Manager) takeoverLoop(ctx context.Context) {
	every := time.NewTicker(mgr.renewInterval())
	defer every.Stop()
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
		case <-every.C:
			mgr.takeOverExpired(ctx)
		}
	}
}
