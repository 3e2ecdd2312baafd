// Package logic decides what a marshal does with every hit while a new build replaces the earlier one.
// Callers make one Marshal an instance with New and give it what happened, in order, through Handle, which
// returns what is to be done. Types are in api.go, what is kept in state.go. Grn: on trial; blue: earlier.
package decision

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
	backAfter  = 2      // rejections in a row that send a build back, where a handful of marshals judge
	rejectedBy = 0.05   // chance of a rejection without a difference
	blindAfter = 4000.0 // ms into a stage without full groups
)

const ( // ours; shares of figures from the settings or of what is seen
	freshness     = 0.15          // weight of the newest answer in what is known of a node
	avoidHush     = 4.0           // silence, as -log of its likelihood, from which a node gets nothing new
	leaveHush     = 8.0           // and from which what it holds is moved
	slack         = 2.0           // answer time over the shortest at which the in-flight limit starts to fall
	patience      = 0.25          // of the target latency: the wait for a first forward
	tickShare     = 0.05          // of the shortest target latency: the time between looks around
	memory        = 2 * groupSize // outcomes in a pace
	crowded       = 0.7           // share of answers that take long for their target, from which power is short
	mostLooks     = 3             // at nodes, for one forward
	mostGaps      = 4             // that a group counts for against the time before the trial
	crossGain     = 4.0           // share of hits that cross zones, for the share that this would bring in time
	mostCross     = 0.5           // and the most that cross while nodes at home may take them
	lastingGroups = 8.0           // rejections, for each that sends a build back, that all nodes must be slower
	tiny          = 1e-9
)

// New makes an instance that knows nothing but its settings.
func New(set Settings, seed uint64) *Marshal {
	m := &Marshal{set: set, chance: stats.Chance{Seed: seed}, period: math.Inf(1), troubleAt: math.Inf(-1),
		groups: map[GroupName]*group{}, nodes: map[NodeID]*node{}, hits: map[HitID]*hit{},
		kinds: map[Kind]*stats.Mean{}, pins: map[uint16]bool{}, tenants: map[TenantID]*float64{}}
	m.room.level = set.Free
	m.pool = &group{room: m.room, index: len(set.Groups), slow: new(float64)}
	m.desk = &group{often: backAfter} // all marshals see the same counts
	for i, g := range set.Groups {
		m.groups[g.Name] = &group{PathGroup: g, index: i, room: m.room, slow: new(float64)}
		m.slowBy = append(m.slowBy, m.groups[g.Name].slow)
		m.order = append(m.order, m.groups[g.Name])
		m.period = min(m.period, g.Target*tickShare)
		m.pool.Target = max(m.pool.Target, g.Target)
	}
	m.all = append(slices.Clone(m.order), m.pool, m.desk)
	m.period = max(min(m.period, m.pool.Target), set.Granularity, 1)
	m.settle(set)
	m.turn, m.limit = m.chance.Next(), math.Inf(1)
	m.typical, m.least = m.pool.Target*patience, m.pool.Target*patience
	return m
}

// settle takes the figures of a deployment, at the start or while it runs: what was seen and what is open
// stay, and so do the path groups, the tenants and the time between looks, as at the start.
func (m *Marshal) settle(set Settings) {
	// Danger: where one of hundreds of votes decides, somebody's chance evidence sends a good build back, and
	// the luckiest marshal votes a bad one on; where many must meet, nobody sees as much as a handful would.
	marshals := float64(max(1, set.Marshals))
	alarm, often := proofOf(set.BackVotes, marshals)
	on := float64(max(1, set.OnVotes)) // where many must vote on, what they have seen together is the proof
	m.certain, m.proof = stats.ExceededBy(alarm), groupSize/4*math.Log(marshals/on)*max(0, 1-on/memory)
	_, m.holdAfter = proofOf(set.HoldVotes, marshals) // where one of hundreds holds, one chance must not
	for _, g := range append(slices.Clone(m.order), m.pool) {
		g.often = often
	}
	set.Groups, set.Tenants, set.Granularity = m.set.Groups, m.set.Tenants, m.set.Granularity
	m.set = set
	m.set.WarmAfter, m.set.OverFor = max(set.WarmAfter, m.period), max(set.OverFor, m.period) // divisors
}

// proofOf is the chance of a false alarm that a marshal may take where so many of all must meet, and the
// rejections in a row that bring it down to that.
func proofOf(votes int, marshals float64) (alarm float64, times int) {
	need := float64(max(1, votes))
	alarm = min(rejectedBy, need/marshals*math.Exp(-4/math.Sqrt(need)))
	return alarm, max(1, int(math.Round(math.Log(alarm)/math.Log(rejectedBy))))
}

// Handle takes what happened and returns what is to be done.
func (m *Marshal) Handle(now Millis, event Event) []Action {
	m.now, m.acts = now, nil
	if m.first() {
		m.do(WakeAt{At: now + m.period}) // all marshals of a fleet may start at once
		m.askAt = now + m.set.AskWithin*patience*m.chance.Next()*(1-groupSize/(groupSize+float64(m.set.Marshals)))
	}
	switch e := event.(type) {
	case NodesChanged:
		m.nodesChanged(e)
	case HitTaken:
		m.take(e)
	case AnswerStarted:
		if h, f := m.held(e.Hit, e.Forward); f != nil {
			h.ends, f.moved = math.Inf(1), true // a stream belongs to the client
			m.answered(f.node)
		}
	case ForwardEnded:
		if h, f := m.held(e.Hit, e.Forward); f != nil && f.out {
			m.forwardEnded(h, f, e)
		}
	case HitGone:
		if h := m.hits[e.Hit]; h != nil {
			m.finish(h)
		}
	case TimerDue:
		if m.serve(); e.Token == 0 { // the others end the wait for a look
			m.do(WakeAt{At: now + m.period})
			m.lookAround()
		}
	case ProbeEnded:
		if n := m.nodes[e.Node]; n != nil && e.Ending == Delivered {
			base := cmp.Or(m.base[m.away(n)], e.After)
			n.look, n.lookAt = e.After/base, now
			if l := e.Load; l != nil && l.Util >= 0 { // Danger: answered at once, a probe's time tells nothing
				n.look = max(n.look, 1/max(1-l.Util, tiny)) // of a queue; how busy the cores are does
			}
			if base *= 1 + freshness*freshness*patience; n.look < 1 { // a fifth come back sooner
				base *= 1 - freshness*freshness
			}
			m.base[m.away(n)] = base
			m.serve()
		}
	case StageNews:
		m.stageNews(e)
	case SettingsChanged:
		m.settle(e.Settings)
	case Adopted: // what a marshal that is gone has seen of this build stands as if seen here
		m.adopt(e.Evidence, m.told && e.Build == m.news.Build, e.Stage == m.news.Stage)
	case Disowned: // and what this one has seen stands with another by now
		m.disown()
	case Tally:
		m.tallied(e)
	case Flagged: // a wrong answer is a failure; only a share of them is told
		if n, g := m.nodes[e.Node], m.groups[e.Group]; n != nil && g != nil {
			n.count(g, m.pool, stats.Count{Bad: 1 / max(m.set.FlagShare, freshness)})
		}
	}
	return m.acts
}

func (m *Marshal) nodesChanged(e NodesChanged) {
	if e.How == ListRefused {
		// Danger: a call that waited in vain is served late all the same; sent again by all, they fill it for good.
		waited := min(m.now-m.askedAt, m.set.AskWithin*patience)
		m.askPause = min(2*max(m.askPause, waited, m.set.AskWithin*freshness*freshness), m.set.AskWithin)
		m.askAt = m.now + m.askPause*(1+m.chance.Next())/2
		return
	}
	m.askPause = 0
	m.merge(e, func(in Node) *node {
		return &node{coldAt: in.Started, ans: m.typical, limit: 1, budget: m.chance.Next(),
			tally: make([]stats.Count, len(m.order)+1)}
	})
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
	if n.since, n.misses = m.now, 0; n.strikes > 0 {
		// Danger: out of reach it may have restarted, before the list tells: full traffic would push it over.
		n.strikes, n.shut, n.coldAt = 0, 0, max(n.coldAt, m.now)
	}
}

func (m *Marshal) strike(n *node) {
	n.strikes++
	rest := m.pool.Target * freshness * math.Exp2(float64(n.strikes)) * (0.5 + m.chance.Next())
	n.shut = m.now + min(m.set.WarmAfter, rest)
}

func (m *Marshal) take(e HitTaken) {
	// Danger: drawn anew for each hit, half of those meant for grn meet an allowance that is not filled yet.
	_, m.turn = math.Modf(m.turn + math.Phi)
	h := &hit{id: e.Hit, taken: m.now, ends: m.now + e.TTL, place: m.turn, tenantSlow: m.tenant(e.Tenant),
		group: cmp.Or(m.groups[e.Group], m.pool)} // not in the settings: the most careful effect
	h.key = crc32.ChecksumIEEE([]byte(e.Key)) | uint32(min(1, len(e.Key)))
	if m.set.KeysStay && h.key != 0 { // a slice of the keys that grows with the stage: few ever change sides
		h.place = float64(h.key) / (1 << 32)
	}
	m.hits[h.id] = h
	if !e.Retried {
		m.intake += 1 / m.set.WarmAfter
	}
	*m.left(h) += m.fill()
	m.lines[0] = append(m.lines[0], h)
	m.serve()
}

// giveUp gives the final answer at once: a bounce where trying again is harmless, else an error.
func (m *Marshal) giveUp(h *hit) {
	if !h.ran() || h.Effect == Repeatable || h.Effect == Tagged && h.Scope == ScopeAll {
		m.do(Bounce{Hit: h.id, ComeBack: min(m.set.MaxComeBack, h.Target*patience)})
	} else {
		m.do(Fail{Hit: h.id})
	}
	m.finish(h)
}

// over tells whether a waiting hit is given up: nothing can come of it any more, or its part of the target
// latency is over.
func (m *Marshal) over(h *hit, part float64) bool {
	return m.now >= min(h.taken+h.Target*part, h.ends-2*m.period) ||
		len(h.forwards) >= m.set.MaxForwards || h.ran() && h.Effect == Mutating
}

// mayGo is the gate: whether this hit may go to this node now. All rules on forwards are kept here.
func (m *Marshal) mayGo(h *hit, n *node) bool {
	s := &m.set
	if h.done || m.now >= h.ends || n.State != Up || len(h.forwards) >= s.MaxForwards ||
		h.out > 0 && (!s.MayCopy || h.out > 1) {
		return false
	}
	// All further forwards of a tagged hit keep to the time and place of the first that may have run.
	if f := h.first(); f != nil && (h.Effect == Mutating || h.Effect == Tagged &&
		(m.now >= f.at+h.Remember-2*s.Granularity ||
			h.Scope != ScopeAll && f.Zone != n.Zone || h.Scope == ScopeCell && f.Cell != n.Cell)) {
		return false
	}
	if trial, stage, cap := m.trial(n.Build); trial &&
		(cap <= 0 || *m.left(h) < 1 || stage < s.Guarded && h.Effect != Repeatable) {
		return false
	}
	return !s.KeysStay || n.Build >= m.pinBuild || h.key == 0 || !m.pins[uint16(h.key>>16)]
}

// forward sends a hit to the node chosen for it, if there is one.
func (m *Marshal) forward(h *hit) bool {
	if float64(m.out-m.stuck) >= m.limit {
		return false
	}
	side := 0
	if h.place < m.share {
		side = 1
	}
	n, wait := m.pick(h, side)
	if n == nil && !wait {
		n, _ = m.pick(h, 1-side)
	}
	if n == nil && !wait { // then rather the warm ones beside them
		m.crowd = true
		n, _ = m.pick(h, side)
		m.crowd = false
	}
	if n == nil {
		return false
	}
	h.place += float64(m.side(n)) // a further forward tries the earlier build
	if n.lookAt, h.looks = 0, 0; n.out == 0 {
		n.since = m.now
	}
	f := Forward{Hit: h.id, Node: n.ID}
	if was := h.first(); was != nil && h.Effect == Tagged { // Danger: its connection may come up when the nodes
		f.SendBy = was.at + h.Remember - 2*m.set.Granularity // have forgotten the first, and it would run again
	}
	n.out, h.out, m.out = n.out+1, h.out+1, m.out+1
	h.forwards = append(h.forwards, forward{node: n, at: m.now, out: true, ran: true})
	if trial, _, _ := m.trial(n.Build); trial {
		*m.left(h)--
	}
	if m.warmth(n) < 1 {
		n.budget--
	}
	if !m.set.MayCancel && h.Effect != Mutating {
		f.Timeout = h.Target
	}
	m.do(f)
	return true
}

func (m *Marshal) forwardEnded(h *hit, f *forward, e ForwardEnded) {
	f.out, f.ran = false, e.Ending != NodeFull && e.Ending != Unreachable && e.Ending != NeverSent
	h.out, f.node.out, m.out = h.out-1, f.node.out-1, m.out-1
	m.missed -= freshness * freshness * m.missed
	if f.ran && (e.Ending != Delivered || m.now > h.taken+h.Target) {
		m.missed += freshness * freshness
	}
	if e.Ending == Delivered || e.Ending == TimedOut {
		m.paceAll(h, e.After)
	}
	m.learn(f.node, e)
	m.sample(h, f.node, e)
	if b := f.Build; e.Ending == Delivered && h.key != 0 && m.set.KeysStay && m.told && b >= m.news.Build {
		m.pin(b, h.key)
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
	if e.Ending <= NodeFull || e.Ending == Spoilt { // Danger: struck for that, all nodes would be left in turn
		m.answered(n)
	}
	// Danger: where a node refuses at once it has no connection left; idle ones of hundreds shut others out.
	m.refused -= freshness * m.refused
	if e.Ending == Unreachable && e.After < m.least*patience {
		m.refused += freshness
	} else if n.out == 0 && m.refused > tickShare {
		m.do(CloseIdle{Node: n.ID})
	}
	switch away := m.away(n); e.Ending {
	case Delivered, TimedOut:
		m.zoneTime[away] += freshness * (e.After - m.zoneTime[away])
	case Unreachable, Broken, Recalled: // a zone that is cut off soon loses the hits that were sent over
		m.zoneTime[1] += freshness * float64(away) * (max(e.After, m.pool.Target) - m.zoneTime[1])
		m.crossing /= math.Pow(slack, float64(away))
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
	case NodeError, TimedOut, Spoilt:
		n.fail += freshness * (1 - n.fail)
		if e.Ending == TimedOut { // Danger: a node may go on with work that its client has left
			m.paceLimit(n, max(e.After, n.ans))
		}
	case Unreachable, Broken:
		// Danger: connections may break on the way to sound nodes; struck for one each, they would all be left and
		// come back cold. So misses in a row count as silence does, by the share that breaks anyway.
		n.misses++
		n.fail += freshness * (1 - n.fail)
		gone := n.strikes > 0 || e.Ending == Unreachable && e.After >= m.least*patience ||
			-math.Log(m.broken+tiny)*float64(n.misses) >= leaveHush
		if m.broken += freshness * freshness; gone && m.now >= n.shut {
			m.troubleAt = m.now // not by one silence: a build that slows all nodes brings it too
			m.strike(n)
		}
	}
	m.broken -= freshness * freshness * m.broken
}

// paceLimit lets the in-flight limit follow the shortest over the present answer time. All marshals hold at a
// node half a target latency of work, or a quarter more than it did at once. Danger: it never grows unused.
func (m *Marshal) paceLimit(n *node, after Millis) {
	n.ans += freshness * (after - n.ans)
	most := m.pool.Target / m.least / float64(m.set.Marshals) / slack
	n.limit -= freshness * n.limit * (1 - min(1, slack*m.least/n.ans))
	if float64(n.out+1) >= n.limit {
		n.limit = min(n.limit+freshness*min(1, most)/slack, max(1, most, slowGap*m.rate*n.Units*m.least))
	}
}

// paceAll limits what is out at all nodes while answers of every tenant and path group are long, for slowness
// of some hits is no lack of power. Danger: a thin marshal hears too seldom of each node.
func (m *Marshal) paceAll(h *hit, after Millis) {
	slow := min(1, math.Floor(after/h.Target/patience))
	for _, s := range []*float64{&m.slow, h.slow, h.tenantSlow} {
		*s += freshness * (slow - *s)
	}
	if out, least := float64(m.out-m.stuck+1), m.crowding(); least > crowded {
		// Danger: stuck ones may have ended since they were counted. At nothing, no answer would ever raise it. By
		// what is out at one moment, chance would take nearly all of it from a thin marshal.
		m.limit = max(tiny, min(m.limit, max(out, m.peak))*(1-freshness*(least-crowded)/(1-crowded)))
	} else if out >= m.limit {
		m.limit += freshness
	}
}

// serve gives waiting hits their forwards: first forwards before further ones.
func (m *Marshal) serve() {
	for i, wait := range []float64{patience, 1} {
		left := m.lines[i][:0]
		for _, h := range m.lines[i] {
			switch {
			case h.done || m.forward(h):
			case m.over(h, wait):
				m.giveUp(h)
			default:
				left = append(left, h)
			}
		}
		clear(m.lines[i][len(left):])
		m.lines[i] = left
	}
}

// pick takes the better of two random choices at home; those of other zones must beat it by the price. While
// much is missed and probes allowed, it looks first, until one is idle: what others sent doesn't show here.
func (m *Marshal) pick(h *hit, side int) (best *node, wait bool) {
	least, over := math.Inf(1), 0.0 // what home is worse by, for a hit that may cross
	better := func(n *node) {
		if r := m.risk(h, n) + over*float64(1-m.away(n)); r < least {
			best, least = n, r
		}
	}
	for away, part := range m.parts[side] {
		m.from[away], m.weights[away] = m.from[away][:0], m.weights[away][:0]
		cold, open := 0.0, 0.0 // units of cold nodes, and of those among them that it has a forward for
		for _, n := range part {
			if m.fit(h, n) && m.mayGo(h, n) {
				w := n.Units * m.warmth(n)
				if m.warmth(n) < 1 {
					cold += w
					if n.budget < 1 {
						continue
					}
					open += w
				}
				m.from[away] = append(m.from[away], n)
				m.weights[away] = append(m.weights[away], w)
				if m.looked(n) {
					better(n)
				}
			}
		}
		// Danger: a thin marshal has a forward for few cold nodes at a time. By their own weight alone those would
		// stay empty, and the warm ones of the same build or zone crowd. So they stand in for the others.
		for i, n := range m.from[away] {
			if m.warmth(n) < 1 {
				m.weights[away][i] *= cold / open
			}
		}
		if open == 0 && cold > 0 && !m.crowd {
			m.from[away], m.weights[away] = append(m.from[away], nil), append(m.weights[away], cold)
		}
	}
	if m.set.MayProbe && m.missed > 2*m.set.ProbePrice && len(m.from[0])+len(m.from[1]) > 1 {
		away := 0
		if len(m.from[0]) == 0 || h.looks == mostLooks-1 && len(m.from[1]) > 0 {
			away = 1
		}
		switch {
		case best != nil && best.look <= slowGap:
			return best, false
		case m.now < h.lookAt+2*m.set.Granularity:
			return nil, true
		case h.looks < mostLooks:
			// The stand-in for cold nodes with no forward left (nil) is no node to look at: it chooses as usual.
			if n := m.from[away][m.chance.Draw(m.weights[away])]; n != nil {
				h.looks, h.lookAt = h.looks+1, m.now
				m.do(Probe{Node: n.ID})
				m.do(WakeAt{Token: 1, At: m.now + 2*m.set.Granularity})
				return nil, true
			}
		case best != nil:
			return best, false
		}
	}
	if m.crossing > 0 && len(m.from[1]) > 0 && m.chance.Next() < m.crossing {
		over = m.saved + m.set.CrossPrice
	}
	for away, from := range m.from {
		if len(from) == 0 {
			continue
		}
		// Danger: cold nodes lose in the choice, so it is between two of them or two that are warm.
		one, two := from[m.chance.Draw(m.weights[away])], from[m.chance.Draw(m.weights[away])]
		if one != nil {
			better(one)
		}
		if one != nil && two != nil && (m.warmth(one) < 1) == (m.warmth(two) < 1) {
			better(two)
		}
	}
	return best, false
}

// fit tells whether a node's health lets it take this hit.
func (m *Marshal) fit(h *hit, n *node) bool {
	hush := m.hush(n)
	if h.Effect == Mutating {
		hush *= 2 // what may not run again is lost with the node
	}
	if n.strikes > 0 && (n.out > 0 || h.Effect != Repeatable) { // one hit that may run again tries it out
		return false
	}
	return m.now >= n.shut && hush < avoidHush && float64(n.out) < n.limit
}

// risk is the chance that this hit fails or misses its target latency there, and the price of crossing.
func (m *Marshal) risk(h *hit, n *node) float64 {
	t := max(n.ans*float64(n.out+1), (m.now-n.since)*float64(min(1, n.out)))
	if m.looked(n) {
		t = m.least * n.look
	}
	return n.fail + (1-n.fail)*math.Exp(-h.Target/max(t, tiny)) + float64(m.away(n))*m.set.CrossPrice
}

func (m *Marshal) lookAround() {
	use, units, all := [2]float64{}, 0.0, 0.0 // what blue and grn can do; units that are warm, and all units
	m.stuck = 0
	for _, s := range m.slowBy {
		*s += (m.slow - *s) * m.period / m.set.WarmAfter // those without answers follow the rest
	}
	for _, n := range m.list {
		if n.strikes > 0 || m.hush(n) >= avoidHush {
			m.stuck += n.out
		}
		if n.strikes >= backAfter { // a slow node answers when it is tried again
			m.troubleAt = m.now
		}
		n.fail *= 1 - m.period/m.set.WarmAfter
		// Danger: a node that was slow once, or came while others were, would never be tried by a thin marshal.
		n.ans += (m.typical - n.ans) * m.period / m.set.WarmAfter
		if m.hush(n) >= leaveHush && m.now >= n.shut {
			m.strike(n)
		}
		// Danger: one forward each from hundreds of marshals pushes a cold node over. So each one's part is a
		// fraction, from a drawn start, and lapses unless soon used; only all parts together are whole forwards.
		w := m.warmth(n)
		rate := m.rate * n.Units * w * math.Sqrt(m.set.OverFactor)
		if n.budget += rate * m.period; n.budget >= 1+rate*m.set.OverFor/2 {
			n.budget--
		}
		if n.State == Up && n.strikes == 0 {
			units += n.Units * math.Floor(w)
			use[m.side(n)] += n.Units * w
			all += n.Units
		}
	}
	// Danger: while so much is cold that the rest is a gap slower, slowness is the turnover's, not the
	// build's: at the last stage of an in-place swap no earlier node is left to tell. It is node trouble;
	// failures still count. Covers any loss of warm power; hurts by delay when a slow build meets it.
	if use[0]+use[1] < all/slowGap {
		m.troubleAt = m.now
	}
	// A thin marshal knows too few nodes to see room in another zone; what it hears of either moves the share
	// that crosses. All do so late and together: in larger steps, or without end, the zones would fill in turn.
	m.zoneTime[1] += (m.least - m.zoneTime[1]) * freshness * m.period / m.set.WarmAfter // to be tried again
	m.saved = math.Exp(-m.pool.Target/m.zoneTime[0]) - math.Exp(-m.pool.Target/m.zoneTime[1]) - m.set.CrossPrice
	unheard := 1 / (1 + m.rate*units*m.set.WarmAfter/float64(len(m.list)+1)) // of nodes, by answers from each
	m.crossing += (min(mostCross, crossGain*unheard*max(0, m.saved)) - m.crossing) * m.period / m.set.WarmAfter
	if units > 0 { // with only cold nodes left, as last seen
		m.rate += min(1, m.period/m.set.OverFor) * (m.delivered/units/m.period - m.rate)
	}
	m.delivered, m.intake = 0, m.intake*(1-m.period/m.set.WarmAfter)
	m.least *= 1 + m.period/m.set.WarmAfter/groupSize // creeps up, as the paces of nodes may
	// Danger: by answers alone a thin marshal would win back what it gave up in a moment only over many seconds.
	m.peak = max(float64(m.out-m.stuck), m.peak*(1-m.period/m.set.OverFor))
	if len(m.lines[0]) > 0 && m.crowding() <= crowded {
		m.limit *= 1 + m.period/m.set.WarmAfter
	}
	if m.share = use[1] / max(use[0], use[1], tiny); m.set.InPlace {
		m.share = use[1] / max(use[0]+use[1], tiny)
	}
	if m.set.AskList && m.now >= m.askAt {
		m.askAt, m.askedAt = math.Inf(1), m.now
		m.do(Watch{On: true})
	}
	m.moveOff()
	m.serve()
	m.consider()
}

// moveOff takes hits that may run again off silent nodes, but not at once the one that tries a node out.
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

// left is the allowance that a hit's forwards to builds on trial are taken from.
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

// trial tells whether a build is on trial, its stage and cap; without news of it, those of the first stage.
func (m *Marshal) trial(b Build) (on bool, stage int, cap float64) {
	most := 1 - m.set.Withheld // by the operators' word
	if m.told && b == m.news.Build {
		return m.news.Phase != Released, m.news.Stage, min(m.news.Cap, most)
	}
	return !m.told || b > m.news.Build, 0, min(m.set.Caps[0], most)
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

// sample adds an outcome to the groups of its build.
func (m *Marshal) sample(h *hit, n *node, e ForwardEnded) {
	g, v, tally := h.group, e.After, stats.Count{}
	switch e.Ending {
	case Delivered:
		tally.Good = 1
	case NodeError:
		v, tally.Bad = math.Inf(1), 1 // a failure ranks behind every answer
	}
	m.failures.Add(stats.Count{Good: 1 - tally.N(), Bad: tally.Bad}, 1)
	m.failures = m.failures.AtMost(memory)
	if tally.N() == 0 && (e.Ending != TimedOut || n.strikes > 0 || h.done) { // a silent node, not its build
		return
	}
	n.count(g, m.pool, tally)
	// Danger: a cold node is slow whatever it runs, and one trial node of a slow kind is no slow build. So nodes
	// within a gap of their power count, each against blue's pace in its path group and on its kind of machine.
	if m.warmth(n) < 1/slowGap || n.Build > m.news.Build {
		return
	}
	grn := n.Build == m.news.Build && m.news.Phase != Released
	if !grn && e.Ending == Delivered {
		n.pace.Add(v/g.pace.Add(v, memory), memory)
	}
	for _, to := range []*group{g, m.pool} {
		to.enter(grn, v/g.pace.Or(1)/n.pace.Or(1))
	}
	m.enterBefore(m.pool.before, v/n.pace.Or(1), g.paceBefore)
}

// tallied takes the desk's counts, the same for all marshals: thin ones see the whole fleet by them. One
// count's answers are laid out as one group at most, with the spread that answer times mostly have.
func (m *Marshal) tallied(e Tally) {
	g := m.groups[e.Group]
	if g == nil || !m.told || e.Build > m.news.Build || e.Count <= 0 {
		return
	}
	// Danger: it counts what nodes refuse, too. So by the share of errors in our own; one may be chance.
	counted, newest := stats.Count{Good: float64(e.Count - e.Failed)}, e.Build == m.news.Build
	counted.Bad = float64(e.Failed) * max(0, m.failures.Bad-1) / (m.failures.N() + groupSize/4)
	if !newest { // Danger: trouble of nodes fails both; so grn's counts meet as many of blue's, of the same time
		g.blueNow = counted
	} else if g.blueNow.N() > 0 {
		g.counted[0].Add(g.blueNow, counted.N()/g.blueNow.N())
		g.counted[1].Add(counted, 1)
		g.blueNow = stats.Count{}
	}
	grn := newest && m.news.Phase != Released
	if !grn && e.Failed < e.Count {
		g.deskPace.Add(e.Mean, memory)
	}
	size := min(groupSize, e.Count)
	for i := range size {
		v := stats.Exponential(i) * e.Mean
		if float64(i)+0.5 < float64(size)*counted.Bad/counted.N() {
			v = math.Inf(1)
		}
		m.desk.enter(grn, v/g.deskPace.Or(1))
		m.enterBefore(m.desk.before, v, g.deskBefore)
	}
}

// enterBefore has an outcome of either build judged against the time before the trial, by a wider gap.
func (m *Marshal) enterBefore(b *group, v, pace float64) {
	if b == nil || pace == 0 || math.IsInf(v, 1) || len(b.blue.Last) == 0 {
		return
	}
	// Danger: what slowed all nodes before one of them ran the build goes on for a while, and is not its doing.
	none := len(m.parts[1][0])+len(m.parts[1][1]) == 0
	if none {
		b.early = append(b.early[:min(len(b.early), groupSize)], v/pace)
		b.doubted = len(b.early) >= groupSize/4 && stats.Median(b.early) > slowGap*stats.Median(b.blue.Last)
	}
	b.begin(m.now)
	if none || b.doubted || !b.grn.Add(v/pace, groupSize) {
		return
	}
	// Danger: a very slow build fills groups late. So each counts for the gaps that it is slower by, bounded;
	// none does while more is asked than then: clients of marshals that died slow all nodes, whatever they run.
	if m.now-m.troubleAt < m.set.WarmAfter || m.intake > slowGap*m.intakeBefore ||
		!b.slower(b.grn.Last, slowGap) {
		b.rejects = 0
	} else {
		// What eight groups in a row show, one shows that a thin marshal took as long to fill.
		lasted := min(lastingGroups, max(1, lastingGroups*(m.now-b.begun)/blindAfter))
		b.rejects += int(lasted * min(mostGaps, math.Log(b.gap)/math.Log(slowGap)))
	}
}

// judge compares the last group of the build on trial.
func (g *group) judge() {
	grn, prev, kept := g.grn.Last, g.grn.Before, g.blue.Last
	switch {
	case kept == nil:
	case g.slower(grn, 1):
		// Danger: under a build too slow for its load no two groups agree, so rejections don't wait for that.
		g.agrees = false
		g.rejects++
	case prev != nil && stats.KruskalWallis(prev, grn) < rejectAt:
		g.rejects = 0
		g.agrees = stats.KruskalWallis(kept, grn) < rejectAt || stats.Median(grn) <= stats.Median(kept)
	}
}

// slower tells whether outcomes are clearly slower than both of blue's last groups: one may be chance. Where
// most are failures, failing judges: by nodes, of which some fail fast whatever they run.
func (g *group) slower(got []float64, wider float64) bool {
	for _, blue := range [][]float64{g.blue.Before, g.blue.Last} {
		if len(blue) == 0 || len(got) == 0 {
			return false
		}
		g.gap = stats.Median(got) / stats.Median(blue)
		if stats.KruskalWallis(blue, got) < rejectAt || g.gap < slowGap*wider || math.IsInf(g.gap, 1) {
			return false
		}
	}
	return true
}

// failing is the strongest sign, in one path group or in all, that grn fails more often, by the same test on
// good and bad, as a multiple of what proves it; and how much was seen. Not the worst quarter of nodes,
// nor a single one where one of blue fails half as often: trouble of their own. The desk can not do that.
// Doubt is a failure or more, at twice blue's share: no proof, but most of many see none in a good build.
func (m *Marshal) failing() (worst, seen float64, doubt bool) {
	least := 2 - math.Floor(min(1, float64(m.set.BackVotes)/groupSize)) // failures
	for _, g := range append(m.order, m.pool) {
		// Danger: without those that left, nothing is worse once blue is gone.
		blue, grn, all := g.gone, stats.Count{}, stats.Count{}
		nodes, ill := 0.0, 0.0 // of grn; the share of failures at the worst one of blue
		var each []stats.Count // of grn's nodes, the worst first
		for _, n := range m.list {
			if t := n.tally[g.index]; n.Build < m.news.Build {
				blue.Add(t, 1)
				ill = max(ill, (t.Bad-1)/max(t.N(), 1)) // one may be chance
			} else if n.Build == m.news.Build {
				if nodes++; t.N() > 0 {
					each = append(each, t)
				}
			}
		}
		slices.SortFunc(each, func(a, b stats.Count) int { return cmp.Compare(b.Bad*a.N(), a.Bad*b.N()) })
		seen = 0
		for i, t := range each {
			// Danger: a thin marshal has one answer of most nodes; the worst quarter of them is every failure it saw.
			all.Add(t, 1)
			if seen += t.N(); t.Bad < 2 || i >= (len(each)+3)/4 || nodes == 1 && 2*ill*t.N() < t.Bad {
				grn.Add(t, 1)
			}
		}
		doubt = m.proof == 0 && all.Bad >= 1 && all.Bad*blue.N() > 2*(blue.Bad+1)*all.N()
		// Danger: waiting for a second failure each, hundreds of thin marshals let a failing build on.
		if grn.Bad >= least && grn.Bad*blue.N() > blue.Bad*grn.N() {
			worst = max(worst, stats.KruskalWallisCounts(blue, grn)/m.certain*min(1, grn.Bad/2))
		}
		if c := g.counted; c[1].Bad >= 2 && c[1].Bad > c[0].Bad {
			worst = max(worst, stats.KruskalWallisCounts(c[0].AtMost(nodes), c[1].AtMost(nodes))/(2*rejectAt))
		}
	}
	return worst, seen, doubt
}

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
	m.part()
	if e.Phase == GoingBack || e.Phase == Withdrawn {
		m.pinBuild, m.pins = 0, map[uint16]bool{} // keys are free again
	}
	m.beginStage(groupSize / 4)
	if e.Build != old.Build {
		m.beginBuild()
	}
}

// verdict is what this marshal stands for, with the reason.
func (m *Marshal) verdict() (Verdict, string) {
	failing, seen, doubt := m.failing()
	agree, reject, hold, full := true, false, false, 0
	var back, slow *group
	for _, g := range m.all {
		if g.blue.Last != nil && len(g.grn.Last) == groupSize && (g != m.pool || full == 0) {
			full++
			agree = agree && g.agrees
		}
		reject = reject || g.rejects > 0 || g.before != nil && g.before.rejects > 0
		hold = hold || g.rejects >= m.holdAfter || g.before != nil && g.before.rejects >= m.holdAfter
		if g.rejects >= g.often && m.now-m.troubleAt >= m.set.WarmAfter { // lost nodes crowd the rest
			back = g
		}
		if g.before != nil && g.before.rejects >= lastingGroups*g.often {
			slow = g.before
		}
	}
	next := append(slices.Clone(m.set.Stages), 1)[min(max(m.news.Stage+1, 0), len(m.set.Stages))]
	switch trial := m.news.Phase == OnTrial; {
	case failing >= 1:
		return VoteBack, fmt.Sprintf("it fails more often, %.1f times what proves it", failing)
	case trial && back != nil:
		return VoteBack, fmt.Sprintf("path group %q clearly slower again, by %.2f at last", back.Name, back.gap)
	case slow != nil && (trial || m.now-m.stageAt < 3*m.set.WarmAfter):
		return VoteBack, fmt.Sprintf("all nodes slower than before the trial, by %.2f at last", slow.gap)
	case trial && m.set.Control == ByClock && m.set.Halt:
		return VoteHold, "halted by the operators"
	case trial && m.set.Control == ByClock && hold:
		return VoteHold, fmt.Sprintf("clearly slower, %d times in a row", m.holdAfter)
	case !trial || m.set.Control == ByClock || m.set.Halt || 2*failing >= 1 || reject:
	case full > 0 && agree, m.vote.Verdict == VoteOn && (full > 0 || m.proof > 0): // only clear slowness ends it
		return VoteOn, "groups agree"
	// Danger: cold nodes hide a slow build, so the vote that opens the whole fleet takes outcomes of warm ones.
	case full == 0 && m.now-m.stageAt >= blindAfter && seen >= m.proof*next && !doubt && !m.leans() &&
		!m.pool.slower(m.pool.grn.Fill, 1) && !m.desk.slower(m.desk.grn.Fill, 1) &&
		(next < 1 || float64(len(m.pool.grn.Fill)+len(m.pool.grn.Last)) >= max(1, 2*m.proof)):
		return VoteOn, fmt.Sprintf("%.0f s without full groups", blindAfter/1000)
	}
	return VoteNone, "not settled"
}

// leans tells whether the few times seen speak against the build on trial: by a gap and a half, they scatter.
// Danger: no thin marshal can tell a slow build; of hundreds, most lean right. But lost nodes crowd the rest.
func (m *Marshal) leans() bool {
	was, now := slices.Concat(m.pool.kept, m.pool.blue.Fill), slices.Concat(m.pool.grn.Last, m.pool.grn.Fill)
	return (m.news.Stage+1 < len(m.set.Stages) || m.now-m.troubleAt >= m.set.WarmAfter) && m.proof == 0 &&
		len(was) > 0 && len(now) > 0 && stats.Median(now) > slowGap*math.Sqrt(slowGap)*stats.Median(was)
}

// consider casts this marshal's vote when it changes or is about to lapse.
func (m *Marshal) consider() {
	if !m.told || m.now < m.voteDue || m.news.Phase == GoingBack || m.news.Phase == Withdrawn {
		return
	}
	m.voteDue = m.now + min(m.pool.Target*patience, blindAfter*tickShare)
	if m.now >= m.closeAt && m.now-m.stageAt >= blindAfter { // too thin to fill a group in time
		if m.closeAt = m.now + blindAfter; len(m.pool.grn.Fill) >= backAfter {
			m.pool.close()
		}
	}
	v, why := m.verdict()
	if m.vote.Verdict == VoteBack {
		v = VoteBack // testing ends with it until the next stage
	}
	if v == m.vote.Verdict && (v == VoteNone || m.voteOK && m.now-m.voteAt < m.set.VoteLife*(1-freshness)) {
		return
	}
	if v != m.vote.Verdict && v != VoteOn { // hundreds that vote on would hide the others
		m.do(Log{Text: fmt.Sprintf("vote %d on build %d stage %d: %s", v, m.news.Build, m.news.Stage, why)})
	}
	m.vote = Vote{Build: m.news.Build, Stage: m.news.Stage, Verdict: v}
	m.voteAt, m.voteOK, m.voteDue = m.now, false, m.now+m.set.VoteWait
	m.do(m.vote)
}
