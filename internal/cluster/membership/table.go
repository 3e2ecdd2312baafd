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
	stateSince  Millis     // Unix time at which the member entered its state
	suspicion   *suspicion // nil unless the state is Suspect
	lastAliveAt Millis     // while Suspect: Unix time of the last sign of life that this process received; 0: none
	notifiedAt  Millis     // while Dead: Unix time at which the member was last sent the update about itself
	transmits   int        // how often the newest update about this member was sent
	queued      bool       // the newest update about this member is still to be disseminated
}

// Roster is an immutable list of members that many detectors can start from and share.
type Roster struct {
	members   []member
	index     map[Name]int
	checksums [bucketCount]uint64
}

// NewRoster returns a roster in which all members are alive. Of several entries with the same name the first is used.
func NewRoster(updates []Update) *Roster {
	r := &Roster{index: make(map[Name]int, len(updates))}
	for _, u := range updates {
		if _, duplicate := r.index[u.Name]; duplicate {
			continue
		}
		u.State = Alive
		u.Accuser = ""
		r.index[u.Name] = len(r.members)
		r.members = append(r.members, member{Update: u})
		r.checksums[bucketFor(u.Name)] ^= u.checksum()
	}
	return r
}

// table holds the members. Members that have not changed since the start stay in the shared roster. The table is
// bounded by Settings.MaxMembers, and by the removal of dead members after timing.deadRetention.
type table struct {
	base      *Roster
	overrides map[Name]*member    // members changed or added since the start; nil for a removed member of the roster
	added     []Name              // members that are not in the roster, in the order of their addition
	checksums [bucketCount]uint64 // by bucket: XOR of the checksums of its members
	removed   int                 // members of the roster that were removed
	version   uint64              // increases with each change of the table
	count     [4]int              // members by State
}

// newTable returns a table with the members of a roster; nil is an empty roster.
func newTable(base *Roster) *table {
	if base == nil {
		base = &Roster{}
	}
	t := &table{base: base, overrides: map[Name]*member{}, checksums: base.checksums}
	t.count[Alive] = len(base.members)
	return t
}

// slots returns the number of slots, whose indices memberAt accepts. Slots of removed members count.
func (t *table) slots() int { return len(t.base.members) + len(t.added) }

// size returns the number of members.
func (t *table) size() int { return t.slots() - t.removed }

// present returns the number of members that are alive or suspected.
func (t *table) present() int { return t.count[Alive] + t.count[Suspect] }

// memberAt returns the member in a slot, read-only; nil if it was removed.
func (t *table) memberAt(i int) *member {
	if i >= len(t.base.members) {
		return t.overrides[t.added[i-len(t.base.members)]]
	}
	m := &t.base.members[i]
	if override, changed := t.overrides[m.Name]; changed {
		return override
	}
	return m
}

// get returns the member of a name, read-only; nil if it is unknown.
func (t *table) get(name Name) *member {
	if m, changed := t.overrides[name]; changed {
		return m
	}
	if i, known := t.base.index[name]; known {
		return &t.base.members[i]
	}
	return nil
}

// writable returns the member of a name for writing; nil if it is unknown. A member that is only in the roster is
// copied into overrides first.
func (t *table) writable(name Name) *member {
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

// add adds an unknown member.
func (t *table) add(u Update) *member {
	m := &member{Update: u}
	t.version++
	if _, inBase := t.base.index[u.Name]; inBase {
		t.removed--
	} else {
		t.added = append(t.added, u.Name)
	}
	t.overrides[u.Name] = m
	t.count[u.State]++
	t.checksums[bucketFor(u.Name)] ^= u.checksum()
	return m
}

// set replaces the update of a member that was returned by writable or add.
func (t *table) set(m *member, u Update) {
	b := bucketFor(m.Name)
	t.version++
	t.checksums[b] ^= m.checksum()
	t.count[m.State]--
	m.Update = u
	t.count[m.State]++
	t.checksums[b] ^= m.checksum()
}

// remove removes a member.
func (t *table) remove(m *member) {
	t.version++
	t.checksums[bucketFor(m.Name)] ^= m.checksum()
	t.count[m.State]--
	if _, inBase := t.base.index[m.Name]; inBase {
		t.overrides[m.Name] = nil
		t.removed++
		return
	}
	delete(t.overrides, m.Name)
	if i := slices.Index(t.added, m.Name); i >= 0 {
		t.added = slices.Delete(t.added, i, i+1)
	}
}

// overridden returns the members that were changed or added since the start, sorted by name.
func (t *table) overridden() []*member {
	var members []*member
	for _, name := range slices.Sorted(maps.Keys(t.overrides)) {
		if m := t.overrides[name]; m != nil {
			members = append(members, m)
		}
	}
	return members
}

// bucketCount is the number of checksums in a Digest. It is part of the wire format.
const bucketCount = 64

// bucketFor returns the bucket of a name, 0 to bucketCount-1.
func bucketFor(name Name) int { return int(crc32.ChecksumIEEE([]byte(name)) % bucketCount) }

// checksum returns a member's part of its bucket's checksum. Suspect counts as Alive: a suspicion is transient and
// disseminated by gossip, so it must not start a transfer of records.
func (u *Update) checksum() uint64 {
	state := u.State
	if state == Suspect {
		state = Alive
	}
	text := strconv.AppendUint(append([]byte(u.Name), 0, byte(state)), uint64(u.Incarnation), 36)
	return xxhash.Sum64(text)
}
