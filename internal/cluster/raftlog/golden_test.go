package raftlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"

	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/logclock"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/quorum"
	"ottershed/internal/golden"
)

// Kinds of commands. Packages policysync and failover define them and import this package, so they are repeated here.
// The fixtures of entries there begin with them.
const (
	policyKind byte = 'p'
	leaseKind  byte = 'l'
)

// policyMachine behaves as the state machine of package policysync.
type policyMachine struct{ policy.State }

func (p *policyMachine) Apply(_ uint64, _ logclock.Millis, command []byte) []byte {
	var proposal policy.Proposal
	if err := msgpack.Unmarshal(command, &proposal); err != nil {
		return []byte(err.Error())
	}
	return []byte(p.State.Apply(&proposal).Rejection)
}

func (p *policyMachine) Snapshot() ([]byte, error) { return p.Encode() }

// leaseMachine behaves as the state machine of package failover.
type leaseMachine struct{ lease.Table }

func (l *leaseMachine) Apply(_ uint64, at logclock.Millis, raw []byte) []byte {
	var command lease.Command
	if err := msgpack.Unmarshal(raw, &command); err != nil {
		return []byte(err.Error())
	}
	return []byte(l.Table.Apply(&command, at).Rejection)
}

func (l *leaseMachine) Snapshot() ([]byte, error) { return l.Encode() }

// goldenMachine returns an fsm with the state machines of a real server.
func goldenMachine() (*fsm, *policyMachine, *leaseMachine) {
	policy, leases := &policyMachine{}, &leaseMachine{Table: *lease.NewTable()}
	return &fsm{machines: map[byte]StateMachine{policyKind: policy, leaseKind: leases}}, policy, leases
}

// namedCommand is a command with the name of its fixture.
type namedCommand struct {
	name    string
	command any
}

// goldenCommands returns commands of each kind, in an order in which all of them succeed. They result in a lease and an
// abandoned lease in which no field is empty.
func goldenCommands() []namedCommand {
	first := lease.Holder{Name: "a", Incarnation: 5}
	second := lease.Holder{Name: "b", Incarnation: 6}
	acquire := func(id lease.ID, by lease.Holder) lease.Command {
		return lease.Command{Operation: lease.Acquire, ID: id, Holder: by, TTL: 60000}
	}
	release := func(id lease.ID, token lease.Token) lease.Command {
		return lease.Command{Operation: lease.Release, ID: id, Holder: second, Token: token}
	}
	takeOver := func(id lease.ID) lease.Command {
		return lease.Command{Operation: lease.TakeOver, ID: id, Holder: first, TTL: 60000}
	}
	return []namedCommand{
		{"proposal", policy.Proposal{ID: "first", Proposer: "a", ProposedAt: 1764700000123.5, Body: []byte(`{"note":"a trial"}`)}},
		{"proposal_based", policy.Proposal{
			ID: "second", Proposer: "b", ProposedAt: 1764700001123.5, RequireBase: true, BaseVersion: 1,
			Body: []byte(`{"note":"another"}`),
		}},
		{"acquire_a", acquire("trial/a", first)},
		{"acquire_b", acquire("trial/b", second)},
		{"acquire_c", acquire("trial/c", second)},
		{"renew_a", lease.Command{
			Operation: lease.Renew, ID: "trial/a", Holder: first, Token: 1, TTL: 60000,
			Checkpoint: []byte("seen"), CheckpointSeq: 3,
		}},
		{"release_b", release("trial/b", 2)},
		{"release_c", release("trial/c", 3)},
		{"takeover_b", takeOver("trial/b")},
		{"takeover_c", takeOver("trial/c")},
		{"merge_b", lease.Command{
			Operation: lease.Merge, ID: "trial/b", Holder: first, Token: 4, TTL: 60000,
			Checkpoint: []byte("both"), MergeInto: "trial/a", MergeIntoToken: 1, CheckpointSeq: 4,
		}},
		{"abandon_c", lease.Command{
			Operation: lease.Abandon, ID: "trial/c", Holder: first, Token: 5, Reason: "can't be read",
		}},
	}
}

// goldenEntries returns the entries of goldenCommands, each with its leader's stamp.
func goldenEntries(t *testing.T) (entries []*raft.Log) {
	t.Helper()
	for i, c := range goldenCommands() {
		raw, err := msgpack.Marshal(c.command)
		if err != nil {
			t.Fatalf("encode command %s: %v", c.name, err)
		}
		kind := leaseKind
		if _, ok := c.command.(policy.Proposal); ok {
			kind = policyKind
		}
		stamp := logclock.Stamp{Process: 0xfedcba9876543210, Uptime: 1000.5 + 10*float64(i)}
		entries = append(entries, &raft.Log{
			Index: uint64(i) + 4, Term: 2, Type: raft.LogCommand,
			Data: prependStamp(stamp, append([]byte{kind}, raw...)), Extensions: []byte("extension"),
			AppendedAt: time.Date(2026, 12, 3, 8, 0, i, 123456789, time.UTC),
		})
	}
	return entries
}

// appliedMachine returns an fsm that has applied all golden entries.
func appliedMachine(t *testing.T) *fsm {
	t.Helper()
	m, policy, leases := goldenMachine()
	for _, entry := range goldenEntries(t) {
		if reply := m.Apply(entry).([]byte); len(reply) > 0 {
			t.Fatalf("entry %d: got rejection %q, want none", entry.Index, reply)
		}
	}
	golden.AssertFieldsSet(t, "clock", m.logClock)
	golden.AssertFieldsSet(t, "records", policy.Since(0))
	lease, _ := leases.Get("trial/a")
	golden.AssertFieldsSet(t, "lease", lease)
	golden.AssertFieldsSet(t, "list of leases", leases.List().Abandoned)
	return m
}

// Each entry is encoded as earlier releases stored it, and decoded into its stamp and command.
func TestEntryEncoding(t *testing.T) {
	commands := goldenCommands()
	for i, entry := range goldenEntries(t) {
		name := "entry_" + commands[i].name + ".bin"
		golden.AssertFixture(t, name, entry.Data)
		stamp, command, ok := cutStamp(golden.Read(t, name))
		want, wantCommand, _ := cutStamp(entry.Data)
		if !ok || stamp != want || !bytes.Equal(command, wantCommand) {
			t.Errorf("%s: got stamp %+v and command %q, want %+v and %q", name, stamp, command, want, wantCommand)
		}
		golden.AssertFieldsSet(t, name, stamp)
	}
}

// buffer implements raft.SnapshotSink.
type buffer struct{ bytes.Buffer }

func (*buffer) ID() string    { return "buffer" }
func (*buffer) Cancel() error { return nil }
func (*buffer) Close() error  { return nil }

// persistedSnapshot returns the bytes of an fsm's snapshot.
func persistedSnapshot(t *testing.T, m *fsm) []byte {
	t.Helper()
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatalf("create snapshot: %v", err)
	}
	var sink buffer
	if err := snapshot.Persist(&sink); err != nil {
		t.Fatalf("persist snapshot: %v", err)
	}
	return sink.Bytes()
}

// sortedParts verifies a snapshot's checksum and returns the snapshot with its parts sorted by name, because the
// order of the encoded map is random. The parts themselves are unchanged.
func sortedParts(t *testing.T, raw []byte) []byte {
	t.Helper()
	plain, err := verifyChecksum(raw)
	if err != nil {
		t.Fatalf("verify checksum of the snapshot: %v", err)
	}
	var parts map[string][]byte
	if err := msgpack.Unmarshal(plain, &parts); err != nil {
		t.Fatalf("decode parts of the snapshot: %v", err)
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	err = encoder.EncodeMapLen(len(parts))
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		err = errors.Join(err, encoder.EncodeString(name), encoder.EncodeBytes(parts[name]))
	}
	if err != nil || out.Len() != len(plain) {
		t.Errorf("snapshot with sorted parts: got %d bytes, error %v, want %d bytes and no error", out.Len(), err, len(plain))
	}
	return out.Bytes()
}

// A snapshot is encoded as earlier releases stored it, but for the order of its parts, and restores the same state.
func TestSnapshotEncoding(t *testing.T) {
	const name = "snapshot.bin"
	want := appliedMachine(t)
	written := persistedSnapshot(t, want)
	if golden.Updating() {
		golden.Write(t, name, written)
	}
	if got, stored := sortedParts(t, written), sortedParts(t, golden.Read(t, name)); !bytes.Equal(got, stored) {
		t.Errorf("%s: encoded snapshot:\n got %q\nwant %q", name, got, stored)
	}
	got, _, _ := goldenMachine()
	if err := got.Restore(io.NopCloser(bytes.NewReader(golden.Read(t, name)))); err != nil {
		t.Fatalf("restore %s: %v", name, err)
	}
	golden.AssertDecoded(t, name, got.logClock, want.logClock)
	golden.AssertDecoded(t, name, got.lastApplied.Load(), want.lastApplied.Load())
	golden.AssertDecoded(t, name, got.machines, want.machines)
}

// goldenUserValue returns the user value in which package policysync stores the policy version that was applied last.
func goldenUserValue(t *testing.T) []byte {
	t.Helper()
	raw, err := policy.EncodeRecord(&policy.Record{
		Version: 2, ID: "second", Proposer: "b", ProposedAt: 1764700001123.5,
		Body: []byte(`{"note":"another"}`), Checksum: 0xfedcba9876543210,
	})
	if err != nil {
		t.Fatalf("encode policy record: %v", err)
	}
	return raw
}

// goldenStoredEntries returns the entries of the store, from index 1 on, as in a store without a snapshot. No field of
// the last entry is empty.
func goldenStoredEntries(t *testing.T) []*raft.Log {
	t.Helper()
	entries := goldenEntries(t)
	last := *entries[len(entries)-1]
	last.Type, last.Data = raft.LogConfiguration, []byte("configuration")
	golden.AssertFieldsSet(t, "log", last)
	entries = append(entries, &last)
	for i, entry := range entries {
		entry.Index = uint64(i) + 1
	}
	return entries
}

// writeStore writes a store with the golden entries, a term, a vote and a user value.
func writeStore(t *testing.T, dir string) {
	t.Helper()
	store := openIntactStore(t, dir)
	defer closeStore(t, store)
	for _, err := range []error{
		store.StoreLogs(goldenStoredEntries(t)), store.SetUint64([]byte("CurrentTerm"), 2),
		store.Set([]byte("LastVoteCand"), []byte("a")), store.SetUserValue("policy", goldenUserValue(t)),
	} {
		if err != nil {
			t.Fatalf("write golden content to the store: %v", err)
		}
	}
}

// openIntactStore opens a store and fails the test if it is corrupt.
func openIntactStore(t *testing.T, dir string) *Store {
	t.Helper()
	store, quarantined, err := OpenStore(dir)
	if err != nil || quarantined != "" {
		t.Fatalf("store in %s: got quarantined %q, %v, want an intact store", dir, quarantined, err)
	}
	return store
}

// closeStore closes a store and reports an error.
func closeStore(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Errorf("close store: %v", err)
	}
}

// listContent lists all keys and values of a store, by bucket.
func listContent(t *testing.T, store *Store) (lines []string) {
	t.Helper()
	if err := store.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				lines = append(lines, fmt.Sprintf("%s %q %q", bucket, k, v))
				return nil
			})
		})
	}); err != nil {
		t.Fatalf("list content of the store: %v", err)
	}
	return lines
}

// copyFixture returns a directory with a copy of the fixture store.db, because opening a store writes to its file.
func copyFixture(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storeFile), golden.Read(t, "store.db"), 0o600); err != nil {
		t.Fatalf("copy fixture store.db: %v", err)
	}
	return dir
}

// A store has the keys and values that earlier releases wrote, byte by byte. The layout of its pages may differ.
func TestStoreEncoding(t *testing.T) {
	dir := t.TempDir()
	writeStore(t, dir)
	if golden.Updating() {
		raw, err := os.ReadFile(filepath.Join(dir, storeFile))
		if err != nil {
			t.Fatalf("read the written store file: %v", err)
		}
		golden.Write(t, "store.db", raw)
	}
	written, stored := openIntactStore(t, dir), openIntactStore(t, copyFixture(t))
	defer closeStore(t, written)
	defer closeStore(t, stored)
	got, want := listContent(t, written), listContent(t, stored)
	if wantLen := len(goldenStoredEntries(t)) + 3; len(want) != wantLen {
		t.Errorf("values in the fixture: got %d, want %d", len(want), wantLen)
	}
	golden.AssertDecoded(t, "store.db", got, want)
	readStore(t, stored)
}

// readStore reads a store as raft and package policysync do, and compares the values with the golden ones.
func readStore(t *testing.T, store *Store) {
	t.Helper()
	for _, want := range goldenStoredEntries(t) {
		var entry raft.Log
		if err := store.GetLog(want.Index, &entry); err != nil {
			t.Fatalf("read entry %d of store.db: %v", want.Index, err)
		}
		entry.AppendedAt = entry.AppendedAt.UTC()
		golden.AssertDecoded(t, "entry of store.db", &entry, want)
	}
	term, termErr := store.GetUint64([]byte("CurrentTerm"))
	vote, voteErr := store.Get([]byte("LastVoteCand"))
	value, valueErr := store.UserValue("policy")
	if err := errors.Join(termErr, voteErr, valueErr); err != nil || term != 2 || string(vote) != "a" ||
		!bytes.Equal(value, goldenUserValue(t)) {
		t.Errorf("store.db: got term %d, vote %q, user value %q, %v, want 2, \"a\", %q", term, vote, value, err, goldenUserValue(t))
	}
}

// encodeResponse returns the body of an HTTP response with a value.
func encodeResponse(value any) ([]byte, error) {
	recorder := httptest.NewRecorder()
	WriteJSON(recorder, value)
	return recorder.Body.Bytes(), nil
}

// Requests and responses between servers are encoded as earlier releases send and read them.
func TestCallEncoding(t *testing.T) {
	golden.RoundTrip(t, "state.json", serverState{Established: true}, encodeResponse, json.Unmarshal)
	readmit := readmitRequest{Name: "b", Empty: true, Applied: 7}
	golden.RoundTrip(t, "readmission.json", readmit, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "status.json", Status{
		Role: "leader", Leader: "a", Term: 3, CommitIndex: 20, AppliedIndex: 19,
		Voters: []string{"a", "b"},
	}, json.Marshal, json.Unmarshal)
	steps := []quorum.Step{quorum.NoStep, quorum.Remove, quorum.AddLearner, quorum.CatchUp, quorum.Promote, quorum.Done}
	golden.RoundTrip(t, "steps.json", steps, encodeResponse, json.Unmarshal)
}
