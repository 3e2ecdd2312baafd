package decision_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"ottershed/decision"
	"ottershed/internal/golden"
)

const (
	seedCount           = 72
	eventsPerCheckpoint = 1000
	checkpointsPerSeed  = 10
)

var goldenFile = filepath.Join("testdata", "streams.txt")

// TestStreamsMatchGolden runs an instance in the simulated environment of each seed. At each checkpoint it compares a
// hash of all actions, status and evidence so far with the golden file. A change that keeps the behaviour keeps all
// hashes. A change of behaviour on purpose rewrites them with -update.
func TestStreamsMatchGolden(t *testing.T) {
	lines := make([][]string, seedCount)
	want := readGolden(t)
	t.Run("seeds", func(t *testing.T) {
		for seed := range lines {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				lines[seed] = checkpointLines(seed)
				if !golden.Updating() {
					compareLines(t, lines[seed], want)
				}
			})
		}
	})
	if golden.Updating() {
		writeGolden(t, lines)
	}
}

// readGolden returns the hashes of the golden file by the start of their lines, which names seed and checkpoint. With
// -update it returns nil.
func readGolden(t *testing.T) map[string]string {
	t.Helper()
	if golden.Updating() {
		return nil
	}
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatalf("read the golden file: %v", err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(data)) {
		checkpoint, hash, _ := strings.Cut(strings.TrimSpace(line), ": ")
		want[checkpoint] = hash
	}
	if len(want) != seedCount*checkpointsPerSeed {
		t.Fatalf("%s has %d checkpoints, want %d", goldenFile, len(want), seedCount*checkpointsPerSeed)
	}
	return want
}

// compareLines fails the test at the first checkpoint whose hash differs.
func compareLines(t *testing.T, got []string, want map[string]string) {
	t.Helper()
	for _, line := range got {
		checkpoint, hash, _ := strings.Cut(line, ": ")
		if want[checkpoint] != hash {
			t.Fatalf("%s: first difference, got hash %s, want %q", checkpoint, hash, want[checkpoint])
		}
	}
}

// writeGolden writes the lines of all seeds to the golden file.
func writeGolden(t *testing.T, lines [][]string) {
	t.Helper()
	var out strings.Builder
	for _, seedLines := range lines {
		for _, line := range seedLines {
			out.WriteString(line + "\n")
		}
	}
	if err := os.WriteFile(goldenFile, []byte(out.String()), 0o644); err != nil {
		t.Fatalf("write the golden file: %v", err)
	}
}

// checkpointLines runs the simulation of a seed and returns one line per checkpoint.
func checkpointLines(seed int) (lines []string) {
	s := newSimulation(uint64(seed), checkpointsPerSeed*eventsPerCheckpoint)
	enc := encoder{xxhash.New()}
	s.observe = func(now decision.Millis, _ decision.Event, actions []decision.Action) {
		enc.actions(s.eventCount, now, actions)
		if s.eventCount%eventsPerCheckpoint == 0 {
			enc.status(s.instance.Status())
			enc.evidence(s.instance.Evidence())
			lines = append(lines,
				fmt.Sprintf("seed %d checkpoint %d: %016x", seed, s.eventCount/eventsPerCheckpoint, enc.hash.Sum64()))
		}
	}
	s.run()
	return lines
}

// encoder writes values to a hash. The encoding does not depend on the names of types and fields. Its fixed texts are
// part of the hashes in the golden file, so they stay when a type is renamed.
type encoder struct{ hash *xxhash.Digest }

func (e encoder) text(s string) {
	e.integer(len(s))
	_, _ = e.hash.WriteString(s) // never fails
}

func (e encoder) integer(i int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i))
	_, _ = e.hash.Write(b[:])
}

func (e encoder) floats(values ...float64) {
	for _, v := range values {
		e.integer(int(math.Float64bits(v)))
	}
}

func (e encoder) boolean(b bool) {
	if b {
		e.integer(1)
	} else {
		e.integer(0)
	}
}

// actions writes the actions that result from one event.
func (e encoder) actions(number int, now decision.Millis, actions []decision.Action) {
	if len(actions) == 0 {
		return
	}
	e.integer(number)
	e.floats(now)
	for _, a := range actions {
		e.action(a)
	}
}

// action writes one action: a fixed text for its type, and its fields in order.
func (e encoder) action(action decision.Action) {
	switch action := action.(type) {
	case decision.StartAttempt:
		e.text("forward")
		e.integer(int(action.Request))
		e.text(string(action.Endpoint))
		e.floats(action.Timeout, action.SendBy)
	case decision.Reject:
		e.text("bounce")
		e.integer(int(action.Request))
		e.floats(action.RetryAfter)
	case decision.Fail:
		e.text("fail")
		e.integer(int(action.Request))
	case decision.Cancel:
		e.text("cancel")
		e.integer(int(action.Request))
		e.integer(action.Attempt)
	case decision.WakeAt:
		e.text("wake")
		e.integer(int(action.Token))
		e.floats(action.At)
	case decision.StartHealthCheck:
		e.text("probe")
		e.text(string(action.Endpoint))
	case decision.CloseIdleConnections:
		e.text("close idle")
		e.text(string(action.Endpoint))
	case decision.SendToPeer:
		e.text("tell")
		e.integer(int(action.To))
		e.boolean(action.All)
		e.text(string(action.Data))
	case decision.Log: // its text is not hashed and may change
		e.text("log")
	case decision.WatchEndpoints:
		e.text("watch")
		e.boolean(action.On)
	case decision.RequestSnapshot:
		e.text("lookup")
	case decision.Vote:
		e.text("vote")
		e.integer(int(action.Build))
		e.integer(action.Stage)
		e.integer(int(action.Verdict))
	default:
		panic("unknown type of action: add its encoding here")
	}
}

// status writes the status of an instance.
func (e encoder) status(s decision.Status) {
	e.text("sight")
	for _, i := range []int{
		s.Serving, s.WarmingUp, s.Unavailable, s.InFlight, s.Queued, int(s.Build), s.Stage, int(s.Phase),
		int(s.Verdict), s.Rejections,
	} {
		e.integer(i)
	}
	e.floats(s.Outcomes, s.FailureEvidence)
}

// evidence writes the evidence of an instance.
func (e encoder) evidence(v decision.Evidence, inTrial bool) {
	e.text("evidence")
	e.boolean(inTrial)
	e.integer(int(v.Build))
	e.integer(v.Stage)
	e.integer(len(v.Classes))
	for _, g := range v.Classes {
		e.text(string(g.Class))
		e.integer(len(g.Baseline))
		e.floats(g.Baseline...)
		e.integer(len(g.Candidate))
		e.floats(g.Candidate...)
	}
	e.integer(len(v.Counts))
	for _, c := range v.Counts {
		e.text(string(c.Endpoint))
		e.integer(int(c.Build))
		e.text(string(c.Class))
		e.floats(c.Succeeded, c.Failed)
	}
}

// recordedEvent is an event of a stream with its time.
type recordedEvent struct {
	at    decision.Millis
	event decision.Event
}

// BenchmarkStreams replays the recorded events of a few seeds to a new instance and reports the time per event.
func BenchmarkStreams(b *testing.B) {
	for _, seed := range []uint64{0, 3, 5, 6, 8} {
		b.Run(fmt.Sprint("seed", seed), func(b *testing.B) {
			s := newSimulation(seed, checkpointsPerSeed*eventsPerCheckpoint)
			settings := s.settings
			var stream []recordedEvent
			s.observe = func(now decision.Millis, event decision.Event, _ []decision.Action) {
				stream = append(stream, recordedEvent{now, event})
			}
			s.run()
			replay(b, settings, seed, stream)
		})
	}
}

// replay passes the events of one stream to a new instance, as often as the benchmark asks for.
func replay(b *testing.B, settings decision.Settings, seed uint64, stream []recordedEvent) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		instance := decision.New(settings, seed)
		for _, r := range stream {
			instance.Handle(r.at, r.event)
		}
	}
	events := float64(b.N) * float64(len(stream))
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/events, "ns/event")
}
