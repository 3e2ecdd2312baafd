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
	settings decision.Settings
	random   *rand.Rand
	now      decision.Millis
	pending  schedule
	made     int // entries put in the schedule so far
	instance *decision.Balancer
	observe  func(now decision.Millis, event decision.Event, actions []decision.Action)
	handled  int // events so far
	limit    int // events after which the simulation stops

	endpoints  []*endpoint // in the registry, in the order of their start
	byID       map[decision.EndpointID]*endpoint
	requests   map[decision.RequestID]*request // never iterated over
	lastID     decision.RequestID
	started    int // endpoints so far
	controller controller
	subscribed bool // the instance is told of changes of the endpoints
	evidence   decision.Evidence
}

// scenario holds the conditions of a seed, beside the settings.
type scenario struct {
	arrivals      float64         // requests a millisecond
	serviceTime   decision.Millis // of an idle, warm endpoint
	fleet         int             // endpoints at the start
	capacity      int             // requests that an endpoint takes at once
	trouble       decision.Millis // mean time between troubles of single endpoints
	noise         float64         // share of attempts that end in a drawn way
	keyed         float64         // share of requests with a key
	streamed      float64         // share of answers that are streams
	obeyed        float64         // share of votes that the controller follows
	refusals      float64         // share of calls for the list that are refused
	mostWait      decision.Millis // longest stay in one stage
	candidateSlow float64         // service time of a bad candidate, as a multiple
	candidateFail float64         // share of failures of a bad candidate
	badCandidates float64         // share of candidates that are bad
	zoneLostAt    decision.Millis // the second zone can't be reached from then on, for a while; 0: never
	sharedSlowAt  decision.Millis // all endpoints are slower from then on, for a while; 0: never
	sharedSlow    float64         // by this factor
	slowOffers    bool            // half of the candidates are offered just as all endpoints get slower
	homeSlowAt    decision.Millis // endpoints of the instance's own zone are slower from then on, for a while; 0: never
	homeSlow      float64         // by this factor
	pause         decision.Millis // from the release of a build to the offer of the next
	rotation      decision.Millis // from the replacement of one endpoint to that of the next
	spreads       bool            // a bad candidate slows all endpoints as long as one runs it
	burstAt       decision.Millis // more requests come from then on, for a while; 0: never
	troubleLasts  decision.Millis // the whiles above
}

// controller rolls builds out, one after the other.
type controller struct {
	build decision.Build
	phase decision.Phase
	stage int
	since decision.Millis // start of the stage
	bad   bool            // the build is slow or failing
}

// endpoint is a simulated one.
type endpoint struct {
	decision.Endpoint
	inFlight int
	slow     float64 // service time, as a multiple of that of a sound one
	failing  float64 // share of failures
	silent   bool    // accepts requests and never answers
	down     bool    // refuses connections
	bad      bool    // runs a bad candidate
}

// request is one as its client sees it.
type request struct {
	decision.RequestReceived
	attempts []*attempt
	done     bool
}

// attempt is one forward of a request to an endpoint.
type attempt struct {
	endpoint *endpoint
	sent     decision.Millis
	ended    bool
}

// entry is something that happens at a time, in the order of its making where times are equal.
type entry struct {
	at     decision.Millis
	number int
	run    func()
}

type schedule []entry

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].number < s[j].number
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(e any)   { *s = append(*s, e.(entry)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// newSimulation draws the settings and the conditions of a seed and starts an instance.
func newSimulation(seed uint64, limit int) *simulation {
	random := rand.New(rand.NewPCG(seed, 0x6f74746572))
	s := &simulation{
		random: random, now: 10000, limit: limit,
		byID: map[decision.EndpointID]*endpoint{}, requests: map[decision.RequestID]*request{},
		observe: func(decision.Millis, decision.Event, []decision.Action) {},
	}
	s.settings = drawSettings(random)
	s.scenario = drawScenario(random)
	themes[int(seed)%len(themes)](s)
	s.instance = decision.New(s.settings, seed)
	s.controller = controller{build: 7, phase: decision.Released, since: s.now}
	for range s.fleet {
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
		arrivals: 0.04 + 0.12*random.Float64(), serviceTime: 15 + 60*random.Float64(),
		fleet: 4 + random.IntN(8), capacity: 8 + random.IntN(16),
		trouble: 800 + 4000*random.Float64(), noise: 0.03 * random.Float64(),
		keyed: random.Float64(), streamed: 0.1 * random.Float64(),
		obeyed: random.Float64(), refusals: 0.6 * random.Float64(),
		mostWait:      4500 + 4000*random.Float64(),
		pause:         1500,
		rotation:      900,
		candidateSlow: 1 + random.Float64(), candidateFail: 0.02, badCandidates: 0.3,
		troubleLasts: 1500 + 4000*random.Float64(),
	}
}

// themes are what seeds are drawn around, in turn.
var themes = []func(*simulation){
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
	s.trouble, s.noise = 1e5, 0
}

// slowCandidates: slow candidates.
func (s *simulation) slowCandidates() {
	s.candidateSlow, s.badCandidates = 1.4+3*s.random.Float64(), 0.8
}

// failingCandidates: failing candidates.
func (s *simulation) failingCandidates() {
	s.candidateFail, s.badCandidates = 0.05+0.4*s.random.Float64(), 0.8
}

// zoneLoss: the other zone is lost.
func (s *simulation) zoneLoss() {
	s.zoneLostAt = s.now + 3000 + 8000*s.random.Float64()
}

// sharedSlowness: all endpoints are slower, in half of the seeds as a candidate is offered that none of them runs yet.
func (s *simulation) sharedSlowness() {
	s.sharedSlowAt, s.sharedSlow = s.now+3000+8000*s.random.Float64(), 2+6*s.random.Float64()
	if s.slowOffers = s.random.IntN(2) == 0; s.slowOffers {
		s.arrivals = 0.006 + 0.012*s.random.Float64()
	}
}

// manyInstances: one of hundreds of instances, with few requests.
func (s *simulation) manyInstances() {
	s.thin(100 + s.random.IntN(300))
}

// overload: overload.
func (s *simulation) overload() {
	s.burstAt, s.fleet, s.capacity = s.now+4000, 3, 6
	s.serviceTime *= 2
}

// manyInstancesWithBadCandidates: thin, with bad candidates.
func (s *simulation) manyInstancesWithBadCandidates() {
	s.thin(100 + s.random.IntN(700))
	s.candidateSlow, s.candidateFail, s.badCandidates = 1+3*s.random.Float64(), 0.3*s.random.Float64(), 0.7
	if s.random.IntN(2) == 0 { // slow, with much trouble, through all stages
		s.candidateFail, s.badCandidates, s.trouble, s.mostWait = 0, 1, 500, 7000
		s.settings.Control, s.settings.Halt, s.settings.SlowStartWindow = decision.ByVotes, false, 800
	}
}

// dozensOfInstances: one of dozens.
func (s *simulation) dozensOfInstances() {
	s.thin(10 + s.random.IntN(50))
	s.settings.AdvanceQuorum = 1 + s.settings.Instances/4
}

// candidatesThatSlowAll: candidates that slow all endpoints.
func (s *simulation) candidatesThatSlowAll() {
	s.trouble, s.noise, s.fleet, s.spreads = 1e5, 0, 4, true
	s.settings.SlowStartFloor, s.rotation = 0.85, 250 // else cold endpoints explain the slowness
	s.candidateSlow, s.badCandidates, s.mostWait = 2+4*s.random.Float64(), 0.9, 9000
	if s.random.IntN(3) > 0 { // found out after the release
		s.mostWait, s.pause = 500+1500*s.random.Float64(), 15000
	}
}

// slowHomeZone: the instance's own zone is slow.
func (s *simulation) slowHomeZone() {
	s.homeSlowAt, s.troubleLasts = s.now+2000+4000*s.random.Float64(), 20000
	s.homeSlow = s.settings.Classes[0].LatencyObjective * (0.3 + s.random.Float64()) / s.serviceTime
	s.arrivals, s.fleet, s.capacity = 0.01+0.05*s.random.Float64(), 16, 60
}

// shortObjectives: overload and silent endpoints, with short targets.
func (s *simulation) shortObjectives() {
	s.hurry(20)
	s.fleet, s.trouble, s.arrivals = 4, 300, 0.5
	s.settings.PollWithin = 20
}

// thin makes the instance one of many that sees a few requests a second.
func (s *simulation) thin(instances int) {
	s.settings.Instances = instances
	s.settings.AdvanceQuorum = instances * 6 / 10
	s.settings.RollbackQuorum = 1 + instances*8/100
	s.settings.HoldQuorum *= 1 + instances/20
	s.arrivals = 0.003 + 0.02*s.random.Float64()
	s.fleet = 12 + s.random.IntN(20)
	for i := range s.settings.Classes {
		s.settings.Classes[i].LatencyObjective *= 2
	}
}

// hurry makes targets and service times so many times shorter.
func (s *simulation) hurry(times float64) {
	s.settings.ClockGranularity = 0.5
	s.serviceTime /= times
	for i := range s.settings.Classes {
		s.settings.Classes[i].LatencyObjective /= times
	}
}

// at has something happen at a time, at the earliest now.
func (s *simulation) at(when decision.Millis, run func()) {
	s.made++
	heap.Push(&s.pending, entry{max(when, s.now), s.made, run})
}

// every has something happen again and again, after drawn pauses with this mean.
func (s *simulation) every(mean decision.Millis, run func()) {
	s.at(s.now+mean*(0.5+s.random.Float64()), func() {
		run()
		s.every(mean, run)
	})
}

// run plays the world until the limit of events.
func (s *simulation) run() {
	s.begin()
	for s.handled < s.limit {
		next := heap.Pop(&s.pending).(entry)
		s.now = next.at
		next.run()
	}
}

// handle gives the instance an event and carries out what it wants.
func (s *simulation) handle(event decision.Event) {
	if s.handled >= s.limit {
		return
	}
	s.handled++
	actions := s.instance.Handle(s.now, event)
	s.observe(s.now, event, actions)
	for _, action := range actions {
		s.perform(action)
	}
}

// begin schedules what happens by itself.
func (s *simulation) begin() {
	s.handle(decision.EndpointsChanged{Kind: decision.CachedSnapshot, Endpoints: s.list()})
	if s.subscribed = !s.settings.PollEndpoints; s.subscribed {
		s.at(s.now+20, func() { s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.list()}) })
	}
	s.at(s.now+1000*s.random.Float64(), s.announce)
	s.at(s.now+3000, s.offer)
	s.arrive()
	s.every(s.trouble, s.troubleEndpoint)
	s.every(s.rotation, s.rotate)
	s.every(5000, s.administer)
	s.every(1500, func() { s.handle(decision.PeerMessage{From: 2, Data: []byte("state")}) })
	s.every(700, s.flag)
	s.every(2500, func() {
		if s.subscribed {
			s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.list()})
		}
	})
	s.every(1200, s.announce)
	if s.settings.CountInterval > 0 {
		s.every(s.settings.CountInterval, s.count)
	}
	s.every(400, s.checkStage)
	s.every(6000, func() { s.handle(decision.EndpointsChanged{Kind: decision.PollRejected}) }) // not asked for
}

// perform carries out an action of the instance. It only schedules events, for an action is performed within one.
func (s *simulation) perform(action decision.Action) {
	switch todo := action.(type) {
	case decision.StartAttempt:
		s.send(todo)
	case decision.Reject:
		s.rejected(todo)
	case decision.Fail:
		s.requests[todo.Request].done = true
	case decision.Cancel:
		s.cancel(todo)
	case decision.WakeAt:
		s.at(todo.At, func() { s.handle(decision.TimerFired{Token: todo.Token}) })
	case decision.StartHealthCheck:
		s.probe(todo.Endpoint)
	case decision.WatchEndpoints, decision.ResolveEndpoints:
		s.at(s.now+5+200*s.random.Float64(), s.respondToPoll)
	case decision.Vote:
		s.at(s.now+2+60*s.random.Float64(), func() { s.voted(todo) })
	}
}

// arrive has a request come, and the next one after it.
func (s *simulation) arrive() {
	pace := s.arrivals
	if s.during(s.burstAt) {
		pace *= 4
	}
	s.at(s.now+s.random.ExpFloat64()/pace, func() {
		s.take(s.drawRequest())
		s.arrive()
	})
}

// during tells whether a trouble that begins at a time lasts now.
func (s *simulation) during(start decision.Millis) bool {
	return start > 0 && s.now >= start && s.now < start+s.troubleLasts
}

func (s *simulation) drawRequest() decision.RequestReceived {
	class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
	taken := decision.RequestReceived{Class: class.Name, TTL: class.LatencyObjective * (0.5 + 3*s.random.Float64())}
	taken.Tenant = []decision.TenantID{"gold", "silver", "unknown"}[min(2, s.random.IntN(20)/9)]
	if s.random.IntN(60) == 0 {
		taken.Class = "unheard-of"
	}
	if s.random.Float64() < s.keyed {
		taken.Key = decision.Key(fmt.Sprint("key", s.random.IntN(40)))
	}
	if s.random.IntN(4) == 0 {
		taken.Hint = 10
	}
	return taken
}

// take hands a request to the instance. Its client leaves at the end of its time, some earlier.
func (s *simulation) take(taken decision.RequestReceived) {
	s.lastID++
	taken.Request = s.lastID
	r := &request{RequestReceived: taken}
	s.requests[r.Request] = r
	s.handle(taken)
	stay := taken.TTL
	if s.random.IntN(25) == 0 {
		stay *= s.random.Float64()
	}
	s.at(s.now+stay, func() { s.leave(r) })
}

// leave has a client that still waits go away; its attempts break off a little later.
func (s *simulation) leave(r *request) {
	if !r.done {
		r.done = true
		s.handle(decision.ClientDisconnected{Request: r.Request})
	}
	for i, a := range r.attempts {
		if !a.ended {
			how := []decision.Outcome{decision.TimedOut, decision.ConnectionBroken, decision.Canceled}[s.random.IntN(3)]
			s.at(s.now+3, func() { s.end(r, i, how) })
		}
	}
}

// bounced has most clients come again after the time that they were told.
func (s *simulation) rejected(b decision.Reject) {
	r := s.requests[b.Request]
	r.done = true
	if s.random.IntN(3) > 0 {
		again := r.RequestReceived
		again.Retried = true
		s.at(s.now+b.RetryAfter, func() { s.take(again) })
	}
}

// send carries out an attempt and schedules its ending.
func (s *simulation) send(f decision.StartAttempt) {
	request, server := s.requests[f.Request], s.byID[f.Endpoint]
	number := len(request.attempts)
	request.attempts = append(request.attempts, &attempt{endpoint: server, sent: s.now})
	server.inFlight++
	how, after := s.serve(server)
	if connect := 4 * s.random.Float64(); f.SendBy > 0 && s.now+connect >= f.SendBy || s.random.IntN(400) == 0 {
		how, after = decision.NotSent, connect
	}
	if f.Timeout > 0 && after > f.Timeout {
		how, after = decision.TimedOut, f.Timeout
	}
	if after >= 60000 { // it never ends by itself
		return
	}
	if how == decision.Succeeded && s.random.Float64() < s.streamed {
		s.at(s.now+after/2, func() { s.startResponse(request, number) })
	}
	s.at(s.now+after, func() { s.end(request, number, how) })
}

// serve draws how an attempt at an endpoint ends and how long it takes.
func (s *simulation) serve(e *endpoint) (decision.Outcome, decision.Millis) {
	lost := e.Zone != s.settings.Zone && s.during(s.zoneLostAt)
	switch {
	case e.down && s.random.IntN(2) == 0:
		return decision.Unreachable, 0.5
	case e.down, lost && s.random.IntN(2) == 0:
		return decision.Unreachable, 300
	case lost:
		return decision.ConnectionBroken, 100 * s.random.Float64()
	case e.silent:
		return decision.TimedOut, 1e9
	case e.inFlight > s.capacity:
		return decision.EndpointRejected, 1
	}
	after := s.serviceTimeAt(e)
	if s.random.Float64() < e.failing {
		return decision.EndpointFailed, after * s.random.Float64()
	}
	if s.random.Float64() < s.noise {
		return decision.Outcome(s.random.IntN(int(decision.MalformedResponse) + 1)), after
	}
	return decision.Succeeded, after
}

// serviceTimeAt draws the service time at an endpoint: by its kind, build, warmth, load and zone.
func (s *simulation) serviceTimeAt(server *endpoint) decision.Millis {
	after := s.serviceTime * server.slow * (0.4 + 0.6*s.random.ExpFloat64()) * (1 + float64(server.inFlight-1)/4)
	if server.MachineType == "old" {
		after *= 1.6
	}
	if age := s.now - server.Started; server.Started > 0 && age < s.settings.SlowStartWindow {
		after /= s.settings.SlowStartFloor + (1-s.settings.SlowStartFloor)*age/s.settings.SlowStartWindow
	}
	if s.during(s.sharedSlowAt) {
		after *= s.sharedSlow
	}
	if server.Zone == s.settings.Zone && s.during(s.homeSlowAt) {
		after *= s.homeSlow
	}
	if server.bad || s.spreads && slices.ContainsFunc(s.endpoints, func(other *endpoint) bool { return other.bad }) {
		after *= s.candidateSlow
	}
	if server.Zone != s.settings.Zone {
		after += 4
	}
	return after
}

func (s *simulation) startResponse(r *request, number int) {
	if a := r.attempts[number]; !a.ended {
		s.handle(decision.ResponseStarted{Request: r.Request, Attempt: number, Endpoint: a.endpoint.ID, After: s.now - a.sent})
	}
}

// end tells the instance how an attempt ended.
func (s *simulation) end(r *request, number int, how decision.Outcome) {
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
		After: s.now - a.sent, RequestEnded: last, Load: s.drawLoad(a.endpoint),
	})
	if s.random.IntN(200) == 0 { // heard twice
		s.handle(decision.AttemptEnded{Request: r.Request, Outcome: how, Endpoint: a.endpoint.ID, Attempt: number, RequestEnded: last})
	}
}

func (s *simulation) cancel(c decision.Cancel) {
	r := s.requests[c.Request]
	s.at(s.now+2*s.random.Float64(), func() { s.end(r, c.Attempt, decision.Canceled) })
}

// drawLoad is an endpoint's report of its load; some give none, some only a part.
func (s *simulation) drawLoad(e *endpoint) *decision.Load {
	busy := min(1, float64(e.inFlight)/float64(s.capacity)+0.3*s.random.Float64())
	switch s.random.IntN(3) {
	case 0:
		return nil
	case 1:
		return &decision.Load{Util: -1, Queue: float64(e.inFlight)}
	}
	return &decision.Load{Util: busy, Queue: float64(e.inFlight)}
}

// probe answers a probe, unless the endpoint is silent.
func (s *simulation) probe(id decision.EndpointID) {
	e := s.byID[id]
	after := 0.5 + s.random.Float64()*(1+float64(e.inFlight))/2
	how := decision.Succeeded
	if e.down || e.silent {
		how, after = decision.Unreachable, 20
	}
	s.at(s.now+after, func() {
		s.handle(decision.HealthCheckEnded{Endpoint: id, Outcome: how, After: after, Load: s.drawLoad(e)})
	})
}

// list is what the registry says of all endpoints, in a drawn order.
func (s *simulation) list() (nodes []decision.Endpoint) {
	for _, e := range s.endpoints {
		nodes = append(nodes, e.Endpoint)
	}
	s.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

// changed tells the instance that one endpoint has changed.
func (s *simulation) changed(node decision.Endpoint) {
	if s.subscribed {
		s.handle(decision.EndpointsChanged{Kind: decision.Delta, Version: int64(s.handled), Endpoints: []decision.Endpoint{node}})
	}
}

// answerWatch answers a call for the list.
func (s *simulation) respondToPoll() {
	if s.random.Float64() < s.refusals {
		s.handle(decision.EndpointsChanged{Kind: decision.PollRejected})
		return
	}
	s.subscribed = true
	s.handle(decision.EndpointsChanged{Kind: decision.FullSnapshot, Endpoints: s.list()})
}

// startEndpoint starts one more endpoint on a build and lists it.
func (s *simulation) startEndpoint(build decision.Build, at decision.Millis) *endpoint {
	i := s.started
	s.started++
	e := &endpoint{slow: 1, bad: s.controller.bad && build == s.controller.build, Endpoint: decision.Endpoint{
		ID: decision.EndpointID(fmt.Sprintf("endpoint%02d", i)), Cell: decision.Cell(i % 3), Started: at, Build: build,
		Zone: decision.Zone("ab"[i%2 : i%2+1]), MachineType: []decision.MachineType{"new", "old"}[i%5/4], Capacity: float64(1 + i%3),
	}}
	if e.bad {
		e.failing = s.candidateFail
	}
	s.endpoints = append(s.endpoints, e)
	s.byID[e.ID] = e
	return e
}

// restart replaces an endpoint by a new one of the same name.
func (s *simulation) restart(e *endpoint, build decision.Build) {
	fresh := *e
	fresh.Started, fresh.Build, fresh.State = s.now, build, decision.Serving
	fresh.inFlight, fresh.slow, fresh.failing, fresh.silent, fresh.down = 0, 1, 0, false, false
	if fresh.bad = s.controller.bad && build == s.controller.build; fresh.bad {
		fresh.failing = s.candidateFail
	}
	s.endpoints[slices.Index(s.endpoints, e)] = &fresh
	s.byID[e.ID] = &fresh
	s.changed(fresh.Endpoint)
}

// drain takes an endpoint out of service and removes it later.
func (s *simulation) drain(e *endpoint) {
	e.State = decision.Draining
	s.changed(e.Endpoint)
	s.at(s.now+800, func() {
		if i := slices.Index(s.endpoints, e); i >= 0 && e.State == decision.Draining {
			s.endpoints = slices.Delete(s.endpoints, i, i+1)
			if drained := e.Endpoint; s.random.IntN(3) > 0 { // else only the next whole list shows it
				drained.State = decision.Removed
				s.changed(drained)
			}
		}
	})
}

// troubleEndpoint gives one endpoint a trouble for a while.
func (s *simulation) troubleEndpoint() {
	victim := s.endpoints[s.random.IntN(len(s.endpoints))]
	was := *victim
	switch s.random.IntN(6) {
	case 0:
		victim.silent = true
	case 1:
		victim.down = true
		s.at(s.now+300, func() { s.restartIfListed(victim) })
	case 2:
		victim.slow = 2 + 6*s.random.Float64()
	case 3:
		victim.failing = 0.2 + 0.6*s.random.Float64()
	case 4:
		s.restart(victim, victim.Build)
	case 5:
		s.changed(s.startEndpoint(victim.Build, s.now).Endpoint)
		if len(s.endpoints) > 4 {
			s.drain(victim)
		}
	}
	s.at(s.now+500+2500*s.random.Float64(), func() {
		victim.silent, victim.down, victim.slow, victim.failing = false, false, was.slow, was.failing
	})
}

func (s *simulation) restartIfListed(e *endpoint) {
	if slices.Contains(s.endpoints, e) && e.State == decision.Serving {
		s.restart(e, e.Build)
	}
}

// rotate brings the endpoints to where the rollout stands, one at a time.
func (s *simulation) rotate() {
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
		s.replace(func(e *endpoint) bool { return e.Build == c.build }, c.build-1)
	case !back && (on == 0 || float64(on) < share*float64(len(s.endpoints))):
		s.replace(func(e *endpoint) bool { return e.Build < c.build }, c.build)
	}
}

// replace moves the first endpoint that is fit to a build: it restarts in place, or a new one starts beside it.
func (s *simulation) replace(fit func(*endpoint) bool, build decision.Build) {
	i := slices.IndexFunc(s.endpoints, func(e *endpoint) bool { return e.State == decision.Serving && fit(e) })
	if i < 0 {
		return
	}
	e := s.endpoints[i]
	if !s.settings.InPlace {
		s.changed(s.startEndpoint(build, s.now).Endpoint)
		s.drain(e)
		return
	}
	s.restart(e, build)
}

// offer begins the rollout of the next build.
func (s *simulation) offer() {
	bad := s.random.Float64() < s.badCandidates
	s.controller = controller{build: s.controller.build + 1, since: s.now, bad: bad}
	if s.slowOffers && s.random.IntN(2) == 0 {
		s.sharedSlowAt = s.now
	}
	s.announce()
}

// announce tells the instance where the newest build stands.
func (s *simulation) announce() { s.handle(s.news()) }

func (s *simulation) news() decision.StageUpdate {
	c := s.controller
	n := decision.StageUpdate{Age: s.now - c.since, Build: c.build, Phase: c.phase, Stage: c.stage}
	n.ExposureCap = s.settings.ExposureCaps[min(c.stage, len(s.settings.ExposureCaps)-1)]
	if c.phase == decision.RollingBack || c.phase == decision.RolledBack {
		n.ExposureCap = 0
	}
	return n
}

// move brings the rollout to a stage; the last one releases the build.
func (s *simulation) move() {
	c := &s.controller
	if c.phase != decision.InTrial {
		return
	}
	c.since = s.now
	if c.stage++; c.stage >= len(s.settings.Stages) {
		c.stage, c.phase = len(s.settings.Stages)-1, decision.Released
		s.at(s.now+s.pause, s.offer)
	}
	s.announce()
}

// goBack takes the candidate out of service; another one follows.
func (s *simulation) goBack() {
	c := &s.controller
	if c.phase != decision.InTrial {
		return
	}
	c.phase, c.since = decision.RollingBack, s.now
	s.announce()
	s.at(s.now+1500, func() {
		c.phase, c.since = decision.RolledBack, s.now
		s.announce()
	})
	s.at(s.now+3000, s.offer)
}

// checkStage moves a stage on or back that lasts too long, as the votes of other instances would.
func (s *simulation) checkStage() {
	if s.now-s.controller.since < s.mostWait {
		return
	}
	if s.controller.bad && s.random.IntN(2) == 0 {
		s.goBack()
	} else {
		s.move()
	}
}

// voted has the controller answer a vote, and follow some.
func (s *simulation) voted(v decision.Vote) {
	fate := decision.VoteResult(max(0, s.random.IntN(16)-11))
	current := v.Build == s.controller.build && v.Stage == s.controller.stage
	if fate == decision.VoteAccepted && current && s.random.Float64() < s.obeyed {
		switch v.Verdict {
		case decision.VoteAdvance:
			s.move()
		case decision.VoteRollback:
			s.goBack()
		case decision.VoteHold:
			s.controller.since = s.now
		}
	}
	result := s.news()
	result.IsVoteResult, result.VoteResult = true, fate
	s.handle(result)
}

// count gives the controller's counts of all instances, for the candidate and the build before it.
func (s *simulation) count() {
	for _, class := range s.settings.Classes[:1+s.random.IntN(len(s.settings.Classes))] {
		for _, build := range []decision.Build{s.controller.build - 1, s.controller.build} {
			t := decision.ControllerCounts{Build: build, Class: class.Name, Count: s.random.IntN(40), Age: 20}
			t.Mean = s.serviceTime * (1.2 + 0.3*s.random.Float64())
			if s.during(s.sharedSlowAt) {
				t.Mean *= s.sharedSlow
			}
			failing := 0.01
			if build == s.controller.build && s.controller.bad {
				t.Mean *= s.candidateSlow
				failing = s.candidateFail
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
func (s *simulation) flag() {
	e := s.endpoints[s.random.IntN(len(s.endpoints))]
	if e.failing > 0 || s.random.IntN(8) == 0 {
		class := s.settings.Classes[s.random.IntN(len(s.settings.Classes))]
		s.handle(decision.ResponseFlagged{Endpoint: e.ID, Class: class.Name, Age: 30})
	}
}

// administer has the operators or the other instances step in.
func (s *simulation) administer() {
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
