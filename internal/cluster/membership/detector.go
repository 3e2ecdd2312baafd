package membership

import (
	"math"
	"ottershed/internal/stats"
)

const (
	indirectProbes   = 3   // others that are asked to ping one that does not answer
	maxAwareness     = 8   // of a member's doubt in itself, see awareness.go
	maxProbes        = 16  // out at once: the regular one, and checks of those whom others accuse
	maxRelays        = 128 // pings for others that are out at once
	confirmingProbes = 8   // members of a whole fleet that look for themselves at one whom others accuse
	gossipFanout     = 2
	retransmitFactor = 4 // an update goes out so often, times the digits of the number of members
)

// Detector is one member's view of all, and what it does to keep that true. One goroutine owns it.
type Detector struct {
	settings   Settings
	timing     timing
	random     stats.Random
	now        Millis
	self       Update
	table      *table
	broadcasts broadcastQueue
	walk       walk
	suspects   []Name // those suspected; the end of each suspicion empties it
	probes     []*probe
	relays     []relay
	seq        uint64
	awareness  awareness
	output     Output

	nextProbe, nextGossip, nextSync, nextSweep Millis

	started         bool
	joined          bool // somebody has answered
	leaving         bool
	superseded      string // the address of a newer process of this name; empty: none
	rejected        int    // members not taken in for want of room
	syncPacketsLeft int    // records that may still be sent to strangers' digests in this period
}

// probe is a ping that is out.
type probe struct {
	seq             uint64
	target          Name
	directUntil     Millis // without an answer by then others are asked
	until           Millis // and by then it has failed
	relays, nacks   int
	indirect, acked bool
	retry           bool // the second in a row
}

// relay is a ping that is out for another.
type relay struct {
	seq, originSeq uint64
	origin         string
	target         Name
	nackAt, until  Millis
	nacked         bool
}

// New makes a detector; the settings are checked before.
func New(set Settings) *Detector {
	d := &Detector{settings: set, timing: timingOf(&set), random: stats.Random{Seed: set.RandomSeed}, table: newTable(set.Initial)}
	d.self = Update{
		Name: set.Name, Address: set.Address, State: Alive, Run: set.Run,
		Incarnation: Incarnation(max(1, set.Start)),
	}
	if m := d.table.write(set.Name); m != nil {
		d.self.Incarnation = max(d.self.Incarnation, m.Incarnation)
		d.table.set(m, d.self)
	} else {
		d.table.add(d.self)
	}
	d.broadcasts.transmitLimit = math.MaxInt
	return d
}

// Next is when Tick is to be called at the latest.
func (d *Detector) Next() Millis {
	if !d.started || d.superseded != "" {
		return d.now + d.timing.period
	}
	next := min(d.nextProbe, d.nextSync, d.nextSweep)
	if d.broadcasts.size > 0 {
		next = min(next, d.nextGossip)
	}
	for _, p := range d.probes {
		if !p.indirect {
			next = min(next, p.directUntil)
		}
		next = min(next, p.until)
	}
	for _, r := range d.relays {
		if !r.nacked {
			next = min(next, r.nackAt)
		}
		next = min(next, r.until)
	}
	for _, name := range d.suspects {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			next = min(next, m.suspicion.endsAt)
			if m.suspicion.finalChecks < maxFinalChecks {
				next = min(next, m.suspicion.nextFinalCheck(&d.timing))
			}
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

// Receive takes a packet that was checked by Packet.Check.
func (d *Detector) Receive(now Millis, p *Packet) Output {
	d.resetOutput()
	d.advance(now) // Danger: after a pause the packets that waited would pass before the pause is noticed
	if d.superseded == "" {
		d.receive(p)
	}
	return d.output
}

// Leave says that this member goes; it is to be called once, and packets go on for a moment to spread it.
func (d *Detector) Leave(now Millis) Output {
	d.resetOutput()
	d.advance(now)
	if d.superseded != "" || d.leaving {
		return d.output
	}
	d.leaving = true
	d.announce(Left)
	// A member that leaves has no time for rounds: word goes to some at once, as much as it would in a period.
	for _, m := range d.sample(2*indirectProbes+gossipFanout, func(m *member) bool { return m.State <= Suspect }) {
		d.send(m, Packet{Kind: Gossip})
	}
	return d.output
}

func (d *Detector) resetOutput() {
	d.output.Sends, d.output.Changes = d.output.Sends[:0], d.output.Changes[:0]
}

// advance brings the detector to the present.
func (d *Detector) advance(now Millis) {
	if now < d.now {
		now = d.now
	}
	if !d.started {
		d.start(now)
	}
	if due := d.Next(); d.superseded == "" && now-due > d.timing.period {
		d.resumed(now - due)
	}
	if d.now = now; d.superseded != "" {
		return
	}
	d.probesDue()
	d.relaysDue()
	d.suspicionsDue()
	if now >= d.nextProbe {
		d.nextProbe = now + d.timing.period*d.awareness.factor()
		d.syncPacketsLeft = maxSyncPackets
		d.probeNext()
	}
	if now >= d.nextSync {
		d.sync()
	}
	if now >= d.nextGossip && d.broadcasts.size > 0 {
		d.nextGossip = now + d.timing.gossipInterval
		d.gossip()
	}
	if now >= d.nextSweep {
		d.nextSweep = now + d.timing.syncInterval
		d.sweep()
	}
	// Danger: with nothing to spread this stays behind, and the next thing to spread would look like a pause.
	d.nextGossip = max(d.nextGossip, now)
}

func (d *Detector) start(now Millis) {
	d.started, d.now = true, now
	d.joined = d.settings.Initial != nil
	// Danger: a fleet that starts at once would probe in step for good.
	d.nextProbe = now + d.timing.period*d.random.Next()
	d.nextSync = now
	if d.joined {
		d.nextSync = now + d.timing.syncInterval*d.random.Next()
	}
	d.nextSweep = now + d.timing.syncInterval*(1+d.random.Next())
	d.nextGossip = now
	d.syncPacketsLeft = maxSyncPackets
	d.resize()
	d.emitChange(d.table.get(d.settings.Name), Dead, true)
}

// woke notes that this member itself stood still for a while. Danger: by its clock all others were silent as long: it
// would find its probes unanswered and the suspicions that it held run out, and declare sound members dead at once.
func (d *Detector) resumed(stalledFor Millis) {
	d.probes, d.relays = d.probes[:0], d.relays[:0]
	for _, name := range d.suspects {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			m.suspicion.startedAt += stalledFor
			m.suspicion.endsAt += stalledFor
			m.confirmedAt = 0
		}
	}
	d.awareness.worse(1)
	d.nextProbe = max(d.nextProbe, d.now)
}

// sweep forgets those who have died or left long ago. Danger: forgotten at once, late word of their lives would bring
// them back; and what is never forgotten grows with every name that ever was.
func (d *Detector) sweep() {
	for _, m := range d.table.changed() {
		if m.State >= Dead && m.Name != d.settings.Name && d.now-m.since >= d.timing.forgetAfter {
			d.broadcasts.drop(m)
			d.table.forget(m)
		}
	}
	d.resize()
}

// resize follows the number of members.
func (d *Detector) resize() {
	d.broadcasts.transmitLimit = retransmitFactor * int(math.Ceil(math.Log10(float64(d.table.present()+1))))
}

// receive takes a packet in: first what its sender says by being there, then its updates, then what it asks.
func (d *Detector) receive(p *Packet) {
	if p.From == d.settings.Name {
		d.aboutSelf(Update{Name: p.From, Address: p.Address, State: Alive, Incarnation: p.Incarnation, Run: p.Run})
		return
	}
	d.joined = true
	from := Update{Name: p.From, Address: p.Address, State: Alive, Incarnation: p.Incarnation, Run: p.Run}
	if !d.says(p, Left) {
		d.apply(from, p.From)
	}
	for i := range p.Updates {
		d.apply(p.Updates[i], p.From)
	}
	if d.superseded != "" {
		return
	}
	sender := d.table.get(p.From)
	if sender == nil { // there was no room for it
		return
	}
	if sender.State == Suspect && p.Incarnation >= sender.Incarnation {
		d.table.write(p.From).confirmedAt = d.now
	}
	if p.Kind != Records { // that is answered in kind
		d.correct(sender, p.Updates)
	}
	switch p.Kind {
	case Ping:
		// Danger: after a restart elsewhere an address may be another member's; its answer would prove nothing.
		if p.Target == d.settings.Name {
			d.sendTo(p.Address, sender, Packet{Kind: Ack, Seq: p.Seq, Target: d.settings.Name})
		}
	case PingReq:
		d.handlePingReq(p)
	case Ack:
		d.handleAck(p)
	case Nack:
		for _, probe := range d.probes {
			if probe.seq == p.Seq && probe.nacks < probe.relays {
				probe.nacks++
			}
		}
	case Digest:
		d.handleDigest(p, sender)
	case Records:
		d.handleRecords(p, sender)
	}
	// Danger: one who is held dead and speaks would go on in the belief that all is well. An ack has told it above.
	if sender = d.table.get(p.From); sender != nil && sender.State == Dead && p.Kind != Ping &&
		d.now-sender.notifiedAt >= d.timing.period {
		d.send(sender, Packet{Kind: Gossip})
	}
}

// says tells whether a packet's sender says of itself that it is in this state.
func (d *Detector) says(p *Packet, s State) bool {
	for i := range p.Updates {
		if p.Updates[i].Name == p.From && p.Updates[i].State == s {
			return true
		}
	}
	return false
}

// send sends to a member, with what fits of the updates that are to spread.
func (d *Detector) send(m *member, p Packet) { d.sendTo(m.Address, m, p) }

// sendTo sends to an address at which a member is thought to hear; m may be nil.
func (d *Detector) sendTo(address string, m *member, p Packet) {
	p.From, p.Address, p.Incarnation, p.Run = d.self.Name, d.self.Address, d.self.Incarnation, d.self.Run
	remaining := maxPacketBytes - p.size()
	if d.leaving {
		remaining -= d.self.size()
		p.Updates = append(p.Updates, d.self)
	}
	if m != nil && m.State > Alive && m.Name != d.settings.Name {
		// What is held of the receiver goes first, so that it can deny it (Lifeguard's buddy system).
		remaining -= m.size()
		p.Updates = append(p.Updates, m.Update)
		if m.State == Dead {
			d.table.write(m.Name).notifiedAt = d.now
		}
	}
	p.Updates = d.broadcasts.appendTo(p.Updates, remaining)
	d.output.Sends = append(d.output.Sends, Send{To: address, Packet: p})
}

// some draws members that fit, in the order of a walk.
func (d *Detector) sample(n int, fit func(*member) bool) []*member {
	var out []*member
	w := d.newWalk()
	for m := w.next(d.table); m != nil && len(out) < n; m = w.next(d.table) {
		if m.Name != d.settings.Name && fit(m) {
			out = append(out, m)
		}
	}
	return out
}

// walk goes through all places of the table once, by a drawn start and a drawn stride that has no divisor in common
// with their number: an order for each round that takes no memory.
type walk struct{ at, stride, slots, left int }

func (d *Detector) newWalk() walk {
	n := d.table.slots()
	w := walk{slots: n, left: n}
	if n > 1 {
		w.at = int(d.random.Next() * float64(n))
		for w.stride = 1 + int(d.random.Next()*float64(n-1)); gcd(w.stride, n) != 1; {
			w.stride = w.stride%(n-1) + 1
		}
	}
	return w
}

// next is the next member; nil at the end.
func (w *walk) next(t *table) *member {
	for w.left > 0 && w.slots == t.slots() {
		w.left--
		w.at = (w.at + w.stride) % w.slots
		if m := t.memberAt(w.at); m != nil {
			return m
		}
	}
	return nil
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
