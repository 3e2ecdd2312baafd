package membership

import (
	"math"

	"ottershed/internal/stats"
)

const (
	relaysAsked  = 3   // others that are asked to ping one that does not answer
	mostHealth   = 8   // of a member's doubt in itself, see awareness.go
	mostProbes   = 16  // out at once: the regular one, and checks of those whom others accuse
	mostRelays   = 128 // pings for others that are out at once
	checkers     = 8   // members of a whole fleet that look for themselves at one whom others accuse
	gossipFanout = 2
	sendsFactor  = 4 // an update goes out so often, times the digits of the number of members
)

// Detector is one member's view of all, and what it does to keep that true. One goroutine owns it.
type Detector struct {
	set     Settings
	pace    pace
	chance  stats.Chance
	now     Millis
	self    Update
	table   *table
	queue   queue
	walk    walk
	suspect []Name // those suspected; the end of each suspicion empties it
	probes  []*probe
	relays  []relay
	seq     uint64
	health  health
	out     Output

	nextProbe, nextGossip, nextSync, nextSweep Millis

	started    bool
	joined     bool // somebody has answered
	leaving    bool
	superseded string // the address of a newer process of this name; empty: none
	refused    int    // members not taken in for want of room
	pages      int    // records that may still be sent to strangers' digests in this period
}

// probe is a ping that is out.
type probe struct {
	seq             uint64
	target          Name
	direct          Millis // without an answer by then others are asked
	until           Millis // and by then it has failed
	relays, nacks   int
	asked, answered bool
	again           bool // the second in a row
}

// relay is a ping that is out for another.
type relay struct {
	seq, theirs uint64
	to          string
	target      Name
	nack, until Millis
	nacked      bool
}

// New makes a detector; the settings are checked before.
func New(set Settings) *Detector {
	d := &Detector{set: set, pace: paceOf(&set), chance: stats.Chance{Seed: set.Chance}, table: newTable(set.Known)}
	d.self = Update{Name: set.Name, Address: set.Address, State: Alive, Run: set.Run,
		Incarnation: Incarnation(max(1, set.Start))}
	if m := d.table.write(set.Name); m != nil {
		d.self.Incarnation = max(d.self.Incarnation, m.Incarnation)
		d.table.set(m, d.self)
	} else {
		d.table.add(d.self)
	}
	d.queue.limit = math.MaxInt
	return d
}

// Next is when Tick is to be called at the latest.
func (d *Detector) Next() Millis {
	if !d.started || d.superseded != "" {
		return d.now + d.pace.period
	}
	next := min(d.nextProbe, d.nextSync, d.nextSweep)
	if d.queue.size > 0 {
		next = min(next, d.nextGossip)
	}
	for _, p := range d.probes {
		if !p.asked {
			next = min(next, p.direct)
		}
		next = min(next, p.until)
	}
	for _, r := range d.relays {
		if !r.nacked {
			next = min(next, r.nack)
		}
		next = min(next, r.until)
	}
	for _, name := range d.suspect {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			next = min(next, m.suspicion.ends)
			if m.suspicion.asked < mostAsks {
				next = min(next, m.suspicion.asks(&d.pace))
			}
		}
	}
	return next
}

// Tick does what is due.
func (d *Detector) Tick(now Millis) Output {
	d.begin()
	d.advance(now)
	return d.out
}

// Receive takes a packet that was checked by Packet.Check.
func (d *Detector) Receive(now Millis, p *Packet) Output {
	d.begin()
	d.advance(now) // Danger: after a pause the packets that waited would pass before the pause is noticed
	if d.superseded == "" {
		d.receive(p)
	}
	return d.out
}

// Leave says that this member goes; it is to be called once, and packets go on for a moment to spread it.
func (d *Detector) Leave(now Millis) Output {
	d.begin()
	d.advance(now)
	if d.superseded != "" || d.leaving {
		return d.out
	}
	d.leaving = true
	d.say(Left)
	// A member that leaves has no time for rounds: word goes to some at once, as much as it would in a period.
	for _, m := range d.some(2*relaysAsked+gossipFanout, func(m *member) bool { return m.State <= Suspect }) {
		d.send(m, Packet{Kind: Gossip})
	}
	return d.out
}

func (d *Detector) begin() { d.out.Sends, d.out.Changes = d.out.Sends[:0], d.out.Changes[:0] }

// advance brings the detector to the present.
func (d *Detector) advance(now Millis) {
	if now < d.now {
		now = d.now
	}
	if !d.started {
		d.start(now)
	}
	if due := d.Next(); d.superseded == "" && now-due > d.pace.period {
		d.woke(now - due)
	}
	if d.now = now; d.superseded != "" {
		return
	}
	d.probesDue()
	d.relaysDue()
	d.suspicionsDue()
	if now >= d.nextProbe {
		d.nextProbe = now + d.pace.period*d.health.factor()
		d.pages = mostPages
		d.probeNext()
	}
	if now >= d.nextSync {
		d.compare()
	}
	if now >= d.nextGossip && d.queue.size > 0 {
		d.nextGossip = now + d.pace.gossip
		d.gossip()
	}
	if now >= d.nextSweep {
		d.nextSweep = now + d.pace.sync
		d.sweep()
	}
	// Danger: with nothing to spread this stays behind, and the next thing to spread would look like a pause.
	d.nextGossip = max(d.nextGossip, now)
}

func (d *Detector) start(now Millis) {
	d.started, d.now = true, now
	d.joined = d.set.Known != nil
	// Danger: a fleet that starts at once would probe in step for good.
	d.nextProbe = now + d.pace.period*d.chance.Next()
	d.nextSync = now
	if d.joined {
		d.nextSync = now + d.pace.sync*d.chance.Next()
	}
	d.nextSweep = now + d.pace.sync*(1+d.chance.Next())
	d.nextGossip = now
	d.pages = mostPages
	d.resize()
	d.change(d.table.get(d.set.Name), Dead, true)
}

// woke notes that this member itself stood still for a while. Danger: by its clock all others were silent as long: it
// would find its probes unanswered and the suspicions that it held run out, and declare sound members dead at once.
func (d *Detector) woke(gap Millis) {
	d.probes, d.relays = d.probes[:0], d.relays[:0]
	for _, name := range d.suspect {
		if m := d.table.get(name); m != nil && m.suspicion != nil {
			m.suspicion.from += gap
			m.suspicion.ends += gap
			m.heard = 0
		}
	}
	d.health.worse(1)
	d.nextProbe = max(d.nextProbe, d.now)
}

// sweep forgets those who have died or left long ago. Danger: forgotten at once, late word of their lives would bring
// them back; and what is never forgotten grows with every name that ever was.
func (d *Detector) sweep() {
	for _, m := range d.table.changed() {
		if m.State >= Dead && m.Name != d.set.Name && d.now-m.since >= d.pace.forget {
			d.queue.drop(m)
			d.table.forget(m)
		}
	}
	d.resize()
}

// resize follows the number of members.
func (d *Detector) resize() {
	d.queue.limit = sendsFactor * int(math.Ceil(math.Log10(float64(d.table.present()+1))))
}

// receive takes a packet in: first what its sender says by being there, then its updates, then what it asks.
func (d *Detector) receive(p *Packet) {
	if p.From == d.set.Name {
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
		d.table.write(p.From).heard = d.now
	}
	if p.Kind != Records { // that is answered in kind
		d.correct(sender, p.Updates)
	}
	switch p.Kind {
	case Ping:
		// Danger: after a restart elsewhere an address may be another member's; its answer would prove nothing.
		if p.Target == d.set.Name {
			d.sendTo(p.Address, sender, Packet{Kind: Ack, Seq: p.Seq, Target: d.set.Name})
		}
	case PingReq:
		d.relay(p)
	case Ack:
		d.acked(p)
	case Nack:
		for _, probe := range d.probes {
			if probe.seq == p.Seq && probe.nacks < probe.relays {
				probe.nacks++
			}
		}
	case Digest:
		d.answerDigest(p, sender)
	case Records:
		d.answerRecords(p, sender)
	}
	// Danger: one who is held dead and speaks would go on in the belief that all is well. An ack has told it above.
	if sender = d.table.get(p.From); sender != nil && sender.State == Dead && p.Kind != Ping &&
		d.now-sender.told >= d.pace.period {
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
	room := packetBytes - p.size()
	if d.leaving {
		room -= d.self.size()
		p.Updates = append(p.Updates, d.self)
	}
	if m != nil && m.State > Alive && m.Name != d.set.Name {
		// What is held of the receiver goes first, so that it can deny it (Lifeguard's buddy system).
		room -= m.size()
		p.Updates = append(p.Updates, m.Update)
		if m.State == Dead {
			d.table.write(m.Name).told = d.now
		}
	}
	p.Updates = d.queue.take(p.Updates, room)
	d.out.Sends = append(d.out.Sends, Send{To: address, Packet: p})
}

// some draws members that fit, in the order of a walk.
func (d *Detector) some(n int, fit func(*member) bool) []*member {
	var out []*member
	w := d.newWalk()
	for m := w.next(d.table); m != nil && len(out) < n; m = w.next(d.table) {
		if m.Name != d.set.Name && fit(m) {
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
		w.at = int(d.chance.Next() * float64(n))
		for w.stride = 1 + int(d.chance.Next()*float64(n-1)); gcd(w.stride, n) != 1; {
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
		if m := t.at(w.at); m != nil {
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
