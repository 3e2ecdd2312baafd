package logclock

// readingTTL is how long a LeaderReading can be used, in milliseconds. Two clocks that each run a tenth fast or slow
// differ by a fifth of it at most.
const readingTTL Millis = 10_000

// LeaderReading is what a proposer knows of a leader's clock. The zero value is no reading.
type LeaderReading struct {
	Stamp             // the leader's clock when it wrote a response
	ReceivedAt Millis // when that response had arrived, by the proposer's own monotonic clock
}

// Deadline returns the leader's reading after which a proposal must not be committed, for a proposer that waits until
// end by its own clock; false where the reading is too old or there is none.
//
// It guards against a proposal that a network partition delays and that is committed minutes after its proposer was
// notified of a failure. The leader wrote its reading before the proposer received it, so when the leader's clock shows
// the deadline, the proposer's clock shows end at the latest, but for the difference in rate.
func (r *LeaderReading) Deadline(now, end Millis) (Millis, bool) {
	if r.Process == 0 || now-r.ReceivedAt > readingTTL {
		return 0, false
	}
	return r.Uptime + (end - r.ReceivedAt), true
}
