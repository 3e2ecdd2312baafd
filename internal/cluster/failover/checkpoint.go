package failover

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
)

// checkpoint is the state from which a successor resumes: the instance's evidence, and merged evidence that its
// decision module had not received yet. An instance of another version may decode it, so the tags don't change when a
// field is renamed.
type checkpoint struct {
	Evidence []decision.Evidence `msgpack:"Parts"`
	Merged   []lease.Grant       `msgpack:"Merged"` // leases whose evidence is in Evidence
}

// decodeCheckpoint decodes the checkpoint of a lease. A checkpoint that was never written decodes as empty.
func decodeCheckpoint(raw []byte) (c checkpoint, err error) {
	if len(raw) == 0 {
		return c, nil
	}
	err = msgpack.Unmarshal(raw, &c)
	return c, err
}

// contextMutex is a mutex whose lock method stops waiting when the context ends. Its channel has room for one element
// and is full while the mutex is locked.
type contextMutex chan struct{}

func (m contextMutex) lock(ctx context.Context) error {
	select {
	case m <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m contextMutex) tryLock() bool {
	select {
	case m <- struct{}{}:
		return true
	default:
		return false
	}
}

func (m contextMutex) unlock() { <-m }

// collectCheckpoint returns a checkpoint of the decision module's evidence, or false if no build is on trial. The
// caller holds checkpointMutex.
func (mgr *Manager) collectCheckpoint(ctx context.Context) (checkpoint, bool) {
	ctx, cancel := context.WithTimeout(ctx, mgr.renewInterval())
	defer cancel()
	evidence, onTrial := mgr.engine.Evidence(ctx)
	if !onTrial {
		return checkpoint{}, false
	}
	return checkpoint{Evidence: []decision.Evidence{evidence}, Merged: mgr.own.mergedFor(evidence.Build)}, true
}

// collectEncodedCheckpoint returns the encoded checkpoint for the instance's lease, or nil if there is no evidence or
// the checkpoint is longer than lease.MaxCheckpointBytes. The caller holds checkpointMutex.
func (mgr *Manager) collectEncodedCheckpoint(ctx context.Context) []byte {
	collected, onTrial := mgr.collectCheckpoint(ctx)
	if !onTrial {
		return nil
	}
	raw, err := msgpack.Marshal(&collected)
	if err != nil || len(raw) > lease.MaxCheckpointBytes {
		mgr.logger.WithError(err).WithField("bytes", len(raw)).Warn("checkpoint not written")
		return nil
	}
	return raw
}

// deliverEvidence passes the evidence of a checkpoint to the decision module and records the merged leases of the
// checkpoint. It returns the number of responses in the evidence.
func (mgr *Manager) deliverEvidence(c *checkpoint) (responses int) {
	mgr.own.addMerged(c.Merged...)
	for i := range c.Evidence {
		mgr.engine.AddEvidence(c.Evidence[i])
		responses += countResponses(&c.Evidence[i])
	}
	return responses
}

// countResponses returns the number of responses of both builds in the evidence.
func countResponses(e *decision.Evidence) int {
	responses := 0.0
	for _, count := range e.Counts {
		responses += count.Succeeded + count.Failed
	}
	return int(responses)
}
