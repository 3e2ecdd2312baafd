package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"ottershed/internal/testbed/faultinject"
)

// FaultEnvironment returns the rules and processes of the fleet, on which fault scripts are run.
func (f *Fleet) FaultEnvironment() *faultinject.Environment {
	return &faultinject.Environment{Rules: f.Rules, Processes: f.processes}
}

// Partition cuts some instances off from all others in both directions if on is true, and otherwise lifts those cuts.
func (f *Fleet) Partition(on bool, instances ...int) {
	separated := map[int]bool{}
	for _, i := range instances {
		separated[i] = true
	}
	for i := range f.names {
		for j := range f.names {
			if separated[i] != separated[j] {
				f.Rules.SetCut(faultinject.Link{From: f.names[i], To: f.names[j]}, on)
			}
		}
	}
}

// Time parameters of KillAtRandom.
const (
	minKillInterval        = 100 * time.Millisecond
	maxKillJitterMillis    = 250 // maximum random addition to minKillInterval
	maxShortDowntimeMillis = 400 // maximum downtime of the three quarters of kills with a short downtime
)

// KillAtRandom kills and restarts random instances. Three of four restart soon; the fourth restarts after longDowntime,
// which should be long enough for another instance to take over its leases. At most maxDown instances are down at a
// time, and all run at the end. The seed determines the sequence of kills and downtimes.
func (f *Fleet) KillAtRandom(ctx context.Context, seed uint64, kills, maxDown int, longDowntime time.Duration) error {
	random := rand.New(rand.NewPCG(seed, 1))
	startAt := map[int]time.Time{} // restart times of the instances that are down
	for kills > 0 || len(startAt) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minKillInterval + time.Duration(random.IntN(maxKillJitterMillis))*time.Millisecond):
		}
		if err := f.restartDue(startAt); err != nil {
			return err
		}
		victim := random.IntN(len(f.names))
		downtime := time.Duration(random.IntN(maxShortDowntimeMillis)) * time.Millisecond
		if random.IntN(4) == 0 {
			downtime = longDowntime
		}
		_, isDown := startAt[victim]
		if kills == 0 || len(startAt) >= maxDown || isDown {
			continue
		}
		if err := f.Process(victim).Kill(); err != nil {
			return err
		}
		startAt[victim] = time.Now().Add(downtime)
		kills--
	}
	return nil
}

// restartDue starts the instances whose restart time has passed, in the order of their numbers.
func (f *Fleet) restartDue(startAt map[int]time.Time) error {
	for i := range f.names {
		at, isDown := startAt[i]
		if !isDown || !time.Now().After(at) {
			continue
		}
		if err := f.Process(i).Start(); err != nil {
			return err
		}
		delete(startAt, i)
	}
	return nil
}
