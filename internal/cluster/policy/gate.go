package policy

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Gate decides which version one marshal runs, and whether it may take trial traffic. It never goes back.
type Gate struct {
	running Record // Version 0: none yet
	open    bool
	failed  string // why the newest version can't be run here
}

// Run is what a marshal is to do from now on.
type Run struct {
	Record Record // Version 0: the configuration alone
	Open   bool   // hits may go to builds on trial
}

// Restart takes what the marshal ran before it was started anew, as its store has it.
func (g *Gate) Restart(kept *Record) {
	if kept != nil {
		g.running = *kept
	}
}

// Run is what the marshal is to do now.
func (g *Gate) Run() Run { return Run{Record: g.running, Open: g.open && g.failed == ""} }

// Failed is why a committed version can't be run here; empty: it runs.
func (g *Gate) Failed() string { return g.failed }

// Committed takes the newest version that is committed as far as is known here, and tells whether to run it.
func (g *Gate) Committed(r Record) bool {
	// Danger: after a restart the log is told again from its beginning, old versions first. What was run last stays until
	// it is known how far the fleet has come.
	return g.open && r.Version > g.running.Version
}

// Ran notes that a version is run from now on.
func (g *Gate) Ran(r Record) {
	if r.Version > g.running.Version {
		g.running, g.failed = r, ""
	}
}

// Fails notes that the version run last can't be run here. Danger: this marshal would go on by figures that all others
// have left. It serves on, but takes part in no trial until a later version runs.
func (g *Gate) Fails(err error) { g.failed = err.Error() }

// Mended says that what could not be run here can be, by now.
func (g *Gate) Mended() { g.failed = "" }

// CaughtUp says that this marshal holds all that the fleet had committed at a moment after its start; now says it for the
// first time. Danger: a marshal that was down while policy changed would judge and vote by what does not hold any more; so
// the gate to trials opens only with the newest version, in one step.
func (g *Gate) CaughtUp() (now bool) {
	now, g.open = !g.open, true
	return now
}

// errTorn is a record that was not written whole.
var errTorn = errors.New("policy: the record of the version run last is torn")

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
		return nil, errTorn
	}
	r := &Record{}
	if err := msgpack.Unmarshal(raw[:cut], r); err != nil {
		return nil, fmt.Errorf("%w: %w", errTorn, err)
	}
	return r, nil
}
