package decision

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// Evidence is stored in checkpoints, and read there by instances that run another version of the program.
func TestStoredEvidence(t *testing.T) {
	evidence := Evidence{Build: 8, Stage: 2,
		Groups: []GroupEvidence{{Group: "read", Blue: []float64{0.5, 1.25}, Grn: []float64{0.75}}},
		Counts: []NodeCount{{Node: "node-1", Build: 7, Group: "read", Good: 40.5, Bad: 2.25}}}
	golden.RoundTrip(t, "evidence.msgpack", evidence, msgpack.Marshal, msgpack.Unmarshal)
}
