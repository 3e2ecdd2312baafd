package decision

import (
	"cmp"
	"maps"
	"ottershed/internal/stats"
	"slices"
)

// Marshal is one instance.
type Balancer struct {
	settings                          Settings
	random                            stats.Random
	now, tickInterval                 Millis
	started, stageKnown, voteAccepted bool
	actions                           []Action
	classes                           map[ClassName]*classState
	classOrder, statistics            []*classState // path groups as in the settings; with the two below
	overall                           *classState   // all of them, each by its pace, so that thin marshals fill groups too
	controller                        *classState   // the same from the desk's counts
	certainStatistic, blindProof      float64       // the test statistic that is proof alone; outcomes that a blind vote takes
	rejectionsToHold                  int           // rejections in a row that hold the clock

	endpoints                      map[EndpointID]*endpoint
	ordered                        []*endpoint                 // nodes by id; the list of nodes empties it
	requests                       map[RequestID]*request      // open hits; their endings empty it
	queues                         [2][]*request               // hits that wait for a first or a further forward
	machineTypes                   map[MachineType]*stats.Mean // by the list's kinds of machine
	rollout                        StageUpdate                 // as last told
	stageStartedAt                 Millis                      // start of the stage
	pollAt, polledAt               Millis                      // the next call for the list, and the last
	pollBackoff                    Millis                      // after a refusal, growing
	exposure                       tokenBucket                 // exposure over all path groups
	stickyKeys                     map[uint16]bool             // hashes of keys that pinBuild answered
	stickyBuild                    Build
	candidateShare, lastPlacement  float64               // of hits that go to grn; the newest one's place among them
	meanLatency, baseLatency       Millis                // answer time over all nodes, and the least it was, creeping up
	zoneLatency                    [2]Millis             // answer time of late, at home and away
	crossZoneGain                  float64               // chance to miss the target that another zone has less of, beyond the price of crossing
	crossZoneShare                 float64               // share of hits that go to another zone though home could take them
	slowShare                      float64               // share of answers that took long for their target
	slowShares                     []*float64            // the same by tenant and path group
	tenants                        map[TenantID]*float64 // as in the settings
	inFlight, unresponsive         int                   // forwards out, and those of them at silent nodes
	concurrencyLimit, recentPeak   float64               // on forwards out at all nodes; how many were out lately
	serviceRate, responsesThisTick float64               // answers a ms of a warm unit; the newest
	arrivalRate, arrivalRateBefore float64               // first tries a ms, and as the build was offered
	failures                       stats.Count           // own ones, bad where the node answered with an error
	faultSeenAt                    Millis                // a node was last found out of reach
	groupClosesAt                  Millis                // the pool's group of the build on trial is judged as it is
	byBuildAndZone                 [2][2][]*endpoint     // the list by build and zone: blue and grn, at home and away
	eligible                       [2][]*endpoint        // scratch: those that a hit may go to, at home and away; nil for cold ones
	warmOverflow                   bool                  // scratch: the warm may take what cold ones can't
	weights                        [2][]float64
	healthCheckBaseline            [2]Millis // what a probe to an idle node takes, at home and away
	brokenShare                    float64   // smoothed share of forwards that found no connection or broke
	missedShare                    float64   // smoothed share of forwards that were late or lost
	refusedShare                   float64   // smoothed share of forwards that were refused a connection at once
	vote                           Vote
	votedAt, nextVoteAt            Millis // when it was cast; no other before
}

// group is a path group with what its outcomes say of the builds.
type classState struct {
	RequestClass
	index                                            int
	exposure                                         tokenBucket
	baselineLatency, controllerLatency               stats.Mean     // of the earlier build, by own outcomes and by the desk's counts
	baselineLatencyAtOffer, controllerLatencyAtOffer float64        // as they were when the build was offered
	beforeTrial                                      *classState    // this one from before the trial, for builds that slow all nodes
	outcomesBeforeFirstEndpoint                      []float64      // outcomes since a build was offered and none of its nodes ran
	slowBeforeTrial                                  bool           // they were slower already
	baselineAtStageStart                             []float64      // of the earlier build, as the stage began
	baseline, candidate                              stats.Groups   // of the earlier build and of the one on trial
	departed                                         stats.Count    // outcomes of earlier nodes that have left, since the build's offer
	controllerOutcomes                               [2]stats.Count // by the desk, since then: of grn, and as many of blue beside them
	baselineLatest                                   stats.Count    // of blue in the desk's newest period
	agrees                                           bool
	rejections, rejectionsNeeded                     int      // in a row; as many send a build back
	slowShare                                        *float64 // share of answers that took long for their target
	fillStartedAt                                    Millis   // first outcome of the group being filled against the time before the trial
	medianRatio                                      float64  // of medians, at the last look
}

type endpoint struct {
	Endpoint
	machineTypeRatio                  *stats.Mean   // of its kind of machine
	outcomes                          []stats.Count // outcomes by path group, since the build was offered
	inFlight                          int
	warmingSince                      Millis  // its start, as far as known
	lastResponseAt                    Millis  // last answer, or the first forward out after it
	latency                           Millis  // smoothed answer time
	failureShare                      float64 // smoothed share of failures
	concurrencyLimit, slowStartCredit float64 // forwards out at most; forwards that a cold node may still get
	connectFailures                   int     // forwards in a row that found no connection or broke
	ejections                         int     // times in a row that it was found unreachable or silent
	ejectedUntil                      Millis  // nothing before: after a strike, or a short rest after it was full
	healthCheckRatio                  float64 // what the last probe took, as a multiple of that to an idle node
	healthCheckedAt                   Millis  // when it came back; 0 once a hit was sent there
}

type request struct {
	id RequestID
	*classState
	key                  uint32  // hash; 0 without a key
	placement            float64 // from 0 to 1, the lowest go to grn first
	tenantSlow           *float64
	receivedAt, deadline Millis
	attempts             []attempt
	inFlight             int
	done                 bool // final answer given, or hit gone
	healthChecks         int  // probes sent for its next forward
	healthCheckedAt      Millis
}

// first is the first forward of the hit that may have run; nil where none has.
func (h *request) firstAttempt() *attempt {
	if i := slices.IndexFunc(h.attempts, func(f attempt) bool { return f.mayHaveRun }); i >= 0 {
		return &h.attempts[i]
	}
	return nil
}

// ran tells whether a forward of the hit may have run.
func (h *request) mayHaveRun() bool { return h.firstAttempt() != nil }

type attempt struct {
	*endpoint
	startedAt                        Millis
	inFlight, mayHaveRun, superseded bool // still out; may have run; called off or copied
}

// allowance is what may still go to builds on trial. The cap of each hit taken fills it, and it holds the
// free number at most from one instant to the next; so forwards number at most free + cap x taken in every
// window, wherever it ends. Danger: a window of buckets holds only for windows that end at a forward.
type tokenBucket struct{ tokens, refilledAt float64 }

func (m *Balancer) emit(a Action) { m.actions = append(m.actions, a) }

// first tells whether nothing has happened before.
func (m *Balancer) firstEvent() bool {
	was := m.started
	m.started = true
	return !was
}

// side is 1 for nodes of the newest build, 0 for earlier ones; away is 1 for those of other zones.
func (m *Balancer) buildIndex(n *endpoint) int { return min(1, max(0, int(n.Build-m.rollout.Build)+1)) }

func (m *Balancer) zoneIndex(n *endpoint) int {
	if n.Zone == m.settings.Zone {
		return 0
	}
	return 1
}

// part sorts the nodes of the list by side and by away.
func (m *Balancer) partition() {
	m.byBuildAndZone = [2][2][]*endpoint{}
	for _, n := range m.ordered {
		to := &m.byBuildAndZone[m.buildIndex(n)][m.zoneIndex(n)]
		*to = append(*to, n)
	}
}

// count adds outcomes to a node's tallies of their path group and of all.
func (n *endpoint) count(g, pool *classState, c stats.Count) {
	n.outcomes[g.index].Add(c, 1)
	n.outcomes[pool.index].Add(c, 1)
}

// held is an open hit and one of its forwards, nil where there is none.
func (m *Balancer) attemptOf(id RequestID, i int) (*request, *attempt) {
	if h := m.requests[id]; h != nil && i >= 0 && i < len(h.attempts) {
		return h, &h.attempts[i]
	}
	return nil, nil
}

// tenant is the share of slow answers of a tenant; the settings bound their number.
func (m *Balancer) tenant(id TenantID) *float64 {
	slow := m.tenants[id]
	if slow == nil {
		slow = new(float64)
		m.tenants[id], m.slowShares = slow, append(m.slowShares, slow)
	}
	return slow
}

// merge takes in what the list says; of earlier nodes that leave it the outcomes are kept, and hits may still know
// them. A node that started anew, or on another build, is another node.
func (m *Balancer) applyEndpoints(e EndpointsChanged, fresh func(Endpoint) *endpoint) {
	drop := func(n *endpoint) {
		n.State = Removed
		delete(m.endpoints, n.ID)
		for _, g := range append(m.classOrder, m.overall) {
			if n.Build < m.rollout.Build {
				g.departed.Add(n.outcomes[g.index], 1)
			}
		}
	}
	named := map[EndpointID]bool{}
	for _, in := range e.Endpoints {
		named[in.ID] = true
		n := m.endpoints[in.ID]
		if n != nil && (in.State == Removed || n.Started != in.Started || n.Build != in.Build) {
			drop(n)
			n = nil
		}
		if in.State != Removed && n == nil {
			n = fresh(in)
			n.machineTypeRatio = cmp.Or(m.machineTypes[in.MachineType], &stats.Mean{})
			m.endpoints[in.ID], m.machineTypes[in.MachineType] = n, n.machineTypeRatio
		}
		if n != nil {
			n.Endpoint = in
		}
	}
	for _, n := range m.ordered {
		if e.Kind != Delta && !named[n.ID] {
			drop(n)
		}
	}
	m.ordered = slices.SortedFunc(maps.Values(m.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	m.partition()
}

// finish forgets a hit that has its final answer, once its forwards have ended; those still out are called off.
func (m *Balancer) finish(h *request) {
	if h.done = true; h.inFlight == 0 {
		delete(m.requests, h.id)
	}
	for i := range h.attempts {
		if f := &h.attempts[i]; f.inFlight && m.settings.CancelAllowed && !f.superseded {
			f.superseded = true
			m.emit(Cancel{Request: h.id, Attempt: i})
		}
	}
}

// crowding is the least share of answers that took long for their target, of all path groups and tenants.
func (m *Balancer) leastSlowShare() float64 {
	least := 1.0
	for _, s := range m.slowShares {
		least = min(least, *s)
	}
	return least
}

// enter adds an outcome to the groups of its build.
func (g *classState) add(candidate bool, x float64) {
	if !candidate {
		g.baseline.Add(x, groupSize)
	} else if g.candidate.Add(x, groupSize) {
		g.judge()
	}
}

// looked tells whether a probe has just come back from a node, and no hit was sent there since.
func (m *Balancer) recentlyChecked(n *endpoint) bool {
	return n.healthCheckedAt > 0 && m.now-n.healthCheckedAt < m.baseLatency
}

// begin notes when the group that is filled next against the time before the trial has its first outcome.
func (g *classState) begin(now Millis) {
	if len(g.candidate.Fill) == 0 {
		g.fillStartedAt = now
	}
}

// beginStage begins the groups of a stage. What was seen of the earlier build is kept where it is so many outcomes or more:
// a thin marshal fills no group of it between two stages, and where it is gone none comes any more. It is kept for what
// these outcomes lean to; as a group they would send good builds back.
func (m *Balancer) startStage(enough int) {
	for _, g := range m.statistics {
		if seen := slices.Concat(g.baseline.Last, g.baseline.Fill); len(seen) >= enough {
			g.baselineAtStageStart = seen
		}
		g.baseline.Fill, g.candidate, g.agrees, g.rejections = nil, stats.Groups{}, false, 0
	}
}

// beginBuild begins the counts of a build that is offered, and keeps how things stood before.
func (m *Balancer) startBuild() {
	m.arrivalRateBefore = m.arrivalRate
	for _, g := range m.statistics {
		g.baselineLatencyAtOffer, g.controllerLatencyAtOffer = g.baselineLatency.Value, g.controllerLatency.Value
		g.departed, g.controllerOutcomes, g.beforeTrial = stats.Count{}, [2]stats.Count{}, nil
		before := *g
		g.beforeTrial = &before // its groups are not written to again
	}
	for _, n := range m.ordered {
		clear(n.outcomes)
	}
}

// close ends the group of the build on trial that is being filled as it is, and judges it.
func (g *classState) close() {
	g.candidate.Close()
	g.judge()
}

// pin notes that a build has answered a key. Keys of builds before it are forgotten.
func (m *Balancer) stick(b Build, key uint32) {
	if b > m.stickyBuild {
		m.stickyBuild, m.stickyKeys = b, map[uint16]bool{}
	}
	m.stickyKeys[uint16(key>>16)] = true
}
