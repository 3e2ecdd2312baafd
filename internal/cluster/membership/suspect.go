package membership

import (
	"math"
	"slices"
)

const (
	mostConfirm = 3 // further accusers that bring a suspicion down to its least time
	mostAsks    = 3
)

// suspicion is the time in which a member can deny that it is dead.
type suspicion struct {
	from, ends Millis
	by         []Name // accusers, each once, mostConfirm+1 at most
	confirm    int    // so many more bring it to its least time
	asked      int    // times that others were asked, shortly before the end
}

// lasts is how long a suspicion stands. It begins long and comes down with the number of those who accuse on their own
// account, for one accuser may be the one that is cut off.
func (s *suspicion) lasts(p *pace) Millis {
	if s.confirm <= 0 { // there is nobody who could confirm it
		return p.least
	}
	part := math.Log(float64(len(s.by))) / math.Log(float64(s.confirm+1))
	return max(p.least, p.most-(p.most-p.least)*part)
}

// asks is when others are asked next before a suspicion ends: in each of the last periods, for packets get lost.
func (s *suspicion) asks(p *pace) Millis { return s.ends - p.period*Millis(mostAsks-s.asked) }

// accuse takes somebody's word, or this member's own finding, that a member does not answer.
func (d *Detector) accuse(name Name, inc Incarnation, by Name) {
	m := d.table.write(name)
	if m == nil || m.State >= Dead || inc < m.Incarnation || name == d.set.Name {
		return
	}
	if m.State == Suspect && inc == m.Incarnation && m.suspicion != nil {
		s := m.suspicion
		if len(s.by) > s.confirm || slices.Contains(s.by, by) {
			return
		}
		s.by = append(s.by, by)
		s.ends = s.from + s.lasts(&d.pace)
		u := m.Update
		u.By = by // so that others count it, too
		d.table.set(m, u)
		d.queue.put(m)
		return
	}
	was := m.State
	u := m.Update
	u.State, u.Incarnation, u.By = Suspect, inc, by
	d.table.set(m, u)
	d.queue.put(m)
	if m.suspicion == nil {
		d.suspect = append(d.suspect, name)
	}
	m.heard = 0
	m.suspicion = &suspicion{from: d.now, by: []Name{by}, confirm: min(mostConfirm, d.table.present()-2)}
	m.suspicion.ends = d.now + m.suspicion.lasts(&d.pace)
	if was != Suspect {
		m.since = d.now
		d.change(m, was, false)
	}
	// Danger: on one accuser's word, and the accuser cut off in one direction, all others would bury a sound member. So
	// some look for themselves, all of them in a small fleet; in a large one so few that the suspect is not flooded.
	if by != d.set.Name && d.chance.Next() < checkers/float64(d.table.present()) {
		d.ping(m, true)
	}
}

// suspicionsDue declares dead those who have not denied it in time.
func (d *Detector) suspicionsDue() {
	for _, name := range slices.Clone(d.suspect) {
		m := d.table.get(name)
		if m == nil || m.suspicion == nil {
			continue
		}
		if s := m.suspicion; s.asked < mostAsks && d.now >= s.asks(&d.pace) {
			// Danger: the denial may have come to others and not here. Who knows better corrects what this says.
			s.asked++
			for _, other := range d.some(relaysAsked, func(o *member) bool { return o.State == Alive }) {
				d.sendTo(other.Address, other, Packet{Kind: Gossip, Updates: []Update{m.Update}})
			}
			d.send(m, Packet{Kind: Gossip})
		}
		if d.now < m.suspicion.ends {
			continue
		}
		if d.hears(m) {
			// Danger: it is there, but the accusation or its denial is lost on the way. It stays suspected while it is
			// found to be there, and is told with each packet.
			s := m.suspicion
			s.from, s.by, s.asked = d.now, s.by[:1], 0
			s.ends = d.now + s.lasts(&d.pace)
			m.heard = 0
			d.queue.put(m)
			d.ping(m, true)
			continue
		}
		u := m.Update
		u.State = Dead
		d.become(m, u)
	}
}

// hears tells whether a suspect was found to be there by this member itself since it was accused.
func (d *Detector) hears(m *member) bool { return m.suspicion != nil && m.heard > m.suspicion.from }

// apply takes an update in; from is who sent it.
func (d *Detector) apply(u Update, from Name) {
	if u.Name == d.set.Name {
		d.aboutSelf(u)
		return
	}
	known := d.table.get(u.Name)
	if known == nil {
		d.welcome(u)
		return
	}
	if known.Run != u.Run && u.Incarnation == known.Incarnation {
		return // two of one name at one instant: the first stands until one of them gives way
	}
	// Danger: one that hears nobody any more would bury all others everywhere. So its word of a death is an accusation to
	// those who had no doubt, or who hear the member.
	doubted := u.State == Dead && (known.State == Alive || d.hears(known))
	if u.State == Suspect || doubted {
		by := u.By
		if by == "" {
			by = from
		}
		if u.Incarnation > known.Incarnation {
			alive := u
			alive.State, alive.By = Alive, ""
			d.become(d.table.write(u.Name), alive)
		}
		d.accuse(u.Name, u.Incarnation, by)
		return
	}
	if u.over(&known.Update) {
		d.become(d.table.write(u.Name), u)
	}
}

// correct tells the sender of updates what it has missed: that one it accuses has denied it.
func (d *Detector) correct(sender *member, updates []Update) {
	var known []Update
	for i := range updates {
		u := &updates[i]
		if m := d.table.get(u.Name); m != nil && (u.State == Suspect || u.State == Dead) && u.Name != d.set.Name &&
			m.State == Alive && m.Incarnation > u.Incarnation {
			known = append(known, m.Update)
		}
	}
	if len(known) > 0 {
		d.send(sender, Packet{Kind: Gossip, Updates: known})
	}
}

// welcome takes in a member that was not known.
func (d *Detector) welcome(u Update) {
	if d.table.size() >= d.set.MostMembers {
		d.refused++
		return
	}
	// Danger: word of the dead goes round for a while; those who know nothing of them must not announce them anew.
	suspected, by := u.State == Suspect, u.By
	if suspected {
		u.State, u.By = Alive, ""
	}
	m := d.table.add(u)
	m.since = d.now
	d.resize()
	if u.State <= Suspect {
		d.queue.put(m)
	}
	d.change(m, Dead, true)
	if suspected {
		d.accuse(u.Name, u.Incarnation, by)
	}
}

// become gives a member a new state.
func (d *Detector) become(m *member, u Update) {
	was, run := m.State, m.Run
	if u.State == Alive {
		u.By = ""
	}
	d.table.set(m, u)
	if u.State != Suspect {
		m.suspicion, m.heard = nil, 0
		d.suspect = slices.DeleteFunc(d.suspect, func(n Name) bool { return n == m.Name })
	}
	d.queue.put(m)
	d.resize()
	if was != u.State || run != u.Run {
		m.since = d.now
		d.change(m, was, false)
	}
}

// aboutSelf takes what others say of this member: it denies what is not true, and gives way to a newer process of its
// name.
func (d *Detector) aboutSelf(u Update) {
	if d.leaving || d.superseded != "" || u.Incarnation < d.self.Incarnation {
		return
	}
	// Danger: a process that was taken for dead and replaced elsewhere would fight its successor for the name, each
	// denying the other for ever. The one that started last has it.
	other := u.Run != d.self.Run && u.Address != d.self.Address
	if other && u.State == Alive && (u.Incarnation > d.self.Incarnation || u.Run > d.self.Run) {
		d.superseded = u.Address
		d.probes, d.relays = nil, nil
		d.change(d.table.get(d.set.Name), Alive, false)
		return
	}
	if u.State == Alive && (u.Run == d.self.Run || u.Incarnation == d.self.Incarnation && !other) {
		return
	}
	if u.State == Suspect && u.Run == d.self.Run {
		d.health.worse(1) // it was too slow for somebody
	}
	d.self.Incarnation = u.Incarnation
	d.say(Alive)
}

// say spreads a new incarnation of this member.
func (d *Detector) say(s State) {
	d.self.Incarnation++
	d.self.State = s
	d.become(d.table.write(d.set.Name), d.self)
}
