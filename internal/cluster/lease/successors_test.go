package lease

import (
	"fmt"
	"slices"
	"testing"

	"ottershed/internal/cluster/membership"
)

// The order of successors does not depend on the order of the names, and leases spread over all members.
func TestSuccessors(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]int{}
	for i := range 300 {
		id := TrialID(fmt.Sprint("m", i))
		order, reversed := Successors(id, names), Successors(id, []string{"e", "d", "c", "b", "a"})
		if !slices.Equal(order, reversed) {
			t.Fatal("the order of successors depends on the order of names")
		}
		firsts[order[0]]++
	}
	for _, name := range names {
		if firsts[name] < 30 {
			t.Errorf("%s is the first successor of %d in 300", name, firsts[name])
		}
	}
}

// viewOf is a view of a, b and c, which are alive, and z in a state.
func viewOf(state membership.State) *membership.View {
	return &membership.View{Self: "a", Members: []membership.Member{
		{Name: "a"},
		{Name: "b"},
		{Name: "c"},
		{Name: "z", State: state},
	}}
}

// A lease is due once it has expired and its holder is dead or has left, for one successor after another.
func TestDueForTakeover(t *testing.T) {
	orphan := TrialID("z")
	successors := Successors(orphan, []string{"a", "b", "c"})
	leases := []Lease{{ID: orphan, Holder: Holder{"z", 1}, ExpiresAt: 1000}, {ID: TrialID("a"), Holder: Holder{"a", 1}}}
	for _, test := range []struct {
		name  string
		state membership.State // of the holder
		now   Millis
		rank  int // of this instance among the successors
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
			got := DueForTakeover(successors[test.rank], viewOf(test.state), List{Now: test.now, Leases: leases}, 500)
			if due := slices.Contains(got, orphan); due != test.due || len(got) > 1 {
				t.Errorf("%+v: %v", test, got)
			}
		})
	}
	due := func(self string, holder membership.State, now Millis) []ID {
		return DueForTakeover(self, viewOf(holder), List{Now: now, Leases: leases}, 500)
	}
	leases[0].Holder.Name = successors[1]
	if got := due(successors[1], membership.Dead, 0); !slices.Contains(got, orphan) {
		t.Errorf("taken over by this instance and not merged: %v", got)
	}
	if got := due(successors[0], membership.Dead, 1000); !slices.Contains(got, orphan) {
		t.Errorf("taken over by another, not merged, and expired: %v", got)
	}
	leases[0].Holder.Name = "forgotten"
	if got := due(successors[0], membership.Alive, 9000); len(got) != 1 {
		t.Errorf("held by an instance that membership does not know: %v", got)
	}
}
