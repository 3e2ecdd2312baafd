package engine

import (
	"context"
	"ottershed/decision"
)

// Figures are what an owner has counted since its start, and how things stand for the module.
type Stats struct {
	Requests, Attempts, RequestsSucceeded, RequestsRejected, RequestsFailed                 int64
	ClientsDisconnected, AttemptsCanceled, HealthChecks, Votes                              int64 // clients that left before the answer; forwards called off
	AttemptsRejected, AttemptsUnreachable, AttemptsBroken, AttemptsTimedOut, AttemptsFailed int64 // endings of forwards that were not delivered
	ObjectivesMissed                                                                        int64 // hits delivered after their path group's target latency
	Status                                                                                  decision.Status
}

type statsRequested struct{ reply chan<- Stats } // it has room

func (statsRequested) message() {}

// Figures are those of now; false where ctx ends before.
func (m *Engine) Stats(ctx context.Context) (Stats, bool) {
	stats := make(chan Stats, 1)
	m.post(statsRequested{stats})
	select {
	case f := <-stats:
		return f, true
	case <-ctx.Done():
		return Stats{}, false
	}
}

// figures are what was counted, with the module's sight where it has one.
func (c *core) stats() Stats {
	f := c.counters
	if s, ok := c.module.(interface{ Sight() decision.Status }); ok {
		f.Status = s.Sight()
	}
	return f
}

// answered counts a final answer.
func (f *Stats) countResult(result Result, late bool) {
	switch result.Kind {
	case Succeeded:
		f.RequestsSucceeded++
		if late {
			f.ObjectivesMissed++
		}
	case Rejected:
		f.RequestsRejected++
	case Failed:
		f.RequestsFailed++
	}
}

// ended counts the ending of a forward.
func (f *Stats) countOutcome(outcome decision.Outcome) {
	switch outcome {
	case decision.EndpointRejected:
		f.AttemptsRejected++
	case decision.Unreachable:
		f.AttemptsUnreachable++
	case decision.ConnectionBroken:
		f.AttemptsBroken++
	case decision.TimedOut:
		f.AttemptsTimedOut++
	case decision.Canceled:
		f.AttemptsCanceled++
	case decision.EndpointFailed, decision.MalformedResponse:
		f.AttemptsFailed++
	}
}
