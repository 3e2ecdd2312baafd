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

// The bytes of a checkpoint with every field set are those of the golden file: another marshal, of another version maybe,
// goes on from it. So is the JSON of what a marshal has seen.
func TestGoldenCheckpoint(t *testing.T) {
	checkpointBytes, err := msgpack.Marshal(&checkpoint{
		Parts: []decision.Evidence{{Build: 42, Stage: 1,
			Groups: []decision.GroupEvidence{{Group: "read", Blue: []float64{1, math.Inf(1)}, Grn: []float64{0.5}}},
			Counts: []decision.NodeCount{{Node: "10.0.0.1:80", Build: 41, Group: "read", Good: 20.5, Bad: 2}}}},
		Merged: []lease.Past{{Work: "trial/n1", Token: 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	seen, err := json.Marshal(Seen{Build: 42, Stage: 1, Hits: 23})
	if err != nil {
		t.Fatal(err)
	}
	observed := golden.Section("checkpoint", golden.Quote(checkpointBytes)+"\n") + golden.Section("seen", string(seen)+"\n")
	if err := golden.Check("testdata/checkpoint.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}
