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

// fleet is what a marshal shares with others of its fleet, and shows its operator. Without an operator's file it is
// empty, and the marshal shares nothing.
type fleet struct {
	log     logrus.FieldLogger
	peers   *gossip.Peers    // nil: off
	policy  *policysync.Node // nil: off
	keeper  *failover.Keeper // nil: off
	admin   *admin.Server
	listens net.Listener // of admin; nil: none
}

// membersAnswer is what `ottershed members` prints.
type membersAnswer struct {
	*membership.View
	Counters gossip.Counters `json:"counters"`
}

// newFleet opens what the operator's file switches on.
func newFleet(cfg *config.Config, fig *figures, m *engine.Marshal, release *rollout.Desk, c *clock.Clock,
	log logrus.FieldLogger) (*fleet, error) {
	f := &fleet{log: log}
	o := cfg.Operator
	if o == nil {
		return f, nil
	}
	var err error
	if o.Admin != "" {
		f.admin = admin.New()
		if f.listens, err = net.Listen("tcp", o.Admin); err != nil {
			return nil, fmt.Errorf("admin.listen: %w", err)
		}
	}
	if o.Membership != nil {
		if f.peers, err = gossip.Listen(*o.Membership, c, log); err != nil {
			return nil, err
		}
		log.WithFields(logrus.Fields{"bind": o.Membership.Bind, "advertise": o.Membership.Membership.Address,
			"cluster": o.Membership.Codec.Cluster, "seeds": len(o.Membership.Membership.Seeds)}).Info("membership on")
		if f.admin != nil {
			f.admin.Get("/members", func() any { return membersAnswer{f.peers.View(), f.peers.Counters()} })
		}
	}
	if o.Policy != nil {
		hooks := policysync.Hooks{Check: fig.check, Run: fig.run}
		if f.policy, err = policysync.Open(*o.Policy, hooks, c, log); err != nil {
			return nil, err
		}
		log.WithFields(logrus.Fields{"server": o.Policy.IsServer(), "bind": o.Policy.Bind, "servers": len(o.Policy.Servers),
			"dir": o.Policy.Dir}).Info("policy on")
		if f.admin != nil {
			f.admin.GetWith("/policy/status", func(ctx context.Context) any { return f.policy.Answer(ctx) })
			f.admin.Get("/policy/self", func() any { return f.policy.Self() })
			f.admin.Get("/policy/history", func() any { return f.policy.History() })
			f.admin.Post("/policy/propose", f.policy.Propose)
		}
	}
	if o.Lease > 0 {
		if n := f.policy.Log(); n != nil {
			failover.NewPart(n)
		}
		f.keeper = failover.New(failover.Config{Name: cfg.Name, Run: uint64(f.peers.RunID()), Lease: o.Lease}, f.policy, m, release,
			f.peers, c, log)
		log.WithField("lease", o.Lease.String()).Info("takeover on")
		if f.admin != nil {
			f.admin.Post("/work", func(ctx context.Context, _ []byte) (any, error) { return f.keeper.Answer(ctx) })
			f.admin.GetWith("/work/seen", func(ctx context.Context) any { return f.keeper.Seen(ctx) })
			f.admin.Post("/work/take", func(ctx context.Context, body []byte) (any, error) {
				return struct{}{}, f.keeper.Take(ctx, lease.Work(body))
			})
		}
	}
	return f, nil
}

// run runs its parts until ctx ends.
func (f *fleet) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	if f.peers != nil {
		running.Go(func() { f.peers.Run(ctx) })
	}
	if f.policy != nil {
		running.Go(func() { f.policy.Run(ctx) })
	}
	if f.keeper != nil {
		running.Go(func() { f.keeper.Run(ctx) })
	}
	if f.listens != nil {
		running.Go(func() {
			if err := f.admin.Run(ctx, f.listens); err != nil {
				f.log.WithError(err).Error("admin ended")
			}
		})
	}
}

// leave tells the others that this marshal goes; it is called once.
func (f *fleet) leave(ctx context.Context) {
	if f.keeper != nil {
		f.keeper.Leave(ctx)
	}
	if f.peers != nil {
		f.peers.Leave(ctx)
	}
}

// votes is who takes the module's votes: the desk, or the keeper in front of it.
func (f *fleet) votes(release *rollout.Desk) engine.Desk {
	if f.keeper != nil {
		return f.keeper
	}
	return release
}

// reread follows a configuration that was read again.
func (f *fleet) reread() {
	if f.policy != nil {
		f.policy.Retry()
	}
}
