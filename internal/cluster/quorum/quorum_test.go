package quorum

import "testing"

func TestBegin(t *testing.T) {
	fresh, old, gone := Answer{Reached: true}, Answer{Reached: true, Established: true}, Answer{}
	for _, c := range []struct {
		others  int
		answers []Answer
		want    Start
	}{
		{0, nil, Found},
		{2, []Answer{gone, gone}, Wait},
		{2, []Answer{fresh, gone}, Found},
		{2, []Answer{old, gone}, Rejoin},
		{2, []Answer{fresh, old}, Rejoin},
		{4, []Answer{fresh, gone, gone, gone}, Wait},
		{4, []Answer{fresh, fresh, gone, gone}, Found},
		{4, []Answer{fresh, fresh, fresh, old}, Rejoin},
		{1, []Answer{gone}, Wait},
	} {
		if got := Begin(c.others, c.answers); got != c.want {
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
		case AddToo:
			seat = Learner
		case LetItCome:
			empty, has = false, has+20
		case Promote:
			if empty || has < 40 {
				t.Errorf("promoted with %d", has)
			}
			seat = Voter
		}
		if step == Settled {
			break
		}
	}
	want := []Step{Remove, AddToo, LetItCome, LetItCome, Promote, Settled}
	if len(steps) != len(want) {
		t.Fatalf("%v, want %v", steps, want)
	}
	for i := range want {
		if steps[i] != want[i] {
			t.Errorf("%v, want %v", steps, want)
		}
	}
}
