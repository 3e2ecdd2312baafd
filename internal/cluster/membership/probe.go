package membership

import "slices"

// probeNext probes the next member in turn: a round meets each of them once.
func (d *Detector) probeNext() {
	for range 2 {
		for m := d.walk.next(d.table); m != nil; m = d.walk.next(d.table) {
			if m.Name != d.settings.Name && m.State <= Suspect {
				d.ping(m, false)
				return
			}
		}
		d.walk = d.newWalk()
	}
}

// ping sends a probe. A member that doubts itself waits longer.
func (d *Detector) ping(m *member, again bool) {
	if len(d.probes) >= maxProbes {
		return
	}
	d.seq++
	f := d.awareness.factor()
	d.probes = append(d.probes, &probe{
		seq: d.seq, target: m.Name, retry: again, directUntil: d.now + d.timing.directTimeout*f,
		until: d.now + d.timing.period*f,
	})
	d.send(m, Packet{Kind: Ping, Seq: d.seq, Target: m.Name})
}

// probesDue asks others where a ping has no answer, and accuses where they got none either.
func (d *Detector) probesDue() {
	var failed []*probe
	d.probes = slices.DeleteFunc(d.probes, func(p *probe) bool {
		over := p.acked || d.now >= p.until
		if over && !p.acked {
			failed = append(failed, p)
		}
		return over
	})
	for _, p := range d.probes {
		if m := d.table.get(p.target); m != nil && !p.indirect && d.now >= p.directUntil {
			p.indirect = true
			d.send(m, Packet{Kind: Ping, Seq: p.seq, Target: m.Name}) // the first may be lost
			for _, other := range d.sample(indirectProbes, func(o *member) bool { return o.State == Alive && o.Name != p.target }) {
				p.relays++
				d.send(other, Packet{Kind: PingReq, Seq: p.seq, Target: p.target, TargetAddress: m.Address})
			}
		}
	}
	for _, p := range failed {
		// Danger: a member whose own machine is slow or cut off would accuse all others in turn. Those who were asked and
		// did not even say that they got no answer are as silent to it as the one probed: that is a sign against itself.
		if missing := p.relays - p.nacks; missing > 0 {
			d.awareness.worse(missing)
		} else if p.relays == 0 {
			d.awareness.worse(1)
		}
		m := d.table.get(p.target)
		switch {
		case m == nil:
		case m.State == Alive && !p.retry:
			// Danger: where packets get lost, one probe in some tens fails, and each accusation goes to the whole fleet: a
			// thousand members at a loss of a fifth would fill the network with denials. So the second failure counts.
			d.ping(m, true)
		default:
			d.suspectMember(m.Name, m.Incarnation, d.settings.Name)
		}
	}
}

// acked takes the answer to a probe, or hands it on to the one it was for.
func (d *Detector) handleAck(p *Packet) {
	for _, probe := range d.probes {
		if probe.seq == p.Seq && probe.target == p.Target {
			probe.acked = true
			d.awareness.better()
			// Word of a third that it hears the suspect counts, too: a cut in one direction is not its death.
			if m := d.table.get(p.Target); m != nil && m.State == Suspect {
				d.table.write(m.Name).confirmedAt = d.now
			}
			return
		}
	}
	for i, r := range d.relays {
		if r.seq == p.Seq && r.target == p.Target && p.From == r.target {
			d.relays = slices.Delete(d.relays, i, i+1)
			d.sendTo(r.origin, nil, Packet{Kind: Ack, Seq: r.originSeq, Target: r.target})
			return
		}
	}
}

// relay pings for another.
func (d *Detector) handlePingReq(p *Packet) {
	if len(d.relays) >= maxRelays || p.Target == d.settings.Name {
		return
	}
	d.seq++
	d.relays = append(d.relays, relay{
		seq: d.seq, originSeq: p.Seq, origin: p.Address, target: p.Target,
		nackAt: d.now + d.timing.directTimeout, until: d.now + d.timing.period,
	})
	d.sendTo(p.TargetAddress, d.table.get(p.Target), Packet{Kind: Ping, Seq: d.seq, Target: p.Target})
}

// relaysDue says that the one asked for did not answer.
func (d *Detector) relaysDue() {
	d.relays = slices.DeleteFunc(d.relays, func(r relay) bool { return d.now >= r.until })
	for i := range d.relays {
		if r := &d.relays[i]; !r.nacked && d.now >= r.nackAt {
			r.nacked = true
			d.sendTo(r.origin, nil, Packet{Kind: Nack, Seq: r.originSeq, Target: r.target})
		}
	}
}

// health is a member's doubt in itself (Lifeguard's local health awareness): 0 for none. It stretches the member's own
// probing, so that one that is slow does not accuse the healthy.
type awareness int

func (a *awareness) worse(by int)   { *a = min(maxAwareness, *a+awareness(by)) }
func (a *awareness) better()        { *a = max(0, *a-1) }
func (a awareness) factor() float64 { return 1 + float64(a) }
