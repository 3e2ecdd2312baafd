package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// The same proposals in the same order give the same versions and checksums. A proposal that comes twice becomes one
// version, and one that is based on another version than the latest is rejected.
func TestApplyNumbersProposals(t *testing.T) {
	var state, replica State
	for _, testCase := range []struct {
		name     string
		proposal Proposal
		want     Outcome
	}{
		{"the first", Proposal{ID: "1", Body: logForm(t, "one")}, Outcome{Version: 1}},
		{"based on the latest", Proposal{ID: "2", Body: logForm(t, "two"), Based: true, Base: 1}, Outcome{Version: 2}},
		{"a duplicate", Proposal{ID: "1", Body: logForm(t, "one")}, Outcome{Version: 1, Duplicate: true}},
		{
			"based on an old version",
			Proposal{ID: "3", Body: logForm(t, "three"), Based: true, Base: 1},
			Outcome{Rejection: "version 2 holds, and it was made from 1"},
		},
		{
			"no policy",
			Proposal{ID: "4", Body: []byte("{}")},
			Outcome{Rejection: "note: want 1 to 400 bytes that say what the change is for, got 0"},
		},
		{"no id", Proposal{Body: logForm(t, "x")}, Outcome{Rejection: "no id, or one that is too long"}},
		{"an equal body", Proposal{ID: "5", Body: logForm(t, "two")}, Outcome{Version: 3}},
	} {
		if got := state.Apply(&testCase.proposal); got != testCase.want {
			t.Errorf("%s: %+v, want %+v", testCase.name, got, testCase.want)
		}
		replica.Apply(&testCase.proposal)
	}
	latest, _ := state.Latest()
	if other, _ := replica.Latest(); latest.Sum != other.Sum || latest.Version != 3 {
		t.Errorf("%+v and %+v", latest, other)
	}
}

// fullState has three times as many versions as are kept.
func fullState(t *testing.T) *State {
	t.Helper()
	state := &State{}
	for i := range 3 * maxRecords {
		state.Apply(&Proposal{ID: fmt.Sprint(i), Body: logForm(t, fmt.Sprint("version ", i))})
	}
	return state
}

// The number of kept records and their bytes are limited.
func TestStateDropsOldestBeyondLimits(t *testing.T) {
	state := fullState(t)
	if len(state.records) != maxRecords || state.Version() != 3*maxRecords {
		t.Errorf("%d records, version %d", len(state.records), state.Version())
	}
	large := fmt.Sprintf(`{"note":"x","settings":{"a":%q}}`, strings.Repeat("a", 60000))
	for i := range 60 {
		state.Apply(&Proposal{ID: fmt.Sprint("large", i), Body: []byte(large)})
	}
	if state.bytes > maxRecordBytes {
		t.Errorf("%d bytes kept", state.bytes)
	}
}

// A snapshot restores what was kept; one whose versions do not follow from one another is rejected.
func TestRestoreRejectsBrokenChain(t *testing.T) {
	state := fullState(t)
	raw, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(raw); err != nil || restored.Version() != state.Version() || restored.bytes != state.bytes {
		t.Errorf("%v, version %d", err, restored.Version())
	}
	restored.records[3].Version++
	if raw, err = restored.Encode(); err != nil || !errors.Is((&State{}).Restore(raw), ErrBrokenChain) {
		t.Error("versions that do not follow are restored")
	}
}

// Records of a server are added once, also after a gap; a sequence that does not follow is rejected.
func TestAppendRejectsBrokenChain(t *testing.T) {
	state := fullState(t)
	raw, err := state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var equal State
	if err := equal.Restore(raw); err != nil {
		t.Fatal(err)
	}
	broken := state.Since(3*maxRecords - 3)
	broken[1].Body = logForm(t, "another")
	if _, err := equal.Append(broken); !errors.Is(err, ErrBrokenChain) {
		t.Error(err)
	}
	var late State
	if changed, err := late.Append(state.Since(0)); !changed || err != nil || late.Version() != state.Version() {
		t.Errorf("%v, %v, version %d", changed, err, late.Version())
	}
	if changed, err := late.Append(state.Since(700)); changed || err != nil {
		t.Errorf("the same again: %v, %v", changed, err)
	}
}
