package membership

import (
	"math"

	"ottershed/internal/stats"
)

// phase is the life of a detector.
//
//	from     to          on
//	created  running     the first call of Tick, Receive or Leave (start)
//	running  leaving     Leave
//	running  superseded  a newer process of this name elsewhere (aboutSelf); nothing is sent any more
type phase int

const (
	created phase = iota
	running
	leaving
	superseded
)

// Detector is one member's view of all members, and the protocol that keeps it true. One goroutine owns it.
type Detector struct {
	settings     Settings
	timing       timing
	random       stats.Random
	now          Millis // Unix; never decreases
	phase        phase
	supersededBy string // the address of a newer process of this name; empty: none
	self         Update
	awareness    awareness

	table      *table
	rejected   int    // members not added because the table was full
	suspects   []Name // members under suspicion
	nextSweep  Millis // when members that died long ago are forgotten
	probing    prober
	broadcasts broadcastQueue
	sync       antiEntropy
	output     Output
}

// New makes a detector. The settings must have passed Settings.Check.
func New(set Settings) *Detector {
	detector := &Detector{
		settings: set,
		timing:   timingOf(&set),
		random:   stats.Random{Seed: set.RandomSeed},
		table:    newTable(set.Initial),
	}
	detector.self = Update{
		Name: set.Name, Address: set.Address, State: Alive, Run: set.Run,
		Incarnation: Incarnation(max(1, set.Start)),
	}
	if m := detector.table.write(set.Name); m != nil {
		detector.self.Incarnation = max(detector.self.Incarnation, m.Incarnation)
		detector.table.set(m, detector.self)
	} else {
		detector.table.add(detector.self)
	}
	detector.broadcasts.transmitLimit = math.MaxInt
	return detector
}

// Next is when Tick is to be called at the latest.
func (d *Detector) Next() Millis {
	if d.phase == created || d.phase == superseded {
		return d.now + d.timing.period
	}
	next := min(d.probing.nextDue(), d.sync.next, d.nextSweep)
	if d.broadcasts.size > 0 {
		next = min(next, d.broadcasts.nextGossip)
	}
	for _, name := range d.suspects {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			next = min(next, m.suspicion.nextDue(&d.timing))
		}
	}
	return next
}

// Tick does what is due.
func (d *Detector) Tick(now Millis) Output {
	d.resetOutput()
	d.advance(now)
	return d.output
}

// Receive handles a packet that has passed Packet.Check.
func (d *Detector) Receive(now Millis, p *Packet) Output {
	d.resetOutput()
	// Time goes first: after a pause of this process, the packets that waited must not be handled before the pause is
	// noticed.
	d.advance(now)
	if d.phase != superseded {
		d.receive(p)
	}
	return d.output
}

// Leave announces the shutdown of this member. Call it once, and keep calling Tick for a moment to disseminate it.
func (d *Detector) Leave(now Millis) Output {
	d.resetOutput()
	d.advance(now)
	if d.phase != running {
		return d.output
	}
	d.phase = leaving
	d.announce(Left)
	// A member that leaves has no time for gossip rounds: it sends at once what it would send in a period.
	for _, m := range d.sample(2*indirectProbes+gossipFanout, isPresent) {
		d.send(m, Packet{Kind: Gossip})
	}
	return d.output
}

func (d *Detector) resetOutput() {
	d.output.Sends = d.output.Sends[:0]
	d.output.Changes = d.output.Changes[:0]
}

// advance sets the time and does what is due, in a fixed order.
func (d *Detector) advance(now Millis) {
	now = max(now, d.now)
	if d.phase == created {
		d.start(now)
	}
	if due := d.Next(); d.phase != superseded && now-due > d.timing.period {
		d.resumed(now - due)
	}
	d.now = now
	if d.phase == superseded {
		return
	}
	d.probesDue()
	d.relaysDue()
	d.suspicionsDue()
	if now >= d.probing.next {
		d.probing.next = now + d.timing.period*d.awareness.factor()
		d.sync.packetsLeft = maxSyncPackets
		d.probeNext()
	}
	if now >= d.sync.next {
		d.startSync()
	}
	if now >= d.broadcasts.nextGossip && d.broadcasts.size > 0 {
		d.broadcasts.nextGossip = now + d.timing.gossipInterval
		d.gossip()
	}
	if now >= d.nextSweep {
		d.nextSweep = now + d.timing.syncInterval
		d.sweep()
	}
	// With an empty queue the time of the next round stays in the past, and the next update would look like a pause.
	d.broadcasts.nextGossip = max(d.broadcasts.nextGossip, now)
}

// start draws the first times at random: members that start together would otherwise probe in step from then on.
func (d *Detector) start(now Millis) {
	d.phase = running
	d.now = now
	d.sync.joined = d.settings.Initial != nil
	d.probing.next = now + d.timing.period*d.random.Next()
	d.sync.next = now
	if d.sync.joined {
		d.sync.next = now + d.timing.syncInterval*d.random.Next()
	}
	d.nextSweep = now + d.timing.syncInterval*(1+d.random.Next())
	d.broadcasts.nextGossip = now
	d.sync.packetsLeft = maxSyncPackets
	d.resize()
	d.emitChange(d.table.get(d.settings.Name), Dead, true)
}

// resumed handles a pause of this process. All others seem silent for as long: without it, the process would find its
// probes failed and its suspicions timed out, and declare healthy members dead at once.
func (d *Detector) resumed(stalledFor Millis) {
	d.probing.probes = d.probing.probes[:0]
	d.probing.relays = d.probing.relays[:0]
	for _, name := range d.suspects {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			m.suspicion.startedAt += stalledFor
			m.suspicion.endsAt += stalledFor
			m.confirmedAt = 0
		}
	}
	d.awareness.worse(1)
	d.probing.next = max(d.probing.next, d.now)
}

// sweep forgets members that died or left long ago. Forgotten at once, a late update about their lives would bring them
// back; never forgotten, the table would grow with every name there ever was.
func (d *Detector) sweep() {
	for _, m := range d.table.changed() {
		if m.State >= Dead && m.Name != d.settings.Name && d.now-m.since >= d.timing.forgetAfter {
			d.broadcasts.drop(m)
			d.table.forget(m)
		}
	}
	d.resize()
}
