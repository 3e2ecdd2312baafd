package decision

import (
	"cmp"
	"math"
)

const (
	firstPollShare          = 0.25 // share of MaxPollInterval within which the first poll is sent
	pollWaitShare           = 0.25 // share of MaxPollInterval: upper bound for the assumed time of a poll in the queue
	minPollBackoffFactor    = 0.15 // the minimum backoff, without jitter, is twice MaxPollInterval times its square
	pollSpreadHalfInstances = 20   // instances at which the first polls are spread over half of their range
)

// PollResponseTime is the part of MaxNotificationDelay that is kept for the response to a poll. A higher value tolerates a
// slower service, for more polls while it does not respond.
const PollResponseTime Millis = 2500

// pollSchedule holds the times of polls for the endpoint list. It is used only with Settings.PollEndpoints.
type pollSchedule struct {
	nextAt  Millis // +Inf while no poll is due: one is in flight, or the list is watched
	lastAt  Millis // time of the newest poll
	backoff Millis // after the last rejected poll; 0 after an update of the endpoint list
}

// scheduleFirstPoll draws the time of the first poll, so that the instances of a fleet that start together do not
// poll at the same time.
func (b *Balancer) scheduleFirstPoll() {
	spread := 1 - pollSpreadHalfInstances/(pollSpreadHalfInstances+float64(b.settings.Instances))
	within := min(b.maxPollInterval()*firstPollShare, b.latestPoll(b.now)-b.now)
	b.polling.nextAt = b.now + within*b.random.Float64()*spread
}

// pollRejected schedules the next poll by exponential backoff with jitter, at the latest at latestPoll. The first
// backoff is at least the time that the rejected poll waited in the queue: the service still processes polls that have
// timed out, and polls repeated at once would keep the queue full. pollDuration is the time from the sending of the poll
// to its rejection, 0 if unknown.
//
// Two polls may be rejected one after the other, to the service at the address before a reload and to the one at the
// new address. The poll that is due earlier is kept.
func (b *Balancer) pollRejected(pollDuration Millis) {
	sentAt := b.polling.lastAt
	if pollDuration > 0 {
		sentAt = b.now - pollDuration
	}
	maxInterval := b.maxPollInterval()
	waited := min(b.now-sentAt, maxInterval*pollWaitShare)
	minBackoff := maxInterval * minPollBackoffFactor * minPollBackoffFactor
	b.polling.backoff = min(2*max(b.polling.backoff, waited, minBackoff), maxInterval)
	wait := max(0, min(b.polling.backoff, b.latestPoll(sentAt)-b.now))
	b.polling.nextAt = min(b.polling.nextAt, b.now+wait*(1+b.random.Float64())/2)
}

// maxPollInterval returns MaxPollInterval, or MaxNotificationDelay if that is not set: without any limit each poll would
// follow on the rejection of the one before.
func (b *Balancer) maxPollInterval() Millis {
	return cmp.Or(b.settings.MaxPollInterval, b.settings.MaxNotificationDelay)
}

// latestPoll returns the time by which another poll must be sent after one that was sent at sentAt and has no response.
// The service may have been reachable again right after sentAt. From then on, changes count as notified after
// MaxNotificationDelay, in which the next poll must get its response too.
func (b *Balancer) latestPoll(sentAt Millis) Millis {
	if b.settings.MaxNotificationDelay == 0 {
		return math.Inf(1)
	}
	return sentAt + b.settings.MaxNotificationDelay - PollResponseTime - b.tickInterval
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
