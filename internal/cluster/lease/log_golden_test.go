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

// The bytes of commands, replies and snapshots in the replicated log, and the list that servers return, are those of
// the golden file: servers of different versions read each other's, and stores outlive restarts.
func TestGoldenLog(t *testing.T) {
	table := NewTable()
	table.leases["trial/n0"], table.lastToken, table.now = &wireLease, 10, 2000.5
	table.abandoned = []Abandoned{{ID: "trial/n4", Token: 2, Holder: "n0", Reason: "unreadable", At: 900.5}}
	snapshot, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	observed := golden.Section("command", packed(t, &Command{
		Operation: Merge, ID: "trial/n1", Holder: Holder{Name: "n0", Incarnation: 5}, Token: 3,
		TTL: 5000, Checkpoint: []byte("seen"), Into: "trial/n0", IntoToken: 9, CheckpointSeq: 7, Reason: "why",
	})) +
		golden.Section("reply", packed(t, &Reply{Rejection: "why", Lease: wireLease})) +
		golden.Section("snapshot", golden.Quote(snapshot)) +
		golden.Section("list", plain(t, List{Now: 2000.5, Leases: []Lease{wireLease}, Abandoned: table.abandoned}))
	if err := golden.Check("testdata/log.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// packed encodes a value as the log stores it.
func packed(t *testing.T, value any) string {
	t.Helper()
	raw, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return golden.Quote(raw) + "\n"
}

// plain encodes a value as servers return it.
func plain(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw) + "\n"
}
