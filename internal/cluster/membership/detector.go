package membership

import (
	"math"

	"ottershed/internal/stats"
)

// phase is the state of a detector's life cycle.
//
//	from     to          on
//	created  running     the first call of Tick, Receive or Leave (start)
//	running  leaving     Leave
//	running  superseded  a newer process of this name at another address (handleSelfUpdate); no packets are sent then
type phase int

const (
	created phase = iota
	running
	leaving
	superseded
)

// Detector holds one member's view of all members and runs the protocol that keeps it current. It must be used by one
// goroutine at a time.
type Detector struct {
	settings     Settings
	timing       timing
	random       stats.Random
	now          Millis // Unix time; never decreases
	phase        phase
	supersededBy string // address of a newer process of this name; empty if none
	self         Update // this member's own state
	awareness    awareness

	table      *table
	rejected   int    // updates about unknown members that were rejected because the table was full
	suspects   []Name // members under suspicion
	nextSweep  Millis // Unix time at which Detector.sweep is due
	probing    prober
	broadcasts broadcastQueue
	sync       antiEntropy
	output     Output
}

// New returns a detector. The settings must have passed Settings.Check.
func New(set Settings) *Detector {
	detector := &Detector{
		settings: set,
		timing:   deriveTiming(&set),
		random:   stats.Random{Seed: set.RandomSeed},
		table:    newTable(set.Initial),
	}
	detector.self = Update{
		Name: set.Name, Address: set.Address, State: Alive, Run: set.Run,
		Incarnation: Incarnation(max(1, set.Start)),
	}
	if m := detector.table.writable(set.Name); m != nil {
		detector.self.Incarnation = max(detector.self.Incarnation, m.Incarnation)
		detector.table.set(m, detector.self)
	} else {
		detector.table.add(detector.self)
	}
	detector.broadcasts.transmitLimit = math.MaxInt
	return detector
}

// Next returns the time by which Tick must be called, in Unix milliseconds.
func (d *Detector) Next() Millis {
	if d.phase == created || d.phase == superseded {
		return d.now + d.timing.period
	}
	next := min(d.probing.nextDue(), d.sync.nextSync, d.nextSweep)
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

// Tick advances the detector to a time, in Unix milliseconds, and performs the actions that are due.
func (d *Detector) Tick(now Millis) Output {
	d.resetOutput()
	d.advance(now)
	return d.output
}

// Receive advances the detector to a time, in Unix milliseconds, and handles a packet that has passed Packet.Check.
func (d *Detector) Receive(now Millis, p *Packet) Output {
	d.resetOutput()
	// The time is advanced first. Otherwise packets that were queued during a pause of this process would be handled
	// before the pause is detected.
	d.advance(now)
	if d.phase != superseded {
		d.receive(p)
	}
	return d.output
}

// Leave announces the shutdown of this member to other members. Only the first call, on a running detector, has this
// effect. Later calls of Tick disseminate the announcement further.
func (d *Detector) Leave(now Millis) Output {
	d.resetOutput()
	d.advance(now)
	if d.phase != running {
		return d.output
	}
	d.phase = leaving
	d.announce(Left)
	// A member that leaves may exit before the next gossip round. It sends at once what it would send in a probe period.
	for _, m := range d.sample(2*indirectProbes+gossipFanout, isPresent) {
		d.send(m, Packet{Kind: Gossip})
	}
	return d.output
}

// resetOutput discards the output of the previous call.
func (d *Detector) resetOutput() {
	d.output.Sends = d.output.Sends[:0]
	d.output.Changes = d.output.Changes[:0]
}

// advance sets the time and performs the actions that are due, in a fixed order. If now is earlier than the time of the
// previous call, the time stays unchanged.
func (d *Detector) advance(now Millis) {
	now = max(now, d.now)
	if d.phase == created {
		d.start(now)
	}
	if due := d.Next(); d.phase != superseded && now-due > d.timing.period {
		d.handlePause(now - due)
	}
	d.now = now
	if d.phase == superseded {
		return
	}
	d.checkProbes()
	d.checkRelays()
	d.checkSuspicions()
	if now >= d.probing.nextProbe {
		d.probing.nextProbe = now + d.timing.period*d.awareness.timeoutFactor()
		d.sync.packetsLeft = maxSyncPackets
		d.probeNext()
	}
	if now >= d.sync.nextSync {
		d.startSync()
	}
	if now >= d.broadcasts.nextGossip && d.broadcasts.size > 0 {
		d.broadcasts.nextGossip = now + d.timing.gossipInterval
		d.sendGossip()
	}
	if now >= d.nextSweep {
		d.nextSweep = now + d.timing.syncInterval
		d.sweep()
	}
	// While the queue is empty, no round updates nextGossip. If it stayed in the past, the next queued update would be
	// overdue at once, which handlePause would take for a pause of this process.
	d.broadcasts.nextGossip = max(d.broadcasts.nextGossip, now)
}

// start schedules the first actions. The times are random, because members that start together would otherwise send all
// their probes at the same times.
func (d *Detector) start(now Millis) {
	d.phase = running
	d.now = now
	d.sync.joined = d.settings.Initial != nil
	d.probing.nextProbe = now + d.timing.period*d.random.Float64()
	d.sync.nextSync = now
	if d.sync.joined {
		d.sync.nextSync = now + d.timing.syncInterval*d.random.Float64()
	}
	d.nextSweep = now + d.timing.syncInterval*(1+d.random.Float64())
	d.broadcasts.nextGossip = now
	d.sync.packetsLeft = maxSyncPackets
	d.updateTransmitLimit()
	d.emitChange(d.table.get(d.settings.Name), Dead, true)
}

// handlePause drops all probes and extends all suspicions after a pause of this process, which lasted stalledFor
// milliseconds. During the pause no packets were handled, so all other members seem to have been silent. Without
// handlePause, this process would find its probes failed and its suspicions timed out, and would declare healthy members
// dead at once.
func (d *Detector) handlePause(stalledFor Millis) {
	d.probing.probes = d.probing.probes[:0]
	d.probing.relays = d.probing.relays[:0]
	for _, name := range d.suspects {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			m.suspicion.startedAt += stalledFor
			m.suspicion.endsAt += stalledFor
			m.lastAliveAt = 0
		}
	}
	d.awareness.increase(1)
	d.probing.nextProbe = max(d.probing.nextProbe, d.now)
}

// sweep removes the members that died or left longer than deadRetention ago. If they were removed at once, a late
// update from before their death would add them again as alive. If they were never removed, the table would grow with
// each name that was ever used.
func (d *Detector) sweep() {
	for _, m := range d.table.overridden() {
		if m.State >= Dead && m.Name != d.settings.Name && d.now-m.stateSince >= d.timing.deadRetention {
			d.broadcasts.remove(m)
			d.table.remove(m)
		}
	}
	d.updateTransmitLimit()
}
