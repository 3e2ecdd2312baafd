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
	ratePeriod             = 10 * time.Second // duration of the measurement of packet rates
	agreementTimeoutFactor = 6                // time limit for agreement after a change, in detection timeouts
)

// MembershipResult holds the measurements of a membership experiment. Rates are per member.
type MembershipResult struct {
	Kind              string // "processes" or "simulated"
	Members           int
	Loss              float64   // share of packets lost; processes: only while FalseDeaths was counted
	Deaths            int       // measured kills
	FirstDetection    Quantiles // time from a kill to the first declaration of the death, in milliseconds
	FullDetection     Quantiles // time from a kill to the last declaration of the death, in milliseconds
	DetectionTimes    []float64 // time from a kill to each member's declaration, in milliseconds
	Undetected        int       // pairs of an observer and a killed member that the observer did not declare dead in time
	FalseDeaths       int       // declarations of a running member as dead
	WatchedMemberTime Millis    // member time over which FalseDeaths was counted: members x milliseconds
	BytesPerSecond    float64   // bytes that one member sends per second, mean over all members
	PacketsPerSecond  float64   // packets that one member sends per second, mean over all members
	DetectionTimeout  Millis
	Elapsed           time.Duration
}

// processRun holds the state of a running membership experiment on processes.
type processRun struct {
	fleet                           *fleet.Fleet
	detectionTimeout                time.Duration
	result                          *MembershipResult
	firstDetections, fullDetections []float64 // per kill: milliseconds to the first and to the last declaration
}

// MeasureProcessMembership starts a fleet of processes, kills and restarts one instance per round, and then counts
// false deaths over watch while a share of all packets is lost.
func MeasureProcessMembership(
	ctx context.Context, settings fleet.Settings, rounds int, loss float64, watch time.Duration, progress Progress,
) (*MembershipResult, error) {
	start := time.Now()
	cluster, err := fleet.Start(settings)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	run := &processRun{
		fleet: cluster, detectionTimeout: settings.DetectionTimeout,
		result: &MembershipResult{
			Kind: "processes", Members: settings.Instances, Loss: loss,
			DetectionTimeout: Millis(settings.DetectionTimeout.Milliseconds()),
		},
	}
	if err := run.awaitAgreement(ctx); err != nil {
		return nil, err
	}
	progress.report("%d processes: rates over %v", settings.Instances, ratePeriod)
	if err := run.measureRates(ctx); err != nil {
		return nil, err
	}
	for round := range rounds {
		progress.report("%d processes: kill %d of %d", settings.Instances, round+1, rounds)
		if err := run.measureKill(ctx, round); err != nil {
			return nil, fmt.Errorf("kill in round %d: %w", round, err)
		}
	}
	run.result.FirstDetection, run.result.FullDetection = QuantilesOf(run.firstDetections), QuantilesOf(run.fullDetections)
	progress.report("%d processes: false deaths over %v", settings.Instances, watch)
	if err := run.countFalseDeaths(ctx, loss, watch); err != nil {
		return nil, err
	}
	run.result.Elapsed = time.Since(start)
	return run.result, nil
}

// awaitAgreement waits until the view of each running instance agrees with the processes that run, see
// fleet.Fleet.CheckViews.
func (r *processRun) awaitAgreement(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, agreementTimeoutFactor*r.detectionTimeout)
	defer cancel()
	return poll.Until(ctx, func() error { return r.fleet.CheckViews(ctx) })
}

// measureKill kills an instance, records when each other instance declared it dead, and restarts it.
func (r *processRun) measureKill(ctx context.Context, round int) error {
	victim := (round*7 + 1) % len(r.fleet.Names())
	killed := Millis(time.Now().UnixMicro()) / 1000
	if err := r.fleet.Process(victim).Kill(); err != nil {
		return err
	}
	if err := r.awaitAgreement(ctx); err != nil {
		return err
	}
	delays, err := r.detectionTimes(ctx, victim, killed)
	if err != nil {
		return err
	}
	r.result.Deaths++
	r.firstDetections = append(r.firstDetections, slices.Min(delays))
	r.fullDetections = append(r.fullDetections, slices.Max(delays))
	r.result.DetectionTimes = append(r.result.DetectionTimes, delays...)
	if err := r.fleet.Process(victim).Start(); err != nil {
		return err
	}
	if err := r.awaitAgreement(ctx); err != nil {
		return fmt.Errorf("wait for agreement after the restart of %s: %w", r.fleet.Names()[victim], err)
	}
	return nil
}

// detectionTimes returns the time from a kill to each other instance's declaration of the death.
func (r *processRun) detectionTimes(ctx context.Context, victim int, killed Millis) ([]float64, error) {
	var delays []float64
	for i := range r.fleet.Names() {
		if i == victim {
			continue
		}
		members, err := r.fleet.Members(ctx, i)
		if err != nil {
			return nil, err
		}
		member, _ := members.Get(membership.Name(r.fleet.Names()[victim])) // known to all instances after awaitAgreement
		delays = append(delays, member.StateSince-killed)
	}
	return delays, nil
}

// countFalseDeaths counts death declarations under packet loss while all instances run.
func (r *processRun) countFalseDeaths(ctx context.Context, loss float64, watch time.Duration) error {
	before := r.countDeathDeclarations()
	r.fleet.Rules.SetDefault(faultinject.Rule{Drop: loss})
	if err := wait(ctx, watch); err != nil {
		return err
	}
	r.result.FalseDeaths = r.countDeathDeclarations() - before
	r.result.WatchedMemberTime = Millis(r.result.Members) * Millis(watch.Milliseconds())
	return nil
}

// countDeathDeclarations returns the number of log lines that declare a member dead.
func (r *processRun) countDeathDeclarations() (lines int) {
	for i := range r.fleet.Names() {
		lines += strings.Count(r.fleet.Process(i).Output(), "state=dead was=suspect")
	}
	return lines
}

// measureRates measures the bytes and packets that one member sends per second.
func (r *processRun) measureRates(ctx context.Context) error {
	bytesBefore, packetsBefore, err := r.sentTotals(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := wait(ctx, ratePeriod); err != nil {
		return err
	}
	bytesAfter, packetsAfter, err := r.sentTotals(ctx)
	if err != nil {
		return err
	}
	memberSeconds := time.Since(start).Seconds() * float64(len(r.fleet.Names()))
	r.result.BytesPerSecond = (bytesAfter - bytesBefore) / memberSeconds
	r.result.PacketsPerSecond = (packetsAfter - packetsBefore) / memberSeconds
	return nil
}

// sentTotals returns the bytes and packets that all members have sent so far.
func (r *processRun) sentTotals(ctx context.Context) (bytes, packets float64, err error) {
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

// MembershipTableHeader returns the header of a Markdown table, whose rows are those of MembershipResult.TableRow.
func MembershipTableHeader() string {
	var b strings.Builder
	b.WriteString("| members | | loss | deaths | first detection, median (max) | detection by all, median (max) | " +
		"detection timeout | not detected | false deaths | watched, member hours | bytes/s out | packets/s out |\n")
	b.WriteString("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	return b.String()
}

// TableRow returns the result as a row of the Markdown table.
func (r *MembershipResult) TableRow() string {
	return fmt.Sprintf(
		"| %d | %s | %.0f%% | %d | %.1f s (%.1f) | %.1f s (%.1f) | %.0f s | %d | %d | %.1f | %.0f | %.1f |\n",
		r.Members, r.Kind, 100*r.Loss, r.Deaths,
		r.FirstDetection.Median/1000, r.FirstDetection.Max/1000, r.FullDetection.Median/1000, r.FullDetection.Max/1000,
		r.DetectionTimeout/1000, r.Undetected, r.FalseDeaths, r.WatchedMemberTime/3.6e6, r.BytesPerSecond, r.PacketsPerSecond)
}
