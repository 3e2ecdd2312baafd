package decision

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// The encoding of evidence matches the golden file. Checkpoints store evidence, and instances with another version of
// the program read it.
func TestStoredEvidenceFormat(t *testing.T) {
	evidence := Evidence{
		Build: 8, Stage: 2,
		Classes: []ClassEvidence{{Class: "read", Baseline: []float64{0.5, 1.25}, Candidate: []float64{0.75}}},
		Counts:  []EndpointCount{{Endpoint: "node-1", Build: 7, Class: "read", Succeeded: 40.5, Failed: 2.25}},
	}
	golden.RoundTrip(t, "evidence.msgpack", evidence, msgpack.Marshal, msgpack.Unmarshal)
}
