package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"ottershed/internal/cluster/membership"
	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/poll"
)

const (
	rateSpan    = 10 * time.Second // over which the cost of membership is measured
	agreeFactor = 6                // detection timeouts that a fleet has to agree again after a change
)

// MembersResult is what an experiment on membership measured; times in milliseconds, rates of one member.
type MembersResult struct {
	Kind       string // "processes" or "simulated"
	Members    int
	Loss       float64   // share of packets lost: of processes, while FalseDead was counted; simulated, all the time
	Deaths     int       // kills that were measured
	First      Spread    // from a kill until the first member declared it
	All        Spread    // from a kill until the last member declared it
	Each       []float64 // from a kill until each member declared it
	Undeclared int       // views in which a killed member was not dead in time
	FalseDead  int       // views in which a running member was declared dead
	Watched    Millis    // member time over which FalseDead was counted: members x milliseconds
	BytesOut   float64   // a second
	PacketsOut float64   // a second
	Bound      Millis    // the detection timeout
	Took       time.Duration
}

// processesRun is a membership experiment on processes while it runs.
type processesRun struct {
	fleet            *fleet.Fleet
	detectionTimeout time.Duration
	result           *MembersResult
	first, all       []float64 // by kill
}

// MeasureProcesses starts a fleet of processes, kills one in each round and starts it again, and then watches the fleet
// under a share of lost packets for false deaths.
func MeasureProcesses(
	ctx context.Context, set fleet.Settings, rounds int, loss float64, watch time.Duration, progress Progress,
) (*MembersResult, error) {
	began := time.Now()
	cluster, err := fleet.Start(set)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	run := &processesRun{
		fleet: cluster, detectionTimeout: set.DetectionTimeout,
		result: &MembersResult{
			Kind: "processes", Members: set.Instances, Loss: loss, Bound: Millis(set.DetectionTimeout.Milliseconds()),
		},
	}
	if err := run.agree(ctx); err != nil {
		return nil, err
	}
	progress.report("%d processes: rates over %v", set.Instances, rateSpan)
	if err := run.measureRates(ctx); err != nil {
		return nil, err
	}
	for round := range rounds {
		progress.report("%d processes: kill %d of %d", set.Instances, round+1, rounds)
		if err := run.killOne(ctx, round); err != nil {
			return nil, fmt.Errorf("round %d: %w", round, err)
		}
	}
	run.result.First, run.result.All = SpreadOf(run.first), SpreadOf(run.all)
	progress.report("%d processes: false deaths over %v", set.Instances, watch)
	if err := run.watchUnderLoss(ctx, loss, watch); err != nil {
		return nil, err
	}
	run.result.Took = time.Since(began)
	return run.result, nil
}

// agree waits until all running instances have the same view.
func (r *processesRun) agree(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, agreeFactor*r.detectionTimeout)
	defer cancel()
	return poll.Until(ctx, func() error { return r.fleet.Agree(ctx) })
}

// killOne kills an instance, records when each other one declared it dead, and starts it again.
func (r *processesRun) killOne(ctx context.Context, round int) error {
	victim := (round*7 + 1) % len(r.fleet.Names())
	killed := Millis(time.Now().UnixMicro()) / 1000
	if err := r.fleet.Process(victim).Kill(); err != nil {
		return err
	}
	if err := r.agree(ctx); err != nil {
		return err
	}
	took, err := r.declaredAfter(ctx, victim, killed)
	if err != nil {
		return err
	}
	r.result.Deaths++
	r.first = append(r.first, slices.Min(took))
	r.all = append(r.all, slices.Max(took))
	r.result.Each = append(r.result.Each, took...)
	if err := r.fleet.Process(victim).Start(); err != nil {
		return err
	}
	if err := r.agree(ctx); err != nil {
		return fmt.Errorf("started again: %w", err)
	}
	return nil
}

// declaredAfter is how long after its death each other instance declared a victim dead.
func (r *processesRun) declaredAfter(ctx context.Context, victim int, killed Millis) ([]float64, error) {
	var took []float64
	for i := range r.fleet.Names() {
		if i == victim {
			continue
		}
		members, err := r.fleet.Members(ctx, i)
		if err != nil {
			return nil, err
		}
		member, _ := members.Get(membership.Name(r.fleet.Names()[victim])) // all have agreed on it
		took = append(took, member.Since-killed)
	}
	return took, nil
}

// watchUnderLoss counts the deaths that are declared while none dies.
func (r *processesRun) watchUnderLoss(ctx context.Context, loss float64, watch time.Duration) error {
	before := r.declarations()
	r.fleet.Rules.SetDefault(faultinject.Rule{Drop: loss})
	if err := wait(ctx, watch); err != nil {
		return err
	}
	r.result.FalseDead = r.declarations() - before
	r.result.Watched = Millis(r.result.Members) * Millis(watch.Milliseconds())
	return nil
}

// declarations counts the log lines that declare a member dead.
func (r *processesRun) declarations() (lines int) {
	for i := range r.fleet.Names() {
		lines += strings.Count(r.fleet.Process(i).Output(), "state=dead was=suspect")
	}
	return lines
}

// measureRates measures the bytes and packets that a member sends in a second.
func (r *processesRun) measureRates(ctx context.Context) error {
	bytesBefore, packetsBefore, err := r.sent(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := wait(ctx, rateSpan); err != nil {
		return err
	}
	bytesAfter, packetsAfter, err := r.sent(ctx)
	if err != nil {
		return err
	}
	memberSeconds := time.Since(began).Seconds() * float64(len(r.fleet.Names()))
	r.result.BytesOut = (bytesAfter - bytesBefore) / memberSeconds
	r.result.PacketsOut = (packetsAfter - packetsBefore) / memberSeconds
	return nil
}

// sent is what all members have sent so far.
func (r *processesRun) sent(ctx context.Context) (bytes, packets float64, err error) {
	for i := range r.fleet.Names() {
		members, err := r.fleet.Members(ctx, i)
		if err != nil {
			return 0, 0, err
		}
		bytes += float64(members.Counters.BytesOut)
		packets += float64(members.Counters.PacketsOut)
	}
	return bytes, packets, nil
}

// MembersHead begins a table of results, of which each is a Row.
func MembersHead() string {
	var b strings.Builder
	b.WriteString("| members | | loss | deaths | first other, median (most) | all others, median (most) | " +
		"bound | not declared | false deaths | watched, member hours | bytes/s out | packets/s out |\n")
	b.WriteString("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	return b.String()
}

// Row is the result's line of the table.
func (r *MembersResult) Row() string {
	return fmt.Sprintf(
		"| %d | %s | %.0f%% | %d | %.1f s (%.1f) | %.1f s (%.1f) | %.0f s | %d | %d | %.1f | %.0f | %.1f |\n",
		r.Members, r.Kind, 100*r.Loss, r.Deaths, r.First.Median/1000, r.First.Max/1000, r.All.Median/1000, r.All.Max/1000,
		r.Bound/1000, r.Undeclared, r.FalseDead, r.Watched/3.6e6, r.BytesOut, r.PacketsOut)
}
