package membership

// receive handles a packet: first the sender's own state, then the updates, then the packet according to its kind. Of a
// packet that has this member's own name as sender, only the state is handled. A packet from a member that a full table
// rejects is not handled according to its kind.
func (d *Detector) receive(packet *Packet) {
	self := Update{
		Name: packet.From, Address: packet.Address, State: Alive, Incarnation: packet.Incarnation, Run: packet.Run,
	}
	if packet.From == d.settings.Name {
		d.handleSelfUpdate(self)
		return
	}
	d.sync.joined = true
	if !announcesLeave(packet) {
		d.applyUpdate(self, packet.From)
	}
	for i := range packet.Updates {
		d.applyUpdate(packet.Updates[i], packet.From)
	}
	if d.phase == superseded {
		return
	}
	sender := d.table.get(packet.From)
	if sender == nil { // the table was full
		return
	}
	if sender.State == Suspect && packet.Incarnation >= sender.Incarnation {
		d.table.writable(packet.From).lastAliveAt = d.now
	}
	if packet.Kind != Records { // handleRecords responds to Records with the records that differ
		d.sendRefutations(sender, packet.Updates)
	}
	d.dispatch(packet, sender)
	d.notifyDead(packet)
}

// dispatch calls the handler for a packet's kind. Gossip has no handler, for its updates are already applied.
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

// notifyDead sends the update about the sender to a sender that is dead in this member's view, at most once per period,
// so that the sender can refute it. A Ping needs no extra packet, for its Ack carries the update.
func (d *Detector) notifyDead(p *Packet) {
	sender := d.table.get(p.From)
	if sender == nil || sender.State != Dead || p.Kind == Ping {
		return
	}
	if d.now-sender.notifiedAt >= d.timing.period {
		d.send(sender, Packet{Kind: Gossip})
	}
}

// announcesLeave reports whether a packet carries its sender's announcement of shutdown.
func announcesLeave(p *Packet) bool {
	for i := range p.Updates {
		if p.Updates[i].Name == p.From && p.Updates[i].State == Left {
			return true
		}
	}
	return false
}
