package decision

import (
	"testing"
)

// In every time window, the attempts at the candidate number at most FreeAttempts plus the exposure cap times the
// received requests, also in windows that begin between two requests.
func TestExposureCapHoldsInEveryWindow(t *testing.T) {
	for _, test := range []struct {
		name   string
		update StageUpdate
		cap    float64 // share of requests that the candidate may get
	}{
		{"first stage", trialUpdate(0, 0.1), 0.1},
		{"middle", trialUpdate(1, 0.5), 0.5},
		{"uneven share", trialUpdate(1, 0.84), 0.84},
		{"last", trialUpdate(2, 1), 1},
		{"no stage update yet", StageUpdate{}, 0.1},
		{"unannounced", StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1}, 0.1},
		{"rolling back", StageUpdate{Build: 8, Phase: RollingBack, ExposureCap: 0}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := start(t, test.update, nil)
			sim.replaceEndpoints(newEndpoint("a2", 8)) // no endpoint of the baseline
			requests, attempts := exposureOf(sim)
			for i := range attempts {
				for j := i; j < len(attempts); j++ {
					from, to := attempts[i], attempts[j]
					count := countBetween(requests, from, to)
					if float64(j-i+1) > 1+test.cap*float64(count)+1e-9 {
						t.Fatalf("got %d attempts for %d requests from %v to %v, want at most 1 + cap x requests", j-i+1,
							count, from, to)
					}
				}
			}
			least := int(250 * test.cap * test.cap)
			if test.cap == 0 && len(attempts) > 0 || test.cap > 0 && len(attempts) < least {
				t.Errorf("got %d attempts with an exposure cap of %v, want none with 0, else at least %d", len(attempts),
					test.cap, least)
			}
		})
	}
}

// exposureOf sends requests, some at the same time and some followed by a timer. It returns the times of the requests
// and of their attempts, which succeed at once.
func exposureOf(sim *harness) (requests, attempts []Millis) {
	for i := range 300 {
		sim.now += []Millis{0, 0, 3, 40, 0, 7}[i%6]
		sim.lastID++
		events := []Event{RequestReceived{Request: sim.lastID, Class: "read", Remaining: 1000}, TimerFired{}}
		requests = append(requests, sim.now)
		for _, event := range events[:1+i%2] {
			for _, action := range sim.handle(event) {
				started, ok := action.(StartAttempt)
				if !ok {
					continue
				}
				attempts = append(attempts, sim.now)
				sim.handle(AttemptEnded{
					Request: started.Request, Outcome: Succeeded, Endpoint: started.Endpoint, After: 5,
					RequestEnded: true,
				})
			}
		}
	}
	return requests, attempts
}

// countBetween returns the number of times in a closed interval.
func countBetween(times []Millis, from, to Millis) (count int) {
	for _, at := range times {
		if at >= from && at <= to {
			count++
		}
	}
	return count
}

// With ExposurePerClass, an attempt of one class takes no token from the other classes.
func TestExposureCapAppliesPerClass(t *testing.T) {
	for _, perClass := range []bool{false, true} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.ExposurePerClass = perClass })
		sim.replaceEndpoints(newEndpoint("a2", 8))
		req, first := sim.request("read", "")
		sim.endAttempt(req, 0, Succeeded, 20)
		if _, second := sim.request("pay", ""); first != "a2" || (second == "a2") != perClass {
			t.Errorf("per class %v: got attempts at %q and %q, want the second one only per class", perClass, first, second)
		}
	}
}

// WithheldShare lowers the exposure cap of the candidate.
func TestWithheldShareLowersExposure(t *testing.T) {
	for _, test := range []struct {
		share       float64
		least, most int // requests of 200 at the candidate
	}{{0, 80, 101}, {0.8, 30, 41}, {1, 0, 0}} {
		sim := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.WithheldShare = test.share })
		atCandidate := 0
		for range 200 {
			req, to := sim.request("read", "")
			if to == "a2" || to == "b2" {
				atCandidate++
			}
			sim.advance(20)
			sim.endAttempt(req, 0, Succeeded, 20)
		}
		if atCandidate < test.least || atCandidate > test.most {
			t.Errorf("withheld share %g: got %d of 200 requests at the candidate, want %d to %d", test.share, atCandidate,
				test.least, test.most)
		}
	}
}
