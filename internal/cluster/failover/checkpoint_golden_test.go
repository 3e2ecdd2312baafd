package failover

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/golden"
)

// Guards the encoding of checkpoints, from which an instance of another version may resume, and of evidence summaries.
// Every field is set.
func TestCheckpointMatchesGolden(t *testing.T) {
	checkpointBytes, err := msgpack.Marshal(&checkpoint{
		Evidence: []decision.Evidence{{
			Build: 42, Stage: 1,
			Classes: []decision.ClassEvidence{{Class: "read", Baseline: []float64{1, math.Inf(1)}, Candidate: []float64{0.5}}},
			Counts:  []decision.EndpointCount{{Endpoint: "10.0.0.1:80", Build: 41, Class: "read", Succeeded: 20.5, Failed: 2}},
		}},
		Merged: []lease.Grant{{ID: "trial/n1", Token: 3}},
	})
	if err != nil {
		t.Fatalf("encode the checkpoint: %v", err)
	}
	summary, err := json.Marshal(EvidenceSummary{Build: 42, Stage: 1, Responses: 23})
	if err != nil {
		t.Fatalf("encode the evidence summary: %v", err)
	}
	observed := golden.Section("checkpoint", golden.Quote(checkpointBytes)+"\n") +
		golden.Section("seen", string(summary)+"\n")
	if err := golden.CheckFile("testdata/checkpoint.golden", []byte(observed)); err != nil {
		t.Errorf("encodings of the checkpoint and the evidence summary: %v", err)
	}
}
