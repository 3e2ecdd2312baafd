package policy

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// Guards the encoding of policies, proposals, outcomes, records and snapshots. Servers of different releases read each
// other's data, and a release reads the store of the previous one.
func TestLogEncodingsMatchGolden(t *testing.T) {
	share := 0.5
	settings := json.RawMessage(`{"zone":"a"}`)
	body, err := json.Marshal(Policy{Note: "why", Halt: true, TrialShare: &share, Settings: settings})
	if err != nil {
		t.Fatalf("encode the policy: %v", err)
	}
	proposal := Proposal{ID: "id", Proposer: "n0", ProposedAt: 1.7e12, RequireBase: true, BaseVersion: 0, Body: body}
	state := &State{}
	if out := state.Apply(&proposal); out.Rejection != "" {
		t.Fatalf("apply the proposal: got rejection %q, want none", out.Rejection)
	}
	record, _ := state.Latest()
	proposal.BaseVersion = 7
	observed := golden.Section("policy", golden.Quote(body)+"\n")
	for _, encoding := range []struct {
		title  string
		encode func() ([]byte, error)
	}{
		{"proposal", func() ([]byte, error) { return msgpack.Marshal(&proposal) }},
		{"outcome", func() ([]byte, error) { return json.Marshal(Outcome{Version: 7, Duplicate: true, Rejection: "why"}) }},
		{"record", func() ([]byte, error) { return EncodeRecord(&record) }},
		{"snapshot", state.Encode},
	} {
		raw, err := encoding.encode()
		if err != nil {
			t.Fatalf("encode the %s: %v", encoding.title, err)
		}
		observed += golden.Section(encoding.title, golden.Quote(raw)+"\n")
	}
	if err := golden.CheckFile("testdata/log.golden", []byte(observed)); err != nil {
		t.Errorf("encodings of policies in the log: %v", err)
	}
}
