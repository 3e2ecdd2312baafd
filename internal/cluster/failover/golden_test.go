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

// A checkpoint is stored in the log, in leases and in snapshots.
func TestStoredCheckpoint(t *testing.T) {
	evidence := decision.Evidence{Build: 8, Stage: 2,
		Groups: []decision.GroupEvidence{{Group: "read", Blue: []float64{0.5, 1.25}, Grn: []float64{0.75}}},
		Counts: []decision.NodeCount{{Node: "node-1", Build: 7, Group: "read", Good: 40.5, Bad: 2.25}}}
	stored := checkpoint{Parts: []decision.Evidence{evidence}, Merged: []lease.Past{{Work: "trial/c", Token: 9}}}
	golden.RoundTrip(t, "checkpoint.msgpack", stored, msgpack.Marshal, msgpack.Unmarshal)
}

// An entry of the log begins with the kind of its command.
func TestStoredEntry(t *testing.T) {
	command := lease.Command{Verb: lease.Merge, Work: "trial/b", By: lease.Holder{Name: "a", Run: 5}, Token: 10,
		Span: 1500.5, Checkpoint: []byte("seen"), Into: "trial/a", IntoToken: 11, Seq: 4, Why: "can't be read"}
	golden.RoundTrip(t, "entry.bin", command, func(value any) ([]byte, error) {
		raw, err := msgpack.Marshal(value)
		return append([]byte{Kind}, raw...), err
	}, func(raw []byte, to any) error { return msgpack.Unmarshal(raw[1:], to) })
}

// Lines are what the admin address answers.
func TestLineOnTheWire(t *testing.T) {
	line := Line{Work: "trial/a", Owner: "a", Run: 0xfedcba9876543210, Token: 11, Left: 500.5, Lapsed: true, Written: 4000.25,
		Ago: 250.5, Merged: []lease.Past{{Work: "trial/c", Token: 9}}, State: membership.Suspect, Ended: "can't be read"}
	golden.RoundTrip(t, "line.json", line, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "seen.json", Seen{Build: 8, Stage: 2, Hits: 42}, json.Marshal, json.Unmarshal)
}
