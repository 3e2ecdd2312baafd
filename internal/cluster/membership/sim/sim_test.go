package sim

import (
	"ottershed/internal/cluster/membership"
	"testing"
)

func fleet(t *testing.T, set Settings) *Fleet {
	t.Helper()
	if set.ToleratedPause == 0 {
		set.ToleratedPause, set.DetectionTimeout = 4000, 12000
	}
	set.Delay, set.Seeds = 20, min(3, set.Members)
	f, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return f
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

// Strangers that know but the seeds come to know all, whatever is lost.
func TestJoin(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		members int
		loss    float64
	}{{2, 0}, {5, 0.2}, {50, 0}, {200, 0.2}} {
		f := fleet(t, Settings{Members: tc.members, Loss: tc.loss, Seed: 1})
		f.Run(30000)
		f.Loss(0)
		f.Run(30000)
		if err := f.Agree(); err != nil {
			t.Errorf("%d members, loss %g: %v", tc.members, tc.loss, err)
		}
	}
}

// A member that dies is declared dead by all within the bound, at every size and on every seed.
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

// Members that stand still for as long as is to be borne are not declared dead, and declare nobody dead themselves.
func TestPauses(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		members, stalled int
	}{{2, 1}, {5, 1}, {5, 2}, {5, 4}, {20, 10}} {
		for seed := range uint64(10) {
			f := fleet(t, Settings{Members: tc.members, Seed: seed, Prejoined: true})
			dead := falseDead(f)
			for range 5 {
				f.Run(3000 + 200*Millis(seed))
				for i := range tc.stalled {
					f.Stall(i)
				}
				f.Run(4000)
				for i := range tc.stalled {
					f.Resume(i)
				}
			}
			f.Run(8000)
			if err := f.Agree(); err != nil || *dead > 0 {
				t.Errorf("%d of %d members stalled, seed %d: %d declared dead, %v", tc.stalled, tc.members, seed, *dead, err)
			}
		}
	}
}

// A long pause ends in death, and the dead that come back are taken in again, under a higher incarnation.
func TestLongPause(t *testing.T) {
	t.Parallel()
	f := fleet(t, Settings{Members: 5, Seed: 3, Prejoined: true})
	f.Run(3000)
	f.Stall(2)
	f.Run(15000)
	for i := range 5 {
		if state, _, _ := f.Member(i).Detector.StateOf("n2"); i != 2 && state != membership.Dead {
			t.Errorf("n%d holds it for %v", i, state)
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

// Under loss and one-sided cuts nobody who runs is declared dead.
func TestLossAndCuts(t *testing.T) {
	t.Parallel()
	for name, cuts := range map[string][][2]int{
		"loss alone":                    nil,
		"one does not hear another":     {{0, 1}},
		"one hears one only":            {{1, 0}, {2, 0}, {3, 0}},
		"one is heard by one only":      {{0, 1}, {0, 2}, {0, 3}},
		"both, by two that differ":      {{0, 1}, {0, 2}, {1, 0}, {3, 0}},
		"two do not hear each other":    {{0, 1}, {1, 0}},
		"a ring of those who hear less": {{0, 1}, {1, 2}, {2, 3}, {3, 4}, {4, 0}},
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
					t.Errorf("%s, loss %g, seed %d: %d times one that runs was declared dead", name, loss, seed, *dead)
				}
			}
		}
	}
}

// A fleet that was cut in two comes together again, also where no seed is on one side.
func TestCutInTwo(t *testing.T) {
	t.Parallel()
	f := fleet(t, Settings{Members: 6, Seed: 5, Prejoined: true})
	part := func(on bool) {
		for i := range 6 {
			for j := range 6 {
				if (i < 4) != (j < 4) {
					f.Cut(i, j, on)
				}
			}
		}
	}
	f.Run(2000)
	part(true)
	f.Run(40000)
	if by := f.Member(5).Detector.Count(); by[membership.Dead] != 4 {
		t.Errorf("the cut-off side holds %v", by)
	}
	part(false)
	f.Run(30000)
	if err := f.Agree(); err != nil {
		t.Error(err)
	}
}

// A restart comes with a higher incarnation, before and after its death is known; one that leaves is not missed.
func TestRestartAndLeave(t *testing.T) {
	t.Parallel()
	for _, down := range []Millis{100, 2000, 20000} {
		f := fleet(t, Settings{Members: 5, Seed: 7, Prejoined: true})
		f.Run(3000)
		f.Kill(1)
		f.Run(down)
		if err := f.Start(1); err != nil {
			t.Fatal(err)
		}
		f.Run(15000)
		if err := f.Agree(); err != nil {
			t.Errorf("down for %g ms: %v", down, err)
		}
		for i := range 5 {
			if _, inc, _ := f.Member(i).Detector.StateOf("n1"); inc < membership.Incarnation(startUnix+3000+down) {
				t.Errorf("down for %g ms: n%d holds incarnation %d", down, i, inc)
			}
		}
		f.Leave(4)
		f.Run(3000)
		for i := range 4 {
			if state, _, _ := f.Member(i).Detector.StateOf("n4"); state != membership.Left {
				t.Errorf("n%d holds the one that left for %v", i, state)
			}
		}
	}
}

// Faults drawn at random for a time: afterwards all agree. The same seed gives the same run.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	played := map[uint64]int{}
	for again := range 2 {
		for seed := range uint64(25) {
			f := fleet(t, Settings{Members: 5, Seed: seed, Loss: 0.1})
			for range 40 {
				f.Run(200 + 1800*f.random.Next())
				i, j := int(5*f.random.Next()), int(5*f.random.Next())
				switch what := int(6 * f.random.Next()); {
				case what == 0 && f.Member(i).Running:
					f.Kill(i)
				case what == 1 && !f.Member(i).Running:
					f.Start(i)
				case what == 2 && f.Member(i).Running:
					f.Stall(i)
				case what == 3 && f.Member(i).Stalled && f.Member(i).Running:
					f.Resume(i)
				case what >= 4:
					f.Cut(i, j, what == 4)
				}
			}
			f.Loss(0)
			for i := range 5 {
				for j := range 5 {
					f.Cut(i, j, false)
				}
				if !f.Member(i).Running {
					f.Start(i)
				} else if f.Member(i).Stalled {
					f.Resume(i)
				}
			}
			f.Run(60000)
			if err := f.Agree(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if again == 0 {
				played[seed] = f.Packets
			} else if played[seed] != f.Packets {
				t.Errorf("seed %d: %d packets, and %d before", seed, f.Packets, played[seed])
			}
		}
	}
}
