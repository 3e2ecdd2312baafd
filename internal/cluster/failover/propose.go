package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/lease"
)

// Kind marks the commands of leases in the log.
const Kind byte = 'l'

// ErrOwnLease is a takeover of the instance's own lease.
var ErrOwnLease = errors.New("it is this marshal's own")

// RejectedError is a command that the log applied to no effect.
type RejectedError struct {
	Reason string // as the lease table gave it
}

func (e *RejectedError) Error() string { return e.Reason }

// propose sends a command and takes its reply, which may reject the command. If the lease is lost by it, the decision
// module drops its evidence.
func (mgr *Manager) propose(ctx context.Context, command *lease.Command) (*lease.Reply, error) {
	raw, err := msgpack.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, mgr.cfg.TTL)
	defer cancel()
	sent := mgr.clock.Now()
	if raw, err = mgr.log.Command(ctx, Kind, raw); err != nil {
		return nil, err
	}
	reply := &lease.Reply{}
	if err := msgpack.Unmarshal(raw, reply); err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	if mgr.own.handleReply(command, sent, reply) {
		mgr.engine.RevokeEvidence()
		mgr.logger.WithFields(logrus.Fields{
			"work": mgr.own.current().ID, "token": uint64(command.Token), "refused": reply.Rejection,
		}).Warn("lease lost")
	}
	return reply, nil
}

// proposeUntilReply sends a command again until there is a reply. A command without a reply may have been applied:
// were a merge given up then, the next checkpoint would lack the merged evidence and overwrite the one that has it.
func (mgr *Manager) proposeUntilReply(ctx context.Context, command *lease.Command) error {
	for {
		reply, err := mgr.propose(ctx, command)
		if err == nil {
			return rejectionError(reply)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(mgr.renewInterval()):
		}
	}
}

// rejected is the rejection in a reply as an error, nil if the command was applied.
func rejectionError(r *lease.Reply) error {
	if r.Rejection == "" {
		return nil
	}
	return &RejectedError{Reason: r.Rejection}
}
