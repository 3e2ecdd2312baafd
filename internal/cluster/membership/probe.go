package membership

import "slices"

const (
	indirectProbes = 3   // members that are asked to ping a member that does not respond
	maxProbes      = 16  // probes in flight: the periodic probe, and those started by accusations of other members
	maxRelays      = 128 // pings in flight on behalf of other members
)

// prober is the state of this member's own probes and of the pings that it relays.
type prober struct {
	nextProbe Millis // Unix time at which the next periodic probe is due
	order     walk   // the random order of the current round
	seq       uint64 // sequence number of the last ping
	probes    []*probe
	relays    []relay
}

// probe is the state of one probe of a member, from its first ping until it is acknowledged or has failed.
//
//	from      to        on
//	direct    acked     an Ack
//	direct    indirect  directDeadline
//	indirect  acked     an Ack from the target or a relay
//	indirect  failed    deadline
//	acked     -         removed by checkProbes
//	failed    -         removed by checkProbes; the target is probed again or suspected
type probe struct {
	seq            uint64
	target         Name
	directDeadline Millis // Unix time; without an Ack by then, other members are asked to ping the target
	deadline       Millis // Unix time; without an Ack by then, the probe has failed
	relays, nacks  int    // members that were asked to ping the target, and Nacks received from them
	indirectSent   bool   // other members were asked to ping the target
	acked          bool
	// suspectOnFailure is set for a probe that is not periodic: its failure leads to suspicion at once.
	suspectOnFailure bool
}

// relay is a ping in flight on behalf of another member, the origin.
type relay struct {
	seq       uint64 // sequence number of this member's ping
	originSeq uint64 // sequence number of the origin's ping
	origin    string // ip:port of the origin
	target    Name
	nackAt    Millis // Unix time; without an Ack by then, the origin is sent a Nack
	expiresAt Millis // Unix time at which the relay is removed
	nacked    bool
}

// nextDue returns when probeNext, checkProbes or checkRelays is due.
func (p *prober) nextDue() Millis {
	next := p.nextProbe
	for _, probe := range p.probes {
		if !probe.indirectSent {
			next = min(next, probe.directDeadline)
		}
		next = min(next, probe.deadline)
	}
	for _, r := range p.relays {
		if !r.nacked {
			next = min(next, r.nackAt)
		}
		next = min(next, r.expiresAt)
	}
	return next
}

// probeNext probes the next member of the round. A round probes each alive or suspected member once, in random order. It
// does nothing if there is no such member but this one.
func (d *Detector) probeNext() {
	for range 2 { // the rest of this round, then a new round
		for m := d.probing.order.next(d.table); m != nil; m = d.probing.order.next(d.table) {
			if m.Name != d.settings.Name && isPresent(m) {
				d.startProbe(m, false)
				return
			}
		}
		d.probing.order = d.newWalk()
	}
}

// startProbe sends a Ping to a member, unless maxProbes probes are in flight. The timeouts of the probe grow with
// awareness. suspectOnFailure tells whether a failure of the probe leads to suspicion at once, or first to a second
// probe.
func (d *Detector) startProbe(m *member, suspectOnFailure bool) {
	if len(d.probing.probes) >= maxProbes {
		return
	}
	d.probing.seq++
	factor := d.awareness.timeoutFactor()
	d.probing.probes = append(d.probing.probes, &probe{
		seq:              d.probing.seq,
		target:           m.Name,
		suspectOnFailure: suspectOnFailure,
		directDeadline:   d.now + d.timing.directTimeout*factor,
		deadline:         d.now + d.timing.period*factor,
	})
	d.send(m, Packet{Kind: Ping, Seq: d.probing.seq, Target: m.Name})
}

// checkProbes removes the probes that are acknowledged or have failed, handles the failed ones, and asks other members
// to ping the targets that have not responded to a direct ping.
func (d *Detector) checkProbes() {
	var failed []*probe
	d.probing.probes = slices.DeleteFunc(d.probing.probes, func(p *probe) bool {
		if !p.acked && d.now >= p.deadline {
			failed = append(failed, p)
			return true
		}
		return p.acked
	})
	for _, p := range d.probing.probes {
		if m := d.table.get(p.target); m != nil && !p.indirectSent && d.now >= p.directDeadline {
			d.probeIndirectly(p, m)
		}
	}
	for _, p := range failed {
		d.handleFailedProbe(p)
	}
}

// probeIndirectly repeats the direct ping, which may have been lost, and asks other members to ping the target.
func (d *Detector) probeIndirectly(p *probe, target *member) {
	p.indirectSent = true
	d.send(target, Packet{Kind: Ping, Seq: p.seq, Target: target.Name})
	relays := d.sample(indirectProbes, func(m *member) bool { return isAlive(m) && m.Name != p.target })
	for _, m := range relays {
		p.relays++
		d.send(m, Packet{Kind: PingReq, Seq: p.seq, Target: p.target, TargetAddress: target.Address})
	}
}

// handleFailedProbe probes the target once more, and suspects it after the second failure in a row. A single failure is
// not sufficient: under packet loss, one in several tens of probes fails, and each accusation and its refutation are
// sent to all members.
func (d *Detector) handleFailedProbe(p *probe) {
	// A member whose own machine is slow or partitioned would accuse all others in turn. Relays that send neither Ack nor
	// Nack are as silent as the target, which indicates that this member itself is at fault.
	if missing := p.relays - p.nacks; missing > 0 {
		d.awareness.increase(missing)
	} else if p.relays == 0 {
		d.awareness.increase(1)
	}
	m := d.table.get(p.target)
	switch {
	case m == nil: // removed from the table since the probe started
	case m.State == Alive && !p.suspectOnFailure:
		d.startProbe(m, true)
	default:
		d.suspectMember(m.Name, m.Incarnation, d.settings.Name)
	}
}

// handlePing responds to a Ping whose target is this member. After a restart at another address, a member's old address
// may belong to another member, whose response would prove nothing about the target.
func (d *Detector) handlePing(p *Packet, sender *member) {
	if p.Target == d.settings.Name {
		d.sendTo(p.Address, sender, Packet{Kind: Ack, Seq: p.Seq, Target: d.settings.Name})
	}
}

// handleAck ends a probe, or forwards the Ack to the member for which the ping was relayed. It ignores an Ack that
// matches neither.
func (d *Detector) handleAck(p *Packet) {
	for _, probe := range d.probing.probes {
		if probe.seq == p.Seq && probe.target == p.Target {
			probe.acked = true
			d.awareness.decrease()
			// A relayed Ack proves that the target is alive, too: a link that fails in one direction must not make the target
			// dead.
			if m := d.table.get(p.Target); m != nil && m.State == Suspect {
				d.table.writable(m.Name).lastAliveAt = d.now
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

// handleNack counts a relay that is running and got no response from the target either.
func (d *Detector) handleNack(p *Packet) {
	for _, probe := range d.probing.probes {
		if probe.seq == p.Seq && probe.nacks < probe.relays {
			probe.nacks++
		}
	}
}

// handlePingReq pings the target on behalf of the sender. It ignores the request while maxRelays relays are in flight,
// and when the target is this member itself.
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
		expiresAt: d.now + d.timing.period,
	})
	d.sendTo(p.TargetAddress, d.table.get(p.Target), Packet{Kind: Ping, Seq: d.probing.seq, Target: p.Target})
}

// checkRelays removes the relays that have expired, and sends a Nack for each relayed ping without a response.
func (d *Detector) checkRelays() {
	d.probing.relays = slices.DeleteFunc(d.probing.relays, func(r relay) bool { return d.now >= r.expiresAt })
	for i := range d.probing.relays {
		if r := &d.probing.relays[i]; !r.nacked && d.now >= r.nackAt {
			r.nacked = true
			d.sendTo(r.origin, nil, Packet{Kind: Nack, Seq: r.originSeq, Target: r.target})
		}
	}
}
