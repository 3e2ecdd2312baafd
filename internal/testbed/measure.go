package testbed

import (
	"context"
	"fmt"
	"math"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/membership/sim"
	"ottershed/internal/testbed/faultinject"
	"slices"
	"strings"
	"time"
)

// MembersResult is what a membership experiment measured; times in milliseconds, rates for each member.
type MembersResult struct {
	Kind       string // "processes" or "simulated"
	Members    int
	Loss       float64   // share of packets lost meanwhile
	Deaths     int       // kills that were measured
	First      Spread    // from a kill until the first other declared it
	All        Spread    // and until the last one did
	Each       []float64 // and until each one did
	Undeclared int       // views in which a killed member was not dead in time
	FalseDead  int       // views in which one that ran was declared dead
	Watched    Millis    // member time over which FalseDead was counted: members x milliseconds
	BytesOut   float64   // a second
	PacketsOut float64   // a second
	Bound      Millis    // detect-within
	Took       time.Duration
}

// Millis is a time or a span in milliseconds.
type Millis = float64

// Spread is the middle, the 95th hundredth and the largest of some figures.
type Spread struct{ Median, P95, Max float64 }

// SpreadOf sorts the figures.
func SpreadOf(v []float64) Spread {
	if len(v) == 0 {
		return Spread{math.NaN(), math.NaN(), math.NaN()}
	}
	slices.Sort(v)
	at := func(q float64) float64 { return v[min(len(v)-1, int(q*float64(len(v))))] }
	return Spread{at(0.5), at(0.95), v[len(v)-1]}
}

// MeasureProcesses starts a fleet of real processes, kills one in each round and starts it again, and watches it under
// loss for a span.
func MeasureProcesses(ctx context.Context, set Settings, rounds int, loss float64, watch time.Duration) (*MembersResult, error) {
	began := time.Now()
	f, err := Start(set)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	bound := set.DetectionTimeout
	agree := func() error {
		ctx, cancel := context.WithTimeout(ctx, 6*bound)
		defer cancel()
		return Poll(ctx, func() error { return f.Agree(ctx) })
	}
	if err := agree(); err != nil {
		return nil, err
	}
	r := &MembersResult{Kind: "processes", Members: set.Instances, Loss: loss, Bound: Millis(bound.Milliseconds())}
	if r.BytesOut, r.PacketsOut, err = f.rates(ctx, 10*time.Second); err != nil {
		return nil, err
	}
	var first, all []float64
	for round := range rounds {
		victim := (round*7 + 1) % set.Instances
		killed := Millis(time.Now().UnixMicro()) / 1000
		if err := f.Process(victim).Kill(); err != nil {
			return nil, err
		}
		if err := agree(); err != nil {
			return nil, fmt.Errorf("round %d: %w", round, err)
		}
		var took []float64
		for i := range f.names {
			if i == victim {
				continue
			}
			m, err := f.Members(ctx, i)
			if err != nil {
				return nil, err
			}
			line, _ := m.Get(membership.Name(f.names[victim]))
			took = append(took, line.Since-killed)
		}
		r.Deaths++
		first, all, r.Each = append(first, slices.Min(took)), append(all, slices.Max(took)), append(r.Each, took...)
		if err := f.Process(victim).Start(); err != nil {
			return nil, err
		}
		if err := agree(); err != nil {
			return nil, fmt.Errorf("round %d, started again: %w", round, err)
		}
	}
	r.First, r.All = SpreadOf(first), SpreadOf(all)
	before := f.deadLines()
	f.Rules.SetDefault(faultinject.Rule{Drop: loss})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(watch):
	}
	r.FalseDead, r.Watched = f.deadLines()-before, Millis(set.Instances)*Millis(watch.Milliseconds())
	r.Took = time.Since(began)
	return r, nil
}

// deadLines counts the log lines that declare a member dead.
func (f *Fleet) deadLines() (n int) {
	for i := range f.names {
		n += strings.Count(f.Process(i).Output(), "state=dead was=suspect")
	}
	return n
}

// rates are bytes and packets that a member sends in a second, over a span.
func (f *Fleet) rates(ctx context.Context, span time.Duration) (bytes, packets float64, err error) {
	sum := func() (b, p float64, err error) {
		for i := range f.names {
			m, err := f.Members(ctx, i)
			if err != nil {
				return 0, 0, err
			}
			b, p = b+float64(m.Counters.BytesOut), p+float64(m.Counters.PacketsOut)
		}
		return b, p, nil
	}
	b0, p0, err := sum()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-time.After(span):
	}
	b1, p1, err := sum()
	per := time.Since(began).Seconds() * float64(len(f.names))
	return (b1 - b0) / per, (p1 - p0) / per, err
}

// MeasureSimulated does the same with detectors alone, in simulated time: all know each other from the start, some are
// killed at once, and all is watched for a span under loss.
func MeasureSimulated(set sim.Settings, kills int, watch Millis) (*MembersResult, error) {
	began := time.Now()
	set.Prejoined = true
	f, err := sim.New(set)
	if err != nil {
		return nil, err
	}
	r := &MembersResult{Kind: "simulated", Members: set.Members, Loss: set.Loss, Bound: set.DetectionTimeout}
	f.Run(set.DetectionTimeout / 2) // the first probes
	b, p := f.Bytes, f.Packets
	f.Run(watch)
	per := watch / 1000 * Millis(set.Members)
	r.BytesOut, r.PacketsOut = float64(f.Bytes-b)/per, float64(f.Packets-p)/per
	killed, victims := f.Now(), map[membership.Name]int{}
	first, last := make([]float64, kills), make([]float64, kills)
	declared := make([]int, kills)
	f.OnChange = func(h sim.Observation) {
		if h.State != membership.Dead || h.New {
			return
		}
		if h.Running {
			r.FalseDead++
			return
		}
		i, ours := victims[h.Name]
		if !ours {
			return
		}
		took := f.Now() - killed
		if declared[i]++; declared[i] == 1 {
			first[i] = took
		}
		last[i] = took
		if len(r.Each) < 1<<20 {
			r.Each = append(r.Each, took)
		}
	}
	for i := range kills {
		victim := (i*set.Members/kills + 1) % set.Members
		victims[f.Member(victim).Name] = i
		f.Kill(victim)
	}
	f.Run(2 * set.DetectionTimeout)
	r.Deaths, r.First, r.All = kills, SpreadOf(first), SpreadOf(last)
	for _, n := range declared {
		r.Undeclared += set.Members - kills - n
	}
	r.Watched = (watch + 2*set.DetectionTimeout) * Millis(set.Members)
	r.Took = time.Since(began)
	return r, nil
}

// MembersHead begins a table of results, of which each is a Row.
func MembersHead() string {
	var b strings.Builder
	b.WriteString("| members | | loss | deaths | first other, median (most) | all others, median (most) | bound | not declared | " +
		"false deaths | watched, member hours | bytes/s out | packets/s out |\n")
	b.WriteString("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	return b.String()
}

// Row is the result's line of the table.
func (r *MembersResult) Row() string {
	return fmt.Sprintf("| %d | %s | %.0f%% | %d | %.1f s (%.1f) | %.1f s (%.1f) | %.0f s | %d | %d | %.1f | %.0f | %.1f |\n",
		r.Members, r.Kind, 100*r.Loss, r.Deaths, r.First.Median/1000, r.First.Max/1000, r.All.Median/1000, r.All.Max/1000,
		r.Bound/1000, r.Undeclared, r.FalseDead, r.Watched/3.6e6, r.BytesOut, r.PacketsOut)
}
