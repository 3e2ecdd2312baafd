package decision_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"ottershed/decision"
)

// simulation is a simulated world around one instance of the load balancer: clients, endpoints, a service registry and a
// controller that rolls builds out. All of it is drawn from one seed, and it reacts to what the instance does. Nothing in
// it depends on the order of a map, so a seed gives the same stream of events as long as the instance behaves the same.
type simulation struct {
	scenario
	settings       decision.Settings
	random         *rand.Rand
	now            decision.Millis
	pending        schedule
	scheduledCount int // entries put in the schedule so far
	instance       *decision.Balancer
	observe        func(now decision.Millis, event decision.Event, actions []decision.Action)
	eventCount     int // events so far
	eventLimit     int // events after which the simulation stops

	endpoints        []*endpoint // in the registry, in the order of their start
	byID             map[decision.EndpointID]*endpoint
	requests         map[decision.RequestID]*request // never iterated over
	lastID           decision.RequestID
	startedEndpoints int // endpoints so far
	controller       controller
	subscribed       bool // the instance is told of changes of the endpoints
	evidence         decision.Evidence
}

// scenario holds the conditions of a seed, beside the settings.
type scenario struct {
	arrivalRate           float64         // requests a millisecond
	serviceTime           decision.Millis // of an idle, warm endpoint
	fleetSize             int             // endpoints at the start
	endpointCapacity      int             // requests that an endpoint takes at once
	faultInterval         decision.Millis // mean time between troubles of single endpoints
	randomOutcomeShare    float64         // share of attempts that end in a drawn way
	keyedShare            float64         // share of requests with a key
	streamedShare         float64         // share of answers that are streams
	followedVoteShare     float64         // share of votes that the controller follows
	rejectedPollShare     float64         // share of calls for the list that are refused
	maxStageDuration      decision.Millis // longest stay in one stage
	candidateSlowdown     float64         // service time of a bad candidate, as a multiple
	candidateFailureShare float64         // share of failures of a bad candidate
	badCandidateShare     float64         // share of candidates that are bad
	zoneLostAt            decision.Millis // the second zone can't be reached from then on, for a while; 0: never
	fleetSlowdownAt       decision.Millis // all endpoints are slower from then on, for a while; 0: never
	fleetSlowdownFactor   float64         // by this factor
	slowdownAtOffer       bool            // half of the candidates are offered just as all endpoints get slower
	homeSlowdownAt        decision.Millis // endpoints of the instance's own zone are slower from then on, for a while; 0: never
	homeSlowdownFactor    float64         // by this factor
	releasePause          decision.Millis // from the release of a build to the offer of the next
	replacementInterval   decision.Millis // from the replacement of one endpoint to that of the next
	candidateSlowsAll     bool            // a bad candidate slows all endpoints as long as one runs it
	burstAt               decision.Millis // more requests come from then on, for a while; 0: never
	faultDuration         decision.Millis // the whiles above
}

// controller rolls builds out, one after the other.
type controller struct {
	build          decision.Build
	phase          decision.Phase
	stage          int
	stageStartedAt decision.Millis // start of the stage
	bad            bool            // the build is slow or failing
}

// endpoint is a simulated one.
type endpoint struct {
	decision.Endpoint
	inFlight         int
	slowdown         float64 // service time, as a multiple of that of a sound one
	errorShare       float64 // share of failures
	silent           bool    // accepts requests and never answers
	down             bool    // refuses connections
	runsBadCandidate bool    // runs a bad candidate
}

// request is one as its client sees it.
type request struct {
	decision.RequestReceived
	attempts []*attempt
	done     bool
}

// attempt is one forward of a request to an endpoint.
type attempt struct {
	endpoint  *endpoint
	startedAt decision.Millis
	ended     bool
}

// entry is something that happens at a time, in the order of its making where times are equal.
type scheduledEvent struct {
	at    decision.Millis
	order int
	run   func()
}

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

// newSimulation draws the settings and the conditions of a seed and starts an instance.
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

// drawSettings draws figures of a deployment, with every switch on in some seeds and off in others.
func drawSettings(random *rand.Rand) decision.Settings {
	flip := func() bool { return random.IntN(2) == 0 }
	target := 300 + 900*random.Float64()
	settings := decision.Settings{
		Instances: 1 + random.IntN(8), Zone: "a", ClockGranularity: float64(1 + random.IntN(6)),
		Tenants:       []decision.TenantID{"gold", "silver"},
		PollEndpoints: flip(), PollWithin: 400 + 2000*random.Float64(),
		CancelAllowed: flip(), HedgingAllowed: flip(), HealthChecksAllowed: flip(),
		MaxRetryAfter: 50 + 400*random.Float64(), MaxAttempts: 2 + random.IntN(4),
		SlowStartFloor: 0.2 + 0.4*random.Float64(), OverloadFactor: 1.5 + 2*random.Float64(),
		SlowStartWindow: 800 + 3000*random.Float64(), OverloadWindow: 300 + 900*random.Float64(),
		InPlace: flip(), ExposureCaps: []float64{0.1, 0.5, 1}, Stages: []float64{0.08, 0.4, 1},
		FreeAttempts: float64(random.IntN(4)), ExposurePerClass: flip(), GuardedStages: random.IntN(3), StickyKeys: flip(),
		FlagShare: random.Float64(), VoteTTL: 2000 + 4000*random.Float64(), VoteWait: 200 + 800*random.Float64(),
	}
	settings.Classes = []decision.RequestClass{
		{Name: "read", LatencyObjective: target, Idempotency: decision.Idempotent},
		{Name: "mark-cell", LatencyObjective: target * 1.5, Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeCell, DedupWindow: target},
		{Name: "mark-zone", LatencyObjective: target * 1.2, Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeZone, DedupWindow: target},
		{Name: "mark-all", LatencyObjective: target, Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeAll, DedupWindow: target * 2},
		{Name: "pay", LatencyObjective: target * 2, Idempotency: decision.NonIdempotent},
	}
	if flip() {
		settings.CrossZonePrice, settings.HealthCheckPrice = 0.02*random.Float64(), 0.01*random.Float64()
	}
	if random.IntN(3) == 0 {
		settings.ExposureCaps, settings.Stages = []float64{0.05, 0.2, 0.6, 1}, []float64{0.05, 0.2, 0.5, 1}
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

// drawScenario draws the conditions that all seeds have.
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

// themes are what seeds are drawn around, in turn.
var scenarioVariants = []func(*simulation){
	(*simulation).calm,
	(*simulation).slowCandidates,
	(*simulation).failingCandidates,
	(*simulation).zoneLoss,
	(*simulation).sharedSlowness,
	(*simulation).manyInstances,
	(*simulation).overload,
	(*simulation).manyInstancesWithBadCandidates,
	(*simulation).dozensOfInstances,
	(*simulation).candidatesThatSlowAll,
	(*simulation).slowHomeZone,
	(*simulation).shortObjectives,
}

// calm: calm, long enough for whole rollouts.
func (s *simulation) calm() {
	s.faultInterval, s.randomOutcomeShare = 1e5, 0
}

// slowCandidates: slow candidates.
func (s *simulation) slowCandidates() {
	s.candidateSlowdown, s.badCandidateShare = 1.4+3*s.random.Float64(), 0.8
}

// failingCandidates: failing candidates.
func (s *simulation) failingCandidates() {
	s.candidateFailureShare, s.badCandidateShare = 0.05+0.4*s.random.Float64(), 0.8
}

// zoneLoss: the other zone is lost.
func (s *simulation) zoneLoss() {
	s.zoneLostAt = s.now + 3000 + 8000*s.random.Float64()
}

// sharedSlowness: all endpoints are slower, in half of the seeds as a candidate is offered that none of them runs yet.
func (s *simulation) sharedSlowness() {
	s.fleetSlowdownAt, s.fleetSlowdownFactor = s.now+3000+8000*s.random.Float64(), 2+6*s.random.Float64()
	if s.slowdownAtOffer = s.random.IntN(2) == 0; s.slowdownAtOffer {
		s.arrivalRate = 0.006 + 0.012*s.random.Float64()
	}
}

// manyInstances: one of hundreds of instances, with few requests.
func (s *simulation) manyInstances() {
	s.setLowTraffic(100 + s.random.IntN(300))
}

// overload: overload.
func (s *simulation) overload() {
	s.burstAt, s.fleetSize, s.endpointCapacity = s.now+4000, 3, 6
	s.serviceTime *= 2
}

// manyInstancesWithBadCandidates: thin, with bad candidates.
func (s *simulation) manyInstancesWithBadCandidates() {
	s.setLowTraffic(100 + s.random.IntN(700))
	s.candidateSlowdown, s.candidateFailureShare, s.badCandidateShare = 1+3*s.random.Float64(), 0.3*s.random.Float64(), 0.7
	if s.random.IntN(2) == 0 { // slow, with much trouble, through all stages
		s.candidateFailureShare, s.badCandidateShare, s.faultInterval, s.maxStageDuration = 0, 1, 500, 7000
		s.settings.Control, s.settings.Halt, s.settings.SlowStartWindow = decision.ByVotes, false, 800
	}
}

// dozensOfInstances: one of dozens.
func (s *simulation) dozensOfInstances() {
	s.setLowTraffic(10 + s.random.IntN(50))
	s.settings.AdvanceQuorum = 1 + s.settings.Instances/4
}

// candidatesThatSlowAll: candidates that slow all endpoints.
func (s *simulation) candidatesThatSlowAll() {
	s.faultInterval, s.randomOutcomeShare, s.fleetSize, s.candidateSlowsAll = 1e5, 0, 4, true
	s.settings.SlowStartFloor, s.replacementInterval = 0.85, 250 // else cold endpoints explain the slowness
	s.candidateSlowdown, s.badCandidateShare, s.maxStageDuration = 2+4*s.random.Float64(), 0.9, 9000
	if s.random.IntN(3) > 0 { // found out after the release
		s.maxStageDuration, s.releasePause = 500+1500*s.random.Float64(), 15000
	}
}

// slowHomeZone: the instance's own zone is slow.
func (s *simulation) slowHomeZone() {
	s.homeSlowdownAt, s.faultDuration = s.now+2000+4000*s.random.Float64(), 20000
	s.homeSlowdownFactor = s.settings.Classes[0].LatencyObjective * (0.3 + s.random.Float64()) / s.serviceTime
	s.arrivalRate, s.fleetSize, s.endpointCapacity = 0.01+0.05*s.random.Float64(), 16, 60
}

// shortObjectives: overload and silent endpoints, with short targets.
func (s *simulation) shortObjectives() {
	s.shortenTimes(20)
	s.fleetSize, s.faultInterval, s.arrivalRate = 4, 300, 0.5
	s.settings.PollWithin = 20
}

// thin makes the instance one of many that sees a few requests a second.
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

// hurry makes targets and service times so many times shorter.
func (s *simulation) shortenTimes(times float64) {
	s.settings.ClockGranularity = 0.5
	s.serviceTime /= times
	for i := range s.settings.Classes {
		s.settings.Classes[i].LatencyObjective /= times
	}
}

// at has something happen at a time, at the earliest now.
func (s *simulation) scheduleAt(when decision.Millis, run func()) {
	s.scheduledCount++
	heap.Push(&s.pending, scheduledEvent{max(when, s.now), s.scheduledCount, run})
}

// every has something happen again and again, after drawn pauses with this mean.
func (s *simulation) every(mean decision.Millis, run func()) {
	s.scheduleAt(s.now+mean*(0.5+s.random.Float64()), func() {
		run()
		s.every(mean, run)
	})
}

// run plays the world until the limit of events.
func (s *simulation) run() {
	s.scheduleInitialEvents()
	for s.eventCount < s.eventLimit {
		next := heap.Pop(&s.pending).(scheduledEvent)
		s.now = next.at
		next.run()
	}
}

// handle gives the instance an event and carries out what it wants.
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

// begin schedules what happens by itself.
func (s *simulation) scheduleInitialEvents() {
	s.handle(decision.EndpointsChanged{Kind: decision.CachedSnapshot, Endpoints: s.endpointList()})
	if s.subscribed = !s.settings.PollEndpoints; s.subscribed {
		s.scheduleAt(s.now+20, func() { s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.endpointList()}) })
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
	s.every(6000, func() { s.handle(decision.EndpointsChanged{Kind: decision.PollRejected}) }) // not asked for
}

// perform carries out an action of the instance. It only schedules events, for an action is performed within one.
func (s *simulation) perform(action decision.Action) {
	switch todo := action.(type) {
	case decision.StartAttempt:
		s.startAttempt(todo)
	case decision.Reject:
		s.retryRejected(todo)
	case decision.Fail:
		s.requests[todo.Request].done = true
	case decision.Cancel:
		s.cancelAttempt(todo)
	case decision.WakeAt:
		s.scheduleAt(todo.At, func() { s.handle(decision.TimerFired{Token: todo.Token}) })
	case decision.StartHealthCheck:
		s.startHealthCheck(todo.Endpoint)
	case decision.WatchEndpoints, decision.ResolveEndpoints:
		s.scheduleAt(s.now+5+200*s.random.Float64(), s.respondToPoll)
	case decision.Vote:
		s.scheduleAt(s.now+2+60*s.random.Float64(), func() { s.handleVote(todo) })
	}
}

// arrive has a request come, and the next one after it.
func (s *simulation) scheduleArrival() {
	pace := s.arrivalRate
	if s.isActive(s.burstAt) {
		pace *= 4
	}
	s.scheduleAt(s.now+s.random.ExpFloat64()/pace, func() {
		s.receiveRequest(s.drawRequest())
		s.scheduleArrival()
	})
}

// during tells whether a trouble that begins at a time lasts now.
func (s *simulation) isActive(start decision.Millis) bool {
	return start > 0 && s.now >= start && s.now < start+s.faultDuration
}

func (s *simulation) drawRequest() decision.RequestReceived {
	class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
	taken := decision.RequestReceived{Class: class.Name, TTL: class.LatencyObjective * (0.5 + 3*s.random.Float64())}
	taken.Tenant = []decision.TenantID{"gold", "silver", "unknown"}[min(2, s.random.IntN(20)/9)]
	if s.random.IntN(60) == 0 {
		taken.Class = "unheard-of"
	}
	if s.random.Float64() < s.keyedShare {
		taken.Key = decision.Key(fmt.Sprint("key", s.random.IntN(40)))
	}
	if s.random.IntN(4) == 0 {
		taken.Hint = 10
	}
	return taken
}

// take hands a request to the instance. Its client leaves at the end of its time, some earlier.
func (s *simulation) receiveRequest(taken decision.RequestReceived) {
	s.lastID++
	taken.Request = s.lastID
	r := &request{RequestReceived: taken}
	s.requests[r.Request] = r
	s.handle(taken)
	stay := taken.TTL
	if s.random.IntN(25) == 0 {
		stay *= s.random.Float64()
	}
	s.scheduleAt(s.now+stay, func() { s.disconnectClient(r) })
}

// leave has a client that still waits go away; its attempts break off a little later.
func (s *simulation) disconnectClient(r *request) {
	if !r.done {
		r.done = true
		s.handle(decision.ClientDisconnected{Request: r.Request})
	}
	for i, a := range r.attempts {
		if !a.ended {
			how := []decision.Outcome{decision.TimedOut, decision.ConnectionBroken, decision.Canceled}[s.random.IntN(3)]
			s.scheduleAt(s.now+3, func() { s.endAttempt(r, i, how) })
		}
	}
}

// bounced has most clients come again after the time that they were told.
func (s *simulation) retryRejected(b decision.Reject) {
	r := s.requests[b.Request]
	r.done = true
	if s.random.IntN(3) > 0 {
		again := r.RequestReceived
		again.Retried = true
		s.scheduleAt(s.now+b.RetryAfter, func() { s.receiveRequest(again) })
	}
}

// send carries out an attempt and schedules its ending.
func (s *simulation) startAttempt(f decision.StartAttempt) {
	request, server := s.requests[f.Request], s.byID[f.Endpoint]
	number := len(request.attempts)
	request.attempts = append(request.attempts, &attempt{endpoint: server, startedAt: s.now})
	server.inFlight++
	how, after := s.drawOutcome(server)
	if connect := 4 * s.random.Float64(); f.SendBy > 0 && s.now+connect >= f.SendBy || s.random.IntN(400) == 0 {
		how, after = decision.NotSent, connect
	}
	if f.Timeout > 0 && after > f.Timeout {
		how, after = decision.TimedOut, f.Timeout
	}
	if after >= 60000 { // it never ends by itself
		return
	}
	if how == decision.Succeeded && s.random.Float64() < s.streamedShare {
		s.scheduleAt(s.now+after/2, func() { s.startResponse(request, number) })
	}
	s.scheduleAt(s.now+after, func() { s.endAttempt(request, number, how) })
}

// serve draws how an attempt at an endpoint ends and how long it takes.
func (s *simulation) drawOutcome(e *endpoint) (decision.Outcome, decision.Millis) {
	lost := e.Zone != s.settings.Zone && s.isActive(s.zoneLostAt)
	switch {
	case e.down && s.random.IntN(2) == 0:
		return decision.Unreachable, 0.5
	case e.down, lost && s.random.IntN(2) == 0:
		return decision.Unreachable, 300
	case lost:
		return decision.ConnectionBroken, 100 * s.random.Float64()
	case e.silent:
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

// serviceTimeAt draws the service time at an endpoint: by its kind, build, warmth, load and zone.
func (s *simulation) drawServiceTime(server *endpoint) decision.Millis {
	after := s.serviceTime * server.slowdown * (0.4 + 0.6*s.random.ExpFloat64()) * (1 + float64(server.inFlight-1)/4)
	if server.MachineType == "old" {
		after *= 1.6
	}
	if age := s.now - server.Started; server.Started > 0 && age < s.settings.SlowStartWindow {
		after /= s.settings.SlowStartFloor + (1-s.settings.SlowStartFloor)*age/s.settings.SlowStartWindow
	}
	if s.isActive(s.fleetSlowdownAt) {
		after *= s.fleetSlowdownFactor
	}
	if server.Zone == s.settings.Zone && s.isActive(s.homeSlowdownAt) {
		after *= s.homeSlowdownFactor
	}
	if server.runsBadCandidate || s.candidateSlowsAll && slices.ContainsFunc(s.endpoints, func(other *endpoint) bool { return other.runsBadCandidate }) {
		after *= s.candidateSlowdown
	}
	if server.Zone != s.settings.Zone {
		after += 4
	}
	return after
}

func (s *simulation) startResponse(r *request, number int) {
	if a := r.attempts[number]; !a.ended {
		s.handle(decision.ResponseStarted{Request: r.Request, Attempt: number, Endpoint: a.endpoint.ID, After: s.now - a.startedAt})
	}
}

// end tells the instance how an attempt ended.
func (s *simulation) endAttempt(r *request, number int, how decision.Outcome) {
	a := r.attempts[number]
	if a.ended {
		return
	}
	a.ended = true
	a.endpoint.inFlight--
	last := how == decision.Succeeded || how == decision.EndpointFailed && s.random.IntN(2) == 0
	r.done = r.done || last
	s.handle(decision.AttemptEnded{
		Request: r.Request, Outcome: how, Endpoint: a.endpoint.ID, Attempt: number,
		After: s.now - a.startedAt, RequestEnded: last, Load: s.drawLoad(a.endpoint),
	})
	if s.random.IntN(200) == 0 { // heard twice
		s.handle(decision.AttemptEnded{Request: r.Request, Outcome: how, Endpoint: a.endpoint.ID, Attempt: number, RequestEnded: last})
	}
}

func (s *simulation) cancelAttempt(c decision.Cancel) {
	r := s.requests[c.Request]
	s.scheduleAt(s.now+2*s.random.Float64(), func() { s.endAttempt(r, c.Attempt, decision.Canceled) })
}

// drawLoad is an endpoint's report of its load; some give none, some only a part.
func (s *simulation) drawLoad(e *endpoint) *decision.Load {
	busy := min(1, float64(e.inFlight)/float64(s.endpointCapacity)+0.3*s.random.Float64())
	switch s.random.IntN(3) {
	case 0:
		return nil
	case 1:
		return &decision.Load{Util: -1, Queue: float64(e.inFlight)}
	}
	return &decision.Load{Util: busy, Queue: float64(e.inFlight)}
}

// probe answers a probe, unless the endpoint is silent.
func (s *simulation) startHealthCheck(id decision.EndpointID) {
	e := s.byID[id]
	after := 0.5 + s.random.Float64()*(1+float64(e.inFlight))/2
	how := decision.Succeeded
	if e.down || e.silent {
		how, after = decision.Unreachable, 20
	}
	s.scheduleAt(s.now+after, func() {
		s.handle(decision.HealthCheckEnded{Endpoint: id, Outcome: how, After: after, Load: s.drawLoad(e)})
	})
}

// list is what the registry says of all endpoints, in a drawn order.
func (s *simulation) endpointList() (nodes []decision.Endpoint) {
	for _, e := range s.endpoints {
		nodes = append(nodes, e.Endpoint)
	}
	s.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

// changed tells the instance that one endpoint has changed.
func (s *simulation) sendDelta(node decision.Endpoint) {
	if s.subscribed {
		s.handle(decision.EndpointsChanged{Kind: decision.Delta, Version: int64(s.eventCount), Endpoints: []decision.Endpoint{node}})
	}
}

// answerWatch answers a call for the list.
func (s *simulation) respondToPoll() {
	if s.random.Float64() < s.rejectedPollShare {
		s.handle(decision.EndpointsChanged{Kind: decision.PollRejected})
		return
	}
	s.subscribed = true
	s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.endpointList()})
}

// startEndpoint starts one more endpoint on a build and lists it.
func (s *simulation) startEndpoint(build decision.Build, at decision.Millis) *endpoint {
	i := s.startedEndpoints
	s.startedEndpoints++
	e := &endpoint{slowdown: 1, runsBadCandidate: s.controller.bad && build == s.controller.build, Endpoint: decision.Endpoint{
		ID: decision.EndpointID(fmt.Sprintf("endpoint%02d", i)), Cell: decision.Cell(i % 3), Started: at, Build: build,
		Zone: decision.Zone("ab"[i%2 : i%2+1]), MachineType: []decision.MachineType{"new", "old"}[i%5/4], Capacity: float64(1 + i%3),
	}}
	if e.runsBadCandidate {
		e.errorShare = s.candidateFailureShare
	}
	s.endpoints = append(s.endpoints, e)
	s.byID[e.ID] = e
	return e
}

// restart replaces an endpoint by a new one of the same name.
func (s *simulation) restartEndpoint(e *endpoint, build decision.Build) {
	fresh := *e
	fresh.Started, fresh.Build, fresh.State = s.now, build, decision.Serving
	fresh.inFlight, fresh.slowdown, fresh.errorShare, fresh.silent, fresh.down = 0, 1, 0, false, false
	if fresh.runsBadCandidate = s.controller.bad && build == s.controller.build; fresh.runsBadCandidate {
		fresh.errorShare = s.candidateFailureShare
	}
	s.endpoints[slices.Index(s.endpoints, e)] = &fresh
	s.byID[e.ID] = &fresh
	s.sendDelta(fresh.Endpoint)
}

// drain takes an endpoint out of service and removes it later.
func (s *simulation) drainEndpoint(e *endpoint) {
	e.State = decision.Draining
	s.sendDelta(e.Endpoint)
	s.scheduleAt(s.now+800, func() {
		if i := slices.Index(s.endpoints, e); i >= 0 && e.State == decision.Draining {
			s.endpoints = slices.Delete(s.endpoints, i, i+1)
			if drained := e.Endpoint; s.random.IntN(3) > 0 { // else only the next whole list shows it
				drained.State = decision.Removed
				s.sendDelta(drained)
			}
		}
	})
}

// troubleEndpoint gives one endpoint a trouble for a while.
func (s *simulation) injectEndpointFault() {
	victim := s.endpoints[s.random.IntN(len(s.endpoints))]
	was := *victim
	switch s.random.IntN(6) {
	case 0:
		victim.silent = true
	case 1:
		victim.down = true
		s.scheduleAt(s.now+300, func() { s.restartIfListed(victim) })
	case 2:
		victim.slowdown = 2 + 6*s.random.Float64()
	case 3:
		victim.errorShare = 0.2 + 0.6*s.random.Float64()
	case 4:
		s.restartEndpoint(victim, victim.Build)
	case 5:
		s.sendDelta(s.startEndpoint(victim.Build, s.now).Endpoint)
		if len(s.endpoints) > 4 {
			s.drainEndpoint(victim)
		}
	}
	s.scheduleAt(s.now+500+2500*s.random.Float64(), func() {
		victim.silent, victim.down, victim.slowdown, victim.errorShare = false, false, was.slowdown, was.errorShare
	})
}

func (s *simulation) restartIfListed(e *endpoint) {
	if slices.Contains(s.endpoints, e) && e.State == decision.Serving {
		s.restartEndpoint(e, e.Build)
	}
}

// rotate brings the endpoints to where the rollout stands, one at a time.
func (s *simulation) replaceForRollout() {
	c := &s.controller
	on := 0
	for _, e := range s.endpoints {
		if e.Build == c.build {
			on++
		}
	}
	share := append(slices.Clone(s.settings.Stages), 1)[min(c.stage, len(s.settings.Stages))]
	switch back := c.phase == decision.RollingBack || c.phase == decision.RolledBack; {
	case back && on > 0:
		s.replaceEndpoint(func(e *endpoint) bool { return e.Build == c.build }, c.build-1)
	case !back && (on == 0 || float64(on) < share*float64(len(s.endpoints))):
		s.replaceEndpoint(func(e *endpoint) bool { return e.Build < c.build }, c.build)
	}
}

// replace moves the first endpoint that is fit to a build: it restarts in place, or a new one starts beside it.
func (s *simulation) replaceEndpoint(fit func(*endpoint) bool, build decision.Build) {
	i := slices.IndexFunc(s.endpoints, func(e *endpoint) bool { return e.State == decision.Serving && fit(e) })
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

// offer begins the rollout of the next build.
func (s *simulation) offerBuild() {
	bad := s.random.Float64() < s.badCandidateShare
	s.controller = controller{build: s.controller.build + 1, stageStartedAt: s.now, bad: bad}
	if s.slowdownAtOffer && s.random.IntN(2) == 0 {
		s.fleetSlowdownAt = s.now
	}
	s.sendStageUpdate()
}

// announce tells the instance where the newest build stands.
func (s *simulation) sendStageUpdate() { s.handle(s.stageUpdate()) }

func (s *simulation) stageUpdate() decision.StageUpdate {
	c := s.controller
	n := decision.StageUpdate{Age: s.now - c.stageStartedAt, Build: c.build, Phase: c.phase, Stage: c.stage}
	n.ExposureCap = s.settings.ExposureCaps[min(c.stage, len(s.settings.ExposureCaps)-1)]
	if c.phase == decision.RollingBack || c.phase == decision.RolledBack {
		n.ExposureCap = 0
	}
	return n
}

// move brings the rollout to a stage; the last one releases the build.
func (s *simulation) advanceStage() {
	c := &s.controller
	if c.phase != decision.InTrial {
		return
	}
	c.stageStartedAt = s.now
	if c.stage++; c.stage >= len(s.settings.Stages) {
		c.stage, c.phase = len(s.settings.Stages)-1, decision.Released
		s.scheduleAt(s.now+s.releasePause, s.offerBuild)
	}
	s.sendStageUpdate()
}

// goBack takes the candidate out of service; another one follows.
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

// checkStage moves a stage on or back that lasts too long, as the votes of other instances would.
func (s *simulation) limitStageDuration() {
	if s.now-s.controller.stageStartedAt < s.maxStageDuration {
		return
	}
	if s.controller.bad && s.random.IntN(2) == 0 {
		s.rollBack()
	} else {
		s.advanceStage()
	}
}

// voted has the controller answer a vote, and follow some.
func (s *simulation) handleVote(v decision.Vote) {
	fate := decision.VoteResult(max(0, s.random.IntN(16)-11))
	current := v.Build == s.controller.build && v.Stage == s.controller.stage
	if fate == decision.VoteAccepted && current && s.random.Float64() < s.followedVoteShare {
		switch v.Verdict {
		case decision.VoteAdvance:
			s.advanceStage()
		case decision.VoteRollback:
			s.rollBack()
		case decision.VoteHold:
			s.controller.stageStartedAt = s.now
		}
	}
	result := s.stageUpdate()
	result.IsVoteResult, result.VoteResult = true, fate
	s.handle(result)
}

// count gives the controller's counts of all instances, for the candidate and the build before it.
func (s *simulation) sendControllerCounts() {
	for _, class := range s.settings.Classes[:1+s.random.IntN(len(s.settings.Classes))] {
		for _, build := range []decision.Build{s.controller.build - 1, s.controller.build} {
			t := decision.ControllerCounts{Build: build, Class: class.Name, Count: s.random.IntN(40), Age: 20}
			t.Mean = s.serviceTime * (1.2 + 0.3*s.random.Float64())
			if s.isActive(s.fleetSlowdownAt) {
				t.Mean *= s.fleetSlowdownFactor
			}
			failing := 0.01
			if build == s.controller.build && s.controller.bad {
				t.Mean *= s.candidateSlowdown
				failing = s.candidateFailureShare
			}
			for range t.Count {
				if s.random.Float64() < failing {
					t.Failed++
				}
			}
			s.handle(t)
		}
	}
	s.handle(decision.ControllerCounts{Build: s.controller.build, Class: "unheard-of", Count: 3})
}

// flag tells of a wrong answer of an endpoint.
func (s *simulation) flagResponse() {
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	if e.errorShare > 0 || s.random.IntN(8) == 0 {
		class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
		s.handle(decision.ResponseFlagged{Endpoint: e.ID, Class: class.Name, Age: 30})
	}
}

// administer has the operators or the other instances step in.
func (s *simulation) injectOperation() {
	switch s.random.IntN(4) {
	case 0:
		s.changeSettings()
	case 1:
		s.handle(decision.EvidenceRevoked{})
	case 2:
		if e, on := s.instance.Evidence(); on {
			s.evidence = e
		}
		s.handle(decision.EvidenceAcquired{Evidence: s.drawEvidence()})
	case 3:
		s.evidence, _ = s.instance.Evidence()
	}
}

// changeSettings brings new figures of the deployment.
func (s *simulation) changeSettings() {
	next, drawn := s.settings, drawSettings(s.random)
	next.FreeAttempts, next.MaxAttempts, next.GuardedStages, next.StickyKeys = drawn.FreeAttempts, drawn.MaxAttempts, drawn.GuardedStages, drawn.StickyKeys
	next.CancelAllowed, next.HedgingAllowed, next.HealthChecksAllowed = drawn.CancelAllowed, drawn.HedgingAllowed, drawn.HealthChecksAllowed
	next.WithheldShare, next.Halt, next.CrossZonePrice = drawn.WithheldShare, drawn.Halt, drawn.CrossZonePrice
	s.settings = next
	s.handle(decision.SettingsChanged{Settings: next})
}

// drawEvidence is what another instance may have seen: as this one had, with outcomes of its own and of endpoints that are
// gone.
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
