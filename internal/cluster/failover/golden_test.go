package failover

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/golden"
)

// Guards the encoding of checkpoints, which are stored in log entries and in snapshots of the log.
func TestStoredCheckpointMatchesGolden(t *testing.T) {
	evidence := decision.Evidence{
		Build: 8, Stage: 2,
		Classes: []decision.ClassEvidence{{Class: "read", Baseline: []float64{0.5, 1.25}, Candidate: []float64{0.75}}},
		Counts:  []decision.EndpointCount{{Endpoint: "node-1", Build: 7, Class: "read", Succeeded: 40.5, Failed: 2.25}},
	}
	stored := checkpoint{Evidence: []decision.Evidence{evidence}, Merged: []lease.Grant{{ID: "trial/c", Token: 9}}}
	golden.RoundTrip(t, "checkpoint.msgpack", stored, msgpack.Marshal, msgpack.Unmarshal)
}

// Guards the encoding of log entries, which begin with the kind of their command.
func TestStoredEntryMatchesGolden(t *testing.T) {
	command := lease.Command{
		Operation: lease.Merge, ID: "trial/b", Holder: lease.Holder{Name: "a", Incarnation: 5}, Token: 10,
		TTL: 1500.5, Checkpoint: []byte("seen"), MergeInto: "trial/a", MergeIntoToken: 11, CheckpointSeq: 4,
		Reason: "can't be read",
	}
	golden.RoundTrip(t, "entry.bin", command, func(value any) ([]byte, error) {
		raw, err := msgpack.Marshal(value)
		return append([]byte{Kind}, raw...), err
	}, func(raw []byte, to any) error { return msgpack.Unmarshal(raw[1:], to) })
}

// Guards the encoding of lease status and evidence summaries, which the admin interface returns.
func TestStatusMatchesGolden(t *testing.T) {
	line := LeaseStatus{
		Lease: "trial/a", Holder: "a", Incarnation: 0xfedcba9876543210, Token: 11, RemainingMS: 500.5, Expired: true,
		CheckpointAt: 4000.25, CheckpointAge: 250.5, Merged: []lease.Grant{{ID: "trial/c", Token: 9}},
		HolderState: membership.Suspect, AbandonReason: "can't be read",
	}
	golden.RoundTrip(t, "line.json", line, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "seen.json", EvidenceSummary{Build: 8, Stage: 2, Responses: 42}, json.Marshal, json.Unmarshal)
}
