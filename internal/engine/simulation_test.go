package engine

import (
	"math/rand/v2"
	"slices"
	"testing"

	"ottershed/decision"
)

// simulation runs clients and failing endpoints around a core that holds the decision module, on a fake clock.
type simulation struct {
	*harness
	random     *rand.Rand
	sent       []*simulatedRequest
	pending    []pendingAttempt
	mayHaveRun map[*Request]bool // of the non-idempotent requests
	inFlight   map[*Request]int
	faults     []string
}

type simulatedRequest struct {
	*ClientRequest
	results int
}

type pendingAttempt struct {
	Attempt
	endsAt decision.Millis
	ended  *bool
}

func (s *simulation) StartAttempt(attempt Attempt) func() {
	if s.mayHaveRun[attempt.Request] {
		s.faults = append(s.faults, "a non-idempotent request that may have run was retried")
	}
	s.inFlight[attempt.Request]++
	if s.inFlight[attempt.Request] > 1 {
		s.faults = append(s.faults, "two attempts in flight")
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
	attempt.OnEnd(AttemptResult{Outcome: outcome, EndedAt: s.now, Response: &Response{}})
}

// endDueAttempts ends the attempts that are due, a quarter of them with a fault.
func (s *simulation) endDueAttempts() {
	faults := []decision.Outcome{
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
			outcome = faults[s.random.IntN(len(faults))]
		}
		s.end(attempt, outcome)
	}
	s.pending = slices.DeleteFunc(s.pending, func(attempt pendingAttempt) bool { return *attempt.ended })
}

// sendRequest sends a request, a third of them not idempotent.
func (s *simulation) sendRequest() {
	request := &simulatedRequest{ClientRequest: &ClientRequest{
		Class: "read", Remaining: 500, ReceivedAt: s.now, Request: &Request{Method: "GET"},
	}}
	if s.random.IntN(3) == 0 {
		request.Class = "pay"
		request.Request.Method = "POST"
	}
	request.Respond = func(Result) {
		request.results++
		if s.now > request.ReceivedAt+request.Remaining+5 {
			s.faults = append(s.faults, "a late result")
		}
	}
	s.sent = append(s.sent, request)
	s.deliver(requestReceived{request.ClientRequest})
}

func (s *simulation) handlePosted() {
	for len(s.posted) > 0 {
		msg := s.posted[0]
		s.posted = s.posted[1:]
		s.handle(s.now, msg)
	}
}

// While endpoints fail in every way and the module restarts once, every request gets one result in time, no
// non-idempotent request runs twice, and nothing is left at the end.
func TestDay(t *testing.T) {
	settings := decision.Settings{
		Instances: 1, Zone: "z", MaxAttempts: 4, CancelAllowed: true, SlowStartFloor: 0.4, OverloadFactor: 3,
		SlowStartWindow: 4000, OverloadWindow: 1000, ExposureCaps: []float64{1}, Stages: []float64{1}, FreeAttempts: 1,
		VoteTTL: 6000, VoteWait: 800, MaxRetryAfter: 100,
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
	sim.recovery.start = func(seed uint64) module { starts++; return decision.New(settings, seed) }
	sim.core.module = sim.recovery.start(1)
	sim.upstream = sim
	sim.deliver(endpointsReceived{snapshot(
		newEndpoint("a", "a:1", decision.Serving), newEndpoint("b", "b:1", decision.Serving),
	)})
	for ; sim.now < 30000; sim.now++ {
		if sim.now < 25000 && sim.random.IntN(10) == 0 {
			sim.sendRequest()
		}
		if sim.now == 15000 { // as after a panic
			sim.restart(sim.now)
			sim.dispatch(sim.now, decision.ResponseFlagged{})
		}
		sim.endDueAttempts()
		sim.handlePosted()
		sim.fireTimers(sim.now)
	}
	for _, request := range sim.sent {
		if request.results != 1 {
			t.Fatalf("a request got %d results", request.results)
		}
	}
	left := len(sim.requests.open)
	if len(sim.faults) > 0 || left > 0 || len(sim.timers) > 1 || len(sim.pending) > 0 || starts != 2 ||
		len(sim.sent) < 1000 {
		t.Errorf("faults %v; open %d, timers %d, attempts %d; %d starts, %d requests", sim.faults, left, len(sim.timers),
			len(sim.pending), starts, len(sim.sent))
	}
}
