package decision

// Status is how things stand for an instance at one moment, for its log and its operators. No decision reads
// it.
type Status struct {
	Serving     int // endpoints that take requests
	WarmingUp   int // of these, warming up
	Unavailable int // of these, ejected as silent or out of reach

	InFlight int // attempts
	Queued   int // requests that wait for an attempt

	Build   Build
	Stage   int
	Phase   Phase
	Verdict Verdict // of the vote that was cast

	Outcomes        float64 // of the candidate that were seen
	FailureEvidence float64 // against it, as a multiple of what proves a bad build
	Rejections      int     // in a row, the most of any class
}

// Status returns how things stand now.
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
