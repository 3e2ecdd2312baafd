package membership

const (
	packetBytes = 1200 // of a packet as it is sent, below what every path carries whole
	mostPages   = 64   // packets that one digest brings
)

// queue holds the members of which the newest update is still to spread: each once, so the table bounds it. Those that
// went out least often come first.
type queue struct {
	levels [][]*member
	size   int
	limit  int // an update goes out so often
}

// put has a member's newest update spread from the start.
func (q *queue) put(m *member) {
	m.sends = 0
	if !m.queued {
		m.queued = true
		q.size++
	}
	q.push(m)
}

func (q *queue) push(m *member) {
	for len(q.levels) <= m.sends {
		q.levels = append(q.levels, nil)
	}
	q.levels[m.sends] = append(q.levels[m.sends], m)
}

// drop takes a member out; its places in the levels lapse.
func (q *queue) drop(m *member) {
	if m.queued {
		m.queued = false
		q.size--
	}
}

// take adds updates to those of a packet as far as there is room.
func (q *queue) take(to []Update, room int) []Update {
	first := len(to)
	var again []*member
	for level := range q.levels {
		l := q.levels[level]
		for len(l) > 0 {
			m := l[len(l)-1]
			if !m.queued || m.sends != level || holds(to[first:], m.Name) { // a place that has lapsed
				l = l[:len(l)-1]
				continue
			}
			size := m.size()
			if size > room {
				break
			}
			l = l[:len(l)-1]
			room -= size
			to = append(to, m.Update)
			again = append(again, m)
		}
		if q.levels[level] = l; len(l) > 0 {
			break
		}
	}
	for _, m := range again {
		if m.sends++; m.sends >= q.limit {
			q.drop(m)
		} else {
			q.push(m)
		}
	}
	return to
}

func holds(updates []Update, name Name) bool {
	for i := range updates {
		if updates[i].Name == name {
			return true
		}
	}
	return false
}

// gossip sends what is to spread to some members that are drawn.
func (d *Detector) gossip() {
	for _, m := range d.some(gossipFanout, func(m *member) bool { return m.State <= Suspect }) {
		d.send(m, Packet{Kind: Gossip})
	}
}

// compare asks another for what it holds and this member does not, by sums over parts of the table. It heals what gossip
// has missed, brings those together who start, and again those whom a cut has parted: so it also goes to seeds and
// to the dead.
func (d *Detector) compare() {
	d.nextSync = d.now + d.pace.sync*(1+d.chance.Next())/2
	if !d.joined {
		d.nextSync = d.now + d.pace.period
		for _, seed := range d.set.Seeds {
			if seed.Name != d.set.Name {
				d.sendTo(seed.Address, nil, d.digest())
			}
		}
		return
	}
	for _, m := range d.some(1, func(m *member) bool { return m.State <= Suspect }) {
		d.send(m, d.digest())
	}
	// Danger: after a cut both sides hold the other for dead, and nobody would ever speak first.
	lost := d.some(1, func(m *member) bool { return m.State == Dead })
	for _, m := range lost {
		d.send(m, d.digest())
	}
	if seeds := d.set.Seeds; len(lost) == 0 && len(seeds) > 0 {
		seed := seeds[int(d.chance.Next()*float64(len(seeds)))]
		if m := d.table.get(seed.Name); seed.Name != d.set.Name && (m == nil || m.State >= Dead) {
			d.sendTo(seed.Address, m, d.digest())
		}
	}
}

func (d *Detector) digest() Packet {
	return Packet{Kind: Digest, Sums: append([]uint64(nil), d.table.sums[:]...)}
}

// answerDigest sends what differs, with this member's own sums where the asker is to answer in kind.
func (d *Detector) answerDigest(p *Packet, to *member) {
	if len(p.Sums) != buckets {
		return
	}
	differ := d.differing(p.Sums)
	if len(differ) == 0 {
		return
	}
	d.records(differ, to, append([]uint64(nil), d.table.sums[:]...))
}

// answerRecords sends back what the answerer does not hold.
func (d *Detector) answerRecords(p *Packet, to *member) {
	if len(p.Sums) == buckets {
		d.records(d.differing(p.Sums), to, nil)
	}
}

func (d *Detector) differing(sums []uint64) map[int]bool {
	differ := map[int]bool{}
	for b, sum := range sums {
		if sum != d.table.sums[b] {
			differ[b] = true
		}
	}
	return differ
}

// records sends the members of some buckets, from a drawn place on. Danger: a digest is small and its answer is large; so
// a period has an end to the pages, whoever asks.
func (d *Detector) records(of map[int]bool, to *member, sums []uint64) {
	if len(of) == 0 {
		return
	}
	p := Packet{Kind: Records, Sums: sums}
	room := packetBytes - p.size() - d.self.size()
	flush := func() bool {
		if d.pages <= 0 {
			return false
		}
		d.pages--
		d.send(to, p)
		p = Packet{Kind: Records}
		room = packetBytes - p.size() - d.self.size()
		return true
	}
	w := d.newWalk()
	for m := w.next(d.table); m != nil; m = w.next(d.table) {
		if !of[bucketOf(m.Name)] || m.Name == to.Name {
			continue
		}
		if m.size() > room && !flush() {
			return
		}
		p.Updates = append(p.Updates, m.Update)
		room -= m.size()
	}
	if len(p.Updates) > 0 || sums != nil {
		flush()
	}
}
