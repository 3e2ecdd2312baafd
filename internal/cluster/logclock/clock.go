// Package logclock is the time of a replicated log, which is the same at all servers and which no machine's wall clock
// enters. It is free of I/O; a Clock is not safe for concurrent use.
//
// A leader puts a [Stamp] on each entry; each server advances its [Clock] by the stamps of the entries that it applies.
// A proposer uses a [LeaderReading] to limit how long its proposal may be committed.
//
//	clock.go    the clock and the stamps that move it
//	reading.go  deadlines by the clock of a leader
package logclock

// Millis is a time or a duration in milliseconds.
type Millis = float64

// The msgpack tags below name the parts in entries and snapshots. They stay whatever the fields are called.

// Stamp is a reading of a leader's clock.
type Stamp struct {
	Process uint64 `msgpack:"Process"` // drawn at random when the process starts; 0: none
	Uptime  Millis `msgpack:"Ran"`     // since that start, by a monotonic clock
}

// Clock is the log's time. All servers that have applied the same entries have the same time.
//
// The clock moves only by the difference of two stamps of the same process that follow one another; a new leader
// continues from where the log stands. Readings of two machines are never compared. The time between the last entry of
// one leader and the first of the next is not counted: the log's time may lag behind real time, and runs ahead of it
// only as far as a leader's clock runs fast. It never goes back.
type Clock struct {
	Now  Millis `msgpack:"Now"`
	Last Stamp  `msgpack:"Last"` // of the last entry that moved the clock or changed the process
}

// Advance moves the clock by the stamp of the next entry, and returns the log's time at that entry.
func (c *Clock) Advance(stamp Stamp) Millis {
	if stamp.Process != c.Last.Process {
		c.Last = stamp
		return c.Now
	}
	// Stamps are written before entries get their order in the log. One that comes behind a later one moves nothing back.
	if stamp.Uptime <= c.Last.Uptime {
		return c.Now
	}
	c.Now += stamp.Uptime - c.Last.Uptime
	c.Last = stamp
	return c.Now
}

// AdvanceTo moves the clock to the wall-clock time of an entry without a stamp, Unix milliseconds, unless it is past
// that. Earlier releases wrote such entries; a duration that began with one of them keeps its length.
func (c *Clock) AdvanceTo(unix Millis) Millis {
	c.Now = max(c.Now, unix)
	return c.Now
}
