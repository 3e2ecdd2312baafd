package lease

import (
	"fmt"
	"slices"
	"testing"

	"ottershed/internal/cluster/membership"
)

// Guards against members that disagree on the order of successors because they list the names in different orders, and
// against one member that takes over most leases.
func TestSuccessorsIgnoreInputOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]int{}
	for i := range 300 {
		id := TrialID(fmt.Sprint("m", i))
		order, reversed := Successors(id, names), Successors(id, []string{"e", "d", "c", "b", "a"})
		if !slices.Equal(order, reversed) {
			t.Fatal("got different orders of successors for reversed names, want equal orders")
		}
		firsts[order[0]]++
	}
	for _, name := range names {
		if firsts[name] < 30 {
			t.Errorf("%s: got first successor of %d leases in 300, want at least 30", name, firsts[name])
		}
	}
}

// viewWithHolder returns a view with the live members a, b and c, and the lease holder z in the given state.
func viewWithHolder(state membership.State) *membership.View {
	return &membership.View{Self: "a", Members: []membership.Member{
		{Name: "a"},
		{Name: "b"},
		{Name: "c"},
		{Name: "z", State: state},
	}}
}

// Guards against takeover from a live holder or before expiry, and against successors that act before their turn.
func TestExpiredLeaseOfDeadHolderIsDue(t *testing.T) {
	leaseID := TrialID("z")
	successors := Successors(leaseID, []string{"a", "b", "c"})
	leases := []Lease{{ID: leaseID, Holder: Holder{"z", 1}, ExpiresAt: 1000}, {ID: TrialID("a"), Holder: Holder{"a", 1}}}
	for _, test := range []struct {
		name  string
		state membership.State // state of the holder
		now   Millis
		rank  int // rank of the calling instance among the successors
		due   bool
	}{
		{"dead, not expired", membership.Dead, 999, 0, false},
		{"dead, expired", membership.Dead, 1000, 0, true},
		{"left, expired", membership.Left, 1000, 0, true},
		{"suspect, expired", membership.Suspect, 5000, 0, false},
		{"alive, expired", membership.Alive, 5000, 0, false},
		{"second successor, at expiry", membership.Dead, 1000, 1, false},
		{"second successor, half a TTL after", membership.Dead, 1250, 1, true},
		{"third successor, too early", membership.Dead, 1400, 2, false},
		{"third successor, a TTL after", membership.Dead, 1500, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := DueForTakeover(successors[test.rank], viewWithHolder(test.state), List{Now: test.now, Leases: leases}, 500)
			if due := slices.Contains(got, leaseID); due != test.due || len(got) > 1 {
				t.Errorf("%+v: got due leases %v, want trial/z alone if due, otherwise none", test, got)
			}
		})
	}
	dueAt := func(self string, holder membership.State, now Millis) []ID {
		return DueForTakeover(self, viewWithHolder(holder), List{Now: now, Leases: leases}, 500)
	}
	leases[0].Holder.Name = successors[1]
	if got := dueAt(successors[1], membership.Dead, 0); !slices.Contains(got, leaseID) {
		t.Errorf("taken over by the calling instance and not merged: got due leases %v, want trial/z among them", got)
	}
	if got := dueAt(successors[0], membership.Dead, 1000); !slices.Contains(got, leaseID) {
		t.Errorf("taken over by another instance, not merged, expired: got due leases %v, want trial/z among them", got)
	}
	leases[0].Holder.Name = "forgotten"
	if got := dueAt(successors[0], membership.Alive, 9000); len(got) != 1 {
		t.Errorf("held by an instance that membership does not know: got due leases %v, want one", got)
	}
}
