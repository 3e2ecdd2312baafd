package decision

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"ottershed/internal/stats"
)

// fleet runs many balancers on one fake clock against one simulated platform. The balancers share nothing else.
type fleet struct {
	now       Millis
	events    schedule
	balancers []*Balancer
	perform   func(instance int, action Action) // performs an action on the platform
	endpoints map[EndpointID]*fakeEndpoint
	random    stats.Random
	lastID    RequestID
	requests  map[RequestID]*clientRequest
	results   map[string]int     // number of requests by result, since the last reset
	attempts  map[EndpointID]int // number of attempts, since the last reset
}

// clientRequest is a request from the client's point of view.
type clientRequest struct {
	sentAt, deadline Millis
	inFlight         []bool // by index of the attempt
	done             bool   // the client has the final response
}

// fakeEndpoint is a simulated endpoint with a queue and a few cores.
type fakeEndpoint struct {
	Endpoint
	cores       []Millis // time until which each core is busy
	slowdown    float64  // factor on the service time
	unreachable bool     // connections are never established
}

// scheduledEvent is a function that runs at a time. Functions with equal times run in the order of their scheduling.
type scheduledEvent struct {
	at    Millis
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

func (s *schedule) Push(x any) { *s = append(*s, x.(scheduledEvent)) }

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// scheduledCount is the number of events scheduled so far, by all fleets.
var scheduledCount int

// scheduleAt schedules a function for a time.
func (f *fleet) scheduleAt(when Millis, run func()) {
	scheduledCount++
	heap.Push(&f.events, scheduledEvent{when, scheduledCount, run})
}

// deliver passes an event to a balancer and performs the returned actions.
func (f *fleet) deliver(instance int, event Event) {
	for _, action := range f.balancers[instance].Handle(f.now, event) {
		if wake, ok := action.(WakeAt); ok {
			f.scheduleAt(wake.At, func() { f.deliver(instance, TimerFired{Token: wake.Token}) })
		} else {
			f.perform(instance, action)
		}
	}
}

// run runs all functions that are scheduled until a time, and advances the clock to it.
func (f *fleet) run(until Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(scheduledEvent)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// newFleet starts balancers at the same time with the same endpoint list.
func newFleet(t *testing.T, size int, endpoints []Endpoint, change func(*Settings)) *fleet {
	t.Helper()
	f := &fleet{
		now: 100000, perform: func(int, Action) {}, endpoints: map[EndpointID]*fakeEndpoint{},
		random: stats.Random{Seed: 1}, requests: map[RequestID]*clientRequest{},
	}
	f.resetCounts()
	for i := range size {
		settings := fleetSettings(size)
		if change != nil {
			change(&settings)
		}
		f.balancers = append(f.balancers, New(settings, uint64(i)*0x9e3779b97f4a7c15+7))
	}
	for i := range size {
		f.scheduleAt(f.now, func() { f.deliver(i, EndpointsChanged{Kind: CachedSnapshot, Endpoints: endpoints}) })
	}
	return f
}

// fleetSettings returns the settings for a fleet of a number of instances.
func fleetSettings(size int) Settings {
	return Settings{
		Instances: size, Zone: "a", ClockGranularity: 1, MaxAttempts: 5, CancelAllowed: true, MaxRetryAfter: 500,
		SlowStartFloor: 0.35, OverloadFactor: 3, SlowStartWindow: 2700, OverloadWindow: 1000, InPlace: true,
		ExposureCaps: []float64{0.112, 0.84, 1}, StageShares: []float64{0.08, 0.6, 1}, FreeAttempts: 1,
		VoteTTL: 6000, VoteRetryWait: 800, AdvanceQuorum: max(1, size*6/10), RollbackQuorum: max(1, size*8/100),
		Classes: []RequestClass{{Name: "read", LatencyObjective: fleetObjective, Idempotency: Idempotent}},
	}
}

// addEndpoints adds endpoints with a build and returns their entries.
func (f *fleet) addEndpoints(count int, build Build) (list []Endpoint) {
	for range count {
		i := len(f.endpoints)
		added := &fakeEndpoint{Endpoint: Endpoint{
			ID: EndpointID(fmt.Sprintf("s%02d", i)), Zone: Zone("ab"[i%2 : i%2+1]), Build: build, MachineType: "k",
			Capacity: coresPerEndpoint,
		}, cores: make([]Millis, coresPerEndpoint), slowdown: 1}
		f.endpoints[added.ID] = added
		list = append(list, added.Endpoint)
	}
	return list
}

// deliverAll passes an event to all balancers.
func (f *fleet) deliverAll(event Event) {
	for instance := range f.balancers {
		f.deliver(instance, event)
	}
}

// resetCounts resets the counts of results and attempts to 0.
func (f *fleet) resetCounts() {
	f.results = map[string]int{}
	f.attempts = map[EndpointID]int{}
}

const (
	fleetObjective   Millis = 700   // latency objective of the only request class
	clientTimeout    Millis = 2000  // time from a request until its client stops waiting
	meanWork                = 110.0 // mean service time on one core, ms
	coresPerEndpoint        = 3
)

// serve performs actions on requests, and counts the results.
func (f *fleet) serve(instance int, action Action) {
	switch action := action.(type) {
	case StartAttempt:
		f.startAttempt(instance, action)
	case Cancel:
		f.cancel(instance, action)
	case Reject:
		f.requests[action.Request].done = true
		f.results["rejected"]++
	case Fail:
		f.requests[action.Request].done = true
		f.results["failed"]++
	}
}

// startAttempt starts an attempt at a simulated endpoint and schedules its end.
func (f *fleet) startAttempt(instance int, start StartAttempt) {
	f.attempts[start.Endpoint]++
	request, endpoint, startedAt := f.requests[start.Request], f.endpoints[start.Endpoint], f.now
	attempt := len(request.inFlight)
	request.inFlight = append(request.inFlight, true)
	end := func(outcome Outcome) {
		if !request.inFlight[attempt] {
			return
		}
		request.inFlight[attempt] = false
		if outcome == Succeeded && !request.done {
			request.done = true
			if f.now <= request.sentAt+fleetObjective {
				f.results["in time"]++
			}
		}
		f.deliver(instance, AttemptEnded{
			Request: start.Request, Attempt: attempt, Outcome: outcome, Endpoint: start.Endpoint,
			After: f.now - startedAt, RequestEnded: request.done,
		})
	}
	f.scheduleAt(request.deadline, func() { end(TimedOut) })
	if endpoint.unreachable {
		f.scheduleAt(f.now+250, func() { end(Unreachable) })
		return
	}
	f.scheduleAt(f.processRequest(endpoint), func() { end(Succeeded) })
}

// processRequest assigns a request to the core that is free first, and returns the time of completion. Warming
// endpoints are slower.
func (f *fleet) processRequest(endpoint *fakeEndpoint) Millis {
	free := 0
	for i, busyUntil := range endpoint.cores {
		if busyUntil < endpoint.cores[free] {
			free = i
		}
	}
	speed := 1.0
	if age := f.now - endpoint.StartedAt; endpoint.StartedAt > 0 && age < 2700 {
		speed = 0.35 + 0.65*age/2700
	}
	negativeDuration := math.Log(1-f.random.Float64()) * meanWork * endpoint.slowdown / speed
	endpoint.cores[free] = max(f.now, endpoint.cores[free]) - negativeDuration
	return endpoint.cores[free]
}

// cancel cancels an attempt and reports its end to the instance.
func (f *fleet) cancel(instance int, action Cancel) {
	request := f.requests[action.Request]
	if !request.inFlight[action.Attempt] {
		return
	}
	request.inFlight[action.Attempt] = false
	f.scheduleAt(f.now, func() {
		f.deliver(instance, AttemptEnded{
			Request: action.Request, Attempt: action.Attempt, Outcome: Canceled, RequestEnded: request.done,
		})
	})
}

// startClients sends requests at a rate until a time, each to a random instance.
func (f *fleet) startClients(perSecond float64, until Millis) {
	var arrive func()
	arrive = func() {
		if f.now >= until {
			return
		}
		f.lastID++
		f.requests[f.lastID] = &clientRequest{sentAt: f.now, deadline: f.now + clientTimeout}
		f.results["received"]++
		instance := int(f.random.Float64() * float64(len(f.balancers)))
		f.deliver(instance, RequestReceived{Request: f.lastID, Class: "read", Remaining: clientTimeout})
		f.scheduleAt(f.now-math.Log(1-f.random.Float64())*1000/perSecond, arrive)
	}
	f.scheduleAt(f.now, arrive)
}

// Half of the endpoints become unreachable and restart. An instance of a large fleet has an outcome of each endpoint
// only every few seconds. Outdated observations from the fault must not exclude the endpoints long after their restart.
func TestFleetReadmitsRestartedEndpoints(t *testing.T) {
	fleet := newFleet(t, 80, nil, nil)
	list := fleet.addEndpoints(60, 7)
	fleet.run(fleet.now)
	fleet.deliverAll(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
	fleet.deliverAll(StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1})
	fleet.perform = fleet.serve
	fleet.startClients(900, fleet.now+24000)
	fleet.run(fleet.now + 4000)
	var removed, restarted []Endpoint
	for _, endpoint := range list[:30] {
		fleet.endpoints[endpoint.ID].unreachable = true
		endpoint.State = Removed
		removed = append(removed, endpoint)
	}
	fleet.run(fleet.now + 2000)
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: removed})
	fleet.run(fleet.now + 3000)
	for _, endpoint := range list[:30] {
		endpoint.StartedAt = fleet.now
		fleet.endpoints[endpoint.ID].unreachable, fleet.endpoints[endpoint.ID].StartedAt = false, fleet.now
		restarted = append(restarted, endpoint)
	}
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: restarted})
	fleet.run(fleet.now + 6000)
	fleet.resetCounts()
	fleet.run(fleet.now + 5000)
	attemptsByHalf := [2]int{} // at restarted endpoints, and at the others
	for i, endpoint := range list {
		attemptsByHalf[i/30] += fleet.attempts[endpoint.ID]
	}
	if share := float64(fleet.results["in time"]) / float64(fleet.results["received"]); share < 0.93 {
		t.Errorf("share of requests in time 6 to 11 s after the restart: got %.2f, want at least 0.93; results %v",
			share, fleet.results)
	}
	if share := float64(attemptsByHalf[0]) / float64(attemptsByHalf[0]+attemptsByHalf[1]); share < 0.4 {
		t.Errorf("share of attempts at restarted endpoints: got %.2f, want at least 0.4", share)
	}
}

// A new stage replaces half of the fleet by warming endpoints of the candidate. The warming endpoints must not stay
// idle. Their share must not go to the few warm endpoints of the candidate either, because overload would make the
// candidate look slow.
func TestFleetUsesWarmingEndpoints(t *testing.T) {
	fleet := newFleet(t, 80, nil, nil)
	list := fleet.addEndpoints(60, 7)
	fleet.run(fleet.now)
	fleet.deliverAll(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
	fleet.deliverAll(StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1})
	fleet.perform = fleet.serve
	fleet.startClients(900, fleet.now+60000)
	fleet.run(fleet.now + 3000)
	fleet.deliverAll(StageUpdate{Build: 8, Phase: InTrial, Stage: 0, ExposureCap: 0.112})
	warm := fleet.addEndpoints(5, 8)
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: warm})
	fleet.run(fleet.now + 6000)
	fleet.deliverAll(StageUpdate{Build: 8, Phase: InTrial, Stage: 1, ExposureCap: 0.84})
	warming := fleet.addEndpoints(31, 8)
	for i := range warming {
		warming[i].StartedAt, fleet.endpoints[warming[i].ID].StartedAt = fleet.now, fleet.now
		list[i].State = Draining
	}
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: append(warming, list[:36]...)})
	for second := range 3 {
		fleet.resetCounts()
		fleet.run(fleet.now + 1000)
		attemptsPer := map[Build]float64{}
		for _, endpoint := range warm {
			attemptsPer[8] += float64(fleet.attempts[endpoint.ID]) / float64(len(warm))
		}
		for _, endpoint := range list[36:] {
			attemptsPer[7] += float64(fleet.attempts[endpoint.ID]) / float64(len(list[36:]))
		}
		if attemptsPer[8] > 1.5*attemptsPer[7] || attemptsPer[8] > 30 {
			t.Errorf("second %d: got %.0f attempts per warm candidate endpoint, want at most 30 and 1.5 times those of the baseline, %.0f",
				second, attemptsPer[8], attemptsPer[7])
		}
		attemptsPerWarming := 0.0
		for _, endpoint := range warming {
			attemptsPerWarming += float64(fleet.attempts[endpoint.ID]) / float64(len(warming))
		}
		if least := []float64{3, 7, 9}[second]; attemptsPerWarming < least { // each can serve 9 to 27
			t.Errorf("second %d: got %.1f attempts per warming endpoint, want at least %.0f", second,
				attemptsPerWarming, least)
		}
	}
}

// The discovery service processes polls one after another, also those that have timed out. All instances of a fleet
// start at the same time. Each must receive the endpoint list soon, with few rejected polls.
func TestFleetPollsWithoutOverload(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		pollTime  Millis  // service time of a poll
		within    Millis  // time until all instances watch the list
		mostPolls float64 // maximum number of polls per instance
	}{
		"few instances":               {3, 60, 1000, 1},
		"a large fleet":               {80, 60, 12000, 2},
		"a large fleet, slow service": {80, 130, 40000, 5},
		"one instance":                {1, 60, 500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			const timeout, maxInterval = 2000, 10000
			fleet := newFleet(t, test.instances, nil, func(s *Settings) {
				s.PollEndpoints, s.MaxPollInterval = true, maxInterval
			})
			idleAt, polls, start := fleet.now, 0, fleet.now // idleAt: time from which the service is idle
			watching := map[int]Millis{}
			fleet.perform = func(instance int, action Action) {
				if _, ok := action.(WatchEndpoints); !ok {
					return
				}
				polls++
				idleAt = max(idleAt, fleet.now) + test.pollTime
				if wait := idleAt - fleet.now; wait <= timeout {
					fleet.scheduleAt(idleAt, func() {
						watching[instance] = fleet.now
						fleet.deliver(instance, EndpointsChanged{Kind: Delta})
					})
				} else if wait <= 2*timeout {
					fleet.scheduleAt(fleet.now+timeout, func() { fleet.deliver(instance, EndpointsChanged{Kind: PollRejected}) })
				} else {
					idleAt -= test.pollTime // rejected immediately, without service time
					fleet.scheduleAt(fleet.now+1, func() { fleet.deliver(instance, EndpointsChanged{Kind: PollRejected}) })
				}
			}
			fleet.run(start + test.within)
			if len(watching) < test.instances || float64(polls) > test.mostPolls*float64(test.instances) {
				t.Errorf("got %d of %d instances watching after %.0f ms with %d polls, want all with at most %.0f", len(watching),
					test.instances, test.within, polls, test.mostPolls*float64(test.instances))
			}
		})
	}
}
