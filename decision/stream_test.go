package decision_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"ottershed/decision"
)

// simulation simulates the environment of one load balancer instance: clients, endpoints, a service registry and a
// rollout controller. All random values are drawn from one seed, and the environment reacts to the actions of the
// instance. Nothing depends on the iteration order of a map, so a seed results in the same stream of events as long as
// the behaviour of the instance does not change.
type simulation struct {
	scenario
	settings       decision.Settings
	random         *rand.Rand
	now            decision.Millis
	pending        schedule
	scheduledCount int // events added to the schedule so far
	instance       *decision.Balancer
	observe        func(now decision.Millis, event decision.Event, actions []decision.Action)
	eventCount     int // events passed to the instance so far
	eventLimit     int // the simulation stops after this number of events

	endpoints        []*endpoint // in the registry, in the order of their first start
	byID             map[decision.EndpointID]*endpoint
	requests         map[decision.RequestID]*request // never iterated over
	lastID           decision.RequestID
	startedEndpoints int // number of endpoints started so far
	controller       controller
	subscribed       bool              // the instance receives changes of the endpoint list
	evidence         decision.Evidence // evidence of the instance at an earlier time
}

// scenario holds the environment's parameters for a seed. Each field with suffix At is the start of a condition that
// lasts for faultDuration; with 0 the condition never occurs.
type scenario struct {
	arrivalRate           float64         // requests per millisecond
	serviceTime           decision.Millis // at an idle, warm endpoint
	fleetSize             int             // number of endpoints at the start
	endpointCapacity      int             // requests in flight that an endpoint accepts
	faultInterval         decision.Millis // mean time between faults of single endpoints
	randomOutcomeShare    float64         // share of attempts with a random outcome
	keyedShare            float64         // share of requests with a key
	streamedShare         float64         // share of responses that are streamed
	followedVoteShare     float64         // share of accepted votes that the controller follows
	rejectedPollShare     float64         // share of polls that are rejected
	maxStageDuration      decision.Millis // maximum duration of a stage
	candidateSlowdown     float64         // factor on the service time of a bad candidate
	candidateFailureShare float64         // share of failed requests at a bad candidate
	badCandidateShare     float64         // share of bad candidates
	otherZoneDownAt       decision.Millis // from then on the other zone is unreachable
	fleetSlowdownAt       decision.Millis // from then on all endpoints are slower
	fleetSlowdownFactor   float64         // factor on the service time during the condition of fleetSlowdownAt
	slowdownAtOffer       bool            // a fleet slowdown starts with the offer of half of the candidates
	homeSlowdownAt        decision.Millis // from then on endpoints in the instance's zone are slower
	homeSlowdownFactor    float64         // factor on the service time during the condition of homeSlowdownAt
	releasePause          decision.Millis // time from the release of a build to the offer of the next build
	replacementInterval   decision.Millis // mean time between replacements of endpoints by the rollout
	candidateSlowsAll     bool            // a bad candidate slows all endpoints while any of them runs it
	burstAt               decision.Millis // from then on the arrival rate is four times as high
	faultDuration         decision.Millis // duration of each condition whose start is a field with suffix At
}

// controller is the state of the simulated rollout controller, which rolls out one build after another.
type controller struct {
	build          decision.Build
	phase          decision.Phase
	stage          int
	stageStartedAt decision.Millis // start of the current stage or phase
	badCandidate   bool            // the build is slow or fails requests
}

// endpoint is a simulated endpoint.
type endpoint struct {
	decision.Endpoint
	inFlight         int
	slowdown         float64 // factor on the service time
	errorShare       float64 // share of requests that get an error response
	neverResponds    bool    // accepts requests and does not respond
	unreachable      bool    // connections to it fail
	runsBadCandidate bool    // its build is a bad candidate
}

// request is a request from the client's point of view.
type request struct {
	decision.RequestReceived
	attempts []*attempt
	done     bool // final response received, or client disconnected
}

// attempt is an attempt to serve a request at an endpoint.
type attempt struct {
	endpoint  *endpoint
	startedAt decision.Millis
	ended     bool
}

// scheduledEvent is a function that runs at a time. Functions with equal times run in the order of their scheduling.
type scheduledEvent struct {
	at    decision.Millis
	order int
	run   func()
}

// schedule is a priority queue of events; it implements heap.Interface.
type schedule []scheduledEvent

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(e any)   { *s = append(*s, e.(scheduledEvent)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newSimulation draws the settings and the scenario of a seed and creates an instance.
func newSimulation(seed uint64, limit int) *simulation {
	random := rand.New(rand.NewPCG(seed, 0x6f74746572))
	s := &simulation{
		random: random, now: 10000, eventLimit: limit,
		byID: map[decision.EndpointID]*endpoint{}, requests: map[decision.RequestID]*request{},
		observe: func(decision.Millis, decision.Event, []decision.Action) {},
	}
	s.settings = drawSettings(random)
	s.scenario = drawScenario(random)
	scenarioVariants[int(seed)%len(scenarioVariants)](s)
	s.instance = decision.New(s.settings, seed)
	s.controller = controller{build: 7, phase: decision.Released, stageStartedAt: s.now}
	for range s.fleetSize {
		s.startEndpoint(7, 0)
	}
	return s
}

// drawSettings draws the settings of a deployment. Each boolean setting is true with some seeds and false with others.
func drawSettings(random *rand.Rand) decision.Settings {
	flip := func() bool { return random.IntN(2) == 0 }
	objective := 300 + 900*random.Float64()
	settings := decision.Settings{
		Instances: 1 + random.IntN(8), Zone: "a", ClockGranularity: float64(1 + random.IntN(6)),
		Tenants:       []decision.TenantID{"gold", "silver"},
		PollEndpoints: flip(), MaxPollInterval: 400 + 2000*random.Float64(),
		CancelAllowed: flip(), HedgingAllowed: flip(), HealthChecksAllowed: flip(),
		MaxRetryAfter: 50 + 400*random.Float64(), MaxAttempts: 2 + random.IntN(4),
		SlowStartFloor: 0.2 + 0.4*random.Float64(), OverloadFactor: 1.5 + 2*random.Float64(),
		SlowStartWindow: 800 + 3000*random.Float64(), OverloadWindow: 300 + 900*random.Float64(),
		InPlace: flip(), ExposureCaps: []float64{0.1, 0.5, 1}, StageShares: []float64{0.08, 0.4, 1},
		FreeAttempts: float64(random.IntN(4)), ExposurePerClass: flip(), GuardedStages: random.IntN(3), StickyKeys: flip(),
		FlagShare: random.Float64(), VoteTTL: 2000 + 4000*random.Float64(), VoteRetryWait: 200 + 800*random.Float64(),
	}
	settings.Classes = []decision.RequestClass{
		{Name: "read", LatencyObjective: objective, Idempotency: decision.Idempotent},
		{
			Name: "mark-cell", LatencyObjective: objective * 1.5, Idempotency: decision.IdempotentWithKey,
			RetryScope: decision.ScopeCell, DedupWindow: objective,
		},
		{
			Name: "mark-zone", LatencyObjective: objective * 1.2, Idempotency: decision.IdempotentWithKey,
			RetryScope: decision.ScopeZone, DedupWindow: objective,
		},
		{
			Name: "mark-all", LatencyObjective: objective, Idempotency: decision.IdempotentWithKey,
			RetryScope: decision.ScopeAll, DedupWindow: objective * 2,
		},
		{Name: "pay", LatencyObjective: objective * 2, Idempotency: decision.NonIdempotent},
	}
	if flip() {
		settings.CrossZonePrice, settings.HealthCheckPrice = 0.02*random.Float64(), 0.01*random.Float64()
	}
	if random.IntN(3) == 0 {
		settings.ExposureCaps, settings.StageShares = []float64{0.05, 0.2, 0.6, 1}, []float64{0.05, 0.2, 0.5, 1}
	}
	if random.IntN(4) == 0 {
		settings.Control = decision.ByClock
		settings.HoldQuorum = random.IntN(3)
	}
	if random.IntN(8) == 0 {
		settings.WithheldShare = 0.6
	}
	settings.Halt = random.IntN(10) == 0
	if flip() {
		settings.CountInterval = 500 + 1000*random.Float64()
	}
	settings.AdvanceQuorum, settings.RollbackQuorum = 1+settings.Instances/2, 1+settings.Instances/10
	return settings
}

// drawScenario draws the parameters that are common to all variants.
func drawScenario(random *rand.Rand) scenario {
	return scenario{
		arrivalRate: 0.04 + 0.12*random.Float64(), serviceTime: 15 + 60*random.Float64(),
		fleetSize: 4 + random.IntN(8), endpointCapacity: 8 + random.IntN(16),
		faultInterval: 800 + 4000*random.Float64(), randomOutcomeShare: 0.03 * random.Float64(),
		keyedShare: random.Float64(), streamedShare: 0.1 * random.Float64(),
		followedVoteShare: random.Float64(), rejectedPollShare: 0.6 * random.Float64(),
		maxStageDuration:    4500 + 4000*random.Float64(),
		releasePause:        1500,
		replacementInterval: 900,
		candidateSlowdown:   1 + random.Float64(), candidateFailureShare: 0.02, badCandidateShare: 0.3,
		faultDuration: 1500 + 4000*random.Float64(),
	}
}

// scenarioVariants are applied to the seeds in turn.
var scenarioVariants = []func(*simulation){
	(*simulation).noFaults,
	(*simulation).slowCandidates,
	(*simulation).failingCandidates,
	(*simulation).otherZoneDown,
	(*simulation).slowFleet,
	(*simulation).manyInstances,
	(*simulation).overload,
	(*simulation).manyInstancesWithBadCandidates,
	(*simulation).dozensOfInstances,
	(*simulation).candidatesThatSlowAll,
	(*simulation).slowHomeZone,
	(*simulation).shortObjectives,
}

// noFaults turns faults off, so that whole rollouts complete.
func (s *simulation) noFaults() {
	s.faultInterval, s.randomOutcomeShare = 1e5, 0
}

// slowCandidates makes most candidates slow.
func (s *simulation) slowCandidates() {
	s.candidateSlowdown, s.badCandidateShare = 1.4+3*s.random.Float64(), 0.8
}

// failingCandidates makes most candidates fail requests.
func (s *simulation) failingCandidates() {
	s.candidateFailureShare, s.badCandidateShare = 0.05+0.4*s.random.Float64(), 0.8
}

// otherZoneDown makes the other zone unreachable for some time.
func (s *simulation) otherZoneDown() {
	s.otherZoneDownAt = s.now + 3000 + 8000*s.random.Float64()
}

// slowFleet makes all endpoints slower for some time. With half of the seeds, the slowdown starts with the offer
// of a candidate, before any endpoint runs it.
func (s *simulation) slowFleet() {
	s.fleetSlowdownAt, s.fleetSlowdownFactor = s.now+3000+8000*s.random.Float64(), 2+6*s.random.Float64()
	if s.slowdownAtOffer = s.random.IntN(2) == 0; s.slowdownAtOffer {
		s.arrivalRate = 0.006 + 0.012*s.random.Float64()
	}
}

// manyInstances simulates one of hundreds of instances, with little traffic.
func (s *simulation) manyInstances() {
	s.setLowTraffic(100 + s.random.IntN(300))
}

// overload sends more requests than the endpoints can serve for some time.
func (s *simulation) overload() {
	s.burstAt, s.fleetSize, s.endpointCapacity = s.now+4000, 3, 6
	s.serviceTime *= 2
}

// manyInstancesWithBadCandidates simulates one of hundreds of instances, with little traffic and bad candidates.
func (s *simulation) manyInstancesWithBadCandidates() {
	s.setLowTraffic(100 + s.random.IntN(700))
	s.candidateSlowdown, s.candidateFailureShare, s.badCandidateShare = 1+3*s.random.Float64(), 0.3*s.random.Float64(), 0.7
	if s.random.IntN(2) == 0 { // slow candidates and frequent faults, in all stages
		s.candidateFailureShare, s.badCandidateShare, s.faultInterval, s.maxStageDuration = 0, 1, 500, 7000
		s.settings.Control, s.settings.Halt, s.settings.SlowStartWindow = decision.ByVotes, false, 800
	}
}

// dozensOfInstances simulates one of dozens of instances.
func (s *simulation) dozensOfInstances() {
	s.setLowTraffic(10 + s.random.IntN(50))
	s.settings.AdvanceQuorum = 1 + s.settings.Instances/4
}

// candidatesThatSlowAll makes candidates slow all endpoints.
func (s *simulation) candidatesThatSlowAll() {
	s.faultInterval, s.randomOutcomeShare, s.fleetSize, s.candidateSlowsAll = 1e5, 0, 4, true
	s.settings.SlowStartFloor, s.replacementInterval = 0.85, 250 // otherwise warming endpoints would explain the slowness
	s.candidateSlowdown, s.badCandidateShare, s.maxStageDuration = 2+4*s.random.Float64(), 0.9, 9000
	if s.random.IntN(3) > 0 { // the slowness is detected only after the release
		s.maxStageDuration, s.releasePause = 500+1500*s.random.Float64(), 15000
	}
}

// slowHomeZone makes the endpoints in the instance's zone slow.
func (s *simulation) slowHomeZone() {
	s.homeSlowdownAt, s.faultDuration = s.now+2000+4000*s.random.Float64(), 20000
	s.homeSlowdownFactor = s.settings.Classes[0].LatencyObjective * (0.3 + s.random.Float64()) / s.serviceTime
	s.arrivalRate, s.fleetSize, s.endpointCapacity = 0.01+0.05*s.random.Float64(), 16, 60
}

// shortObjectives sets short latency objectives, with overload and frequent faults.
func (s *simulation) shortObjectives() {
	s.shortenTimes(20)
	s.fleetSize, s.faultInterval, s.arrivalRate = 4, 300, 0.5
	s.settings.MaxPollInterval = 20
}

// setLowTraffic makes the instance one of many, with a few requests per second.
func (s *simulation) setLowTraffic(instances int) {
	s.settings.Instances = instances
	s.settings.AdvanceQuorum = instances * 6 / 10
	s.settings.RollbackQuorum = 1 + instances*8/100
	s.settings.HoldQuorum *= 1 + instances/20
	s.arrivalRate = 0.003 + 0.02*s.random.Float64()
	s.fleetSize = 12 + s.random.IntN(20)
	for i := range s.settings.Classes {
		s.settings.Classes[i].LatencyObjective *= 2
	}
}

// shortenTimes divides latency objectives and service times by a factor.
func (s *simulation) shortenTimes(factor float64) {
	s.settings.ClockGranularity = 0.5
	s.serviceTime /= factor
	for i := range s.settings.Classes {
		s.settings.Classes[i].LatencyObjective /= factor
	}
}

// scheduleAt schedules a function for a time, or for now if that time is past.
func (s *simulation) scheduleAt(when decision.Millis, run func()) {
	s.scheduledCount++
	heap.Push(&s.pending, scheduledEvent{max(when, s.now), s.scheduledCount, run})
}

// every schedules a function repeatedly, at random intervals with this mean.
func (s *simulation) every(mean decision.Millis, run func()) {
	s.scheduleAt(s.now+mean*(0.5+s.random.Float64()), func() {
		run()
		s.every(mean, run)
	})
}

// run runs the simulation until eventLimit is reached.
func (s *simulation) run() {
	s.scheduleInitialEvents()
	for s.eventCount < s.eventLimit {
		next := heap.Pop(&s.pending).(scheduledEvent)
		s.now = next.at
		next.run()
	}
}

// handle passes an event to the instance and performs the returned actions.
func (s *simulation) handle(event decision.Event) {
	if s.eventCount >= s.eventLimit {
		return
	}
	s.eventCount++
	actions := s.instance.Handle(s.now, event)
	s.observe(s.now, event, actions)
	for _, action := range actions {
		s.perform(action)
	}
}

// scheduleInitialEvents passes the first endpoint list to the instance and schedules the recurring events.
func (s *simulation) scheduleInitialEvents() {
	s.handle(decision.EndpointsChanged{Kind: decision.CachedSnapshot, Endpoints: s.endpointList()})
	if s.subscribed = !s.settings.PollEndpoints; s.subscribed {
		s.scheduleAt(s.now+20, func() {
			s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.endpointList()})
		})
	}
	s.scheduleAt(s.now+1000*s.random.Float64(), s.sendStageUpdate)
	s.scheduleAt(s.now+3000, s.offerBuild)
	s.scheduleArrival()
	s.every(s.faultInterval, s.injectEndpointFault)
	s.every(s.replacementInterval, s.replaceForRollout)
	s.every(5000, s.injectOperation)
	s.every(1500, func() { s.handle(decision.PeerMessage{From: 2, Data: []byte("state")}) })
	s.every(700, s.flagResponse)
	s.every(2500, func() {
		if s.subscribed {
			s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.endpointList()})
		}
	})
	s.every(1200, s.sendStageUpdate)
	if s.settings.CountInterval > 0 {
		s.every(s.settings.CountInterval, s.sendControllerCounts)
	}
	s.every(400, s.limitStageDuration)
	s.every(6000, func() { s.handle(decision.EndpointsChanged{Kind: decision.PollRejected}) }) // not in response to a poll
}

// perform performs an action of the instance. It only schedules events, because it is called while an event is being
// handled.
func (s *simulation) perform(action decision.Action) {
	switch action := action.(type) {
	case decision.StartAttempt:
		s.startAttempt(action)
	case decision.Reject:
		s.retryRejected(action)
	case decision.Fail:
		s.requests[action.Request].done = true
	case decision.Cancel:
		s.cancelAttempt(action)
	case decision.WakeAt:
		s.scheduleAt(action.At, func() { s.handle(decision.TimerFired{Token: action.Token}) })
	case decision.StartHealthCheck:
		s.startHealthCheck(action.Endpoint)
	case decision.WatchEndpoints, decision.RequestSnapshot:
		s.scheduleAt(s.now+5+200*s.random.Float64(), s.respondToPoll)
	case decision.Vote:
		s.scheduleAt(s.now+2+60*s.random.Float64(), func() { s.handleVote(action) })
	}
}

// scheduleArrival schedules the next request, which schedules the one after it.
func (s *simulation) scheduleArrival() {
	rate := s.arrivalRate
	if s.isActive(s.burstAt) {
		rate *= 4
	}
	s.scheduleAt(s.now+s.random.ExpFloat64()/rate, func() {
		s.receiveRequest(s.drawRequest())
		s.scheduleArrival()
	})
}

// isActive reports whether a condition that starts at a time is in effect now.
func (s *simulation) isActive(start decision.Millis) bool {
	return start > 0 && s.now >= start && s.now < start+s.faultDuration
}

// drawRequest draws a request with a random class, tenant, key and time to live.
func (s *simulation) drawRequest() decision.RequestReceived {
	class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
	received := decision.RequestReceived{Class: class.Name, Remaining: class.LatencyObjective * (0.5 + 3*s.random.Float64())}
	received.Tenant = []decision.TenantID{"gold", "silver", "unknown"}[min(2, s.random.IntN(20)/9)]
	if s.random.IntN(60) == 0 {
		received.Class = "unheard-of"
	}
	if s.random.Float64() < s.keyedShare {
		received.Key = decision.Key(fmt.Sprint("key", s.random.IntN(40)))
	}
	if s.random.IntN(4) == 0 {
		received.EstimatedServiceTime = 10
	}
	return received
}

// receiveRequest passes a request to the instance. Its client disconnects when the request's Remaining time is over,
// and in some cases earlier.
func (s *simulation) receiveRequest(received decision.RequestReceived) {
	s.lastID++
	received.Request = s.lastID
	r := &request{RequestReceived: received}
	s.requests[r.Request] = r
	s.handle(received)
	waitTime := received.Remaining
	if s.random.IntN(25) == 0 {
		waitTime *= s.random.Float64()
	}
	s.scheduleAt(s.now+waitTime, func() { s.disconnectClient(r) })
}

// disconnectClient disconnects a client that still waits. The attempts in flight of its request end soon afterwards.
func (s *simulation) disconnectClient(r *request) {
	if !r.done {
		r.done = true
		s.handle(decision.ClientDisconnected{Request: r.Request})
	}
	for i, a := range r.attempts {
		if !a.ended {
			outcome := []decision.Outcome{decision.TimedOut, decision.ConnectionBroken, decision.Canceled}[s.random.IntN(3)]
			s.scheduleAt(s.now+3, func() { s.endAttempt(r, i, outcome) })
		}
	}
}

// retryRejected ends a rejected request. Most clients send the request again after the Retry-After.
func (s *simulation) retryRejected(reject decision.Reject) {
	r := s.requests[reject.Request]
	r.done = true
	if s.random.IntN(3) > 0 {
		retry := r.RequestReceived
		retry.Retried = true
		s.scheduleAt(s.now+reject.RetryAfter, func() { s.receiveRequest(retry) })
	}
}

// startAttempt starts an attempt and schedules its end.
func (s *simulation) startAttempt(start decision.StartAttempt) {
	request, server := s.requests[start.Request], s.byID[start.Endpoint]
	index := len(request.attempts)
	request.attempts = append(request.attempts, &attempt{endpoint: server, startedAt: s.now})
	server.inFlight++
	outcome, after := s.drawOutcome(server)
	if connect := 4 * s.random.Float64(); start.SendBy > 0 && s.now+connect >= start.SendBy || s.random.IntN(400) == 0 {
		outcome, after = decision.NotSent, connect
	}
	if start.Timeout > 0 && after > start.Timeout {
		outcome, after = decision.TimedOut, start.Timeout
	}
	if after >= 60000 { // the attempt does not end by itself
		return
	}
	if outcome == decision.Succeeded && s.random.Float64() < s.streamedShare {
		s.scheduleAt(s.now+after/2, func() { s.startResponse(request, index) })
	}
	s.scheduleAt(s.now+after, func() { s.endAttempt(request, index, outcome) })
}

// drawOutcome draws the outcome and the duration of an attempt at an endpoint.
func (s *simulation) drawOutcome(e *endpoint) (decision.Outcome, decision.Millis) {
	zoneUnreachable := e.Zone != s.settings.Zone && s.isActive(s.otherZoneDownAt)
	switch {
	case e.unreachable && s.random.IntN(2) == 0:
		return decision.Unreachable, 0.5
	case e.unreachable, zoneUnreachable && s.random.IntN(2) == 0:
		return decision.Unreachable, 300
	case zoneUnreachable:
		return decision.ConnectionBroken, 100 * s.random.Float64()
	case e.neverResponds:
		return decision.TimedOut, 1e9
	case e.inFlight > s.endpointCapacity:
		return decision.EndpointRejected, 1
	}
	after := s.drawServiceTime(e)
	if s.random.Float64() < e.errorShare {
		return decision.EndpointFailed, after * s.random.Float64()
	}
	if s.random.Float64() < s.randomOutcomeShare {
		return decision.Outcome(s.random.IntN(int(decision.MalformedResponse) + 1)), after
	}
	return decision.Succeeded, after
}

// drawServiceTime draws the service time at an endpoint. It depends on the endpoint's machine type, build, slow start,
// load and zone.
func (s *simulation) drawServiceTime(server *endpoint) decision.Millis {
	after := s.serviceTime * server.slowdown * (0.4 + 0.6*s.random.ExpFloat64()) * (1 + float64(server.inFlight-1)/4)
	if server.MachineType == "old" {
		after *= 1.6
	}
	if age := s.now - server.StartedAt; server.StartedAt > 0 && age < s.settings.SlowStartWindow {
		after /= s.settings.SlowStartFloor + (1-s.settings.SlowStartFloor)*age/s.settings.SlowStartWindow
	}
	if s.isActive(s.fleetSlowdownAt) {
		after *= s.fleetSlowdownFactor
	}
	if server.Zone == s.settings.Zone && s.isActive(s.homeSlowdownAt) {
		after *= s.homeSlowdownFactor
	}
	if server.runsBadCandidate ||
		s.candidateSlowsAll && slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return e.runsBadCandidate }) {
		after *= s.candidateSlowdown
	}
	if server.Zone != s.settings.Zone {
		after += 4
	}
	return after
}

// startResponse reports to the instance that the response to an attempt is being streamed.
func (s *simulation) startResponse(r *request, index int) {
	if a := r.attempts[index]; !a.ended {
		s.handle(decision.ResponseStarted{
			Request: r.Request, Attempt: index, Endpoint: a.endpoint.ID, After: s.now - a.startedAt,
		})
	}
}

// endAttempt reports the outcome of an attempt to the instance.
func (s *simulation) endAttempt(r *request, index int, outcome decision.Outcome) {
	a := r.attempts[index]
	if a.ended {
		return
	}
	a.ended = true
	a.endpoint.inFlight--
	requestEnded := outcome == decision.Succeeded || outcome == decision.EndpointFailed && s.random.IntN(2) == 0
	r.done = r.done || requestEnded
	s.handle(decision.AttemptEnded{
		Request: r.Request, Outcome: outcome, Endpoint: a.endpoint.ID, Attempt: index,
		After: s.now - a.startedAt, RequestEnded: requestEnded, Load: s.drawLoad(a.endpoint),
	})
	if s.random.IntN(200) == 0 { // reported twice
		s.handle(decision.AttemptEnded{
			Request: r.Request, Outcome: outcome, Endpoint: a.endpoint.ID, Attempt: index, RequestEnded: requestEnded,
		})
	}
}

// cancelAttempt schedules the end of an attempt that the instance has cancelled.
func (s *simulation) cancelAttempt(c decision.Cancel) {
	r := s.requests[c.Request]
	s.scheduleAt(s.now+2*s.random.Float64(), func() { s.endAttempt(r, c.Attempt, decision.Canceled) })
}

// drawLoad draws the load report of an endpoint. Some reports are absent or incomplete.
func (s *simulation) drawLoad(e *endpoint) *decision.Load {
	utilisation := min(1, float64(e.inFlight)/float64(s.endpointCapacity)+0.3*s.random.Float64())
	switch s.random.IntN(3) {
	case 0:
		return nil
	case 1:
		return &decision.Load{Utilisation: -1, Queue: float64(e.inFlight)}
	}
	return &decision.Load{Utilisation: utilisation, Queue: float64(e.inFlight)}
}

// startHealthCheck schedules the result of a health check.
func (s *simulation) startHealthCheck(id decision.EndpointID) {
	e := s.byID[id]
	after := 0.5 + s.random.Float64()*(1+float64(e.inFlight))/2
	outcome := decision.Succeeded
	if e.unreachable || e.neverResponds {
		outcome, after = decision.Unreachable, 20
	}
	s.scheduleAt(s.now+after, func() {
		s.handle(decision.HealthCheckEnded{Endpoint: id, Outcome: outcome, After: after, Load: s.drawLoad(e)})
	})
}

// endpointList returns the entries of all endpoints in a random order.
func (s *simulation) endpointList() (entries []decision.Endpoint) {
	for _, e := range s.endpoints {
		entries = append(entries, e.Endpoint)
	}
	s.random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

// sendDelta reports the change of one endpoint to the instance.
func (s *simulation) sendDelta(entry decision.Endpoint) {
	if s.subscribed {
		s.handle(decision.EndpointsChanged{
			Kind: decision.Delta, Version: int64(s.eventCount), Endpoints: []decision.Endpoint{entry},
		})
	}
}

// respondToPoll responds to a poll for the endpoint list.
func (s *simulation) respondToPoll() {
	if s.random.Float64() < s.rejectedPollShare {
		s.handle(decision.EndpointsChanged{Kind: decision.PollRejected})
		return
	}
	s.subscribed = true
	s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.endpointList()})
}

// startEndpoint adds an endpoint with a build to the registry.
func (s *simulation) startEndpoint(build decision.Build, at decision.Millis) *endpoint {
	i := s.startedEndpoints
	s.startedEndpoints++
	e := &endpoint{
		slowdown: 1, runsBadCandidate: s.controller.badCandidate && build == s.controller.build,
		Endpoint: decision.Endpoint{
			ID: decision.EndpointID(fmt.Sprintf("endpoint%02d", i)), Cell: decision.Cell(i % 3), StartedAt: at, Build: build,
			Zone: decision.Zone("ab"[i%2 : i%2+1]), MachineType: []decision.MachineType{"new", "old"}[i%5/4],
			Capacity: float64(1 + i%3),
		},
	}
	if e.runsBadCandidate {
		e.errorShare = s.candidateFailureShare
	}
	s.endpoints = append(s.endpoints, e)
	s.byID[e.ID] = e
	return e
}

// restartEndpoint replaces an endpoint by a new one with the same ID.
func (s *simulation) restartEndpoint(e *endpoint, build decision.Build) {
	restarted := *e
	restarted.StartedAt, restarted.Build, restarted.State = s.now, build, decision.Serving
	restarted.inFlight, restarted.slowdown, restarted.errorShare,
		restarted.neverResponds, restarted.unreachable = 0, 1, 0, false, false
	if restarted.runsBadCandidate = s.controller.badCandidate && build == s.controller.build; restarted.runsBadCandidate {
		restarted.errorShare = s.candidateFailureShare
	}
	s.endpoints[slices.Index(s.endpoints, e)] = &restarted
	s.byID[e.ID] = &restarted
	s.sendDelta(restarted.Endpoint)
}

// drainEndpoint drains an endpoint and removes it later.
func (s *simulation) drainEndpoint(e *endpoint) {
	e.State = decision.Draining
	s.sendDelta(e.Endpoint)
	s.scheduleAt(s.now+800, func() {
		if i := slices.Index(s.endpoints, e); i >= 0 && e.State == decision.Draining {
			s.endpoints = slices.Delete(s.endpoints, i, i+1)
			if drained := e.Endpoint; s.random.IntN(3) > 0 { // otherwise only the next full snapshot shows the removal
				drained.State = decision.Removed
				s.sendDelta(drained)
			}
		}
	})
}

// injectEndpointFault applies a random fault to one endpoint for some time.
func (s *simulation) injectEndpointFault() {
	target := s.endpoints[s.random.IntN(len(s.endpoints))]
	before := *target
	switch s.random.IntN(6) {
	case 0:
		target.neverResponds = true
	case 1:
		target.unreachable = true
		s.scheduleAt(s.now+300, func() { s.restartIfListed(target) })
	case 2:
		target.slowdown = 2 + 6*s.random.Float64()
	case 3:
		target.errorShare = 0.2 + 0.6*s.random.Float64()
	case 4:
		s.restartEndpoint(target, target.Build)
	case 5:
		s.sendDelta(s.startEndpoint(target.Build, s.now).Endpoint)
		if len(s.endpoints) > 4 {
			s.drainEndpoint(target)
		}
	}
	s.scheduleAt(s.now+500+2500*s.random.Float64(), func() {
		target.neverResponds, target.unreachable,
			target.slowdown, target.errorShare = false, false, before.slowdown, before.errorShare
	})
}

// restartIfListed restarts an endpoint unless it was removed, is draining or was replaced.
func (s *simulation) restartIfListed(e *endpoint) {
	if slices.Contains(s.endpoints, e) && e.State == decision.Serving {
		s.restartEndpoint(e, e.Build)
	}
}

// replaceForRollout replaces one endpoint if the current stage or a rollback requires that.
func (s *simulation) replaceForRollout() {
	c := &s.controller
	onNewest := 0
	for _, e := range s.endpoints {
		if e.Build == c.build {
			onNewest++
		}
	}
	share := append(slices.Clone(s.settings.StageShares), 1)[min(c.stage, len(s.settings.StageShares))]
	switch rollingBack := c.phase == decision.RollingBack || c.phase == decision.RolledBack; {
	case rollingBack && onNewest > 0:
		s.replaceEndpoint(func(e *endpoint) bool { return e.Build == c.build }, c.build-1)
	case !rollingBack && (onNewest == 0 || float64(onNewest) < share*float64(len(s.endpoints))):
		s.replaceEndpoint(func(e *endpoint) bool { return e.Build < c.build }, c.build)
	}
}

// replaceEndpoint replaces the first endpoint that matches by one with another build: by a restart if the rollout is
// in place, otherwise by a new endpoint.
func (s *simulation) replaceEndpoint(matches func(*endpoint) bool, build decision.Build) {
	i := slices.IndexFunc(s.endpoints, func(e *endpoint) bool { return e.State == decision.Serving && matches(e) })
	if i < 0 {
		return
	}
	e := s.endpoints[i]
	if !s.settings.InPlace {
		s.sendDelta(s.startEndpoint(build, s.now).Endpoint)
		s.drainEndpoint(e)
		return
	}
	s.restartEndpoint(e, build)
}

// offerBuild starts the rollout of the next build.
func (s *simulation) offerBuild() {
	badCandidate := s.random.Float64() < s.badCandidateShare
	s.controller = controller{build: s.controller.build + 1, stageStartedAt: s.now, badCandidate: badCandidate}
	if s.slowdownAtOffer && s.random.IntN(2) == 0 {
		s.fleetSlowdownAt = s.now
	}
	s.sendStageUpdate()
}

// sendStageUpdate reports the current stage of the newest build to the instance.
func (s *simulation) sendStageUpdate() { s.handle(s.stageUpdate()) }

// stageUpdate returns the current stage of the newest build.
func (s *simulation) stageUpdate() decision.StageUpdate {
	c := s.controller
	update := decision.StageUpdate{Age: s.now - c.stageStartedAt, Build: c.build, Phase: c.phase, Stage: c.stage}
	update.ExposureCap = s.settings.ExposureCaps[min(c.stage, len(s.settings.ExposureCaps)-1)]
	if c.phase == decision.RollingBack || c.phase == decision.RolledBack {
		update.ExposureCap = 0
	}
	return update
}

// advanceStage advances the rollout by one stage, and releases the build after the last stage.
func (s *simulation) advanceStage() {
	c := &s.controller
	if c.phase != decision.InTrial {
		return
	}
	c.stageStartedAt = s.now
	if c.stage++; c.stage >= len(s.settings.StageShares) {
		c.stage, c.phase = len(s.settings.StageShares)-1, decision.Released
		s.scheduleAt(s.now+s.releasePause, s.offerBuild)
	}
	s.sendStageUpdate()
}

// rollBack rolls the candidate back and schedules the offer of the next build.
func (s *simulation) rollBack() {
	c := &s.controller
	if c.phase != decision.InTrial {
		return
	}
	c.phase, c.stageStartedAt = decision.RollingBack, s.now
	s.sendStageUpdate()
	s.scheduleAt(s.now+1500, func() {
		c.phase, c.stageStartedAt = decision.RolledBack, s.now
		s.sendStageUpdate()
	})
	s.scheduleAt(s.now+3000, s.offerBuild)
}

// limitStageDuration advances or rolls back a stage that exceeds maxStageDuration, as votes of other instances would.
func (s *simulation) limitStageDuration() {
	if s.now-s.controller.stageStartedAt < s.maxStageDuration {
		return
	}
	if s.controller.badCandidate && s.random.IntN(2) == 0 {
		s.rollBack()
	} else {
		s.advanceStage()
	}
}

// handleVote responds to a vote as the controller, and follows some of the accepted votes.
func (s *simulation) handleVote(vote decision.Vote) {
	voteResult := decision.VoteResult(max(0, s.random.IntN(16)-11))
	currentStage := vote.Build == s.controller.build && vote.Stage == s.controller.stage
	if voteResult == decision.VoteAccepted && currentStage && s.random.Float64() < s.followedVoteShare {
		switch vote.Verdict {
		case decision.VoteAdvance:
			s.advanceStage()
		case decision.VoteRollback:
			s.rollBack()
		case decision.VoteHold:
			s.controller.stageStartedAt = s.now
		}
	}
	result := s.stageUpdate()
	result.IsVoteResult, result.VoteResult = true, voteResult
	s.handle(result)
}

// sendControllerCounts sends the controller's counts for the newest build and the build before it.
func (s *simulation) sendControllerCounts() {
	for _, class := range s.settings.Classes[:1+s.random.IntN(len(s.settings.Classes))] {
		for _, build := range []decision.Build{s.controller.build - 1, s.controller.build} {
			counts := decision.ControllerCounts{Build: build, Class: class.Name, Count: s.random.IntN(40), Age: 20}
			counts.Mean = s.serviceTime * (1.2 + 0.3*s.random.Float64())
			if s.isActive(s.fleetSlowdownAt) {
				counts.Mean *= s.fleetSlowdownFactor
			}
			failedShare := 0.01
			if build == s.controller.build && s.controller.badCandidate {
				counts.Mean *= s.candidateSlowdown
				failedShare = s.candidateFailureShare
			}
			for range counts.Count {
				if s.random.Float64() < failedShare {
					counts.Failed++
				}
			}
			s.handle(counts)
		}
	}
	s.handle(decision.ControllerCounts{Build: s.controller.build, Class: "unheard-of", Count: 3})
}

// flagResponse reports a wrong response of an endpoint, more often if the endpoint fails requests.
func (s *simulation) flagResponse() {
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	if e.errorShare > 0 || s.random.IntN(8) == 0 {
		class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
		s.handle(decision.ResponseFlagged{Endpoint: e.ID, Class: class.Name, Age: 30})
	}
}

// injectOperation simulates an intervention by operators or other instances.
func (s *simulation) injectOperation() {
	switch s.random.IntN(4) {
	case 0:
		s.changeSettings()
	case 1:
		s.handle(decision.EvidenceRevoked{})
	case 2:
		if evidence, inTrial := s.instance.Evidence(); inTrial {
			s.evidence = evidence
		}
		s.handle(decision.EvidenceAdded{Evidence: s.drawEvidence()})
	case 3:
		s.evidence, _ = s.instance.Evidence()
	}
}

// changeSettings sends new settings of the deployment to the instance.
func (s *simulation) changeSettings() {
	next, drawn := s.settings, drawSettings(s.random)
	next.FreeAttempts, next.MaxAttempts, next.GuardedStages, next.StickyKeys =
		drawn.FreeAttempts, drawn.MaxAttempts, drawn.GuardedStages, drawn.StickyKeys
	next.CancelAllowed, next.HedgingAllowed, next.HealthChecksAllowed =
		drawn.CancelAllowed, drawn.HedgingAllowed, drawn.HealthChecksAllowed
	next.WithheldShare, next.Halt, next.CrossZonePrice = drawn.WithheldShare, drawn.Halt, drawn.CrossZonePrice
	s.settings = next
	s.handle(decision.SettingsChanged{Settings: next})
}

// drawEvidence draws the evidence of another instance: this instance's evidence from an earlier time with additional
// outcomes, also of endpoints that were removed.
func (s *simulation) drawEvidence() decision.Evidence {
	evidence := decision.Evidence{Build: s.controller.build, Stage: s.controller.stage}
	evidence.Build = cmp.Or(s.evidence.Build, evidence.Build)
	evidence.Classes, evidence.Counts = slices.Clone(s.evidence.Classes), slices.Clone(s.evidence.Counts)
	var baseline, candidate []float64
	for range 2 + s.random.IntN(25) {
		baseline = append(baseline, 0.5+s.random.ExpFloat64())
		candidate = append(candidate, 0.5+s.random.ExpFloat64()*(0.8+s.random.Float64()))
	}
	evidence.Classes = append(evidence.Classes,
		decision.ClassEvidence{Baseline: baseline, Candidate: candidate},
		decision.ClassEvidence{Class: "read", Baseline: baseline, Candidate: candidate},
		decision.ClassEvidence{Class: "unheard-of", Baseline: baseline})
	evidence.Counts = append(evidence.Counts,
		decision.EndpointCount{Endpoint: "left", Build: evidence.Build - 1, Class: "read", Succeeded: 9, Failed: 1},
		decision.EndpointCount{Endpoint: "left", Build: evidence.Build, Class: "read", Succeeded: 9, Failed: 1},
		decision.EndpointCount{Class: "pay", Succeeded: 4},
		decision.EndpointCount{Endpoint: "left", Class: "unheard-of", Succeeded: 4})
	return evidence
}
