// Package clock is the one clock of an instance: Unix time at its start, advanced by the monotonic clock. So the
// start times of endpoints, which are Unix time, and all waits compare, and a change of the system's time has no
// effect.
//
// New makes the clock of a process; Duration turns the module's milliseconds into the standard library's unit.
package clock

import (
	"os"
	"strconv"
	"strings"
	"time"

	"ottershed/decision"
)

// Clock tells the time in fractional milliseconds. Its methods may be called from any goroutine.
type Clock struct {
	start time.Time       // with the monotonic clock's reading
	unix  decision.Millis // at start, Unix time
	rate  float64         // milliseconds of this clock in one of the monotonic clock; 1 but in a testbed
}

// TestbedEnv is the environment variable with which the testbed starts processes whose clocks are wrong: "OFFSET
// RATE", such as "-1h 1.1". It is not meant for operators: the rate changes the readings of this clock alone, not
// timers and deadlines.
const TestbedEnv = "OTTERSHED_LAB_CLOCK"

// New makes a clock that starts now.
func New() *Clock { return fromEnv(os.Getenv(TestbedEnv)) }

// fromEnv makes the clock that the value of TestbedEnv describes; a part that can't be read is ignored.
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

// Uptime is the time since the clock was made.
func (c *Clock) Uptime() decision.Millis { return c.Now() - c.unix }

// Now is the present Unix time.
func (c *Clock) Now() decision.Millis {
	return c.unix + c.rate*float64(time.Since(c.start))/float64(time.Millisecond)
}

// Time is the moment of a reading of this clock, for deadlines of sockets.
func (c *Clock) Time(at decision.Millis) time.Time {
	return c.start.Add(Duration((at - c.unix) / c.rate))
}

// Duration is a length of time in the unit of the standard library, cut off to whole nanoseconds.
func Duration(ms decision.Millis) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
