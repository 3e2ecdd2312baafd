package decision

// Sight is how things stand for a marshal at one moment, for those who look on; no decision reads it.
type Status struct {
	Serving, WarmingUp, Unavailable int // of the list: that take hits; of these not warm; found silent or out of reach
	InFlight, Queued                int // forwards out; hits that wait for one
	Build                           Build
	Stage                           int
	Phase                           Phase
	Verdict                         Verdict
	Outcomes, FailureEvidence       float64 // outcomes of the build on trial; its failures as a multiple of what proves it
	Rejections                      int     // rejections in a row, the most of any path group
}

// Sight tells how things stand now.
func (m *Balancer) Status() Status {
	s := Status{
		InFlight: m.inFlight, Queued: len(m.queues[0]) + len(m.queues[1]), Build: m.rollout.Build, Stage: m.rollout.Stage,
		Phase: m.rollout.Phase, Verdict: m.vote.Verdict,
	}
	for _, n := range m.ordered {
		if n.State != Serving {
			continue
		}
		s.Serving++
		if m.slowStartWeight(n) < 1 {
			s.WarmingUp++
		}
		if n.ejections > 0 {
			s.Unavailable++
		}
	}
	s.FailureEvidence, s.Outcomes, _ = m.failureEvidence()
	for _, g := range m.statistics {
		s.Rejections = max(s.Rejections, g.rejections)
	}
	return s
}
