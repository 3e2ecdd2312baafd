package raftlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/logclock"
)

// timesMachine records the log's time of each command.
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

// A stamped entry advances the log's time by what its leader measured since its last one, independent of the entry's
// wall clock. An entry without a stamp counts by its wall clock, so that what it granted expires when it was meant to.
func TestStampedEntries(t *testing.T) {
	p := &timesMachine{}
	machine := &fsm{machines: map[byte]StateMachine{'x': p}}
	day := time.Unix(1_700_000_000, 0)
	entry(machine, []byte("xold"), day)
	for i, s := range []logclock.Stamp{{Process: 5, Uptime: 100}, {Process: 5, Uptime: 350}, {Process: 6, Uptime: 9e6}} {
		got := entry(machine, prependStamp(s, []byte("xnew")), day.Add(time.Duration(i)*time.Hour))
		if string(got.([]byte)) != "new" {
			t.Errorf("the state machine got %q", got)
		}
	}
	base := 1.7e12
	if want := []logclock.Millis{base, base, base + 250, base + 250}; fmt.Sprint(p.times) != fmt.Sprint(want) {
		t.Errorf("at %v, want %v", p.times, want)
	}
	for _, corrupt := range []string{"t", "t12345678", "t12345678\x7f\xf8\x00\x00\x00\x00\x00\x01x"} {
		if got := entry(machine, []byte(corrupt), day); len(got.([]byte)) != 0 || len(p.times) != 4 {
			t.Errorf("%q: applied as %q", corrupt, got)
		}
	}
	snap, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	back := &fsm{machines: map[byte]StateMachine{'x': &timesMachine{}}}
	err = back.Restore(io.NopCloser(bytes.NewReader(snap.(snapshot))))
	if err != nil || back.logClock != machine.logClock {
		t.Errorf("%v: clock %+v, want %+v", err, back.logClock, machine.logClock)
	}
}

// A snapshot without a clock, from a release before stamps, starts the log's time at that of its state machines.
func TestOldSnapshot(t *testing.T) {
	raw := snapshot(appendChecksum([]byte{0x80})) // no state machine and no clock
	m := &fsm{machines: map[byte]StateMachine{'x': &timesMachine{time: 1.7e12}}}
	if err := m.Restore(io.NopCloser(bytes.NewReader(raw))); err != nil || m.logClock.Now != 1.7e12 {
		t.Errorf("%v: %+v", err, m.logClock)
	}
}

// A proposer follows a redirect at once; a redirect to a server that is down or no leader costs a turn.
func TestProposer(t *testing.T) {
	node := &Node{processID: 9, clock: clock.New()}
	serve := func(reply func(http.ResponseWriter, *http.Request)) string {
		s := httptest.NewServer(http.HandlerFunc(reply))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	requests := map[string]int{}
	follower := func(name, leader string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			requests[name]++
			w.Header().Set(leaderHeader, leader)
			http.Error(w, "does not lead", http.StatusServiceUnavailable)
		}
	}
	leader := func(w http.ResponseWriter, r *http.Request) {
		requests["c"]++
		s := node.stamp()
		w.Header().Set(clockHeader, fmt.Sprintf("%x:%.3f", s.Process, s.Uptime))
		late, known := node.expired(r.URL.Query().Get("process"), r.URL.Query().Get("until"))
		switch {
		case !known:
			http.Error(w, "by whose clock?", http.StatusConflict)
		case late:
			http.Error(w, "late", http.StatusGone)
		default:
			if _, err := io.WriteString(w, "done"); err != nil {
				t.Error(err)
			}
		}
	}
	for _, test := range []struct {
		name  string
		named string // by the first server
		asks  string
	}{
		{"it names the leader", "c", "map[a:1 c:2]"}, // twice, for its clock is not known at first
		{"it names one that is down", "d", "map[a:1 b:1 c:2]"},
		{"it names nobody", "", "map[a:1 b:1 c:2]"},
	} {
		clear(requests)
		servers := []Server{
			{"a", serve(follower("a", test.named))},
			{"b", serve(follower("b", "c"))},
			{"c", serve(leader)},
			{"d", "127.0.0.1:1"},
		}
		client := Client{Servers: servers, HTTP: &http.Client{}, ElectionTimeout: 50 * time.Millisecond, Clock: clock.New()}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		reply, err := client.propose(ctx, "", []byte("x"))
		if err != nil || string(reply) != "done" || fmt.Sprint(requests) != test.asks || client.readings.lastLeader() != "c" {
			t.Errorf("%s: %q, %v, asked %v", test.name, reply, err, requests)
		}
		clear(requests)
		_, err = client.propose(ctx, client.readings.lastLeader(), []byte("x"))
		if err != nil || fmt.Sprint(requests) != "map[c:1]" {
			t.Errorf("%s, again: %v, asked %v", test.name, err, requests)
		}
		cancel()
	}
}

// A proposal that a partition has delayed expires by the leader's own clock, independent of wall clocks.
func TestTooLate(t *testing.T) {
	n := &Node{processID: 9, clock: clock.New()}
	now := n.clock.Uptime()
	for _, test := range []struct {
		process, until string
		late, known    bool
	}{
		{"", "", false, true}, // no deadline
		{"9", fmt.Sprint(now + 60_000), false, true},
		{"9", fmt.Sprint(now - 1), true, true},
		{"8", fmt.Sprint(now + 60_000), false, false}, // another process's clock
		{"0", "0", false, false},
		{"9", "soon", false, false},
	} {
		if late, known := n.expired(test.process, test.until); late != test.late || known != test.known {
			t.Errorf("%+v: late %v, known %v", test, late, known)
		}
	}
}
