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

// The store fulfils the contract of raft.LogStore and raft.StableStore, also after it was reopened.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	store, _, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	// hashicorp/raft recognizes a missing key by this text.
	if _, err := store.GetUint64([]byte("term")); err == nil || err.Error() != "not found" {
		t.Error(err)
	}
	if err := store.GetLog(1, &raft.Log{}); !errors.Is(err, raft.ErrLogNotFound) {
		t.Error(err)
	}
	var logs []*raft.Log
	for i := range uint64(10) {
		logs = append(logs, &raft.Log{Index: i + 1, Term: 2, Type: raft.LogCommand, Data: []byte{byte(i)}})
	}
	if err := errors.Join(store.StoreLogs(logs), store.SetUint64([]byte("term"), 7), store.PutUser("k", []byte("v")),
		store.DeleteRange(9, 10)); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	if store, _, err = OpenStore(dir); err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, store)
	checkReopened(t, store)
	if none, err := store.GetUser("other"); none != nil || err != nil {
		t.Errorf("%q, %v", none, err)
	}
}

// checkReopened reads what TestStore has written.
func checkReopened(t *testing.T, store *Store) {
	t.Helper()
	first, firstErr := store.FirstIndex()
	last, lastErr := store.LastIndex()
	if err := errors.Join(firstErr, lastErr); err != nil || first != 1 || last != 8 {
		t.Errorf("entries %d to %d, %v", first, last, err)
	}
	term, termErr := store.GetUint64([]byte("term"))
	kept, keptErr := store.GetUser("k")
	if err := errors.Join(termErr, keptErr); err != nil || term != 7 || string(kept) != "v" {
		t.Errorf("term %d, user value %q, %v", term, kept, err)
	}
	var entry raft.Log
	if err := store.GetLog(8, &entry); err != nil || entry.Data[0] != 7 {
		t.Errorf("%+v, %v", entry, err)
	}
}

// cutSnapshot takes a snapshot and truncates its file.
func cutSnapshot(t *testing.T, dir string, _ *Store) {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStore(dir, snapshotsRetained, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	sink, err := snapshots.Create(raft.SnapshotVersionMax, 5, 2, raft.Configuration{}, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = sink.Write([]byte("what was committed"))
	if err := errors.Join(err, sink.Close()); err != nil {
		t.Fatal(err)
	}
	state := filepath.Join(dir, snapshotsDir, sink.ID(), "state.bin")
	if err := os.Truncate(state, 5); err != nil {
		t.Fatal(err)
	}
}

// deleteEntries deletes entries as raft never does.
func deleteEntries(from, to uint64) func(*testing.T, string, *Store) {
	return func(t *testing.T, _ string, store *Store) {
		t.Helper()
		if err := store.DeleteRange(from, to); err != nil {
			t.Error(err)
		}
	}
}

// A corrupt store is set aside; one that is complete is opened.
func TestCorruptStore(t *testing.T) {
	for name, corrupt := range map[string]func(t *testing.T, dir string, store *Store){
		"a log is missing":           deleteEntries(3, 3),
		"the first logs are missing": deleteEntries(1, 2),
		"a snapshot is cut":          cutSnapshot,
		"":                           func(*testing.T, string, *Store) {},
	} {
		dir := t.TempDir()
		store, _, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(5) {
			if err := store.StoreLog(&raft.Log{Index: i + 1, Term: 1}); err != nil {
				t.Fatal(err)
			}
		}
		corrupt(t, dir, store)
		closeStore(t, store)
		store, aside, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		last, err := store.LastIndex()
		if err != nil {
			t.Error(err)
		}
		if (aside != "") != (name != "") || (last == 0) != (name != "") {
			t.Errorf("%q: aside %q, last log %d", name, aside, last)
		}
		closeStore(t, store)
	}
}

// A connection is accepted only between sides with the same key, and only for the kind that it names.
func TestHandshake(t *testing.T) {
	for name, test := range map[string]struct {
		kind         byte
		theirs, ours string
		passes       bool
	}{
		"no key":       {httpKind, "", "", true},
		"one key":      {raftKind, "0123456789abcdef", "0123456789abcdef", true},
		"other keys":   {raftKind, "0123456789abcdef", "0123456789abcdeF", false},
		"none here":    {httpKind, "0123456789abcdef", "", false},
		"unknown kind": {'x', "", "", false},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		shared := newMux(listener, []byte(test.theirs))
		from := shared.http
		if test.kind == raftKind {
			from = shared.raft
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		conn, err := dial(ctx, listener.Addr().String(), test.kind, []byte(test.ours))
		passed := false
		if err == nil {
			// Without a key, data goes out where the other side waits for a proof.
			_, _ = conn.Write([]byte("hello")) // the other side may have closed the connection
			select {
			case got := <-from:
				passed = true
				_ = got.Close() // nothing is read from it
			case <-time.After(200 * time.Millisecond):
			}
			_ = conn.Close() // the other side may have closed it
		}
		if passed != test.passes {
			t.Errorf("%s: passed %v, %v", name, passed, err)
		}
		cancel()
		shared.close()
	}
}
