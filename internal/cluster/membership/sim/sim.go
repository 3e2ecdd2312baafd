// Package sim runs many membership detectors in simulated time, over a simulated network that loses and delays packets
// and cuts links, with members that are killed, stalled and restarted. The detectors are the code of a real process,
// only time and network are simulated. The same settings and calls give the same run.
//
// Create a [Fleet] with [New], inject faults with its methods, advance time with [Fleet.Run], and observe the members
// through [Fleet.OnChange], [Fleet.Member] and [Fleet.CheckAgreement]. sim.go holds the fleet and its faults, events.go
// the event queue.
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
	Members          int     // number of members
	Seeds            int     // number of seeds; the members with the lowest indices are seeds
	RandomSeed       uint64  // seed of the random number generators
	ToleratedPause   Millis  // longest silence for which no member may be declared dead; see membership.Settings
	DetectionTimeout Millis  // longest time until all members have declared a dead member dead
	Loss             float64 // probability that a packet is lost, 0 to 1, independent of other packets
	Delay            Millis  // the longest delay of a packet; the shortest is a tenth of it
	Prejoined        bool    // all members know each other from the start
	Codec            membership.Codec
}

// Observation is a change in a member's view, and whether the subject of the change was running.
type Observation struct {
	Observer int // index of the member whose view has changed
	membership.Change
	SubjectRunning bool // the subject was running when the change was reported
}

// Member is one simulated process.
type Member struct {
	Name     membership.Name
	Detector *membership.Detector
	Running  bool
	Stalled  bool                 // the member does not run, and packets to it are queued
	Starts   int                  // how often the member was started
	pending  []*membership.Packet // received while stalled
	nextWake Millis               // Unix time of the earliest wake-up in the queue; 0: none
}

// Fleet is a simulation.
type Fleet struct {
	settings  Settings
	now       Millis // Unix time
	random    stats.Random
	members   []*Member
	byAddress map[string]int // indices of the members, by ip:port
	roster    *membership.Roster
	cuts      map[[2]int]bool // links that carry no packets, by sender and receiver
	queue     eventQueue

	OnChange    func(Observation) // called for each change in a member's view; may be nil
	PacketsSent int               // packets sent
	BytesSent   int               // bytes of the packets sent
	Lost        int               // packets sent and not delivered
}

// startUnix is the Unix time at which a simulation begins, in milliseconds.
const startUnix = 1_700_000_000_000

// New returns a fleet whose members are all started. It returns an error if the settings are invalid.
func New(set Settings) (*Fleet, error) {
	fleet := &Fleet{
		settings:  set,
		now:       startUnix,
		random:    stats.Random{Seed: set.RandomSeed},
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

// address returns the address of a member.
func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255) }

// Now returns the simulated time since the start.
func (f *Fleet) Now() Millis { return f.now - startUnix }

// Member returns the member of an index.
func (f *Fleet) Member(i int) *Member { return f.members[i] }

// Start starts a member, or restarts it without the state of its earlier run. It returns an error if the settings are
// invalid.
func (f *Fleet) Start(i int) error {
	member := f.members[i]
	set := membership.Settings{
		Name:             member.Name,
		Address:          address(i),
		Run:              membership.RunID(i + 1 + member.Starts*f.settings.Members),
		Start:            f.now,
		RandomSeed:       f.settings.RandomSeed<<20 + uint64(i) + uint64(member.Starts)<<40,
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

// Leave makes a member announce its shutdown and ends it.
func (f *Fleet) Leave(i int) {
	f.execute(i, f.members[i].Detector.Leave(f.now))
	f.Kill(i)
}

// Stall pauses a member until Resume. Packets to it are queued.
func (f *Fleet) Stall(i int) { f.members[i].Stalled = true }

// Resume ends a stall: the member receives the queued packets.
func (f *Fleet) Resume(i int) {
	m := f.members[i]
	m.Stalled = false
	for _, p := range m.pending {
		f.execute(i, m.Detector.Receive(f.now, p))
	}
	m.pending = nil
	f.scheduleWake(i, f.now)
}

// SetCut cuts the link from one member to another in this direction, or restores it.
func (f *Fleet) SetCut(from, to int, on bool) {
	if on {
		f.cuts[[2]int{from, to}] = true
	} else {
		delete(f.cuts, [2]int{from, to})
	}
}

// SetLoss sets the probability that a packet is lost, 0 to 1.
func (f *Fleet) SetLoss(share float64) { f.settings.Loss = share }

// Run advances the simulated time by a span and handles all events of that span.
func (f *Fleet) Run(span Millis) {
	end := f.now + span
	for next, due := f.queue.popUntil(end); due; next, due = f.queue.popUntil(end) {
		f.now = max(f.now, next.due)
		f.deliver(next)
	}
	f.now = end
}

// deliver passes a packet or a wake-up to its member.
func (f *Fleet) deliver(next event) {
	m := f.members[next.member]
	switch {
	case !m.Running: // the event is discarded
	case m.Stalled && next.packet != nil:
		m.pending = append(m.pending, next.packet)
	case m.Stalled:
		m.nextWake = 0 // Resume schedules the next wake-up
	case next.packet != nil:
		f.execute(next.member, m.Detector.Receive(f.now, next.packet))
	case next.due == m.nextWake:
		m.nextWake = 0
		f.execute(next.member, m.Detector.Tick(f.now))
	}
}

// execute sends the packets and reports the changes in the output of a member's detector.
func (f *Fleet) execute(i int, out membership.Output) {
	for _, s := range out.Sends {
		f.send(i, s)
	}
	if f.OnChange != nil {
		for _, c := range out.Changes {
			subject := f.members[f.byAddress[c.Address]]
			f.OnChange(Observation{Observer: i, Change: c, SubjectRunning: subject.Running})
		}
	}
	f.scheduleWake(i, f.members[i].Detector.Next())
}

// send schedules the arrival of a packet unless it is lost. The packet is encoded and decoded as on a real network.
func (f *Fleet) send(from int, s membership.Send) {
	raw, err := f.settings.Codec.Encode(&s.Packet)
	if err != nil {
		panic(err) // the codec is at fault: each packet of the detector can be encoded
	}
	f.PacketsSent++
	f.BytesSent += len(raw)
	to, known := f.byAddress[s.To]
	if !known || f.cuts[[2]int{from, to}] || f.settings.Loss > 0 && f.random.Float64() < f.settings.Loss {
		f.Lost++
		return
	}
	packet, err := f.settings.Codec.Decode(raw)
	if err != nil {
		panic(err)
	}
	f.queue.push(event{due: f.now + f.settings.Delay*(0.1+0.9*f.random.Float64()), member: to, packet: packet})
}

// scheduleWake schedules a wake-up of a member unless an earlier one is scheduled.
func (f *Fleet) scheduleWake(i int, at Millis) {
	m := f.members[i]
	at = max(at, f.now)
	if m.nextWake == 0 || at < m.nextWake {
		m.nextWake = at
		f.queue.push(event{due: at, member: i})
	}
}

// CheckAgreement returns an error about the first running member whose view is wrong: a running member is not Alive in
// it, or a stopped member is Alive or Suspect.
func (f *Fleet) CheckAgreement() error {
	for i, m := range f.members {
		if !m.Running {
			continue
		}
		for j, other := range f.members {
			state, _, known := m.Detector.StateOf(other.Name)
			switch {
			case other.Running && (!known || state != membership.Alive):
				return fmt.Errorf("view of %s: %s is running, got %v (known %v), want %v",
					m.Name, other.Name, state, known, membership.Alive)
			case !other.Running && known && state <= membership.Suspect:
				return fmt.Errorf("view of %s: %s is not running, got %v, want %v or %v",
					f.members[i].Name, f.members[j].Name, state, membership.Dead, membership.Left)
			}
		}
	}
	return nil
}
