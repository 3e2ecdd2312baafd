package decision

import (
	"testing"
)

// A request that no endpoint can serve gets exactly one final response, before its deadline.
func TestUnservableRequestGetsOneResponse(t *testing.T) {
	for _, test := range []struct {
		class     ClassName
		remaining Millis
		want      string
	}{{"read", 1000, "reject"}, {"pay", 1000, "reject"}, {"mark", 30, "reject"}, {"unknown", 1000, "reject"}} {
		sim := start(t, trialUpdate(0, 0), nil)
		sim.replaceEndpoints()
		sim.handle(RequestReceived{Request: 9, Class: test.class, Remaining: test.remaining})
		sim.advance(test.remaining)
		sim.handle(ClientDisconnected{Request: 9})
		sim.handle(AttemptEnded{Request: 9, Outcome: EndpointFailed})
		open := len(sim.balancer.requests.open)
		if n, got := sim.responses(9); n != 1 || got != test.want || open != 0 {
			t.Errorf("%s: got %d responses, the last %q, and %d open requests, want one %q and none open",
				test.class, n, got, open, test.want)
		}
	}
}

// A rejection has a Retry-After of at most MaxRetryAfter, and none if MaxRetryAfter is 0.
func TestRejectHasRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		sim := start(t, trialUpdate(0, 0), func(s *Settings) {
			if !allowed {
				s.MaxRetryAfter = 0
			}
		})
		sim.replaceEndpoints()
		sim.request("read", "")
		sim.advance(300)
		for _, a := range sim.actions {
			rejected, ok := a.(Reject)
			longest := sim.balancer.settings.MaxRetryAfter
			if ok && ((rejected.RetryAfter > 0) != allowed || rejected.RetryAfter > longest) {
				t.Errorf("Retry-After allowed %v: got %v ms, want at most %v", allowed, rejected.RetryAfter, longest)
			}
		}
	}
}

// An idempotent request at a silent endpoint is migrated or hedged. A non-idempotent request is never sent twice.
func TestIdempotentRequestLeavesSilentEndpoint(t *testing.T) {
	for _, test := range []struct {
		class   ClassName
		hedging bool
		want    string // the kind of migration; empty: none
	}{{"read", false, "cancel"}, {"read", true, "hedge"}, {"pay", false, ""}, {"pay", true, ""}} {
		sim := start(t, releasedUpdate(8), func(s *Settings) { s.HedgingAllowed = test.hedging })
		silentReq, silentEndpoint := sim.request(test.class, "")
		for sim.now < 10950 { // other requests avoid the silent endpoint and succeed
			if req, to := sim.request("read", ""); to != "" && to != silentEndpoint {
				sim.endAttempt(req, 0, Succeeded, 20)
			}
			sim.advance(20)
		}
		got := ""
		for _, a := range sim.actions {
			if canceled, ok := a.(Cancel); ok && canceled.Request == silentReq {
				got = "cancel"
			}
		}
		if sim.attemptedAt(silentReq, 1) != "" {
			got = "hedge"
		}
		if got != test.want {
			t.Errorf("%s, hedging %v: got the request migrated by %q, want %q", test.class, test.hedging, got, test.want)
		}
	}
}

// A request that can get no further attempt gets its final response at once: an error if it may have run and must not
// run again, otherwise a rejection.
func TestRequestWithoutRetryEndsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		class       ClassName
		outcome     Outcome
		maxAttempts int
		last        string // last final response of the balancer; empty: none
	}{
		"may have run":           {"pay", ConnectionBroken, 4, "fail"},
		"may run again":          {"read", ConnectionBroken, 4, ""},
		"no attempts remain":     {"read", ConnectionBroken, 1, "reject"},
		"none remain, never ran": {"pay", Unreachable, 1, "reject"},
	} {
		t.Run(name, func(t *testing.T) {
			sim := start(t, releasedUpdate(8), func(s *Settings) { s.MaxAttempts = test.maxAttempts })
			req, _ := sim.request(test.class, "")
			for _, ep := range sim.balancer.endpoints.ordered {
				ep.ejectedUntil = sim.now + 5000 // no endpoint is available for a retry
			}
			sim.endAttempt(req, 0, test.outcome, 1)
			if n, last := sim.responses(req); last != test.last || n > 1 {
				t.Errorf("got %d responses, the last %q, want at most 1 and %q", n, last, test.last)
			}
		})
	}
}
