package policysync

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/golden"
)

// Guards the encoding of the messages between watchers, servers and operators, which processes of different releases
// exchange.
func TestMessagesMatchGolden(t *testing.T) {
	self := MemberStatus{
		Name: "n0", Role: "watcher", Version: 7, Checksum: "ab", TrialsAdmitted: true, Failure: "why", Unreachable: "lost",
		ReportedAt: 8.5,
	}
	version := policy.Version(7)
	observed := ""
	for _, message := range []struct {
		title  string
		encode func(any) ([]byte, error)
		value  any
	}{
		{"since", msgpack.Marshal, &sinceRequest{Self: self, Version: 6, Confirm: true}},
		{"answer", msgpack.Marshal, &sinceResponse{Newest: 7, Confirmed: true, Records: []policy.Record{
			{Version: 7, ID: "id", Proposer: "n1", ProposedAt: 1.7e12, Body: []byte("{}"), Checksum: 1 << 63},
		}}},
		{"local", json.Marshal, localStatus{Self: self, Watchers: []MemberStatus{self, {Name: "n1"}}}},
		{"ask", json.Marshal, ProposeRequest{
			Policy: json.RawMessage(`{"note":"why"}`), ID: "id", BaseVersion: &version, WaitMS: 9,
		}},
		{"proposed", json.Marshal, ProposeResult{ID: "id", Version: 7, Duplicate: true}},
	} {
		raw, err := message.encode(message.value)
		if err != nil {
			t.Fatalf("encode the %s: %v", message.title, err)
		}
		observed += golden.Section(message.title, golden.Quote(raw)+"\n")
	}
	if err := golden.CheckFile("testdata/messages.golden", []byte(observed)); err != nil {
		t.Errorf("encodings of messages between processes: %v", err)
	}
}
