package membership

import (
	"math"
	"slices"
)

const (
	maxConfirmations = 3 // accusers beside the first that bring a suspicion down to its shortest timeout
	maxFinalChecks   = 3 // one in each of the last periods of a suspicion, for packets get lost
	confirmingProbes = 8 // members of the whole cluster that probe for themselves on another's accusation, on average
)

// suspicion is the time in which a member can refute an accusation.
type suspicion struct {
	startedAt           Millis
	endsAt              Millis
	accusers            []Name // each once, at most confirmationsWanted+1
	confirmationsWanted int    // accusers beside the first that bring it to its shortest timeout
	finalChecks         int    // so far
}

// timeout is the whole duration of a suspicion. It shrinks with the logarithm of the number of independent accusers, as
// in Lifeguard: a single accuser may itself be the one that is cut off.
func (s *suspicion) timeout(p *timing) Millis {
	if s.confirmationsWanted <= 0 { // nobody could confirm it
		return p.minSuspicion
	}
	part := math.Log(float64(len(s.accusers))) / math.Log(float64(s.confirmationsWanted+1))
	return max(p.minSuspicion, p.maxSuspicion-(p.maxSuspicion-p.minSuspicion)*part)
}

// nextFinalCheck is when others are asked next, shortly before the suspicion ends.
func (s *suspicion) nextFinalCheck(p *timing) Millis {
	return s.endsAt - p.period*Millis(maxFinalChecks-s.finalChecks)
}

// nextDue is when suspicionsDue has something to do for this suspicion.
func (s *suspicion) nextDue(p *timing) Millis {
	if s.finalChecks < maxFinalChecks {
		return min(s.endsAt, s.nextFinalCheck(p))
	}
	return s.endsAt
}

// suspectMember handles an accusation by another member, or by this one's own probes.
func (d *Detector) suspectMember(name Name, inc Incarnation, accuser Name) {
	m := d.table.write(name)
	if m == nil || m.State >= Dead || inc < m.Incarnation || name == d.settings.Name {
		return
	}
	if m.State == Suspect && inc == m.Incarnation && m.suspicion != nil {
		d.confirmSuspicion(m, accuser)
		return
	}
	d.startSuspicion(m, inc, accuser)
	// A single accuser may be cut off in one direction. So other members probe for themselves: all of a small cluster,
	// and so few of a large one that the suspect is not flooded.
	if accuser != d.settings.Name && d.random.Next() < confirmingProbes/float64(d.table.present()) {
		d.ping(m, true)
	}
}

func (d *Detector) startSuspicion(target *member, inc Incarnation, accuser Name) {
	was := target.State
	update := target.Update
	update.State = Suspect
	update.Incarnation = inc
	update.By = accuser
	d.table.set(target, update)
	d.broadcasts.put(target)
	if target.suspicion == nil {
		d.suspects = append(d.suspects, target.Name)
	}
	target.confirmedAt = 0
	target.suspicion = &suspicion{
		startedAt:           d.now,
		accusers:            []Name{accuser},
		confirmationsWanted: min(maxConfirmations, d.table.present()-2),
	}
	target.suspicion.endsAt = d.now + target.suspicion.timeout(&d.timing)
	if was != Suspect {
		target.since = d.now
		d.emitChange(target, was, false)
	}
}

// confirmSuspicion counts a further accuser.
func (d *Detector) confirmSuspicion(m *member, accuser Name) {
	s := m.suspicion
	if len(s.accusers) > s.confirmationsWanted || slices.Contains(s.accusers, accuser) {
		return
	}
	s.accusers = append(s.accusers, accuser)
	s.endsAt = s.startedAt + s.timeout(&d.timing)
	update := m.Update
	update.By = accuser // so that the others count it as well
	d.table.set(m, update)
	d.broadcasts.put(m)
}

// suspicionsDue makes the final checks, and declares dead the members that have not refuted their suspicion in time.
func (d *Detector) suspicionsDue() {
	for _, name := range slices.Clone(d.suspects) {
		suspect := d.table.get(name)
		if suspect == nil || suspect.suspicion == nil {
			continue
		}
		if s := suspect.suspicion; s.finalChecks < maxFinalChecks && d.now >= s.nextFinalCheck(&d.timing) {
			d.finalCheck(suspect)
		}
		if d.now < suspect.suspicion.endsAt {
			continue
		}
		if d.confirmedAlive(suspect) {
			d.extendSuspicion(suspect)
			continue
		}
		update := suspect.Update
		update.State = Dead
		d.setState(suspect, update)
	}
}

// finalCheck tells other members of the suspicion: the refutation may have reached them and not this member, and who
// knows better corrects it.
func (d *Detector) finalCheck(m *member) {
	m.suspicion.finalChecks++
	for _, other := range d.sample(indirectProbes, isAlive) {
		d.send(other, Packet{Kind: Gossip, Updates: []Update{m.Update}})
	}
	d.send(m, Packet{Kind: Gossip})
}

// extendSuspicion starts the timeout anew for a suspect that has shown a sign of life: the accusation or its refutation
// was lost on the way. Each further packet to the suspect carries the accusation.
func (d *Detector) extendSuspicion(m *member) {
	s := m.suspicion
	s.startedAt = d.now
	s.accusers = s.accusers[:1]
	s.finalChecks = 0
	s.endsAt = d.now + s.timeout(&d.timing)
	m.confirmedAt = 0
	d.broadcasts.put(m)
	d.ping(m, true)
}

// confirmedAlive reports whether this member has seen a sign of life of a suspect since it was accused.
func (d *Detector) confirmedAlive(m *member) bool {
	return m.suspicion != nil && m.confirmedAt > m.suspicion.startedAt
}
