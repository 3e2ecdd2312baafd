package failover

import (
	"context"

	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/lease"
)

// ReleaseLease writes a last checkpoint and releases this instance's lease, so that a successor need not wait for the
// lease to expire. It does nothing without a valid lease, or if ctx ends before checkpointMutex is free.
func (mgr *Manager) ReleaseLease(ctx context.Context) {
	if mgr.checkpointMutex.lock(ctx) != nil {
		return
	}
	defer mgr.checkpointMutex.unlock()
	raw := mgr.collectEncodedCheckpoint(ctx)
	session := mgr.own.current()
	if !session.Valid(mgr.clock.Now()) {
		return
	}
	renewal := mgr.own.nextCommand(raw)
	release := lease.Command{Operation: lease.Release, ID: session.ID, Holder: session.Holder, Token: session.Token()}
	for _, command := range []*lease.Command{&renewal, &release} {
		if _, err := mgr.propose(ctx, command); err != nil {
			mgr.logger.WithError(err).Warn("lease not released")
			return
		}
	}
	mgr.logger.WithFields(logrus.Fields{"work": session.ID, "token": uint64(session.Token())}).Info("lease released")
}
