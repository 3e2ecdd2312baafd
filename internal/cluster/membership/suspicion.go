package membership

import (
	"math"
	"slices"
)

const (
	maxConfirmations = 3 // further accusers that shorten a suspicion to its minimum timeout
	maxFinalChecks   = 3 // one in each of a suspicion's last periods, because the packets of a final check can be lost
	confirmingProbes = 8 // average number of members that start a probe when they learn of another member's accusation
)

// suspicion is the state of a member that is accused of a failure and can still refute the accusation.
type suspicion struct {
	startedAt           Millis // Unix time of the start
	endsAt              Millis // Unix time at which the member is declared dead if it has not shown a sign of life
	accusers            []Name // distinct, at most confirmationsWanted+1
	confirmationsWanted int    // further accusers that shorten the suspicion to its minimum timeout
	finalChecks         int    // number of final checks made
}

// timeout returns the whole duration of a suspicion. It shrinks with the logarithm of the number of independent
// accusers, as in Lifeguard: a single accuser may itself be partitioned.
func (s *suspicion) timeout(intervals *timing) Millis {
	if s.confirmationsWanted <= 0 { // there is no further member that could confirm it
		return intervals.minSuspicion
	}
	fraction := math.Log(float64(len(s.accusers))) / math.Log(float64(s.confirmationsWanted+1))
	return max(intervals.minSuspicion, intervals.maxSuspicion-(intervals.maxSuspicion-intervals.minSuspicion)*fraction)
}

// nextFinalCheck returns when the next final check is due, shortly before the suspicion ends.
func (s *suspicion) nextFinalCheck(intervals *timing) Millis {
	return s.endsAt - intervals.period*Millis(maxFinalChecks-s.finalChecks)
}

// nextDue returns when checkSuspicions has to handle this suspicion.
func (s *suspicion) nextDue(intervals *timing) Millis {
	if s.finalChecks < maxFinalChecks {
		return min(s.endsAt, s.nextFinalCheck(intervals))
	}
	return s.endsAt
}

// suspectMember handles an accusation by another member, or by a failed probe of this member. It starts a suspicion or
// confirms the one in progress. Accusations of this member, of dead or left members and at an earlier incarnation are
// ignored.
func (d *Detector) suspectMember(name Name, incarnation Incarnation, accuser Name) {
	m := d.table.writable(name)
	if m == nil || m.State >= Dead || incarnation < m.Incarnation || name == d.settings.Name {
		return
	}
	if m.State == Suspect && incarnation == m.Incarnation && m.suspicion != nil {
		d.confirmSuspicion(m, accuser)
		return
	}
	d.startSuspicion(m, incarnation, accuser)
	// A single accuser may have lost its connection in one direction. So other members probe the suspect themselves: all
	// members of a small cluster, but only a few of a large cluster, so that the suspect is not flooded with pings.
	if accuser != d.settings.Name && d.random.Float64() < confirmingProbes/float64(d.table.present()) {
		d.startProbe(m, true)
	}
}

// startSuspicion makes a member suspect and queues the accusation for dissemination.
func (d *Detector) startSuspicion(target *member, incarnation Incarnation, accuser Name) {
	previous := target.State
	update := target.Update
	update.State = Suspect
	update.Incarnation = incarnation
	update.Accuser = accuser
	d.table.set(target, update)
	d.broadcasts.enqueue(target)
	if target.suspicion == nil {
		d.suspects = append(d.suspects, target.Name)
	}
	target.lastAliveAt = 0
	target.suspicion = &suspicion{
		startedAt:           d.now,
		accusers:            []Name{accuser},
		confirmationsWanted: min(maxConfirmations, d.table.present()-2),
	}
	target.suspicion.endsAt = d.now + target.suspicion.timeout(&d.timing)
	if previous != Suspect {
		target.stateSince = d.now
		d.emitChange(target, previous, false)
	}
}

// confirmSuspicion counts a further accuser, which shortens the suspicion, and queues the accusation again. It does
// nothing for an accuser that is counted already, or if no further accusers are wanted.
func (d *Detector) confirmSuspicion(m *member, accuser Name) {
	s := m.suspicion
	if len(s.accusers) > s.confirmationsWanted || slices.Contains(s.accusers, accuser) {
		return
	}
	s.accusers = append(s.accusers, accuser)
	s.endsAt = s.startedAt + s.timeout(&d.timing)
	update := m.Update
	update.Accuser = accuser // other members count this accuser, too
	d.table.set(m, update)
	d.broadcasts.enqueue(m)
}

// checkSuspicions makes the final checks that are due, and declares dead the members that have not refuted their
// suspicion in time.
func (d *Detector) checkSuspicions() {
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
		if d.aliveSinceAccusation(suspect) {
			d.extendSuspicion(suspect)
			continue
		}
		update := suspect.Update
		update.State = Dead
		d.setState(suspect, update)
	}
}

// finalCheck sends the accusation to other members and to the suspect. The refutation may have reached other members
// but not this one; they respond with it, see sendRefutations.
func (d *Detector) finalCheck(m *member) {
	m.suspicion.finalChecks++
	for _, other := range d.sample(indirectProbes, isAlive) {
		d.send(other, Packet{Kind: Gossip, Updates: []Update{m.Update}})
	}
	d.send(m, Packet{Kind: Gossip})
}

// extendSuspicion restarts the timeout for a suspect that has shown a sign of life: the accusation or its refutation
// was lost. Each further packet to the suspect carries the accusation, see sendTo.
func (d *Detector) extendSuspicion(m *member) {
	s := m.suspicion
	s.startedAt = d.now
	s.accusers = s.accusers[:1]
	s.finalChecks = 0
	s.endsAt = d.now + s.timeout(&d.timing)
	m.lastAliveAt = 0
	d.broadcasts.enqueue(m)
	d.startProbe(m, true)
}

// aliveSinceAccusation reports whether this member has seen a sign of life of a suspect since the suspicion started.
func (d *Detector) aliveSinceAccusation(m *member) bool {
	return m.suspicion != nil && m.lastAliveAt > m.suspicion.startedAt
}
