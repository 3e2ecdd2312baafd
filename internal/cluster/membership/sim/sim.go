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
	Members      int
	Seeds        int // the first so many members
	Seed         uint64
	BearPause    Millis
	DetectWithin Millis
	Loss         float64 // share of packets, each drawn for itself
	Delay        Millis  // of a packet, at the most; at the least a tenth of it
	Acquainted   bool    // all know each other from the start
	Codec        membership.Codec
}

// Heard is a change that a member made in its view, and whether the one it concerns was running.
type Heard struct {
	Of int // the member whose view it is
	membership.Change
	Running bool
}

// Member is one marshal.
type Member struct {
	Name     membership.Name
	Detector *membership.Detector
	Up       bool
	Stalled  bool // its packets wait meanwhile
	Runs     int
	waiting  []*membership.Packet
	wake     Millis // the earliest that is planned
}

// Fleet is a run.
type Fleet struct {
	set     Settings
	now     Millis
	chance  stats.Chance
	members []*Member
	at      map[string]int // by address
	events  events
	no      uint64
	roster  *membership.Roster
	cut     map[[2]int]bool

	Changed func(Heard) // called for each change; may be nil
	Packets int
	Bytes   int
	Lost    int
}

// start is the Unix time at which a run begins, in milliseconds.
const start = 1_700_000_000_000

type event struct {
	at     Millis
	no     uint64
	member int
	packet *membership.Packet // nil: a wake
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].no < e[j].no
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
	f := &Fleet{set: set, now: start, chance: stats.Chance{Seed: set.Seed}, at: map[string]int{}, cut: map[[2]int]bool{}}
	var all []membership.Update
	for i := range set.Members {
		m := &Member{Name: membership.Name(fmt.Sprintf("n%d", i))}
		f.members = append(f.members, m)
		f.at[address(i)] = i
		all = append(all, membership.Update{Name: m.Name, Address: address(i), Incarnation: start, Run: membership.RunID(i + 1)})
	}
	if set.Acquainted {
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
func (f *Fleet) Now() Millis { return f.now - start }

// Member is one of them.
func (f *Fleet) Member(i int) *Member { return f.members[i] }

// Start starts a member, or starts it again from nothing.
func (f *Fleet) Start(i int) error {
	m := f.members[i]
	set := membership.Settings{Name: m.Name, Address: address(i), Run: membership.RunID(i + 1 + m.Runs*f.set.Members),
		Start: f.now, Chance: f.set.Seed<<20 + uint64(i) + uint64(m.Runs)<<40, BearPause: f.set.BearPause,
		DetectWithin: f.set.DetectWithin, MostMembers: max(2, 2*f.set.Members)}
	for s := range min(f.set.Seeds, f.set.Members) {
		set.Seeds = append(set.Seeds, membership.Seed{Name: f.members[s].Name, Address: address(s)})
	}
	if m.Runs == 0 {
		set.Known = f.roster
	}
	if err := set.Check(); err != nil {
		return err
	}
	m.Detector, m.Up, m.Stalled, m.waiting, m.wake = membership.New(set), true, false, nil, 0
	m.Runs++
	f.plan(i, f.now)
	return nil
}

// Kill ends a member at once.
func (f *Fleet) Kill(i int) { f.members[i].Up = false }

// Leave has a member say that it goes, and ends it.
func (f *Fleet) Leave(i int) {
	f.done(i, f.members[i].Detector.Leave(f.now))
	f.Kill(i)
}

// Stall stops a member's clock; what is sent to it waits.
func (f *Fleet) Stall(i int) { f.members[i].Stalled = true }

// Resume lets it go on.
func (f *Fleet) Resume(i int) {
	m := f.members[i]
	m.Stalled = false
	for _, p := range m.waiting {
		f.done(i, m.Detector.Receive(f.now, p))
	}
	m.waiting = nil
	f.plan(i, f.now)
}

// Cut has nothing pass from one member to another, or pass again.
func (f *Fleet) Cut(from, to int, on bool) {
	if on {
		f.cut[[2]int{from, to}] = true
	} else {
		delete(f.cut, [2]int{from, to})
	}
}

// Loss sets the share of packets that are lost.
func (f *Fleet) Loss(share float64) { f.set.Loss = share }

// Run plays on for a while.
func (f *Fleet) Run(span Millis) {
	end := f.now + span
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		m := f.members[e.member]
		switch {
		case !m.Up:
		case m.Stalled && e.packet != nil:
			m.waiting = append(m.waiting, e.packet)
		case m.Stalled:
			m.wake = 0 // Resume plans anew
		case e.packet != nil:
			f.done(e.member, m.Detector.Receive(f.now, e.packet))
		case e.at == m.wake:
			m.wake = 0
			f.done(e.member, m.Detector.Tick(f.now))
		}
	}
	f.now = end
}

// done carries out what a detector wants.
func (f *Fleet) done(i int, out membership.Output) {
	for _, s := range out.Sends {
		f.send(i, s)
	}
	if f.Changed != nil {
		for _, c := range out.Changes {
			of := f.at[c.Address]
			f.Changed(Heard{Of: i, Change: c, Running: f.members[of].Up})
		}
	}
	f.plan(i, f.members[i].Detector.Next())
}

func (f *Fleet) send(from int, s membership.Send) {
	raw, err := f.set.Codec.Encode(&s.Packet)
	if err != nil {
		panic(err) // a packet of our own that can't be written
	}
	f.Packets++
	f.Bytes += len(raw)
	to, known := f.at[s.To]
	if !known || f.cut[[2]int{from, to}] || f.set.Loss > 0 && f.chance.Next() < f.set.Loss {
		f.Lost++
		return
	}
	packet, err := f.set.Codec.Decode(raw)
	if err != nil {
		panic(err)
	}
	f.push(event{at: f.now + f.set.Delay*(0.1+0.9*f.chance.Next()), member: to, packet: packet})
}

func (f *Fleet) plan(i int, at Millis) {
	m := f.members[i]
	at = max(at, f.now)
	if m.wake == 0 || at < m.wake {
		m.wake = at
		f.push(event{at: at, member: i})
	}
}

func (f *Fleet) push(e event) {
	f.no++
	e.no = f.no
	heap.Push(&f.events, e)
}

// Agree tells whether all running members hold the same of all, and if not, what differs first.
func (f *Fleet) Agree() error {
	for i, m := range f.members {
		if !m.Up {
			continue
		}
		for j, other := range f.members {
			state, _, known := m.Detector.StateOf(other.Name)
			switch {
			case other.Up && (!known || state != membership.Alive):
				return fmt.Errorf("%s holds %s for %v, known %v, and it runs", m.Name, other.Name, state, known)
			case !other.Up && known && state <= membership.Suspect:
				return fmt.Errorf("%s holds %s for %v, and it is down", f.members[i].Name, f.members[j].Name, state)
			}
		}
	}
	return nil
}
