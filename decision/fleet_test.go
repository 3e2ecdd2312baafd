package decision

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"ottershed/internal/stats"
)

// fleet is many balancers on one fake clock against a simulated platform. They share nothing but that.
type fleet struct {
	now       Millis
	events    schedule
	balancers []*Balancer
	perform   func(instance int, action Action) // what the platform does with an action
	endpoints map[EndpointID]*fakeEndpoint
	random    stats.Random
	lastID    RequestID
	requests  map[RequestID]*clientRequest
	results   map[string]int     // of requests, since the last reset
	attempts  map[EndpointID]int // since the last reset
}

// clientRequest is a request as its client sees it.
type clientRequest struct {
	at, deadline Millis
	inFlight     []bool // by attempt
	done         bool
}

// fakeEndpoint is a simulated endpoint: a queue and a few cores.
type fakeEndpoint struct {
	Endpoint
	cores       []Millis // busy until
	slowdown    float64  // factor on the work
	unreachable bool     // connections are never established
}

// scheduled is something that happens at a time. Where times are equal the order is that of scheduling.
type scheduledEvent struct {
	at    Millis
	order int
	run   func()
}

type schedule []scheduledEvent

// Len, Less, Swap, Push and Pop are those of heap.Interface.

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

var scheduledCount int

// at schedules something.
func (f *fleet) scheduleAt(when Millis, run func()) {
	scheduledCount++
	heap.Push(&f.events, scheduledEvent{when, scheduledCount, run})
}

// deliver hands a balancer an event and carries out its actions.
func (f *fleet) deliver(instance int, event Event) {
	for _, action := range f.balancers[instance].Handle(f.now, event) {
		if wake, ok := action.(WakeAt); ok {
			f.scheduleAt(wake.At, func() { f.deliver(instance, TimerFired{Token: wake.Token}) })
		} else {
			f.perform(instance, action)
		}
	}
}

// run runs what is scheduled until a time.
func (f *fleet) run(until Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(scheduledEvent)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// newFleet starts so many balancers at once with an endpoint list.
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

func fleetSettings(size int) Settings {
	return Settings{
		Instances: size, Zone: "a", ClockGranularity: 1, MaxAttempts: 5, CancelAllowed: true, MaxRetryAfter: 500,
		SlowStartFloor: 0.35, OverloadFactor: 3, SlowStartWindow: 2700, OverloadWindow: 1000, InPlace: true,
		ExposureCaps: []float64{0.112, 0.84, 1}, Stages: []float64{0.08, 0.6, 1}, FreeAttempts: 1,
		VoteTTL: 6000, VoteWait: 800, AdvanceQuorum: max(1, size*6/10), RollbackQuorum: max(1, size*8/100),
		Classes: []RequestClass{{Name: "read", LatencyObjective: fleetObjective, Idempotency: Idempotent}},
	}
}

// addEndpoints adds endpoints of a build and returns the list of them.
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

// deliverAll hands all balancers an event.
func (f *fleet) deliverAll(event Event) {
	for instance := range f.balancers {
		f.deliver(instance, event)
	}
}

// resetCounts starts to count results and attempts from 0.
func (f *fleet) resetCounts() {
	f.results = map[string]int{}
	f.attempts = map[EndpointID]int{}
}

const (
	fleetObjective   Millis = 700
	clientTimeout    Millis = 2000
	meanWork                = 110.0 // ms on one core
	coresPerEndpoint        = 3
)

// serve carries out actions on requests, and counts the results.
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
			if f.now <= request.at+fleetObjective {
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

// work puts a request on the core that is free first, and returns when it is done. Warming endpoints are
// slower.
func (f *fleet) processRequest(endpoint *fakeEndpoint) Millis {
	free := 0
	for i, until := range endpoint.cores {
		if until < endpoint.cores[free] {
			free = i
		}
	}
	speed := 1.0
	if age := f.now - endpoint.Started; endpoint.Started > 0 && age < 2700 {
		speed = 0.35 + 0.65*age/2700
	}
	duration := math.Log(1-f.random.Next()) * meanWork * endpoint.slowdown / speed
	endpoint.cores[free] = max(f.now, endpoint.cores[free]) - duration
	return endpoint.cores[free]
}

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

// clients sends requests at a rate to the whole fleet for a while, each to any instance.
func (f *fleet) startClients(perSecond float64, until Millis) {
	var arrive func()
	arrive = func() {
		if f.now >= until {
			return
		}
		f.lastID++
		f.requests[f.lastID] = &clientRequest{at: f.now, deadline: f.now + clientTimeout}
		f.results["received"]++
		instance := int(f.random.Next() * float64(len(f.balancers)))
		f.deliver(instance, RequestReceived{Request: f.lastID, Class: "read", TTL: clientTimeout})
		f.scheduleAt(f.now-math.Log(1-f.random.Next())*1000/perSecond, arrive)
	}
	f.scheduleAt(f.now, arrive)
}

// Half of the endpoints are lost and come back warming. An instance of a large fleet has an outcome of an
// endpoint only every few seconds: what it knew before the fault must not exclude endpoints long after it.
func TestFleetReadmitsRestartedEndpoints(t *testing.T) {
	fleet := newFleet(t, 80, nil, nil)
	list := fleet.addEndpoints(60, 7)
	fleet.run(fleet.now)
	fleet.deliverAll(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
	fleet.deliverAll(StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1})
	fleet.perform = fleet.serve
	fleet.startClients(900, fleet.now+24000)
	fleet.run(fleet.now + 4000)
	var lost, back []Endpoint
	for _, endpoint := range list[:30] {
		fleet.endpoints[endpoint.ID].unreachable = true
		endpoint.State = Removed
		lost = append(lost, endpoint)
	}
	fleet.run(fleet.now + 2000)
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: lost})
	fleet.run(fleet.now + 3000)
	for _, endpoint := range list[:30] {
		endpoint.Started = fleet.now
		fleet.endpoints[endpoint.ID].unreachable, fleet.endpoints[endpoint.ID].Started = false, fleet.now
		back = append(back, endpoint)
	}
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: back})
	fleet.run(fleet.now + 6000)
	fleet.resetCounts()
	fleet.run(fleet.now + 5000)
	shares := [2]int{}
	for i, endpoint := range list {
		shares[i/30] += fleet.attempts[endpoint.ID]
	}
	if part := float64(fleet.results["in time"]) / float64(fleet.results["received"]); part < 0.93 {
		t.Errorf("%.2f of the requests in time 6 to 11 s after the endpoints were back: %v", part, fleet.results)
	}
	if part := float64(shares[0]) / float64(shares[0]+shares[1]); part < 0.4 {
		t.Errorf("those that came back get %.2f of the attempts", part)
	}
}

// A new stage replaces half of the fleet by warming endpoints of the candidate. Those must not stay empty,
// nor may their share go to the few warm endpoints of the candidate, which would look slow.
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
		warming[i].Started, fleet.endpoints[warming[i].ID].Started = fleet.now, fleet.now
		list[i].State = Draining
	}
	fleet.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: append(warming, list[:36]...)})
	for second := range 3 {
		fleet.resetCounts()
		fleet.run(fleet.now + 1000)
		per := map[Build]float64{}
		for _, endpoint := range warm {
			per[8] += float64(fleet.attempts[endpoint.ID]) / float64(len(warm))
		}
		for _, endpoint := range list[36:] {
			per[7] += float64(fleet.attempts[endpoint.ID]) / float64(len(list[36:]))
		}
		if per[8] > 1.5*per[7] || per[8] > 30 {
			t.Errorf("second %d: %.0f attempts to each warm endpoint of the candidate, %.0f to each of the baseline",
				second, per[8], per[7])
		}
		got := 0.0
		for _, endpoint := range warming {
			got += float64(fleet.attempts[endpoint.ID]) / float64(len(warming))
		}
		if least := []float64{3, 7, 9}[second]; got < least { // they can serve 9 to 27
			t.Errorf("second %d: %.1f attempts to each warming endpoint", second, got)
		}
	}
}

// Discovery serves calls in turn, also those that have timed out. All instances of a fleet start at once:
// each must have its watch soon, and with few calls in vain.
func TestFleetPollsWithoutOverload(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		perCall   Millis // service time
		within    Millis // all must watch by then
		calls     float64
	}{
		"a handful":           {3, 60, 1000, 1},
		"a large fleet":       {80, 60, 12000, 2},
		"large and overtaxed": {80, 130, 40000, 5},
		"one":                 {1, 60, 500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			const timeout, within = 2000, 10000
			fleet := newFleet(t, test.instances, nil, func(s *Settings) {
				s.PollEndpoints, s.PollWithin = true, within
			})
			free, calls, start := fleet.now, 0, fleet.now // when the service is free
			watching := map[int]Millis{}
			fleet.perform = func(instance int, action Action) {
				if _, ok := action.(WatchEndpoints); !ok {
					return
				}
				calls++
				free = max(free, fleet.now) + test.perCall
				if wait := free - fleet.now; wait <= timeout {
					fleet.scheduleAt(free, func() {
						watching[instance] = fleet.now
						fleet.deliver(instance, EndpointsChanged{Kind: Delta})
					})
				} else if wait <= 2*timeout {
					fleet.scheduleAt(fleet.now+timeout, func() { fleet.deliver(instance, EndpointsChanged{Kind: PollRejected}) })
				} else {
					free -= test.perCall // rejected at once
					fleet.scheduleAt(fleet.now+1, func() { fleet.deliver(instance, EndpointsChanged{Kind: PollRejected}) })
				}
			}
			fleet.run(start + test.within)
			if len(watching) < test.instances || float64(calls) > test.calls*float64(test.instances) {
				t.Errorf("%d of %d instances watch after %.0f ms, by %d calls", len(watching), test.instances, test.within,
					calls)
			}
		})
	}
}
