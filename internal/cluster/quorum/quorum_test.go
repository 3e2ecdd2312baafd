package quorum

import "testing"

func TestDecideStart(t *testing.T) {
	fresh, old, unreachable := PeerState{Reached: true}, PeerState{Reached: true, Established: true}, PeerState{}
	for _, c := range []struct {
		others  int
		answers []PeerState
		want    Start
	}{
		{0, nil, Bootstrap},
		{2, []PeerState{unreachable, unreachable}, Wait},
		{2, []PeerState{fresh, unreachable}, Bootstrap},
		{2, []PeerState{old, unreachable}, Rejoin},
		{2, []PeerState{fresh, old}, Rejoin},
		{4, []PeerState{fresh, unreachable, unreachable, unreachable}, Wait},
		{4, []PeerState{fresh, fresh, unreachable, unreachable}, Bootstrap},
		{4, []PeerState{fresh, fresh, fresh, old}, Rejoin},
		{1, []PeerState{unreachable}, Wait},
	} {
		if got := DecideStart(c.others, c.answers); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// A server that lost its store goes, step by step, from a voter that may not vote to one that may; each step follows
// from the one before.
func TestReadmit(t *testing.T) {
	seat, empty, has := Voter, true, uint64(0)
	var steps []Step
	for range 10 {
		step := Readmit(seat, empty, has, 40)
		steps = append(steps, step)
		switch step {
		case Remove:
			seat = Absent
		case AddLearner:
			seat = Learner
		case CatchUp:
			empty, has = false, has+20
		case Promote:
			if empty || has < 40 {
				t.Errorf("promoted with %d", has)
			}
			seat = Voter
		}
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
