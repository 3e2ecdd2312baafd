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

// Kind is the first byte of the log's entries that are lease commands.
const Kind byte = 'l'

// ErrOwnLease reports an attempt to take over the instance's own lease.
var ErrOwnLease = errors.New("it is this marshal's own")

// RejectedError reports a command that the log has committed and the lease table has rejected. Nothing has changed.
type RejectedError struct {
	Reason string // given by the lease table
}

func (e *RejectedError) Error() string { return e.Reason }

// propose sends a command to the log and returns the reply, which may be a rejection. If the reply revokes the
// instance's lease, the decision module drops its evidence.
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
		mgr.engine.DiscardEvidence()
		mgr.logger.WithFields(logrus.Fields{
			"work": mgr.own.current().ID, "token": uint64(command.Token), "refused": reply.Rejection,
		}).Warn("lease lost")
	}
	return reply, nil
}

// proposeUntilReply repeats a command until there is a reply or ctx ends. A command without a reply may have been
// applied. If the instance gave up a merge at that point, its next checkpoint would overwrite the merged checkpoint and
// lack the merged evidence.
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

// rejectionError returns the rejection in a reply as a [*RejectedError], or nil if the command was applied.
func rejectionError(r *lease.Reply) error {
	if r.Rejection == "" {
		return nil
	}
	return &RejectedError{Reason: r.Rejection}
}
