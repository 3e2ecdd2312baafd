package decision

import (
	"fmt"
	"testing"
)

// harness hands events to one balancer and records its actions.
type harness struct {
	t                *testing.T
	balancer         *Balancer
	now              Millis
	actions          []Action
	respondedActions int // actions that respond has seen
	lastID           RequestID
}

// start makes a balancer in zone a with four endpoints: a1 and b1 on build 7, a2 and b2 on build 8.
func start(t *testing.T, update StageUpdate, change func(*Settings)) *harness {
	t.Helper()
	settings := Settings{
		Instances: 2, Zone: "a", ClockGranularity: 5, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: 300,
		SlowStartFloor: 0.4, OverloadFactor: 2.5, SlowStartWindow: 4000, OverloadWindow: 1000,
		ExposureCaps: []float64{0.1, 0.5, 1}, Stages: []float64{0.1, 0.4, 1}, FreeAttempts: 1,
		VoteTTL: 6000, VoteWait: 1000,
		Classes: []RequestClass{
			{Name: "read", LatencyObjective: 400, Idempotency: Idempotent},
			{
				Name: "mark", LatencyObjective: 400, Idempotency: IdempotentWithKey, RetryScope: ScopeZone,
				DedupWindow: 1000,
			},
			{Name: "pay", LatencyObjective: 400, Idempotency: NonIdempotent},
		},
	}
	if change != nil {
		change(&settings)
	}
	sim := &harness{t: t, balancer: New(settings, 1), now: 10000}
	sim.handle(EndpointsChanged{Kind: CachedSnapshot, Endpoints: []Endpoint{
		newEndpoint("a1", 7), newEndpoint("a2", 8), newEndpoint("b1", 7), newEndpoint("b2", 8),
	}})
	if update.Build > 0 {
		sim.handle(update)
	}
	sim.advance(sim.balancer.tickInterval)
	return sim
}

// newEndpoint is an endpoint in the zone that its id begins with.
func newEndpoint(id EndpointID, build Build) Endpoint {
	return Endpoint{ID: id, Zone: Zone(id[:1]), Cell: Cell(id[0]), Build: build, MachineType: "k", Capacity: 1}
}

// replaceEndpoints sends a snapshot of these endpoints alone.
func (sim *harness) replaceEndpoints(endpoints ...Endpoint) {
	sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: endpoints})
}

func (sim *harness) handle(event Event) []Action {
	actions := sim.balancer.Handle(sim.now, event)
	sim.actions = append(sim.actions, actions...)
	return actions
}

// advance lets time pass, a tick at a time.
func (sim *harness) advance(span Millis) {
	for end := sim.now + span; sim.now < end; {
		sim.now += sim.balancer.tickInterval
		sim.handle(TimerFired{})
	}
}

// request sends a request and returns its id, and the endpoint of its first attempt if one was started.
func (sim *harness) request(class ClassName, key Key) (RequestID, EndpointID) {
	sim.lastID++
	sim.handle(RequestReceived{Request: sim.lastID, Class: class, Key: key, TTL: 1000})
	return sim.lastID, sim.attemptedAt(sim.lastID, 0)
}

// attemptedAt returns the endpoint of an attempt, counted from 0; empty if it was not started.
func (sim *harness) attemptedAt(id RequestID, attempt int) EndpointID {
	for _, action := range sim.actions {
		if started, ok := action.(StartAttempt); ok && started.Request == id {
			if attempt == 0 {
				return started.Endpoint
			}
			attempt--
		}
	}
	return ""
}

func (sim *harness) endAttempt(id RequestID, attempt int, outcome Outcome, after Millis) {
	sim.handle(AttemptEnded{
		Request: id, Attempt: attempt, Outcome: outcome, Endpoint: sim.attemptedAt(id, attempt), After: after,
		RequestEnded: outcome == Succeeded,
	})
}

// respond ends all attempts since its last call as succeeded, and counts those at one endpoint.
func (sim *harness) respond(endpoint EndpointID, after Millis) (attempts int) {
	for ; sim.respondedActions < len(sim.actions); sim.respondedActions++ {
		started, ok := sim.actions[sim.respondedActions].(StartAttempt)
		if !ok {
			continue
		}
		sim.handle(AttemptEnded{
			Request: started.Request, Outcome: Succeeded, Endpoint: started.Endpoint, After: after, RequestEnded: true,
		})
		if started.Endpoint == endpoint {
			attempts++
		}
	}
	return attempts
}

// responses counts the balancer's own responses to a request, and names the last one.
func (sim *harness) responses(id RequestID) (count int, last string) {
	for _, action := range sim.actions {
		switch action := action.(type) {
		case Reject:
			if action.Request == id {
				count++
				last = "reject"
			}
		case Fail:
			if action.Request == id {
				count++
				last = "fail"
			}
		}
	}
	return count, last
}

// votes returns the verdicts cast, in order, a digit each.
func (sim *harness) votes() string {
	out := ""
	for _, action := range sim.actions {
		if vote, ok := action.(Vote); ok {
			out += fmt.Sprint(int(vote.Verdict))
		}
	}
	return out
}

// trialUpdate says that build 8 is the candidate.
func trialUpdate(stage int, exposureCap float64) StageUpdate {
	return StageUpdate{Build: 8, Phase: InTrial, Stage: stage, ExposureCap: exposureCap}
}

// releasedUpdate says that a build is released.
func releasedUpdate(build Build) StageUpdate {
	return StageUpdate{Build: build, Phase: Released, ExposureCap: 1}
}

// judgedHarness feeds outcomes of both builds, those of the candidate from candidate; nil: like the
// baseline.
func startWithOutcomes(t *testing.T, change func(*Settings), candidate func(i int) (Outcome, Millis)) *harness {
	t.Helper()
	sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, change)
	play := func(n int, of func(i int) (Outcome, Millis)) {
		for i := range n {
			id, to := sim.request("read", "")
			if to == "" {
				sim.advance(100)
				continue
			}
			outcome, after := Succeeded, Millis(20+i*7%13)
			if of != nil && sim.balancer.endpoints.byID[to].Build == 8 {
				outcome, after = of(i)
			}
			sim.advance(40)
			sim.endAttempt(id, 0, outcome, after)
			if retried := sim.attemptedAt(id, 1); retried != "" {
				sim.endAttempt(id, 1, Succeeded, 25)
			}
		}
	}
	play(120, nil)
	sim.handle(trialUpdate(1, 0.5))
	play(300, candidate)
	return sim
}

// manyInstances sets hundreds of instances, each with little traffic: what one observes is next to nothing,
// what all observe is proof.
func manyInstances(s *Settings) {
	s.Instances = 300
	s.AdvanceQuorum = 180
	s.RollbackQuorum = 24
}
