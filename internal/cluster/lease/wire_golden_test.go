package lease

import (
	"encoding/json"
	"ottershed/internal/golden"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// wireLease is a lease with every field set.
var wireLease = Lease{
	ID: "trial/n0", Holder: Holder{Name: "n0", Incarnation: 1 << 63}, Token: 9, ExpiresAt: 1234.5, Checkpoint: []byte("seen"),
	CheckpointAt: 1000.5, Merged: []Grant{{ID: "trial/n1", Token: 3}, {ID: "trial/n2", Token: 4}}, CheckpointSeq: 7,
}

// The bytes of commands, answers and snapshots in the replicated log, and the list that servers answer with, are those of
// the golden file. Servers of different versions read each other's, and stores last over restarts.
func TestGoldenLog(t *testing.T) {
	book := NewTable()
	book.leases["trial/n0"], book.lastToken, book.now = &wireLease, 10, 2000.5
	book.abandoned = []Abandoned{{ID: "trial/n4", Token: 2, Holder: "n0", Reason: "unreadable", At: 900.5}}
	snapshot, err := book.Encode()
	if err != nil {
		t.Fatal(err)
	}
	observed := golden.Section("command", packed(t, &Command{
		Operation: Merge, ID: "trial/n1", Holder: Holder{Name: "n0", Incarnation: 5}, Token: 3,
		TTL: 5000, Checkpoint: []byte("seen"), Into: "trial/n0", IntoToken: 9, CheckpointSeq: 7, Reason: "why",
	})) +
		golden.Section("reply", packed(t, &Reply{Rejection: "why", Lease: wireLease})) +
		golden.Section("snapshot", golden.Quote(snapshot)) +
		golden.Section("list", plain(t, List{Now: 2000.5, Leases: []Lease{wireLease}, Abandoned: book.abandoned}))
	if err := golden.Check("testdata/log.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// packed is a value as the log holds it.
func packed(t *testing.T, value any) string {
	t.Helper()
	raw, err := msgpack.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return golden.Quote(raw) + "\n"
}

// plain is a value as servers answer with it.
func plain(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw) + "\n"
}
