package raftlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/logclock"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// timesPart notes the log's time of each command.
type timesMachine struct {
	times []logclock.Millis
	time  logclock.Millis
}

func (p *timesMachine) Apply(_ uint64, at logclock.Millis, command []byte) []byte {
	p.times, p.time = append(p.times, at), at
	return command
}
func (p *timesMachine) Snapshot() ([]byte, error) { return []byte("s"), nil }
func (p *timesMachine) Restore([]byte) error      { return nil }
func (p *timesMachine) LogTime() logclock.Millis  { return p.time }

func entry(m *fsm, data []byte, at time.Time) any {
	return m.Apply(&raft.Log{Type: raft.LogCommand, Data: data, AppendedAt: at})
}

// The time of a stamped entry is what its leader measured since its last one, whatever the wall clock on the entry says. An
// entry from before there were stamps counts by its wall clock, so that what it granted lapses when it was meant to.
func TestStampedEntries(t *testing.T) {
	p := &timesMachine{}
	m := &fsm{machines: map[byte]StateMachine{'x': p}}
	day := time.Unix(1_700_000_000, 0)
	entry(m, []byte("xold"), day)
	for i, s := range []logclock.Stamp{{Process: 5, Uptime: 100}, {Process: 5, Uptime: 350}, {Process: 6, Uptime: 9e6}} {
		if got := entry(m, prependStamp(s, []byte("xnew")), day.Add(time.Duration(i)*time.Hour)); string(got.([]byte)) != "new" {
			t.Errorf("the part got %q", got)
		}
	}
	base := 1.7e12
	if want := []logclock.Millis{base, base, base + 250, base + 250}; fmt.Sprint(p.times) != fmt.Sprint(want) {
		t.Errorf("at %v, want %v", p.times, want)
	}
	for _, torn := range []string{"t", "t12345678", "t12345678\x7f\xf8\x00\x00\x00\x00\x00\x01x"} {
		if got := entry(m, []byte(torn), day); len(got.([]byte)) != 0 || len(p.times) != 4 {
			t.Errorf("%q: taken as %q", torn, got)
		}
	}
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	back := &fsm{machines: map[byte]StateMachine{'x': &timesMachine{}}}
	if err := back.Restore(io.NopCloser(bytes.NewReader(snap.(snapshot)))); err != nil || back.logClock != m.logClock {
		t.Errorf("%v: clock %+v, want %+v", err, back.logClock, m.logClock)
	}
}

// A snapshot from before there were stamps has no clock: what its parts kept goes on.
func TestOldSnapshot(t *testing.T) {
	raw := snapshot(appendChecksum([]byte{0x80})) // no part and no clock
	m := &fsm{machines: map[byte]StateMachine{'x': &timesMachine{time: 1.7e12}}}
	if err := m.Restore(io.NopCloser(bytes.NewReader(raw))); err != nil || m.logClock.Now != 1.7e12 {
		t.Errorf("%v: %+v", err, m.logClock)
	}
}

// A proposer goes to whom the asked one names, at once; one that only claims to know, or is gone, costs a turn.
func TestProposer(t *testing.T) {
	n := &Node{processID: 9, clock: clock.New()}
	serve := func(reply func(http.ResponseWriter, *http.Request)) string {
		s := httptest.NewServer(http.HandlerFunc(reply))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	asked := map[string]int{}
	follower := func(name, leader string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			asked[name]++
			w.Header().Set(leaderHeader, leader)
			http.Error(w, "does not lead", http.StatusServiceUnavailable)
		}
	}
	leads := func(w http.ResponseWriter, r *http.Request) {
		asked["c"]++
		s := n.stamp()
		w.Header().Set(clockHeader, fmt.Sprintf("%x:%.3f", s.Process, s.Uptime))
		late, known := n.expired(r.URL.Query().Get("process"), r.URL.Query().Get("until"))
		switch {
		case !known:
			http.Error(w, "by whose clock?", http.StatusConflict)
		case late:
			http.Error(w, "late", http.StatusGone)
		default:
			io.WriteString(w, "done")
		}
	}
	for _, tc := range []struct {
		name  string
		named string // by the first server
		asks  string
	}{
		{"it names the leader", "c", "map[a:1 c:2]"}, // twice, for its clock is not known at first
		{"it names one that is gone", "d", "map[a:1 b:1 c:2]"},
		{"it names nobody", "", "map[a:1 b:1 c:2]"},
	} {
		clear(asked)
		servers := []Server{
			{"a", serve(follower("a", tc.named))},
			{"b", serve(follower("b", "c"))},
			{"c", serve(leads)},
			{"d", "127.0.0.1:1"},
		}
		p := Client{Servers: servers, HTTP: &http.Client{}, ElectionTimeout: 50 * time.Millisecond, Clock: clock.New()}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		reply, err := p.propose(ctx, "", []byte("x"))
		if err != nil || string(reply) != "done" || fmt.Sprint(asked) != tc.asks || p.readings.lastLeader() != "c" {
			t.Errorf("%s: %q, %v, asked %v", tc.name, reply, err, asked)
		}
		clear(asked)
		if _, err = p.propose(ctx, p.readings.lastLeader(), []byte("x")); err != nil || fmt.Sprint(asked) != "map[c:1]" {
			t.Errorf("%s, again: %v, asked %v", tc.name, err, asked)
		}
		cancel()
	}
}

// A proposal that a cut held up comes too late by the leader's own clock; no wall clock has a say.
func TestTooLate(t *testing.T) {
	n := &Node{processID: 9, clock: clock.New()}
	now := n.clock.Uptime()
	for _, tc := range []struct {
		process, until string
		late, known    bool
	}{
		{"", "", false, true}, // it waits for ever
		{"9", fmt.Sprint(now + 60_000), false, true},
		{"9", fmt.Sprint(now - 1), true, true},
		{"8", fmt.Sprint(now + 60_000), false, false}, // another process's clock
		{"0", "0", false, false},
		{"9", "soon", false, false},
	} {
		if late, known := n.expired(tc.process, tc.until); late != tc.late || known != tc.known {
			t.Errorf("%+v: late %v, known %v", tc, late, known)
		}
	}
}
