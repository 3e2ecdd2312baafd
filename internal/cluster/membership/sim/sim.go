// Package sim plays many detectors against each other in simulated time: a network that loses, delays and cuts, members
// that stop, stall and start again. The detectors are those of the marshals; nothing else is real. The same seed gives
// the same run.
package sim

import (
	"container/heap"
	"fmt"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/stats"
)

// Millis is a time or a span in milliseconds.
type Millis = membership.Millis

// Settings say what is played.
type Settings struct {
	Members          int
	Seeds            int // the first so many members
	Seed             uint64
	ToleratedPause   Millis
	DetectionTimeout Millis
	Loss             float64 // share of packets, each drawn for itself
	Delay            Millis  // of a packet, at the most; at the least a tenth of it
	Prejoined        bool    // all know each other from the start
	Codec            membership.Codec
}

// Heard is a change that a member made in its view, and whether the one it concerns was running.
type Observation struct {
	Observer int // the member whose view it is
	membership.Change
	Running bool
}

// Member is one marshal.
type Member struct {
	Name     membership.Name
	Detector *membership.Detector
	Running  bool
	Stalled  bool // its packets wait meanwhile
	Starts   int
	waiting  []*membership.Packet
	wake     Millis // the earliest that is planned
}

// Fleet is a run.
type Fleet struct {
	settings  Settings
	now       Millis
	random    stats.Random
	members   []*Member
	byAddress map[string]int // by address
	events    events
	nextEvent uint64
	roster    *membership.Roster
	cuts      map[[2]int]bool

	OnChange func(Observation) // called for each change; may be nil
	Packets  int
	Bytes    int
	Lost     int
}

// start is the Unix time at which a run begins, in milliseconds.
const startUnix = 1_700_000_000_000

type event struct {
	due    Millis
	seq    uint64
	member int
	packet *membership.Packet // nil: a wake
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New starts a fleet.
func New(set Settings) (*Fleet, error) {
	f := &Fleet{settings: set, now: startUnix, random: stats.Random{Seed: set.Seed}, byAddress: map[string]int{}, cuts: map[[2]int]bool{}}
	var all []membership.Update
	for i := range set.Members {
		m := &Member{Name: membership.Name(fmt.Sprintf("n%d", i))}
		f.members = append(f.members, m)
		f.byAddress[address(i)] = i
		all = append(all, membership.Update{Name: m.Name, Address: address(i), Incarnation: startUnix, Run: membership.RunID(i + 1)})
	}
	if set.Prejoined {
		f.roster = membership.NewRoster(all)
	}
	for i := range f.members {
		if err := f.Start(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255) }

// Now is the simulated time since the start.
func (f *Fleet) Now() Millis { return f.now - startUnix }

// Member is one of them.
func (f *Fleet) Member(i int) *Member { return f.members[i] }

// Start starts a member, or starts it again from nothing.
func (f *Fleet) Start(i int) error {
	m := f.members[i]
	set := membership.Settings{
		Name: m.Name, Address: address(i), Run: membership.RunID(i + 1 + m.Starts*f.settings.Members),
		Start: f.now, RandomSeed: f.settings.Seed<<20 + uint64(i) + uint64(m.Starts)<<40, ToleratedPause: f.settings.ToleratedPause,
		DetectionTimeout: f.settings.DetectionTimeout, MaxMembers: max(2, 2*f.settings.Members),
	}
	for s := range min(f.settings.Seeds, f.settings.Members) {
		set.Seeds = append(set.Seeds, membership.Seed{Name: f.members[s].Name, Address: address(s)})
	}
	if m.Starts == 0 {
		set.Initial = f.roster
	}
	if err := set.Check(); err != nil {
		return err
	}
	m.Detector, m.Running, m.Stalled, m.waiting, m.wake = membership.New(set), true, false, nil, 0
	m.Starts++
	f.scheduleWake(i, f.now)
	return nil
}

// Kill ends a member at once.
func (f *Fleet) Kill(i int) { f.members[i].Running = false }

// Leave has a member say that it goes, and ends it.
func (f *Fleet) Leave(i int) {
	f.execute(i, f.members[i].Detector.Leave(f.now))
	f.Kill(i)
}

// Stall stops a member's clock; what is sent to it waits.
func (f *Fleet) Stall(i int) { f.members[i].Stalled = true }

// Resume lets it go on.
func (f *Fleet) Resume(i int) {
	m := f.members[i]
	m.Stalled = false
	for _, p := range m.waiting {
		f.execute(i, m.Detector.Receive(f.now, p))
	}
	m.waiting = nil
	f.scheduleWake(i, f.now)
}

// Cut has nothing pass from one member to another, or pass again.
func (f *Fleet) Cut(from, to int, on bool) {
	if on {
		f.cuts[[2]int{from, to}] = true
	} else {
		delete(f.cuts, [2]int{from, to})
	}
}

// Loss sets the share of packets that are lost.
func (f *Fleet) Loss(share float64) { f.settings.Loss = share }

// Run plays on for a while.
func (f *Fleet) Run(span Millis) {
	end := f.now + span
	for len(f.events) > 0 && f.events[0].due <= end {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.due)
		m := f.members[e.member]
		switch {
		case !m.Running:
		case m.Stalled && e.packet != nil:
			m.waiting = append(m.waiting, e.packet)
		case m.Stalled:
			m.wake = 0 // Resume plans anew
		case e.packet != nil:
			f.execute(e.member, m.Detector.Receive(f.now, e.packet))
		case e.due == m.wake:
			m.wake = 0
			f.execute(e.member, m.Detector.Tick(f.now))
		}
	}
	f.now = end
}

// done carries out what a detector wants.
func (f *Fleet) execute(i int, out membership.Output) {
	for _, s := range out.Sends {
		f.send(i, s)
	}
	if f.OnChange != nil {
		for _, c := range out.Changes {
			of := f.byAddress[c.Address]
			f.OnChange(Observation{Observer: i, Change: c, Running: f.members[of].Running})
		}
	}
	f.scheduleWake(i, f.members[i].Detector.Next())
}

func (f *Fleet) send(from int, s membership.Send) {
	raw, err := f.settings.Codec.Encode(&s.Packet)
	if err != nil {
		panic(err) // a packet of our own that can't be written
	}
	f.Packets++
	f.Bytes += len(raw)
	to, known := f.byAddress[s.To]
	if !known || f.cuts[[2]int{from, to}] || f.settings.Loss > 0 && f.random.Next() < f.settings.Loss {
		f.Lost++
		return
	}
	packet, err := f.settings.Codec.Decode(raw)
	if err != nil {
		panic(err)
	}
	f.push(event{due: f.now + f.settings.Delay*(0.1+0.9*f.random.Next()), member: to, packet: packet})
}

func (f *Fleet) scheduleWake(i int, at Millis) {
	m := f.members[i]
	at = max(at, f.now)
	if m.wake == 0 || at < m.wake {
		m.wake = at
		f.push(event{due: at, member: i})
	}
}

func (f *Fleet) push(e event) {
	f.nextEvent++
	e.seq = f.nextEvent
	heap.Push(&f.events, e)
}

// Agree tells whether all running members hold the same of all, and if not, what differs first.
func (f *Fleet) Agree() error {
	for i, m := range f.members {
		if !m.Running {
			continue
		}
		for j, other := range f.members {
			state, _, known := m.Detector.StateOf(other.Name)
			switch {
			case other.Running && (!known || state != membership.Alive):
				return fmt.Errorf("%s holds %s for %v, known %v, and it runs", m.Name, other.Name, state, known)
			case !other.Running && known && state <= membership.Suspect:
				return fmt.Errorf("%s holds %s for %v, and it is down", f.members[i].Name, f.members[j].Name, state)
			}
		}
	}
	return nil
}
