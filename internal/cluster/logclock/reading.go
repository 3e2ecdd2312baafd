package logclock

// readingTTL is how long a LeaderReading can be used, in milliseconds. Two clocks that run fast or slow by up to a
// tenth diverge by a fifth of readingTTL at most in that time.
const readingTTL Millis = 10_000

// LeaderReading is a reading of a leader's clock that a proposer has received. The zero value means no reading.
type LeaderReading struct {
	Stamp             // reading of the leader's clock when the leader wrote a response
	ReceivedAt Millis // reading of the proposer's own monotonic clock when it received that response
}

// Deadline returns the reading of the leader's clock after which a proposal must not be committed. now and end are
// readings of the proposer's own clock: the current one, and the one until which the proposer waits. Deadline returns
// false if there is no reading, or if it is older than readingTTL.
//
// The deadline guards against a proposal that is delayed by a network partition and committed minutes after its
// proposer was told of a failure. The leader took its reading before the proposer received it. So when the leader's
// clock shows the deadline, the proposer's clock shows end at the latest, apart from the difference in rate.
func (r *LeaderReading) Deadline(now, end Millis) (Millis, bool) {
	if r.Process == 0 || now-r.ReceivedAt > readingTTL {
		return 0, false
	}
	return r.Uptime + (end - r.ReceivedAt), true
}
