package failover

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/lease"
)

// AbandonedError reports a takeover that ended the lease because the work could not be resumed.
type AbandonedError struct {
	Reason string
}

func (e *AbandonedError) Error() string { return "ended: " + e.Reason }

// TakeOver takes a lease over on an operator's request, under the same conditions as an automatic takeover. The error
// is [ErrOwnLease], a [*RejectedError], an [*AbandonedError], or that of the log or of ctx. Run must be active.
func (mgr *Manager) TakeOver(ctx context.Context, id lease.ID) error {
	manual := manualTakeover{id, make(chan error, 1)}
	select {
	case mgr.manualTakeovers <- manual:
		return <-manual.reply
	case <-ctx.Done():
		return ctx.Err()
	}
}

// takeOverExpired takes over the leases that are due. An instance that can't keep its own lease is no successor: it
// would merge the evidence into a lease that it may lose.
func (mgr *Manager) takeOverExpired(ctx context.Context) {
	session := mgr.own.current()
	if !session.Valid(mgr.clock.Now()) {
		return
	}
	list, err := mgr.Leases(ctx)
	if err != nil {
		return
	}
	for _, id := range lease.DueForTakeover(mgr.cfg.Name, mgr.view(), list, session.TTL) {
		if err := mgr.takeOver(ctx, id); err != nil && ctx.Err() == nil {
			mgr.logger.WithError(err).WithField("work", id).Info("lease not taken over")
		}
	}
}

// takeOver takes a lease over and merges it into this instance's own. The package comment explains the order of the
// steps.
func (mgr *Manager) takeOver(ctx context.Context, leaseID lease.ID) error {
	session := mgr.own.current()
	if leaseID == session.ID {
		return ErrOwnLease
	}
	granted, err := mgr.propose(ctx, &lease.Command{
		Operation: lease.TakeOver, ID: leaseID, Holder: session.Holder, TTL: session.TTL,
	})
	if err != nil {
		return err
	}
	if err := rejectionError(granted); err != nil {
		return err
	}
	grant := lease.Grant{ID: leaseID, Token: granted.Lease.Token}
	mgr.logger.WithFields(logrus.Fields{"work": leaseID, "token": uint64(grant.Token)}).Info("lease taken over")
	inherited, err := decodeCheckpoint(granted.Lease.Checkpoint)
	if err != nil {
		return mgr.abandon(ctx, grant, fmt.Sprintf("its checkpoint can't be read: %v", err))
	}
	if err := mgr.checkpointMutex.lock(ctx); err != nil {
		return err
	}
	defer mgr.checkpointMutex.unlock()
	if err := mgr.merge(ctx, &session, grant, &inherited); err != nil {
		return err
	}
	responses := mgr.deliverEvidence(&inherited)
	mgr.own.addMerged(grant)
	mgr.logger.WithFields(logrus.Fields{
		"work": leaseID, "token": uint64(grant.Token), "into": session.ID, "hits": responses,
	}).Info("lease merged")
	return nil
}

// merge ends a lease that was taken over and writes a checkpoint with the evidence of both instances to this instance's
// own lease. If that checkpoint is too long for a lease, merge abandons the lease that was taken over. The caller holds
// checkpointMutex.
func (mgr *Manager) merge(ctx context.Context, session *lease.Session, grant lease.Grant, inherited *checkpoint) error {
	collected, _ := mgr.collectCheckpoint(ctx) // empty if no build is on trial
	combined := checkpoint{
		Evidence: append(collected.Evidence, inherited.Evidence...),
		Merged:   append(mgr.own.mergedWith(inherited.Merged...), grant),
	}
	raw, err := msgpack.Marshal(&combined)
	if err != nil {
		return fmt.Errorf("work: %w", err)
	}
	if len(raw) > lease.MaxCheckpointBytes {
		return mgr.abandon(ctx, grant, fmt.Sprintf("its checkpoint and this marshal's are %d bytes together", len(raw)))
	}
	return mgr.proposeUntilReply(ctx, &lease.Command{
		Operation: lease.Merge, ID: grant.ID, Holder: session.Holder, Token: grant.Token, TTL: session.TTL,
		MergeInto: session.ID, MergeIntoToken: session.Token(), Checkpoint: raw, CheckpointSeq: mgr.own.nextSeq(),
	})
}

// abandon ends a lease that was taken over and whose work can't be resumed. Otherwise the lease would expire and be
// taken over by one instance after another. The error is never nil: an [*AbandonedError], or that of the command.
func (mgr *Manager) abandon(ctx context.Context, grant lease.Grant, reason string) error {
	err := mgr.proposeUntilReply(ctx, &lease.Command{
		Operation: lease.Abandon, ID: grant.ID, Holder: mgr.own.current().Holder, Token: grant.Token,
		Reason: reason[:min(len(reason), lease.MaxReasonBytes)],
	})
	if err != nil {
		return err
	}
	mgr.logger.WithFields(logrus.Fields{
		"work": grant.ID, "token": uint64(grant.Token), "why": reason,
	}).Error("lease abandoned")
	return &AbandonedError{Reason: reason}
}
