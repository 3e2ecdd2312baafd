package lease

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// wireLease is a lease with every field set.
var wireLease = Lease{
	ID: "trial/n0", Holder: Holder{Name: "n0", Incarnation: 1 << 63}, Token: 9, ExpiresAt: 1234.5,
	Checkpoint: []byte("seen"), CheckpointAt: 1000.5, CheckpointSeq: 7,
	Merged: []Grant{{ID: "trial/n1", Token: 3}, {ID: "trial/n2", Token: 4}},
}

// Guards the encoding of commands, replies and snapshots in the replicated log, and of the list that servers return.
// Servers of different versions read each other's data, and stored data outlives upgrades.
func TestLogEncodingsMatchGolden(t *testing.T) {
	table := NewTable()
	table.leases["trial/n0"], table.lastToken, table.now = &wireLease, 10, 2000.5
	table.abandoned = []AbandonedLease{{ID: "trial/n4", Token: 2, Holder: "n0", Reason: "unreadable", At: 900.5}}
	snapshot, err := table.Encode()
	if err != nil {
		t.Fatalf("encode the lease table: %v", err)
	}
	observed := golden.Section("command", encodeMsgpack(t, &Command{
		Operation: Merge, ID: "trial/n1", Holder: Holder{Name: "n0", Incarnation: 5}, Token: 3,
		TTL: 5000, Checkpoint: []byte("seen"), MergeInto: "trial/n0", MergeIntoToken: 9, CheckpointSeq: 7, Reason: "why",
	})) +
		golden.Section("reply", encodeMsgpack(t, &Reply{Rejection: "why", Lease: wireLease})) +
		golden.Section("snapshot", golden.Quote(snapshot)) +
		golden.Section("list", encodeJSON(t, List{Now: 2000.5, Leases: []Lease{wireLease}, Abandoned: table.abandoned}))
	if err := golden.CheckFile("testdata/log.golden", []byte(observed)); err != nil {
		t.Errorf("encodings of the lease table and its commands: %v", err)
	}
}

// encodeMsgpack returns the quoted msgpack encoding of a value, which the log stores.
func encodeMsgpack(t *testing.T, value any) string {
	t.Helper()
	raw, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatalf("encode %T as msgpack: %v", value, err)
	}
	return golden.Quote(raw) + "\n"
}

// encodeJSON returns the indented JSON of a value, which servers return.
func encodeJSON(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatalf("encode %T as JSON: %v", value, err)
	}
	return string(raw) + "\n"
}
