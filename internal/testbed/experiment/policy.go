package experiment

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/poll"
)

// applyTimeout bounds the time until all instances run a version.
const applyTimeout = time.Minute

// PolicyResult holds the measurements of a policy experiment. Times are in milliseconds.
type PolicyResult struct {
	Instances       int
	Versions        int       // number of proposals, made one after another
	CommitTime      Quantiles // time from a proposal to the commit notification at the proposer
	ApplyTime       Quantiles // time from a proposal until the last instance ran it
	ApplyTimes      []float64 // the time of ApplyTime for each version, in the order of the versions
	BytesPerVersion float64   // bytes stored by one instance per version, the version's entry in the log included
	StoreFileBytes  int64     // size of one instance's store file at the end
	CatchUpTime     Quantiles // time from the start of an instance until it has caught up
	FailoverTime    Quantiles // time from the death of a leader to the commit of the next proposal
}

// Log lines that show when an instance runs a version, and when it has caught up after a start.
var (
	appliedLine  = regexp.MustCompile(`time="([^"]+)".* msg="policy applied".* version=(\d+) `)
	caughtUpLine = regexp.MustCompile(`time="([^"]+)".* msg="policy caught up"`)
)

// policyRun holds the state of a running policy experiment.
type policyRun struct {
	fleet         *fleet.Fleet
	result        *PolicyResult
	newestVersion policy.Version // newest committed version
	proposed      []time.Time    // proposal times, indexed by version; index 0 is unused
	// Measurements per proposal, per restart and per killed leader, in milliseconds.
	commitTimes, catchUpTimes, failoverTimes []float64
}

// MeasurePolicy starts a fleet in which all instances are voters of the log, and proposes versions one after another.
// Each of the following rounds kills and restarts one instance, and then kills the leader.
func MeasurePolicy(
	ctx context.Context, settings fleet.Settings, versions, rounds int, progress Progress,
) (*PolicyResult, error) {
	settings.Servers = settings.Instances
	cluster, err := fleet.Start(settings)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	run := &policyRun{
		fleet: cluster, result: &PolicyResult{Instances: settings.Instances, Versions: versions},
		proposed: make([]time.Time, versions+1),
	}
	if err := run.awaitApplied(ctx); err != nil {
		return nil, err
	}
	progress.report("%d instances: proposing %d versions", settings.Instances, versions)
	if err := run.proposeAll(ctx, versions); err != nil {
		return nil, err
	}
	for round := range rounds {
		progress.report("%d instances: restart %d of %d", settings.Instances, round+1, rounds)
		restarted := round % settings.Instances
		if err := run.restart(ctx, restarted); err != nil {
			return nil, err
		}
		if err := run.killLeader(ctx, (restarted+1)%settings.Instances); err != nil {
			return nil, err
		}
	}
	run.result.CatchUpTime, run.result.FailoverTime = QuantilesOf(run.catchUpTimes), QuantilesOf(run.failoverTimes)
	return run.result, nil
}

// awaitApplied waits until all instances run the newest version.
func (r *policyRun) awaitApplied(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	return poll.Until(ctx, func() error {
		for i := range r.fleet.Names() {
			if err := r.fleet.CheckPolicyVersion(ctx, i, r.newestVersion); err != nil {
				return err
			}
		}
		return nil
	})
}

// proposeAll proposes versions and records their commit and apply times and the storage that they take.
func (r *policyRun) proposeAll(ctx context.Context, versions int) error {
	before, err := r.storedBytes(ctx)
	if err != nil {
		return err
	}
	for range versions {
		if err := r.proposeNext(ctx); err != nil {
			return err
		}
	}
	r.result.ApplyTimes = r.applyTimes()
	r.result.CommitTime, r.result.ApplyTime = QuantilesOf(r.commitTimes), quantilesOfCopy(r.result.ApplyTimes)
	after, err := r.storedBytes(ctx)
	if err != nil {
		return err
	}
	r.result.BytesPerVersion = float64(after-before) / float64(versions)
	r.result.StoreFileBytes, err = fileBytes(filepath.Join(r.fleet.StoreDir(0), "store.db"))
	return err
}

// proposeNext proposes a version and waits until all instances run it.
func (r *policyRun) proposeNext(ctx context.Context) error {
	version := int(r.newestVersion) + 1
	r.proposed[version] = time.Now()
	text := fmt.Sprintf(`{"note":"version %d","trial-share":0.5,"settings":{"domain":{"vote-ttl-ms":4000}}}`, version)
	if _, err := r.fleet.Propose(ctx, version%r.result.Instances, text, ""); err != nil {
		return err
	}
	r.commitTimes = append(r.commitTimes, millis(time.Since(r.proposed[version])))
	r.newestVersion++
	return r.awaitApplied(ctx)
}

// storedBytes returns the stored size that the first instance reports.
func (r *policyRun) storedBytes(ctx context.Context) (int64, error) {
	status, err := r.fleet.PolicyStatus(ctx, 0)
	if err != nil {
		return 0, err
	}
	return status.StoredBytes, nil
}

// fileBytes returns the size of a file, 0 if the file does not exist.
func fileBytes(path string) (int64, error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// applyTimes returns for each version the time from its proposal until the last instance ran it, according to the logs.
func (r *policyRun) applyTimes() []float64 {
	lastApplied := make([]time.Time, len(r.proposed))
	for i := range r.fleet.Names() {
		for version, at := range parseApplyTimes(r.fleet.Process(i).Output()) {
			if int(version) < len(lastApplied) && at.After(lastApplied[version]) {
				lastApplied[version] = at
			}
		}
	}
	var delays []float64
	for version := 1; version < len(lastApplied); version++ {
		delays = append(delays, max(0, millis(lastApplied[version].Sub(r.proposed[version]))))
	}
	return delays
}

// parseApplyTimes returns when an instance ran each version, according to its log. Malformed lines are skipped.
func parseApplyTimes(log string) map[policy.Version]time.Time {
	applied := map[policy.Version]time.Time{}
	for line := range strings.Lines(log) {
		match := appliedLine.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, match[1])
		if err != nil {
			continue
		}
		version, err := strconv.ParseUint(match[2], 10, 64)
		if err != nil {
			continue
		}
		applied[policy.Version(version)] = at
	}
	return applied
}

// restart kills and restarts an instance and records the time until it has caught up.
func (r *policyRun) restart(ctx context.Context, i int) error {
	process := r.fleet.Process(i)
	if err := process.Kill(); err != nil {
		return err
	}
	before := len(caughtUpLine.FindAllString(process.Output(), -1))
	start := time.Now()
	if err := process.Start(); err != nil {
		return err
	}
	if err := r.awaitApplied(ctx); err != nil {
		return err
	}
	lines := caughtUpLine.FindAllStringSubmatch(process.Output(), -1)
	if len(lines) <= before {
		return fmt.Errorf("restart of %s: no \"policy caught up\" line in its log", process.Name)
	}
	at, err := time.Parse(time.RFC3339Nano, lines[len(lines)-1][1])
	if err != nil {
		return err
	}
	r.catchUpTimes = append(r.catchUpTimes, millis(at.Sub(start)))
	return nil
}

// killLeader kills the leader that an instance, observer, reports, and records the time to the commit of the next
// proposal.
func (r *policyRun) killLeader(ctx context.Context, observer int) error {
	status, err := r.fleet.PolicyStatus(ctx, observer)
	if err != nil {
		return err
	}
	leader, err := fleet.InstanceNumber(status.Log.Leader)
	if err != nil {
		return fmt.Errorf("parse leader name %q: %w", status.Log.Leader, err)
	}
	if err := r.fleet.Process(leader).Kill(); err != nil {
		return err
	}
	start := time.Now()
	proposer := (leader + 1) % r.result.Instances
	if _, err := r.fleet.Propose(ctx, proposer, `{"note":"after the leader's death"}`, ""); err != nil {
		return err
	}
	r.failoverTimes = append(r.failoverTimes, millis(time.Since(start)))
	r.newestVersion++
	if err := r.fleet.Process(leader).Start(); err != nil {
		return err
	}
	return r.awaitApplied(ctx)
}

// PolicyTable returns results as a Markdown table.
func PolicyTable(results []*PolicyResult) string {
	var b strings.Builder
	b.WriteString("| instances | versions | committed, median (max) | applied by all, median (max) | " +
		"bytes per version | file | caught up after a restart, median (max) | " +
		"committed after a leader's death, median (max) |\n")
	b.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range results {
		fmt.Fprintf(&b,
			"| %d | %d | %.0f ms (%.0f) | %.0f ms (%.0f) | %.0f | %d KiB | %.0f ms (%.0f) | %.0f ms (%.0f) |\n",
			r.Instances, r.Versions, r.CommitTime.Median, r.CommitTime.Max, r.ApplyTime.Median, r.ApplyTime.Max,
			r.BytesPerVersion, r.StoreFileBytes>>10,
			r.CatchUpTime.Median, r.CatchUpTime.Max, r.FailoverTime.Median, r.FailoverTime.Max)
	}
	return b.String()
}
