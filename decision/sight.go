package decision

// Sight is how things stand for a marshal at one moment, for those who look on; no decision reads it.
type Sight struct {
	Nodes, Cold, Away int // of the list: that take hits; of these not warm; found silent or out of reach
	Out, Waiting      int // forwards out; hits that wait for one
	Build             Build
	Stage             int
	Phase             Phase
	Verdict           Verdict
	Seen, Failing     float64 // outcomes of the build on trial; its failures as a multiple of what proves it
	Rejects           int     // rejections in a row, the most of any path group
}

// Sight tells how things stand now.
func (m *Marshal) Sight() Sight {
	s := Sight{Out: m.out, Waiting: len(m.lines[0]) + len(m.lines[1]), Build: m.news.Build, Stage: m.news.Stage,
		Phase: m.news.Phase, Verdict: m.vote.Verdict}
	for _, n := range m.list {
		if n.State != Up {
			continue
		}
		s.Nodes++
		if m.warmth(n) < 1 {
			s.Cold++
		}
		if n.strikes > 0 {
			s.Away++
		}
	}
	s.Failing, s.Seen, _ = m.failing()
	for _, g := range m.all {
		s.Rejects = max(s.Rejects, g.rejects)
	}
	return s
}
