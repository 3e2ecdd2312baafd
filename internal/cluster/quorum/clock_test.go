package quorum

import (
	"math"
	"math/rand/v2"
	"testing"
)

// The log's time is what leaders measured, whatever their clocks say and however often they change.
func TestClock(t *testing.T) {
	var c Clock
	for i, s := range []struct {
		stamp Stamp
		want  Millis
	}{
		{Stamp{1, 5000}, 0}, // the first leader's reading says nothing
		{Stamp{1, 5300}, 300},
		{Stamp{1, 5200}, 300}, // behind a later one
		{Stamp{2, 9e9}, 300},  // another leader goes on from there
		{Stamp{2, 9e9 + 50}, 350},
		{Stamp{1, 5900}, 350}, // the first one leads again: what passed meanwhile was the other's to count
		{Stamp{1, 6000}, 450},
		{Stamp{3, 0}, 450},
	} {
		if got := c.Advance(s.stamp); math.Abs(got-s.want) > 1e-6 {
			t.Errorf("%d: %v, want %v", i, got, s.want)
		}
	}
	if got := c.AdvanceTo(1.8e12); got != 1.8e12 || c.Advance(Stamp{3, 10}) != 1.8e12+10 {
		t.Errorf("after an old entry: %v", c)
	}
}

// With leaders whose clocks are off by hours, or run fast or slow by a tenth, the log never counts more than a tenth too much,
// and what it misses is at most what lies between two leaders.
func TestClockAtRandom(t *testing.T) {
	for seed := range uint64(200) {
		chance := rand.New(rand.NewPCG(seed, 3))
		type leader struct{ offset, rate Millis }
		leaders := make([]leader, 5)
		for i := range leaders {
			leaders[i] = leader{(chance.Float64() - 0.5) * 7.2e6, 0.9 + 0.2*chance.Float64()}
		}
		var c Clock
		at, begun, between, lead, last := 0.0, 0.0, 0.0, 0, 0.0
		for n := range 500 {
			at += 100 * chance.Float64()
			if n == 0 {
				begun, last = at, at
			}
			if chance.IntN(10) == 0 {
				if next := chance.IntN(len(leaders)); next != lead {
					between, lead = between+at-last, next
				}
			}
			was := c.Now
			got := c.Advance(Stamp{uint64(lead + 1), leaders[lead].offset + at*leaders[lead].rate})
			passed := at - begun
			if got < was || got > 1.1*passed+1e-3 || got < 0.9*(passed-between)-1e-3 {
				t.Fatalf("seed %d: %v by the log, %v passed, %v of it between leaders", seed, got, passed, between)
			}
			last = at
		}
	}
}

func TestLeaderReading(t *testing.T) {
	k := LeaderReading{Stamp{7, 500}, 100_000}
	if got, ok := k.Deadline(101_000, 104_000); !ok || got != 4500 {
		t.Errorf("%v, %v", got, ok)
	}
	if _, ok := k.Deadline(110_001, 120_000); ok {
		t.Error("an old ticket is gone by")
	}
	if _, ok := (&LeaderReading{}).Deadline(0, 1); ok {
		t.Error("no ticket is gone by")
	}
}
