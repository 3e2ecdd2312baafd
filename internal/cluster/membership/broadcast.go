package membership

import (
	"math"
	"slices"
)

const (
	gossipFanout     = 2    // members that receive a packet in a gossip round
	retransmitFactor = 4    // an update is sent this often per decimal digit of the number of members
	maxPacketBytes   = 1200 // maximum Packet.size of a packet; every path carries a datagram of this size unfragmented
)

// broadcastQueue holds the members whose newest update is still to be disseminated. Each member is queued at most once,
// so the size of the table bounds the queue. Updates that were sent least often go first.
type broadcastQueue struct {
	levels        [][]*member // by number of transmits; a requeued or removed member leaves a stale entry
	size          int         // members queued
	transmitLimit int         // an update is removed after this many transmits
	nextGossip    Millis      // Unix time at which the next gossip round is due
}

// enqueue queues a member's newest update and resets its transmit count.
func (q *broadcastQueue) enqueue(m *member) {
	m.transmits = 0
	if !m.queued {
		m.queued = true
		q.size++
	}
	q.push(m)
}

// push adds a member to the level of its transmit count.
func (q *broadcastQueue) push(m *member) {
	for len(q.levels) <= m.transmits {
		q.levels = append(q.levels, nil)
	}
	q.levels[m.transmits] = append(q.levels[m.transmits], m)
}

// remove removes a member from the queue. Its entries in the levels become stale.
func (q *broadcastQueue) remove(m *member) {
	if m.queued {
		m.queued = false
		q.size--
	}
}

// appendUpdates appends queued updates to those of a packet, up to the remaining bytes, and counts them as sent. A
// member whose update this call has already appended is skipped.
func (q *broadcastQueue) appendUpdates(updates []Update, remaining int) []Update {
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

// countTransmits requeues the members whose updates were sent, and removes those that have reached the transmit limit.
func (q *broadcastQueue) countTransmits(sent []*member) {
	for _, m := range sent {
		m.transmits++
		if m.transmits >= q.transmitLimit {
			q.remove(m)
		} else {
			q.push(m)
		}
	}
}

// containsName reports whether one of the updates is about the named member.
func containsName(updates []Update, name Name) bool {
	return slices.ContainsFunc(updates, func(u Update) bool { return u.Name == name })
}

// sendGossip sends queued updates to gossipFanout random members.
func (d *Detector) sendGossip() {
	for _, m := range d.sample(gossipFanout, isPresent) {
		d.send(m, Packet{Kind: Gossip})
	}
}

// updateTransmitLimit adapts the transmit limit to the number of members.
func (d *Detector) updateTransmitLimit() {
	d.broadcasts.transmitLimit = retransmitFactor * int(math.Ceil(math.Log10(float64(d.table.present()+1))))
}

// send sends a packet to a member, with as many queued updates as fit.
func (d *Detector) send(m *member, p Packet) { d.sendTo(m.Address, m, p) }

// sendTo sends a packet to an address, with as many queued updates as fit. m is the member that is assumed to receive
// at the address; nil if there is none.
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
		// The update about the receiver goes first, so that the receiver can refute it (the buddy system of Lifeguard).
		remaining -= m.size()
		packet.Updates = append(packet.Updates, m.Update)
		if m.State == Dead {
			d.table.writable(m.Name).notifiedAt = d.now
		}
	}
	packet.Updates = d.broadcasts.appendUpdates(packet.Updates, remaining)
	d.output.Sends = append(d.output.Sends, Send{To: address, Packet: packet})
}
