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
