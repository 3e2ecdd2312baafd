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

// timeRecorder is a state machine that records the log's time of each command.
type timeRecorder struct {
	times []logclock.Millis
	time  logclock.Millis
}

func (r *timeRecorder) Apply(_ uint64, at logclock.Millis, command []byte) []byte {
	r.times, r.time = append(r.times, at), at
	return command
}
func (r *timeRecorder) Snapshot() ([]byte, error) { return []byte("s"), nil }
func (r *timeRecorder) Restore([]byte) error      { return nil }
func (r *timeRecorder) LogTime() logclock.Millis  { return r.time }

// applyEntry applies an entry with a wall-clock time.
func applyEntry(m *fsm, data []byte, at time.Time) any {
	return m.Apply(&raft.Log{Type: raft.LogCommand, Data: data, AppendedAt: at})
}

// A stamped entry advances the log's time by the time that its leader measured since its previous entry, independent of
// the entry's wall clock. An entry without a stamp advances the log's time to its wall clock, so that leases granted by
// it expire at the intended time. An entry with an invalid stamp is not applied.
func TestLogTimeFollowsStamps(t *testing.T) {
	recorder := &timeRecorder{}
	machine := &fsm{machines: map[byte]StateMachine{'x': recorder}}
	wallClock := time.Unix(1_700_000_000, 0)
	applyEntry(machine, []byte("xold"), wallClock)
	for i, s := range []logclock.Stamp{{Process: 5, Uptime: 100}, {Process: 5, Uptime: 350}, {Process: 6, Uptime: 9e6}} {
		got := applyEntry(machine, prependStamp(s, []byte("xnew")), wallClock.Add(time.Duration(i)*time.Hour))
		if string(got.([]byte)) != "new" {
			t.Errorf("stamp %+v: got command %q, want \"new\"", s, got)
		}
	}
	base := 1.7e12
	if want := []logclock.Millis{base, base, base + 250, base + 250}; fmt.Sprint(recorder.times) != fmt.Sprint(want) {
		t.Errorf("log's time at each command: got %v, want %v", recorder.times, want)
	}
	for _, corrupt := range []string{"t", "t12345678", "t12345678\x7f\xf8\x00\x00\x00\x00\x00\x01x"} {
		if got := applyEntry(machine, []byte(corrupt), wallClock); len(got.([]byte)) != 0 || len(recorder.times) != 4 {
			t.Errorf("corrupt entry %q: got reply %q and %d commands applied, want none and 4",
				corrupt, got, len(recorder.times))
		}
	}
	snap, err := machine.Snapshot()
	if err != nil {
		t.Fatalf("snapshot of the state machine: %v", err)
	}
	restored := &fsm{machines: map[byte]StateMachine{'x': &timeRecorder{}}}
	err = restored.Restore(io.NopCloser(bytes.NewReader(snap.(snapshot))))
	if err != nil || restored.logClock != machine.logClock {
		t.Errorf("restored clock: got %+v, %v, want %+v", restored.logClock, err, machine.logClock)
	}
}

// A snapshot without a clock, from a release before stamps, starts the log's time at that of its state machines.
func TestSnapshotWithoutClockUsesStateMachines(t *testing.T) {
	raw := snapshot(appendChecksum([]byte{0x80})) // no state machine and no clock
	m := &fsm{machines: map[byte]StateMachine{'x': &timeRecorder{time: 1.7e12}}}
	if err := m.Restore(io.NopCloser(bytes.NewReader(raw))); err != nil || m.logClock.Now != 1.7e12 {
		t.Errorf("restored clock: got %+v, error %v, want Now 1.7e12 and no error", m.logClock, err)
	}
}

// A proposer follows a redirect at once. After a redirect to a server that is down or no leader, it tries the servers
// in turn. The next proposal goes to the last leader.
func TestProposerFollowsRedirects(t *testing.T) {
	node := &Node{processID: 9, clock: clock.New()}
	serve := func(handler func(http.ResponseWriter, *http.Request)) string {
		s := httptest.NewServer(http.HandlerFunc(handler))
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
		late, usable := node.expired(r.URL.Query().Get("process"), r.URL.Query().Get("until"))
		switch {
		case !usable:
			http.Error(w, "deadline by another clock", http.StatusConflict)
		case late:
			http.Error(w, "deadline passed", http.StatusGone)
		default:
			if _, err := io.WriteString(w, "done"); err != nil {
				t.Errorf("write the leader's reply: %v", err)
			}
		}
	}
	for _, test := range []struct {
		name     string
		redirect string // the leader that server a names
		requests string // number of requests to each server
	}{
		{"redirect to the leader", "c", "map[a:1 c:2]"}, // two requests to c, because its clock is not known at first
		{"redirect to a server that is down", "d", "map[a:1 b:1 c:2]"},
		{"no redirect", "", "map[a:1 b:1 c:2]"},
	} {
		clear(requests)
		servers := []Server{
			{"a", serve(follower("a", test.redirect))},
			{"b", serve(follower("b", "c"))},
			{"c", serve(leader)},
			{"d", "127.0.0.1:1"},
		}
		client := Client{Servers: servers, HTTP: &http.Client{}, ElectionTimeout: 50 * time.Millisecond, Clock: clock.New()}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		reply, err := client.propose(ctx, "", []byte("x"))
		if err != nil || string(reply) != "done" || fmt.Sprint(requests) != test.requests ||
			client.readings.lastLeader() != "c" {
			t.Errorf("%s: got reply %q, %v, requests %v, leader %q, want \"done\", requests %s, leader \"c\"",
				test.name, reply, err, requests, client.readings.lastLeader(), test.requests)
		}
		clear(requests)
		_, err = client.propose(ctx, client.readings.lastLeader(), []byte("x"))
		if err != nil || fmt.Sprint(requests) != "map[c:1]" {
			t.Errorf("%s, second proposal: got %v, requests %v, want map[c:1]", test.name, err, requests)
		}
		cancel()
	}
}

// A proposal that was delayed by a partition expires by the leader's own clock, independent of wall clocks.
func TestProposalExpiresByLeadersClock(t *testing.T) {
	n := &Node{processID: 9, clock: clock.New()}
	now := n.clock.Uptime()
	for _, test := range []struct {
		process, until string
		wantLate       bool
		wantUsable     bool
	}{
		{"", "", false, true}, // no deadline
		{"9", fmt.Sprint(now + 60_000), false, true},
		{"9", fmt.Sprint(now - 1), true, true},
		{"8", fmt.Sprint(now + 60_000), false, false}, // another process's clock
		{"0", "0", false, false},
		{"9", "soon", false, false},
	} {
		if late, usable := n.expired(test.process, test.until); late != test.wantLate || usable != test.wantUsable {
			t.Errorf("process %q, until %q: got late %v, usable %v, want %v, %v",
				test.process, test.until, late, usable, test.wantLate, test.wantUsable)
		}
	}
}
