package decision

import (
	"math"
	"testing"
)

// After each rejection, the wait for the next poll grows, with jitter, up to MaxPollInterval.
func TestRejectedPollsBackOff(t *testing.T) {
	sim := start(t, StageUpdate{}, func(s *Settings) { s.PollEndpoints, s.MaxPollInterval = true, 8000 })
	var waits []Millis
	sim.advance(8000) // the first poll has been sent
	sim.handle(EndpointsChanged{Kind: Delta})
	sim.balancer.polling.lastAt = sim.now
	for range 9 {
		rejectedAt := sim.now
		sim.actions = nil
		sim.handle(EndpointsChanged{Kind: PollRejected})
		for len(sim.actions) == 0 || sim.actions[len(sim.actions)-1] != (WatchEndpoints{On: true}) {
			sim.advance(sim.balancer.tickInterval)
			if sim.now > rejectedAt+20000 {
				t.Fatal("got no poll within 20 s after a rejection, want one")
			}
		}
		waits = append(waits, sim.now-rejectedAt)
	}
	bounded := waits[8] >= 4000 && waits[8] <= 8000+sim.balancer.tickInterval
	if waits[0] < 100 || waits[3] < 2*waits[0] || !bounded || math.Abs(waits[8]-waits[7]) < 1e-9 {
		t.Errorf("got waits of %.0f ms, want them to double up to 4 to 8 s, with jitter", waits)
	}
	sim.handle(EndpointsChanged{Kind: Delta}) // the poll was not rejected
	rejectedAt := sim.now
	sim.handle(EndpointsChanged{Kind: PollRejected})
	if sim.balancer.polling.nextAt-rejectedAt > waits[8] {
		t.Errorf("got a wait of %.0f ms after a successful poll, want the backoff reset",
			sim.balancer.polling.nextAt-rejectedAt)
	}
}

// A rejected poll is followed by another one early enough for the response to that one to arrive MaxNotificationDelay after
// the rejected one was sent, however long the backoff and however late the rejection. A rejection that is processed
// later does not postpone it.
func TestPollAfterRejectionLeavesTimeToNotify(t *testing.T) {
	const maxDelay, latest = 6000, 6000 - PollResponseTime
	for _, duration := range []Millis{1, 1000, 3000, 9000} {
		sim := start(t, StageUpdate{}, func(s *Settings) {
			s.PollEndpoints, s.MaxPollInterval, s.MaxNotificationDelay = true, 40000, maxDelay
		})
		sim.advance(latest)
		for range 9 {
			sentAt := sim.now
			sim.advance(duration)
			rejectedAt := sim.now
			sim.handle(EndpointsChanged{Kind: PollRejected, PollDuration: duration})
			dueAt := sim.balancer.polling.nextAt
			if limit := max(sentAt+latest-sim.balancer.tickInterval, rejectedAt); dueAt > limit {
				t.Errorf("poll rejected after %.0f ms: got the next one after %.0f ms, want at most %.0f",
					duration, dueAt-rejectedAt, limit-rejectedAt)
			}
			sim.handle(EndpointsChanged{Kind: PollRejected, PollDuration: 1})
			if again := sim.balancer.polling.nextAt; again > dueAt {
				t.Errorf("second rejection: got the next poll after %.0f ms, want %.0f as before it", again-rejectedAt, dueAt-rejectedAt)
			}
			sim.advance(max(0, dueAt-sim.now) + sim.balancer.tickInterval)
			if !math.IsInf(sim.balancer.polling.nextAt, 1) {
				t.Errorf("poll due at %.0f ms: got none until %.0f ms, want one", dueAt, sim.now)
			}
		}
	}
}
