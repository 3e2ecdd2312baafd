// Package sim runs many membership detectors in simulated time, over a simulated network that loses and delays packets
// and cuts links, with members that are killed, stalled and restarted. The detectors are those of a real process;
// nothing else is real. The same settings and calls give the same run.
//
// Make a [Fleet] with [New], inject faults with its methods, advance time with [Fleet.Run], and observe it through
// [Fleet.OnChange], [Fleet.Member] and [Fleet.Agree]. sim.go holds the fleet and its faults, events.go the event queue.
package sim

import (
	"fmt"

	"ottershed/internal/cluster/membership"
	"ottershed/internal/stats"
)

// Millis is a time or a duration in milliseconds.
type Millis = membership.Millis

// Settings describe a fleet.
type Settings struct {
	Members          int
	Seeds            int     // the first so many members are seeds
	Seed             uint64  // of every random choice
	ToleratedPause   Millis  // as in membership.Settings
	DetectionTimeout Millis  // as in membership.Settings
	Loss             float64 // share of packets that are lost, 0 to 1, each drawn independently
	Delay            Millis  // the longest delay of a packet; the shortest is a tenth of it
	Prejoined        bool    // all members know each other from the start
	Codec            membership.Codec
}

// Observation is a change in a member's view, and whether the member that it is about was running.
type Observation struct {
	Observer int // the member whose view has changed
	membership.Change
	Running bool
}

// Member is one simulated process.
type Member struct {
	Name     membership.Name
	Detector *membership.Detector
	Running  bool
	Stalled  bool // its clock stands still and its packets are queued
	Starts   int
	waiting  []*membership.Packet // received while stalled
	wake     Millis               // the earliest wake-up in the queue; 0: none
}

// Fleet is a simulation.
type Fleet struct {
	settings  Settings
	now       Millis // Unix
	random    stats.Random
	members   []*Member
	byAddress map[string]int // indices of members
	roster    *membership.Roster
	cuts      map[[2]int]bool // links, from and to, that carry nothing
	queue     eventQueue

	OnChange func(Observation) // called for each change; may be nil
	Packets  int               // sent
	Bytes    int               // sent
	Lost     int               // packets sent and not delivered
}

// startUnix is the Unix time at which a simulation begins, in milliseconds.
const startUnix = 1_700_000_000_000

// New makes a fleet and starts all members.
func New(set Settings) (*Fleet, error) {
	fleet := &Fleet{
		settings:  set,
		now:       startUnix,
		random:    stats.Random{Seed: set.Seed},
		byAddress: map[string]int{},
		cuts:      map[[2]int]bool{},
	}
	var all []membership.Update
	for i := range set.Members {
		m := &Member{Name: membership.Name(fmt.Sprintf("n%d", i))}
		fleet.members = append(fleet.members, m)
		fleet.byAddress[address(i)] = i
		all = append(all, membership.Update{
			Name: m.Name, Address: address(i), Incarnation: startUnix, Run: membership.RunID(i + 1),
		})
	}
	if set.Prejoined {
		fleet.roster = membership.NewRoster(all)
	}
	for i := range fleet.members {
		if err := fleet.Start(i); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255) }

// Now is the simulated time since the start.
func (f *Fleet) Now() Millis { return f.now - startUnix }

// Member returns the member of an index.
func (f *Fleet) Member(i int) *Member { return f.members[i] }

// Start starts a member, or restarts it with no memory of its earlier run.
func (f *Fleet) Start(i int) error {
	member := f.members[i]
	set := membership.Settings{
		Name:             member.Name,
		Address:          address(i),
		Run:              membership.RunID(i + 1 + member.Starts*f.settings.Members),
		Start:            f.now,
		RandomSeed:       f.settings.Seed<<20 + uint64(i) + uint64(member.Starts)<<40,
		ToleratedPause:   f.settings.ToleratedPause,
		DetectionTimeout: f.settings.DetectionTimeout,
		MaxMembers:       max(2, 2*f.settings.Members),
	}
	for s := range min(f.settings.Seeds, f.settings.Members) {
		set.Seeds = append(set.Seeds, membership.Seed{Name: f.members[s].Name, Address: address(s)})
	}
	if member.Starts == 0 {
		set.Initial = f.roster
	}
	if err := set.Check(); err != nil {
		return err
	}
	*member = Member{Name: member.Name, Detector: membership.New(set), Running: true, Starts: member.Starts + 1}
	f.scheduleWake(i, f.now)
	return nil
}

// Kill ends a member without any announcement.
func (f *Fleet) Kill(i int) { f.members[i].Running = false }

// Leave has a member announce its shutdown, and ends it.
func (f *Fleet) Leave(i int) {
	f.execute(i, f.members[i].Detector.Leave(f.now))
	f.Kill(i)
}

// Stall stops a member's clock; packets to it are queued.
func (f *Fleet) Stall(i int) { f.members[i].Stalled = true }

// Resume ends a stall: the member receives the queued packets.
func (f *Fleet) Resume(i int) {
	m := f.members[i]
	m.Stalled = false
	for _, p := range m.waiting {
		f.execute(i, m.Detector.Receive(f.now, p))
	}
	m.waiting = nil
	f.scheduleWake(i, f.now)
}

// Cut cuts the link from one member to another in that direction, or restores it.
func (f *Fleet) Cut(from, to int, on bool) {
	if on {
		f.cuts[[2]int{from, to}] = true
	} else {
		delete(f.cuts, [2]int{from, to})
	}
}

// Loss sets the share of packets that are lost.
func (f *Fleet) Loss(share float64) { f.settings.Loss = share }

// Run advances the simulated time.
func (f *Fleet) Run(span Millis) {
	end := f.now + span
	for next, due := f.queue.popUntil(end); due; next, due = f.queue.popUntil(end) {
		f.now = max(f.now, next.due)
		f.deliver(next)
	}
	f.now = end
}

// deliver hands a packet or a wake-up to its member.
func (f *Fleet) deliver(next event) {
	m := f.members[next.member]
	switch {
	case !m.Running: // nobody receives it
	case m.Stalled && next.packet != nil:
		m.waiting = append(m.waiting, next.packet)
	case m.Stalled:
		m.wake = 0 // Resume schedules the next
	case next.packet != nil:
		f.execute(next.member, m.Detector.Receive(f.now, next.packet))
	case next.due == m.wake:
		m.wake = 0
		f.execute(next.member, m.Detector.Tick(f.now))
	}
}

// execute carries out the output of a member's detector.
func (f *Fleet) execute(i int, out membership.Output) {
	for _, s := range out.Sends {
		f.send(i, s)
	}
	if f.OnChange != nil {
		for _, c := range out.Changes {
			subject := f.members[f.byAddress[c.Address]]
			f.OnChange(Observation{Observer: i, Change: c, Running: subject.Running})
		}
	}
	f.scheduleWake(i, f.members[i].Detector.Next())
}

func (f *Fleet) send(from int, s membership.Send) {
	raw, err := f.settings.Codec.Encode(&s.Packet)
	if err != nil {
		panic(err) // a fault of the codec: the detector's own packet
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
	f.queue.push(event{due: f.now + f.settings.Delay*(0.1+0.9*f.random.Next()), member: to, packet: packet})
}

// scheduleWake plans a wake-up unless an earlier one is planned.
func (f *Fleet) scheduleWake(i int, at Millis) {
	m := f.members[i]
	at = max(at, f.now)
	if m.wake == 0 || at < m.wake {
		m.wake = at
		f.queue.push(event{due: at, member: i})
	}
}

// Agree reports the first view that is not true: a running member's of a running one that is not Alive there, or of a
// stopped one that is.
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
