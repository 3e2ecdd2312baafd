package failover

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
)

// checkpoint is what a lease holds for a successor: the instance's evidence, and evidence that was merged and that its
// decision module had not received yet. Another version may resume from it, so the tags stay whatever the fields are
// called.
type checkpoint struct {
	Evidence []decision.Evidence `msgpack:"Parts"`
	Merged   []lease.Grant       `msgpack:"Merged"` // leases whose evidence is in Parts
}

// decodeCheckpoint returns the checkpoint of a lease; one that was never written is empty.
func decodeCheckpoint(raw []byte) (c checkpoint, err error) {
	if len(raw) == 0 {
		return c, nil
	}
	err = msgpack.Unmarshal(raw, &c)
	return c, err
}

// slot is held while a checkpoint is gathered and written. Two at once could be written in the wrong order, and
// evidence that was gathered before a merge would overwrite the merged one.
type contextMutex chan struct{}

func (s contextMutex) lock(ctx context.Context) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s contextMutex) tryLock() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s contextMutex) unlock() { <-s }

// gather returns the module's evidence as a checkpoint, and false where no build is on trial. The caller holds the
// slot.
func (mgr *Manager) collectCheckpoint(ctx context.Context) (checkpoint, bool) {
	ctx, cancel := context.WithTimeout(ctx, mgr.renewInterval())
	defer cancel()
	evidence, onTrial := mgr.engine.Evidence(ctx)
	if !onTrial {
		return checkpoint{}, false
	}
	return checkpoint{Evidence: []decision.Evidence{evidence}, Merged: mgr.own.mergedFor(evidence.Build)}, true
}

// encodedCheckpoint returns the module's evidence as it is written to the lease, nil where there is none or it is too
// long. The caller holds the slot.
func (mgr *Manager) collectEncodedCheckpoint(ctx context.Context) []byte {
	gathered, onTrial := mgr.collectCheckpoint(ctx)
	if !onTrial {
		return nil
	}
	raw, err := msgpack.Marshal(&gathered)
	if err != nil || len(raw) > lease.MaxCheckpointBytes {
		mgr.logger.WithError(err).WithField("bytes", len(raw)).Warn("checkpoint not written")
		return nil
	}
	return raw
}

// resume hands the evidence of a checkpoint to the module, and returns how many responses are in it.
func (mgr *Manager) deliverEvidence(c *checkpoint) (responses int) {
	mgr.own.addMerged(c.Merged...)
	for i := range c.Evidence {
		mgr.engine.AcquireEvidence(c.Evidence[i])
		responses += countResponses(&c.Evidence[i])
	}
	return responses
}

// countResponses is how many responses are in evidence, of either build.
func countResponses(e *decision.Evidence) int {
	sum := 0.0
	for _, count := range e.Counts {
		sum += count.Succeeded + count.Failed
	}
	return int(sum)
}
