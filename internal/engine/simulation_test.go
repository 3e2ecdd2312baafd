package engine

import (
	"math/rand/v2"
	"slices"
	"testing"

	"ottershed/decision"
)

// simulation runs clients and failing endpoints against a core with the decision module, on a fake clock.
type simulation struct {
	*harness
	random       *rand.Rand
	sentRequests []*simulatedRequest
	pending      []pendingAttempt
	mayHaveRun   map[*Request]bool // non-idempotent requests that an endpoint may have run
	inFlight     map[*Request]int  // attempts in flight of each request
	violations   []string
}

type simulatedRequest struct {
	*ClientRequest
	resultCount int
}

type pendingAttempt struct {
	Attempt
	endsAt decision.Millis // time at which the attempt ends unless it is canceled earlier
	ended  *bool           // shared by all copies of the attempt
}

func (s *simulation) StartAttempt(attempt Attempt) func() {
	if s.mayHaveRun[attempt.Request] {
		s.violations = append(s.violations, "retry of a non-idempotent request that may have run")
	}
	s.inFlight[attempt.Request]++
	if s.inFlight[attempt.Request] > 1 {
		s.violations = append(s.violations, "two attempts of a request in flight")
	}
	pending := pendingAttempt{attempt, min(s.now+s.random.ExpFloat64()*60, attempt.Deadline), new(bool)}
	s.pending = append(s.pending, pending)
	return func() { s.end(pending, decision.Canceled) }
}

func (s *simulation) end(attempt pendingAttempt, outcome decision.Outcome) {
	if *attempt.ended {
		return
	}
	*attempt.ended = true
	s.inFlight[attempt.Request]--
	executed := outcome != decision.EndpointRejected && outcome != decision.Unreachable
	if attempt.Request.Method == "POST" && executed {
		s.mayHaveRun[attempt.Request] = true
	}
	attempt.OnResult(AttemptResult{Outcome: outcome, EndedAt: s.now, Response: &Response{}})
}

// endDueAttempts ends the attempts that are due; about a quarter of them fail.
func (s *simulation) endDueAttempts() {
	failures := []decision.Outcome{
		decision.EndpointFailed, decision.EndpointRejected, decision.Unreachable, decision.ConnectionBroken,
		decision.TimedOut,
	}
	for _, attempt := range slices.Clone(s.pending) {
		if attempt.endsAt > s.now || *attempt.ended {
			continue
		}
		outcome := decision.Succeeded
		if attempt.endsAt >= attempt.Deadline {
			outcome = decision.TimedOut
		} else if s.random.IntN(4) == 0 {
			outcome = failures[s.random.IntN(len(failures))]
		}
		s.end(attempt, outcome)
	}
	s.pending = slices.DeleteFunc(s.pending, func(attempt pendingAttempt) bool { return *attempt.ended })
}

// sendRequest sends a request; about a third of the requests are not idempotent.
func (s *simulation) sendRequest() {
	request := &simulatedRequest{ClientRequest: &ClientRequest{
		Class: "read", Remaining: 500, ReceivedAt: s.now, Request: &Request{Method: "GET"},
	}}
	if s.random.IntN(3) == 0 {
		request.Class = "pay"
		request.Request.Method = "POST"
	}
	request.Respond = func(Result) {
		request.resultCount++
		if s.now > request.ReceivedAt+request.Remaining+5 {
			s.violations = append(s.violations, "result after the deadline")
		}
	}
	s.sentRequests = append(s.sentRequests, request)
	s.deliver(requestReceived{request.ClientRequest})
}

func (s *simulation) handlePosted() {
	for len(s.posted) > 0 {
		msg := s.posted[0]
		s.posted = s.posted[1:]
		s.handle(s.now, msg)
	}
}

// While endpoints fail in every way and the module restarts once, each request gets one result in time, no
// non-idempotent request that may have run is sent again, and no request, attempt or timer is leaked.
func TestEveryRequestEndsOnceDespiteFaultsAndRestart(t *testing.T) {
	settings := decision.Settings{
		Instances: 1, Zone: "z", MaxAttempts: 4, CancelAllowed: true, SlowStartFloor: 0.4, OverloadFactor: 3,
		SlowStartWindow: 4000, OverloadWindow: 1000, ExposureCaps: []float64{1}, StageShares: []float64{1}, FreeAttempts: 1,
		VoteTTL: 6000, VoteRetryWait: 800, MaxRetryAfter: 100,
		Classes: []decision.RequestClass{
			{Name: "read", LatencyObjective: 200, Idempotency: decision.Idempotent},
			{Name: "pay", LatencyObjective: 200},
		},
	}
	sim := &simulation{
		harness: newHarness(), random: rand.New(rand.NewPCG(1, 2)),
		mayHaveRun: map[*Request]bool{}, inFlight: map[*Request]int{},
	}
	starts := 0
	sim.recovery.newModule = func(seed uint64) module { starts++; return decision.New(settings, seed) }
	sim.core.module = sim.recovery.newModule(1)
	sim.upstream = sim
	sim.deliver(endpointsReceived{snapshot(
		newEndpoint("a", "a:1", decision.Serving), newEndpoint("b", "b:1", decision.Serving),
	)})
	for ; sim.now < 30000; sim.now++ {
		if sim.now < 25000 && sim.random.IntN(10) == 0 {
			sim.sendRequest()
		}
		if sim.now == 15000 { // restart the module as callModule does after a panic
			sim.restart(sim.now)
			sim.dispatch(sim.now, decision.ResponseFlagged{})
		}
		sim.endDueAttempts()
		sim.handlePosted()
		sim.fireTimers(sim.now)
	}
	for _, request := range sim.sentRequests {
		if request.resultCount != 1 {
			t.Fatalf("results of a request: got %d, want 1", request.resultCount)
		}
	}
	open := len(sim.requests.open)
	if len(sim.violations) > 0 || open > 0 || len(sim.timers) > 1 || len(sim.pending) > 0 || starts != 2 ||
		len(sim.sentRequests) < 1000 {
		t.Errorf("got violations %v, %d open requests, %d timers, %d attempts in flight, %d module starts, %d requests sent, "+
			"want none, 0, at most 1, 0, 2, at least 1000",
			sim.violations, open, len(sim.timers), len(sim.pending), starts, len(sim.sentRequests))
	}
}
