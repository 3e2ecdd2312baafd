package lease

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

func goldenLease() Lease {
	return Lease{Work: "trial/a", Owner: Holder{Name: "a", Run: 0xfedcba9876543210}, Token: 11, Until: 5000.5,
		Checkpoint: []byte("seen"), Written: 4000.25, Merged: []Past{{Work: "trial/c", Token: 9}}, Seq: 3}
}

func goldenEnded() Ended {
	return Ended{Work: "trial/d", Token: 8, By: "a", Why: "can't be read", At: 3000.75}
}

// Commands are entries of the replicated log.
func TestStoredCommands(t *testing.T) {
	for name, verb := range map[string]Verb{"claim": Claim, "keep": Keep, "take": Take, "merge": Merge, "release": Release, "end": End} {
		command := Command{Verb: verb, Work: "trial/b", By: Holder{Name: "a", Run: 5}, Token: 10, Span: 1500.5,
			Checkpoint: []byte("seen"), Into: "trial/a", IntoToken: 11, Seq: 4, Why: "can't be read"}
		golden.RoundTrip(t, "command_"+name+".msgpack", command, msgpack.Marshal, msgpack.Unmarshal)
	}
}

// A reply is the log's answer to a command.
func TestReplyOnTheWire(t *testing.T) {
	reply := Reply{Refused: "held by another", Lease: goldenLease()}
	golden.RoundTrip(t, "reply.msgpack", reply, msgpack.Marshal, msgpack.Unmarshal)
}

// The list of leases is what a server of the log answers.
func TestListOnTheWire(t *testing.T) {
	list := List{Now: 4500.5, Leases: []Lease{goldenLease()}, Ended: []Ended{goldenEnded()}}
	golden.RoundTrip(t, "list.json", list, json.Marshal, json.Unmarshal)
}

// The book is the leases' part of a snapshot.
func TestStoredBook(t *testing.T) {
	lease, second := goldenLease(), goldenLease()
	second.Work, second.Token = "trial/b", 10
	stored := &Book{leases: map[Work]*Lease{lease.Work: &lease, second.Work: &second}, ended: []Ended{goldenEnded()},
		token: 12, now: 4500.5}
	golden.Filled(t, "lease", lease)
	golden.Filled(t, "ended", stored.ended)
	raw, err := stored.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "book.msgpack", raw)
	back := NewBook()
	if err := back.Restore(golden.Read(t, "book.msgpack")); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "book.msgpack", back, stored)
}
