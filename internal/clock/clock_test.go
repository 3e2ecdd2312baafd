package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// The clock starts at Unix time with the offset and advances at the rate; what can't be read changes nothing.
func TestFromEnv(t *testing.T) {
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
					t.Errorf("starts at %v, want %v", clock.Now(), start)
				}
				time.Sleep(time.Second)
				if passed := 1000 * want.rate; clock.Now() != start+passed || clock.Uptime() != passed {
					t.Errorf("%v after a second, uptime %v, want %v", clock.Now()-start, clock.Uptime(), passed)
				}
				if moment := clock.Time(clock.Now()); !moment.Equal(time.Now()) {
					t.Errorf("now is the moment %v, want %v", moment, time.Now())
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
			t.Errorf("%v ms: %v, want %v", ms, got, want)
		}
	}
}
