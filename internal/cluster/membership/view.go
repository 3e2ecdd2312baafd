package membership

import (
	"cmp"
	"slices"
)

// Member is one member in a view.
type Member struct {
	Name        Name        `json:"name"`
	Address     string      `json:"address"`
	State       State       `json:"state"`
	Incarnation Incarnation `json:"incarnation"`
	Run         RunID       `json:"run,string"`
	StateSince  Millis      `json:"since_ms"`     // Unix time at which the member entered its state
	Accuser     Name        `json:"by,omitempty"` // the accuser of a member that is suspect or dead
}

// View is an immutable snapshot of one member's table, which includes that member itself.
type View struct {
	Self         Name     `json:"self"`
	At           Millis   `json:"at_ms"`                   // Unix time of the snapshot
	Health       int      `json:"health"`                  // local health multiplier of Self: 0 (healthy) to 8
	SupersededBy string   `json:"superseded_by,omitempty"` // ip:port of a newer process of Self's name; empty if none
	Rejected     int      `json:"refused"`                 // updates about unknown members, rejected by a full table
	Members      []Member `json:"members"`                 // sorted by name
}

// View returns a snapshot of the current state.
func (d *Detector) View() View {
	v := View{
		Self: d.settings.Name, At: d.now, Health: int(d.awareness), SupersededBy: d.supersededBy, Rejected: d.rejected,
	}
	for i := range d.table.slots() {
		if m := d.table.memberAt(i); m != nil {
			v.Members = append(v.Members, m.snapshot())
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Version returns a number that increases with each change of the members in View.
func (d *Detector) Version() uint64 { return d.table.version }

// Count returns the number of members by State. It is cheaper than View.
func (d *Detector) Count() (byState [4]int) { return d.table.count }

// StateOf returns the state and incarnation of a member; known is false if it is not in the table.
func (d *Detector) StateOf(name Name) (s State, incarnation Incarnation, known bool) {
	m := d.table.get(name)
	if m == nil {
		return Dead, 0, false
	}
	return m.State, m.Incarnation, true
}

// Get returns the member of a name; false if it is not in the view.
func (v *View) Get(name Name) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n Name) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Present returns the sorted names of the members that are alive or suspected.
func (v *View) Present() []Name {
	var names []Name
	for _, m := range v.Members {
		if m.State <= Suspect {
			names = append(names, m.Name)
		}
	}
	return names
}

// snapshot returns a copy of the member for callers.
func (m *member) snapshot() Member {
	return Member{
		Name: m.Name, Address: m.Address, State: m.State, Incarnation: m.Incarnation, Run: m.Run,
		StateSince: m.stateSince, Accuser: m.Accuser,
	}
}

// emitChange adds a change of a member to the output. isNew is true if the member was not known before. Nothing is
// reported before the detector has started.
func (d *Detector) emitChange(m *member, previous State, isNew bool) {
	if d.phase == created {
		return
	}
	if isNew {
		m = d.table.writable(m.Name)
		m.stateSince = d.now
	}
	d.output.Changes = append(d.output.Changes, Change{At: d.now, Previous: previous, NewMember: isNew, Member: m.snapshot()})
}
