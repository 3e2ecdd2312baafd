package decision

import (
	"fmt"
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

// Guards against a client that invents tenants: an overload is seen all the same, the memory for the names is bounded, and
// listed tenants keep shares of their own.
func TestInventedTenantsDoNotHideOverload(t *testing.T) {
	const invented = 2000
	sim := start(t, releasedUpdate(8), func(s *Settings) { s.Tenants = []TenantID{"x"} })
	own := sim.balancer.load.tenantShare("x")
	for i := range invented {
		sim.lastID++
		class := sim.balancer.classes.ordered[i%3].Name
		tenant := TenantID(fmt.Sprint("invented-", i))
		if i%10 == 0 {
			tenant = "x"
		}
		sim.handle(RequestReceived{Request: sim.lastID, Class: class, Tenant: tenant, Remaining: 1000})
		sim.advance(20)
		if sim.attemptedAt(sim.lastID, 0) != "" {
			sim.endAttempt(sim.lastID, 0, Succeeded, 300)
		}
	}
	if limit := sim.balancer.load.totalLimit; limit >= 2 {
		t.Errorf("all responses slow: got total limit %v, want below 2", limit)
	}
	if got, want := len(sim.balancer.load.slowShares), len(sim.balancer.classes.ordered)+1+tenantGroupCount; got > want {
		t.Errorf("after %d tenants: got %d shares of slow responses, want at most %d", invented, got, want)
	}
	if sim.balancer.load.tenantShare("x") != own || sim.balancer.load.tenantShare("y") == own {
		t.Error("listed tenant: got the share of other tenants, want its own")
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
