package decision

import "math"

const (
	firstPollShare          = 0.25 // of PollWithin: the first poll is due within it
	pollWaitShare           = 0.25 // of PollWithin: no poll is taken to have waited longer
	minPollBackoffFactor    = 0.15 // applied twice to PollWithin: the shortest backoff
	pollSpreadHalfInstances = 20   // instances from which the first polls are spread over half of their time
)

// pollSchedule says when the endpoint list is polled, where it is polled at all (PollEndpoints).
type pollSchedule struct {
	nextAt  Millis
	lastAt  Millis
	backoff Millis // after a rejected poll; 0 after one that was answered
}

// scheduleFirstPoll draws the time of the first poll, so that the instances of a fleet that start together
// don't poll together.
func (b *Balancer) scheduleFirstPoll() {
	spread := 1 - pollSpreadHalfInstances/(pollSpreadHalfInstances+float64(b.settings.Instances))
	b.polling.nextAt = b.now + b.settings.PollWithin*firstPollShare*b.random.Next()*spread
}

// pollRejected backs off exponentially with jitter. The backoff starts from the time that the poll waited in
// the queue: a poll that waited in vain is served all the same, and polls repeated at once would fill the
// queue for good.
func (b *Balancer) pollRejected() {
	askWithin := b.settings.PollWithin
	waited := min(b.now-b.polling.lastAt, askWithin*pollWaitShare)
	shortest := askWithin * minPollBackoffFactor * minPollBackoffFactor
	b.polling.backoff = min(2*max(b.polling.backoff, waited, shortest), askWithin)
	b.polling.nextAt = b.now + b.polling.backoff*(1+b.random.Next())/2
}

// pollIfDue sends the next poll. None follows until that one is rejected.
func (b *Balancer) pollIfDue() {
	if !b.settings.PollEndpoints || b.now < b.polling.nextAt {
		return
	}
	b.polling.nextAt = math.Inf(1)
	b.polling.lastAt = b.now
	b.emit(WatchEndpoints{On: true})
}
