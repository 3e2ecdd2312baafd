package decision

import (
	"fmt"
	"testing"
)

// After an unsuccessful attempt, the request class determines whether and in which zone the request may be retried. A
// request that must not be retried gets an error.
func TestRetryKeepsToScopeOfClass(t *testing.T) {
	released := StageUpdate{Build: 8, Phase: Released, Stage: 2, ExposureCap: 1}
	for _, test := range []struct {
		class    ClassName
		outcome  Outcome
		after    Millis // the attempt's duration
		zone     string // of the retry; "": any, "-": no retry, "same": that of the first attempt
		response string // final response of the balancer if there is no retry
	}{
		{"read", EndpointFailed, 20, "", ""},
		{"read", ConnectionBroken, 20, "", ""},
		{"pay", EndpointFailed, 20, "-", "fail"},
		{"pay", ConnectionBroken, 20, "-", "fail"},
		{"pay", TimedOut, 20, "-", "fail"},
		{"pay", Canceled, 20, "-", "fail"},
		{"pay", EndpointRejected, 20, "", ""},
		{"pay", Unreachable, 20, "", ""},
		{"mark", EndpointFailed, 20, "same", ""},
		{"mark", EndpointRejected, 20, "", ""},
		{"mark", EndpointFailed, 995, "-", "fail"}, // endpoints no longer remember the key
		{"unknown", EndpointFailed, 20, "-", "fail"},
	} {
		t.Run(fmt.Sprint(test.class, test.outcome, test.after), func(t *testing.T) {
			sim := start(t, released, nil)
			req, first := sim.request(test.class, "")
			if first == "" {
				t.Fatal("got no first attempt, want one")
			}
			sim.now += test.after
			sim.endAttempt(req, 0, test.outcome, test.after)
			sim.advance(600)
			retried := sim.attemptedAt(req, 1)
			if (retried == "") != (test.zone == "-") || test.zone == "same" && retried[0] != first[0] {
				t.Errorf("first attempt at %q: got retry at %q, want zone %q", first, retried, test.zone)
			}
			if _, got := sim.responses(req); test.zone == "-" && got != test.response {
				t.Errorf("got final response %q of the balancer, want %q", got, test.response)
			}
		})
	}
}

// Once an attempt of a request with an idempotency key may have run, a retry must be sent while endpoints remember the
// key. A connection that is established later would let the request run twice. Other attempts have no SendBy.
func TestKeyedRetryHasSendBy(t *testing.T) {
	for _, test := range []struct {
		class ClassName
		ends  []Outcome // outcomes of the earlier attempts
		want  Millis    // time after the first attempt; 0: no SendBy
	}{
		{"mark", nil, 0},
		{"mark", []Outcome{Unreachable}, 0},
		{"mark", []Outcome{ConnectionBroken}, 990},
		{"mark", []Outcome{ConnectionBroken, ConnectionBroken}, 990},
		{"mark", []Outcome{Unreachable, ConnectionBroken}, 1010}, // the second attempt started 20 ms later
		{"read", []Outcome{ConnectionBroken}, 0},
		{"pay", []Outcome{EndpointRejected}, 0},
	} {
		t.Run(fmt.Sprint(test.class, test.ends), func(t *testing.T) {
			sim := start(t, StageUpdate{Build: 8, Phase: Released, Stage: 2, ExposureCap: 1}, nil)
			req, _ := sim.request(test.class, "")
			startedAt := sim.now
			for i, outcome := range test.ends {
				sim.now += 20
				sim.endAttempt(req, i, outcome, 20)
			}
			if sim.attemptedAt(req, len(test.ends)) == "" {
				t.Fatal("got no retry, want one")
			}
			last := sim.actions[len(sim.actions)-1].(StartAttempt)
			if want := test.want; want > 0 && last.SendBy != startedAt+want || want == 0 && last.SendBy != 0 {
				t.Errorf("got SendBy %g ms after the first attempt, want %g", last.SendBy-startedAt, want)
			}
		})
	}
}

// In guarded stages, only idempotent requests go to the candidate.
func TestGuardedStageTakesOnlyIdempotentRequests(t *testing.T) {
	for _, test := range []struct {
		stage   int
		class   ClassName
		allowed bool
	}{
		{0, "read", true},
		{0, "mark", false},
		{0, "pay", false},
		{0, "unknown", false},
		{1, "mark", true},
		{1, "pay", true},
	} {
		sim := start(t, trialUpdate(test.stage, 1), func(s *Settings) { s.GuardedStages = 1 })
		sim.replaceEndpoints(newEndpoint("a2", 8))
		if _, to := sim.request(test.class, ""); (to != "") != test.allowed {
			t.Errorf("stage %d, class %s: got attempt at %q, want an attempt at the candidate: %v", test.stage,
				test.class, to, test.allowed)
		}
	}
}
