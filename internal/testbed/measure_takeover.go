package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"ottershed/internal/testbed/platform"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// TakeoverResult is what a takeover experiment measured; times in milliseconds.
type TakeoverResult struct {
	Instances int
	Lease     Millis
	Bound     Millis // detect-within
	Deaths    int
	Resumed   Spread    // from an owner's death until another goes on with its work
	Each      []float64 // the same, each
	Responses int       // answered hits in the evidence of all that run, after all deaths
	Expected  int       // of so many that were answered, all of them by marshals that died
	Kills     int       // at random, under load
	Load      LoadResult
	Twice     int // mutating hits that ran more than once
	Tokens    int // granted, all of them different
	Doubled   int // tokens granted to two
}

var (
	resumedLine = regexp.MustCompile(`time="([^"]+)".* msg="lease merged" .* work=(\S+)`)
	grantLine   = regexp.MustCompile(`msg="lease (?:acquired|taken over)".* token=(\d+) `)
)

// HitWork is how long nodes work on a hit while marshals are killed under load.
const RequestLatency = 30 * time.Millisecond

// Held tells whether so many pieces of work are held, each by a marshal that runs, as one learns it.
func (f *Fleet) CheckHeld(ctx context.Context, at, want int) error {
	lines, err := f.Leases(ctx, at)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if i, err := strconv.Atoi(strings.TrimPrefix(l.Holder, "n")); err != nil || l.Expired || !f.Process(i).Running() {
			return fmt.Errorf("%+v is held by nobody", l)
		}
	}
	if len(lines) != want {
		return fmt.Errorf("%d pieces, want %d: %+v", len(lines), want, lines)
	}
	return nil
}

// Grants counts how often each token was granted, by the marshals' logs.
func (f *Fleet) Grants() map[string]int {
	by := map[string]int{}
	for i := range f.names {
		for _, m := range grantLine.FindAllStringSubmatch(f.Process(i).Output(), -1) {
			by[m[1]]++
		}
	}
	return by
}

// KillAtRandom kills marshals and starts them again, a quarter of them only after long; at most so many are down at once.
// At its end all run. What is killed when is drawn from the seed.
func (f *Fleet) KillAtRandom(ctx context.Context, seed uint64, kills, mostDown int, long time.Duration) error {
	random := rand.New(rand.NewPCG(seed, 1))
	back := make([]time.Time, len(f.names)) // zero: it runs
	down := 0
	for kills > 0 || down > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(100+random.IntN(250)) * time.Millisecond):
		}
		for i, at := range back {
			if !at.IsZero() && time.Now().After(at) {
				if err := f.Process(i).Start(); err != nil {
					return err
				}
				back[i], down = time.Time{}, down-1
			}
		}
		i, rest := random.IntN(len(f.names)), time.Duration(random.IntN(400))*time.Millisecond
		if random.IntN(4) == 0 {
			rest = long // long enough for another to take over; else it claims its own work again
		}
		if kills == 0 || down >= mostDown || !back[i].IsZero() {
			continue
		}
		if err := f.Process(i).Kill(); err != nil {
			return err
		}
		back[i], down, kills = time.Now().Add(rest), down+1, kills-1
	}
	return nil
}

// MeasureTakeover kills owners of work one after another and watches who goes on, and then kills at random under load.
func MeasureTakeover(ctx context.Context, set Settings, rounds, kills int) (*TakeoverResult, error) {
	set.Servers = set.Instances
	set.Platform.SetBuild(set.Platform.Endpoints()[0], 2)
	set.Platform.Controller().SetStage(platform.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
	f, err := Start(set)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	held := func(at, want int) error {
		ctx, cancel := context.WithTimeout(ctx, time.Minute+4*set.DetectionTimeout)
		defer cancel()
		return Poll(ctx, func() error { return f.CheckHeld(ctx, at, want) })
	}
	if err := held(0, set.Instances); err != nil {
		return nil, err
	}
	r := &TakeoverResult{Instances: set.Instances, Lease: millis(set.LeaseTTL), Bound: millis(set.DetectionTimeout), Kills: kills}
	clients := NewClients()
	defer clients.Close()
	const hits = 40
	for round := range rounds {
		victim, watcher := round%set.Instances, (round+1)%set.Instances
		for n := range hits {
			if e, err := clients.Send(ctx, f.Listen(victim), "read", fmt.Sprintf("r%d-%d", round, n)); err == nil && e.Status == 200 {
				r.Expected++
			}
		}
		select { // the checkpoint of all of them
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(set.LeaseTTL / 2):
		}
		killed := time.Now()
		if err := f.Process(victim).Kill(); err != nil {
			return nil, err
		}
		if err := held(watcher, set.Instances-1); err != nil {
			return nil, err
		}
		for i := range f.names {
			for _, m := range resumedLine.FindAllStringSubmatch(f.Process(i).Output(), -1) {
				at, err := time.Parse(time.RFC3339Nano, m[1])
				if err != nil || at.Before(killed) || m[2] != "trial/"+f.names[victim] {
					continue
				}
				r.Each, r.Deaths = append(r.Each, millis(at.Sub(killed))), r.Deaths+1
			}
		}
		if err := f.Process(victim).Start(); err != nil {
			return nil, err
		}
		if err := held(watcher, set.Instances); err != nil {
			return nil, err
		}
	}
	if r.Resumed = SpreadOf(append([]float64(nil), r.Each...)); r.Deaths != rounds {
		return nil, fmt.Errorf("%d deaths, work resumed %d times", rounds, r.Deaths)
	}
	if r.Responses, err = f.Responses(ctx); err != nil {
		return nil, err
	}
	for _, n := range set.Platform.Endpoints() { // so that hits are in flight when their marshal dies
		n.Behave(RequestLatency, false)
	}
	load := NewLoad(f, 6, set.Seed)
	load.Start(ctx)
	err = f.KillAtRandom(ctx, set.Seed, kills, (set.Instances-1)/2, set.DetectionTimeout+set.LeaseTTL)
	r.Load = load.Stop()
	if err != nil {
		return nil, err
	}
	if err := held(0, set.Instances); err != nil {
		return nil, err
	}
	r.Twice = len(set.Platform.RanTwice())
	for _, times := range f.Grants() {
		r.Tokens++
		r.Doubled += min(1, times-1)
	}
	return r, nil
}

// TakeoverTable writes results as a table.
func TakeoverTable(results []*TakeoverResult) string {
	var b strings.Builder
	b.WriteString("| marshals | lease | detect-within | deaths | resumed after, median (most) | answered hits in evidence afterwards | kills under load | " +
		"hits | brought again | lost | wrong | mutating run twice | tokens granted | twice |\n")
	b.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %d | %.1f s | %.1f s | %d | %.1f s (%.1f) | %d of %d | %d | %d | %d | %d | %d | %d | %d | %d |\n", r.Instances, r.Lease/1000,
			r.Bound/1000, r.Deaths, r.Resumed.Median/1000, r.Resumed.Max/1000, r.Responses, r.Expected, r.Kills, r.Load.Requests, r.Load.Resumed,
			r.Load.Lost, r.Load.Wrong, r.Twice, r.Tokens, r.Doubled)
	}
	return b.String()
}
