// Package logic decides what a marshal does with every hit while a new build replaces the earlier one.
//
// Callers make one Marshal for each instance with New and give it what happened, in order, through Handle,
// its only entry point; Handle returns what is to be done at that same time. A Marshal shares nothing, reads
// no clock and starts nothing, so the same events bring the same actions. The types that pass through are in
// api.go. A build on trial is grn, the earlier one blue. docs/design.md tells where the rules come from.
package logic

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
)

// The figures of the design page.
const (
	groupSize  = 20     // answers in a group
	rejectAt   = 3.84   // the test statistic from which two groups differ
	slowGap    = 1.25   // medians this far apart are clearly slower
	backAfter  = 2      // rejections in a row that send a build back
	blindAfter = 4000.0 // ms into a stage without full groups
)

// Ours; shares of figures from the settings or of what is seen.
const (
	freshness  = 0.15 // weight of the newest answer in what is known of a node
	avoidHush  = 4.0  // silence, as -log of its likelihood, from which a node gets nothing new
	leaveHush  = 8.0  // and from which what it holds is moved
	slack      = 2.0  // answer time over the shortest at which the in-flight limit starts to fall
	patience   = 0.25 // of the target latency: the wait for a first forward
	tickShare  = 0.05 // of the shortest target latency: the time between looks around
	tiny       = 1e-9
	pinBuckets = 1 << 16 // key hashes remembered for keys that may not go back
)

// Marshal is one instance.
type Marshal struct {
	set               Settings
	seed, draws       uint64
	now, period       Millis
	ticked, told      bool
	acts              []Action
	groups            map[GroupName]*group
	order, judged     []*group // path groups as in the settings; these and the pool
	other             *group   // hits of a path group that the settings don't name, with the most careful effect
	pool              *group   // all path groups, each by its pace, so that thin marshals fill groups too
	before            *group   // the pool's group from before the trial, for builds that slow all nodes
	nodes             map[NodeID]*node
	list              []*node        // nodes by id; the list of nodes empties it
	hits              map[HitID]*hit // open hits; their endings empty it
	first, again      []*hit         // waiting for a first or a further forward; patience empties them
	kinds             map[Kind]*pace // kinds of machine in the list
	floor             pace           // lower quartile of the pool's groups while no build is on trial
	news              StageNews      // as last told
	stageAt           Millis
	share             float64 // of hits that go to grn
	room              allowance
	pins              [pinBuckets / 64]uint64 // hashes of keys that pinBuild answered; a way back empties it
	pinBuild          Build
	pressure, load    float64    // first tries a ms; the same to what one unit of all nodes can do
	taken             float64    // first tries since the last look
	typical, least    Millis     // answer time over all nodes, and the least it was, creeping up
	rate, delivered   [2]float64 // answers a ms from one unit of warm nodes, of blue and grn; since the last look
	coldRate          float64    // the busier build's rate, as last seen
	troubleAt, calmAt Millis     // a node was last found out of reach; all nodes were last not slower
	vote              Vote
	voteAt, voteDue   Millis // when it was cast; no other before
	voteOK            bool
}

// group is a path group with what its outcomes say of the builds.
type group struct {
	PathGroup
	index                 int
	room                  allowance
	pace                  pace      // of the earlier build
	paceBefore            float64   // as it was when the build was offered
	blue, kept, grn, prev []float64 // filling and last full groups of the earlier build and of the one on trial
	keptRate, keptLoad    float64   // the earlier build's rate, and the load, when its group was full
	agrees                bool
	rejects               int
	gap                   float64 // of medians, at the last look
}

type node struct {
	Node
	tally         []count // outcomes by path group, since the build was offered
	out           int
	since         Millis  // last answer, or the first forward out after it
	ans, short    Millis  // smoothed answer time, and its least, creeping up
	fail          float64 // smoothed share of failures
	limit, budget float64 // forwards out at most; forwards that a cold node may still get
	strikes       int     // times in a row that it was found unreachable or silent
	shut          Millis  // nothing before: after a strike, or a short rest after it was full
}

type count struct{ good, bad float64 }

type hit struct {
	id                HitID
	group             *group
	key               uint32  // hash; 0 without a key
	place             float64 // from 0 to 1, the lowest go to grn first
	taken, ends, hint Millis
	forwards          []forward
	out               int
	done, waiting     bool // final answer given or hit gone; in a line
}

type forward struct {
	node            *node
	build           Build
	at              Millis
	out, ran, moved bool // still out; may have run; called off or copied
}

// New makes an instance that knows nothing but its settings.
func New(set Settings, seed uint64) *Marshal {
	m := &Marshal{set: set, seed: seed, groups: map[GroupName]*group{}, nodes: map[NodeID]*node{},
		hits: map[HitID]*hit{}, kinds: map[Kind]*pace{}, period: math.Inf(1)}
	m.other = &group{index: len(set.Groups)}
	for i, g := range set.Groups {
		pg := &group{PathGroup: g, index: i, room: allowance{level: set.Free}}
		m.groups[g.Name] = pg
		m.order = append(m.order, pg)
		m.period = min(m.period, g.Target*tickShare)
		m.other.Target = max(m.other.Target, g.Target)
	}
	m.pool, m.before = &group{}, &group{}
	m.judged = append(slices.Clone(m.order), m.pool)
	m.other.room.level = set.Free
	m.room.level = set.Free
	m.period = max(min(m.period, m.other.Target), set.Granularity, 1)
	m.typical = m.other.Target * patience
	m.least = m.typical
	m.troubleAt = math.Inf(-1)
	return m
}

// Handle takes what happened and returns what is to be done.
func (m *Marshal) Handle(now Millis, event Event) []Action {
	m.now, m.acts = now, nil
	if !m.ticked {
		m.ticked = true
		m.do(WakeAt{At: now + m.period})
		if m.set.AskList {
			m.do(Watch{On: true})
		}
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
		m.forwardEnded(e)
	case HitGone:
		if h := m.hits[e.Hit]; h != nil {
			m.finish(h)
		}
	case TimerDue:
		m.do(WakeAt{At: now + m.period})
		m.lookAround()
	case StageNews:
		m.stageNews(e)
	case Flagged:
		if n, g := m.nodes[e.Node], m.groups[e.Group]; n != nil && g != nil {
			n.tally[g.index].bad += 1 / max(m.set.FlagShare, freshness)
		}
	}
	return m.acts
}

func (m *Marshal) do(a Action) { m.acts = append(m.acts, a) }

// chance draws from 0 to 1. The counter is scattered, for sums of neighbouring counters are too much alike.
func (m *Marshal) chance() float64 {
	m.draws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], m.seed)
	binary.LittleEndian.PutUint64(b[8:], m.draws*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// ---- The list of nodes ----

func (m *Marshal) nodesChanged(e NodesChanged) {
	if e.How == ListRefused {
		if m.set.AskList {
			m.do(Watch{On: true})
		}
		return
	}
	if e.How != Changes {
		named := map[NodeID]bool{}
		for _, n := range e.Nodes {
			named[n.ID] = true
		}
		for _, n := range m.list {
			if !named[n.ID] {
				n.State = Removed
				delete(m.nodes, n.ID)
			}
		}
	}
	for _, in := range e.Nodes {
		n := m.nodes[in.ID]
		if in.State == Removed {
			if n != nil {
				n.State = Removed
				delete(m.nodes, in.ID)
			}
			continue
		}
		// A new start or another build makes it another node: what was known of it no longer holds.
		if n == nil || n.Started != in.Started || n.Build != in.Build {
			if n != nil {
				n.State = Removed
			}
			n = &node{ans: m.typical, short: m.least, limit: 2, budget: 1,
				tally: make([]count, len(m.order)+1)}
			m.nodes[in.ID] = n
		}
		n.Node = in
	}
	m.list = m.list[:0]
	for _, n := range m.nodes {
		m.list = append(m.list, n)
	}
	slices.SortFunc(m.list, func(a, b *node) int { return cmp.Compare(a.ID, b.ID) })
}

// warmth is the part of its capacity that a node has at the least.
func (m *Marshal) warmth(n *node) float64 {
	if n.Started <= 0 || m.now-n.Started >= m.set.WarmAfter {
		return 1
	}
	return m.set.ColdFrom + (1-m.set.ColdFrom)*max(m.now-n.Started, 0)/m.set.WarmAfter
}

// hush is how unlikely a node's silence is, as -log, if answers came at its usual pace.
func (m *Marshal) hush(n *node) float64 {
	if n.out == 0 {
		return 0
	}
	return float64(n.out) * (m.now - n.since) / max(n.ans, m.typical)
}

func (m *Marshal) answered(n *node) {
	n.since = m.now
	if n.strikes > 0 {
		// Danger: a node that was out of reach may have restarted before the list tells; full traffic at once
		// would push it over.
		n.strikes, n.shut, n.Started = 0, 0, max(n.Started, m.now)
	}
}

func (m *Marshal) strike(n *node) {
	if n.strikes++; n.strikes > 1 {
		m.troubleAt = m.now
	}
	n.shut = m.now + min(m.set.WarmAfter, m.period/tickShare*math.Pow(2, float64(n.strikes-1)))*(0.5+m.chance())
}

// ---- Hits and their one final answer ----

func (m *Marshal) take(e HitTaken) {
	g := m.groups[e.Group]
	if g == nil {
		g = m.other
	}
	h := &hit{id: e.Hit, group: g, taken: m.now, ends: m.now + e.TTL, hint: e.Hint}
	if e.Key != "" {
		h.key = crc32.ChecksumIEEE([]byte(e.Key)) | 1
	}
	if h.place = m.chance(); m.set.KeysStay && h.key != 0 {
		// A slice of the key space by hash, growing with the stage, so that few keys ever change sides.
		h.place = float64(h.key) / (1 << 32)
	}
	m.hits[h.id] = h
	if !e.Retried {
		m.taken++
	}
	*m.left(h) += m.cap()
	if len(m.first) > 0 || !m.forward(h) {
		h.waiting = true
		m.first = append(m.first, h)
		m.serve()
	}
}

func (m *Marshal) finish(h *hit) {
	h.done, h.waiting = true, false
	if h.out == 0 {
		delete(m.hits, h.id)
		return
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
	if m.mayBounce(h) {
		b := Bounce{Hit: h.id}
		if m.set.MayBounceLater {
			b.ComeBack = min(m.set.MaxComeBack, h.group.Target)
		}
		m.do(b)
	} else {
		m.do(Fail{Hit: h.id})
	}
	m.finish(h)
}

// mayBounce tells whether a client may be told that trying again is harmless.
func (m *Marshal) mayBounce(h *hit) bool {
	if h.group.Effect == Repeatable {
		return true
	}
	for _, f := range h.forwards {
		if f.ran && (h.group.Effect == Mutating || h.group.Scope != ScopeAll) {
			return false
		}
	}
	return true
}

// mayGo is the gate: whether this hit may go to this node now. All rules on forwards are kept here.
func (m *Marshal) mayGo(h *hit, n *node) bool {
	s, g := &m.set, h.group
	if h.done || m.now >= h.ends || n.State != Up || len(h.forwards) >= s.MaxForwards {
		return false
	}
	if h.out > 0 && (!s.MayCopy || h.out > 1) {
		return false
	}
	for _, f := range h.forwards {
		switch {
		case !f.ran || g.Effect == Repeatable:
		case g.Effect == Mutating, m.now >= f.at+g.Remember-2*s.Granularity,
			g.Scope != ScopeAll && f.node.Zone != n.Zone,
			g.Scope == ScopeCell && f.node.Cell != n.Cell:
			return false
		}
	}
	if m.onTrial(n.Build) {
		guarded := m.stageOf(n.Build) < s.Guarded && g.Effect != Repeatable
		if m.capOf(n.Build) <= 0 || guarded || *m.left(h) < 1 {
			return false
		}
	}
	if s.KeysStay && n.Build < m.pinBuild && m.pinned(h.key) {
		return false
	}
	return m.warmth(n) >= 1 || n.budget >= 1
}

// forward sends a hit to the node chosen for it, if there is one.
func (m *Marshal) forward(h *hit) bool {
	n := m.choose(h)
	if n == nil {
		return false
	}
	if n.out == 0 {
		n.since = m.now
	}
	n.out++
	h.out++
	h.waiting = false
	h.forwards = append(h.forwards, forward{node: n, build: n.Build, at: m.now, out: true, ran: true})
	if m.onTrial(n.Build) {
		*m.left(h)--
	}
	if m.warmth(n) < 1 {
		n.budget--
	}
	f := Forward{Hit: h.id, Node: n.ID}
	if !m.set.MayCancel && h.group.Effect != Mutating {
		f.Timeout = h.group.Target
	}
	m.do(f)
	return true
}

func (m *Marshal) forwardEnded(e ForwardEnded) {
	h := m.hits[e.Hit]
	if h == nil || e.Forward < 0 || e.Forward >= len(h.forwards) || !h.forwards[e.Forward].out {
		return
	}
	f := &h.forwards[e.Forward]
	n := f.node
	f.out, f.ran = false, e.Ending != NodeFull && e.Ending != Unreachable && e.Ending != NeverSent
	h.out--
	n.out--
	m.learn(n, e)
	m.sample(h, f, e)
	if e.Ending == Delivered && h.key != 0 && m.set.KeysStay {
		m.pin(h.key, f.build)
	}
	switch {
	case h.done || e.HitEnded:
		m.finish(h)
	case h.out == 0:
		h.waiting = true
		m.again = append(m.again, h)
	}
	m.serve()
}

// learn keeps what an outcome says of a node's health, by symptom.
func (m *Marshal) learn(n *node, e ForwardEnded) {
	bad := 0.0
	switch e.Ending {
	case Delivered:
		m.answered(n)
		m.typical += freshness * freshness * (e.After - m.typical)
		m.least = min(m.least, m.typical)
		m.paceLimit(n, e.After)
		if m.warmth(n) >= 1 {
			m.delivered[m.side(n)]++
		}
	case NodeError:
		m.answered(n)
		bad = 1
	case NodeFull:
		m.answered(n)
		// Work turned away loads a node too: it gets a rest.
		n.limit = max(freshness, min(n.limit, float64(n.out+1))*(1-freshness))
		n.shut = max(n.shut, m.now+n.ans)
		return
	case TimedOut:
		// Danger: a node may go on with work that its client has left, so the limit must fall here too.
		m.paceLimit(n, max(e.After, n.ans))
		bad = 1
	case Unreachable, Broken:
		if m.now >= n.shut {
			m.strike(n)
		}
		return
	default:
		return
	}
	n.fail += freshness * (bad - n.fail)
}

// paceLimit lets the in-flight limit follow the shortest over the present answer time.
func (m *Marshal) paceLimit(n *node, after Millis) {
	n.ans += freshness * (after - n.ans)
	n.short = min(n.short, n.ans)
	most := max(2, slack*m.other.Target/n.short/float64(m.set.Marshals))
	grow := min(1, m.other.Target/n.short/float64(m.set.Marshals)/slack)
	n.limit = min(n.limit+freshness*(n.limit*(min(1, slack*n.short/n.ans)-1)+grow), most)
}

// serve gives waiting hits their forwards: first forwards before further ones.
func (m *Marshal) serve() {
	for _, line := range []*[]*hit{&m.first, &m.again} {
		left := (*line)[:0]
		for _, h := range *line {
			limit := h.taken + h.group.Target*patience
			if len(h.forwards) > 0 {
				limit = h.taken + h.group.Target
			}
			switch {
			case !h.waiting || h.done || m.forward(h):
			case m.now >= min(limit, h.ends-2*m.period):
				m.giveUp(h)
			default:
				left = append(left, h)
			}
		}
		clear((*line)[len(left):])
		*line = left
	}
}

// ---- Choice of a node ----

// choose picks the build by the share of the stage, then a node inside it.
func (m *Marshal) choose(h *hit) *node {
	grnFirst := h.place < m.share
	for _, f := range h.forwards {
		grnFirst = grnFirst && !m.onTrial(f.build) // a further forward tries the earlier build
	}
	if n := m.pick(h, grnFirst); n != nil {
		return n
	}
	return m.pick(h, !grnFirst)
}

// pick takes the better of two random choices at home; those of the other zones must beat it by the price.
func (m *Marshal) pick(h *hit, grn bool) *node {
	var home, away []*node
	for _, n := range m.list {
		if (n.Build >= m.news.Build) != grn || !m.fit(h, n) || !m.mayGo(h, n) {
			continue
		}
		if n.Zone == m.set.Zone {
			home = append(home, n)
		} else {
			away = append(away, n)
		}
	}
	best, risk := m.better(h, home)
	if other, r := m.better(h, away); other != nil && (best == nil || r+m.set.CrossPrice < risk) {
		best = other
	}
	return best
}

// fit tells whether a node's health lets it take this hit.
func (m *Marshal) fit(h *hit, n *node) bool {
	if n.strikes > 0 {
		// One hit that may run again tries it out.
		return m.now >= n.shut && n.out == 0 && h.group.Effect == Repeatable
	}
	hush := m.hush(n)
	if h.group.Effect == Mutating {
		hush *= 2 // what may not run again is lost with the node
	}
	if n.out == 0 && n.limit < 1 { // less than one at a time: a pause after each
		return m.now-n.since >= n.ans*(1/n.limit-1) && m.now >= n.shut
	}
	return hush < avoidHush && float64(n.out) < n.limit && m.now >= n.shut
}

func (m *Marshal) better(h *hit, from []*node) (*node, float64) {
	if len(from) == 0 {
		return nil, 0
	}
	a, b := m.draw(from), m.draw(from)
	ra, rb := m.risk(h, a), m.risk(h, b)
	if rb < ra {
		return b, rb
	}
	return a, ra
}

// draw takes one node by its units and warmth.
func (m *Marshal) draw(from []*node) *node {
	total := 0.0
	for _, n := range from {
		total += n.Units * m.warmth(n)
	}
	at := m.chance() * total
	for _, n := range from {
		if at -= n.Units * m.warmth(n); at < 0 {
			return n
		}
	}
	return from[len(from)-1]
}

// risk is the chance that this hit fails at the node or misses its target latency there.
func (m *Marshal) risk(h *hit, n *node) float64 {
	t := n.ans * float64(n.out+1)
	if n.out > 0 {
		t = max(t, m.now-n.since)
	}
	risk := n.fail + (1-n.fail)*math.Exp(-h.group.Target/max(t, m.set.Granularity, 0.001))
	for _, f := range h.forwards {
		if f.node == n {
			risk++
		}
	}
	return risk
}

// ---- Looking around ----

func (m *Marshal) lookAround() {
	full := 0.0
	var units, use [2]float64 // warm units, and what all can do, of blue and grn
	for _, n := range m.list {
		n.fail *= 1 - m.period/m.set.WarmAfter
		n.short *= 1 + m.period/m.set.WarmAfter/groupSize
		if m.hush(n) >= leaveHush && m.now >= n.shut {
			m.strike(n)
		}
		if w := m.warmth(n); n.State == Up && n.strikes == 0 {
			full += n.Units * w
			if w >= 1 {
				units[m.side(n)] += n.Units
			}
			// Danger: cold nodes lose to warm ones in the choice, so their whole share would crowd grn's warm nodes
			// and make a good build look slow.
			use[m.side(n)] += n.Units * math.Pow(w, float64(1+3*m.side(n)))
		}
	}
	// Danger: in the last stage few grn nodes are warm; measured against idle blue ones, the cold would get so
	// little that the warm are crowded. So the busier build's warm nodes set the rate.
	m.pressure += min(1, m.period/m.set.OverFor) * (m.taken/m.period - m.pressure)
	m.taken = 0
	m.load = m.pressure / max(full, tiny)
	rate := 0.0
	for k := range units {
		if units[k] > 0 {
			m.rate[k] += min(1, m.period/m.set.OverFor) * (m.delivered[k]/units[k]/m.period - m.rate[k])
			rate = max(rate, m.rate[k])
		}
		m.delivered[k] = 0
	}
	if rate > 0 {
		m.coldRate = rate
	}
	m.least *= 1 + m.period/m.set.WarmAfter/groupSize
	for _, n := range m.list {
		// All marshals count together, so each keeps to its own share of what a warm node takes, and answers count,
		// not forwards: those may be more than a node can do.
		if w := m.warmth(n); w < 1 {
			rate := m.coldRate * n.Units * w * math.Sqrt(m.set.OverFactor)
			n.budget = min(n.budget+rate*m.period, 1+rate*m.set.OverFor*patience)
			if m.coldRate == 0 && n.out == 0 {
				n.budget = max(n.budget, 1)
			}
		}
	}
	all := max(use[0], use[1])
	if m.set.InPlace {
		all = use[0] + use[1]
	}
	if m.share = 0; all > 0 && m.cap() > 0 {
		m.share = min(1, use[1]/all)
	}
	m.moveOff()
	m.serve()
	m.consider()
}

// moveOff takes hits that may run again away from silent nodes.
func (m *Marshal) moveOff() {
	var move []*hit
	for _, h := range m.hits {
		if h.done || h.out != 1 || h.group.Effect == Mutating {
			continue
		}
		f := &h.forwards[len(h.forwards)-1]
		if f.out && !f.moved && (f.node.strikes > 0 || m.hush(f.node) >= leaveHush) {
			move = append(move, h)
		}
	}
	slices.SortFunc(move, func(a, b *hit) int { return cmp.Compare(a.id, b.id) })
	for _, h := range move {
		i := len(h.forwards) - 1
		switch {
		case m.set.MayCopy:
			h.forwards[i].moved = m.forward(h)
		case m.set.MayCancel && len(h.forwards) < m.set.MaxForwards:
			h.forwards[i].moved = true
			m.do(Cancel{Hit: h.id, Forward: i})
		}
	}
}

// ---- Exposure ----

// allowance counts what may still go to builds on trial. It is filled by the cap with each hit taken and holds
// the free number at most from one instant to the next. So in every window, however it slides and wherever it
// ends, forwards number at most free + cap x taken; a window of buckets holds only for those that end now.
type allowance struct {
	level float64
	seen  Millis
}

func (a *allowance) at(now Millis, free float64) *float64 {
	if now > a.seen {
		a.level, a.seen = min(a.level, free), now
	}
	return &a.level
}

func (m *Marshal) left(h *hit) *float64 {
	if m.set.PerGroup {
		return h.group.room.at(m.now, m.set.Free)
	}
	return m.room.at(m.now, m.set.Free)
}

// side is 1 for nodes of the newest build, 0 for earlier ones.
func (m *Marshal) side(n *node) int {
	if n.Build >= m.news.Build {
		return 1
	}
	return 0
}

func (m *Marshal) onTrial(b Build) bool {
	return !m.told || b > m.news.Build || b == m.news.Build && m.news.Phase != Released
}

func (m *Marshal) stageOf(b Build) int {
	if m.told && b == m.news.Build {
		return m.news.Stage
	}
	return 0
}

func (m *Marshal) capOf(b Build) float64 {
	if m.told && b == m.news.Build {
		return m.news.Cap
	}
	return m.set.Caps[0]
}

// cap is what a hit adds: the lowest cap of any build that is on trial by the list.
func (m *Marshal) cap() float64 {
	c := 1.0
	for _, n := range m.list {
		if m.onTrial(n.Build) {
			c = min(c, m.capOf(n.Build))
		}
	}
	return c
}

func (m *Marshal) pin(key uint32, b Build) {
	if b < m.news.Build || !m.told {
		return
	}
	if b > m.pinBuild {
		m.pinBuild, m.pins = b, [pinBuckets / 64]uint64{}
	}
	m.pins[key>>16/64] |= 1 << (key >> 16 % 64)
}

func (m *Marshal) pinned(key uint32) bool {
	return key != 0 && m.pins[key>>16/64]&(1<<(key>>16%64)) != 0
}

// ---- Judging ----

// sample adds an outcome to the groups of its build.
func (m *Marshal) sample(h *hit, f *forward, e ForwardEnded) {
	g, n, v := h.group, f.node, e.After
	switch e.Ending {
	case Delivered:
		n.tally[g.index].good++
	case NodeError:
		v = math.Inf(1) // a failure ranks behind every answer
		n.tally[g.index].bad++
	case TimedOut:
		if n.strikes > 0 || h.done {
			return // a silent node, not its build
		}
	default:
		return
	}
	if h.hint > 0 {
		v /= h.hint
	}
	kind := m.kinds[n.Kind]
	if kind == nil {
		kind = &pace{}
		m.kinds[n.Kind] = kind
	}
	// Danger: a cold node is slow whatever it runs, and one trial node of a slow kind is no slow build. So only
	// warm nodes count, each against the earlier build's pace in its path group and on its kind of machine.
	if m.warmth(n) < 1 || f.build > m.news.Build {
		return
	}
	if f.build == m.news.Build && m.news.Phase != Released {
		for _, to := range []*group{g, m.pool} {
			if to.grn = append(to.grn, v/g.pace.at()/kind.at()); len(to.grn) == groupSize {
				m.judge(to)
			}
		}
		return
	}
	if e.Ending == Delivered {
		kind.add(v / g.pace.add(v))
	}
	for _, to := range []*group{g, m.pool} {
		if to.blue = append(to.blue, v/g.pace.at()/kind.at()); len(to.blue) == groupSize {
			to.kept, to.blue, to.keptRate, to.keptLoad = to.blue, nil, m.rate[m.side(n)], m.load
			if to == m.pool && m.news.Phase != OnTrial {
				m.floor.add(quartile(to.kept))
			}
		}
	}
	if b := m.before; m.news.Phase == OnTrial && g.paceBefore > 0 {
		if b.grn = append(b.grn, v/g.paceBefore/kind.at()); len(b.grn) == groupSize {
			m.judgeAll(b)
		}
	}
}

// pace is a smoothed mean, exact at first.
type pace struct{ mean, n float64 }

func (p *pace) add(v float64) float64 {
	p.n = min(p.n+1, groupSize*2)
	p.mean += (v - p.mean) / p.n
	return p.mean
}

func (p *pace) at() float64 {
	if p.n == 0 {
		return 1
	}
	return p.mean
}

// judge compares a full group of the build on trial.
func (m *Marshal) judge(g *group) {
	grn, prev := g.grn, g.prev
	g.grn, g.prev = nil, grn
	switch {
	case g.kept == nil:
	case m.slower(g, grn, 1, 1):
		// Danger: under a build too slow for its load no two groups agree, so rejections don't wait for that.
		g.agrees = false
		g.rejects++
	case prev != nil && kruskal(prev, grn) < rejectAt:
		g.rejects = 0
		g.agrees = kruskal(g.kept, grn) < rejectAt || median(grn) <= median(g.kept)
	}
}

// judgeAll judges the earlier build's own nodes against the time before the trial, for a build that slows all
// nodes alike. It goes by the lower quartile, answers that hardly waited, and by a wider gap.
func (m *Marshal) judgeAll(b *group) {
	grn := b.grn
	b.grn = nil
	if m.now-m.troubleAt >= m.set.WarmAfter && m.slower(b, grn, 0, slowGap) &&
		quartile(grn) >= slowGap*slowGap*m.more(b, 0)*m.floor.at() {
		b.rejects++
	} else {
		b.rejects, m.calmAt = 0, m.now
	}
}

// slower tells whether outcomes are rejected and clearly slower than the kept group.
func (m *Marshal) slower(g *group, got []float64, side int, wider float64) bool {
	if g.kept == nil || len(got) == 0 || kruskal(g.kept, got) < rejectAt {
		return false
	}
	g.gap = median(got) / median(g.kept)
	return g.gap >= slowGap*wider*m.more(g, side)
}

// more widens the gap when nodes carry more than those of the kept group did: lost or cold nodes, a rush of hits
// or a crowd on few warm nodes slow any build; far more explains any slowness. A slow build answers no more than
// before and draws no more first tries, so it is not spared.
func (m *Marshal) more(g *group, side int) float64 {
	r := max(1, m.rate[side]/max(g.keptRate, tiny), m.load/max(g.keptLoad, tiny))
	if g.keptRate == 0 {
		r = max(1, m.load/max(g.keptLoad, tiny))
	}
	if r >= slowGap {
		return math.Inf(1)
	}
	return r * r * r
}

// kruskal is the statistic of the rank test for two groups, ties at their middle rank.
func kruskal(a, b []float64) float64 {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	mid := float64(len(all)+1) / 2
	var between, within float64
	for _, grp := range [][]float64{a, b} {
		sum := 0.0
		for _, v := range grp {
			low, _ := slices.BinarySearch(all, v)
			high := low
			for high < len(all) && all[high] == v {
				high++
			}
			d := float64(low+high+1)/2 - mid
			sum += d
			within += d * d
		}
		between += sum * sum / float64(len(grp))
	}
	if within == 0 {
		return 0
	}
	return float64(len(all)-1) * between / within
}

func median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// quartile is the lower one: answers that hardly waited.
func quartile(v []float64) float64 { return slices.Sorted(slices.Values(v))[len(v)/4] }

// failing is the strongest sign, in one path group or in all, that the build on trial fails more often than the
// earlier one: the same test where outcomes are only good or bad, and the number of outcomes. The worst of
// several nodes is left out: trouble of one node is not its build's.
func (m *Marshal) failing() (worst, seen float64) {
	var all [2]count
	for i := range m.order {
		var side [2]count // blue, grn
		odd, nodes := count{}, 0
		for _, n := range m.list {
			t := n.tally[i]
			if n.Build == m.news.Build && t.good+t.bad > 0 {
				nodes++
				if t.bad*(odd.good+odd.bad) >= odd.bad*(t.good+t.bad) {
					odd = t
				}
			}
			if n.Build <= m.news.Build {
				side[1-min(1, int(m.news.Build-n.Build))].add(t, 1)
			}
		}
		seen += side[1].good + side[1].bad
		if nodes > 1 {
			side[1].add(odd, -1)
		}
		for k := range side {
			all[k].add(side[k], 1)
		}
		worst = max(worst, worse(side[0], side[1]))
	}
	return max(worst, worse(all[0], all[1])), seen
}

func (c *count) add(t count, times float64) {
	c.good += times * t.good
	c.bad += times * t.bad
}

// worse is the statistic of the rank test for two sets of good and bad outcomes, if grn's are the worse.
func worse(blue, grn count) float64 {
	nb, ng := blue.good+blue.bad, grn.good+grn.bad
	if grn.bad < 2 || nb == 0 || grn.bad*nb <= blue.bad*ng {
		return 0
	}
	d := grn.bad*blue.good - blue.bad*grn.good
	return (nb + ng - 1) * d * d / (nb * ng * (blue.good + grn.good) * (blue.bad + grn.bad))
}

// ---- Voting ----

func (m *Marshal) stageNews(e StageNews) {
	if e.ToVote {
		m.voteOK = e.VoteFate == VoteOK
		if !m.voteOK {
			m.voteDue = m.now + m.set.VoteWait*m.chance()
		} else {
			m.voteDue = m.now
		}
	}
	if e.VoteFate != VoteOK {
		return
	}
	old := m.news
	m.news, m.stageAt = e, m.now-e.Age
	if m.told && old.Build == e.Build && old.Stage == e.Stage && old.Phase == e.Phase {
		return
	}
	m.told = true
	if e.Phase == GoingBack || e.Phase == Withdrawn {
		m.pinBuild = 0 // keys are free again
		m.pins = [pinBuckets / 64]uint64{}
	}
	for _, g := range m.judged {
		g.blue, g.grn, g.prev, g.agrees, g.rejects = nil, nil, nil, false, 0
	}
	if e.Build != old.Build {
		m.before = &group{kept: m.pool.kept, keptRate: m.pool.keptRate, keptLoad: m.pool.keptLoad}
		for _, g := range m.order {
			g.paceBefore = g.pace.mean
		}
		for _, n := range m.list {
			clear(n.tally)
		}
	}
	m.vote = Vote{}
	m.do(Log{Text: fmt.Sprintf("build %d stage %d phase %d cap %.2f", e.Build, e.Stage, e.Phase, e.Cap)})
}

// verdict is what this marshal stands for, with the reason.
func (m *Marshal) verdict() (Verdict, string) {
	failing, seen := m.failing()
	agree, reject, full, back := true, false, 0, false
	var slow *group
	for _, g := range m.judged {
		if g.kept != nil && g.prev != nil && (g != m.pool || full == 0) {
			full++
			agree = agree && g.agrees
		}
		reject = reject || g.rejects > 0
		if g.rejects >= backAfter {
			back, slow = true, g
		}
	}
	if failing >= 2*rejectAt {
		return VoteBack, fmt.Sprintf("failures, K %.1f", failing)
	}
	if back && m.news.Phase == OnTrial {
		return VoteBack, fmt.Sprintf("%q clearly slower twice, by %.2f at last", slow.Name, slow.gap)
	}
	if m.before.rejects >= 2*backAfter && m.now-m.calmAt >= blindAfter/2 && m.news.Phase == OnTrial {
		return VoteBack, "all nodes slower than before the trial"
	}
	if m.news.Phase != OnTrial {
		return VoteNone, ""
	}
	next := 1.0
	if m.news.Stage+1 < len(m.set.Stages) {
		next = m.set.Stages[m.news.Stage+1]
	}
	reject = reject || m.before.rejects > 0
	switch {
	case m.set.Control == ByClock && reject:
		return VoteHold, "clearly slower once"
	case m.set.Control == ByClock || failing >= rejectAt:
		return VoteNone, "failures seen"
	case full > 0 && agree && !reject:
		return VoteOn, "groups agree"
	case m.vote.Verdict == VoteOn && !reject:
		return VoteOn, "no later group is clearly slower"
	case full == 0 && !reject && m.now-m.stageAt >= blindAfter && seen >= groupSize*next && !m.slower(m.pool, m.pool.grn, 1, 1):
		return VoteOn, fmt.Sprintf("%.0f s without full groups", blindAfter/1000)
	}
	return VoteNone, ""
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
	same := m.vote.Verdict == v && m.voteOK && m.now-m.voteAt < m.set.VoteLife*(1-freshness)
	if same || v == VoteNone && m.vote.Verdict == VoteNone {
		return
	}
	if v != m.vote.Verdict {
		m.do(Log{Text: fmt.Sprintf("vote %d on build %d stage %d: %s", v, m.news.Build, m.news.Stage, why)})
	}
	m.vote = Vote{Build: m.news.Build, Stage: m.news.Stage, Verdict: v}
	m.voteAt, m.voteOK, m.voteDue = m.now, false, m.now+m.set.VoteWait
	m.do(m.vote)
}
