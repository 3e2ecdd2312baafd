package membership

import (
	"math"
	"slices"
)

const (
	maxConfirmations = 3 // further accusers that bring a suspicion down to its least time
	maxFinalChecks   = 3
)

// suspicion is the time in which a member can deny that it is dead.
type suspicion struct {
	startedAt, endsAt   Millis
	accusers            []Name // accusers, each once, mostConfirm+1 at most
	confirmationsWanted int    // so many more bring it to its least time
	finalChecks         int    // times that others were asked, shortly before the end
}

// lasts is how long a suspicion stands. It begins long and comes down with the number of those who accuse on their own
// account, for one accuser may be the one that is cut off.
func (s *suspicion) timeout(p *timing) Millis {
	if s.confirmationsWanted <= 0 { // there is nobody who could confirm it
		return p.minSuspicion
	}
	part := math.Log(float64(len(s.accusers))) / math.Log(float64(s.confirmationsWanted+1))
	return max(p.minSuspicion, p.maxSuspicion-(p.maxSuspicion-p.minSuspicion)*part)
}

// asks is when others are asked next before a suspicion ends: in each of the last periods, for packets get lost.
func (s *suspicion) nextFinalCheck(p *timing) Millis {
	return s.endsAt - p.period*Millis(maxFinalChecks-s.finalChecks)
}

// accuse takes somebody's word, or this member's own finding, that a member does not answer.
func (d *Detector) suspectMember(name Name, inc Incarnation, by Name) {
	m := d.table.write(name)
	if m == nil || m.State >= Dead || inc < m.Incarnation || name == d.settings.Name {
		return
	}
	if m.State == Suspect && inc == m.Incarnation && m.suspicion != nil {
		s := m.suspicion
		if len(s.accusers) > s.confirmationsWanted || slices.Contains(s.accusers, by) {
			return
		}
		s.accusers = append(s.accusers, by)
		s.endsAt = s.startedAt + s.timeout(&d.timing)
		u := m.Update
		u.By = by // so that others count it, too
		d.table.set(m, u)
		d.broadcasts.put(m)
		return
	}
	was := m.State
	u := m.Update
	u.State, u.Incarnation, u.By = Suspect, inc, by
	d.table.set(m, u)
	d.broadcasts.put(m)
	if m.suspicion == nil {
		d.suspects = append(d.suspects, name)
	}
	m.confirmedAt = 0
	m.suspicion = &suspicion{startedAt: d.now, accusers: []Name{by}, confirmationsWanted: min(maxConfirmations, d.table.present()-2)}
	m.suspicion.endsAt = d.now + m.suspicion.timeout(&d.timing)
	if was != Suspect {
		m.since = d.now
		d.emitChange(m, was, false)
	}
	// Danger: on one accuser's word, and the accuser cut off in one direction, all others would bury a sound member. So
	// some look for themselves, all of them in a small fleet; in a large one so few that the suspect is not flooded.
	if by != d.settings.Name && d.random.Next() < confirmingProbes/float64(d.table.present()) {
		d.ping(m, true)
	}
}

// suspicionsDue declares dead those who have not denied it in time.
func (d *Detector) suspicionsDue() {
	for _, name := range slices.Clone(d.suspects) {
		m := d.table.get(name)
		if m == nil || m.suspicion == nil {
			continue
		}
		if s := m.suspicion; s.finalChecks < maxFinalChecks && d.now >= s.nextFinalCheck(&d.timing) {
			// Danger: the denial may have come to others and not here. Who knows better corrects what this says.
			s.finalChecks++
			for _, other := range d.sample(indirectProbes, func(o *member) bool { return o.State == Alive }) {
				d.sendTo(other.Address, other, Packet{Kind: Gossip, Updates: []Update{m.Update}})
			}
			d.send(m, Packet{Kind: Gossip})
		}
		if d.now < m.suspicion.endsAt {
			continue
		}
		if d.confirmedAlive(m) {
			// Danger: it is there, but the accusation or its denial is lost on the way. It stays suspected while it is
			// found to be there, and is told with each packet.
			s := m.suspicion
			s.startedAt, s.accusers, s.finalChecks = d.now, s.accusers[:1], 0
			s.endsAt = d.now + s.timeout(&d.timing)
			m.confirmedAt = 0
			d.broadcasts.put(m)
			d.ping(m, true)
			continue
		}
		u := m.Update
		u.State = Dead
		d.setState(m, u)
	}
}

// hears tells whether a suspect was found to be there by this member itself since it was accused.
func (d *Detector) confirmedAlive(m *member) bool {
	return m.suspicion != nil && m.confirmedAt > m.suspicion.startedAt
}

// apply takes an update in; from is who sent it.
func (d *Detector) apply(u Update, from Name) {
	if u.Name == d.settings.Name {
		d.aboutSelf(u)
		return
	}
	known := d.table.get(u.Name)
	if known == nil {
		d.addMember(u)
		return
	}
	if known.Run != u.Run && u.Incarnation == known.Incarnation {
		return // two of one name at one instant: the first stands until one of them gives way
	}
	// Danger: one that hears nobody any more would bury all others everywhere. So its word of a death is an accusation to
	// those who had no doubt, or who hear the member.
	accusation := u.State == Dead && (known.State == Alive || d.confirmedAlive(known))
	if u.State == Suspect || accusation {
		by := u.By
		if by == "" {
			by = from
		}
		if u.Incarnation > known.Incarnation {
			alive := u
			alive.State, alive.By = Alive, ""
			d.setState(d.table.write(u.Name), alive)
		}
		d.suspectMember(u.Name, u.Incarnation, by)
		return
	}
	if u.supersedes(&known.Update) {
		d.setState(d.table.write(u.Name), u)
	}
}

// correct tells the sender of updates what it has missed: that one it accuses has denied it.
func (d *Detector) correct(sender *member, updates []Update) {
	var known []Update
	for i := range updates {
		u := &updates[i]
		if m := d.table.get(u.Name); m != nil && (u.State == Suspect || u.State == Dead) && u.Name != d.settings.Name &&
			m.State == Alive && m.Incarnation > u.Incarnation {
			known = append(known, m.Update)
		}
	}
	if len(known) > 0 {
		d.send(sender, Packet{Kind: Gossip, Updates: known})
	}
}

// welcome takes in a member that was not known.
func (d *Detector) addMember(u Update) {
	if d.table.size() >= d.settings.MaxMembers {
		d.rejected++
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
		d.broadcasts.put(m)
	}
	d.emitChange(m, Dead, true)
	if suspected {
		d.suspectMember(u.Name, u.Incarnation, by)
	}
}

// become gives a member a new state.
func (d *Detector) setState(m *member, u Update) {
	was, run := m.State, m.Run
	if u.State == Alive {
		u.By = ""
	}
	d.table.set(m, u)
	if u.State != Suspect {
		m.suspicion, m.confirmedAt = nil, 0
		d.suspects = slices.DeleteFunc(d.suspects, func(n Name) bool { return n == m.Name })
	}
	d.broadcasts.put(m)
	d.resize()
	if was != u.State || run != u.Run {
		m.since = d.now
		d.emitChange(m, was, false)
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
		d.emitChange(d.table.get(d.settings.Name), Alive, false)
		return
	}
	if u.State == Alive && (u.Run == d.self.Run || u.Incarnation == d.self.Incarnation && !other) {
		return
	}
	if u.State == Suspect && u.Run == d.self.Run {
		d.awareness.worse(1) // it was too slow for somebody
	}
	d.self.Incarnation = u.Incarnation
	d.announce(Alive)
}

// say spreads a new incarnation of this member.
func (d *Detector) announce(s State) {
	d.self.Incarnation++
	d.self.State = s
	d.setState(d.table.write(d.settings.Name), d.self)
}
