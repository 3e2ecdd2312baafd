package policysync

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/golden"
)

func goldenMember(name string) MemberStatus {
	return MemberStatus{
		Name: name, Role: "watcher", Version: 7, Checksum: "fedcba98", TrialsAdmitted: true, Failure: "can't be run",
		Unreachable: "no answer", ReportedAt: 1764700000123.5,
	}
}

// encodeResponse returns the encoding of a value in the response of a server to a call.
func encodeResponse(value any) ([]byte, error) {
	recorder := httptest.NewRecorder()
	raftlog.WriteJSON(recorder, value)
	return recorder.Body.Bytes(), nil
}

// Guards the encoding of polls, by which watchers request versions from servers, and of their responses.
func TestPollMatchesGolden(t *testing.T) {
	request := sinceRequest{Self: goldenMember("marshal-a"), Version: 6, Confirm: true}
	golden.RoundTrip(t, "since.msgpack", request, msgpack.Marshal, msgpack.Unmarshal)
	response := sinceResponse{Records: []policy.Record{{
		Version: 7, ID: "an-id", Proposer: "marshal-a", ProposedAt: 1764700000123.5,
		Body: []byte(`{"note":"a trial"}`), Checksum: 0xfedcba9876543210,
	}}, Newest: 7, Confirmed: true}
	golden.RoundTrip(t, "since_answer.msgpack", response, msgpack.Marshal, msgpack.Unmarshal)
}

// Guards the encoding of log entries, which begin with the kind of their command.
func TestStoredEntryMatchesGolden(t *testing.T) {
	proposal := policy.Proposal{
		ID: "an-id", Proposer: "marshal-a", ProposedAt: 1764700000123.5, RequireBase: true, BaseVersion: 6,
		Body: []byte(`{"note":"a trial"}`),
	}
	golden.RoundTrip(t, "entry.bin", proposal, func(value any) ([]byte, error) {
		raw, err := msgpack.Marshal(value)
		return append([]byte{Kind}, raw...), err
	}, func(raw []byte, to any) error { return msgpack.Unmarshal(raw[1:], to) })
}

// Guards the encoding of the status that servers request from each other.
func TestLocalStatusMatchesGolden(t *testing.T) {
	status := localStatus{Self: goldenMember("marshal-a"), Watchers: []MemberStatus{goldenMember("marshal-b")}}
	golden.RoundTrip(t, "local.json", status, encodeResponse, json.Unmarshal)
}

// Guards the encoding of requests to the admin interface and of its responses.
func TestAdminMessagesMatchGolden(t *testing.T) {
	base := policy.Version(6)
	text := json.RawMessage(`{"note":"a trial"}`)
	request := ProposeRequest{Policy: text, ID: "an-id", BaseVersion: &base, WaitMS: 2500}
	golden.RoundTrip(t, "ask.json", request, json.Marshal, json.Unmarshal)
	result := ProposeResult{ID: "an-id", Version: 7, Duplicate: true}
	golden.RoundTrip(t, "proposed.json", result, json.Marshal, json.Unmarshal)
	entry := HistoryEntry{
		Version: 7, ID: "an-id", Proposer: "marshal-a", ProposedAt: 1764700000123.5, Checksum: "fedcba98", Policy: text,
	}
	golden.RoundTrip(t, "past.json", entry, json.Marshal, json.Unmarshal)
	status := FleetStatus{
		Members: []MemberStatus{goldenMember("marshal-a")}, StoredBytes: 4096,
		Log: &raftlog.Status{Role: "leader", Leader: "a", Term: 3, CommitIndex: 20, AppliedIndex: 19, Voters: []string{"a", "b"}},
	}
	golden.RoundTrip(t, "status.json", status, json.Marshal, json.Unmarshal)
}
