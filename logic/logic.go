// Package logic decides what a marshal does with every hit while a new build replaces the earlier one.
//
// Callers make one Marshal for each instance with New and give it what happened, in order, through Handle,
// its only entry point, which returns what is to be done then. It shares nothing, reads no clock, starts
// nothing. api.go has the types. Grn is a build on trial, blue an earlier one. Reasons: docs/design.md.
package logic

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"

	"ottershed/internal/stats"
)

const ( // the figures of the design page
	groupSize  = 20     // answers in a group
	rejectAt   = 3.84   // the test statistic from which two groups differ
	slowGap    = 1.25   // medians this far apart are clearly slower
	backAfter  = 2      // rejections in a row that send a build back
	blindAfter = 4000.0 // ms into a stage without full groups
)

const ( // ours; shares of figures from the settings or of what is seen
	freshness = 0.15          // weight of the newest answer in what is known of a node
	avoidHush = 4.0           // silence, as -log of its likelihood, from which a node gets nothing new
	leaveHush = 8.0           // and from which what it holds is moved
	slack     = 2.0           // answer time over the shortest at which the in-flight limit starts to fall
	patience  = 0.25          // of the target latency: the wait for a first forward
	tickShare = 0.05          // of the shortest target latency: the time between looks around
	memory    = 2 * groupSize // outcomes in a pace
	tiny      = 1e-9
)

// Marshal is one instance.
type Marshal struct {
	set                  Settings
	chance               stats.Chance
	now, period          Millis
	ticked, told, voteOK bool
	acts                 []Action
	groups               map[GroupName]*group
	order                []*group // path groups as in the settings
	pool                 *group   // all of them, each by its pace, so that thin marshals fill groups too
	before               group    // the pool from before the trial, for builds that slow all nodes
	nodes                map[NodeID]*node
	list                 []*node              // nodes by id; the list of nodes empties it
	hits                 map[HitID]*hit       // open hits; their endings empty it
	lines                [2][]*hit            // hits that wait for a first or a further forward
	kinds                map[Kind]*stats.Mean // by the list's kinds of machine
	news                 StageNews            // as last told
	stageAt, askAt       Millis               // start of the stage; next call for the list after a refusal
	room                 allowance            // exposure over all path groups
	pins                 map[uint16]bool      // hashes of keys that pinBuild answered
	pinBuild             Build
	share                float64 // of hits that go to grn
	typical, least       Millis  // answer time over all nodes, and the least it was, creeping up
	rate, delivered      float64 // answers a ms of a warm unit; the newest
	troubleAt            Millis  // a node was last found out of reach
	vote                 Vote
	voteAt, voteDue      Millis // when it was cast; no other before
}

// group is a path group with what its outcomes say of the builds.
type group struct {
	PathGroup
	index             int
	room              allowance
	pace, floor       stats.Mean  // of the earlier build, and of the lower quartiles of its groups
	paceBefore        float64     // as it was when the build was offered
	blue, kept, older []float64   // filling group of the earlier build, its last full one and the one before
	grn, prev         []float64   // filling and last full group of the build on trial
	gone              stats.Count // outcomes of earlier nodes that have left, since the build was offered
	agrees            bool
	rejects           int
	gap               float64 // of medians, at the last look
}

type node struct {
	Node
	tally         []stats.Count // outcomes by path group, since the build was offered
	out           int
	coldAt        Millis  // its start, as far as known
	since         Millis  // last answer, or the first forward out after it
	ans           Millis  // smoothed answer time
	fail          float64 // smoothed share of failures
	limit, budget float64 // forwards out at most; forwards that a cold node may still get
	strikes       int     // times in a row that it was found unreachable or silent
	shut          Millis  // nothing before: after a strike, or a short rest after it was full
}

type hit struct {
	id HitID
	*group
	key         uint32  // hash; 0 without a key
	place       float64 // from 0 to 1, the lowest go to grn first
	taken, ends Millis
	forwards    []forward
	out         int
	done        bool // final answer given, or hit gone
}

type forward struct {
	*node
	at              Millis
	out, ran, moved bool // still out; may have run; called off or copied
}

// New makes an instance that knows nothing but its settings.
func New(set Settings, seed uint64) *Marshal {
	m := &Marshal{set: set, chance: stats.Chance{Seed: seed}, period: math.Inf(1), troubleAt: math.Inf(-1),
		groups: map[GroupName]*group{}, nodes: map[NodeID]*node{}, hits: map[HitID]*hit{},
		kinds: map[Kind]*stats.Mean{}, pins: map[uint16]bool{}}
	m.room.level = set.Free
	m.pool = &group{room: m.room, index: len(set.Groups)}
	for i, g := range set.Groups {
		m.groups[g.Name] = &group{PathGroup: g, index: i, room: m.room}
		m.order = append(m.order, m.groups[g.Name])
		m.period = min(m.period, g.Target*tickShare)
		m.pool.Target = max(m.pool.Target, g.Target)
	}
	m.period = max(min(m.period, m.pool.Target), set.Granularity, 1)
	m.set.WarmAfter, m.set.OverFor = max(set.WarmAfter, m.period), max(set.OverFor, m.period) // divisors
	m.typical, m.least = m.pool.Target*patience, m.pool.Target*patience
	return m
}

// Handle takes what happened and returns what is to be done.
func (m *Marshal) Handle(now Millis, event Event) []Action {
	m.now, m.acts = now, nil
	if !m.ticked {
		m.ticked = true
		m.do(WakeAt{At: now + m.period})
	}
	switch e := event.(type) {
	case NodesChanged:
		m.nodesChanged(e)
	case HitTaken:
		m.take(e)
	case AnswerStarted:
		if h := m.hits[e.Hit]; h != nil && e.Forward >= 0 && e.Forward < len(h.forwards) {
			h.ends = math.Inf(1) // a stream belongs to the client
			h.forwards[e.Forward].moved = true
			m.answered(h.forwards[e.Forward].node)
		}
	case ForwardEnded:
		if h := m.hits[e.Hit]; h != nil && e.Forward >= 0 && e.Forward < len(h.forwards) {
			m.forwardEnded(h, &h.forwards[e.Forward], e)
		}
	case HitGone:
		if h := m.hits[e.Hit]; h != nil {
			m.finish(h)
		}
	case TimerDue:
		m.do(WakeAt{At: now + m.period})
		m.lookAround()
	case StageNews:
		m.stageNews(e)
	case Flagged: // a wrong answer is a failure; only a share of them is told
		if n, g := m.nodes[e.Node], m.groups[e.Group]; n != nil && g != nil {
			wrong := stats.Count{Bad: 1 / max(m.set.FlagShare, freshness)}
			n.tally[g.index].Add(wrong, 1)
			n.tally[m.pool.index].Add(wrong, 1)
		}
	}
	return m.acts
}

func (m *Marshal) do(a Action) { m.acts = append(m.acts, a) }

func (m *Marshal) nodesChanged(e NodesChanged) {
	if e.How == ListRefused {
		m.askAt = m.now + m.set.AskWithin*freshness*(0.5+m.chance.Next())
		return
	}
	drop := func(n *node) {
		n.State = Removed // hits that were forwarded there still know it
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
			drop(n) // started anew, or on another build, it is another node
			n = nil
		}
		if in.State != Removed && n == nil {
			n = &node{coldAt: in.Started, ans: m.typical, limit: 1, budget: m.chance.Next(),
				tally: make([]stats.Count, len(m.order)+1)}
			m.nodes[in.ID] = n
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
}

// warmth is the part of its capacity that a node has at the least.
func (m *Marshal) warmth(n *node) float64 {
	if age := m.now - n.coldAt; n.coldAt > 0 && age < m.set.WarmAfter {
		return m.set.ColdFrom + (1-m.set.ColdFrom)*max(age, 0)/m.set.WarmAfter
	}
	return 1
}

// hush is how unlikely a node's silence is, as -log, if answers came at its usual pace.
func (m *Marshal) hush(n *node) float64 {
	return float64(n.out) * (m.now - n.since) / max(n.ans, m.typical)
}

func (m *Marshal) answered(n *node) {
	if n.since = m.now; n.strikes > 0 {
		// Danger: out of reach it may have restarted, before the list tells: full traffic would push it over.
		n.strikes, n.shut, n.coldAt = 0, 0, max(n.coldAt, m.now)
	}
}

func (m *Marshal) strike(n *node) {
	n.strikes, m.troubleAt = n.strikes+1, m.now
	rest := m.pool.Target * freshness * math.Exp2(float64(n.strikes)) * (0.5 + m.chance.Next())
	n.shut = m.now + min(m.set.WarmAfter, rest)
}

// ---- Hits and their one final answer ----

func (m *Marshal) take(e HitTaken) {
	h := &hit{id: e.Hit, taken: m.now, ends: m.now + e.TTL, place: m.chance.Next()}
	h.group = cmp.Or(m.groups[e.Group], m.pool) // not in the settings: the most careful effect
	h.key = crc32.ChecksumIEEE([]byte(e.Key)) | uint32(min(1, len(e.Key)))
	if m.set.KeysStay && h.key != 0 {
		// A slice of the key space by hash, growing with the stage, so that few keys ever change sides.
		h.place = float64(h.key) / (1 << 32)
	}
	m.hits[h.id] = h
	*m.left(h) += m.fill()
	m.lines[0] = append(m.lines[0], h)
	m.serve()
}

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

// giveUp gives the final answer at once: a bounce where that is harmless, else an error.
func (m *Marshal) giveUp(h *hit) {
	if b := (Bounce{Hit: h.id}); m.mayBounce(h) {
		if m.set.MayBounceLater {
			b.ComeBack = min(m.set.MaxComeBack, h.Target*patience)
		}
		m.do(b)
	} else {
		m.do(Fail{Hit: h.id})
	}
	m.finish(h)
}

// mayBounce tells whether a client may be told that trying again is harmless.
func (m *Marshal) mayBounce(h *hit) bool {
	ran := slices.ContainsFunc(h.forwards, func(f forward) bool { return f.ran })
	return !ran || h.Effect == Repeatable || h.Effect == Tagged && h.Scope == ScopeAll
}

// mayGo is the gate: whether this hit may go to this node now. All rules on forwards are kept here.
func (m *Marshal) mayGo(h *hit, n *node) bool {
	s := &m.set
	if h.done || m.now >= h.ends || n.State != Up || len(h.forwards) >= s.MaxForwards ||
		h.out > 0 && (!s.MayCopy || h.out > 1) {
		return false
	}
	for _, f := range h.forwards {
		if f.ran && (h.Effect == Mutating || h.Effect == Tagged && (m.now >= f.at+h.Remember-2*s.Granularity ||
			h.Scope != ScopeAll && f.Zone != n.Zone || h.Scope == ScopeCell && f.Cell != n.Cell)) {
			return false
		}
	}
	if trial, stage, cap := m.trial(n.Build); trial &&
		(cap <= 0 || *m.left(h) < 1 || stage < s.Guarded && h.Effect != Repeatable) {
		return false
	}
	if s.KeysStay && n.Build < m.pinBuild && h.key != 0 && m.pins[uint16(h.key>>16)] {
		return false
	}
	return m.warmth(n) >= 1 || n.budget >= 1
}

// forward sends a hit to the node chosen for it, if there is one.
func (m *Marshal) forward(h *hit) bool {
	grn := h.place < m.share
	for _, f := range h.forwards {
		grn = grn && m.side(f.node) == 0 // a further forward tries the earlier build
	}
	n := cmp.Or(m.pick(h, grn), m.pick(h, !grn))
	if n == nil {
		return false
	}
	if n.out == 0 {
		n.since = m.now
	}
	n.out, h.out = n.out+1, h.out+1
	h.forwards = append(h.forwards, forward{node: n, at: m.now, out: true, ran: true})
	if trial, _, _ := m.trial(n.Build); trial {
		*m.left(h)--
	}
	if m.warmth(n) < 1 {
		n.budget--
	}
	f := Forward{Hit: h.id, Node: n.ID}
	if !m.set.MayCancel && h.Effect != Mutating {
		f.Timeout = h.Target
	}
	m.do(f)
	return true
}

func (m *Marshal) forwardEnded(h *hit, f *forward, e ForwardEnded) {
	if !f.out {
		return
	}
	f.out, f.ran = false, e.Ending != NodeFull && e.Ending != Unreachable && e.Ending != NeverSent
	h.out, f.node.out = h.out-1, f.node.out-1
	m.learn(f.node, e)
	m.sample(h, f.node, e)
	if b := f.Build; e.Ending == Delivered && h.key != 0 && m.set.KeysStay && m.told && b >= m.news.Build {
		if b > m.pinBuild {
			m.pinBuild = b
			clear(m.pins)
		}
		m.pins[uint16(h.key>>16)] = true
	}
	if h.done || e.HitEnded {
		m.finish(h)
	} else if h.out == 0 {
		m.lines[1] = append(m.lines[1], h)
	}
	m.serve()
}

// learn keeps what an outcome says of a node's health, by symptom.
func (m *Marshal) learn(n *node, e ForwardEnded) {
	if e.Ending <= NodeFull {
		m.answered(n)
	}
	switch e.Ending {
	case Delivered:
		m.typical += freshness * freshness * (e.After - m.typical)
		m.least = min(m.least, m.typical)
		m.paceLimit(n, e.After)
		n.fail -= freshness * n.fail
		if m.warmth(n) >= 1 {
			m.delivered++
		}
	case NodeFull: // work turned away loads a node too: it gets a rest
		n.limit = max(freshness, min(n.limit, float64(n.out+1))*(1-freshness))
		n.shut = max(n.shut, m.now+n.ans)
	case NodeError, TimedOut:
		n.fail += freshness * (1 - n.fail)
		if e.Ending == TimedOut { // Danger: a node may go on with work that its client has left
			m.paceLimit(n, max(e.After, n.ans))
		}
	case Unreachable, Broken:
		if m.now >= n.shut {
			m.strike(n)
		}
	}
}

// paceLimit lets the in-flight limit follow the shortest over the present answer time. All marshals together
// hold at a node half a target latency of work, or a busy one what it was seen to do at once and a quarter.
// Danger: grown unused, a limit lets a rush fill the nodes.
func (m *Marshal) paceLimit(n *node, after Millis) {
	n.ans += freshness * (after - n.ans)
	most := m.pool.Target / m.least / float64(m.set.Marshals) / slack
	n.limit -= freshness * n.limit * (1 - min(1, slack*m.least/n.ans))
	if float64(n.out+1) >= n.limit {
		n.limit = min(n.limit+freshness*min(1, most)/slack, max(1, most, slowGap*m.rate*n.Units*m.least))
	}
}

// serve gives waiting hits their forwards: first forwards before further ones.
func (m *Marshal) serve() {
	for i, wait := range []float64{patience, 1} {
		left := m.lines[i][:0]
		for _, h := range m.lines[i] {
			switch {
			case h.done || m.forward(h):
			case m.now >= min(h.taken+h.Target*wait, h.ends-2*m.period):
				m.giveUp(h)
			default:
				left = append(left, h)
			}
		}
		clear(m.lines[i][len(left):])
		m.lines[i] = left
	}
}

// ---- Choice of a node ----

// pick takes the better of two random choices at home; those of the other zones must beat it by the price.
func (m *Marshal) pick(h *hit, grn bool) (best *node) {
	least := math.Inf(1)
	for _, home := range []bool{true, false} {
		var from []*node
		total := 0.0
		for _, n := range m.list {
			if (m.side(n) == 1) == grn && (n.Zone == m.set.Zone) == home && m.fit(h, n) && m.mayGo(h, n) {
				from = append(from, n)
				total += n.Units * m.warmth(n)
			}
		}
		for range min(len(from), 2) {
			at, i := m.chance.Next()*total, 0
			for ; i < len(from)-1; i++ {
				if at -= from[i].Units * m.warmth(from[i]); at < 0 {
					break
				}
			}
			if r := m.risk(h, from[i]); r < least {
				best, least = from[i], r
			}
		}
	}
	return best
}

// fit tells whether a node's health lets it take this hit.
func (m *Marshal) fit(h *hit, n *node) bool {
	hush := m.hush(n)
	if h.Effect == Mutating {
		hush *= 2 // what may not run again is lost with the node
	}
	switch {
	case m.now < n.shut || hush >= avoidHush:
		return false
	case n.strikes > 0: // one hit that may run again tries it out
		return n.out == 0 && h.Effect == Repeatable
	case n.out == 0 && n.limit < 1: // less than one at a time: a pause after each
		return m.now-n.since >= n.ans*(1/n.limit-1)
	}
	return float64(n.out) < n.limit
}

// risk is the chance that this hit fails or misses its target latency there, and the price of crossing.
func (m *Marshal) risk(h *hit, n *node) float64 {
	t := n.ans * float64(n.out+1)
	if n.out > 0 {
		t = max(t, m.now-n.since)
	}
	risk := n.fail + (1-n.fail)*math.Exp(-h.Target/max(t, tiny))
	if n.Zone != m.set.Zone {
		risk += m.set.CrossPrice
	}
	if slices.ContainsFunc(h.forwards, func(f forward) bool { return f.node == n }) {
		risk++
	}
	return risk
}

func (m *Marshal) lookAround() {
	var units, use [2]float64 // warm units, and what all can do, of blue and grn
	for _, n := range m.list {
		n.fail *= 1 - m.period/m.set.WarmAfter
		if m.hush(n) >= leaveHush && m.now >= n.shut {
			m.strike(n)
		}
		if w := m.warmth(n); n.State == Up && n.strikes == 0 {
			if w >= 1 {
				units[m.side(n)] += n.Units
			}
			// Danger: cold nodes lose in the choice; by their whole share grn's warm ones crowd and look slow.
			use[m.side(n)] += n.Units * math.Pow(w, float64(1+3*m.side(n)))
		}
	}
	if all := units[0] + units[1]; all > 0 { // with only cold nodes left, as last seen
		m.rate += min(1, m.period/m.set.OverFor) * (m.delivered/all/m.period - m.rate)
	}
	m.delivered = 0
	// Danger: one forward each from hundreds of marshals pushes a cold node over. So each one's part is a fraction,
	// from a drawn start, and lapses unless it is soon used; only the sum over all of them comes to whole forwards.
	for _, n := range m.list {
		rate := m.rate * n.Units * m.warmth(n) * math.Sqrt(m.set.OverFactor)
		if n.budget += rate * m.period; n.budget >= 1+rate*m.set.OverFor*patience {
			n.budget--
		}
	}
	m.least *= 1 + m.period/m.set.WarmAfter/groupSize
	if all := use[0] + use[1]; m.set.InPlace {
		m.share = use[1] / max(all, tiny)
	} else {
		m.share = use[1] / max(use[0], use[1], tiny)
	}
	if m.set.AskList && m.now >= m.askAt {
		m.askAt = math.Inf(1)
		m.do(Watch{On: true})
	}
	m.moveOff()
	m.serve()
	m.consider()
}

// moveOff takes hits that may run again away from silent nodes. Danger: moved off at once, the hit that tries
// a node out after its rest never brings it back.
func (m *Marshal) moveOff() {
	for _, id := range slices.Sorted(maps.Keys(m.hits)) {
		h, i := m.hits[id], len(m.hits[id].forwards)-1
		if h.done || h.out != 1 || h.Effect == Mutating || !h.forwards[i].out || h.forwards[i].moved ||
			(h.forwards[i].strikes == 0 || m.now >= h.forwards[i].shut) && m.hush(h.forwards[i].node) < leaveHush {
			continue
		}
		if m.set.MayCopy {
			moved := m.forward(h) // it may grow the forwards
			h.forwards[i].moved = moved
		} else if m.set.MayCancel && len(h.forwards) < m.set.MaxForwards {
			h.forwards[i].moved = true
			m.do(Cancel{Hit: h.id, Forward: i})
		}
	}
}

// allowance is what may still go to builds on trial. The cap of each hit taken fills it, and it holds the
// free number at most from one instant to the next; so forwards number at most free + cap x taken in every
// window, wherever it ends. Danger: a window of buckets holds only for windows that end at a forward.
type allowance struct{ level, seen float64 }

func (m *Marshal) left(h *hit) *float64 {
	a := &m.room
	if m.set.PerGroup {
		a = &h.room
	}
	if m.now > a.seen {
		a.level, a.seen = min(a.level, m.set.Free), m.now
	}
	return &a.level
}

// side is 1 for nodes of the newest build, 0 for earlier ones.
func (m *Marshal) side(n *node) int { return min(1, max(0, int(n.Build-m.news.Build)+1)) }

// trial tells whether a build is on trial, its stage and cap; without news of it, those of the first stage.
func (m *Marshal) trial(b Build) (on bool, stage int, cap float64) {
	if m.told && b == m.news.Build {
		return m.news.Phase != Released, m.news.Stage, m.news.Cap
	}
	return !m.told || b > m.news.Build, 0, m.set.Caps[0]
}

// fill is what a hit adds to the allowance: the lowest cap of any build that is on trial by the list.
func (m *Marshal) fill() float64 {
	least := 1.0
	for _, n := range m.list {
		if on, _, cap := m.trial(n.Build); on {
			least = min(least, cap)
		}
	}
	return least
}

// ---- Judging ----

// sample adds an outcome to the groups of its build.
func (m *Marshal) sample(h *hit, n *node, e ForwardEnded) {
	g, v, tally := h.group, e.After, stats.Count{}
	switch {
	case e.Ending == Delivered:
		tally.Good = 1
	case e.Ending == NodeError:
		v, tally.Bad = math.Inf(1), 1 // a failure ranks behind every answer
	case e.Ending != TimedOut || n.strikes > 0 || h.done: // a silent node, not its build
		return
	}
	n.tally[g.index].Add(tally, 1)
	n.tally[m.pool.index].Add(tally, 1)
	kind := cmp.Or(m.kinds[n.Kind], &stats.Mean{})
	m.kinds[n.Kind] = kind
	// Danger: a cold node is slow whatever it runs, and one trial node of a slow kind is no slow build. So only
	// warm nodes count, each against the earlier build's pace in its path group and on its kind of machine.
	if m.warmth(n) < 1 || n.Build > m.news.Build {
		return
	}
	grn := n.Build == m.news.Build && m.news.Phase != Released
	if !grn && e.Ending == Delivered {
		kind.Add(v/g.pace.Add(v, memory), memory)
	}
	for _, to := range []*group{g, m.pool} {
		x := v / g.pace.Or(1) / kind.Or(1)
		if grn {
			if to.grn = append(to.grn, x); len(to.grn) == groupSize {
				to.judge()
			}
		} else if to.blue = append(to.blue, x); len(to.blue) == groupSize {
			to.older, to.kept, to.blue = to.kept, to.blue, nil
			to.floor.Add(stats.Quartile(to.kept), memory)
		}
	}
	if b := &m.before; g.paceBefore > 0 {
		if b.grn = append(b.grn, v/g.paceBefore/kind.Or(1)); len(b.grn) == groupSize {
			m.judgeAll(b)
		}
	}
}

// judge compares a full group of the build on trial.
func (g *group) judge() {
	grn, prev := g.grn, g.prev
	g.grn, g.prev = nil, grn
	switch {
	case g.kept == nil:
	case g.slower(grn, 1):
		// Danger: under a build too slow for its load no two groups agree, so rejections don't wait for that.
		g.agrees = false
		g.rejects++
	case prev != nil && stats.KruskalWallis(prev, grn) < rejectAt:
		g.rejects = 0
		g.agrees = stats.KruskalWallis(g.kept, grn) < rejectAt || stats.Median(grn) <= stats.Median(g.kept)
	}
}

// judgeAll judges the nodes of both builds against the time before the trial, for a build that slows them
// all; by a wider gap, and by the lower quartile, answers that hardly waited; for a while also if released.
func (m *Marshal) judgeAll(b *group) {
	if m.now-m.troubleAt >= m.set.WarmAfter && b.slower(b.grn, slowGap) &&
		stats.Quartile(b.grn) >= slowGap*slowGap*b.floor.Or(1) {
		b.rejects++
	} else {
		b.rejects = 0
	}
	b.grn = nil
}

// slower tells whether outcomes are clearly slower than the last two groups of the earlier build. Danger:
// against one, a group that was fast by chance sends a good build back.
func (g *group) slower(got []float64, wider float64) bool {
	for _, blue := range [][]float64{g.older, g.kept} {
		if len(blue) == 0 || len(got) == 0 {
			return false
		}
		g.gap = stats.Median(got) / stats.Median(blue)
		if stats.KruskalWallis(blue, got) < rejectAt || g.gap < slowGap*wider {
			return false
		}
	}
	return true
}

// failing is the strongest sign, in one path group or in all, that grn fails more often, by the same test on
// good and bad; and how much was seen. The worst quarter of several nodes is left out: trouble of its own.
func (m *Marshal) failing() (worst, seen float64) {
	for _, g := range append(m.order, m.pool) {
		blue, grn := g.gone, stats.Count{} // Danger: without those that left, nothing is worse once blue is gone
		var each []stats.Count             // of grn's nodes, the worst first
		for _, n := range m.list {
			if t := n.tally[g.index]; n.Build < m.news.Build {
				blue.Add(t, 1)
			} else if n.Build == m.news.Build && t.N() > 0 {
				each = append(each, t)
			}
		}
		slices.SortFunc(each, func(a, b stats.Count) int { return cmp.Compare(b.Bad*a.N(), a.Bad*b.N()) })
		seen = 0
		for i, t := range each {
			if seen += t.N(); i >= min(len(each)-1, (len(each)+3)/4) {
				grn.Add(t, 1)
			}
		}
		if grn.Bad >= 2 && grn.Bad*blue.N() > blue.Bad*grn.N() {
			worst = max(worst, stats.KruskalWallisCounts(blue, grn))
		}
	}
	return worst, seen
}

// ---- Voting ----

func (m *Marshal) stageNews(e StageNews) {
	if e.ToVote { // not taken: again after a while
		m.voteOK = e.VoteFate == VoteOK
		m.voteDue = m.now + m.set.VoteWait*m.chance.Next()*float64(min(e.VoteFate, 1))
	}
	if e.VoteFate != VoteOK {
		return
	}
	old := m.news
	m.news, m.stageAt = e, m.now-e.Age
	if m.told && old.Build == e.Build && old.Stage == e.Stage && old.Phase == e.Phase {
		return
	}
	m.told, m.vote = true, Vote{}
	if e.Phase == GoingBack || e.Phase == Withdrawn {
		m.pinBuild = 0 // keys are free again
		clear(m.pins)
	}
	for _, g := range append(m.order, m.pool) {
		g.blue, g.grn, g.prev, g.agrees, g.rejects = nil, nil, nil, false, 0
		if e.Build != old.Build {
			g.paceBefore, g.gone = g.pace.Value, stats.Count{}
		}
	}
	if e.Build != old.Build {
		m.before = *m.pool // its groups are not written to again
		for _, n := range m.list {
			clear(n.tally)
		}
	}
}

// verdict is what this marshal stands for, with the reason.
func (m *Marshal) verdict() (Verdict, string) {
	failing, seen := m.failing()
	agree, reject, full := true, m.before.rejects > 0, 0
	var back *group
	for _, g := range append(m.order, m.pool) {
		if g.kept != nil && g.prev != nil && (g != m.pool || full == 0) {
			full++
			agree = agree && g.agrees
		}
		reject = reject || g.rejects > 0
		if g.rejects >= backAfter {
			back = g
		}
	}
	next := append(slices.Clone(m.set.Stages), 1)[min(max(m.news.Stage+1, 0), len(m.set.Stages))]
	switch trial := m.news.Phase == OnTrial; {
	case failing >= 2*rejectAt:
		return VoteBack, fmt.Sprintf("it fails more often, K %.1f", failing)
	case trial && back != nil && m.now-m.troubleAt >= m.set.WarmAfter: // lost nodes crowd the rest
		return VoteBack, fmt.Sprintf("path group %q clearly slower twice, by %.2f at last", back.Name, back.gap)
	case m.before.rejects >= 4*backAfter && (trial || m.now-m.stageAt < 3*m.set.WarmAfter):
		return VoteBack, fmt.Sprintf("all nodes slower than before the trial, by %.2f at last", m.before.gap)
	case trial && m.set.Control == ByClock && reject:
		return VoteHold, "clearly slower once"
	case !trial || m.set.Control == ByClock || failing >= rejectAt || reject:
	case full > 0 && agree, m.vote.Verdict == VoteOn: // only a clearly slower group takes it back
		return VoteOn, "groups agree"
	// Danger: cold nodes hide a slow build, so the vote that opens the whole fleet takes outcomes of warm ones.
	case full == 0 && m.now-m.stageAt >= blindAfter && seen >= groupSize*next/4 &&
		(next < 1 || len(m.pool.grn)+len(m.pool.prev) >= groupSize/2) &&
		!m.pool.slower(m.pool.grn, 1):
		return VoteOn, fmt.Sprintf("%.0f s without full groups", blindAfter/1000)
	}
	return VoteNone, "not settled"
}

// consider casts this marshal's vote when it changes or is about to lapse.
func (m *Marshal) consider() {
	if !m.told || m.now < m.voteDue || m.news.Phase == GoingBack || m.news.Phase == Withdrawn {
		return
	}
	v, why := m.verdict()
	if m.vote.Verdict == VoteBack {
		v = VoteBack // testing ends with it until the next stage
	}
	if v == m.vote.Verdict && (v == VoteNone || m.voteOK && m.now-m.voteAt < m.set.VoteLife*(1-freshness)) {
		return
	}
	if v != m.vote.Verdict {
		m.do(Log{Text: fmt.Sprintf("vote %d on build %d stage %d: %s", v, m.news.Build, m.news.Stage, why)})
	}
	m.vote = Vote{Build: m.news.Build, Stage: m.news.Stage, Verdict: v}
	m.voteAt, m.voteOK, m.voteDue = m.now, false, m.now+m.set.VoteWait
	m.do(m.vote)
}
