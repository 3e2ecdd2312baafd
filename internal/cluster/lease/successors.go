package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ottershed/internal/cluster/membership"
)

// successorDelay is the time that a successor waits for each earlier successor in the order, as a share of the TTL. A
// higher delay makes concurrent takeovers by two successors rarer, but slows takeover down if the first successors are
// dead too.
const successorDelay = 0.5

// Successors returns the live members in the order in which they may take the lease over. The order depends on the
// names only (rendezvous hashing), so all members agree on the order, and the leases of one member are spread over many
// successors.
func Successors(id ID, alive []string) []string {
	ordered := slices.Clone(alive)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(id) + "\x00" + name) }
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ordered
}

// DueForTakeover returns the leases that the instance self should take over now. Their holders are dead or have left
// according to membership, and the leases have expired by the log's time. The list carries that time, so that no local
// clock affects the result. The instance waits successorDelay of the TTL for each successor before it.
//
// Leases that self has taken over and not merged are due in any state: the reply to the takeover may have been lost.
func DueForTakeover(self string, view *membership.View, list List, ttl Millis) []ID {
	var alive []string
	members := map[string]membership.Member{}
	for _, m := range view.Members {
		members[string(m.Name)] = m
		if m.State == membership.Alive {
			alive = append(alive, string(m.Name))
		}
	}
	var due []ID
	for i := range list.Leases {
		l := &list.Leases[i]
		if l.Holder.Name == self {
			if l.ID != TrialID(self) {
				due = append(due, l.ID)
			}
			continue
		}
		holder, known := members[l.Holder.Name]
		if !l.Expired(list.Now) || known && holderRetainsWork(l, holder.State) {
			continue
		}
		rank := slices.Index(Successors(l.ID, alive), self)
		if rank >= 0 && list.Now >= l.ExpiresAt+Millis(rank)*successorDelay*ttl {
			due = append(due, l.ID)
		}
	}
	return due
}

// holderRetainsWork reports whether the holder of an expired lease still has the work. A live instance that is only cut
// off from the log still has the work of its own lease in memory, but not that of a lease that it has taken over and
// not merged.
func holderRetainsWork(l *Lease, holder membership.State) bool {
	return holder <= membership.Suspect && l.ID == TrialID(l.Holder.Name)
}
