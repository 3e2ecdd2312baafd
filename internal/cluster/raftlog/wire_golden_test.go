package raftlog

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/logclock"
	"ottershed/internal/golden"
)

// fixedMachine is a state machine with a fixed snapshot.
type fixedMachine struct{}

func (fixedMachine) Apply(uint64, logclock.Millis, []byte) []byte { return nil }
func (fixedMachine) Snapshot() ([]byte, error)                    { return []byte("held"), nil }
func (fixedMachine) Restore([]byte) error                         { return nil }

// Messages between servers, a stamped entry and the parts of a snapshot are encoded as in the golden file. The order of
// a snapshot's parts is random, so they are listed by name.
func TestMessageEncodingMatchesGoldenFile(t *testing.T) {
	stamp := logclock.Stamp{Process: 1 << 63, Uptime: 1234.5}
	observed := golden.Section("a stamped entry", golden.Quote(prependStamp(stamp, []byte("xcommand")))+"\n")
	for _, message := range []struct {
		title string
		value any
	}{
		{"state", serverState{Established: true}},
		{"readmission", readmitRequest{Name: "n0", Empty: true, Applied: 7}},
		{"status", Status{Role: "leader", Leader: "n0", Term: 2, CommitIndex: 3, AppliedIndex: 4, Voters: []string{"n0"}}},
	} {
		raw, err := json.Marshal(message.value)
		if err != nil {
			t.Fatalf("encode message %q: %v", message.title, err)
		}
		observed += golden.Section(message.title, golden.Quote(raw)+"\n")
	}
	observed += golden.Section("the parts of a snapshot", snapshotParts(t, stamp))
	if err := golden.CheckFile("testdata/messages.golden", []byte(observed)); err != nil {
		t.Errorf("encoding of messages: %v", err)
	}
}

// snapshotParts lists the parts of a snapshot, sorted by name.
func snapshotParts(t *testing.T, stamp logclock.Stamp) string {
	t.Helper()
	m := &fsm{machines: map[byte]StateMachine{'x': fixedMachine{}}, logClock: logclock.Clock{Now: 2000.5, Last: stamp}}
	m.lastApplied.Store(7)
	encoded, err := m.Snapshot()
	if err != nil {
		t.Fatalf("create snapshot: %v", err)
	}
	raw, err := verifyChecksum(encoded.(snapshot))
	if err != nil {
		t.Fatalf("verify checksum of the snapshot: %v", err)
	}
	var parts map[string][]byte
	if err := msgpack.Unmarshal(raw, &parts); err != nil {
		t.Fatalf("decode parts of the snapshot: %v", err)
	}
	text := ""
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		text += name + ": " + golden.Quote(parts[name])
	}
	return text
}
