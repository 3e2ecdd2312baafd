package membership

import (
	"hash/crc32"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// member is what is held of one member.
type member struct {
	Update
	since       Millis // in this state
	suspicion   *suspicion
	confirmedAt Millis // while suspected: when it was last found to be there, by this member itself
	notifiedAt  Millis // when it was last told what is held of it
	transmits   int    // how often the newest update has gone out
	queued      bool
}

// Roster is a list of members that many detectors may start from and share. It does not change.
type Roster struct {
	members   []member
	index     map[Name]int
	checksums [buckets]uint64
}

// NewRoster makes a roster of members that are alive; a name that comes twice is held once.
func NewRoster(updates []Update) *Roster {
	r := &Roster{index: make(map[Name]int, len(updates))}
	for _, u := range updates {
		if _, twice := r.index[u.Name]; twice {
			continue
		}
		u.State, u.By = Alive, ""
		r.index[u.Name] = len(r.members)
		r.members = append(r.members, member{Update: u})
		r.checksums[bucketFor(u.Name)] ^= u.sum()
	}
	return r
}

// table holds the members: those that never changed since the start in the shared roster, the others itself. Its
// bounds are Settings.MostMembers and the time after which the dead are forgotten.
type table struct {
	base      *Roster
	overrides map[Name]*member // changed or new; nil for one of the roster that was forgotten
	added     []Name           // new, in the order in which they came
	checksums [buckets]uint64
	forgotten int    // of the roster, forgotten
	version   uint64 // changes so far
	count     [4]int // by state
}

func newTable(base *Roster) *table {
	if base == nil {
		base = &Roster{}
	}
	t := &table{base: base, overrides: map[Name]*member{}, checksums: base.checksums}
	t.count[Alive] = len(base.members)
	return t
}

// slots is the number of places that at takes.
func (t *table) slots() int { return len(t.base.members) + len(t.added) }

// size is the number of members.
func (t *table) size() int { return t.slots() - t.forgotten }

// present is the number of those that are alive or suspected.
func (t *table) present() int { return t.count[Alive] + t.count[Suspect] }

// at is the member in a place, to be read only; nil where it was forgotten.
func (t *table) memberAt(i int) *member {
	if i >= len(t.base.members) {
		return t.overrides[t.added[i-len(t.base.members)]]
	}
	m := &t.base.members[i]
	if own, changed := t.overrides[m.Name]; changed {
		return own
	}
	return m
}

// get is the member of a name, to be read only; nil where it is not known.
func (t *table) get(name Name) *member {
	if m, changed := t.overrides[name]; changed {
		return m
	}
	if i, known := t.base.index[name]; known {
		return &t.base.members[i]
	}
	return nil
}

// write is the member of a name, to be changed by set.
func (t *table) write(name Name) *member {
	m, changed := t.overrides[name]
	if !changed {
		i, known := t.base.index[name]
		if !known {
			return nil
		}
		copied := t.base.members[i]
		m = &copied
		t.overrides[name] = m
	}
	return m
}

// add takes a new member in.
func (t *table) add(u Update) *member {
	m := &member{Update: u}
	t.version++
	if _, based := t.base.index[u.Name]; based {
		t.forgotten--
	} else {
		t.added = append(t.added, u.Name)
	}
	t.overrides[u.Name] = m
	t.count[u.State]++
	t.checksums[bucketFor(u.Name)] ^= u.sum()
	return m
}

// set gives a member of write a new update.
func (t *table) set(m *member, u Update) {
	b := bucketFor(m.Name)
	t.version++
	t.checksums[b] ^= m.sum()
	t.count[m.State]--
	m.Update = u
	t.count[m.State]++
	t.checksums[b] ^= m.sum()
}

// forget drops a member.
func (t *table) forget(m *member) {
	t.version++
	t.checksums[bucketFor(m.Name)] ^= m.sum()
	t.count[m.State]--
	if _, based := t.base.index[m.Name]; based {
		t.overrides[m.Name] = nil
		t.forgotten++
		return
	}
	delete(t.overrides, m.Name)
	if i := slices.Index(t.added, m.Name); i >= 0 {
		t.added = slices.Delete(t.added, i, i+1)
	}
}

// changed are the members that differ from the roster, by name.
func (t *table) changed() []*member {
	var out []*member
	for _, name := range slices.Sorted(maps.Keys(t.overrides)) {
		if m := t.overrides[name]; m != nil {
			out = append(out, m)
		}
	}
	return out
}

const buckets = 64

func bucketFor(name Name) int { return int(crc32.ChecksumIEEE([]byte(name)) % buckets) }

// sum is what a member adds to its bucket's sum. A suspicion is not in it: gossip spreads that, and it passes.
func (u *Update) sum() uint64 {
	state := u.State
	if state == Suspect {
		state = Alive
	}
	text := strconv.AppendUint(append([]byte(u.Name), 0, byte(state)), uint64(u.Incarnation), 36)
	return xxhash.Sum64(text)
}
