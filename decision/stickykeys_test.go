package decision

import (
	"testing"
)

// Once the candidate has responded to a sticky key, requests with that key go to no earlier build until the candidate
// is rolled back. If the candidate has no endpoints, they are rejected.
func TestStickyKeyStaysAtCandidate(t *testing.T) {
	sim := start(t, trialUpdate(1, 1), func(s *Settings) { s.StickyKeys = true })
	sim.replaceEndpoints(newEndpoint("a2", 8))
	req, to := sim.request("read", "k")
	if to != "a2" {
		t.Fatalf("got first attempt at %q, want a2", to)
	}
	sim.endAttempt(req, 0, Succeeded, 20)
	sim.replaceEndpoints(newEndpoint("a1", 7))
	for _, test := range []struct {
		update  StageUpdate
		allowed bool // a request with the key may go to a1, at the earlier build
	}{
		{trialUpdate(2, 1), false},
		{releasedUpdate(8), false},
		{StageUpdate{Build: 8, Phase: RollingBack}, true},
	} {
		sim.handle(test.update)
		req, to := sim.request("read", "k")
		sim.advance(300)
		if n, kind := sim.responses(req); (to == "a1") != test.allowed || !test.allowed && (n != 1 || kind != "reject") {
			t.Errorf("%+v: got attempt at %q and %d responses, the last %q, want an attempt at a1: %v", test.update, to, n,
				kind, test.allowed)
		}
		otherReq, otherTo := sim.request("read", "other")
		if sim.endAttempt(otherReq, 0, Succeeded, 20); otherTo != "a1" {
			t.Errorf("another key: got attempt at %q, want a1", otherTo)
		}
	}
}
