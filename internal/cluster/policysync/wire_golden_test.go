package policysync

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/golden"
)

// What a marshal that follows asks a server, what it is answered, and what a server tells of those that follow it, are those
// of the golden file: marshals of different versions ask each other.
func TestGoldenMessages(t *testing.T) {
	self := Marshal{Name: "n0", Role: "watcher", Version: 7, Sum: "ab", Open: true, Failed: "why", Missing: "lost", At: 8.5}
	version := policy.Version(7)
	observed := ""
	for _, message := range []struct {
		title  string
		encode func(any) ([]byte, error)
		value  any
	}{
		{"since", msgpack.Marshal, &since{Self: self, Version: 6, Confirm: true}},
		{"answer", msgpack.Marshal, &sinceAnswer{Newest: 7, Confirmed: true, Records: []policy.Record{
			{Version: 7, ID: "id", By: "n1", At: 1.7e12, Body: []byte("{}"), Sum: 1 << 63}}}},
		{"local", json.Marshal, local{Self: self, Watchers: []Marshal{self, {Name: "n1"}}}},
		{"ask", json.Marshal, Ask{Policy: json.RawMessage(`{"note":"why"}`), ID: "id", Base: &version, WaitMS: 9}},
		{"proposed", json.Marshal, Proposed{ID: "id", Version: 7, Again: true}},
	} {
		raw, err := message.encode(message.value)
		if err != nil {
			t.Fatal(err)
		}
		observed += golden.Section(message.title, golden.Quote(raw)+"\n")
	}
	if err := golden.Check("testdata/messages.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}
