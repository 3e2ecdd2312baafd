package membership

const (
	maxPacketBytes = 1200 // of a packet as it is sent, below what every path carries whole
	maxSyncPackets = 64   // packets that one digest brings
)

// queue holds the members of which the newest update is still to spread: each once, so the table bounds it. Those that
// went out least often come first.
type broadcastQueue struct {
	levels        [][]*member
	size          int
	transmitLimit int // an update goes out so often
}

// put has a member's newest update spread from the start.
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

// drop takes a member out; its places in the levels lapse.
func (q *broadcastQueue) drop(m *member) {
	if m.queued {
		m.queued = false
		q.size--
	}
}

// take adds updates to those of a packet as far as there is room.
func (q *broadcastQueue) appendTo(to []Update, remaining int) []Update {
	first := len(to)
	var again []*member
	for level := range q.levels {
		l := q.levels[level]
		for len(l) > 0 {
			m := l[len(l)-1]
			if !m.queued || m.transmits != level || containsName(to[first:], m.Name) { // a place that has lapsed
				l = l[:len(l)-1]
				continue
			}
			size := m.size()
			if size > remaining {
				break
			}
			l = l[:len(l)-1]
			remaining -= size
			to = append(to, m.Update)
			again = append(again, m)
		}
		if q.levels[level] = l; len(l) > 0 {
			break
		}
	}
	for _, m := range again {
		if m.transmits++; m.transmits >= q.transmitLimit {
			q.drop(m)
		} else {
			q.push(m)
		}
	}
	return to
}

func containsName(updates []Update, name Name) bool {
	for i := range updates {
		if updates[i].Name == name {
			return true
		}
	}
	return false
}

// gossip sends what is to spread to some members that are drawn.
func (d *Detector) gossip() {
	for _, m := range d.sample(gossipFanout, func(m *member) bool { return m.State <= Suspect }) {
		d.send(m, Packet{Kind: Gossip})
	}
}

// compare asks another for what it holds and this member does not, by sums over parts of the table. It heals what gossip
// has missed, brings those together who start, and again those whom a cut has parted: so it also goes to seeds and
// to the dead.
func (d *Detector) sync() {
	d.nextSync = d.now + d.timing.syncInterval*(1+d.random.Next())/2
	if !d.joined {
		d.nextSync = d.now + d.timing.period
		for _, seed := range d.settings.Seeds {
			if seed.Name != d.settings.Name {
				d.sendTo(seed.Address, nil, d.digest())
			}
		}
		return
	}
	for _, m := range d.sample(1, func(m *member) bool { return m.State <= Suspect }) {
		d.send(m, d.digest())
	}
	// Danger: after a cut both sides hold the other for dead, and nobody would ever speak first.
	lost := d.sample(1, func(m *member) bool { return m.State == Dead })
	for _, m := range lost {
		d.send(m, d.digest())
	}
	if seeds := d.settings.Seeds; len(lost) == 0 && len(seeds) > 0 {
		seed := seeds[int(d.random.Next()*float64(len(seeds)))]
		if m := d.table.get(seed.Name); seed.Name != d.settings.Name && (m == nil || m.State >= Dead) {
			d.sendTo(seed.Address, m, d.digest())
		}
	}
}

func (d *Detector) digest() Packet {
	return Packet{Kind: Digest, Sums: append([]uint64(nil), d.table.checksums[:]...)}
}

// answerDigest sends what differs, with this member's own sums where the asker is to answer in kind.
func (d *Detector) handleDigest(p *Packet, to *member) {
	if len(p.Sums) != buckets {
		return
	}
	differ := d.differing(p.Sums)
	if len(differ) == 0 {
		return
	}
	d.sendRecords(differ, to, append([]uint64(nil), d.table.checksums[:]...))
}

// answerRecords sends back what the answerer does not hold.
func (d *Detector) handleRecords(p *Packet, to *member) {
	if len(p.Sums) == buckets {
		d.sendRecords(d.differing(p.Sums), to, nil)
	}
}

func (d *Detector) differing(sums []uint64) map[int]bool {
	differ := map[int]bool{}
	for b, sum := range sums {
		if sum != d.table.checksums[b] {
			differ[b] = true
		}
	}
	return differ
}

// records sends the members of some buckets, from a drawn place on. Danger: a digest is small and its answer is large; so
// a period has an end to the pages, whoever asks.
func (d *Detector) sendRecords(of map[int]bool, to *member, sums []uint64) {
	if len(of) == 0 {
		return
	}
	p := Packet{Kind: Records, Sums: sums}
	remaining := maxPacketBytes - p.size() - d.self.size()
	flush := func() bool {
		if d.syncPacketsLeft <= 0 {
			return false
		}
		d.syncPacketsLeft--
		d.send(to, p)
		p = Packet{Kind: Records}
		remaining = maxPacketBytes - p.size() - d.self.size()
		return true
	}
	w := d.newWalk()
	for m := w.next(d.table); m != nil; m = w.next(d.table) {
		if !of[bucketFor(m.Name)] || m.Name == to.Name {
			continue
		}
		if m.size() > remaining && !flush() {
			return
		}
		p.Updates = append(p.Updates, m.Update)
		remaining -= m.size()
	}
	if len(p.Updates) > 0 || sums != nil {
		flush()
	}
}
