package policysync

import (
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/logclock"
	"ottershed/internal/cluster/policy"
)

// Kind is the first byte of the log's entries that are policy proposals.
const Kind byte = 'p'

// stateMachine applies the log's entries of [Kind]. It implements raftlog.StateMachine.
type stateMachine struct{ applier *applier }

// Apply applies a proposal and returns its policy.Outcome as JSON.
func (m stateMachine) Apply(_ uint64, _ logclock.Millis, command []byte) []byte {
	proposal := &policy.Proposal{}
	if err := msgpack.Unmarshal(command, proposal); err != nil {
		proposal = nil
	}
	raw, err := json.Marshal(m.applier.applyProposal(proposal))
	if err != nil {
		panic(err) // can't happen: every field of an Outcome can be encoded
	}
	return raw
}

// Snapshot returns the kept versions.
func (m stateMachine) Snapshot() ([]byte, error) { return m.applier.encodeState() }

// Restore replaces the kept versions with those of a snapshot. After an error they are unchanged.
func (m stateMachine) Restore(raw []byte) error { return m.applier.restoreState(raw) }
