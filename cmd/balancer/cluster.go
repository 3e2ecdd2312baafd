package main

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"

	"ottershed/internal/admin"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/failover"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/policysync"
	"ottershed/internal/config"
	"ottershed/internal/engine"
	"ottershed/internal/rollout"
)

// clusterServices holds the services that connect an instance to its cluster and to its operators: membership, policy,
// takeover and the admin server. Without an operator's file none of them runs.
type clusterServices struct {
	cfg           *config.Config
	clock         *clock.Clock
	log           logrus.FieldLogger
	gossip        *gossip.Transport // nil: membership is off
	policy        *policysync.Node  // nil: policy is off
	failover      *failover.Manager // nil: takeover is off
	admin         *admin.Server     // nil: admin.listen is not set
	adminListener net.Listener      // nil: admin.listen is not set
}

// membersResponse is the response to /members, which the command `members` prints.
type membersResponse struct {
	*membership.View
	Counters gossip.Counters `json:"counters"`
}

// newClusterServices opens the services that the operator's file enables, in the order in which they depend on each
// other.
func newClusterServices(cfg *config.Config, source *settingsSource, eng *engine.Engine, controller *rollout.Client,
	monotonic *clock.Clock, log logrus.FieldLogger,
) (*clusterServices, error) {
	services := &clusterServices{cfg: cfg, clock: monotonic, log: log}
	if cfg.Operator == nil {
		return services, nil
	}
	if err := services.openAdmin(); err != nil {
		return nil, err
	}
	if err := services.openMembership(); err != nil {
		return nil, err
	}
	if err := services.openPolicy(source); err != nil {
		return nil, err
	}
	services.openTakeover(eng, controller)
	return services, nil
}

// openAdmin listens on admin.listen. It does nothing if that is not set.
func (s *clusterServices) openAdmin() error {
	address := s.cfg.Operator.Admin
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on admin.listen: %w", err)
	}
	s.admin, s.adminListener = admin.New(), listener
	return nil
}

// openMembership opens the membership port and adds the path of the admin interface. It does nothing if membership is off.
func (s *clusterServices) openMembership() error {
	cfg := s.cfg.Operator.Membership
	if cfg == nil {
		return nil
	}
	transport, err := gossip.Listen(*cfg, s.clock, s.log)
	if err != nil {
		return err
	}
	s.gossip = transport
	s.log.WithFields(logrus.Fields{
		"bind": cfg.Bind, "advertise": cfg.Membership.Address,
		"cluster": cfg.Codec.Cluster, "seeds": len(cfg.Membership.Seeds),
	}).Info("membership enabled")
	if s.admin != nil {
		s.admin.Get("/members", func() any { return membersResponse{s.gossip.View(), s.gossip.Counters()} })
	}
	return nil
}

// openPolicy opens the node that keeps the policy up to date, and adds the paths below /policy to the admin interface. It
// does nothing if the operator's file does not enable section policy.
func (s *clusterServices) openPolicy(source *settingsSource) error {
	cfg := s.cfg.Operator.Policy
	if cfg == nil {
		return nil
	}
	hooks := policysync.Hooks{Check: source.check, Apply: source.apply}
	node, err := policysync.Open(*cfg, hooks, s.clock, s.log)
	if err != nil {
		return err
	}
	s.policy = node
	s.log.WithFields(logrus.Fields{
		"server": cfg.IsServer(), "bind": cfg.Bind, "servers": len(cfg.Servers), "dir": cfg.Dir,
	}).Info("policy enabled")
	if s.admin != nil {
		s.admin.GetWithContext("/policy/status", func(ctx context.Context) any { return node.FleetStatus(ctx) })
		s.admin.Get("/policy/self", func() any { return node.Self() })
		s.admin.Get("/policy/history", func() any { return node.History() })
		s.admin.Post("/policy/propose", node.Propose)
	}
	return nil
}

// openTakeover creates the failover manager and adds the paths of the admin interface. It does nothing if takeover is off.
// config.ReadOperator allows takeover only with membership and policy.
func (s *clusterServices) openTakeover(eng *engine.Engine, controller *rollout.Client) {
	ttl := s.cfg.Operator.LeaseTTL
	if ttl <= 0 {
		return
	}
	if log := s.policy.Log(); log != nil { // nil: this instance is not a server of the replicated log
		failover.NewStateMachine(log)
	}
	cfg := failover.Config{Name: s.cfg.Name, Incarnation: uint64(s.gossip.RunID()), TTL: ttl}
	manager := failover.New(cfg, s.policy, eng, controller, s.gossip, s.clock, s.log)
	s.failover = manager
	s.log.WithField("lease", ttl.String()).Info("takeover enabled")
	if s.admin != nil {
		s.admin.Post("/work", func(ctx context.Context, _ []byte) (any, error) { return manager.Status(ctx) })
		s.admin.GetWithContext("/work/seen", func(ctx context.Context) any { return manager.EvidenceSummary(ctx) })
		s.admin.Post("/work/take", func(ctx context.Context, body []byte) (any, error) {
			return struct{}{}, manager.TakeOver(ctx, lease.ID(body))
		})
	}
}

// run runs the services that are on until ctx ends.
func (s *clusterServices) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	if s.gossip != nil {
		running.Go(func() { s.gossip.Run(ctx) })
	}
	if s.policy != nil {
		running.Go(func() { s.policy.Run(ctx) })
	}
	if s.failover != nil {
		running.Go(func() { s.failover.Run(ctx) })
	}
	if s.admin != nil {
		running.Go(func() {
			if err := s.admin.Run(ctx, s.adminListener); err != nil {
				s.log.WithError(err).Error("admin server failed")
			}
		})
	}
}

// leave releases the leases if takeover is on, and announces to the other members that this instance leaves if membership is
// on. It is called once.
func (s *clusterServices) leave(ctx context.Context) {
	if s.failover != nil {
		s.failover.ReleaseLease(ctx)
	}
	if s.gossip != nil {
		s.gossip.Leave(ctx)
	}
}

// voteController returns the receiver of the decision module's votes: the client of the rollout controller or, with takeover
// enabled, the failover manager in front of that client. Without a valid lease, the manager sends no vote that needs one.
func (s *clusterServices) voteController(controller *rollout.Client) engine.Controller {
	if s.failover != nil {
		return s.failover
	}
	return controller
}

// retryPolicy retries after a reload to apply a policy that was incompatible with the previous configuration. It does nothing
// if policy is off.
func (s *clusterServices) retryPolicy() {
	if s.policy != nil {
		s.policy.Retry()
	}
}
