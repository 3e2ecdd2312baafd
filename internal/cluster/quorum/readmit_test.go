package quorum

import "testing"

// readmittedServer is a server that has lost its store, as known to the leader.
type readmittedServer struct {
	membership Membership
	empty      bool
	applied    uint64
}

// execute carries out one step.
func (s *readmittedServer) execute(step Step) {
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

// A server that has lost its store is removed, comes back as a learner, and becomes a voter only after it has caught
// up.
func TestReadmitPromotesAfterCatchUp(t *testing.T) {
	const committed = 40
	server := readmittedServer{membership: Voter, empty: true}
	var steps []Step
	for range 10 {
		step := Readmit(server.membership, server.empty, server.applied, committed)
		steps = append(steps, step)
		if step == Promote && (server.empty || server.applied < committed) {
			t.Errorf("promoted with empty %v and %d applied, want false and %d or more",
				server.empty, server.applied, committed)
		}
		server.execute(step)
		if step == Done {
			break
		}
	}
	want := []Step{Remove, AddLearner, CatchUp, CatchUp, Promote, Done}
	if len(steps) != len(want) {
		t.Fatalf("steps: got %v, want %v", steps, want)
	}
	for i := range want {
		if steps[i] != want[i] {
			t.Errorf("steps: got %v, want %v", steps, want)
		}
	}
}
