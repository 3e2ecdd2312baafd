package decision

import (
	"ottershed/internal/stats"
	"slices"
)

// Evidence is what this marshal has seen of the newest build; false where there is none on trial.
func (m *Balancer) Evidence() (Evidence, bool) {
	e := Evidence{Build: m.rollout.Build, Stage: m.rollout.Stage}
	if !m.stageKnown || m.rollout.Phase != InTrial {
		return e, false
	}
	for _, g := range append(slices.Clone(m.classOrder), m.overall) {
		e.Classes = append(e.Classes, ClassEvidence{Class: g.Name, Baseline: outcomes(g.baseline), Candidate: outcomes(g.candidate)})
	}
	for _, g := range m.classOrder {
		for _, n := range m.ordered {
			if t := n.outcomes[g.index]; t.Total() > 0 {
				e.Counts = append(e.Counts, EndpointCount{Endpoint: n.ID, Build: n.Build, Class: g.Name, Succeeded: t.Good, Failed: t.Bad})
			}
		}
		if g.departed.Total() > 0 {
			e.Counts = append(e.Counts, EndpointCount{Class: g.Name, Succeeded: g.departed.Good, Failed: g.departed.Bad})
		}
	}
	return e, true
}

// outcomes are those of a build that are kept, oldest first.
func outcomes(g stats.Groups) []float64 { return slices.Concat(g.Before, g.Last, g.Fill) }

// adopt adds evidence to this marshal's own: counts of the same build, and outcomes of the same stage, which enter the
// groups as those of its own do.
func (m *Balancer) acquireEvidence(e Evidence, build, stage bool) {
	for _, c := range e.Counts {
		g, count := m.classes[c.Class], stats.Count{Good: c.Succeeded, Bad: c.Failed}
		n := m.endpoints[c.Endpoint]
		switch {
		case !build || g == nil:
		case n != nil && n.Build == c.Build:
			n.count(g, m.overall, count)
		case c.Endpoint == "" || c.Build < m.rollout.Build: // it has left since
			g.departed.Add(count, 1)
			m.overall.departed.Add(count, 1)
		}
	}
	for _, o := range e.Classes {
		g := m.classes[o.Class]
		if o.Class == "" {
			g = m.overall
		}
		if !build || !stage || g == nil {
			continue
		}
		for _, x := range o.Baseline {
			g.add(false, x)
		}
		for _, x := range o.Candidate {
			g.add(true, x)
		}
	}
}

// disown forgets what was seen of the newest build, and the vote that came of it.
func (m *Balancer) revokeEvidence() {
	for _, g := range m.statistics {
		g.candidate, g.agrees, g.rejections, g.departed = stats.Groups{}, false, 0, stats.Count{}
	}
	for _, n := range m.ordered {
		clear(n.outcomes)
	}
	m.vote, m.votedAt = Vote{}, 0
}
