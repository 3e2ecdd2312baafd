package decision

import (
	"fmt"
	"testing"
)

// rig plays events to one marshal and keeps what it answered.
type harness struct {
	t         *testing.T
	balancer  *Balancer
	now       Millis
	actions   []Action
	delivered int // actions that answer has looked at
	lastID    RequestID
}

// start makes a marshal in zone a with four nodes: a1 and b1 on build 7, a2 and b2 on build 8.
func start(t *testing.T, update StageUpdate, change func(*Settings)) *harness {
	s := Settings{
		Instances: 2, Zone: "a", ClockGranularity: 5, MaxAttempts: 4, CancelAllowed: true,
		MaxRetryAfter: 300, SlowStartFloor: 0.4, OverloadFactor: 2.5, SlowStartWindow: 4000, OverloadWindow: 1000,
		ExposureCaps: []float64{0.1, 0.5, 1}, Stages: []float64{0.1, 0.4, 1}, FreeAttempts: 1, VoteTTL: 6000, VoteWait: 1000,
		Classes: []RequestClass{
			{Name: "read", LatencyObjective: 400, Idempotency: Idempotent},
			{Name: "mark", LatencyObjective: 400, Idempotency: IdempotentWithKey, RetryScope: ScopeZone, DedupWindow: 1000},
			{Name: "pay", LatencyObjective: 400, Idempotency: NonIdempotent},
		},
	}
	if change != nil {
		change(&s)
	}
	sim := &harness{t: t, balancer: New(s, 1), now: 10000}
	sim.handle(EndpointsChanged{
		Kind:      CachedSnapshot,
		Endpoints: []Endpoint{newEndpoint("a1", 7), newEndpoint("a2", 8), newEndpoint("b1", 7), newEndpoint("b2", 8)},
	})
	if update.Build > 0 {
		sim.handle(update)
	}
	sim.advance(sim.balancer.tickInterval)
	return sim
}

func newEndpoint(id EndpointID, b Build) Endpoint {
	return Endpoint{ID: id, Zone: Zone(id[:1]), Cell: Cell(id[0]), Build: b, MachineType: "k", Capacity: 1}
}

func (sim *harness) handle(e Event) []Action {
	got := sim.balancer.Handle(sim.now, e)
	sim.actions = append(sim.actions, got...)
	return got
}

// wait lets time pass in looks around.
func (sim *harness) advance(span Millis) {
	for end := sim.now + span; sim.now < end; {
		sim.now += sim.balancer.tickInterval
		sim.handle(TimerFired{})
	}
}

// hit takes a hit and returns its id and the node that it went to, if any.
func (r *harness) request(g ClassName, key Key) (RequestID, EndpointID) {
	r.lastID++
	r.handle(RequestReceived{Request: r.lastID, Class: g, Key: key, TTL: 1000})
	return r.lastID, r.attemptedAt(r.lastID, 0)
}

// sent is the node of a hit's forward by its number.
func (r *harness) attemptedAt(h RequestID, attempt int) EndpointID {
	for _, a := range r.actions {
		if f, ok := a.(StartAttempt); ok && f.Request == h {
			if attempt == 0 {
				return f.Endpoint
			}
			attempt--
		}
	}
	return ""
}

func (r *harness) endAttempt(h RequestID, attempt int, outcome Outcome, after Millis) {
	r.handle(AttemptEnded{
		Request: h, Attempt: attempt, Outcome: outcome, Endpoint: r.attemptedAt(h, attempt), After: after,
		RequestEnded: outcome == Succeeded,
	})
}

// answer delivers what was forwarded since it was last called and counts the forwards to a node.
func (r *harness) respond(endpoint EndpointID, after Millis) (n int) {
	for ; r.delivered < len(r.actions); r.delivered++ {
		if f, ok := r.actions[r.delivered].(StartAttempt); ok {
			r.handle(AttemptEnded{Request: f.Request, Outcome: Succeeded, Endpoint: f.Endpoint, After: after, RequestEnded: true})
			if f.Endpoint == endpoint {
				n++
			}
		}
	}
	return n
}

// answers counts the final answers that the marshal gave a hit, and names the last.
func (r *harness) responses(h RequestID) (n int, last string) {
	for _, a := range r.actions {
		switch a := a.(type) {
		case Reject:
			if a.Request == h {
				n, last = n+1, "bounce"
			}
		case Fail:
			if a.Request == h {
				n, last = n+1, "fail"
			}
		}
	}
	return n, last
}

// votes are the verdicts cast, in order.
func (r *harness) votes() string {
	out := ""
	for _, a := range r.actions {
		if v, ok := a.(Vote); ok {
			out += fmt.Sprint(int(v.Verdict))
		}
	}
	return out
}

func trialUpdate(stage int, cap float64) StageUpdate {
	return StageUpdate{Build: 8, Phase: InTrial, Stage: stage, ExposureCap: cap}
}
