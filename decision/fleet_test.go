package decision

import (
	"container/heap"
	"fmt"
	"math"
	"ottershed/internal/stats"
	"testing"
)

// fleet is many marshals on one fake clock against a scripted platform. Nothing but it is shared.
type fleet struct {
	t         *testing.T
	now       Millis
	events    schedule
	balancers []*Balancer
	perform   func(who int, a Action) // what the platform does with an action
	endpoints map[EndpointID]*fakeEndpoint
	random    stats.Random
	lastID    RequestID
	requests  map[RequestID]*clientRequest
	results   map[string]int     // how hits ended, since it was last emptied
	attempts  map[EndpointID]int // forwards, since it was last emptied
}

// asked is a hit as its client sees it.
type clientRequest struct {
	at, deadline Millis
	inFlight     []bool // by forward
	done         bool
}

// stand is a scripted node with a few cores and a line before them.
type fakeEndpoint struct {
	Endpoint
	cores       []Millis // busy until
	slowdown    float64  // times the work
	unreachable bool     // connections never come up
}

// due is something that happens at a time, in the order of its making where times are equal.
type scheduled struct {
	at    Millis
	order int
	run   func()
}

type schedule []scheduled

func (d schedule) Len() int { return len(d) }
func (d schedule) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d schedule) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *schedule) Push(x any)   { *d = append(*d, x.(scheduled)) }
func (d *schedule) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

var scheduledCount int

func (f *fleet) at(when Millis, do func()) {
	scheduledCount++
	heap.Push(&f.events, scheduled{when, scheduledCount, do})
}

// tell gives a marshal an event and carries out what it wants.
func (f *fleet) deliver(who int, e Event) {
	for _, a := range f.balancers[who].Handle(f.now, e) {
		if wake, ok := a.(WakeAt); ok {
			f.at(wake.At, func() { f.deliver(who, TimerFired{Token: wake.Token}) })
		} else {
			f.perform(who, a)
		}
	}
}

// run lets all that is due until a time happen.
func (f *fleet) run(until Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		d := heap.Pop(&f.events).(scheduled)
		f.now = d.at
		d.run()
	}
	f.now = until
}

// newFleet starts so many marshals at once with a list of nodes.
func newFleet(t *testing.T, n int, endpoints []Endpoint, change func(*Settings)) *fleet {
	f := &fleet{
		t: t, now: 100000, perform: func(int, Action) {}, endpoints: map[EndpointID]*fakeEndpoint{}, random: stats.Random{Seed: 1},
		requests: map[RequestID]*clientRequest{},
	}
	f.empty()
	for i := range n {
		s := Settings{
			Instances: n, Zone: "a", ClockGranularity: 1, MaxAttempts: 5, CancelAllowed: true, MaxRetryAfter: 500,
			SlowStartFloor: 0.35, OverloadFactor: 3, SlowStartWindow: 2700, OverloadWindow: 1000, InPlace: true,
			ExposureCaps: []float64{0.112, 0.84, 1}, Stages: []float64{0.08, 0.6, 1}, FreeAttempts: 1, VoteTTL: 6000, VoteWait: 800,
			AdvanceQuorum: max(1, n*6/10), RollbackQuorum: max(1, n*8/100),
			Classes: []RequestClass{{Name: "read", LatencyObjective: 700, Idempotency: Idempotent}},
		}
		if change != nil {
			change(&s)
		}
		f.balancers = append(f.balancers, New(s, uint64(i)*0x9e3779b97f4a7c15+7))
	}
	for i := range n {
		f.at(f.now, func() { f.deliver(i, EndpointsChanged{Kind: CachedSnapshot, Endpoints: endpoints}) })
	}
	return f
}

// stands makes scripted nodes, each with so many cores, and the list of them.
func (f *fleet) addEndpoints(n, cores int, build Build) (list []Endpoint) {
	for range n {
		i := len(f.endpoints)
		s := &fakeEndpoint{Endpoint: Endpoint{
			ID: EndpointID(fmt.Sprintf("s%02d", i)), Zone: Zone("ab"[i%2 : i%2+1]), Build: build, MachineType: "k",
			Capacity: float64(cores),
		}, cores: make([]Millis, cores), slowdown: 1}
		f.endpoints[s.ID] = s
		list = append(list, s.Endpoint)
	}
	return list
}

// tellAll hands changes of the list to all marshals.
func (f *fleet) deliverAll(e Event) {
	for i := range f.balancers {
		f.deliver(i, e)
	}
}

func (f *fleet) empty() { f.results, f.attempts = map[string]int{}, map[EndpointID]int{} }

const work = 110.0 // ms on one core, the mean

// serve carries forwards and counts how hits end.
func (f *fleet) serve(who int, a Action) {
	switch a := a.(type) {
	case StartAttempt:
		f.attempts[a.Endpoint]++
		h, n, start := f.requests[a.Request], f.endpoints[a.Endpoint], f.now
		no := len(h.inFlight)
		h.inFlight = append(h.inFlight, true)
		end := func(how Outcome) {
			if !h.inFlight[no] {
				return
			}
			if h.inFlight[no] = false; how == Succeeded && !h.done {
				if h.done = true; f.now <= h.at+700 {
					f.results["in time"]++
				}
			}
			f.deliver(who, AttemptEnded{Request: a.Request, Attempt: no, Outcome: how, Endpoint: a.Endpoint, After: f.now - start, RequestEnded: h.done})
		}
		f.at(h.deadline, func() { end(TimedOut) })
		if n.unreachable {
			f.at(f.now+250, func() { end(Unreachable) })
			return
		}
		free := 0
		for i, until := range n.cores {
			if until < n.cores[free] {
				free = i
			}
		}
		warm := 1.0
		if age := f.now - n.Started; n.Started > 0 && age < 2700 {
			warm = 0.35 + 0.65*age/2700
		}
		n.cores[free] = max(start, n.cores[free]) - math.Log(1-f.random.Next())*work*n.slowdown/warm
		f.at(n.cores[free], func() { end(Succeeded) })
	case Cancel:
		if h := f.requests[a.Request]; h.inFlight[a.Attempt] {
			h.inFlight[a.Attempt] = false
			f.at(f.now, func() {
				f.deliver(who, AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: Canceled, RequestEnded: h.done})
			})
		}
	case Reject:
		f.requests[a.Request].done = true
		f.results["bounced"]++
	case Fail:
		f.requests[a.Request].done = true
		f.results["errored"]++
	}
}

// clients has so many hits a second come to the whole fleet for a while, one of them at each marshal as likely.
func (f *fleet) clients(perSecond float64, until Millis) {
	var come func()
	come = func() {
		if f.now >= until {
			return
		}
		f.lastID++
		f.requests[f.lastID] = &clientRequest{at: f.now, deadline: f.now + 2000}
		f.results["taken"]++
		f.deliver(int(f.random.Next()*float64(len(f.balancers))), RequestReceived{Request: f.lastID, Class: "read", TTL: 2000})
		f.at(f.now-math.Log(1-f.random.Next())*1000/perSecond, come)
	}
	f.at(f.now, come)
}

// Half of the nodes are lost and come back cold. Each marshal of a large fleet hears of a node every few seconds only:
// what it held against those that came back, and what it gave up of its own, must not outlast them by long.
func TestFleetReadmitsEndpoints(t *testing.T) {
	f := newFleet(t, 80, nil, nil)
	list := f.addEndpoints(60, 3, 7)
	f.run(f.now)
	f.deliverAll(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
	f.deliverAll(StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1})
	f.perform = f.serve
	f.clients(900, f.now+24000)
	f.run(f.now + 4000)
	var lost, back []Endpoint
	for _, n := range list[:30] {
		f.endpoints[n.ID].unreachable = true
		n.State = Removed
		lost = append(lost, n)
	}
	f.run(f.now + 2000)
	f.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: lost})
	f.run(f.now + 3000)
	for _, n := range list[:30] {
		n.Started = f.now
		f.endpoints[n.ID].unreachable, f.endpoints[n.ID].Started = false, f.now
		back = append(back, n)
	}
	f.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: back})
	f.run(f.now + 6000)
	f.empty()
	f.run(f.now + 5000)
	shares := [2]int{}
	for i, n := range list {
		shares[i/30] += f.attempts[n.ID]
	}
	if part := float64(f.results["in time"]) / float64(f.results["taken"]); part < 0.93 {
		t.Errorf("%.2f of the hits in time 6 to 11 s after the nodes were back: %v", part, f.results)
	}
	if part := float64(shares[0]) / float64(shares[0]+shares[1]); part < 0.4 {
		t.Errorf("those that came back get %.2f of the forwards", part)
	}
}

// A new stage swaps half of the fleet for cold nodes of the build on trial. Those that a thin marshal has no forward for
// just now must neither stay empty nor push their part onto the few warm ones of that build, which would look slow.
func TestFleetSpreadsOverSlowStart(t *testing.T) {
	f := newFleet(t, 80, nil, nil)
	list := f.addEndpoints(60, 3, 7)
	f.run(f.now)
	f.deliverAll(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
	f.deliverAll(StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1})
	f.perform = f.serve
	f.clients(900, f.now+60000)
	f.run(f.now + 3000)
	f.deliverAll(StageUpdate{Build: 8, Phase: InTrial, Stage: 0, ExposureCap: 0.112})
	warm := f.addEndpoints(5, 3, 8)
	f.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: warm})
	f.run(f.now + 6000)
	f.deliverAll(StageUpdate{Build: 8, Phase: InTrial, Stage: 1, ExposureCap: 0.84})
	warming := f.addEndpoints(31, 3, 8)
	for i := range warming {
		warming[i].Started, f.endpoints[warming[i].ID].Started = f.now, f.now
		list[i].State = Draining
	}
	f.deliverAll(EndpointsChanged{Kind: Delta, Endpoints: append(warming, list[:36]...)})
	for second := range 3 {
		f.empty()
		f.run(f.now + 1000)
		per := map[Build]float64{}
		for _, n := range warm {
			per[8] += float64(f.attempts[n.ID]) / float64(len(warm))
		}
		for _, n := range list[36:] {
			per[7] += float64(f.attempts[n.ID]) / float64(len(list[36:]))
		}
		if per[8] > 1.5*per[7] || per[8] > 30 {
			t.Errorf("second %d: %.0f forwards to each warm node of the build on trial, %.0f to each of the earlier one", second,
				per[8], per[7])
		}
		got := 0.0
		for _, n := range warming {
			got += float64(f.attempts[n.ID]) / float64(len(warming))
		}
		if least := []float64{3, 7, 9}[second]; got < least { // they can do 9 to 27
			t.Errorf("second %d: %.1f forwards to each cold node", second, got)
		}
	}
}

// Discovery takes calls in turn and works on each, also when its caller has been refused meanwhile. All marshals of a
// fleet start at once: none may be without its watch for long, and few calls may be in vain.
func TestFleetPollsEndpoints(t *testing.T) {
	for name, test := range map[string]struct {
		instances int
		perCall   Millis // of the service's time
		within    Millis // all must be watching
		calls     float64
	}{
		"a handful":           {3, 60, 1000, 1},
		"a large fleet":       {80, 60, 12000, 2},
		"large and overtaxed": {80, 130, 40000, 5},
		"one":                 {1, 60, 500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			const timeout, within = 2000, 10000
			f := newFleet(t, test.instances, nil, func(s *Settings) { s.PollEndpoints, s.PollWithin = true, within })
			free, calls, start := f.now, 0, f.now // the service is busy until free
			watching := map[int]Millis{}
			f.perform = func(who int, a Action) {
				if _, ok := a.(WatchEndpoints); !ok {
					return
				}
				calls++
				free = max(free, f.now) + test.perCall
				if wait := free - f.now; wait <= timeout {
					f.at(free, func() { watching[who] = f.now; f.deliver(who, EndpointsChanged{Kind: Delta}) })
				} else if wait <= 2*timeout {
					f.at(f.now+timeout, func() { f.deliver(who, EndpointsChanged{Kind: PollRejected}) })
				} else {
					free -= test.perCall // not even taken
					f.at(f.now+1, func() { f.deliver(who, EndpointsChanged{Kind: PollRejected}) })
				}
			}
			f.run(start + test.within)
			if len(watching) < test.instances || float64(calls) > test.calls*float64(test.instances) {
				t.Errorf("%d of %d marshals watch after %.0f ms, by %d calls", len(watching), test.instances, test.within, calls)
			}
		})
	}
}

// A refused call waits longer each time, within what the settings bound, and not as long as the one beside it.
func TestRejectedPollsBackOff(t *testing.T) {
	sim := start(t, StageUpdate{}, func(s *Settings) { s.PollEndpoints, s.PollWithin = true, 8000 })
	var waits []Millis
	sim.advance(8000) // the first call is out
	sim.handle(EndpointsChanged{Kind: Delta})
	sim.balancer.polling.lastAt = sim.now
	for range 9 {
		refused := sim.now
		sim.actions = nil
		sim.handle(EndpointsChanged{Kind: PollRejected})
		for len(sim.actions) == 0 || sim.actions[len(sim.actions)-1] != (WatchEndpoints{On: true}) {
			if sim.advance(sim.balancer.tickInterval); sim.now > refused+20000 {
				t.Fatal("never asked again")
			}
		}
		waits = append(waits, sim.now-refused)
	}
	if waits[0] < 100 || waits[3] < 2*waits[0] || waits[8] < 4000 || waits[8] > 8000+sim.balancer.tickInterval ||
		math.Abs(waits[8]-waits[7]) < 1e-9 {
		t.Errorf("waits of %.0f ms", waits)
	}
	sim.handle(EndpointsChanged{Kind: Delta}) // it was taken
	refused := sim.now
	sim.handle(EndpointsChanged{Kind: PollRejected})
	if sim.balancer.polling.nextAt-refused > waits[8] {
		t.Errorf("waits %.0f ms after a call that was taken", sim.balancer.polling.nextAt-refused)
	}
}
