package decision

import (
	"math"
	"testing"
)

// After each rejection the next poll waits longer, with jitter, up to the bound of the settings.
func TestRejectedPollsBackOff(t *testing.T) {
	sim := start(t, StageUpdate{}, func(s *Settings) { s.PollEndpoints, s.PollWithin = true, 8000 })
	var waits []Millis
	sim.advance(8000) // the first poll was sent
	sim.handle(EndpointsChanged{Kind: Delta})
	sim.balancer.polling.lastAt = sim.now
	for range 9 {
		rejectedAt := sim.now
		sim.actions = nil
		sim.handle(EndpointsChanged{Kind: PollRejected})
		for len(sim.actions) == 0 || sim.actions[len(sim.actions)-1] != (WatchEndpoints{On: true}) {
			sim.advance(sim.balancer.tickInterval)
			if sim.now > rejectedAt+20000 {
				t.Fatal("never polled again")
			}
		}
		waits = append(waits, sim.now-rejectedAt)
	}
	bounded := waits[8] >= 4000 && waits[8] <= 8000+sim.balancer.tickInterval
	if waits[0] < 100 || waits[3] < 2*waits[0] || !bounded || math.Abs(waits[8]-waits[7]) < 1e-9 {
		t.Errorf("waits of %.0f ms", waits)
	}
	sim.handle(EndpointsChanged{Kind: Delta}) // the poll was accepted
	rejectedAt := sim.now
	sim.handle(EndpointsChanged{Kind: PollRejected})
	if sim.balancer.polling.nextAt-rejectedAt > waits[8] {
		t.Errorf("waits %.0f ms after a poll that was accepted", sim.balancer.polling.nextAt-rejectedAt)
	}
}
