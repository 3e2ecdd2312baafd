package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// Evidence is what this marshal has seen of the newest build; false where there is none on trial.
func (m *Marshal) Evidence() (Evidence, bool) {
	e := Evidence{Build: m.news.Build, Stage: m.news.Stage}
	if !m.told || m.news.Phase != OnTrial {
		return e, false
	}
	for _, g := range append(slices.Clone(m.order), m.pool) {
		e.Groups = append(e.Groups, GroupEvidence{Group: g.Name, Blue: outcomes(g.blue), Grn: outcomes(g.grn)})
	}
	for _, g := range m.order {
		for _, n := range m.list {
			if t := n.tally[g.index]; t.N() > 0 {
				e.Counts = append(e.Counts, NodeCount{Node: n.ID, Build: n.Build, Group: g.Name, Good: t.Good, Bad: t.Bad})
			}
		}
		if g.gone.N() > 0 {
			e.Counts = append(e.Counts, NodeCount{Group: g.Name, Good: g.gone.Good, Bad: g.gone.Bad})
		}
	}
	return e, true
}

// outcomes are those of a build that are kept, oldest first.
func outcomes(g stats.Groups) []float64 { return slices.Concat(g.Before, g.Last, g.Fill) }

// adopt adds evidence to this marshal's own: counts of the same build, and outcomes of the same stage, which enter the
// groups as those of its own do.
func (m *Marshal) adopt(e Evidence, build, stage bool) {
	for _, c := range e.Counts {
		g, count := m.groups[c.Group], stats.Count{Good: c.Good, Bad: c.Bad}
		n := m.nodes[c.Node]
		switch {
		case !build || g == nil:
		case n != nil && n.Build == c.Build:
			n.count(g, m.pool, count)
		case c.Node == "" || c.Build < m.news.Build: // it has left since
			g.gone.Add(count, 1)
			m.pool.gone.Add(count, 1)
		}
	}
	for _, o := range e.Groups {
		g := m.groups[o.Group]
		if o.Group == "" {
			g = m.pool
		}
		if !build || !stage || g == nil {
			continue
		}
		for _, x := range o.Blue {
			g.enter(false, x)
		}
		for _, x := range o.Grn {
			g.enter(true, x)
		}
	}
}

// disown forgets what was seen of the newest build, and the vote that came of it.
func (m *Marshal) disown() {
	for _, g := range m.all {
		g.grn, g.agrees, g.rejects, g.gone = stats.Groups{}, false, 0, stats.Count{}
	}
	for _, n := range m.list {
		clear(n.tally)
	}
	m.vote, m.voteAt = Vote{}, 0
}
