package decision

import (
	"testing"
)

// The request that tests an endpoint after its ejection time is not migrated at once. Otherwise the endpoint could
// never respond, and its ejection would not end.
func TestProbeOfEjectedEndpointIsNotMigrated(t *testing.T) {
	sim := start(t, releasedUpdate(8), nil)
	sim.replaceEndpoints(newEndpoint("a2", 8))
	sim.balancer.eject(sim.balancer.endpoints.byID["a2"])
	sim.advance(300)
	req, to := sim.request("read", "")
	sim.advance(60)
	sim.endAttempt(req, 0, Succeeded, 60)
	if to != "a2" || sim.balancer.endpoints.byID["a2"].ejections != 0 {
		t.Errorf("got attempt at %q and %d ejections, want a2 and 0", to, sim.balancer.endpoints.byID["a2"].ejections)
	}
	for _, a := range sim.actions {
		if _, ok := a.(Cancel); ok {
			t.Error("got the attempt cancelled, want it in flight")
		}
	}
}

// While endpoints refuse connections at once, idle connections are closed, so that other instances can connect. A
// handshake that times out is no refusal, and closing connections would only cause more handshakes.
func TestRefusedConnectionsCloseIdleOnes(t *testing.T) {
	for _, test := range []struct {
		after  Millis // duration of the attempt
		closes bool
	}{{0.5, true}, {250, false}} {
		sim := start(t, releasedUpdate(8), nil)
		for i := range 20 {
			sim.advance(100)
			req, to := sim.request("read", "")
			if i%4 == 0 && to != "" {
				sim.endAttempt(req, 0, Unreachable, test.after)
			}
			sim.respond("", 20)
		}
		closed := 0
		for _, a := range sim.actions {
			if _, ok := a.(CloseIdleConnections); ok {
				closed++
			}
		}
		if (closed > 0) != test.closes {
			t.Errorf("unreachable after %v ms: got %d closures of idle connections, want some only after refusals at once",
				test.after, closed)
		}
	}
}

// A malformed response does not eject the endpoint. The request is retried only if it may run twice.
func TestMalformedResponseEjectsNoEndpoint(t *testing.T) {
	for _, test := range []struct {
		class    ClassName
		attempts int
		last     string
	}{{"read", 2, ""}, {"mark", 2, ""}, {"pay", 1, "fail"}} {
		sim := start(t, releasedUpdate(8), nil)
		req, id := sim.request(test.class, "")
		sim.endAttempt(req, 0, MalformedResponse, 50)
		_, last := sim.responses(req)
		if last != test.last || (sim.attemptedAt(req, 1) != "") != (test.attempts == 2) {
			t.Errorf("%s: got response %q and retry at %q, want %q and %d attempts", test.class, last,
				sim.attemptedAt(req, 1), test.last, test.attempts)
		}
		endpoint := sim.balancer.endpoints.byID[id]
		ejected := endpoint.ejections != 0 || endpoint.ejectedUntil > sim.now
		weight := sim.balancer.slowStartWeight(endpoint)
		if ejected || sim.balancer.outliers.lastFaultAt == sim.now || weight < 1 {
			t.Errorf("%s: got %d ejections, ejected for %v ms, slow start weight %v, want 0, 0 and 1", test.class,
				endpoint.ejections, endpoint.ejectedUntil-sim.now, weight)
		}
	}
}

// If connections break at all endpoints, one or two broken connections do not eject an endpoint. If none broke before,
// the first broken connection does. A connection that is not established in time always ejects the endpoint.
func TestBrokenConnectionsEject(t *testing.T) {
	broken := AttemptEnded{Outcome: ConnectionBroken}
	refused := AttemptEnded{Outcome: Unreachable}
	failed := AttemptEnded{Outcome: EndpointFailed}
	for name, test := range map[string]struct {
		share    float64
		outcomes []AttemptEnded
		ejected  bool
	}{
		"first broken connection":       {0, []AttemptEnded{broken}, true},
		"broken connections are common": {0.1, []AttemptEnded{broken, broken}, false},
		"many consecutive failures":     {0.1, []AttemptEnded{broken, refused, refused, refused, refused}, true},
		"with a response in between":    {0.1, []AttemptEnded{broken, broken, failed, broken, broken}, false},
		"connection not established":    {0.1, []AttemptEnded{{Outcome: Unreachable, After: 250}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := start(t, releasedUpdate(8), nil)
			sim.balancer.outliers.connectionFailureShare = test.share
			endpoint := sim.balancer.endpoints.byID["a2"]
			for _, e := range test.outcomes {
				sim.balancer.observeEndpoint(endpoint, e)
			}
			if endpoint.ejections > 0 != test.ejected {
				t.Errorf("endpoint a2: got %d ejections, want ejected: %v", endpoint.ejections, test.ejected)
			}
		})
	}
}
