package decision

import (
	"container/heap"
	"fmt"
	"math"
	"testing"

	"ottershed/internal/stats"
)

// fleet is many marshals on one fake clock against a scripted platform. Nothing but it is shared.
type fleet struct {
	t        *testing.T
	now      Millis
	due      dues
	marshals []*Marshal
	does     func(who int, a Action) // what the platform does with an action
	nodes    map[NodeID]*stand
	chance   stats.Chance
	next     HitID
	hits     map[HitID]*asked
	got      map[string]int // how hits ended, since it was last emptied
	sent     map[NodeID]int // forwards, since it was last emptied
}

// asked is a hit as its client sees it.
type asked struct {
	at, ends Millis
	out      []bool // by forward
	done     bool
}

// stand is a scripted node with a few cores and a line before them.
type stand struct {
	Node
	cores []Millis // busy until
	slow  float64  // times the work
	gone  bool     // connections never come up
}

// due is something that happens at a time, in the order of its making where times are equal.
type due struct {
	at Millis
	no int
	do func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].no < d[j].no
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

var made int

func (f *fleet) at(when Millis, do func()) {
	made++
	heap.Push(&f.due, due{when, made, do})
}

// tell gives a marshal an event and carries out what it wants.
func (f *fleet) tell(who int, e Event) {
	for _, a := range f.marshals[who].Handle(f.now, e) {
		if wake, ok := a.(WakeAt); ok {
			f.at(wake.At, func() { f.tell(who, TimerDue{Token: wake.Token}) })
		} else {
			f.does(who, a)
		}
	}
}

// run lets all that is due until a time happen.
func (f *fleet) run(until Millis) {
	for len(f.due) > 0 && f.due[0].at <= until {
		d := heap.Pop(&f.due).(due)
		f.now = d.at
		d.do()
	}
	f.now = until
}

// newFleet starts so many marshals at once with a list of nodes.
func newFleet(t *testing.T, n int, nodes []Node, change func(*Settings)) *fleet {
	f := &fleet{t: t, now: 100000, does: func(int, Action) {}, nodes: map[NodeID]*stand{}, chance: stats.Chance{Seed: 1},
		hits: map[HitID]*asked{}}
	f.empty()
	for i := range n {
		s := Settings{Marshals: n, Zone: "a", Granularity: 1, MaxForwards: 5, MayCancel: true, MaxComeBack: 500,
			ColdFrom: 0.35, OverFactor: 3, WarmAfter: 2700, OverFor: 1000, InPlace: true,
			Caps: []float64{0.112, 0.84, 1}, Stages: []float64{0.08, 0.6, 1}, Free: 1, VoteLife: 6000, VoteWait: 800,
			OnVotes: max(1, n*6/10), BackVotes: max(1, n*8/100),
			Groups: []PathGroup{{Name: "read", Target: 700, Effect: Repeatable}}}
		if change != nil {
			change(&s)
		}
		f.marshals = append(f.marshals, New(s, uint64(i)*0x9e3779b97f4a7c15+7))
	}
	for i := range n {
		f.at(f.now, func() { f.tell(i, NodesChanged{How: Remembered, Nodes: nodes}) })
	}
	return f
}

// stands makes scripted nodes, each with so many cores, and the list of them.
func (f *fleet) stands(n, cores int, build Build) (list []Node) {
	for range n {
		i := len(f.nodes)
		s := &stand{Node: Node{ID: NodeID(fmt.Sprintf("s%02d", i)), Zone: Zone("ab"[i%2 : i%2+1]), Build: build, Kind: "k",
			Units: float64(cores)}, cores: make([]Millis, cores), slow: 1}
		f.nodes[s.ID] = s
		list = append(list, s.Node)
	}
	return list
}

// tellAll hands changes of the list to all marshals.
func (f *fleet) tellAll(e Event) {
	for i := range f.marshals {
		f.tell(i, e)
	}
}

func (f *fleet) empty() { f.got, f.sent = map[string]int{}, map[NodeID]int{} }

const work = 110.0 // ms on one core, the mean

// serve carries forwards and counts how hits end.
func (f *fleet) serve(who int, a Action) {
	switch a := a.(type) {
	case Forward:
		f.sent[a.Node]++
		h, n, start := f.hits[a.Hit], f.nodes[a.Node], f.now
		no := len(h.out)
		h.out = append(h.out, true)
		end := func(how Ending) {
			if !h.out[no] {
				return
			}
			if h.out[no] = false; how == Delivered && !h.done {
				if h.done = true; f.now <= h.at+700 {
					f.got["in time"]++
				}
			}
			f.tell(who, ForwardEnded{Hit: a.Hit, Forward: no, Ending: how, Node: a.Node, After: f.now - start, HitEnded: h.done})
		}
		f.at(h.ends, func() { end(TimedOut) })
		if n.gone {
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
		n.cores[free] = max(start, n.cores[free]) - math.Log(1-f.chance.Next())*work*n.slow/warm
		f.at(n.cores[free], func() { end(Delivered) })
	case Cancel:
		if h := f.hits[a.Hit]; h.out[a.Forward] {
			h.out[a.Forward] = false
			f.at(f.now, func() {
				f.tell(who, ForwardEnded{Hit: a.Hit, Forward: a.Forward, Ending: Recalled, HitEnded: h.done})
			})
		}
	case Bounce:
		f.hits[a.Hit].done = true
		f.got["bounced"]++
	case Fail:
		f.hits[a.Hit].done = true
		f.got["errored"]++
	}
}

// clients has so many hits a second come to the whole fleet for a while, one of them at each marshal as likely.
func (f *fleet) clients(perSecond float64, until Millis) {
	var come func()
	come = func() {
		if f.now >= until {
			return
		}
		f.next++
		f.hits[f.next] = &asked{at: f.now, ends: f.now + 2000}
		f.got["taken"]++
		f.tell(int(f.chance.Next()*float64(len(f.marshals))), HitTaken{Hit: f.next, Group: "read", TTL: 2000})
		f.at(f.now-math.Log(1-f.chance.Next())*1000/perSecond, come)
	}
	f.at(f.now, come)
}

// Half of the nodes are lost and come back cold. Each marshal of a large fleet hears of a node every few seconds only:
// what it held against those that came back, and what it gave up of its own, must not outlast them by long.
func TestFleetTakesNodesBack(t *testing.T) {
	f := newFleet(t, 80, nil, nil)
	list := f.stands(60, 3, 7)
	f.run(f.now)
	f.tellAll(NodesChanged{How: Whole, Nodes: list})
	f.tellAll(StageNews{Build: 7, Phase: Released, Stage: 2, Cap: 1})
	f.does = f.serve
	f.clients(900, f.now+24000)
	f.run(f.now + 4000)
	var lost, back []Node
	for _, n := range list[:30] {
		f.nodes[n.ID].gone = true
		n.State = Removed
		lost = append(lost, n)
	}
	f.run(f.now + 2000)
	f.tellAll(NodesChanged{How: Changes, Nodes: lost})
	f.run(f.now + 3000)
	for _, n := range list[:30] {
		n.Started = f.now
		f.nodes[n.ID].gone, f.nodes[n.ID].Started = false, f.now
		back = append(back, n)
	}
	f.tellAll(NodesChanged{How: Changes, Nodes: back})
	f.run(f.now + 6000)
	f.empty()
	f.run(f.now + 5000)
	shares := [2]int{}
	for i, n := range list {
		shares[i/30] += f.sent[n.ID]
	}
	if part := float64(f.got["in time"]) / float64(f.got["taken"]); part < 0.93 {
		t.Errorf("%.2f of the hits in time 6 to 11 s after the nodes were back: %v", part, f.got)
	}
	if part := float64(shares[0]) / float64(shares[0]+shares[1]); part < 0.4 {
		t.Errorf("those that came back get %.2f of the forwards", part)
	}
}

// A new stage swaps half of the fleet for cold nodes of the build on trial. Those that a thin marshal has no forward for
// just now must neither stay empty nor push their part onto the few warm ones of that build, which would look slow.
func TestFleetSpreadsOverColdNodes(t *testing.T) {
	f := newFleet(t, 80, nil, nil)
	list := f.stands(60, 3, 7)
	f.run(f.now)
	f.tellAll(NodesChanged{How: Whole, Nodes: list})
	f.tellAll(StageNews{Build: 7, Phase: Released, Stage: 2, Cap: 1})
	f.does = f.serve
	f.clients(900, f.now+60000)
	f.run(f.now + 3000)
	f.tellAll(StageNews{Build: 8, Phase: OnTrial, Stage: 0, Cap: 0.112})
	warm := f.stands(5, 3, 8)
	f.tellAll(NodesChanged{How: Changes, Nodes: warm})
	f.run(f.now + 6000)
	f.tellAll(StageNews{Build: 8, Phase: OnTrial, Stage: 1, Cap: 0.84})
	cold := f.stands(31, 3, 8)
	for i := range cold {
		cold[i].Started, f.nodes[cold[i].ID].Started = f.now, f.now
		list[i].State = Draining
	}
	f.tellAll(NodesChanged{How: Changes, Nodes: append(cold, list[:36]...)})
	for second := range 3 {
		f.empty()
		f.run(f.now + 1000)
		per := map[Build]float64{}
		for _, n := range warm {
			per[8] += float64(f.sent[n.ID]) / float64(len(warm))
		}
		for _, n := range list[36:] {
			per[7] += float64(f.sent[n.ID]) / float64(len(list[36:]))
		}
		if per[8] > 1.5*per[7] || per[8] > 30 {
			t.Errorf("second %d: %.0f forwards to each warm node of the build on trial, %.0f to each of the earlier one", second,
				per[8], per[7])
		}
		got := 0.0
		for _, n := range cold {
			got += float64(f.sent[n.ID]) / float64(len(cold))
		}
		if least := []float64{3, 7, 9}[second]; got < least { // they can do 9 to 27
			t.Errorf("second %d: %.1f forwards to each cold node", second, got)
		}
	}
}

// Discovery takes calls in turn and works on each, also when its caller has been refused meanwhile. All marshals of a
// fleet start at once: none may be without its watch for long, and few calls may be in vain.
func TestFleetAsksForTheList(t *testing.T) {
	for name, tc := range map[string]struct {
		marshals int
		perCall  Millis // of the service's time
		within   Millis // all must be watching
		calls    float64
	}{
		"a handful":           {3, 60, 1000, 1},
		"a large fleet":       {80, 60, 12000, 2},
		"large and overtaxed": {80, 130, 40000, 5},
		"one":                 {1, 60, 500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			const timeout, within = 2000, 10000
			f := newFleet(t, tc.marshals, nil, func(s *Settings) { s.AskList, s.AskWithin = true, within })
			free, calls, start := f.now, 0, f.now // the service is busy until free
			watching := map[int]Millis{}
			f.does = func(who int, a Action) {
				if _, ok := a.(Watch); !ok {
					return
				}
				calls++
				free = max(free, f.now) + tc.perCall
				if wait := free - f.now; wait <= timeout {
					f.at(free, func() { watching[who] = f.now; f.tell(who, NodesChanged{How: Changes}) })
				} else if wait <= 2*timeout {
					f.at(f.now+timeout, func() { f.tell(who, NodesChanged{How: ListRefused}) })
				} else {
					free -= tc.perCall // not even taken
					f.at(f.now+1, func() { f.tell(who, NodesChanged{How: ListRefused}) })
				}
			}
			f.run(start + tc.within)
			if len(watching) < tc.marshals || float64(calls) > tc.calls*float64(tc.marshals) {
				t.Errorf("%d of %d marshals watch after %.0f ms, by %d calls", len(watching), tc.marshals, tc.within, calls)
			}
		})
	}
}

// A refused call waits longer each time, within what the settings bound, and not as long as the one beside it.
func TestRefusedCallsWait(t *testing.T) {
	r := start(t, StageNews{}, func(s *Settings) { s.AskList, s.AskWithin = true, 8000 })
	var waits []Millis
	r.wait(8000) // the first call is out
	r.do(NodesChanged{How: Changes})
	r.m.askedAt = r.now
	for range 9 {
		refused := r.now
		r.acts = nil
		r.do(NodesChanged{How: ListRefused})
		for len(r.acts) == 0 || r.acts[len(r.acts)-1] != (Watch{On: true}) {
			if r.wait(r.m.period); r.now > refused+20000 {
				t.Fatal("never asked again")
			}
		}
		waits = append(waits, r.now-refused)
	}
	if waits[0] < 100 || waits[3] < 2*waits[0] || waits[8] < 4000 || waits[8] > 8000+r.m.period ||
		math.Abs(waits[8]-waits[7]) < tiny {
		t.Errorf("waits of %.0f ms", waits)
	}
	r.do(NodesChanged{How: Changes}) // it was taken
	refused := r.now
	r.do(NodesChanged{How: ListRefused})
	if r.m.askAt-refused > waits[8] {
		t.Errorf("waits %.0f ms after a call that was taken", r.m.askAt-refused)
	}
}
