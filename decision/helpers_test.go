package decision

import (
	"fmt"
	"testing"
)

// harness passes events to one balancer and records the returned actions.
type harness struct {
	t                *testing.T
	balancer         *Balancer
	now              Millis
	actions          []Action
	respondedActions int // index of the first action that respond has not processed
	lastID           RequestID
}

// start creates a balancer in zone a with four endpoints: a1 and b1 with build 7, a2 and b2 with build 8. change
// changes the settings; nil: not at all. An update without a build is not sent.
func start(t *testing.T, update StageUpdate, change func(*Settings)) *harness {
	t.Helper()
	settings := Settings{
		Instances: 2, Zone: "a", ClockGranularity: 5, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: 300,
		SlowStartFloor: 0.4, OverloadFactor: 2.5, SlowStartWindow: 4000, OverloadWindow: 1000,
		ExposureCaps: []float64{0.1, 0.5, 1}, StageShares: []float64{0.1, 0.4, 1}, FreeAttempts: 1,
		VoteTTL: 6000, VoteRetryWait: 1000,
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

// newEndpoint returns an endpoint in the zone that is the first letter of its ID.
func newEndpoint(id EndpointID, build Build) Endpoint {
	return Endpoint{ID: id, Zone: Zone(id[:1]), Cell: Cell(id[0]), Build: build, MachineType: "k", Capacity: 1}
}

// replaceEndpoints sends a full snapshot with these endpoints.
func (sim *harness) replaceEndpoints(endpoints ...Endpoint) {
	sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: endpoints})
}

// handle passes an event to the balancer and returns the actions.
func (sim *harness) handle(event Event) []Action {
	actions := sim.balancer.Handle(sim.now, event)
	sim.actions = append(sim.actions, actions...)
	return actions
}

// advance advances the time in tick intervals, with a tick each.
func (sim *harness) advance(span Millis) {
	for end := sim.now + span; sim.now < end; {
		sim.now += sim.balancer.tickInterval
		sim.handle(TimerFired{})
	}
}

// request sends a request and returns its ID, and the endpoint of its first attempt or an empty ID if none was started.
func (sim *harness) request(class ClassName, key Key) (RequestID, EndpointID) {
	sim.lastID++
	sim.handle(RequestReceived{Request: sim.lastID, Class: class, Key: key, Remaining: 1000})
	return sim.lastID, sim.attemptedAt(sim.lastID, 0)
}

// attemptedAt returns the endpoint of an attempt by index, or an empty ID if that attempt was not started.
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

// endAttempt reports the outcome of an attempt to the balancer.
func (sim *harness) endAttempt(id RequestID, attempt int, outcome Outcome, after Millis) {
	sim.handle(AttemptEnded{
		Request: id, Attempt: attempt, Outcome: outcome, Endpoint: sim.attemptedAt(id, attempt), After: after,
		RequestEnded: outcome == Succeeded,
	})
}

// respond ends all attempts since its last call as succeeded, and returns the number of those at one endpoint.
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

// responses returns the number of final responses of the balancer to a request and the kind of the last one, "reject"
// or "fail".
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

// votes returns the verdicts of all votes in order, one digit each.
func (sim *harness) votes() string {
	out := ""
	for _, action := range sim.actions {
		if vote, ok := action.(Vote); ok {
			out += fmt.Sprint(int(vote.Verdict))
		}
	}
	return out
}

// trialUpdate returns an update with build 8 in trial.
func trialUpdate(stage int, exposureCap float64) StageUpdate {
	return StageUpdate{Build: 8, Phase: InTrial, Stage: stage, ExposureCap: exposureCap}
}

// releasedUpdate returns an update with a released build.
func releasedUpdate(build Build) StageUpdate {
	return StageUpdate{Build: build, Phase: Released, ExposureCap: 1}
}

// startWithOutcomes starts a harness and sends 300 requests during a trial. candidate determines the outcomes at the
// candidate; nil: as at the baseline.
func startWithOutcomes(t *testing.T, change func(*Settings), candidate func(i int) (Outcome, Millis)) *harness {
	t.Helper()
	sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, change)
	send := func(n int, candidate func(i int) (Outcome, Millis)) {
		for i := range n {
			id, to := sim.request("read", "")
			if to == "" {
				sim.advance(100)
				continue
			}
			outcome, after := Succeeded, Millis(20+i*7%13)
			if candidate != nil && sim.balancer.endpoints.byID[to].Build == 8 {
				outcome, after = candidate(i)
			}
			sim.advance(40)
			sim.endAttempt(id, 0, outcome, after)
			if retried := sim.attemptedAt(id, 1); retried != "" {
				sim.endAttempt(id, 1, Succeeded, 25)
			}
		}
	}
	send(120, nil)
	sim.handle(trialUpdate(1, 0.5))
	send(300, candidate)
	return sim
}

// manyInstances sets hundreds of instances, each with little traffic. A single instance has almost no outcomes; those
// of all instances together are sufficient evidence.
func manyInstances(s *Settings) {
	s.Instances = 300
	s.AdvanceQuorum = 180
	s.RollbackQuorum = 24
}
