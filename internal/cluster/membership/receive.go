package membership

// receive handles a packet: first its sender's own state, then its updates, then the packet by its kind.
func (d *Detector) receive(packet *Packet) {
	self := Update{
		Name: packet.From, Address: packet.Address, State: Alive, Incarnation: packet.Incarnation, Run: packet.Run,
	}
	if packet.From == d.settings.Name {
		d.aboutSelf(self)
		return
	}
	d.sync.joined = true
	if !announcesLeave(packet) {
		d.apply(self, packet.From)
	}
	for i := range packet.Updates {
		d.apply(packet.Updates[i], packet.From)
	}
	if d.phase == superseded {
		return
	}
	sender := d.table.get(packet.From)
	if sender == nil { // the table was full
		return
	}
	if sender.State == Suspect && packet.Incarnation >= sender.Incarnation {
		d.table.write(packet.From).confirmedAt = d.now
	}
	if packet.Kind != Records { // handleRecords sends what the sender has missed
		d.correct(sender, packet.Updates)
	}
	d.dispatch(packet, sender)
	d.notifyDead(packet)
}

// dispatch calls the handler of a packet's kind. Gossip needs none: its updates are applied already.
func (d *Detector) dispatch(p *Packet, sender *member) {
	switch p.Kind {
	case Ping:
		d.handlePing(p, sender)
	case PingReq:
		d.handlePingReq(p)
	case Ack:
		d.handleAck(p)
	case Nack:
		d.handleNack(p)
	case Digest:
		d.handleDigest(p, sender)
	case Records:
		d.handleRecords(p, sender)
	}
}

// notifyDead tells a sender that is held dead here, so that it can refute it. A Ping needs no extra packet, for its Ack
// carries the update.
func (d *Detector) notifyDead(p *Packet) {
	sender := d.table.get(p.From)
	if sender == nil || sender.State != Dead || p.Kind == Ping {
		return
	}
	if d.now-sender.notifiedAt >= d.timing.period {
		d.send(sender, Packet{Kind: Gossip})
	}
}

// announcesLeave reports whether the sender of a packet says that it leaves.
func announcesLeave(p *Packet) bool {
	for i := range p.Updates {
		if p.Updates[i].Name == p.From && p.Updates[i].State == Left {
			return true
		}
	}
	return false
}
