package decision

import (
	"testing"
)

// A request that no endpoint can take gets exactly one response, before its deadline.
func TestUnservableRequestGetsOneResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		ttl  Millis
		want string
	}{{"read", 1000, "reject"}, {"pay", 1000, "reject"}, {"mark", 30, "reject"}, {"unknown", 1000, "reject"}} {
		sim := start(t, trialUpdate(0, 0), nil)
		sim.replaceEndpoints()
		sim.handle(RequestReceived{Request: 9, Class: ClassName(test.name), TTL: test.ttl})
		sim.advance(test.ttl)
		sim.handle(ClientDisconnected{Request: 9})
		sim.handle(AttemptEnded{Request: 9, Outcome: EndpointFailed})
		open := len(sim.balancer.requests.open)
		if n, got := sim.responses(9); n != 1 || got != test.want || open != 0 {
			t.Errorf("%s: %d responses, last %q, %d requests open", test.name, n, got, open)
		}
	}
}

// A rejection has a Retry-After up to the maximum, and none where the settings allow none.
func TestRejectHasRetryAfter(t *testing.T) {
	for _, may := range []bool{true, false} {
		sim := start(t, trialUpdate(0, 0), func(s *Settings) {
			if !may {
				s.MaxRetryAfter = 0
			}
		})
		sim.replaceEndpoints()
		sim.request("read", "")
		sim.advance(300)
		for _, a := range sim.actions {
			rejected, ok := a.(Reject)
			most := sim.balancer.settings.MaxRetryAfter
			if ok && ((rejected.RetryAfter > 0) != may || rejected.RetryAfter > most) {
				t.Errorf("allowed %v: Retry-After %v", may, rejected.RetryAfter)
			}
		}
	}
}

// Idempotent requests leave an unresponsive endpoint, by migration or hedging. Others are never sent twice.
func TestIdempotentRequestLeavesSilentEndpoint(t *testing.T) {
	for _, test := range []struct {
		class ClassName
		copy  bool
		want  string
	}{{"read", false, "cancel"}, {"read", true, "hedge"}, {"pay", false, ""}, {"pay", true, ""}} {
		sim := start(t, releasedUpdate(8), func(s *Settings) { s.HedgingAllowed = test.copy })
		silent, at := sim.request(test.class, "")
		for sim.now < 10950 { // other requests get responses, and avoid it
			if req, to := sim.request("read", ""); to != "" && to != at {
				sim.endAttempt(req, 0, Succeeded, 20)
			}
			sim.advance(20)
		}
		got := ""
		for _, a := range sim.actions {
			if x, ok := a.(Cancel); ok && x.Request == silent {
				got = "cancel"
			}
		}
		if sim.attemptedAt(silent, 1) != "" {
			got = "hedge"
		}
		if got != test.want {
			t.Errorf("%s, hedging %v: %q", test.class, test.copy, got)
		}
	}
}

// A request that cannot succeed any more gets its response at once: a failure where it may have run, else a
// rejection.
func TestRequestWithoutRetryEndsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		class   ClassName
		outcome Outcome
		most    int
		last    string
	}{
		"may have run":           {"pay", ConnectionBroken, 4, "fail"},
		"may run again":          {"read", ConnectionBroken, 4, ""},
		"no attempt is left":     {"read", ConnectionBroken, 1, "reject"},
		"nor for what never ran": {"pay", Unreachable, 1, "reject"},
	} {
		t.Run(name, func(t *testing.T) {
			sim := start(t, releasedUpdate(8), func(s *Settings) { s.MaxAttempts = test.most })
			req, _ := sim.request(test.class, "")
			for _, n := range sim.balancer.endpoints.ordered {
				n.ejectedUntil = sim.now + 5000 // no other endpoint is left
			}
			sim.endAttempt(req, 0, test.outcome, 1)
			if n, last := sim.responses(req); last != test.last || n > 1 {
				t.Errorf("%d responses, the last a %q", n, last)
			}
		})
	}
}
