package decision

import "math"

const (
	firstPollShare          = 0.25 // share of MaxPollInterval within which the first poll is sent
	pollWaitShare           = 0.25 // share of MaxPollInterval: upper bound for the assumed time of a poll in the queue
	minPollBackoffFactor    = 0.15 // the minimum backoff, without jitter, is twice MaxPollInterval times its square
	pollSpreadHalfInstances = 20   // instances at which the first polls are spread over half of their range
)

// pollSchedule holds the times of polls for the endpoint list. It is used only with Settings.PollEndpoints.
type pollSchedule struct {
	nextAt  Millis // +Inf while a poll is in flight or the list is watched
	lastAt  Millis // time of the newest poll
	backoff Millis // after the last rejected poll; 0 after an update of the endpoint list
}

// scheduleFirstPoll draws the time of the first poll, so that the instances of a fleet that start together do not
// poll at the same time.
func (b *Balancer) scheduleFirstPoll() {
	spread := 1 - pollSpreadHalfInstances/(pollSpreadHalfInstances+float64(b.settings.Instances))
	b.polling.nextAt = b.now + b.settings.MaxPollInterval*firstPollShare*b.random.Float64()*spread
}

// pollRejected schedules the next poll by exponential backoff with jitter. The first backoff is at least the time
// that the rejected poll waited in the queue: the service still processes polls that have timed out, and polls
// repeated at once would keep the queue full.
func (b *Balancer) pollRejected() {
	maxInterval := b.settings.MaxPollInterval
	waited := min(b.now-b.polling.lastAt, maxInterval*pollWaitShare)
	minBackoff := maxInterval * minPollBackoffFactor * minPollBackoffFactor
	b.polling.backoff = min(2*max(b.polling.backoff, waited, minBackoff), maxInterval)
	b.polling.nextAt = b.now + b.polling.backoff*(1+b.random.Float64())/2
}

// pollIfDue sends the next poll when it is due. Another poll follows only after a rejection. Without
// Settings.PollEndpoints it does nothing.
func (b *Balancer) pollIfDue() {
	if !b.settings.PollEndpoints || b.now < b.polling.nextAt {
		return
	}
	b.polling.nextAt = math.Inf(1)
	b.polling.lastAt = b.now
	b.emit(WatchEndpoints{On: true})
}
