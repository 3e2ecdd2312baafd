package failover

import (
	"context"

	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/lease"
)

// renew acquires this instance's lease, or renews it with a checkpoint. While a takeover holds checkpointMutex, the
// lease is renewed without a checkpoint.
func (mgr *Manager) renew(ctx context.Context) {
	var raw []byte
	if mgr.checkpointMutex.tryLock() {
		defer mgr.checkpointMutex.unlock()
		raw = mgr.collectEncodedCheckpoint(ctx)
	}
	command := mgr.own.nextCommand(raw)
	reply, err := mgr.propose(ctx, &command)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			mgr.logger.WithError(err).Debug("lease not renewed")
		}
	case command.Operation == lease.Acquire && reply.Rejection != "":
		mgr.logger.WithFields(logrus.Fields{"work": command.ID, "refused": reply.Rejection}).Debug("lease not acquired")
	case command.Operation == lease.Acquire:
		mgr.handleAcquired(&reply.Lease)
	}
}

// handleAcquired resumes from the checkpoint of the granted lease. If that is unreadable, the instance keeps the lease
// and does not resume.
func (mgr *Manager) handleAcquired(l *lease.Lease) {
	mgr.logger.WithFields(logrus.Fields{
		"work": mgr.own.current().ID, "token": uint64(l.Token), "bytes": len(l.Checkpoint),
	}).Info("lease acquired")
	resumed, err := decodeCheckpoint(l.Checkpoint)
	if err != nil {
		mgr.logger.WithError(err).Error("checkpoint unreadable")
		return
	}
	mgr.deliverEvidence(&resumed)
}
