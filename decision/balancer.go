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
	"ottershed/internal/stats"
	"slices"
)

const ( // the figures of the design page
	groupSize            = 20     // answers in a group
	rejectStatistic      = 3.84   // the test statistic from which two groups differ
	slowRatio            = 1.25   // medians this far apart are clearly slower
	rejectionsToRollback = 2      // rejections in a row that send a build back, where a handful of marshals judge
	rejectProbability    = 0.05   // chance of a rejection without a difference
	blindVoteDelay       = 4000.0 // ms into a stage without full groups
)

const ( // ours; shares of figures from the settings or of what is seen
	smoothing           = 0.15          // weight of the newest answer in what is known of a node
	avoidSuspicion      = 4.0           // silence, as -log of its likelihood, from which a node gets nothing new
	ejectSuspicion      = 8.0           // and from which what it holds is moved
	latencyTolerance    = 2.0           // answer time over the shortest at which the in-flight limit starts to fall
	queueShare          = 0.25          // of the target latency: the wait for a first forward
	tickFraction        = 0.05          // of the shortest target latency: the time between looks around
	latencySamples      = 2 * groupSize // outcomes in a pace
	overloadedShare     = 0.7           // share of answers that take long for their target, from which power is short
	maxHealthChecks     = 3             // at nodes, for one forward
	maxRatioWeight      = 4             // that a group counts for against the time before the trial
	crossZoneGainFactor = 4.0           // share of hits that cross zones, for the share that this would bring in time
	maxCrossZoneShare   = 0.5           // and the most that cross while nodes at home may take them
	sustainedRejections = 8.0           // rejections, for each that sends a build back, that all nodes must be slower
	epsilon             = 1e-9
)

// New makes an instance that knows nothing but its settings.
func New(settings Settings, seed uint64) *Balancer {
	m := &Balancer{
		settings: settings, random: stats.Random{Seed: seed}, tickInterval: math.Inf(1), faultSeenAt: math.Inf(-1),
		classes: map[ClassName]*classState{}, endpoints: map[EndpointID]*endpoint{}, requests: map[RequestID]*request{},
		machineTypes: map[MachineType]*stats.Mean{}, stickyKeys: map[uint16]bool{}, tenants: map[TenantID]*float64{},
	}
	m.exposure.tokens = settings.FreeAttempts
	m.overall = &classState{exposure: m.exposure, index: len(settings.Classes), slowShare: new(float64)}
	m.controller = &classState{rejectionsNeeded: rejectionsToRollback} // all marshals see the same counts
	for i, g := range settings.Classes {
		m.classes[g.Name] = &classState{RequestClass: g, index: i, exposure: m.exposure, slowShare: new(float64)}
		m.slowShares = append(m.slowShares, m.classes[g.Name].slowShare)
		m.classOrder = append(m.classOrder, m.classes[g.Name])
		m.tickInterval = min(m.tickInterval, g.LatencyObjective*tickFraction)
		m.overall.LatencyObjective = max(m.overall.LatencyObjective, g.LatencyObjective)
	}
	m.statistics = append(slices.Clone(m.classOrder), m.overall, m.controller)
	m.tickInterval = max(min(m.tickInterval, m.overall.LatencyObjective), settings.ClockGranularity, 1)
	m.applySettings(settings)
	m.lastPlacement, m.concurrencyLimit = m.random.Next(), math.Inf(1)
	m.meanLatency, m.baseLatency = m.overall.LatencyObjective*queueShare, m.overall.LatencyObjective*queueShare
	return m
}

// settle takes the figures of a deployment, at the start or while it runs: what was seen and what is open
// stay, and so do the path groups, the tenants and the time between looks, as at the start.
func (m *Balancer) applySettings(settings Settings) {
	// Danger: where one of hundreds of votes decides, somebody's chance evidence sends a good build back, and
	// the luckiest marshal votes a bad one on; where many must meet, nobody sees as much as a handful would.
	instances := float64(max(1, settings.Instances))
	alarm, rejections := requiredEvidence(settings.RollbackQuorum, instances)
	advanceQuorum := float64(max(1, settings.AdvanceQuorum)) // where many must vote on, what they have seen together is the proof
	m.certainStatistic, m.blindProof = stats.ExceededBy(alarm), groupSize/4*math.Log(instances/advanceQuorum)*max(0, 1-advanceQuorum/latencySamples)
	_, m.rejectionsToHold = requiredEvidence(settings.HoldQuorum, instances) // where one of hundreds holds, one chance must not
	for _, g := range append(slices.Clone(m.classOrder), m.overall) {
		g.rejectionsNeeded = rejections
	}
	settings.Classes, settings.Tenants, settings.ClockGranularity = m.settings.Classes, m.settings.Tenants, m.settings.ClockGranularity
	m.settings = settings
	m.settings.SlowStartWindow, m.settings.OverloadWindow = max(settings.SlowStartWindow, m.tickInterval), max(settings.OverloadWindow, m.tickInterval) // divisors
}

// proofOf is the chance of a false alarm that a marshal may take where so many of all must meet, and the
// rejections in a row that bring it down to that.
func requiredEvidence(votes int, instances float64) (alarm float64, times int) {
	need := float64(max(1, votes))
	alarm = min(rejectProbability, need/instances*math.Exp(-4/math.Sqrt(need)))
	return alarm, max(1, int(math.Round(math.Log(alarm)/math.Log(rejectProbability))))
}

// Handle takes what happened and returns what is to be done.
func (m *Balancer) Handle(now Millis, event Event) []Action {
	m.now, m.actions = now, nil
	if m.firstEvent() {
		m.emit(WakeAt{At: now + m.tickInterval}) // all marshals of a fleet may start at once
		m.pollAt = now + m.settings.PollWithin*queueShare*m.random.Next()*(1-groupSize/(groupSize+float64(m.settings.Instances)))
	}
	switch e := event.(type) {
	case EndpointsChanged:
		m.endpointsChanged(e)
	case RequestReceived:
		m.receive(e)
	case ResponseStarted:
		if h, f := m.attemptOf(e.Request, e.Attempt); f != nil {
			h.deadline, f.superseded = math.Inf(1), true // a stream belongs to the client
			m.responded(f.endpoint)
		}
	case AttemptEnded:
		if h, f := m.attemptOf(e.Request, e.Attempt); f != nil && f.inFlight {
			m.attemptEnded(h, f, e)
		}
	case ClientDisconnected:
		if h := m.requests[e.Request]; h != nil {
			m.finish(h)
		}
	case TimerFired:
		if m.dispatch(); e.Token == 0 { // the others end the wait for a look
			m.emit(WakeAt{At: now + m.tickInterval})
			m.tick()
		}
	case HealthCheckEnded:
		if n := m.endpoints[e.Endpoint]; n != nil && e.Outcome == Succeeded {
			base := cmp.Or(m.healthCheckBaseline[m.zoneIndex(n)], e.After)
			n.healthCheckRatio, n.healthCheckedAt = e.After/base, now
			if l := e.Load; l != nil && l.Util >= 0 { // Danger: answered at once, a probe's time tells nothing
				n.healthCheckRatio = max(n.healthCheckRatio, 1/max(1-l.Util, epsilon)) // of a queue; how busy the cores are does
			}
			if base *= 1 + smoothing*smoothing*queueShare; n.healthCheckRatio < 1 { // a fifth come back sooner
				base *= 1 - smoothing*smoothing
			}
			m.healthCheckBaseline[m.zoneIndex(n)] = base
			m.dispatch()
		}
	case StageUpdate:
		m.stageUpdated(e)
	case SettingsChanged:
		m.applySettings(e.Settings)
	case EvidenceAcquired: // what a marshal that is gone has seen of this build stands as if seen here
		m.acquireEvidence(e.Evidence, m.stageKnown && e.Build == m.rollout.Build, e.Stage == m.rollout.Stage)
	case EvidenceRevoked: // and what this one has seen stands with another by now
		m.revokeEvidence()
	case ControllerCounts:
		m.controllerCounts(e)
	case ResponseFlagged: // a wrong answer is a failure; only a share of them is told
		if n, g := m.endpoints[e.Endpoint], m.classes[e.Class]; n != nil && g != nil {
			n.count(g, m.overall, stats.Count{Bad: 1 / max(m.settings.FlagShare, smoothing)})
		}
	}
	return m.actions
}

func (m *Balancer) endpointsChanged(e EndpointsChanged) {
	if e.Kind == PollRejected {
		// Danger: a call that waited in vain is served late all the same; sent again by all, they fill it for good.
		waited := min(m.now-m.polledAt, m.settings.PollWithin*queueShare)
		m.pollBackoff = min(2*max(m.pollBackoff, waited, m.settings.PollWithin*smoothing*smoothing), m.settings.PollWithin)
		m.pollAt = m.now + m.pollBackoff*(1+m.random.Next())/2
		return
	}
	m.pollBackoff = 0
	m.applyEndpoints(e, func(in Endpoint) *endpoint {
		return &endpoint{
			warmingSince: in.Started, latency: m.meanLatency, concurrencyLimit: 1, slowStartCredit: m.random.Next(),
			outcomes: make([]stats.Count, len(m.classOrder)+1),
		}
	})
}

// warmth is the part of its capacity that a node has at the least.
func (m *Balancer) slowStartWeight(n *endpoint) float64 {
	if age := m.now - n.warmingSince; n.warmingSince > 0 && age < m.settings.SlowStartWindow {
		return m.settings.SlowStartFloor + (1-m.settings.SlowStartFloor)*max(age, 0)/m.settings.SlowStartWindow
	}
	return 1
}

// hush is how unlikely a node's silence is, as -log, if answers came at its usual pace.
func (m *Balancer) suspicion(n *endpoint) float64 {
	return float64(n.inFlight) * (m.now - n.lastResponseAt) / max(n.latency, m.meanLatency)
}

func (m *Balancer) responded(n *endpoint) {
	if n.lastResponseAt, n.connectFailures = m.now, 0; n.ejections > 0 {
		// Danger: out of reach it may have restarted, before the list tells: full traffic would push it over.
		n.ejections, n.ejectedUntil, n.warmingSince = 0, 0, max(n.warmingSince, m.now)
	}
}

func (m *Balancer) eject(n *endpoint) {
	n.ejections++
	rest := m.overall.LatencyObjective * smoothing * math.Exp2(float64(n.ejections)) * (0.5 + m.random.Next())
	n.ejectedUntil = m.now + min(m.settings.SlowStartWindow, rest)
}

func (m *Balancer) receive(e RequestReceived) {
	// Danger: drawn anew for each hit, half of those meant for grn meet an allowance that is not filled yet.
	_, m.lastPlacement = math.Modf(m.lastPlacement + math.Phi)
	h := &request{
		id: e.Request, receivedAt: m.now, deadline: m.now + e.TTL, placement: m.lastPlacement, tenantSlow: m.tenant(e.Tenant),
		classState: cmp.Or(m.classes[e.Class], m.overall),
	} // not in the settings: the most careful effect
	h.key = crc32.ChecksumIEEE([]byte(e.Key)) | uint32(min(1, len(e.Key)))
	if m.settings.StickyKeys && h.key != 0 { // a slice of the keys that grows with the stage: few ever change sides
		h.placement = float64(h.key) / (1 << 32)
	}
	m.requests[h.id] = h
	if !e.Retried {
		m.arrivalRate += 1 / m.settings.SlowStartWindow
	}
	*m.exposureTokens(h) += m.exposureRefill()
	m.queues[0] = append(m.queues[0], h)
	m.dispatch()
}

// giveUp gives the final answer at once: a bounce where trying again is harmless, else an error.
func (m *Balancer) giveUp(h *request) {
	if !h.mayHaveRun() || h.Idempotency == Idempotent || h.Idempotency == IdempotentWithKey && h.RetryScope == ScopeAll {
		m.emit(Reject{Request: h.id, RetryAfter: min(m.settings.MaxRetryAfter, h.LatencyObjective*queueShare)})
	} else {
		m.emit(Fail{Request: h.id})
	}
	m.finish(h)
}

// over tells whether a waiting hit is given up: nothing can come of it any more, or its part of the target
// latency is over.
func (m *Balancer) expired(h *request, part float64) bool {
	return m.now >= min(h.receivedAt+h.LatencyObjective*part, h.deadline-2*m.tickInterval) ||
		len(h.attempts) >= m.settings.MaxAttempts || h.mayHaveRun() && h.Idempotency == NonIdempotent
}

// mayGo is the gate: whether this hit may go to this node now. All rules on forwards are kept here.
func (m *Balancer) allowed(h *request, n *endpoint) bool {
	s := &m.settings
	if h.done || m.now >= h.deadline || n.State != Serving || len(h.attempts) >= s.MaxAttempts ||
		h.inFlight > 0 && (!s.HedgingAllowed || h.inFlight > 1) {
		return false
	}
	// All further forwards of a tagged hit keep to the time and place of the first that may have run.
	if f := h.firstAttempt(); f != nil && (h.Idempotency == NonIdempotent || h.Idempotency == IdempotentWithKey &&
		(m.now >= f.startedAt+h.DedupWindow-2*s.ClockGranularity ||
			h.RetryScope != ScopeAll && f.Zone != n.Zone || h.RetryScope == ScopeCell && f.Cell != n.Cell)) {
		return false
	}
	if inTrial, stage, cap := m.trialOf(n.Build); inTrial &&
		(cap <= 0 || *m.exposureTokens(h) < 1 || stage < s.GuardedStages && h.Idempotency != Idempotent) {
		return false
	}
	return !s.StickyKeys || n.Build >= m.stickyBuild || h.key == 0 || !m.stickyKeys[uint16(h.key>>16)]
}

// forward sends a hit to the node chosen for it, if there is one.
func (m *Balancer) startAttempt(h *request) bool {
	if float64(m.inFlight-m.unresponsive) >= m.concurrencyLimit {
		return false
	}
	side := 0
	if h.placement < m.candidateShare {
		side = 1
	}
	n, wait := m.chooseEndpoint(h, side)
	if n == nil && !wait {
		n, _ = m.chooseEndpoint(h, 1-side)
	}
	if n == nil && !wait { // then rather the warm ones beside them
		m.warmOverflow = true
		n, _ = m.chooseEndpoint(h, side)
		m.warmOverflow = false
	}
	if n == nil {
		return false
	}
	h.placement += float64(m.buildIndex(n)) // a further forward tries the earlier build
	if n.healthCheckedAt, h.healthChecks = 0, 0; n.inFlight == 0 {
		n.lastResponseAt = m.now
	}
	f := StartAttempt{Request: h.id, Endpoint: n.ID}
	if was := h.firstAttempt(); was != nil && h.Idempotency == IdempotentWithKey { // Danger: its connection may come up when the nodes
		f.SendBy = was.startedAt + h.DedupWindow - 2*m.settings.ClockGranularity // have forgotten the first, and it would run again
	}
	n.inFlight, h.inFlight, m.inFlight = n.inFlight+1, h.inFlight+1, m.inFlight+1
	h.attempts = append(h.attempts, attempt{endpoint: n, startedAt: m.now, inFlight: true, mayHaveRun: true})
	if inTrial, _, _ := m.trialOf(n.Build); inTrial {
		*m.exposureTokens(h)--
	}
	if m.slowStartWeight(n) < 1 {
		n.slowStartCredit--
	}
	if !m.settings.CancelAllowed && h.Idempotency != NonIdempotent {
		f.Timeout = h.LatencyObjective
	}
	m.emit(f)
	return true
}

func (m *Balancer) attemptEnded(h *request, f *attempt, e AttemptEnded) {
	f.inFlight, f.mayHaveRun = false, e.Outcome != EndpointRejected && e.Outcome != Unreachable && e.Outcome != NotSent
	h.inFlight, f.endpoint.inFlight, m.inFlight = h.inFlight-1, f.endpoint.inFlight-1, m.inFlight-1
	m.missedShare -= smoothing * smoothing * m.missedShare
	if f.mayHaveRun && (e.Outcome != Succeeded || m.now > h.receivedAt+h.LatencyObjective) {
		m.missedShare += smoothing * smoothing
	}
	if e.Outcome == Succeeded || e.Outcome == TimedOut {
		m.adjustTotalLimit(h, e.After)
	}
	m.observeEndpoint(f.endpoint, e)
	m.recordOutcome(h, f.endpoint, e)
	if b := f.Build; e.Outcome == Succeeded && h.key != 0 && m.settings.StickyKeys && m.stageKnown && b >= m.rollout.Build {
		m.stick(b, h.key)
	}
	if h.done || e.RequestEnded {
		m.finish(h)
	} else if h.inFlight == 0 {
		m.queues[1] = append(m.queues[1], h)
	}
	m.dispatch()
}

// learn keeps what an outcome says of a node's health, by symptom.
func (m *Balancer) observeEndpoint(n *endpoint, e AttemptEnded) {
	if e.Outcome <= EndpointRejected || e.Outcome == MalformedResponse { // Danger: struck for that, all nodes would be left in turn
		m.responded(n)
	}
	// Danger: where a node refuses at once it has no connection left; idle ones of hundreds shut others out.
	m.refusedShare -= smoothing * m.refusedShare
	if e.Outcome == Unreachable && e.After < m.baseLatency*queueShare {
		m.refusedShare += smoothing
	} else if n.inFlight == 0 && m.refusedShare > tickFraction {
		m.emit(CloseIdle{Endpoint: n.ID})
	}
	switch away := m.zoneIndex(n); e.Outcome {
	case Succeeded, TimedOut:
		m.zoneLatency[away] += smoothing * (e.After - m.zoneLatency[away])
	case Unreachable, ConnectionBroken, Canceled: // a zone that is cut off soon loses the hits that were sent over
		m.zoneLatency[1] += smoothing * float64(away) * (max(e.After, m.overall.LatencyObjective) - m.zoneLatency[1])
		m.crossZoneShare /= math.Pow(latencyTolerance, float64(away))
	}
	switch e.Outcome {
	case Succeeded:
		m.meanLatency += smoothing * smoothing * (e.After - m.meanLatency)
		m.baseLatency = min(m.baseLatency, m.meanLatency)
		m.adjustEndpointLimit(n, e.After)
		n.failureShare -= smoothing * n.failureShare
		if m.slowStartWeight(n) >= 1 {
			m.responsesThisTick++
		}
	case EndpointRejected: // work turned away loads a node too: it gets a rest
		n.concurrencyLimit = max(smoothing, min(n.concurrencyLimit, float64(n.inFlight+1))*(1-smoothing))
		n.ejectedUntil = max(n.ejectedUntil, m.now+n.latency)
	case EndpointFailed, TimedOut, MalformedResponse:
		n.failureShare += smoothing * (1 - n.failureShare)
		if e.Outcome == TimedOut { // Danger: a node may go on with work that its client has left
			m.adjustEndpointLimit(n, max(e.After, n.latency))
		}
	case Unreachable, ConnectionBroken:
		// Danger: connections may break on the way to sound nodes; struck for one each, they would all be left and
		// come back cold. So misses in a row count as silence does, by the share that breaks anyway.
		n.connectFailures++
		n.failureShare += smoothing * (1 - n.failureShare)
		lost := n.ejections > 0 || e.Outcome == Unreachable && e.After >= m.baseLatency*queueShare ||
			-math.Log(m.brokenShare+epsilon)*float64(n.connectFailures) >= ejectSuspicion
		if m.brokenShare += smoothing * smoothing; lost && m.now >= n.ejectedUntil {
			m.faultSeenAt = m.now // not by one silence: a build that slows all nodes brings it too
			m.eject(n)
		}
	}
	m.brokenShare -= smoothing * smoothing * m.brokenShare
}

// paceLimit lets the in-flight limit follow the shortest over the present answer time. All marshals hold at a
// node half a target latency of work, or a quarter more than it did at once. Danger: it never grows unused.
func (m *Balancer) adjustEndpointLimit(n *endpoint, after Millis) {
	n.latency += smoothing * (after - n.latency)
	maxLimit := m.overall.LatencyObjective / m.baseLatency / float64(m.settings.Instances) / latencyTolerance
	n.concurrencyLimit -= smoothing * n.concurrencyLimit * (1 - min(1, latencyTolerance*m.baseLatency/n.latency))
	if float64(n.inFlight+1) >= n.concurrencyLimit {
		n.concurrencyLimit = min(n.concurrencyLimit+smoothing*min(1, maxLimit)/latencyTolerance, max(1, maxLimit, slowRatio*m.serviceRate*n.Capacity*m.baseLatency))
	}
}

// paceAll limits what is out at all nodes while answers of every tenant and path group are long, for slowness
// of some hits is no lack of power. Danger: a thin marshal hears too seldom of each node.
func (m *Balancer) adjustTotalLimit(h *request, after Millis) {
	slow := min(1, math.Floor(after/h.LatencyObjective/queueShare))
	for _, s := range []*float64{&m.slowShare, h.slowShare, h.tenantSlow} {
		*s += smoothing * (slow - *s)
	}
	if out, least := float64(m.inFlight-m.unresponsive+1), m.leastSlowShare(); least > overloadedShare {
		// Danger: stuck ones may have ended since they were counted. At nothing, no answer would ever raise it. By
		// what is out at one moment, chance would take nearly all of it from a thin marshal.
		m.concurrencyLimit = max(epsilon, min(m.concurrencyLimit, max(out, m.recentPeak))*(1-smoothing*(least-overloadedShare)/(1-overloadedShare)))
	} else if out >= m.concurrencyLimit {
		m.concurrencyLimit += smoothing
	}
}

// serve gives waiting hits their forwards: first forwards before further ones.
func (m *Balancer) dispatch() {
	for i, wait := range []float64{queueShare, 1} {
		waiting := m.queues[i][:0]
		for _, h := range m.queues[i] {
			switch {
			case h.done || m.startAttempt(h):
			case m.expired(h, wait):
				m.giveUp(h)
			default:
				waiting = append(waiting, h)
			}
		}
		clear(m.queues[i][len(waiting):])
		m.queues[i] = waiting
	}
}

// pick takes the better of two random choices at home; those of other zones must beat it by the price. While
// much is missed and probes allowed, it looks first, until one is idle: what others sent doesn't show here.
func (m *Balancer) chooseEndpoint(h *request, side int) (best *endpoint, wait bool) {
	least, over := math.Inf(1), 0.0 // what home is worse by, for a hit that may cross
	better := func(n *endpoint) {
		if r := m.risk(h, n) + over*float64(1-m.zoneIndex(n)); r < least {
			best, least = n, r
		}
	}
	for away, part := range m.byBuildAndZone[side] {
		m.eligible[away], m.weights[away] = m.eligible[away][:0], m.weights[away][:0]
		warming, open := 0.0, 0.0 // units of cold nodes, and of those among them that it has a forward for
		for _, n := range part {
			if m.healthy(h, n) && m.allowed(h, n) {
				w := n.Capacity * m.slowStartWeight(n)
				if m.slowStartWeight(n) < 1 {
					warming += w
					if n.slowStartCredit < 1 {
						continue
					}
					open += w
				}
				m.eligible[away] = append(m.eligible[away], n)
				m.weights[away] = append(m.weights[away], w)
				if m.recentlyChecked(n) {
					better(n)
				}
			}
		}
		// Danger: a thin marshal has a forward for few cold nodes at a time. By their own weight alone those would
		// stay empty, and the warm ones of the same build or zone crowd. So they stand in for the others.
		for i, n := range m.eligible[away] {
			if m.slowStartWeight(n) < 1 {
				m.weights[away][i] *= warming / open
			}
		}
		if open == 0 && warming > 0 && !m.warmOverflow {
			m.eligible[away], m.weights[away] = append(m.eligible[away], nil), append(m.weights[away], warming)
		}
	}
	if m.settings.HealthChecksAllowed && m.missedShare > 2*m.settings.HealthCheckPrice && len(m.eligible[0])+len(m.eligible[1]) > 1 {
		away := 0
		if len(m.eligible[0]) == 0 || h.healthChecks == maxHealthChecks-1 && len(m.eligible[1]) > 0 {
			away = 1
		}
		switch {
		case best != nil && best.healthCheckRatio <= slowRatio:
			return best, false
		case m.now < h.healthCheckedAt+2*m.settings.ClockGranularity:
			return nil, true
		case h.healthChecks < maxHealthChecks:
			// The stand-in for cold nodes with no forward left (nil) is no node to look at: it chooses as usual.
			if n := m.eligible[away][m.random.Draw(m.weights[away])]; n != nil {
				h.healthChecks, h.healthCheckedAt = h.healthChecks+1, m.now
				m.emit(StartHealthCheck{Endpoint: n.ID})
				m.emit(WakeAt{Token: 1, At: m.now + 2*m.settings.ClockGranularity})
				return nil, true
			}
		case best != nil:
			return best, false
		}
	}
	if m.crossZoneShare > 0 && len(m.eligible[1]) > 0 && m.random.Next() < m.crossZoneShare {
		over = m.crossZoneGain + m.settings.CrossZonePrice
	}
	for away, from := range m.eligible {
		if len(from) == 0 {
			continue
		}
		// Danger: cold nodes lose in the choice, so it is between two of them or two that are warm.
		one, two := from[m.random.Draw(m.weights[away])], from[m.random.Draw(m.weights[away])]
		if one != nil {
			better(one)
		}
		if one != nil && two != nil && (m.slowStartWeight(one) < 1) == (m.slowStartWeight(two) < 1) {
			better(two)
		}
	}
	return best, false
}

// fit tells whether a node's health lets it take this hit.
func (m *Balancer) healthy(h *request, n *endpoint) bool {
	suspicion := m.suspicion(n)
	if h.Idempotency == NonIdempotent {
		suspicion *= 2 // what may not run again is lost with the node
	}
	if n.ejections > 0 && (n.inFlight > 0 || h.Idempotency != Idempotent) { // one hit that may run again tries it out
		return false
	}
	return m.now >= n.ejectedUntil && suspicion < avoidSuspicion && float64(n.inFlight) < n.concurrencyLimit
}

// risk is the chance that this hit fails or misses its target latency there, and the price of crossing.
func (m *Balancer) risk(h *request, n *endpoint) float64 {
	t := max(n.latency*float64(n.inFlight+1), (m.now-n.lastResponseAt)*float64(min(1, n.inFlight)))
	if m.recentlyChecked(n) {
		t = m.baseLatency * n.healthCheckRatio
	}
	return n.failureShare + (1-n.failureShare)*math.Exp(-h.LatencyObjective/max(t, epsilon)) + float64(m.zoneIndex(n))*m.settings.CrossZonePrice
}

func (m *Balancer) tick() {
	capacity, units, all := [2]float64{}, 0.0, 0.0 // what blue and grn can do; units that are warm, and all units
	m.unresponsive = 0
	for _, s := range m.slowShares {
		*s += (m.slowShare - *s) * m.tickInterval / m.settings.SlowStartWindow // those without answers follow the rest
	}
	for _, n := range m.ordered {
		if n.ejections > 0 || m.suspicion(n) >= avoidSuspicion {
			m.unresponsive += n.inFlight
		}
		if n.ejections >= rejectionsToRollback { // a slow node answers when it is tried again
			m.faultSeenAt = m.now
		}
		n.failureShare *= 1 - m.tickInterval/m.settings.SlowStartWindow
		// Danger: a node that was slow once, or came while others were, would never be tried by a thin marshal.
		n.latency += (m.meanLatency - n.latency) * m.tickInterval / m.settings.SlowStartWindow
		if m.suspicion(n) >= ejectSuspicion && m.now >= n.ejectedUntil {
			m.eject(n)
		}
		// Danger: one forward each from hundreds of marshals pushes a cold node over. So each one's part is a
		// fraction, from a drawn start, and lapses unless soon used; only all parts together are whole forwards.
		w := m.slowStartWeight(n)
		rate := m.serviceRate * n.Capacity * w * math.Sqrt(m.settings.OverloadFactor)
		if n.slowStartCredit += rate * m.tickInterval; n.slowStartCredit >= 1+rate*m.settings.OverloadWindow/2 {
			n.slowStartCredit--
		}
		if n.State == Serving && n.ejections == 0 {
			units += n.Capacity * math.Floor(w)
			capacity[m.buildIndex(n)] += n.Capacity * w
			all += n.Capacity
		}
	}
	// Danger: while so much is cold that the rest is a gap slower, slowness is the turnover's, not the
	// build's: at the last stage of an in-place swap no earlier node is left to tell. It is node trouble;
	// failures still count. Covers any loss of warm power; hurts by delay when a slow build meets it.
	if capacity[0]+capacity[1] < all/slowRatio {
		m.faultSeenAt = m.now
	}
	// A thin marshal knows too few nodes to see room in another zone; what it hears of either moves the share
	// that crosses. All do so late and together: in larger steps, or without end, the zones would fill in turn.
	m.zoneLatency[1] += (m.baseLatency - m.zoneLatency[1]) * smoothing * m.tickInterval / m.settings.SlowStartWindow // to be tried again
	m.crossZoneGain = math.Exp(-m.overall.LatencyObjective/m.zoneLatency[0]) - math.Exp(-m.overall.LatencyObjective/m.zoneLatency[1]) - m.settings.CrossZonePrice
	unobserved := 1 / (1 + m.serviceRate*units*m.settings.SlowStartWindow/float64(len(m.ordered)+1)) // of nodes, by answers from each
	m.crossZoneShare += (min(maxCrossZoneShare, crossZoneGainFactor*unobserved*max(0, m.crossZoneGain)) - m.crossZoneShare) * m.tickInterval / m.settings.SlowStartWindow
	if units > 0 { // with only cold nodes left, as last seen
		m.serviceRate += min(1, m.tickInterval/m.settings.OverloadWindow) * (m.responsesThisTick/units/m.tickInterval - m.serviceRate)
	}
	m.responsesThisTick, m.arrivalRate = 0, m.arrivalRate*(1-m.tickInterval/m.settings.SlowStartWindow)
	m.baseLatency *= 1 + m.tickInterval/m.settings.SlowStartWindow/groupSize // creeps up, as the paces of nodes may
	// Danger: by answers alone a thin marshal would win back what it gave up in a moment only over many seconds.
	m.recentPeak = max(float64(m.inFlight-m.unresponsive), m.recentPeak*(1-m.tickInterval/m.settings.OverloadWindow))
	if len(m.queues[0]) > 0 && m.leastSlowShare() <= overloadedShare {
		m.concurrencyLimit *= 1 + m.tickInterval/m.settings.SlowStartWindow
	}
	if m.candidateShare = capacity[1] / max(capacity[0], capacity[1], epsilon); m.settings.InPlace {
		m.candidateShare = capacity[1] / max(capacity[0]+capacity[1], epsilon)
	}
	if m.settings.PollEndpoints && m.now >= m.pollAt {
		m.pollAt, m.polledAt = math.Inf(1), m.now
		m.emit(WatchEndpoints{On: true})
	}
	m.migrateFromSilent()
	m.dispatch()
	m.castVote()
}

// moveOff takes hits that may run again off silent nodes, but not at once the one that tries a node out.
func (m *Balancer) migrateFromSilent() {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		h, i := m.requests[id], len(m.requests[id].attempts)-1
		if h.done || h.inFlight != 1 || h.Idempotency == NonIdempotent || !h.attempts[i].inFlight || h.attempts[i].superseded ||
			(h.attempts[i].ejections == 0 || m.now >= h.attempts[i].ejectedUntil) && m.suspicion(h.attempts[i].endpoint) < ejectSuspicion {
			continue
		}
		if m.settings.HedgingAllowed {
			moved := m.startAttempt(h) // it may grow the forwards
			h.attempts[i].superseded = moved
		} else if m.settings.CancelAllowed && len(h.attempts) < m.settings.MaxAttempts {
			h.attempts[i].superseded = true
			m.emit(Cancel{Request: h.id, Attempt: i})
		}
	}
}

// left is the allowance that a hit's forwards to builds on trial are taken from.
func (m *Balancer) exposureTokens(h *request) *float64 {
	a := &m.exposure
	if m.settings.ExposurePerClass {
		a = &h.exposure
	}
	if m.now > a.refilledAt {
		a.tokens, a.refilledAt = min(a.tokens, m.settings.FreeAttempts), m.now
	}
	return &a.tokens
}

// trial tells whether a build is on trial, its stage and cap; without news of it, those of the first stage.
func (m *Balancer) trialOf(b Build) (on bool, stage int, cap float64) {
	maxExposure := 1 - m.settings.WithheldShare // by the operators' word
	if m.stageKnown && b == m.rollout.Build {
		return m.rollout.Phase != Released, m.rollout.Stage, min(m.rollout.ExposureCap, maxExposure)
	}
	return !m.stageKnown || b > m.rollout.Build, 0, min(m.settings.ExposureCaps[0], maxExposure)
}

// fill is what a hit adds to the allowance: the lowest cap of any build that is on trial by the list.
func (m *Balancer) exposureRefill() float64 {
	least := 1.0
	for _, n := range m.ordered {
		if on, _, cap := m.trialOf(n.Build); on {
			least = min(least, cap)
		}
	}
	return least
}

// sample adds an outcome to the groups of its build.
func (m *Balancer) recordOutcome(h *request, n *endpoint, e AttemptEnded) {
	g, v, outcome := h.classState, e.After, stats.Count{}
	switch e.Outcome {
	case Succeeded:
		outcome.Good = 1
	case EndpointFailed:
		v, outcome.Bad = math.Inf(1), 1 // a failure ranks behind every answer
	}
	m.failures.Add(stats.Count{Good: 1 - outcome.Total(), Bad: outcome.Bad}, 1)
	m.failures = m.failures.ScaledTo(latencySamples)
	if outcome.Total() == 0 && (e.Outcome != TimedOut || n.ejections > 0 || h.done) { // a silent node, not its build
		return
	}
	n.count(g, m.overall, outcome)
	// Danger: a cold node is slow whatever it runs, and one trial node of a slow kind is no slow build. So nodes
	// within a gap of their power count, each against blue's pace in its path group and on its kind of machine.
	if m.slowStartWeight(n) < 1/slowRatio || n.Build > m.rollout.Build {
		return
	}
	candidate := n.Build == m.rollout.Build && m.rollout.Phase != Released
	if !candidate && e.Outcome == Succeeded {
		n.machineTypeRatio.Add(v/g.baselineLatency.Add(v, latencySamples), latencySamples)
	}
	for _, to := range []*classState{g, m.overall} {
		to.add(candidate, v/g.baselineLatency.ValueOr(1)/n.machineTypeRatio.ValueOr(1))
	}
	m.recordBeforeTrial(m.overall.beforeTrial, v/n.machineTypeRatio.ValueOr(1), g.baselineLatencyAtOffer)
}

// tallied takes the desk's counts, the same for all marshals: thin ones see the whole fleet by them. One
// count's answers are laid out as one group at most, with the spread that answer times mostly have.
func (m *Balancer) controllerCounts(e ControllerCounts) {
	g := m.classes[e.Class]
	if g == nil || !m.stageKnown || e.Build > m.rollout.Build || e.Count <= 0 {
		return
	}
	// Danger: it counts what nodes refuse, too. So by the share of errors in our own; one may be chance.
	counted, newest := stats.Count{Good: float64(e.Count - e.Failed)}, e.Build == m.rollout.Build
	counted.Bad = float64(e.Failed) * max(0, m.failures.Bad-1) / (m.failures.Total() + groupSize/4)
	if !newest { // Danger: trouble of nodes fails both; so grn's counts meet as many of blue's, of the same time
		g.baselineLatest = counted
	} else if g.baselineLatest.Total() > 0 {
		g.controllerOutcomes[0].Add(g.baselineLatest, counted.Total()/g.baselineLatest.Total())
		g.controllerOutcomes[1].Add(counted, 1)
		g.baselineLatest = stats.Count{}
	}
	candidate := newest && m.rollout.Phase != Released
	if !candidate && e.Failed < e.Count {
		g.controllerLatency.Add(e.Mean, latencySamples)
	}
	size := min(groupSize, e.Count)
	for i := range size {
		v := stats.Exponential(i) * e.Mean
		if float64(i)+0.5 < float64(size)*counted.Bad/counted.Total() {
			v = math.Inf(1)
		}
		m.controller.add(candidate, v/g.controllerLatency.ValueOr(1))
		m.recordBeforeTrial(m.controller.beforeTrial, v, g.controllerLatencyAtOffer)
	}
}

// enterBefore has an outcome of either build judged against the time before the trial, by a wider gap.
func (m *Balancer) recordBeforeTrial(b *classState, v, pace float64) {
	if b == nil || pace == 0 || math.IsInf(v, 1) || len(b.baseline.Last) == 0 {
		return
	}
	// Danger: what slowed all nodes before one of them ran the build goes on for a while, and is not its doing.
	none := len(m.byBuildAndZone[1][0])+len(m.byBuildAndZone[1][1]) == 0
	if none {
		b.outcomesBeforeFirstEndpoint = append(b.outcomesBeforeFirstEndpoint[:min(len(b.outcomesBeforeFirstEndpoint), groupSize)], v/pace)
		b.slowBeforeTrial = len(b.outcomesBeforeFirstEndpoint) >= groupSize/4 && stats.Median(b.outcomesBeforeFirstEndpoint) > slowRatio*stats.Median(b.baseline.Last)
	}
	b.begin(m.now)
	if none || b.slowBeforeTrial || !b.candidate.Add(v/pace, groupSize) {
		return
	}
	// Danger: a very slow build fills groups late. So each counts for the gaps that it is slower by, bounded;
	// none does while more is asked than then: clients of marshals that died slow all nodes, whatever they run.
	if m.now-m.faultSeenAt < m.settings.SlowStartWindow || m.arrivalRate > slowRatio*m.arrivalRateBefore ||
		!b.slower(b.candidate.Last, slowRatio) {
		b.rejections = 0
	} else {
		// What eight groups in a row show, one shows that a thin marshal took as long to fill.
		lasted := min(sustainedRejections, max(1, sustainedRejections*(m.now-b.fillStartedAt)/blindVoteDelay))
		b.rejections += int(lasted * min(maxRatioWeight, math.Log(b.medianRatio)/math.Log(slowRatio)))
	}
}

// judge compares the last group of the build on trial.
func (g *classState) judge() {
	latest, previous, baseline := g.candidate.Last, g.candidate.Before, g.baseline.Last
	switch {
	case baseline == nil:
	case g.slower(latest, 1):
		// Danger: under a build too slow for its load no two groups agree, so rejections don't wait for that.
		g.agrees = false
		g.rejections++
	case previous != nil && stats.KruskalWallis(previous, latest) < rejectStatistic:
		g.rejections = 0
		g.agrees = stats.KruskalWallis(baseline, latest) < rejectStatistic || stats.Median(latest) <= stats.Median(baseline)
	}
}

// slower tells whether outcomes are clearly slower than both of blue's last groups: one may be chance. Where
// most are failures, failing judges: by nodes, of which some fail fast whatever they run.
func (g *classState) slower(outcomes []float64, wider float64) bool {
	for _, baseline := range [][]float64{g.baseline.Before, g.baseline.Last} {
		if len(baseline) == 0 || len(outcomes) == 0 {
			return false
		}
		g.medianRatio = stats.Median(outcomes) / stats.Median(baseline)
		if stats.KruskalWallis(baseline, outcomes) < rejectStatistic || g.medianRatio < slowRatio*wider || math.IsInf(g.medianRatio, 1) {
			return false
		}
	}
	return true
}

// failing is the strongest sign, in one path group or in all, that grn fails more often, by the same test on
// good and bad, as a multiple of what proves it; and how much was seen. Not the worst quarter of nodes,
// nor a single one where one of blue fails half as often: trouble of their own. The desk can not do that.
// Doubt is a failure or more, at twice blue's share: no proof, but most of many see none in a good build.
func (m *Balancer) failureEvidence() (worst, seen float64, suspected bool) {
	least := 2 - math.Floor(min(1, float64(m.settings.RollbackQuorum)/groupSize)) // failures
	for _, g := range append(m.classOrder, m.overall) {
		// Danger: without those that left, nothing is worse once blue is gone.
		baseline, candidate, all := g.departed, stats.Count{}, stats.Count{}
		endpoints, baselineWorst := 0.0, 0.0 // of grn; the share of failures at the worst one of blue
		var each []stats.Count               // of grn's nodes, the worst first
		for _, n := range m.ordered {
			if t := n.outcomes[g.index]; n.Build < m.rollout.Build {
				baseline.Add(t, 1)
				baselineWorst = max(baselineWorst, (t.Bad-1)/max(t.Total(), 1)) // one may be chance
			} else if n.Build == m.rollout.Build {
				if endpoints++; t.Total() > 0 {
					each = append(each, t)
				}
			}
		}
		slices.SortFunc(each, func(a, b stats.Count) int { return cmp.Compare(b.Bad*a.Total(), a.Bad*b.Total()) })
		seen = 0
		for i, t := range each {
			// Danger: a thin marshal has one answer of most nodes; the worst quarter of them is every failure it saw.
			all.Add(t, 1)
			if seen += t.Total(); t.Bad < 2 || i >= (len(each)+3)/4 || endpoints == 1 && 2*baselineWorst*t.Total() < t.Bad {
				candidate.Add(t, 1)
			}
		}
		suspected = m.blindProof == 0 && all.Bad >= 1 && all.Bad*baseline.Total() > 2*(baseline.Bad+1)*all.Total()
		// Danger: waiting for a second failure each, hundreds of thin marshals let a failing build on.
		if candidate.Bad >= least && candidate.Bad*baseline.Total() > baseline.Bad*candidate.Total() {
			worst = max(worst, stats.KruskalWallisCounts(baseline, candidate)/m.certainStatistic*min(1, candidate.Bad/2))
		}
		if c := g.controllerOutcomes; c[1].Bad >= 2 && c[1].Bad > c[0].Bad {
			worst = max(worst, stats.KruskalWallisCounts(c[0].ScaledTo(endpoints), c[1].ScaledTo(endpoints))/(2*rejectStatistic))
		}
	}
	return worst, seen, suspected
}

func (m *Balancer) stageUpdated(e StageUpdate) {
	if e.IsVoteResult { // not taken: again after a while
		m.voteAccepted = e.VoteResult == VoteAccepted
		m.nextVoteAt = m.now + m.settings.VoteWait*m.random.Next()*float64(min(e.VoteResult, 1))
	}
	if e.VoteResult != VoteAccepted {
		return
	}
	old := m.rollout
	m.rollout, m.stageStartedAt = e, m.now-e.Age
	if m.stageKnown && old.Build == e.Build && old.Stage == e.Stage && old.Phase == e.Phase {
		return
	}
	m.stageKnown, m.vote = true, Vote{}
	m.partition()
	if e.Phase == RollingBack || e.Phase == RolledBack {
		m.stickyBuild, m.stickyKeys = 0, map[uint16]bool{} // keys are free again
	}
	m.startStage(groupSize / 4)
	if e.Build != old.Build {
		m.startBuild()
	}
}

// verdict is what this marshal stands for, with the reason.
func (m *Balancer) verdict() (Verdict, string) {
	failing, seen, suspected := m.failureEvidence()
	agree, reject, hold, full := true, false, false, 0
	var slowClass, slow *classState
	for _, g := range m.statistics {
		if g.baseline.Last != nil && len(g.candidate.Last) == groupSize && (g != m.overall || full == 0) {
			full++
			agree = agree && g.agrees
		}
		reject = reject || g.rejections > 0 || g.beforeTrial != nil && g.beforeTrial.rejections > 0
		hold = hold || g.rejections >= m.rejectionsToHold || g.beforeTrial != nil && g.beforeTrial.rejections >= m.rejectionsToHold
		if g.rejections >= g.rejectionsNeeded && m.now-m.faultSeenAt >= m.settings.SlowStartWindow { // lost nodes crowd the rest
			slowClass = g
		}
		if g.beforeTrial != nil && g.beforeTrial.rejections >= sustainedRejections*g.rejectionsNeeded {
			slow = g.beforeTrial
		}
	}
	next := append(slices.Clone(m.settings.Stages), 1)[min(max(m.rollout.Stage+1, 0), len(m.settings.Stages))]
	switch inTrial := m.rollout.Phase == InTrial; {
	case failing >= 1:
		return VoteRollback, fmt.Sprintf("it fails more often, %.1f times what proves it", failing)
	case inTrial && slowClass != nil:
		return VoteRollback, fmt.Sprintf("path group %q clearly slower again, by %.2f at last", slowClass.Name, slowClass.medianRatio)
	case slow != nil && (inTrial || m.now-m.stageStartedAt < 3*m.settings.SlowStartWindow):
		return VoteRollback, fmt.Sprintf("all nodes slower than before the trial, by %.2f at last", slow.medianRatio)
	case inTrial && m.settings.Control == ByClock && m.settings.Halt:
		return VoteHold, "halted by the operators"
	case inTrial && m.settings.Control == ByClock && hold:
		return VoteHold, fmt.Sprintf("clearly slower, %d times in a row", m.rejectionsToHold)
	case !inTrial || m.settings.Control == ByClock || m.settings.Halt || 2*failing >= 1 || reject:
	case full > 0 && agree, m.vote.Verdict == VoteAdvance && (full > 0 || m.blindProof > 0): // only clear slowness ends it
		return VoteAdvance, "groups agree"
	// Danger: cold nodes hide a slow build, so the vote that opens the whole fleet takes outcomes of warm ones.
	case full == 0 && m.now-m.stageStartedAt >= blindVoteDelay && seen >= m.blindProof*next && !suspected && !m.suspectsCandidate() &&
		!m.overall.slower(m.overall.candidate.Fill, 1) && !m.controller.slower(m.controller.candidate.Fill, 1) &&
		(next < 1 || float64(len(m.overall.candidate.Fill)+len(m.overall.candidate.Last)) >= max(1, 2*m.blindProof)):
		return VoteAdvance, fmt.Sprintf("%.0f s without full groups", blindVoteDelay/1000)
	}
	return VoteNone, "not settled"
}

// leans tells whether the few times seen speak against the build on trial: by a gap and a half, they scatter.
// Danger: no thin marshal can tell a slow build; of hundreds, most lean right. But lost nodes crowd the rest.
func (m *Balancer) suspectsCandidate() bool {
	was, now := slices.Concat(m.overall.baselineAtStageStart, m.overall.baseline.Fill), slices.Concat(m.overall.candidate.Last, m.overall.candidate.Fill)
	return (m.rollout.Stage+1 < len(m.settings.Stages) || m.now-m.faultSeenAt >= m.settings.SlowStartWindow) && m.blindProof == 0 &&
		len(was) > 0 && len(now) > 0 && stats.Median(now) > slowRatio*math.Sqrt(slowRatio)*stats.Median(was)
}

// consider casts this marshal's vote when it changes or is about to lapse.
func (m *Balancer) castVote() {
	if !m.stageKnown || m.now < m.nextVoteAt || m.rollout.Phase == RollingBack || m.rollout.Phase == RolledBack {
		return
	}
	m.nextVoteAt = m.now + min(m.overall.LatencyObjective*queueShare, blindVoteDelay*tickFraction)
	if m.now >= m.groupClosesAt && m.now-m.stageStartedAt >= blindVoteDelay { // too thin to fill a group in time
		if m.groupClosesAt = m.now + blindVoteDelay; len(m.overall.candidate.Fill) >= rejectionsToRollback {
			m.overall.close()
		}
	}
	v, why := m.verdict()
	if m.vote.Verdict == VoteRollback {
		v = VoteRollback // testing ends with it until the next stage
	}
	if v == m.vote.Verdict && (v == VoteNone || m.voteAccepted && m.now-m.votedAt < m.settings.VoteTTL*(1-smoothing)) {
		return
	}
	if v != m.vote.Verdict && v != VoteAdvance { // hundreds that vote on would hide the others
		m.emit(Log{Text: fmt.Sprintf("vote %d on build %d stage %d: %s", v, m.rollout.Build, m.rollout.Stage, why)})
	}
	m.vote = Vote{Build: m.rollout.Build, Stage: m.rollout.Stage, Verdict: v}
	m.votedAt, m.voteAccepted, m.nextVoteAt = m.now, false, m.now+m.settings.VoteWait
	m.emit(m.vote)
}
