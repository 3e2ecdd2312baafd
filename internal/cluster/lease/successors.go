package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ottershed/internal/cluster/membership"
)

// successorDelay is how long a successor waits for each one before it in the order, as a share of the TTL. A higher one
// makes two successors at once rarer, and takeover slower where the first ones are gone too.
const successorDelay = 0.5

// Successors orders the members that may take a lease over, the first to do so first. The order follows from the names
// alone (rendezvous hashing), so all members agree on it, and the leases of a member are spread over many.
func Successors(id ID, alive []string) []string {
	out := slices.Clone(alive)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(id) + "\x00" + name) }
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out
}

// DueForTakeover returns the leases that this instance should take over now. They have expired by the log's time, which
// the list carries, so that no machine's own clock enters, and their holders are dead or have left by membership. The
// instance waits successorDelay of the TTL for each successor before it.
//
// Leases that this instance took over and has not merged are due as well, whatever their state: the reply to its
// takeover may have been lost.
func DueForTakeover(self string, view *membership.View, list List, ttl Millis) []ID {
	var alive []string
	members := map[string]membership.Member{}
	for _, m := range view.Members {
		members[string(m.Name)] = m
		if m.State == membership.Alive {
			alive = append(alive, string(m.Name))
		}
	}
	var out []ID
	for i := range list.Leases {
		l := &list.Leases[i]
		if l.Holder.Name == self {
			if l.ID != TrialID(self) {
				out = append(out, l.ID)
			}
			continue
		}
		holder, known := members[l.Holder.Name]
		if !l.Expired(list.Now) || known && keepsOwnWork(l, holder.State) {
			continue
		}
		rank := slices.Index(Successors(l.ID, alive), self)
		if rank >= 0 && list.Now >= l.ExpiresAt+Millis(rank)*successorDelay*ttl {
			out = append(out, l.ID)
		}
	}
	return out
}

// keepsOwnWork tells whether the holder of an expired lease still has the work: a live instance that is only cut off
// from the log has its own in memory. What it took over from another and has not merged, it has not.
func keepsOwnWork(l *Lease, holder membership.State) bool {
	return holder <= membership.Suspect && l.ID == TrialID(l.Holder.Name)
}
