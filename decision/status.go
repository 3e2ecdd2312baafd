package decision

// Status is a summary of an instance's state for logs and operators. No decision depends on it.
type Status struct {
	Serving     int // endpoints in the state Serving
	WarmingUp   int // of the Serving ones, those that are warming up
	Unavailable int // of the Serving ones, those that are ejected as silent or unreachable

	InFlight int // attempts in flight
	Queued   int // requests that wait for an attempt

	Build   Build   // newest build
	Stage   int     // of the newest build, from 0
	Phase   Phase   // of the newest build
	Verdict Verdict // of the instance's current vote

	Outcomes        float64 // number of outcomes of the candidate
	FailureEvidence float64 // test statistic on failures, as a multiple of the threshold for a rollback
	Rejections      int     // consecutive rejections, highest of all classes
}

// Status returns a summary of the current state.
func (b *Balancer) Status() Status {
	update := &b.trial.update
	status := Status{
		InFlight: b.load.inFlight,
		Queued:   len(b.requests.queues[firstAttempts]) + len(b.requests.queues[retries]),
		Build:    update.Build,
		Stage:    update.Stage,
		Phase:    update.Phase,
		Verdict:  b.voting.vote.Verdict,
	}
	for _, ep := range b.endpoints.ordered {
		if ep.State != Serving {
			continue
		}
		status.Serving++
		if b.warmingUp(ep) {
			status.WarmingUp++
		}
		if ep.ejections > 0 {
			status.Unavailable++
		}
	}
	evidence := b.failureEvidence()
	status.FailureEvidence, status.Outcomes = evidence.strength, evidence.outcomes
	for _, class := range b.classes.all {
		status.Rejections = max(status.Rejections, class.rejections)
	}
	return status
}
