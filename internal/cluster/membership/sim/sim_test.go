package sim

import (
	"testing"

	"ottershed/internal/cluster/membership"
)

// fleet returns a fleet with the settings that all tests share: a delay of up to 20 ms, at most 3 seeds and, unless
// set, a tolerated pause of 4 s and a detection timeout of 12 s.
func fleet(t *testing.T, set Settings) *Fleet {
	t.Helper()
	if set.ToleratedPause == 0 {
		set.ToleratedPause, set.DetectionTimeout = 4000, 12000
	}
	set.Delay, set.Seeds = 20, min(3, set.Members)
	simulated, err := New(set)
	if err != nil {
		t.Fatalf("new fleet of %d members: %v", set.Members, err)
	}
	return simulated
}

// countFalseDeaths counts how often a member declares a running member dead, from now on.
func countFalseDeaths(f *Fleet) *int {
	n := 0
	f.OnChange = func(observed Observation) {
		if observed.State == membership.Dead && observed.SubjectRunning && !observed.NewMember {
			n++
		}
	}
	return &n
}

// Members that know only the seeds discover all others, despite packet loss.
func TestJoinThroughSeeds(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		members int
		loss    float64
	}{{2, 0}, {5, 0.2}, {50, 0}, {200, 0.2}} {
		f := fleet(t, Settings{Members: test.members, Loss: test.loss, RandomSeed: 1})
		f.Run(30000)
		f.SetLoss(0)
		f.Run(30000)
		if err := f.CheckAgreement(); err != nil {
			t.Errorf("%d members, loss %g: %v", test.members, test.loss, err)
		}
	}
}

// A member that dies is declared dead by all others within the detection timeout, in clusters of 2 to 100 members.
func TestDeathDetectedWithinTimeout(t *testing.T) {
	t.Parallel()
	for _, members := range []int{2, 3, 5, 20, 100} {
		for seed := range uint64(20) {
			f := fleet(t, Settings{Members: members, RandomSeed: seed, Prejoined: true})
			f.Run(5000 + 100*Millis(seed))
			killed, lastDelay, declared := f.Now(), Millis(0), map[int]bool{}
			f.OnChange = func(observed Observation) {
				if observed.State == membership.Dead && observed.Name == f.Member(0).Name {
					declared[observed.Observer], lastDelay = true, f.Now()-killed
				}
			}
			f.Kill(0)
			f.Run(14000)
			if len(declared) != members-1 || lastDelay > f.settings.DetectionTimeout {
				t.Errorf("%d members, seed %d: %d declared it dead, the last after %.0f ms, want %d within %.0f ms",
					members, seed, len(declared), lastDelay, members-1, f.settings.DetectionTimeout)
			}
			if err := f.CheckAgreement(); err != nil {
				t.Errorf("%d members, seed %d: %v", members, seed, err)
			}
		}
	}
}

// Members that pause for no longer than the tolerated pause are not declared dead, and do not declare others dead.
func TestToleratedPauseCausesNoDeath(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		members, stalled int
	}{{2, 1}, {5, 1}, {5, 2}, {5, 4}, {20, 10}} {
		for seed := range uint64(10) {
			f := fleet(t, Settings{Members: test.members, RandomSeed: seed, Prejoined: true})
			falseDeaths := countFalseDeaths(f)
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
			if err := f.CheckAgreement(); err != nil || *falseDeaths > 0 {
				t.Errorf("%d of %d members stalled, seed %d: %d false deaths, want 0; %v",
					test.stalled, test.members, seed, *falseDeaths, err)
			}
		}
	}
}

// A member that pauses for longer than tolerated is declared dead, and rejoins with a higher incarnation.
func TestLongPauseIsDeathThenRejoin(t *testing.T) {
	t.Parallel()
	f := fleet(t, Settings{Members: 5, RandomSeed: 3, Prejoined: true})
	f.Run(3000)
	f.Stall(2)
	f.Run(15000)
	for i := range 5 {
		if state, _, _ := f.Member(i).Detector.StateOf("n2"); i != 2 && state != membership.Dead {
			t.Errorf("view of n%d: n2 is %v, want %v", i, state, membership.Dead)
		}
	}
	f.Resume(2)
	f.Run(12000)
	if err := f.CheckAgreement(); err != nil {
		t.Errorf("agreement after n2 has rejoined: %v", err)
	}
	if _, incarnation, _ := f.Member(0).Detector.StateOf("n2"); incarnation <= startUnix {
		t.Errorf("incarnation of n2: got %d, want more than %d", incarnation, startUnix)
	}
}

// No running member is declared dead because of packet loss or of links that are cut in one direction.
func TestLossAndCutsCauseNoDeath(t *testing.T) {
	t.Parallel()
	for name, cuts := range map[string][][2]int{
		"no cut":                          nil,
		"one link":                        {{0, 1}},
		"n0 receives from n4 only":        {{1, 0}, {2, 0}, {3, 0}},
		"n0 reaches n4 only":              {{0, 1}, {0, 2}, {0, 3}},
		"n0 partly, in both directions":   {{0, 1}, {0, 2}, {1, 0}, {3, 0}},
		"n0 and n1, in both directions":   {{0, 1}, {1, 0}},
		"each member to the next, a ring": {{0, 1}, {1, 2}, {2, 3}, {3, 4}, {4, 0}},
	} {
		for _, loss := range []float64{0, 0.2} {
			for seed := range uint64(6) {
				f := fleet(t, Settings{Members: 5, RandomSeed: seed, Prejoined: true, Loss: loss})
				falseDeaths := countFalseDeaths(f)
				for _, c := range cuts {
					f.SetCut(c[0], c[1], true)
				}
				f.Run(60000)
				if *falseDeaths > 0 {
					t.Errorf("cut: %s, loss %g, seed %d: %d false deaths, want 0", name, loss, seed, *falseDeaths)
				}
			}
		}
	}
}

// The two sides of a partition merge after it has healed, even if one side has no seed.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	simulated := fleet(t, Settings{Members: 6, RandomSeed: 5, Prejoined: true})
	setPartition := func(on bool) {
		for i := range 6 {
			for j := range 6 {
				if (i < 4) != (j < 4) {
					simulated.SetCut(i, j, on)
				}
			}
		}
	}
	simulated.Run(2000)
	setPartition(true)
	simulated.Run(40000)
	if count := simulated.Member(5).Detector.Count(); count[membership.Dead] != 4 {
		t.Errorf("members by state on the smaller side: got %v, want 4 dead", count)
	}
	setPartition(false)
	simulated.Run(30000)
	if err := simulated.CheckAgreement(); err != nil {
		t.Errorf("agreement after the partition has healed: %v", err)
	}
}

// A restart raises the incarnation, whether or not the others have noticed the death. A member that leaves has the
// state Left and is not declared dead.
func TestRestartRaisesIncarnationAndLeaveIsNoDeath(t *testing.T) {
	t.Parallel()
	for _, down := range []Millis{100, 2000, 20000} {
		simulated := fleet(t, Settings{Members: 5, RandomSeed: 7, Prejoined: true})
		simulated.Run(3000)
		simulated.Kill(1)
		simulated.Run(down)
		if err := simulated.Start(1); err != nil {
			t.Fatalf("restart n1 after %g ms: %v", down, err)
		}
		simulated.Run(15000)
		if err := simulated.CheckAgreement(); err != nil {
			t.Errorf("down for %g ms: %v", down, err)
		}
		want := membership.Incarnation(startUnix + 3000 + down)
		for i := range 5 {
			if _, incarnation, _ := simulated.Member(i).Detector.StateOf("n1"); incarnation < want {
				t.Errorf("down for %g ms: view of n%d: incarnation of n1 is %d, want %d or more", down, i, incarnation, want)
			}
		}
		simulated.Leave(4)
		simulated.Run(3000)
		for i := range 4 {
			if state, _, _ := simulated.Member(i).Detector.StateOf("n4"); state != membership.Left {
				t.Errorf("down for %g ms: view of n%d: n4 is %v, want %v", down, i, state, membership.Left)
			}
		}
	}
}

// After random faults have ended, all running members agree on the cluster. The same seed gives the same run.
func TestAgreementAfterRandomFaults(t *testing.T) {
	t.Parallel()
	packets := map[uint64]int{}
	for repetition := range 2 {
		for seed := range uint64(25) {
			simulated := fleet(t, Settings{Members: 5, RandomSeed: seed, Loss: 0.1})
			for range 40 {
				simulated.Run(200 + 1800*simulated.random.Float64())
				randomFault(t, simulated)
			}
			heal(t, simulated)
			simulated.Run(60000)
			if err := simulated.CheckAgreement(); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if repetition == 0 {
				packets[seed] = simulated.PacketsSent
			} else if packets[seed] != simulated.PacketsSent {
				t.Errorf("seed %d: got %d packets, want %d as in the first run", seed, simulated.PacketsSent, packets[seed])
			}
		}
	}
}

// randomFault kills, starts, stalls or resumes one of five members, or cuts or restores a link. It does nothing if the
// fault does not apply to the member's state.
func randomFault(t *testing.T, f *Fleet) {
	t.Helper()
	i := int(5 * f.random.Float64())
	j := int(5 * f.random.Float64())
	member := f.Member(i)
	switch fault := int(6 * f.random.Float64()); {
	case fault == 0 && member.Running:
		f.Kill(i)
	case fault == 1 && !member.Running:
		start(t, f, i)
	case fault == 2 && member.Running:
		f.Stall(i)
	case fault == 3 && member.Stalled && member.Running:
		f.Resume(i)
	case fault >= 4:
		f.SetCut(i, j, fault == 4)
	}
}

// heal ends all faults in a fleet of five members.
func heal(t *testing.T, f *Fleet) {
	t.Helper()
	f.SetLoss(0)
	for i := range 5 {
		for j := range 5 {
			f.SetCut(i, j, false)
		}
		if !f.Member(i).Running {
			start(t, f, i)
		} else if f.Member(i).Stalled {
			f.Resume(i)
		}
	}
}

// start starts a member and fails the test if that returns an error.
func start(t *testing.T, f *Fleet, i int) {
	t.Helper()
	if err := f.Start(i); err != nil {
		t.Fatalf("start n%d: %v", i, err)
	}
}
