package membership

import (
	"fmt"
	"slices"
	"strconv"
)

// State is the state of a member in another's view. Of two updates with one incarnation the higher state outranks.
//
//	from              to        on
//	(unknown)         Alive     any update but Dead and Left, or a packet from the member (addMember)
//	(unknown)         Dead Left an update that says so: kept against late updates about its life (addMember)
//	Alive             Suspect   a second failed probe in a row, or an accusation; also another's Dead (suspectMember)
//	Suspect           Alive     a refutation: a higher incarnation from the member itself (apply)
//	Suspect           Dead      the timeout without a sign of life (suspicionsDue), or another's Dead (apply)
//	Alive Suspect     Left      the member's own announcement (apply); it outranks Dead as well
//	Dead Left         Alive     a higher incarnation: a refutation or a restart (apply)
//	Dead Left         Suspect   an accusation at a higher incarnation, by way of Alive (applyAccusation)
//	Left              Dead      another's Dead at a higher incarnation (apply)
//	Dead Left         (unknown) Settings.DetectionTimeout times ten (sweep)
type State int

// The states of a member. The numbers go over the wire.
const (
	Alive   State = iota
	Suspect       // did not respond to a probe and has not refuted that yet
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

// MarshalText encodes the state as a word.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the word.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("want a state of a member, got %q", text)
}

// apply merges an update that the member from has sent.
func (d *Detector) apply(update Update, from Name) {
	if update.Name == d.settings.Name {
		d.aboutSelf(update)
		return
	}
	known := d.table.get(update.Name)
	if known == nil {
		d.addMember(update)
		return
	}
	if known.Run != update.Run && update.Incarnation == known.Incarnation {
		return // two processes of one name started at one instant: the first stands until one of them gives way
	}
	// A member that receives nothing any more declares all others dead. So another's Dead counts as an accusation only,
	// for a member that is not suspected here or has shown a sign of life.
	accusation := update.State == Dead && (known.State == Alive || d.confirmedAlive(known))
	if update.State == Suspect || accusation {
		d.applyAccusation(update, known, from)
		return
	}
	if update.supersedes(&known.Update) {
		d.setState(d.table.write(update.Name), update)
	}
}

func (d *Detector) applyAccusation(update Update, known *member, from Name) {
	accuser := update.By
	if accuser == "" {
		accuser = from
	}
	if update.Incarnation > known.Incarnation {
		alive := update
		alive.State = Alive
		alive.By = ""
		d.setState(d.table.write(update.Name), alive)
	}
	d.suspectMember(update.Name, update.Incarnation, accuser)
}

// correct sends the sender of updates the refutations that it has missed.
func (d *Detector) correct(sender *member, updates []Update) {
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

// addMember adds a member that was not known.
func (d *Detector) addMember(update Update) {
	if d.table.size() >= d.settings.MaxMembers {
		d.rejected++
		return
	}
	suspected := update.State == Suspect
	accuser := update.By
	if suspected {
		update.State = Alive
		update.By = ""
	}
	m := d.table.add(update)
	m.since = d.now
	d.resize()
	// Updates about dead members circulate for a while; a member that did not know them must not disseminate them anew.
	if update.State <= Suspect {
		d.broadcasts.put(m)
	}
	d.emitChange(m, Dead, true)
	if suspected {
		d.suspectMember(update.Name, update.Incarnation, accuser)
	}
}

// setState gives a member a new state and disseminates it. A suspicion ends with it.
func (d *Detector) setState(target *member, update Update) {
	was := target.State
	run := target.Run
	if update.State == Alive {
		update.By = ""
	}
	d.table.set(target, update)
	if update.State != Suspect {
		target.suspicion = nil
		target.confirmedAt = 0
		d.suspects = slices.DeleteFunc(d.suspects, func(name Name) bool { return name == target.Name })
	}
	d.broadcasts.put(target)
	d.resize()
	if was != update.State || run != update.Run {
		target.since = d.now
		d.emitChange(target, was, false)
	}
}

// aboutSelf handles what others tell about this member: it refutes what is not true, and gives way to a newer process
// of its name.
func (d *Detector) aboutSelf(update Update) {
	if d.phase != running || update.Incarnation < d.self.Incarnation {
		return
	}
	// A process that was declared dead and replaced elsewhere would compete with its successor for the name, each
	// refuting the other without end. The one that started last keeps it.
	other := update.Run != d.self.Run && update.Address != d.self.Address
	newer := update.Incarnation > d.self.Incarnation || update.Run > d.self.Run
	if other && update.State == Alive && newer {
		d.phase = superseded
		d.supersededBy = update.Address
		d.probing.probes = nil
		d.probing.relays = nil
		d.emitChange(d.table.get(d.settings.Name), Alive, false)
		return
	}
	if update.State == Alive && (update.Run == d.self.Run || update.Incarnation == d.self.Incarnation && !other) {
		return
	}
	if update.State == Suspect && update.Run == d.self.Run {
		d.awareness.worse(1) // it responded too late for the accuser
	}
	d.self.Incarnation = update.Incarnation
	d.announce(Alive)
}

// announce disseminates a new incarnation of this member.
func (d *Detector) announce(s State) {
	d.self.Incarnation++
	d.self.State = s
	d.setState(d.table.write(d.settings.Name), d.self)
}
