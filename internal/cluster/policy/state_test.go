package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Guards against servers whose versions or checksums differ after the same proposals, against a duplicate that becomes
// a second version, and against a proposal that is applied although its base is outdated.
func TestApplyNumbersProposals(t *testing.T) {
	var state, replica State
	for _, testCase := range []struct {
		name     string
		proposal Proposal
		want     Outcome
	}{
		{"first proposal", Proposal{ID: "1", Body: encodedPolicy(t, "one")}, Outcome{Version: 1}},
		{
			"based on the latest",
			Proposal{ID: "2", Body: encodedPolicy(t, "two"), RequireBase: true, BaseVersion: 1},
			Outcome{Version: 2},
		},
		{"duplicate ID", Proposal{ID: "1", Body: encodedPolicy(t, "one")}, Outcome{Version: 1, Duplicate: true}},
		{
			"based on an earlier version",
			Proposal{ID: "3", Body: encodedPolicy(t, "three"), RequireBase: true, BaseVersion: 1},
			Outcome{Rejection: "version 2 holds, and it was made from 1"},
		},
		{
			"policy without a note",
			Proposal{ID: "4", Body: []byte("{}")},
			Outcome{Rejection: "note: want 1 to 400 bytes that say what the change is for, got 0"},
		},
		{"no id", Proposal{Body: encodedPolicy(t, "x")}, Outcome{Rejection: "no id, or one that is too long"}},
		{"equal body", Proposal{ID: "5", Body: encodedPolicy(t, "two")}, Outcome{Version: 3}},
	} {
		if got := state.Apply(&testCase.proposal); got != testCase.want {
			t.Errorf("%s: got outcome %+v, want %+v", testCase.name, got, testCase.want)
		}
		replica.Apply(&testCase.proposal)
	}
	latest, _ := state.Latest()
	if other, _ := replica.Latest(); latest.Checksum != other.Checksum || latest.Version != 3 {
		t.Errorf("got latest records %+v and %+v, want version 3 with equal checksums", latest, other)
	}
}

// fullState returns a state to which three times maxRecords versions were applied.
func fullState(t *testing.T) *State {
	t.Helper()
	state := &State{}
	for i := range 3 * maxRecords {
		state.Apply(&Proposal{ID: fmt.Sprint(i), Body: encodedPolicy(t, fmt.Sprint("version ", i))})
	}
	return state
}

// Guards against unbounded growth: both the number of kept records and the length of their bodies are limited.
func TestStateDropsOldestBeyondLimits(t *testing.T) {
	state := fullState(t)
	if len(state.records) != maxRecords || state.Version() != 3*maxRecords {
		t.Errorf("got %d records, version %d, want %d, %d", len(state.records), state.Version(),
			maxRecords, 3*maxRecords)
	}
	large := fmt.Sprintf(`{"note":"x","settings":{"a":%q}}`, strings.Repeat("a", 60000))
	for i := range 60 {
		state.Apply(&Proposal{ID: fmt.Sprint("large", i), Body: []byte(large)})
	}
	if state.bytes > maxRecordBytes {
		t.Errorf("got %d bytes of bodies kept, want at most %d", state.bytes, maxRecordBytes)
	}
}

// Guards against a snapshot that loses kept records, and against one whose versions do not follow from one another.
func TestRestoreRejectsBrokenChain(t *testing.T) {
	state := fullState(t)
	raw, err := state.Encode()
	if err != nil {
		t.Fatalf("encode the state: %v", err)
	}
	var restored State
	if err := restored.Restore(raw); err != nil || restored.Version() != state.Version() || restored.bytes != state.bytes {
		t.Errorf("restored state: got error %v, version %d, %d bytes of bodies, want none, %d, %d", err, restored.Version(),
			restored.bytes, state.Version(), state.bytes)
	}
	restored.records[3].Version++
	if raw, err = restored.Encode(); err != nil || !errors.Is((&State{}).Restore(raw), ErrBrokenChain) {
		t.Error("want ErrBrokenChain for a snapshot with a gap in its versions")
	}
}

// Guards against records that do not follow from those kept here, against records that are added twice, and against a
// process without versions that rejects records because the servers no longer keep version 1.
func TestAppendRejectsBrokenChain(t *testing.T) {
	state := fullState(t)
	raw, err := state.Encode()
	if err != nil {
		t.Fatalf("encode the state: %v", err)
	}
	var equal State
	if err := equal.Restore(raw); err != nil {
		t.Fatalf("restore the encoded state: %v", err)
	}
	broken := state.Since(3*maxRecords - 3)
	broken[1].Body = encodedPolicy(t, "another")
	if _, err := equal.Append(broken); !errors.Is(err, ErrBrokenChain) {
		t.Errorf("append of records that do not follow: got error %v, want ErrBrokenChain", err)
	}
	var empty State
	if changed, err := empty.Append(state.Since(0)); !changed || err != nil || empty.Version() != state.Version() {
		t.Errorf("append without versions: got changed %v, error %v, version %d, want true, none, %d", changed, err,
			empty.Version(), state.Version())
	}
	if changed, err := empty.Append(state.Since(700)); changed || err != nil {
		t.Errorf("append of known records: got changed %v, error %v, want false, none", changed, err)
	}
}
