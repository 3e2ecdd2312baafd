package decision

import (
	"testing"
)

// While most responses of every class and tenant are slow, the total concurrency limit falls. Slow
// responses of one tenant are no overload.
func TestOverloadLowersTotalLimit(t *testing.T) {
	for _, test := range []struct {
		slow    map[TenantID]bool
		limited bool
	}{{nil, false}, {map[TenantID]bool{"x": true}, false}, {map[TenantID]bool{"x": true, "y": true}, true}} {
		sim := start(t, releasedUpdate(8), nil)
		for i := range 80 {
			who := TenantID("xy"[i%2 : i%2+1])
			sim.lastID++
			class := sim.balancer.classes.ordered[i%3].Name
			sim.handle(RequestReceived{Request: sim.lastID, Class: class, Tenant: who, TTL: 1000})
			sim.advance(20)
			if after := 20.0; sim.attemptedAt(sim.lastID, 0) != "" {
				if test.slow[who] {
					after = 300
				}
				sim.endAttempt(sim.lastID, 0, Succeeded, after)
			}
		}
		if (sim.balancer.load.limit < 2) != test.limited {
			t.Errorf("slow %v: limit %v", test.slow, sim.balancer.load.limit)
		}
	}
}

// The total concurrency limit does not fall below one attempt. Unresponsive attempts that ended after they
// were counted must not keep it there, for the instance would reject every request from then on.
func TestTotalLimitRecoversAfterUnresponsiveAttempts(t *testing.T) {
	sim := start(t, releasedUpdate(8), nil)
	req, _ := sim.request("read", "")
	sim.balancer.load.slowShare, sim.balancer.load.unresponsive = 1, 3
	for _, s := range sim.balancer.load.slowShares {
		*s = 1
	}
	sim.endAttempt(req, 0, Succeeded, 1000)
	sim.advance(sim.balancer.tickInterval) // counts the unresponsive ones again
	if _, to := sim.request("read", ""); sim.balancer.load.limit > 1 || to == "" {
		t.Errorf("limit %v, the next request went to %q", sim.balancer.load.limit, to)
	}
}
