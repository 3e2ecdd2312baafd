package decision

import (
	"testing"
)

// A sticky key to which the candidate has responded goes to no earlier build until the candidate is rolled
// back. Where the candidate cannot take it, it is rejected.
func TestStickyKeyStaysAtCandidate(t *testing.T) {
	sim := start(t, trialUpdate(1, 1), func(s *Settings) { s.StickyKeys = true })
	sim.replaceEndpoints(newEndpoint("a2", 8))
	req, to := sim.request("read", "k")
	if to != "a2" {
		t.Fatalf("sent to %q", to)
	}
	sim.endAttempt(req, 0, Succeeded, 20)
	sim.replaceEndpoints(newEndpoint("a1", 7))
	for _, test := range []struct {
		update StageUpdate
		may    bool
	}{
		{trialUpdate(2, 1), false},
		{releasedUpdate(8), false},
		{StageUpdate{Build: 8, Phase: RollingBack}, true},
	} {
		sim.handle(test.update)
		req, to := sim.request("read", "k")
		sim.advance(300)
		if n, kind := sim.responses(req); (to == "a1") != test.may || !test.may && (n != 1 || kind != "reject") {
			t.Errorf("%+v: sent to %q, %d responses %q", test.update, to, n, kind)
		}
		o, other := sim.request("read", "other")
		if sim.endAttempt(o, 0, Succeeded, 20); other != "a1" {
			t.Errorf("another key went to %q", other)
		}
	}
}
