package membership

import (
	"fmt"
	"slices"
	"strconv"
)

// State is the state of a member in another member's view. Of two updates with the same incarnation, the one with the
// higher state takes precedence.
//
//	from              to        on
//	(unknown)         Alive     any update but Dead and Left, or a packet from the member (addMember)
//	(unknown)         Dead Left an update with this state; the entry rejects late updates from before it (addMember)
//	Alive             Suspect   a second failed probe in a row, or an accusation, or another member's Dead (suspectMember)
//	Suspect           Alive     a refutation: a higher incarnation from the member itself (applyUpdate)
//	Suspect           Dead      the timeout without a sign of life (checkSuspicions), or another member's Dead (applyUpdate)
//	Alive Suspect     Left      the member's own announcement (applyUpdate); it takes precedence over Dead, too
//	Dead Left         Alive     a higher incarnation: a refutation or a restart (applyUpdate)
//	Dead Left         Suspect   an accusation at a higher incarnation, after a transition to Alive (applyAccusation)
//	Left              Dead      another member's Dead at a higher incarnation (applyUpdate)
//	Dead Left         (unknown) ten times Settings.DetectionTimeout later (sweep)
type State int

// The states of a member. Their names and order are part of the wire format.
const (
	Alive   State = iota
	Suspect       // accused of a failure, which it has not refuted yet
	Dead          // did not refute the suspicion in time
	Left          // announced its shutdown
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "state " + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// MarshalText encodes the state as its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state. It returns an error for any other text.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("want alive, suspect, dead or left, got %q", text)
}

// applyUpdate merges an update that was received from the member from.
func (d *Detector) applyUpdate(update Update, from Name) {
	if update.Name == d.settings.Name {
		d.handleSelfUpdate(update)
		return
	}
	current := d.table.get(update.Name)
	if current == nil {
		d.addMember(update)
		return
	}
	if current.Run != update.Run && update.Incarnation == current.Incarnation {
		return // two processes of one name started at the same time: the one in the table is kept until one is superseded
	}
	// A member that no longer receives any packets declares all others dead. So another member's Dead is only an
	// accusation if the subject is not suspected here, or has shown a sign of life since the suspicion started.
	accusation := update.State == Dead && (current.State == Alive || d.aliveSinceAccusation(current))
	if update.State == Suspect || accusation {
		d.applyAccusation(update, current, from)
		return
	}
	if update.supersedes(&current.Update) {
		d.setState(d.table.writable(update.Name), update)
	}
}

// applyAccusation handles an update that accuses a known member. An accusation at a higher incarnation implies that the
// member was alive at that incarnation.
func (d *Detector) applyAccusation(update Update, current *member, from Name) {
	accuser := update.Accuser
	if accuser == "" {
		accuser = from
	}
	if update.Incarnation > current.Incarnation {
		alive := update
		alive.State = Alive
		alive.Accuser = ""
		d.setState(d.table.writable(update.Name), alive)
	}
	d.suspectMember(update.Name, update.Incarnation, accuser)
}

// sendRefutations sends the refutations of outdated accusations to the member that sent them.
func (d *Detector) sendRefutations(sender *member, updates []Update) {
	var refuted []Update
	for i := range updates {
		update := &updates[i]
		if update.Name == d.settings.Name || update.State != Suspect && update.State != Dead {
			continue
		}
		if m := d.table.get(update.Name); m != nil && m.State == Alive && m.Incarnation > update.Incarnation {
			refuted = append(refuted, m.Update)
		}
	}
	if len(refuted) > 0 {
		d.send(sender, Packet{Kind: Gossip, Updates: refuted})
	}
}

// addMember adds an unknown member to the table, or counts it as rejected if the table is full.
func (d *Detector) addMember(update Update) {
	if d.table.size() >= d.settings.MaxMembers {
		d.rejected++
		return
	}
	suspected := update.State == Suspect
	accuser := update.Accuser
	if suspected {
		update.State = Alive
		update.Accuser = ""
	}
	m := d.table.add(update)
	m.stateSince = d.now
	d.updateTransmitLimit()
	// Updates about dead members circulate for a while. If members that did not know the dead ones queued such updates
	// again, they would circulate without end.
	if update.State <= Suspect {
		d.broadcasts.enqueue(m)
	}
	d.emitChange(m, Dead, true)
	if suspected {
		d.suspectMember(update.Name, update.Incarnation, accuser)
	}
}

// setState updates a member in the table and queues the update for dissemination. Any state but Suspect ends a
// suspicion of the member. A change of the state or of the run is added to the output.
func (d *Detector) setState(target *member, update Update) {
	previous := target.State
	run := target.Run
	if update.State == Alive {
		update.Accuser = ""
	}
	d.table.set(target, update)
	if update.State != Suspect {
		target.suspicion = nil
		target.lastAliveAt = 0
		d.suspects = slices.DeleteFunc(d.suspects, func(name Name) bool { return name == target.Name })
	}
	d.broadcasts.enqueue(target)
	d.updateTransmitLimit()
	if previous != update.State || run != update.Run {
		target.stateSince = d.now
		d.emitChange(target, previous, false)
	}
}

// handleSelfUpdate handles an update about this member: it refutes a false statement, or stops the protocol if a newer
// process of this name runs at another address. It ignores an update at an earlier incarnation, and any update while
// the detector is not in the phase running.
func (d *Detector) handleSelfUpdate(update Update) {
	if d.phase != running || update.Incarnation < d.self.Incarnation {
		return
	}
	// A process that was declared dead and replaced at another address would compete with its replacement for the name,
	// each refuting the other without end. The process that started last keeps the name.
	otherProcess := update.Run != d.self.Run && update.Address != d.self.Address
	newer := update.Incarnation > d.self.Incarnation || update.Run > d.self.Run
	if otherProcess && update.State == Alive && newer {
		d.phase = superseded
		d.supersededBy = update.Address
		d.probing.probes = nil
		d.probing.relays = nil
		d.emitChange(d.table.get(d.settings.Name), Alive, false)
		return
	}
	if update.State == Alive && (update.Run == d.self.Run || update.Incarnation == d.self.Incarnation && !otherProcess) {
		return
	}
	if update.State == Suspect && update.Run == d.self.Run {
		d.awareness.increase(1) // this member responded too late for the accuser
	}
	d.self.Incarnation = update.Incarnation
	d.announce(Alive)
}

// announce sets this member's state, increments its incarnation and queues the update for dissemination.
func (d *Detector) announce(s State) {
	d.self.Incarnation++
	d.self.State = s
	d.setState(d.table.writable(d.settings.Name), d.self)
}
