package raftlog

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// The store fulfils the contracts of raft.LogStore and raft.StableStore, and retains its content when it is reopened.
func TestStoreRetainsContent(t *testing.T) {
	dir := t.TempDir()
	store, _, err := OpenStore(dir)
	if err != nil {
		t.Fatalf("open new store: %v", err)
	}
	// hashicorp/raft recognizes a missing key by this text.
	if _, err := store.GetUint64([]byte("term")); err == nil || err.Error() != "not found" {
		t.Errorf("missing key: got %v, want \"not found\"", err)
	}
	if err := store.GetLog(1, &raft.Log{}); !errors.Is(err, raft.ErrLogNotFound) {
		t.Errorf("missing entry: got %v, want %v", err, raft.ErrLogNotFound)
	}
	var logs []*raft.Log
	for i := range uint64(10) {
		logs = append(logs, &raft.Log{Index: i + 1, Term: 2, Type: raft.LogCommand, Data: []byte{byte(i)}})
	}
	if err := errors.Join(store.StoreLogs(logs), store.SetUint64([]byte("term"), 7), store.SetUserValue("k", []byte("v")),
		store.DeleteRange(9, 10)); err != nil {
		t.Fatalf("write to the store: %v", err)
	}
	closeStore(t, store)
	if store, _, err = OpenStore(dir); err != nil {
		t.Fatalf("reopen store: %v", err)
	}
	defer closeStore(t, store)
	checkReopened(t, store)
	if none, err := store.UserValue("other"); none != nil || err != nil {
		t.Errorf("missing user value: got %q, %v, want none", none, err)
	}
}

// checkReopened checks the content that TestStoreRetainsContent has written.
func checkReopened(t *testing.T, store *Store) {
	t.Helper()
	first, firstErr := store.FirstIndex()
	last, lastErr := store.LastIndex()
	if err := errors.Join(firstErr, lastErr); err != nil || first != 1 || last != 8 {
		t.Errorf("entries: got %d to %d, %v, want 1 to 8", first, last, err)
	}
	term, termErr := store.GetUint64([]byte("term"))
	value, valueErr := store.UserValue("k")
	if err := errors.Join(termErr, valueErr); err != nil || term != 7 || string(value) != "v" {
		t.Errorf("reopened store: got term %d, user value %q, %v, want 7 and \"v\"", term, value, err)
	}
	var entry raft.Log
	if err := store.GetLog(8, &entry); err != nil || entry.Data[0] != 7 {
		t.Errorf("entry 8 of the reopened store: got %+v, %v, want data [7]", entry, err)
	}
}

// truncateSnapshot creates a snapshot and truncates its file.
func truncateSnapshot(t *testing.T, dir string, _ *Store) {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStore(dir, snapshotsRetained, os.Stderr)
	if err != nil {
		t.Fatalf("open snapshot store: %v", err)
	}
	sink, err := snapshots.Create(raft.SnapshotVersionMax, 5, 2, raft.Configuration{}, 1, nil)
	if err != nil {
		t.Fatalf("create snapshot: %v", err)
	}
	_, err = sink.Write([]byte("committed state"))
	if err := errors.Join(err, sink.Close()); err != nil {
		t.Fatalf("write snapshot: %v", err)
	}
	state := filepath.Join(dir, snapshotsDir, sink.ID(), "state.bin")
	if err := os.Truncate(state, 5); err != nil {
		t.Fatalf("truncate snapshot: %v", err)
	}
}

// deleteEntries returns a function that deletes entries which raft would not delete.
func deleteEntries(from, to uint64) func(*testing.T, string, *Store) {
	return func(t *testing.T, _ string, store *Store) {
		t.Helper()
		if err := store.DeleteRange(from, to); err != nil {
			t.Errorf("delete entries %d to %d: %v", from, to, err)
		}
	}
}

// A corrupt store is quarantined and an empty one is opened. An intact store is opened with its content.
func TestCorruptStoreIsQuarantined(t *testing.T) {
	const intact = "intact"
	for name, corrupt := range map[string]func(t *testing.T, dir string, store *Store){
		"entry missing":         deleteEntries(3, 3),
		"first entries missing": deleteEntries(1, 2),
		"snapshot truncated":    truncateSnapshot,
		intact:                  func(*testing.T, string, *Store) {},
	} {
		dir := t.TempDir()
		store, _, err := OpenStore(dir)
		if err != nil {
			t.Fatalf("%s: open new store: %v", name, err)
		}
		for i := range uint64(5) {
			if err := store.StoreLog(&raft.Log{Index: i + 1, Term: 1}); err != nil {
				t.Fatalf("%s: store entry %d: %v", name, i+1, err)
			}
		}
		corrupt(t, dir, store)
		closeStore(t, store)
		store, quarantined, err := OpenStore(dir)
		if err != nil {
			t.Fatalf("%s: reopen store: %v", name, err)
		}
		last, err := store.LastIndex()
		if err != nil {
			t.Errorf("%s: last index of the reopened store: %v", name, err)
		}
		if want := name != intact; (quarantined != "") != want || (last == 0) != want {
			t.Errorf("%s: got quarantined %q, last index %d, want quarantined and empty %v", name, quarantined, last, want)
		}
		closeStore(t, store)
	}
}

// A connection is accepted only if both sides have the same key or none, and only for the kind that it states.
func TestHandshakeRequiresSameKey(t *testing.T) {
	for name, test := range map[string]struct {
		kind                 byte
		serverKey, clientKey string
		wantAccepted         bool
	}{
		"no keys":                {httpKind, "", "", true},
		"same key":               {raftKind, "0123456789abcdef", "0123456789abcdef", true},
		"different keys":         {raftKind, "0123456789abcdef", "0123456789abcdeF", false},
		"client without the key": {httpKind, "0123456789abcdef", "", false},
		"unknown kind":           {'x', "", "", false},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("%s: listen: %v", name, err)
		}
		shared := newMux(listener, []byte(test.serverKey))
		from := shared.http
		if test.kind == raftKind {
			from = shared.raft
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		conn, err := dial(ctx, listener.Addr().String(), test.kind, []byte(test.clientKey))
		accepted := false
		if err == nil {
			// A client without a key sends data while the server waits for a proof.
			_, _ = conn.Write([]byte("hello")) // the server may have closed the connection
			select {
			case got := <-from:
				accepted = true
				_ = got.Close() // nothing is read from it
			case <-time.After(200 * time.Millisecond):
			}
			_ = conn.Close() // the server may have closed it
		}
		if accepted != test.wantAccepted {
			t.Errorf("%s: got accepted %v, %v, want %v", name, accepted, err, test.wantAccepted)
		}
		cancel()
		shared.close()
	}
}
