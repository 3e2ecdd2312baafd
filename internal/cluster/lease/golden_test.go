package lease

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// goldenLease returns a lease with every field set.
func goldenLease() Lease {
	return Lease{
		ID: "trial/a", Holder: Holder{Name: "a", Incarnation: 0xfedcba9876543210}, Token: 11, ExpiresAt: 5000.5,
		Checkpoint: []byte("seen"), CheckpointAt: 4000.25, Merged: []Grant{{ID: "trial/c", Token: 9}}, CheckpointSeq: 3,
	}
}

func goldenAbandoned() AbandonedLease {
	return AbandonedLease{ID: "trial/d", Token: 8, Holder: "a", Reason: "can't be read", At: 3000.75}
}

// Guards the encoding of commands, which are entries of the replicated log.
func TestStoredCommandsMatchGolden(t *testing.T) {
	operations := map[string]Operation{
		"claim": Acquire, "keep": Renew, "take": TakeOver, "merge": Merge, "release": Release, "end": Abandon,
	}
	for name, operation := range operations {
		command := Command{
			Operation: operation, ID: "trial/b", Holder: Holder{Name: "a", Incarnation: 5}, Token: 10, TTL: 1500.5,
			Checkpoint: []byte("seen"), MergeInto: "trial/a", MergeIntoToken: 11, CheckpointSeq: 4, Reason: "can't be read",
		}
		golden.RoundTrip(t, "command_"+name+".msgpack", command, msgpack.Marshal, msgpack.Unmarshal)
	}
}

// Guards the encoding of replies, which a server of the log sends to the proposer of a command.
func TestReplyMatchesGolden(t *testing.T) {
	reply := Reply{Rejection: "held by another", Lease: goldenLease()}
	golden.RoundTrip(t, "reply.msgpack", reply, msgpack.Marshal, msgpack.Unmarshal)
}

// Guards the encoding of the list of leases, which servers of the log send to instances.
func TestListMatchesGolden(t *testing.T) {
	list := List{Now: 4500.5, Leases: []Lease{goldenLease()}, Abandoned: []AbandonedLease{goldenAbandoned()}}
	golden.RoundTrip(t, "list.json", list, json.Marshal, json.Unmarshal)
}

// Guards the encoding of the table, which is part of the log's snapshots.
func TestStoredTableMatchesGolden(t *testing.T) {
	lease, second := goldenLease(), goldenLease()
	second.ID, second.Token = "trial/b", 10
	stored := &Table{
		leases: map[ID]*Lease{lease.ID: &lease, second.ID: &second}, abandoned: []AbandonedLease{goldenAbandoned()},
		lastToken: 12, now: 4500.5,
	}
	golden.AssertFieldsSet(t, "lease", lease)
	golden.AssertFieldsSet(t, "ended", stored.abandoned)
	raw, err := stored.Encode()
	if err != nil {
		t.Fatalf("encode the lease table: %v", err)
	}
	golden.AssertFixture(t, "book.msgpack", raw)
	restored := NewTable()
	if err := restored.Restore(golden.Read(t, "book.msgpack")); err != nil {
		t.Fatalf("restore the lease table from the fixture: %v", err)
	}
	golden.AssertDecoded(t, "book.msgpack", restored, stored)
}
