package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"ottershed/internal/testbed/faultinject"
)

// FaultEnvironment is what fault scripts are played on.
func (f *Fleet) FaultEnvironment() *faultinject.Environment {
	return &faultinject.Environment{Rules: f.Rules, Processes: f.processes}
}

// Partition cuts some instances off from all others, in both directions (on), or lifts that cut.
func (f *Fleet) Partition(on bool, some ...int) {
	apart := map[int]bool{}
	for _, i := range some {
		apart[i] = true
	}
	for i := range f.names {
		for j := range f.names {
			if apart[i] != apart[j] {
				f.Rules.Cut(faultinject.Link{From: f.names[i], To: f.names[j]}, on)
			}
		}
	}
}

// Times of KillAtRandom.
const (
	minKillInterval        = 100 * time.Millisecond
	maxKillJitterMillis    = 250 // drawn and added
	maxShortDowntimeMillis = 400 // that an instance is down, but for the quarter that is down for long
)

// KillAtRandom kills instances and starts them again, three of four soon and the fourth only after long, which should
// be enough for another instance to take its leases over. At most mostDown are down at once, and at the end all run.
// The seed decides what is killed when.
func (f *Fleet) KillAtRandom(ctx context.Context, seed uint64, kills, mostDown int, long time.Duration) error {
	random := rand.New(rand.NewPCG(seed, 1))
	startAt := map[int]time.Time{} // of the instances that are down
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
		rest := time.Duration(random.IntN(maxShortDowntimeMillis)) * time.Millisecond
		if random.IntN(4) == 0 {
			rest = long
		}
		_, isDown := startAt[victim]
		if kills == 0 || len(startAt) >= mostDown || isDown {
			continue
		}
		if err := f.Process(victim).Kill(); err != nil {
			return err
		}
		startAt[victim] = time.Now().Add(rest)
		kills--
	}
	return nil
}

// restartDue starts the instances whose time has come, in the order of their numbers.
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
