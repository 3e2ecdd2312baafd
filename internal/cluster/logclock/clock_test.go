package logclock

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The log's time is the sum of what each leader measured, whatever their clocks show and however often the leader
// changes.
func TestClock(t *testing.T) {
	var clock Clock
	for _, entry := range []struct {
		name  string
		stamp Stamp
		want  Millis
	}{
		{"the first leader's first entry", Stamp{1, 5000}, 0},
		{"its next", Stamp{1, 5300}, 300},
		{"one that was stamped before", Stamp{1, 5200}, 300},
		{"another leader continues from there", Stamp{2, 9e9}, 300},
		{"its next", Stamp{2, 9e9 + 50}, 350},
		{"the first one leads again: the time between is not counted", Stamp{1, 5900}, 350},
		{"its next", Stamp{1, 6000}, 450},
		{"a third leader that has just started", Stamp{3, 0}, 450},
	} {
		if got := clock.Advance(entry.stamp); math.Abs(got-entry.want) > 1e-6 {
			t.Errorf("%s, %v: %v, want %v", entry.name, entry.stamp, got, entry.want)
		}
	}
	if got := clock.AdvanceTo(1.8e12); got != 1.8e12 || clock.Advance(Stamp{3, 10}) != 1.8e12+10 {
		t.Errorf("after an entry without a stamp: %v", clock)
	}
}

// With leaders whose clocks are off by hours, or run fast or slow by a tenth, the log's time never exceeds the real
// time by more than a tenth, and lags behind it at most by a tenth and the time between two leaders.
func TestClockAtRandom(t *testing.T) {
	for seed := range uint64(200) {
		checkRandomLeaders(t, seed)
	}
}

func checkRandomLeaders(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	type leader struct{ offset, rate Millis }
	leaders := make([]leader, 5)
	for i := range leaders {
		leaders[i] = leader{(random.Float64() - 0.5) * 7.2e6, 0.9 + 0.2*random.Float64()}
	}
	var clock Clock
	var now, begun, last, betweenLeaders Millis // in real time
	current := 0
	for entry := range 500 {
		now += 100 * random.Float64()
		if entry == 0 {
			begun = now
			last = now
		}
		if random.IntN(10) == 0 {
			if next := random.IntN(len(leaders)); next != current {
				betweenLeaders += now - last
				current = next
			}
		}
		before := clock.Now
		got := clock.Advance(Stamp{uint64(current + 1), leaders[current].offset + now*leaders[current].rate})
		passed := now - begun
		if got < before || got > 1.1*passed+1e-3 || got < 0.9*(passed-betweenLeaders)-1e-3 {
			t.Fatalf("seed %d: %v by the log, %v passed, %v of it between leaders", seed, got, passed, betweenLeaders)
		}
		last = now
	}
}
