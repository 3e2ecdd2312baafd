package decision

import (
	"cmp"
	"maps"
	"slices"

	"ottershed/internal/stats"
)

// Marshal is one instance.
type Marshal struct {
	set                  Settings
	chance               stats.Chance
	now, period          Millis
	ticked, told, voteOK bool
	acts                 []Action
	groups               map[GroupName]*group
	order, all           []*group // path groups as in the settings; with the two below
	pool                 *group   // all of them, each by its pace, so that thin marshals fill groups too
	desk                 *group   // the same from the desk's counts
	certain, proof       float64  // the test statistic that is proof alone; outcomes that a blind vote takes
	holdAfter            int      // rejections in a row that hold the clock

	nodes                map[NodeID]*node
	list                 []*node              // nodes by id; the list of nodes empties it
	hits                 map[HitID]*hit       // open hits; their endings empty it
	lines                [2][]*hit            // hits that wait for a first or a further forward
	kinds                map[Kind]*stats.Mean // by the list's kinds of machine
	news                 StageNews            // as last told
	stageAt              Millis               // start of the stage
	askAt, askedAt       Millis               // the next call for the list, and the last
	askPause             Millis               // after a refusal, growing
	room                 allowance            // exposure over all path groups
	pins                 map[uint16]bool      // hashes of keys that pinBuild answered
	pinBuild             Build
	share, turn          float64               // of hits that go to grn; the newest one's place among them
	typical, least       Millis                // answer time over all nodes, and the least it was, creeping up
	zoneTime             [2]Millis             // answer time of late, at home and away
	saved                float64               // chance to miss the target that another zone has less of, beyond the price of crossing
	crossing             float64               // share of hits that go to another zone though home could take them
	slow                 float64               // share of answers that took long for their target
	slowBy               []*float64            // the same by tenant and path group
	tenants              map[TenantID]*float64 // as in the settings
	out, stuck           int                   // forwards out, and those of them at silent nodes
	limit, peak          float64               // on forwards out at all nodes; how many were out lately
	rate, delivered      float64               // answers a ms of a warm unit; the newest
	intake, intakeBefore float64               // first tries a ms, and as the build was offered
	failures             stats.Count           // own ones, bad where the node answered with an error
	troubleAt            Millis                // a node was last found out of reach
	closeAt              Millis                // the pool's group of the build on trial is judged as it is
	parts                [2][2][]*node         // the list by build and zone: blue and grn, at home and away
	from                 [2][]*node            // scratch: those that a hit may go to, at home and away; nil for cold ones
	crowd                bool                  // scratch: the warm may take what cold ones can't
	weights              [2][]float64
	base                 [2]Millis // what a probe to an idle node takes, at home and away
	broken               float64   // smoothed share of forwards that found no connection or broke
	missed               float64   // smoothed share of forwards that were late or lost
	refused              float64   // smoothed share of forwards that were refused a connection at once
	vote                 Vote
	voteAt, voteDue      Millis // when it was cast; no other before
}

// group is a path group with what its outcomes say of the builds.
type group struct {
	PathGroup
	index                  int
	room                   allowance
	pace, deskPace         stats.Mean     // of the earlier build, by own outcomes and by the desk's counts
	paceBefore, deskBefore float64        // as they were when the build was offered
	before                 *group         // this one from before the trial, for builds that slow all nodes
	early                  []float64      // outcomes since a build was offered and none of its nodes ran
	doubted                bool           // they were slower already
	kept                   []float64      // of the earlier build, as the stage began
	blue, grn              stats.Groups   // of the earlier build and of the one on trial
	gone                   stats.Count    // outcomes of earlier nodes that have left, since the build's offer
	counted                [2]stats.Count // by the desk, since then: of grn, and as many of blue beside them
	blueNow                stats.Count    // of blue in the desk's newest period
	agrees                 bool
	rejects, often         int      // in a row; as many send a build back
	slow                   *float64 // share of answers that took long for their target
	begun                  Millis   // first outcome of the group being filled against the time before the trial
	gap                    float64  // of medians, at the last look
}

type node struct {
	Node
	pace          *stats.Mean   // of its kind of machine
	tally         []stats.Count // outcomes by path group, since the build was offered
	out           int
	coldAt        Millis  // its start, as far as known
	since         Millis  // last answer, or the first forward out after it
	ans           Millis  // smoothed answer time
	fail          float64 // smoothed share of failures
	limit, budget float64 // forwards out at most; forwards that a cold node may still get
	misses        int     // forwards in a row that found no connection or broke
	strikes       int     // times in a row that it was found unreachable or silent
	shut          Millis  // nothing before: after a strike, or a short rest after it was full
	look          float64 // what the last probe took, as a multiple of that to an idle node
	lookAt        Millis  // when it came back; 0 once a hit was sent there
}

type hit struct {
	id HitID
	*group
	key         uint32  // hash; 0 without a key
	place       float64 // from 0 to 1, the lowest go to grn first
	tenantSlow  *float64
	taken, ends Millis
	forwards    []forward
	out         int
	done        bool // final answer given, or hit gone
	looks       int  // probes sent for its next forward
	lookAt      Millis
}

// first is the first forward of the hit that may have run; nil where none has.
func (h *hit) first() *forward {
	if i := slices.IndexFunc(h.forwards, func(f forward) bool { return f.ran }); i >= 0 {
		return &h.forwards[i]
	}
	return nil
}

// ran tells whether a forward of the hit may have run.
func (h *hit) ran() bool { return h.first() != nil }

type forward struct {
	*node
	at              Millis
	out, ran, moved bool // still out; may have run; called off or copied
}

// allowance is what may still go to builds on trial. The cap of each hit taken fills it, and it holds the
// free number at most from one instant to the next; so forwards number at most free + cap x taken in every
// window, wherever it ends. Danger: a window of buckets holds only for windows that end at a forward.
type allowance struct{ level, seen float64 }

func (m *Marshal) do(a Action) { m.acts = append(m.acts, a) }

// first tells whether nothing has happened before.
func (m *Marshal) first() bool {
	was := m.ticked
	m.ticked = true
	return !was
}

// side is 1 for nodes of the newest build, 0 for earlier ones; away is 1 for those of other zones.
func (m *Marshal) side(n *node) int { return min(1, max(0, int(n.Build-m.news.Build)+1)) }

func (m *Marshal) away(n *node) int {
	if n.Zone == m.set.Zone {
		return 0
	}
	return 1
}

// part sorts the nodes of the list by side and by away.
func (m *Marshal) part() {
	m.parts = [2][2][]*node{}
	for _, n := range m.list {
		to := &m.parts[m.side(n)][m.away(n)]
		*to = append(*to, n)
	}
}

// count adds outcomes to a node's tallies of their path group and of all.
func (n *node) count(g, pool *group, c stats.Count) {
	n.tally[g.index].Add(c, 1)
	n.tally[pool.index].Add(c, 1)
}

// held is an open hit and one of its forwards, nil where there is none.
func (m *Marshal) held(id HitID, i int) (*hit, *forward) {
	if h := m.hits[id]; h != nil && i >= 0 && i < len(h.forwards) {
		return h, &h.forwards[i]
	}
	return nil, nil
}

// tenant is the share of slow answers of a tenant; the settings bound their number.
func (m *Marshal) tenant(id TenantID) *float64 {
	slow := m.tenants[id]
	if slow == nil {
		slow = new(float64)
		m.tenants[id], m.slowBy = slow, append(m.slowBy, slow)
	}
	return slow
}

// merge takes in what the list says; of earlier nodes that leave it the outcomes are kept, and hits may still know
// them. A node that started anew, or on another build, is another node.
func (m *Marshal) merge(e NodesChanged, fresh func(Node) *node) {
	drop := func(n *node) {
		n.State = Removed
		delete(m.nodes, n.ID)
		for _, g := range append(m.order, m.pool) {
			if n.Build < m.news.Build {
				g.gone.Add(n.tally[g.index], 1)
			}
		}
	}
	named := map[NodeID]bool{}
	for _, in := range e.Nodes {
		named[in.ID] = true
		n := m.nodes[in.ID]
		if n != nil && (in.State == Removed || n.Started != in.Started || n.Build != in.Build) {
			drop(n)
			n = nil
		}
		if in.State != Removed && n == nil {
			n = fresh(in)
			n.pace = cmp.Or(m.kinds[in.Kind], &stats.Mean{})
			m.nodes[in.ID], m.kinds[in.Kind] = n, n.pace
		}
		if n != nil {
			n.Node = in
		}
	}
	for _, n := range m.list {
		if e.How != Changes && !named[n.ID] {
			drop(n)
		}
	}
	m.list = slices.SortedFunc(maps.Values(m.nodes), func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
	m.part()
}

// finish forgets a hit that has its final answer, once its forwards have ended; those still out are called off.
func (m *Marshal) finish(h *hit) {
	if h.done = true; h.out == 0 {
		delete(m.hits, h.id)
	}
	for i := range h.forwards {
		if f := &h.forwards[i]; f.out && m.set.MayCancel && !f.moved {
			f.moved = true
			m.do(Cancel{Hit: h.id, Forward: i})
		}
	}
}

// crowding is the least share of answers that took long for their target, of all path groups and tenants.
func (m *Marshal) crowding() float64 {
	least := 1.0
	for _, s := range m.slowBy {
		least = min(least, *s)
	}
	return least
}

// enter adds an outcome to the groups of its build.
func (g *group) enter(grn bool, x float64) {
	if !grn {
		g.blue.Add(x, groupSize)
	} else if g.grn.Add(x, groupSize) {
		g.judge()
	}
}

// looked tells whether a probe has just come back from a node, and no hit was sent there since.
func (m *Marshal) looked(n *node) bool { return n.lookAt > 0 && m.now-n.lookAt < m.least }

// begin notes when the group that is filled next against the time before the trial has its first outcome.
func (g *group) begin(now Millis) {
	if len(g.grn.Fill) == 0 {
		g.begun = now
	}
}

// beginStage begins the groups of a stage. What was seen of the earlier build is kept where it is so many outcomes or more:
// a thin marshal fills no group of it between two stages, and where it is gone none comes any more. It is kept for what
// these outcomes lean to; as a group they would send good builds back.
func (m *Marshal) beginStage(enough int) {
	for _, g := range m.all {
		if seen := slices.Concat(g.blue.Last, g.blue.Fill); len(seen) >= enough {
			g.kept = seen
		}
		g.blue.Fill, g.grn, g.agrees, g.rejects = nil, stats.Groups{}, false, 0
	}
}

// beginBuild begins the counts of a build that is offered, and keeps how things stood before.
func (m *Marshal) beginBuild() {
	m.intakeBefore = m.intake
	for _, g := range m.all {
		g.paceBefore, g.deskBefore = g.pace.Value, g.deskPace.Value
		g.gone, g.counted, g.before = stats.Count{}, [2]stats.Count{}, nil
		before := *g
		g.before = &before // its groups are not written to again
	}
	for _, n := range m.list {
		clear(n.tally)
	}
}

// close ends the group of the build on trial that is being filled as it is, and judges it.
func (g *group) close() {
	g.grn.Close()
	g.judge()
}

// pin notes that a build has answered a key. Keys of builds before it are forgotten.
func (m *Marshal) pin(b Build, key uint32) {
	if b > m.pinBuild {
		m.pinBuild, m.pins = b, map[uint16]bool{}
	}
	m.pins[uint16(key>>16)] = true
}
