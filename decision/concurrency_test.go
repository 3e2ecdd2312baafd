package decision

import (
	"testing"
)

// The total concurrency limit falls while most responses of every class and tenant are slow. Slow responses of only one
// tenant are no sign of overload.
func TestOverloadLowersTotalLimit(t *testing.T) {
	for _, test := range []struct {
		slow    map[TenantID]bool
		limited bool // the total limit falls below 2
	}{{nil, false}, {map[TenantID]bool{"x": true}, false}, {map[TenantID]bool{"x": true, "y": true}, true}} {
		sim := start(t, releasedUpdate(8), nil)
		for i := range 80 {
			tenant := TenantID("xy"[i%2 : i%2+1])
			sim.lastID++
			class := sim.balancer.classes.ordered[i%3].Name
			sim.handle(RequestReceived{Request: sim.lastID, Class: class, Tenant: tenant, Remaining: 1000})
			sim.advance(20)
			if after := 20.0; sim.attemptedAt(sim.lastID, 0) != "" {
				if test.slow[tenant] {
					after = 300
				}
				sim.endAttempt(sim.lastID, 0, Succeeded, after)
			}
		}
		if (sim.balancer.load.totalLimit < 2) != test.limited {
			t.Errorf("slow tenants %v: got total limit %v, want below 2 only if all tenants are slow", test.slow,
				sim.balancer.load.totalLimit)
		}
	}
}

// A cut of the total concurrency limit must leave room for the next attempt, also if the count of unresponsive attempts
// is outdated because some of them have ended since. Otherwise the instance would reject every request from then on.
func TestTotalLimitRecoversAfterUnresponsiveAttempts(t *testing.T) {
	sim := start(t, releasedUpdate(8), nil)
	req, _ := sim.request("read", "")
	sim.balancer.load.slowShare, sim.balancer.load.unresponsive = 1, 3
	for _, share := range sim.balancer.load.slowShares {
		*share = 1
	}
	sim.endAttempt(req, 0, Succeeded, 1000)
	sim.advance(sim.balancer.tickInterval) // counts the unresponsive attempts again
	if _, to := sim.request("read", ""); sim.balancer.load.totalLimit > 1 || to == "" {
		t.Errorf("got total limit %v and next attempt at %q, want at most 1 and an attempt",
			sim.balancer.load.totalLimit, to)
	}
}
