package policy

import (
	"encoding/json"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

const goldenPolicy = `{"note":"a trial","halt":true,"trial-share":0.25,"settings":{"pace":1}}`

func goldenProposal(id string, base Version) *Proposal {
	return &Proposal{
		ID: id, Proposer: "marshal-a", ProposedAt: 1764700000123.5, RequireBase: true, BaseVersion: base,
		Body: []byte(goldenPolicy),
	}
}

// goldenState returns a state with two versions.
func goldenState(t *testing.T) *State {
	t.Helper()
	state := &State{}
	first := goldenProposal("first", 0)
	for _, p := range []*Proposal{first, goldenProposal("second", 1)} {
		if out := state.Apply(p); out.Rejection != "" {
			t.Fatal(out.Rejection)
		}
	}
	return state
}

// Guards the encoding of proposals, which are entries of the replicated log.
func TestStoredProposalMatchesGolden(t *testing.T) {
	golden.RoundTrip(t, "proposal.msgpack", *goldenProposal("second", 1), msgpack.Marshal, msgpack.Unmarshal)
}

// Guards the encoding of outcomes, which the server that committed a proposal sends to the proposer.
func TestOutcomeMatchesGolden(t *testing.T) {
	outcome := Outcome{Version: 7, Duplicate: true, Rejection: "not the newest"}
	golden.RoundTrip(t, "outcome.json", outcome, json.Marshal, json.Unmarshal)
}

// Guards the encoding of policies for the log, which is stored in records. Parsing the encoding must return the same
// bytes.
func TestStoredPolicyMatchesGolden(t *testing.T) {
	share := 0.25
	policy := Policy{Note: "a trial", Halt: true, TrialShare: &share, Settings: json.RawMessage(`{"pace":1}`)}
	golden.RoundTrip(t, "policy.json", policy, json.Marshal, json.Unmarshal)
	parsed, body, err := Parse(golden.Read(t, "policy.json"))
	if err != nil {
		t.Fatalf("parse the policy fixture: %v", err)
	}
	golden.AssertFixture(t, "policy.json", body)
	golden.AssertDecoded(t, "policy.json", *parsed, policy)
}

// Guards the encoding of the applied version's record, which each process stores.
func TestStoredRecordMatchesGolden(t *testing.T) {
	record, _ := goldenState(t).Latest()
	golden.AssertFieldsSet(t, "record", record)
	raw, err := EncodeRecord(&record)
	if err != nil {
		t.Fatalf("encode the record: %v", err)
	}
	golden.AssertFixture(t, "record.bin", raw)
	decoded, err := DecodeRecord(golden.Read(t, "record.bin"))
	if err != nil {
		t.Fatalf("decode the record fixture: %v", err)
	}
	golden.AssertDecoded(t, "record.bin", *decoded, record)
}

// Guards the encoding of the kept records in snapshots of the log.
func TestStoredStateMatchesGolden(t *testing.T) {
	state := goldenState(t)
	golden.AssertFieldsSet(t, "records", state.records)
	raw, err := state.Encode()
	if err != nil {
		t.Fatalf("encode the state: %v", err)
	}
	golden.AssertFixture(t, "state.msgpack", raw)
	restored := &State{}
	if err := restored.Restore(golden.Read(t, "state.msgpack")); err != nil {
		t.Fatalf("restore the state from the fixture: %v", err)
	}
	golden.AssertDecoded(t, "state.msgpack", restored, state)
}
