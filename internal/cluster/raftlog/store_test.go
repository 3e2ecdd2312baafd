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

// The store does as raft asks of one, over a restart too.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	s, _, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.GetUint64([]byte("term")); err == nil || err.Error() != "not found" {
		t.Error(err)
	}
	if err := s.GetLog(1, &raft.Log{}); !errors.Is(err, raft.ErrLogNotFound) {
		t.Error(err)
	}
	var logs []*raft.Log
	for i := range uint64(10) {
		logs = append(logs, &raft.Log{Index: i + 1, Term: 2, Type: raft.LogCommand, Data: []byte{byte(i)}})
	}
	if err := errors.Join(s.StoreLogs(logs), s.SetUint64([]byte("term"), 7), s.PutUser("k", []byte("v")),
		s.DeleteRange(9, 10)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if s, _, err = OpenStore(dir); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	term, err := s.GetUint64([]byte("term"))
	kept, _ := s.GetUser("k")
	var l raft.Log
	if gerr := s.GetLog(8, &l); gerr != nil || err != nil || first != 1 || last != 8 || term != 7 || string(kept) != "v" || l.Data[0] != 7 {
		t.Errorf("%d to %d, term %d, kept %q, %+v, %v %v", first, last, term, kept, l, gerr, err)
	}
	if none, err := s.GetUser("other"); none != nil || err != nil {
		t.Errorf("%q, %v", none, err)
	}
}

// A torn store is set aside whole, whatever is torn; a sound one is opened.
func TestCorruptStore(t *testing.T) {
	for name, tear := range map[string]func(t *testing.T, dir string, s *Store){
		"a log is missing": func(t *testing.T, _ string, s *Store) {
			if err := s.DeleteRange(3, 3); err != nil {
				t.Error(err)
			}
		},
		"the first logs are missing": func(t *testing.T, _ string, s *Store) {
			if err := s.DeleteRange(1, 2); err != nil {
				t.Error(err)
			}
		},
		"a snapshot is cut": func(t *testing.T, dir string, _ *Store) {
			snaps, err := raft.NewFileSnapshotStore(dir, snapshotsRetained, os.Stderr)
			if err != nil {
				t.Fatal(err)
			}
			sink, err := snaps.Create(raft.SnapshotVersionMax, 5, 2, raft.Configuration{}, 1, nil)
			if err != nil {
				t.Fatal(err)
			}
			sink.Write([]byte("what was committed"))
			sink.Close()
			state := filepath.Join(dir, snapshotsDir, sink.ID(), "state.bin")
			if err := os.Truncate(state, 5); err != nil {
				t.Fatal(err)
			}
		},
		"": func(*testing.T, string, *Store) {},
	} {
		dir := t.TempDir()
		s, _, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(5) {
			if err := s.StoreLog(&raft.Log{Index: i + 1, Term: 1}); err != nil {
				t.Fatal(err)
			}
		}
		tear(t, dir, s)
		s.Close()
		s, aside, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		last, _ := s.LastIndex()
		if (aside != "") != (name != "") || (last == 0) != (name != "") {
			t.Errorf("%q: aside %q, last log %d", name, aside, last)
		}
		s.Close()
	}
}

// A connection passes only between sides that have the same key, and only for what it says it is for.
func TestHandshake(t *testing.T) {
	for name, tc := range map[string]struct {
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
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := newMux(l, []byte(tc.theirs))
		from := m.http
		if tc.kind == raftKind {
			from = m.raft
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		c, err := dial(ctx, l.Addr().String(), tc.kind, []byte(tc.ours))
		passed := false
		if err == nil {
			c.Write([]byte("hello")) // one without a key is found out by what it sends next
			c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			select {
			case got := <-from:
				passed = true
				got.Close()
			case <-time.After(200 * time.Millisecond):
			}
			c.Close()
		}
		if passed != tc.passes {
			t.Errorf("%s: passed %v, %v", name, passed, err)
		}
		cancel()
		m.close()
	}
}
