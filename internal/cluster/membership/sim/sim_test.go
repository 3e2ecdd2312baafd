package sim

import (
	"testing"

	"ottershed/internal/cluster/membership"
)

func fleet(t *testing.T, set Settings) *Fleet {
	t.Helper()
	if set.ToleratedPause == 0 {
		set.ToleratedPause, set.DetectionTimeout = 4000, 12000
	}
	set.Delay, set.Seeds = 20, min(3, set.Members)
	simulated, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return simulated
}

// falseDead counts the running members that anyone declares dead.
func falseDead(f *Fleet) *int {
	n := 0
	f.OnChange = func(h Observation) {
		if h.State == membership.Dead && h.Running && !h.New {
			n++
		}
	}
	return &n
}

// Members that know only the seeds come to know all others, in spite of packet loss.
func TestJoin(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		members int
		loss    float64
	}{{2, 0}, {5, 0.2}, {50, 0}, {200, 0.2}} {
		f := fleet(t, Settings{Members: test.members, Loss: test.loss, Seed: 1})
		f.Run(30000)
		f.Loss(0)
		f.Run(30000)
		if err := f.Agree(); err != nil {
			t.Errorf("%d members, loss %g: %v", test.members, test.loss, err)
		}
	}
}

// A member that dies is declared dead by all within the detection timeout, at every size and on every seed.
func TestDeathWithinBound(t *testing.T) {
	t.Parallel()
	for _, members := range []int{2, 3, 5, 20, 100} {
		for seed := range uint64(20) {
			f := fleet(t, Settings{Members: members, Seed: seed, Prejoined: true})
			f.Run(5000 + 100*Millis(seed))
			killed, last, declared := f.Now(), Millis(0), map[int]bool{}
			f.OnChange = func(h Observation) {
				if h.State == membership.Dead && h.Name == f.Member(0).Name {
					declared[h.Observer], last = true, f.Now()-killed
				}
			}
			f.Kill(0)
			f.Run(14000)
			if len(declared) != members-1 || last > f.settings.DetectionTimeout {
				t.Errorf("%d members, seed %d: %d declared it, the last after %.0f ms", members, seed, len(declared), last)
			}
			if err := f.Agree(); err != nil {
				t.Error(err)
			}
		}
	}
}

// Members that pause for no longer than the tolerated pause are not declared dead, and declare nobody dead.
func TestPauses(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		members, stalled int
	}{{2, 1}, {5, 1}, {5, 2}, {5, 4}, {20, 10}} {
		for seed := range uint64(10) {
			f := fleet(t, Settings{Members: test.members, Seed: seed, Prejoined: true})
			dead := falseDead(f)
			for range 5 {
				f.Run(3000 + 200*Millis(seed))
				for i := range test.stalled {
					f.Stall(i)
				}
				f.Run(4000)
				for i := range test.stalled {
					f.Resume(i)
				}
			}
			f.Run(8000)
			if err := f.Agree(); err != nil || *dead > 0 {
				t.Errorf("%d of %d members stalled, seed %d: %d declared dead, %v", test.stalled, test.members, seed, *dead, err)
			}
		}
	}
}

// A member that pauses for longer is declared dead, and rejoins under a higher incarnation.
func TestLongPause(t *testing.T) {
	t.Parallel()
	f := fleet(t, Settings{Members: 5, Seed: 3, Prejoined: true})
	f.Run(3000)
	f.Stall(2)
	f.Run(15000)
	for i := range 5 {
		if state, _, _ := f.Member(i).Detector.StateOf("n2"); i != 2 && state != membership.Dead {
			t.Errorf("n%d: state %v", i, state)
		}
	}
	f.Resume(2)
	f.Run(12000)
	if err := f.Agree(); err != nil {
		t.Error(err)
	}
	if _, inc, _ := f.Member(0).Detector.StateOf("n2"); inc <= startUnix {
		t.Errorf("incarnation %d", inc)
	}
}

// Under packet loss and cuts in one direction no running member is declared dead.
func TestLossAndCuts(t *testing.T) {
	t.Parallel()
	for name, cuts := range map[string][][2]int{
		"loss alone":                  nil,
		"one link":                    {{0, 1}},
		"one receives from one only":  {{1, 0}, {2, 0}, {3, 0}},
		"one is received by one only": {{0, 1}, {0, 2}, {0, 3}},
		"both, by different members":  {{0, 1}, {0, 2}, {1, 0}, {3, 0}},
		"both directions of a pair":   {{0, 1}, {1, 0}},
		"a ring of links":             {{0, 1}, {1, 2}, {2, 3}, {3, 4}, {4, 0}},
	} {
		for _, loss := range []float64{0, 0.2} {
			for seed := range uint64(6) {
				f := fleet(t, Settings{Members: 5, Seed: seed, Prejoined: true, Loss: loss})
				dead := falseDead(f)
				for _, c := range cuts {
					f.Cut(c[0], c[1], true)
				}
				f.Run(60000)
				if *dead > 0 {
					t.Errorf("%s, loss %g, seed %d: a running member was declared dead %d times", name, loss, seed, *dead)
				}
			}
		}
	}
}

// The two sides of a healed partition merge, also if there is no seed on one side.
func TestCutInTwo(t *testing.T) {
	t.Parallel()
	simulated := fleet(t, Settings{Members: 6, Seed: 5, Prejoined: true})
	part := func(on bool) {
		for i := range 6 {
			for j := range 6 {
				if (i < 4) != (j < 4) {
					simulated.Cut(i, j, on)
				}
			}
		}
	}
	simulated.Run(2000)
	part(true)
	simulated.Run(40000)
	if by := simulated.Member(5).Detector.Count(); by[membership.Dead] != 4 {
		t.Errorf("members by state on the smaller side: %v", by)
	}
	part(false)
	simulated.Run(30000)
	if err := simulated.Agree(); err != nil {
		t.Error(err)
	}
}

// A restart raises the incarnation, before and after the death is known; a member that leaves is not declared dead.
func TestRestartAndLeave(t *testing.T) {
	t.Parallel()
	for _, down := range []Millis{100, 2000, 20000} {
		simulated := fleet(t, Settings{Members: 5, Seed: 7, Prejoined: true})
		simulated.Run(3000)
		simulated.Kill(1)
		simulated.Run(down)
		if err := simulated.Start(1); err != nil {
			t.Fatal(err)
		}
		simulated.Run(15000)
		if err := simulated.Agree(); err != nil {
			t.Errorf("down for %g ms: %v", down, err)
		}
		for i := range 5 {
			if _, inc, _ := simulated.Member(i).Detector.StateOf("n1"); inc < membership.Incarnation(startUnix+3000+down) {
				t.Errorf("down for %g ms: n%d holds incarnation %d", down, i, inc)
			}
		}
		simulated.Leave(4)
		simulated.Run(3000)
		for i := range 4 {
			if state, _, _ := simulated.Member(i).Detector.StateOf("n4"); state != membership.Left {
				t.Errorf("n%d: state %v of the member that left", i, state)
			}
		}
	}
}

// After random faults that end, all running members agree, and the same seed gives the same run.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	packets := map[uint64]int{}
	for again := range 2 {
		for seed := range uint64(25) {
			simulated := fleet(t, Settings{Members: 5, Seed: seed, Loss: 0.1})
			for range 40 {
				simulated.Run(200 + 1800*simulated.random.Next())
				randomFault(t, simulated)
			}
			heal(t, simulated)
			simulated.Run(60000)
			if err := simulated.Agree(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if again == 0 {
				packets[seed] = simulated.Packets
			} else if packets[seed] != simulated.Packets {
				t.Errorf("seed %d: %d packets, and %d before", seed, simulated.Packets, packets[seed])
			}
		}
	}
}

// randomFault kills, starts, stalls or resumes one of five members, or cuts or restores a link. A fault that does not
// apply to the member's state is left out.
func randomFault(t *testing.T, f *Fleet) {
	t.Helper()
	i := int(5 * f.random.Next())
	j := int(5 * f.random.Next())
	member := f.Member(i)
	switch fault := int(6 * f.random.Next()); {
	case fault == 0 && member.Running:
		f.Kill(i)
	case fault == 1 && !member.Running:
		start(t, f, i)
	case fault == 2 && member.Running:
		f.Stall(i)
	case fault == 3 && member.Stalled && member.Running:
		f.Resume(i)
	case fault >= 4:
		f.Cut(i, j, fault == 4)
	}
}

// heal ends all faults of a fleet of five.
func heal(t *testing.T, f *Fleet) {
	t.Helper()
	f.Loss(0)
	for i := range 5 {
		for j := range 5 {
			f.Cut(i, j, false)
		}
		if !f.Member(i).Running {
			start(t, f, i)
		} else if f.Member(i).Stalled {
			f.Resume(i)
		}
	}
}

func start(t *testing.T, f *Fleet, i int) {
	t.Helper()
	if err := f.Start(i); err != nil {
		t.Fatal(err)
	}
}
