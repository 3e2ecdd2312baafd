package membership

import (
	"math"
	"slices"
)

const (
	gossipFanout     = 2    // members that a gossip round goes to
	retransmitFactor = 4    // transmits of an update, times the number of digits of the number of members
	maxPacketBytes   = 1200 // bytes of an encoded packet: every path carries them without fragmentation
)

// broadcastQueue holds the members whose newest update is still to be disseminated: each member once, so that the table
// bounds it. Updates that were transmitted least often go first.
type broadcastQueue struct {
	levels        [][]*member // by number of transmits; a member that has moved on leaves a stale entry
	size          int         // members queued
	transmitLimit int         // transmits of an update
	nextGossip    Millis      // when the next gossip round is due
}

// put queues a member's newest update with its count of transmits at zero.
func (q *broadcastQueue) put(m *member) {
	m.transmits = 0
	if !m.queued {
		m.queued = true
		q.size++
	}
	q.push(m)
}

func (q *broadcastQueue) push(m *member) {
	for len(q.levels) <= m.transmits {
		q.levels = append(q.levels, nil)
	}
	q.levels[m.transmits] = append(q.levels[m.transmits], m)
}

// drop removes a member; its entries in the levels become stale.
func (q *broadcastQueue) drop(m *member) {
	if m.queued {
		m.queued = false
		q.size--
	}
}

// appendTo adds updates to those of a packet, within the remaining bytes.
func (q *broadcastQueue) appendTo(updates []Update, remaining int) []Update {
	first := len(updates)
	var sent []*member
	for level := range q.levels {
		entries := q.levels[level]
		for len(entries) > 0 {
			m := entries[len(entries)-1]
			if !m.queued || m.transmits != level || containsName(updates[first:], m.Name) { // stale
				entries = entries[:len(entries)-1]
				continue
			}
			size := m.size()
			if size > remaining {
				break
			}
			entries = entries[:len(entries)-1]
			remaining -= size
			updates = append(updates, m.Update)
			sent = append(sent, m)
		}
		q.levels[level] = entries
		if len(entries) > 0 {
			break
		}
	}
	q.countTransmits(sent)
	return updates
}

// countTransmits requeues the members whose updates were sent, or drops those that have reached the limit.
func (q *broadcastQueue) countTransmits(sent []*member) {
	for _, m := range sent {
		m.transmits++
		if m.transmits >= q.transmitLimit {
			q.drop(m)
		} else {
			q.push(m)
		}
	}
}

func containsName(updates []Update, name Name) bool {
	return slices.ContainsFunc(updates, func(u Update) bool { return u.Name == name })
}

// gossip sends queued updates to some random members.
func (d *Detector) gossip() {
	for _, m := range d.sample(gossipFanout, isPresent) {
		d.send(m, Packet{Kind: Gossip})
	}
}

// resize adapts the transmit limit to the number of members.
func (d *Detector) resize() {
	d.broadcasts.transmitLimit = retransmitFactor * int(math.Ceil(math.Log10(float64(d.table.present()+1))))
}

// send sends to a member, with as many queued updates as fit.
func (d *Detector) send(m *member, p Packet) { d.sendTo(m.Address, m, p) }

// sendTo sends to an address at which a member is thought to receive; m may be nil.
func (d *Detector) sendTo(address string, m *member, packet Packet) {
	packet.From = d.self.Name
	packet.Address = d.self.Address
	packet.Incarnation = d.self.Incarnation
	packet.Run = d.self.Run
	remaining := maxPacketBytes - packet.size()
	if d.phase == leaving {
		remaining -= d.self.size()
		packet.Updates = append(packet.Updates, d.self)
	}
	if m != nil && m.State > Alive && m.Name != d.settings.Name {
		// The receiver's own state goes first, so that it can refute it (the buddy system of Lifeguard).
		remaining -= m.size()
		packet.Updates = append(packet.Updates, m.Update)
		if m.State == Dead {
			d.table.write(m.Name).notifiedAt = d.now
		}
	}
	packet.Updates = d.broadcasts.appendTo(packet.Updates, remaining)
	d.output.Sends = append(d.output.Sends, Send{To: address, Packet: packet})
}
