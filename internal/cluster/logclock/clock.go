// Package logclock implements the clock of a replicated log, which shows the same time at all servers and is
// independent of their wall clocks. It has no I/O. A Clock is not safe for concurrent use.
//
// A leader adds a [Stamp] to each entry. Each server advances its [Clock] by the stamps of the entries that it applies.
// A proposer uses a [LeaderReading] to set a deadline after which its proposal must not be committed.
//
//	clock.go    the clock and the stamps that advance it
//	reading.go  deadlines by the clock of a leader
package logclock

// Millis is a time or a duration in milliseconds.
type Millis = float64

// The msgpack tags below are names in stored entries and snapshots. They must not change when fields are renamed.

// Stamp is a reading of a leader's clock.
type Stamp struct {
	Process uint64 `msgpack:"Process"` // random ID of the leader's process, drawn at its start; 0: no reading
	Uptime  Millis `msgpack:"Ran"`     // time since that start, by a monotonic clock
}

// Clock is the clock of a log. All servers that have applied the same entries have the same time.
//
// The clock advances by the difference between two successive stamps of the same process; with the first stamp of a new
// leader it stands still. Readings of two machines are never compared. The time between the last entry of one leader
// and the first of the next is not counted: the log's time may lag behind real time, and runs ahead of it only as far
// as a leader's clock runs fast. It never goes back.
type Clock struct {
	Now  Millis `msgpack:"Now"`  // the log's time
	Last Stamp  `msgpack:"Last"` // stamp of the last entry that advanced the clock or came from another process
}

// Advance advances the clock by the stamp of the next entry, and returns the log's time at that entry.
func (c *Clock) Advance(stamp Stamp) Millis {
	if stamp.Process != c.Last.Process {
		c.Last = stamp
		return c.Now
	}
	// A stamp is written before its entry gets its place in the log, so an earlier stamp can follow a later one. The clock
	// must not go back then.
	if stamp.Uptime <= c.Last.Uptime {
		return c.Now
	}
	c.Now += stamp.Uptime - c.Last.Uptime
	c.Last = stamp
	return c.Now
}

// AdvanceTo advances the clock to the wall-clock time of an entry without a stamp, in Unix milliseconds, unless the
// clock is past that time, and returns the log's time. Earlier releases wrote such entries. A duration that started
// with such an entry, for example of a lease, keeps its length.
func (c *Clock) AdvanceTo(unix Millis) Millis {
	c.Now = max(c.Now, unix)
	return c.Now
}
