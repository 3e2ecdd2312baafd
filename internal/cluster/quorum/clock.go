package quorum

// Millis is a time or a span in milliseconds.
type Millis = float64

// Stamp is what a leader writes on an entry: which process it is, and how long that has run by its monotonic clock.
type Stamp struct {
	Process uint64 `msgpack:"Process"` // drawn at each start
	Uptime  Millis `msgpack:"Ran"`
}

// Clock is the log's time. It moves only by what one leader measured between two entries of its own; a new leader goes on
// from where the log stands. So no machine's wall clock enters it, and none is compared with another's. What passes between
// the last entry of one leader and the first of the next is not counted: time in the log may lag behind, never run ahead but
// by as much as a leader's clock runs fast. All servers that applied the same entries have the same time.
type Clock struct {
	Now  Millis `msgpack:"Now"`
	Last Stamp  `msgpack:"Last"`
}

// Pass takes the stamp of the next entry and returns the log's time at it.
func (c *Clock) Advance(s Stamp) Millis {
	// Danger: stamps are written before entries find their order; one that comes behind a later one takes nothing back.
	if s.Process == c.Last.Process && s.Uptime <= c.Last.Uptime {
		return c.Now
	}
	if s.Process == c.Last.Process {
		c.Now += s.Uptime - c.Last.Uptime
	}
	c.Last = s
	return c.Now
}

// Old takes the wall-clock time of an entry from before entries had stamps, Unix milliseconds: only so is what was kept by it
// still in force, for as long as it was meant to be.
func (c *Clock) AdvanceTo(unix Millis) Millis {
	c.Now = max(c.Now, unix)
	return c.Now
}

// Ticket is what a proposer knows of a leader's clock: its reading as the answer was written that came by then.
type LeaderReading struct {
	Stamp
	ReceivedAt Millis // by the proposer's own monotonic clock, when that answer had come
}

// ticketLife is how long a ticket is gone by: two clocks that each run a tenth fast or slow are apart by a fifth of it at most.
const readingTTL = 10_000.0

// Until is the leader's reading after which a proposal is too late, for a proposer that waits until end by its own clock;
// false: the ticket is too old for that. Danger: a proposal that a cut holds up comes minutes later, when its proposer has
// long been told that it failed. The leader's reading can't be later than this as the proposer gives up, for it counts
// from when the answer had come, and it was written before.
func (r *LeaderReading) Deadline(now, end Millis) (Millis, bool) {
	if r.Process == 0 || now-r.ReceivedAt > readingTTL {
		return 0, false
	}
	return r.Uptime + (end - r.ReceivedAt), true
}
