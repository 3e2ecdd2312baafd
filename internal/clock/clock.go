// Package clock provides the clock of an instance. The clock starts at the Unix time of the process start and advances
// with the monotonic clock. So start times of endpoints, which are Unix times, can be compared with its readings, and
// later changes of the system time have no effect.
//
// [New] returns the clock of a process. [Duration] converts milliseconds, the unit of the module, to the unit of the
// standard library.
package clock

import (
	"os"
	"strconv"
	"strings"
	"time"

	"ottershed/decision"
)

// Clock reads the time in fractional milliseconds. Its methods are safe for concurrent use.
type Clock struct {
	start time.Time       // includes a reading of the monotonic clock
	unix  decision.Millis // Unix time at start
	rate  float64         // milliseconds of this clock per millisecond of the monotonic clock; 1 except in a testbed
}

// TestbedEnv is the environment variable by which the testbed starts processes with a wrong clock. Its value is "OFFSET
// RATE", such as "-1h 1.1". It is not meant for operators: the rate changes only the readings of this clock, not timers
// and socket deadlines.
const TestbedEnv = "OTTERSHED_LAB_CLOCK"

// New returns a clock that starts now, with the offset and rate of TestbedEnv if that is set.
func New() *Clock { return fromEnv(os.Getenv(TestbedEnv)) }

// fromEnv returns the clock that a value of TestbedEnv describes. It ignores an offset or rate that is malformed, and a
// rate that is not positive.
func fromEnv(envValue string) *Clock {
	now := time.Now()
	c := &Clock{start: now, unix: float64(now.UnixMicro()) / 1000, rate: 1}
	offset, rate, _ := strings.Cut(envValue, " ")
	if d, err := time.ParseDuration(offset); err == nil {
		c.unix += float64(d) / float64(time.Millisecond)
	}
	if r, err := strconv.ParseFloat(rate, 64); err == nil && r > 0 {
		c.rate = r
	}
	return c
}

// Uptime returns the time since the clock was created, as this clock measures it: with the rate of the testbed.
func (c *Clock) Uptime() decision.Millis { return c.Now() - c.unix }

// Now returns the current Unix time.
func (c *Clock) Now() decision.Millis {
	return c.Reading(time.Now())
}

// Reading converts a time.Time with a monotonic reading to a reading of this clock.
func (c *Clock) Reading(t time.Time) decision.Millis {
	return c.unix + c.rate*float64(t.Sub(c.start))/float64(time.Millisecond)
}

// Time converts a reading of this clock to a time.Time for socket deadlines. It compensates for the offset and rate of
// the testbed.
func (c *Clock) Time(reading decision.Millis) time.Time {
	return c.start.Add(Duration((reading - c.unix) / c.rate))
}

// Duration converts milliseconds to a time.Duration, truncated to whole nanoseconds.
func Duration(ms decision.Millis) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) decision.Millis { return float64(d) / float64(time.Millisecond) }
