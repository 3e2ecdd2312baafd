package policysync

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
)

const appliedKey = "policy" // store key of the applied version

// applier holds the versions that are known to the process and applies the latest version that policy.TrialAdmission
// permits. It is safe for concurrent use.
type applier struct {
	apply func(policy.Decision) error // Hooks.Apply
	store *raftlog.Store
	log   logrus.FieldLogger

	mu        sync.Mutex // guards the fields below; held during calls of apply, so that decisions arrive in order
	state     policy.State
	admission policy.TrialAdmission
	changed   chan struct{} // closed and replaced when a version is applied
}

func newApplier(apply func(policy.Decision) error, store *raftlog.Store, log logrus.FieldLogger) *applier {
	return &applier{apply: apply, store: store, log: log, changed: make(chan struct{})}
}

// applyStored applies the version that the process had applied before a restart, or the configuration alone if there is
// none or it can't be read. Trials are closed.
func (a *applier) applyStored() {
	a.mu.Lock()
	defer a.mu.Unlock()
	stored, err := a.readStored()
	if err != nil {
		a.log.WithError(err).Error("policy: the stored version can't be read")
	}
	a.admission.Restore(stored)
	if err := a.apply(a.admission.Current()); err != nil {
		a.admission.MarkFailed(err)
		a.log.WithError(err).Error("policy: the stored version can't be applied")
	}
}

// readStored returns the record of the applied version from the store, or nil if there is none.
func (a *applier) readStored() (*policy.Record, error) {
	raw, err := a.store.UserValue(appliedKey)
	if err != nil || raw == nil {
		return nil, err
	}
	return policy.DecodeRecord(raw)
}

func (a *applier) writeStored(r *policy.Record) error {
	raw, err := policy.EncodeRecord(r)
	if err != nil {
		return err
	}
	return a.store.SetUserValue(appliedKey, raw)
}

// markCaughtUp records that the process knows everything that was committed at some time after its start. It applies
// the latest version and admits trials. Only the first call has an effect.
func (a *applier) markCaughtUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.admission.MarkCaughtUp() {
		return
	}
	a.applyLatest()
	if a.admission.Current().TrialsAdmitted {
		if err := a.apply(a.admission.Current()); err != nil {
			a.log.WithError(err).Error("policy can't be applied")
			a.admission.MarkFailed(err)
		}
	}
	a.logDecision("policy caught up")
}

// applyLatest applies the latest version, unless the process has not caught up or has applied it already. The caller
// holds mu.
func (a *applier) applyLatest() {
	latest, exists := a.state.Latest()
	if !exists || !a.admission.ShouldApply(latest) {
		return
	}
	// The version is stored before it is applied. In the other order, a process that ends in between would restart with
	// the previous version after it had acted on this one.
	if err := a.writeStored(&latest); err != nil {
		a.log.WithError(err).Error("policy: the applied version can't be stored")
	}
	previous := a.admission.Current()
	a.admission.MarkApplied(latest)
	log := a.log.WithFields(logrus.Fields{
		"version": uint64(latest.Version), "was": uint64(previous.Record.Version), "sum": formatChecksum(latest.Checksum),
	})
	if err := a.apply(a.admission.Current()); err != nil {
		a.admission.MarkFailed(err)
		log.WithError(err).Error("policy can't be applied, trials closed")
		a.applyWithoutTrials(previous.Record)
	} else {
		log.Info("policy applied")
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// applyWithoutTrials returns to the settings of the previous version, with trials closed. The caller holds mu.
func (a *applier) applyWithoutTrials(previous policy.Record) {
	if err := a.apply(policy.Decision{Record: previous}); err != nil {
		a.log.WithError(err).Error("policy: the previous version can't be applied either")
	}
}

// retry applies again a version that could not be applied. Without a failure it does nothing.
func (a *applier) retry() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admission.Failure() == "" {
		return
	}
	a.admission.ClearFailure()
	if err := a.apply(a.admission.Current()); err != nil {
		a.admission.MarkFailed(err)
		a.log.WithError(err).Error("policy still can't be applied")
		return
	}
	a.logDecision("policy can be applied again")
}

// logDecision logs the current decision. The caller holds mu.
func (a *applier) logDecision(message string) {
	current := a.admission.Current()
	a.log.WithFields(logrus.Fields{
		"version": uint64(current.Record.Version), "open": current.TrialsAdmitted,
	}).Info(message)
}

// applyProposal adds a committed proposal to the known versions and applies the latest version. A nil proposal stands
// for an entry that could not be decoded.
func (a *applier) applyProposal(proposal *policy.Proposal) policy.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := policy.Outcome{Rejection: "not a proposal"}
	if proposal != nil {
		out = a.state.Apply(proposal)
	}
	a.applyLatest()
	return out
}

// addRecords adds records that a server has sent and applies the latest version. An error wraps policy.ErrBrokenChain;
// valid records before the invalid one are added and applied.
func (a *applier) addRecords(records []policy.Record) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, err := a.state.Append(records)
	if changed {
		a.applyLatest()
	}
	return err
}

func (a *applier) encodeState() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Encode()
}

func (a *applier) restoreState(raw []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.state.Restore(raw); err != nil {
		return err
	}
	a.applyLatest()
	return nil
}

// since returns the known records that are newer than v, the latest known version, and a channel that is closed when
// another version is applied.
func (a *applier) since(v policy.Version) ([]policy.Record, policy.Version, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Since(v), a.state.Version(), a.changed
}

// awaitSince returns the records and the version of since as soon as there is a record newer than v, or after maxWait.
// An error is that of ctx.
func (a *applier) awaitSince(
	ctx context.Context, v policy.Version, maxWait time.Duration,
) ([]policy.Record, policy.Version, error) {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		records, latest, changed := a.since(v)
		if len(records) > 0 {
			return records, latest, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return records, latest, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// appliedState is the state of the policy at one process at one moment.
type appliedState struct {
	latest   policy.Version // the latest known version, applied or not
	decision policy.Decision
	failure  string // why the latest version can't be applied here; empty if it is applied
}

func (a *applier) current() appliedState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return appliedState{latest: a.state.Version(), decision: a.admission.Current(), failure: a.admission.Failure()}
}

// formatChecksum returns a record's checksum in hexadecimal, as in status, history and log lines.
func formatChecksum(checksum uint64) string { return strconv.FormatUint(checksum, 16) }
