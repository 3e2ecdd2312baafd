package membership

import "slices"

const (
	indirectProbes = 3   // members that are asked to ping one that does not respond
	maxProbes      = 16  // probes in flight: the periodic one, and those on others' accusations
	maxRelays      = 128 // pings in flight on behalf of others
)

// prober is the state of this member's own probes and of those that it relays.
type prober struct {
	next   Millis // when the next periodic probe is due
	order  walk   // the random order of the present round
	seq    uint64 // of the last ping
	probes []*probe
	relays []relay
}

// probe is a probe in flight.
//
//	state      leaves it on
//	direct     an Ack: acked; directUntil: indirect
//	indirect   an Ack from the target or a relay: acked; until: failed
//	acked      removed by probesDue
//	failed     removed by probesDue: probed again, or the target is suspected
type probe struct {
	seq           uint64
	target        Name
	directUntil   Millis // when others are asked
	until         Millis // when it has failed
	relays, nacks int    // members that were asked, and that reported no response
	indirect      bool
	acked         bool
	retry         bool // the second in a row
}

// relay is a ping in flight on behalf of another member.
type relay struct {
	seq       uint64 // of this member's ping
	originSeq uint64 // of the origin's ping
	origin    string // the origin's address
	target    Name
	nackAt    Millis
	until     Millis // when it is dropped
	nacked    bool
}

// nextDue is when probeNext, probesDue or relaysDue has something to do.
func (p *prober) nextDue() Millis {
	next := p.next
	for _, probe := range p.probes {
		if !probe.indirect {
			next = min(next, probe.directUntil)
		}
		next = min(next, probe.until)
	}
	for _, r := range p.relays {
		if !r.nacked {
			next = min(next, r.nackAt)
		}
		next = min(next, r.until)
	}
	return next
}

// probeNext probes the next member of the round; a round probes each member once.
func (d *Detector) probeNext() {
	for range 2 { // what is left of this round, then a new one
		for m := d.probing.order.next(d.table); m != nil; m = d.probing.order.next(d.table) {
			if m.Name != d.settings.Name && isPresent(m) {
				d.ping(m, false)
				return
			}
		}
		d.probing.order = d.newWalk()
	}
}

// ping starts a probe. Its timeouts grow with awareness.
func (d *Detector) ping(m *member, retry bool) {
	if len(d.probing.probes) >= maxProbes {
		return
	}
	d.probing.seq++
	factor := d.awareness.factor()
	d.probing.probes = append(d.probing.probes, &probe{
		seq:         d.probing.seq,
		target:      m.Name,
		retry:       retry,
		directUntil: d.now + d.timing.directTimeout*factor,
		until:       d.now + d.timing.period*factor,
	})
	d.send(m, Packet{Kind: Ping, Seq: d.probing.seq, Target: m.Name})
}

// probesDue asks others to ping the members that do not respond, and handles the probes that have failed.
func (d *Detector) probesDue() {
	var failed []*probe
	d.probing.probes = slices.DeleteFunc(d.probing.probes, func(p *probe) bool {
		if !p.acked && d.now >= p.until {
			failed = append(failed, p)
			return true
		}
		return p.acked
	})
	for _, p := range d.probing.probes {
		if m := d.table.get(p.target); m != nil && !p.indirect && d.now >= p.directUntil {
			d.probeIndirectly(p, m)
		}
	}
	for _, p := range failed {
		d.probeFailed(p)
	}
}

// probeIndirectly repeats the ping, which may have been lost, and asks other members to ping.
func (d *Detector) probeIndirectly(p *probe, target *member) {
	p.indirect = true
	d.send(target, Packet{Kind: Ping, Seq: p.seq, Target: target.Name})
	relays := d.sample(indirectProbes, func(m *member) bool { return isAlive(m) && m.Name != p.target })
	for _, m := range relays {
		p.relays++
		d.send(m, Packet{Kind: PingReq, Seq: p.seq, Target: p.target, TargetAddress: target.Address})
	}
}

// probeFailed probes the target once more, and accuses it after the second failure in a row. A single failure is not
// enough: where packets are lost, one probe in some tens fails, and each accusation and refutation goes to all members.
func (d *Detector) probeFailed(p *probe) {
	// A member whose own machine is slow or cut off would accuse all others in turn. Relays that do not even send a Nack
	// are as silent to it as the target: that is evidence against this member itself.
	if missing := p.relays - p.nacks; missing > 0 {
		d.awareness.worse(missing)
	} else if p.relays == 0 {
		d.awareness.worse(1)
	}
	m := d.table.get(p.target)
	switch {
	case m == nil: // forgotten since
	case m.State == Alive && !p.retry:
		d.ping(m, true)
	default:
		d.suspectMember(m.Name, m.Incarnation, d.settings.Name)
	}
}

// handlePing responds if this member is meant: after a restart elsewhere an address may be another member's, whose
// response would prove nothing.
func (d *Detector) handlePing(p *Packet, sender *member) {
	if p.Target == d.settings.Name {
		d.sendTo(p.Address, sender, Packet{Kind: Ack, Seq: p.Seq, Target: d.settings.Name})
	}
}

// handleAck ends a probe, or passes the Ack on to the member that the ping was relayed for.
func (d *Detector) handleAck(p *Packet) {
	for _, probe := range d.probing.probes {
		if probe.seq == p.Seq && probe.target == p.Target {
			probe.acked = true
			d.awareness.better()
			// A relayed Ack is a sign of life as well: a cut in one direction is no death.
			if m := d.table.get(p.Target); m != nil && m.State == Suspect {
				d.table.write(m.Name).confirmedAt = d.now
			}
			return
		}
	}
	for i, r := range d.probing.relays {
		if r.seq == p.Seq && r.target == p.Target && p.From == r.target {
			d.probing.relays = slices.Delete(d.probing.relays, i, i+1)
			d.sendTo(r.origin, nil, Packet{Kind: Ack, Seq: r.originSeq, Target: r.target})
			return
		}
	}
}

// handleNack counts a relay that is running and got no response either.
func (d *Detector) handleNack(p *Packet) {
	for _, probe := range d.probing.probes {
		if probe.seq == p.Seq && probe.nacks < probe.relays {
			probe.nacks++
		}
	}
}

// handlePingReq pings on behalf of the sender.
func (d *Detector) handlePingReq(p *Packet) {
	if len(d.probing.relays) >= maxRelays || p.Target == d.settings.Name {
		return
	}
	d.probing.seq++
	d.probing.relays = append(d.probing.relays, relay{
		seq:       d.probing.seq,
		originSeq: p.Seq,
		origin:    p.Address,
		target:    p.Target,
		nackAt:    d.now + d.timing.directTimeout,
		until:     d.now + d.timing.period,
	})
	d.sendTo(p.TargetAddress, d.table.get(p.Target), Packet{Kind: Ping, Seq: d.probing.seq, Target: p.Target})
}

// relaysDue sends a Nack for each relayed ping without a response.
func (d *Detector) relaysDue() {
	d.probing.relays = slices.DeleteFunc(d.probing.relays, func(r relay) bool { return d.now >= r.until })
	for i := range d.probing.relays {
		if r := &d.probing.relays[i]; !r.nacked && d.now >= r.nackAt {
			r.nacked = true
			d.sendTo(r.origin, nil, Packet{Kind: Nack, Seq: r.originSeq, Target: r.target})
		}
	}
}
