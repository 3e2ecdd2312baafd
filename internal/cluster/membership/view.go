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
	Since       Millis      `json:"since_ms"`     // Unix; when this state began
	By          Name        `json:"by,omitempty"` // the accuser
}

// View is an immutable snapshot of one member's table, itself included.
type View struct {
	Self       Name     `json:"self"`
	At         Millis   `json:"at_ms"`                   // Unix
	Health     int      `json:"health"`                  // its awareness: 0 (healthy) to 8
	Superseded string   `json:"superseded_by,omitempty"` // the address of a newer process of its name
	Rejected   int      `json:"refused"`                 // members not added because the table was full
	Members    []Member `json:"members"`                 // by name
}

// View is a snapshot of the present state.
func (d *Detector) View() View {
	v := View{
		Self: d.settings.Name, At: d.now, Health: int(d.awareness), Superseded: d.supersededBy, Rejected: d.rejected,
	}
	for i := range d.table.slots() {
		if m := d.table.memberAt(i); m != nil {
			v.Members = append(v.Members, m.snapshot())
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Version grows with each change of the members in View.
func (d *Detector) Version() uint64 { return d.table.version }

// Count is the number of members by State, without making a view.
func (d *Detector) Count() (by [4]int) { return d.table.count }

// StateOf is the state of one member; known is false if it is not in the table.
func (d *Detector) StateOf(name Name) (s State, inc Incarnation, known bool) {
	m := d.table.get(name)
	if m == nil {
		return Dead, 0, false
	}
	return m.State, m.Incarnation, true
}

// Get returns a member; false if it is not in the view.
func (v *View) Get(name Name) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n Name) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Present lists the names of the members that are alive or suspected, in order.
func (v *View) Present() []Name {
	var out []Name
	for _, m := range v.Members {
		if m.State <= Suspect {
			out = append(out, m.Name)
		}
	}
	return out
}

func (m *member) snapshot() Member {
	return Member{
		Name: m.Name, Address: m.Address, State: m.State, Incarnation: m.Incarnation, Run: m.Run,
		Since: m.since, By: m.By,
	}
}

// emitChange reports a change of a member to the caller; fresh says that the member was not known.
func (d *Detector) emitChange(m *member, was State, fresh bool) {
	if d.phase == created {
		return
	}
	if fresh {
		m = d.table.write(m.Name)
		m.since = d.now
	}
	d.output.Changes = append(d.output.Changes, Change{At: d.now, Previous: was, New: fresh, Member: m.snapshot()})
}
