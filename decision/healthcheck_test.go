package decision

import (
	"testing"
)

// While many requests miss their objective, a request goes to the first endpoint whose health check returns
// as from an idle one, after three checks to the best of them. Without responses it goes by what is known.
func TestHealthChecksFindIdleEndpoint(t *testing.T) {
	for _, test := range []struct {
		name   string
		missed float64
		takes  []Millis // durations of the health checks; below 0: no response
		checks int
	}{
		{"little missed", 0.01, nil, 0},
		{"idle", 0.3, []Millis{1}, 1},
		{"busy, then idle", 0.3, []Millis{3, 1}, 2},
		{"all busy", 0.3, []Millis{3, 2, 4}, 3},
		{"no response", 0.3, []Millis{-1, -1, -1}, 3},
	} {
		sim := start(t, releasedUpdate(8),
			func(s *Settings) { s.HealthChecksAllowed, s.HealthCheckPrice = true, 0.01 })
		sim.balancer.checks.missedShare, sim.balancer.checks.idleDuration = test.missed, [2]Millis{1, 1}
		sim.request("read", "")
		checks, best, at := 0, EndpointID(""), Millis(99)
		for i := 0; i < len(sim.actions); i++ {
			p, ok := sim.actions[i].(StartHealthCheck)
			if !ok {
				continue
			}
			took := test.takes[checks]
			if checks++; took > 0 {
				if took < at {
					best, at = p.Endpoint, took
				}
				sim.handle(HealthCheckEnded{Endpoint: p.Endpoint, Outcome: Succeeded, After: took})
			}
			sim.now += 2 * sim.balancer.settings.ClockGranularity
			sim.handle(TimerFired{Token: 1})
		}
		if to := sim.attemptedAt(1, 0); to == "" || best != "" && to != best || checks != test.checks {
			t.Errorf("%s: %d health checks, best %q, sent to %q", test.name, checks, best, to)
		}
	}
}

// A health check that returns at once from an endpoint with busy cores finds no idle endpoint: the reported
// utilization counts as the slowdown of a queue, 1/(1-utilization).
func TestReportedUtilizationRaisesHealthCheckRatio(t *testing.T) {
	for _, test := range []struct {
		use  float64 // -1: not reported
		idle bool
	}{{-1, true}, {0.1, true}, {0.5, false}, {0.95, false}} {
		sim := start(t, releasedUpdate(8), nil)
		sim.balancer.checks.idleDuration = [2]Millis{1, 1}
		sim.handle(HealthCheckEnded{
			Endpoint: "a1", Outcome: Succeeded, After: 1, Load: &Load{Util: test.use, Queue: -1},
		})
		if endpoint := sim.balancer.endpoints.byID["a1"]; (endpoint.healthCheckRatio <= slowRatio) != test.idle {
			t.Errorf("%+v: ratio %v", test, endpoint.healthCheckRatio)
		}
	}
}
