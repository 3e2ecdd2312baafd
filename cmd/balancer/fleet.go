package main

import (
	"context"
	"fmt"
	"net"
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
	"sync"

	"github.com/sirupsen/logrus"
)

// fleet is what a marshal shares with others of its fleet, and shows its operator. Without an operator's file it is
// empty, and the marshal shares nothing.
type clusterServices struct {
	log           logrus.FieldLogger
	gossip        *gossip.Transport // nil: off
	policy        *policysync.Node  // nil: off
	failover      *failover.Manager // nil: off
	admin         *admin.Server
	adminListener net.Listener // of admin; nil: none
}

// membersAnswer is what `ottershed members` prints.
type membersResponse struct {
	*membership.View
	Counters gossip.Counters `json:"counters"`
}

// newFleet opens what the operator's file switches on.
func newClusterServices(cfg *config.Config, source *settingsSource, m *engine.Engine, controller *rollout.Client, c *clock.Clock,
	log logrus.FieldLogger,
) (*clusterServices, error) {
	f := &clusterServices{log: log}
	o := cfg.Operator
	if o == nil {
		return f, nil
	}
	var err error
	if o.Admin != "" {
		f.admin = admin.New()
		if f.adminListener, err = net.Listen("tcp", o.Admin); err != nil {
			return nil, fmt.Errorf("admin.listen: %w", err)
		}
	}
	if o.Membership != nil {
		if f.gossip, err = gossip.Listen(*o.Membership, c, log); err != nil {
			return nil, err
		}
		log.WithFields(logrus.Fields{
			"bind": o.Membership.Bind, "advertise": o.Membership.Membership.Address,
			"cluster": o.Membership.Codec.Cluster, "seeds": len(o.Membership.Membership.Seeds),
		}).Info("membership on")
		if f.admin != nil {
			f.admin.Get("/members", func() any { return membersResponse{f.gossip.View(), f.gossip.Counters()} })
		}
	}
	if o.Policy != nil {
		hooks := policysync.Hooks{Check: source.check, Apply: source.apply}
		if f.policy, err = policysync.Open(*o.Policy, hooks, c, log); err != nil {
			return nil, err
		}
		log.WithFields(logrus.Fields{
			"server": o.Policy.IsServer(), "bind": o.Policy.Bind, "servers": len(o.Policy.Servers),
			"dir": o.Policy.Dir,
		}).Info("policy on")
		if f.admin != nil {
			f.admin.GetWith("/policy/status", func(ctx context.Context) any { return f.policy.FleetStatus(ctx) })
			f.admin.Get("/policy/self", func() any { return f.policy.Self() })
			f.admin.Get("/policy/history", func() any { return f.policy.History() })
			f.admin.Post("/policy/propose", f.policy.Propose)
		}
	}
	if o.LeaseTTL > 0 {
		if n := f.policy.Log(); n != nil {
			failover.NewStateMachine(n)
		}
		f.failover = failover.New(failover.Config{Name: cfg.Name, Incarnation: uint64(f.gossip.RunID()), TTL: o.LeaseTTL}, f.policy, m, controller,
			f.gossip, c, log)
		log.WithField("lease", o.LeaseTTL.String()).Info("takeover on")
		if f.admin != nil {
			f.admin.Post("/work", func(ctx context.Context, _ []byte) (any, error) { return f.failover.Status(ctx) })
			f.admin.GetWith("/work/seen", func(ctx context.Context) any { return f.failover.EvidenceSummary(ctx) })
			f.admin.Post("/work/take", func(ctx context.Context, body []byte) (any, error) {
				return struct{}{}, f.failover.TakeOver(ctx, lease.ID(body))
			})
		}
	}
	return f, nil
}

// run runs its parts until ctx ends.
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
	if s.adminListener != nil {
		running.Go(func() {
			if err := s.admin.Run(ctx, s.adminListener); err != nil {
				s.log.WithError(err).Error("admin ended")
			}
		})
	}
}

// leave tells the others that this marshal goes; it is called once.
func (s *clusterServices) leave(ctx context.Context) {
	if s.failover != nil {
		s.failover.ReleaseAll(ctx)
	}
	if s.gossip != nil {
		s.gossip.Leave(ctx)
	}
}

// votes is who takes the module's votes: the desk, or the keeper in front of it.
func (s *clusterServices) voter(controller *rollout.Client) engine.Controller {
	if s.failover != nil {
		return s.failover
	}
	return controller
}

// reread follows a configuration that was read again.
func (s *clusterServices) reload() {
	if s.policy != nil {
		s.policy.Retry()
	}
}
