package decision

import (
	"fmt"
	"strings"
	"testing"
)

// The rollout controller's counts lead to votes as an instance's own outcomes do: equal builds advance, and a failing
// or slow build is rolled back. Failed requests without error responses of endpoints are no evidence: they may have
// been rejected.
func TestControllerCountsDecideVote(t *testing.T) {
	for _, test := range []struct {
		name                            string
		baselineFailed, candidateFailed int // of 40 responses
		candidateMean                   Millis
		errors                          bool   // the instance's own unsuccessful attempts have error responses
		want                            string // first vote
	}{
		{"alike", 0, 0, 50, true, "1"},
		{"failing", 0, 20, 50, true, "3"},
		{"without error responses, both builds", 20, 20, 50, false, "1"},
		{"without error responses, more at the candidate", 10, 20, 50, false, "1"},
		{"slow", 0, 0, 150, true, "3"},
	} {
		sim := start(t, releasedUpdate(7), func(s *Settings) { s.CountInterval = 500 })
		list := []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7)}
		for i := range 20 {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("a3", i)), 8))
		}
		sim.replaceEndpoints(list...)
		if test.errors {
			sim.balancer.trial.unsuccessfulAttempts.Failures = 40
		}
		for i := range 10 {
			if i == 4 {
				sim.handle(trialUpdate(0, 0.1))
			}
			sim.advance(500)
			sim.handle(ControllerCounts{Build: 7, Class: "read", Count: 40, Failed: test.baselineFailed, Mean: 50})
			if i >= 5 {
				sim.handle(ControllerCounts{
					Build: 8, Class: "read", Count: 40, Failed: test.candidateFailed, Mean: test.candidateMean,
				})
			}
		}
		got := strings.TrimLeft(sim.votes(), "0")
		if !strings.HasPrefix(got, test.want) || test.want == "" && got != "" {
			t.Errorf("%s: got votes %q, want %q first", test.name, got, test.want)
		}
	}
}
