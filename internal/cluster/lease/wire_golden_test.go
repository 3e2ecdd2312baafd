package lease

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// wireLease is a lease with every field set.
var wireLease = Lease{Work: "trial/n0", Owner: Holder{Name: "n0", Run: 1 << 63}, Token: 9, Until: 1234.5, Checkpoint: []byte("seen"),
	Written: 1000.5, Merged: []Past{{Work: "trial/n1", Token: 3}, {Work: "trial/n2", Token: 4}}, Seq: 7}

// The bytes of commands, answers and snapshots in the replicated log, and the list that servers answer with, are those of
// the golden file. Servers of different versions read each other's, and stores last over restarts.
func TestGoldenLog(t *testing.T) {
	book := NewBook()
	book.leases["trial/n0"], book.token, book.now = &wireLease, 10, 2000.5
	book.ended = []Ended{{Work: "trial/n4", Token: 2, By: "n0", Why: "unreadable", At: 900.5}}
	snapshot, err := book.Encode()
	if err != nil {
		t.Fatal(err)
	}
	observed := golden.Section("command", packed(t, &Command{Verb: Merge, Work: "trial/n1", By: Holder{Name: "n0", Run: 5}, Token: 3,
		Span: 5000, Checkpoint: []byte("seen"), Into: "trial/n0", IntoToken: 9, Seq: 7, Why: "why"})) +
		golden.Section("reply", packed(t, &Reply{Refused: "why", Lease: wireLease})) +
		golden.Section("snapshot", golden.Quote(snapshot)) +
		golden.Section("list", plain(t, List{Now: 2000.5, Leases: []Lease{wireLease}, Ended: book.ended}))
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
