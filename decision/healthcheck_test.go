package decision

import (
	"testing"
)

// While many requests miss their latency objective, a request is sent to the first endpoint whose health check is as
// fast as at an idle endpoint, or after three checks to the fastest of these. Without responses to the checks, the
// endpoint is chosen by the other observations.
func TestHealthChecksFindIdleEndpoint(t *testing.T) {
	for _, test := range []struct {
		name      string
		missed    float64  // share of attempts that may have run and failed or were late
		durations []Millis // durations of the health checks; negative: no response
		checks    int      // health checks before the attempt
	}{
		{"few misses", 0.01, nil, 0},
		{"idle", 0.3, []Millis{1}, 1},
		{"busy, then idle", 0.3, []Millis{3, 1}, 2},
		{"all busy", 0.3, []Millis{3, 2, 4}, 3},
		{"no response", 0.3, []Millis{-1, -1, -1}, 3},
	} {
		sim := start(t, releasedUpdate(8),
			func(s *Settings) { s.HealthChecksAllowed, s.HealthCheckPrice = true, 0.01 })
		sim.balancer.checks.missedShare, sim.balancer.checks.idleDuration = test.missed, [2]Millis{1, 1}
		sim.request("read", "")
		checks, best, shortest := 0, EndpointID(""), Millis(99)
		for i := 0; i < len(sim.actions); i++ {
			check, ok := sim.actions[i].(StartHealthCheck)
			if !ok {
				continue
			}
			duration := test.durations[checks]
			if checks++; duration > 0 {
				if duration < shortest {
					best, shortest = check.Endpoint, duration
				}
				sim.handle(HealthCheckEnded{Endpoint: check.Endpoint, Outcome: Succeeded, After: duration})
			}
			sim.now += 2 * sim.balancer.settings.ClockGranularity
			sim.handle(TimerFired{Token: checkTimerToken})
		}
		if to := sim.attemptedAt(1, 0); to == "" || best != "" && to != best || checks != test.checks {
			t.Errorf("%s: got %d health checks, fastest at %q, and the attempt at %q, want %d checks and an attempt there",
				test.name, checks, best, to, test.checks)
		}
	}
}

// A fast health check at an endpoint with busy cores does not mean that the endpoint is idle. The reported utilisation
// raises the ratio to that of a queue, 1/(1-utilisation).
func TestReportedUtilisationRaisesHealthCheckRatio(t *testing.T) {
	for _, test := range []struct {
		utilisation float64 // reported utilisation; -1: none
		idle        bool    // the ratio is that of an idle endpoint
	}{{-1, true}, {0.1, true}, {0.5, false}, {0.95, false}} {
		sim := start(t, releasedUpdate(8), nil)
		sim.balancer.checks.idleDuration = [2]Millis{1, 1}
		sim.handle(HealthCheckEnded{
			Endpoint: "a1", Outcome: Succeeded, After: 1, Load: &Load{Utilisation: test.utilisation, Queue: -1},
		})
		if endpoint := sim.balancer.endpoints.byID["a1"]; (endpoint.healthCheckRatio <= idleRatio) != test.idle {
			t.Errorf("%+v: got health check ratio %v, want one of an idle endpoint: %v", test,
				endpoint.healthCheckRatio, test.idle)
		}
	}
}
