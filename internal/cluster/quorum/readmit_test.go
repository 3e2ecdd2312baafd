package quorum

import "testing"

// readmitted is a server that has lost its store, as the leader sees it.
type readmitted struct {
	membership Membership
	empty      bool
	applied    uint64
}

// follow carries out one step.
func (s *readmitted) follow(step Step) {
	switch step {
	case Remove:
		s.membership = Absent
	case AddLearner:
		s.membership = Learner
	case CatchUp:
		s.empty = false
		s.applied += 20
	case Promote:
		s.membership = Voter
	}
}

// A server that lost its store goes step by step from a voter without its votes to one that has caught up, and gets its
// vote back last.
func TestReadmit(t *testing.T) {
	const committed = 40
	server := readmitted{membership: Voter, empty: true}
	var steps []Step
	for range 10 {
		step := Readmit(server.membership, server.empty, server.applied, committed)
		steps = append(steps, step)
		if step == Promote && (server.empty || server.applied < committed) {
			t.Errorf("promoted with %d", server.applied)
		}
		server.follow(step)
		if step == Done {
			break
		}
	}
	want := []Step{Remove, AddLearner, CatchUp, CatchUp, Promote, Done}
	if len(steps) != len(want) {
		t.Fatalf("%v, want %v", steps, want)
	}
	for i := range want {
		if steps[i] != want[i] {
			t.Errorf("%v, want %v", steps, want)
		}
	}
}
