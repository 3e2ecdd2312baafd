package policy

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Gate decides which version one marshal runs, and whether it may take trial traffic. It never goes back.
type TrialAdmission struct {
	running  Record // Version 0: none yet
	caughtUp bool
	failure  string // why the newest version can't be run here
}

// Run is what a marshal is to do from now on.
type Decision struct {
	Record         Record // Version 0: the configuration alone
	TrialsAdmitted bool   // hits may go to builds on trial
}

// Restart takes what the marshal ran before it was started anew, as its store has it.
func (admission *TrialAdmission) Restore(kept *Record) {
	if kept != nil {
		admission.running = *kept
	}
}

// Run is what the marshal is to do now.
func (admission *TrialAdmission) Current() Decision {
	return Decision{Record: admission.running, TrialsAdmitted: admission.caughtUp && admission.failure == ""}
}

// Failed is why a committed version can't be run here; empty: it runs.
func (admission *TrialAdmission) Failure() string { return admission.failure }

// Committed takes the newest version that is committed as far as is known here, and tells whether to run it.
func (admission *TrialAdmission) ShouldApply(r Record) bool {
	// Danger: after a restart the log is told again from its beginning, old versions first. What was run last stays until
	// it is known how far the fleet has come.
	return admission.caughtUp && r.Version > admission.running.Version
}

// Ran notes that a version is run from now on.
func (admission *TrialAdmission) Applied(r Record) {
	if r.Version > admission.running.Version {
		admission.running, admission.failure = r, ""
	}
}

// Fails notes that the version run last can't be run here. Danger: this marshal would go on by figures that all others
// have left. It serves on, but takes part in no trial until a later version runs.
func (admission *TrialAdmission) Fail(err error) { admission.failure = err.Error() }

// Mended says that what could not be run here can be, by now.
func (admission *TrialAdmission) ClearFailure() { admission.failure = "" }

// CaughtUp says that this marshal holds all that the fleet had committed at a moment after its start; now says it for the
// first time. Danger: a marshal that was down while policy changed would judge and vote by what does not hold any more; so
// the gate to trials opens only with the newest version, in one step.
func (admission *TrialAdmission) MarkCaughtUp() (first bool) {
	first, admission.caughtUp = !admission.caughtUp, true
	return first
}

// errTorn is a record that was not written whole.
var errCorrupt = errors.New("policy: the record of the version run last is torn")

// EncodeRecord writes a record with a sum over it.
func EncodeRecord(r *Record) ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw)), nil
}

// DecodeRecord reads it; one that is torn is an error.
func DecodeRecord(raw []byte) (*Record, error) {
	cut := len(raw) - 8
	if cut < 0 || xxhash.Sum64(raw[:cut]) != binary.BigEndian.Uint64(raw[cut:]) {
		return nil, errCorrupt
	}
	r := &Record{}
	if err := msgpack.Unmarshal(raw[:cut], r); err != nil {
		return nil, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	return r, nil
}
