// Package clock is the one clock of a marshal: Unix time at its start, counted on by the monotonic clock, so that
// the start times of nodes and all waits compare.
package clock

import (
	"os"
	"ottershed/decision"
	"strconv"
	"strings"
	"time"
)

// Clock tells the time in fractional milliseconds.
type Clock struct {
	start time.Time
	unix  decision.Millis
	rate  float64 // of the monotonic clock; 1 but in the lab
}

// LabEnv is the lab's switch for processes with clocks that lie: "OFFSET RATE", such as "-1h 1.1". It is not one of the
// service's users: a rate touches the readings of this clock alone, not timers and deadlines.
const TestbedEnv = "OTTERSHED_LAB_CLOCK"

// New makes a clock that starts now.
func New() *Clock { return fromEnv(os.Getenv(TestbedEnv)) }

// lab makes the clock that the lab's switch describes; what can't be read is passed over.
func fromEnv(text string) *Clock {
	now := time.Now()
	c := &Clock{start: now, unix: float64(now.UnixMicro()) / 1000, rate: 1}
	offset, rate, _ := strings.Cut(text, " ")
	if d, err := time.ParseDuration(offset); err == nil {
		c.unix += float64(d) / float64(time.Millisecond)
	}
	if r, err := strconv.ParseFloat(rate, 64); err == nil && r > 0 {
		c.rate = r
	}
	return c
}

// Ran is how long the clock has run.
func (c *Clock) Uptime() decision.Millis { return c.Now() - c.unix }

// Now is the present time.
func (c *Clock) Now() decision.Millis {
	return c.unix + c.rate*float64(time.Since(c.start))/float64(time.Millisecond)
}

// Time is the moment of at, for deadlines of sockets.
func (c *Clock) Time(at decision.Millis) time.Time {
	return c.start.Add(Duration((at - c.unix) / c.rate))
}

// Span is a length of time.
func Duration(ms decision.Millis) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
