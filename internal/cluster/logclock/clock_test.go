package logclock

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The log's time is the sum of the times that each leader measured, whatever the leaders' clocks show and however often
// the leader changes.
func TestClockSumsLeadersTimes(t *testing.T) {
	var clock Clock
	for _, entry := range []struct {
		name  string
		stamp Stamp
		want  Millis
	}{
		{"the first leader's first entry", Stamp{1, 5000}, 0},
		{"the first leader's second entry", Stamp{1, 5300}, 300},
		{"an entry with an earlier stamp", Stamp{1, 5200}, 300},
		{"the second leader's first entry", Stamp{2, 9e9}, 300},
		{"the second leader's second entry", Stamp{2, 9e9 + 50}, 350},
		{"the first leader again: the time between is not counted", Stamp{1, 5900}, 350},
		{"the first leader's next entry", Stamp{1, 6000}, 450},
		{"a third leader that has just started", Stamp{3, 0}, 450},
	} {
		if got := clock.Advance(entry.stamp); math.Abs(got-entry.want) > 1e-6 {
			t.Errorf("%s, stamp %v: got %v, want %v", entry.name, entry.stamp, got, entry.want)
		}
	}
	if got := clock.AdvanceTo(1.8e12); got != 1.8e12 || clock.Advance(Stamp{3, 10}) != 1.8e12+10 {
		t.Errorf("clock after an entry without a stamp at 1.8e12 and 10 ms more: got %+v, want 1.8e12+10", clock)
	}
}

// With leaders whose clocks differ by up to an hour from the real time and run fast or slow by up to a tenth, the log's
// time never exceeds the real time by more than a tenth. It lags behind by a tenth at most, and by the times between
// two leaders.
func TestClockStaysNearRealTime(t *testing.T) {
	for seed := range uint64(200) {
		checkRandomLeaders(t, seed)
	}
}

// checkRandomLeaders applies 500 entries of 5 leaders that change at random.
func checkRandomLeaders(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	type leader struct{ offset, rate Millis }
	leaders := make([]leader, 5)
	for i := range leaders {
		leaders[i] = leader{(random.Float64() - 0.5) * 7.2e6, 0.9 + 0.2*random.Float64()}
	}
	var clock Clock
	var now, started, lastEntry Millis // real time, from which the leaders' clocks differ
	var betweenLeaders Millis          // sum of the times between the last entry of a leader and the next leader's first
	current := 0
	for entry := range 500 {
		now += 100 * random.Float64()
		if entry == 0 {
			started = now
			lastEntry = now
		}
		if random.IntN(10) == 0 {
			if next := random.IntN(len(leaders)); next != current {
				betweenLeaders += now - lastEntry
				current = next
			}
		}
		before := clock.Now
		got := clock.Advance(Stamp{uint64(current + 1), leaders[current].offset + now*leaders[current].rate})
		elapsed := now - started
		if got < before || got > 1.1*elapsed+1e-3 || got < 0.9*(elapsed-betweenLeaders)-1e-3 {
			t.Fatalf("seed %d: got log time %v after %v, want about the real time %v, of which %v passed between leaders",
				seed, got, before, elapsed, betweenLeaders)
		}
		lastEntry = now
	}
}
