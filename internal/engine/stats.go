package engine

// Counters of requests and attempts, and the module's status.

import "ottershed/decision"

// Stats holds the counters since the engine's start and the module's current status.
type Stats struct {
	Requests            int64
	RequestsSucceeded   int64
	RequestsRejected    int64
	RequestsFailed      int64
	ObjectivesMissed    int64 // requests that succeeded later than their class's latency objective
	ClientsDisconnected int64 // clients that disconnected before their result

	Attempts            int64
	AttemptsCanceled    int64
	AttemptsRejected    int64 // rejected by the endpoint
	AttemptsUnreachable int64
	AttemptsBroken      int64 // the connection broke
	AttemptsTimedOut    int64
	AttemptsFailed      int64 // the endpoint responded with an error, or the response was malformed

	HealthChecks int64
	Votes        int64
	Status       decision.Status
}

// statusReporter is a module that reports its status. The decision module implements it; modules of tests need not.
type statusReporter interface {
	Status() decision.Status
}

var _ statusReporter = (*decision.Balancer)(nil)

// statsCounter updates the counters. It needs the latency objectives to count missed ones.
type statsCounter struct {
	counters   Stats
	objectives map[decision.ClassName]decision.Millis
}

// currentStats returns the counters, with the module's status if the module reports one.
func (c *core) currentStats() Stats {
	stats := c.stats.counters
	if reporter, ok := c.module.(statusReporter); ok {
		stats.Status = reporter.Status()
	}
	return stats
}

// countResult counts the result of a request. It also counts a missed latency objective if the request succeeded.
func (s *statsCounter) countResult(now decision.Millis, kind ResultKind, request *ClientRequest) {
	switch kind {
	case Succeeded:
		s.counters.RequestsSucceeded++
		objective, hasObjective := s.objectives[request.Class]
		if hasObjective && now > request.ReceivedAt+objective {
			s.counters.ObjectivesMissed++
		}
	case Rejected:
		s.counters.RequestsRejected++
	case Failed:
		s.counters.RequestsFailed++
	}
}

// countOutcome counts the outcome of an attempt.
func (s *statsCounter) countOutcome(outcome decision.Outcome) {
	switch outcome {
	case decision.EndpointRejected:
		s.counters.AttemptsRejected++
	case decision.Unreachable:
		s.counters.AttemptsUnreachable++
	case decision.ConnectionBroken:
		s.counters.AttemptsBroken++
	case decision.TimedOut:
		s.counters.AttemptsTimedOut++
	case decision.Canceled:
		s.counters.AttemptsCanceled++
	case decision.EndpointFailed, decision.MalformedResponse:
		s.counters.AttemptsFailed++
	}
}
