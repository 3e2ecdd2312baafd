package membership

import (
	"hash/crc32"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// member is an entry of the table.
type member struct {
	Update
	since       Millis     // when this state began
	suspicion   *suspicion // nil unless Suspect
	confirmedAt Millis     // the last sign of life while Suspect, seen by this member itself
	notifiedAt  Millis     // when the member was last sent its own state, while Dead
	transmits   int        // of its newest update
	queued      bool       // its newest update is still to be disseminated
}

// Roster is an immutable list of members that many detectors can start from and share.
type Roster struct {
	members   []member
	index     map[Name]int
	checksums [buckets]uint64
}

// NewRoster makes a roster of members that are alive; of entries with one name the first is used.
func NewRoster(updates []Update) *Roster {
	r := &Roster{index: make(map[Name]int, len(updates))}
	for _, u := range updates {
		if _, twice := r.index[u.Name]; twice {
			continue
		}
		u.State = Alive
		u.By = ""
		r.index[u.Name] = len(r.members)
		r.members = append(r.members, member{Update: u})
		r.checksums[bucketFor(u.Name)] ^= u.sum()
	}
	return r
}

// table holds the members. Those that have not changed since the start stay in the shared roster. Settings.MaxMembers
// and the time after which dead members are forgotten bound it.
type table struct {
	base      *Roster
	overrides map[Name]*member // changed or new members; nil for one of the roster that was forgotten
	added     []Name           // new members, in the order of their addition
	checksums [buckets]uint64  // XOR of the sums of a bucket's members
	forgotten int              // members of the roster that were forgotten
	version   uint64           // grows with each change
	count     [4]int           // members by State
}

func newTable(base *Roster) *table {
	if base == nil {
		base = &Roster{}
	}
	t := &table{base: base, overrides: map[Name]*member{}, checksums: base.checksums}
	t.count[Alive] = len(base.members)
	return t
}

// slots is the number of indices that memberAt takes.
func (t *table) slots() int { return len(t.base.members) + len(t.added) }

// size is the number of members.
func (t *table) size() int { return t.slots() - t.forgotten }

// present is the number of members that are alive or suspected.
func (t *table) present() int { return t.count[Alive] + t.count[Suspect] }

// memberAt is the member in a slot, to be read only; nil if it was forgotten.
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

// get is the member of a name, to be read only; nil if it is not known.
func (t *table) get(name Name) *member {
	if m, changed := t.overrides[name]; changed {
		return m
	}
	if i, known := t.base.index[name]; known {
		return &t.base.members[i]
	}
	return nil
}

// write is the member of a name, copied out of the roster so that it can be changed; nil if it is not known.
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

// add adds a member that is not known.
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

// set gives a member that write has returned a new update.
func (t *table) set(m *member, u Update) {
	b := bucketFor(m.Name)
	t.version++
	t.checksums[b] ^= m.sum()
	t.count[m.State]--
	m.Update = u
	t.count[m.State]++
	t.checksums[b] ^= m.sum()
}

// forget removes a member.
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

// changed lists the members that were copied out of the roster or added, by name.
func (t *table) changed() []*member {
	var out []*member
	for _, name := range slices.Sorted(maps.Keys(t.overrides)) {
		if m := t.overrides[name]; m != nil {
			out = append(out, m)
		}
	}
	return out
}

// buckets is the number of checksums in a Digest. It goes over the wire.
const buckets = 64

func bucketFor(name Name) int { return int(crc32.ChecksumIEEE([]byte(name)) % buckets) }

// sum is a member's part of its bucket's checksum. A suspicion counts as Alive: it is transient, and gossip spreads it.
func (u *Update) sum() uint64 {
	state := u.State
	if state == Suspect {
		state = Alive
	}
	text := strconv.AppendUint(append([]byte(u.Name), 0, byte(state)), uint64(u.Incarnation), 36)
	return xxhash.Sum64(text)
}
