package policysync

import (
	"encoding/json"
	"net/http/httptest"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/golden"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func goldenMarshal(name string) MemberStatus {
	return MemberStatus{
		Name: name, Role: "watcher", Version: 7, Sum: "fedcba98", TrialsAdmitted: true, Failure: "can't be run",
		Unreachable: "no answer", ReportedAt: 1764700000123.5,
	}
}

// answered is what a server answers a call with.
func answered(value any) ([]byte, error) {
	recorder := httptest.NewRecorder()
	raftlog.WriteJSON(recorder, value)
	return recorder.Body.Bytes(), nil
}

// Watchers and servers exchange versions.
func TestSinceOnTheWire(t *testing.T) {
	ask := sinceRequest{Self: goldenMarshal("marshal-a"), Version: 6, Confirm: true}
	golden.RoundTrip(t, "since.msgpack", ask, msgpack.Marshal, msgpack.Unmarshal)
	answer := sinceResponse{Records: []policy.Record{{
		Version: 7, ID: "an-id", By: "marshal-a", At: 1764700000123.5,
		Body: []byte(`{"note":"a trial"}`), Sum: 0xfedcba9876543210,
	}}, Newest: 7, Confirmed: true}
	golden.RoundTrip(t, "since_answer.msgpack", answer, msgpack.Marshal, msgpack.Unmarshal)
}

// An entry of the log begins with the kind of its command.
func TestStoredEntry(t *testing.T) {
	proposal := policy.Proposal{
		ID: "an-id", By: "marshal-a", At: 1764700000123.5, Based: true, Base: 6,
		Body: []byte(`{"note":"a trial"}`),
	}
	golden.RoundTrip(t, "entry.bin", proposal, func(value any) ([]byte, error) {
		raw, err := msgpack.Marshal(value)
		return append([]byte{Kind}, raw...), err
	}, func(raw []byte, to any) error { return msgpack.Unmarshal(raw[1:], to) })
}

// Servers ask each other for their status.
func TestLocalOnTheWire(t *testing.T) {
	status := localStatus{Self: goldenMarshal("marshal-a"), Watchers: []MemberStatus{goldenMarshal("marshal-b")}}
	golden.RoundTrip(t, "local.json", status, answered, json.Unmarshal)
}

// Operators ask the admin address.
func TestAdminOnTheWire(t *testing.T) {
	base, policy := policy.Version(6), json.RawMessage(`{"note":"a trial"}`)
	golden.RoundTrip(t, "ask.json", ProposeRequest{Policy: policy, ID: "an-id", Base: &base, WaitMS: 2500}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "proposed.json", ProposeResult{ID: "an-id", Version: 7, Duplicate: true}, json.Marshal, json.Unmarshal)
	past := HistoryEntry{Version: 7, ID: "an-id", Proposer: "marshal-a", At: 1764700000123.5, Sum: "fedcba98", Policy: policy}
	golden.RoundTrip(t, "past.json", past, json.Marshal, json.Unmarshal)
	status := FleetStatus{
		Members: []MemberStatus{goldenMarshal("marshal-a")}, StoredBytes: 4096,
		Log: &raftlog.Status{Role: "leader", Leader: "a", Term: 3, Commit: 20, Applied: 19, Voters: []string{"a", "b"}},
	}
	golden.RoundTrip(t, "status.json", status, json.Marshal, json.Unmarshal)
}
