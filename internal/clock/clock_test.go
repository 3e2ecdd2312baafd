package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// The clock starts at the Unix time plus the offset and advances at the rate. Malformed parts are ignored.
func TestFromEnvSetsOffsetAndRate(t *testing.T) {
	for text, want := range map[string]struct {
		offset time.Duration
		rate   float64
	}{
		"":          {0, 1},
		"-1h 1.5":   {-time.Hour, 1.5},
		"250ms":     {250 * time.Millisecond, 1},
		"soon 2":    {0, 2},
		"1s -1":     {time.Second, 1},
		"1s faster": {time.Second, 1},
	} {
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				clock := fromEnv(text)
				start := float64(began.Add(want.offset).UnixMilli())
				if clock.Now() != start {
					t.Errorf("start: got %v, want %v", clock.Now(), start)
				}
				time.Sleep(time.Second)
				if passed := 1000 * want.rate; clock.Now() != start+passed || clock.Uptime() != passed {
					t.Errorf("after a second: got %v ms, uptime %v, want %v", clock.Now()-start, clock.Uptime(), passed)
				}
				if got := clock.Time(clock.Now()); !got.Equal(time.Now()) {
					t.Errorf("Time(Now()): got %v, want %v", got, time.Now())
				}
			})
		})
	}
}

func TestDuration(t *testing.T) {
	for ms, want := range map[float64]time.Duration{
		0: 0, 1: time.Millisecond, 0.25: 250 * time.Microsecond, -2: -2 * time.Millisecond, 1e12: 1e12 * time.Millisecond,
	} {
		if got := Duration(ms); got != want {
			t.Errorf("Duration(%v): got %v, want %v", ms, got, want)
		}
	}
}
