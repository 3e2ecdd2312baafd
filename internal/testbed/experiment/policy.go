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

// settleTimeout is how long all instances may take to run a version.
const settleTimeout = time.Minute

// PolicyResult is what an experiment on policy measured; times in milliseconds.
type PolicyResult struct {
	Instances int
	Versions  int       // that were proposed one after another
	Committed Spread    // from a proposal until its proposer was notified of the commit
	Applied   Spread    // from a proposal until the last instance ran it
	Each      []float64 // Applied of each version
	Stored    float64   // bytes a version at one instance, with its share of the log
	File      int64     // bytes of a store's file at the end
	Restart   Spread    // from an instance's start until it has caught up
	NewLeader Spread    // from a leader's death until a proposal is committed
}

// Log lines by which the experiment learns when an instance runs a version or has caught up after a start.
var (
	appliedLine  = regexp.MustCompile(`time="([^"]+)".* msg="policy applied".* version=(\d+) `)
	caughtUpLine = regexp.MustCompile(`time="([^"]+)".* msg="policy caught up"`)
)

// policyRun is a policy experiment while it runs.
type policyRun struct {
	fleet    *fleet.Fleet
	result   *PolicyResult
	versions policy.Version // committed so far
	proposed []time.Time    // by version; that of version 0 is unused
	// By proposal, restart and killed leader:
	committed, restarts, newLeaders []float64
}

// MeasurePolicy starts a fleet in which all instances keep the log, and proposes versions one after another. Then, in
// each round, it kills an instance and starts it again, and kills the leader.
func MeasurePolicy(
	ctx context.Context, set fleet.Settings, versions, rounds int, progress Progress,
) (*PolicyResult, error) {
	set.Servers = set.Instances
	cluster, err := fleet.Start(set)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	run := &policyRun{
		fleet: cluster, result: &PolicyResult{Instances: set.Instances, Versions: versions},
		proposed: make([]time.Time, versions+1),
	}
	if err := run.settle(ctx); err != nil {
		return nil, err
	}
	progress.report("%d instances: %d versions", set.Instances, versions)
	if err := run.proposeAll(ctx, versions); err != nil {
		return nil, err
	}
	for round := range rounds {
		progress.report("%d instances: restart %d of %d", set.Instances, round+1, rounds)
		restarted := round % set.Instances
		if err := run.restart(ctx, restarted); err != nil {
			return nil, err
		}
		if err := run.killLeader(ctx, (restarted+1)%set.Instances); err != nil {
			return nil, err
		}
	}
	run.result.Restart, run.result.NewLeader = SpreadOf(run.restarts), SpreadOf(run.newLeaders)
	return run.result, nil
}

// settle waits until all instances run the newest version.
func (r *policyRun) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return poll.Until(ctx, func() error {
		for i := range r.fleet.Names() {
			if err := r.fleet.Runs(ctx, i, r.versions); err != nil {
				return err
			}
		}
		return nil
	})
}

// proposeAll proposes the versions and records their times and what they take to store.
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
	r.result.Each = r.appliedAfter()
	r.result.Committed, r.result.Applied = SpreadOf(r.committed), spreadOfCopy(r.result.Each)
	after, err := r.storedBytes(ctx)
	if err != nil {
		return err
	}
	r.result.Stored = float64(after-before) / float64(versions)
	r.result.File, err = fileBytes(filepath.Join(r.fleet.Store(0), "store.db"))
	return err
}

// proposeNext proposes a version and waits until all instances run it.
func (r *policyRun) proposeNext(ctx context.Context) error {
	version := int(r.versions) + 1
	r.proposed[version] = time.Now()
	text := fmt.Sprintf(`{"note":"version %d","trial-share":0.5,"settings":{"domain":{"vote-ttl-ms":4000}}}`, version)
	if _, err := r.fleet.Propose(ctx, version%r.result.Instances, text, ""); err != nil {
		return err
	}
	r.committed = append(r.committed, millis(time.Since(r.proposed[version])))
	r.versions++
	return r.settle(ctx)
}

// storedBytes is the size of what the first instance has stored.
func (r *policyRun) storedBytes(ctx context.Context) (int64, error) {
	status, err := r.fleet.PolicyStatus(ctx, 0)
	if err != nil {
		return 0, err
	}
	return status.StoredBytes, nil
}

// fileBytes is a file's size, 0 where it does not exist.
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

// appliedAfter is for each version the time from its proposal until the last instance ran it, by the instances' logs.
func (r *policyRun) appliedAfter() []float64 {
	last := make([]time.Time, len(r.proposed))
	for i := range r.fleet.Names() {
		for version, at := range appliedAt(r.fleet.Process(i).Output()) {
			if int(version) < len(last) && at.After(last[version]) {
				last[version] = at
			}
		}
	}
	var took []float64
	for version := 1; version < len(last); version++ {
		took = append(took, max(0, millis(last[version].Sub(r.proposed[version]))))
	}
	return took
}

// appliedAt is when an instance ran each version, by its log. Lines that can't be read are left out.
func appliedAt(log string) map[policy.Version]time.Time {
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

// restart kills an instance, starts it again and records how long it took to catch up.
func (r *policyRun) restart(ctx context.Context, i int) error {
	process := r.fleet.Process(i)
	if err := process.Kill(); err != nil {
		return err
	}
	before := len(caughtUpLine.FindAllString(process.Output(), -1))
	began := time.Now()
	if err := process.Start(); err != nil {
		return err
	}
	if err := r.settle(ctx); err != nil {
		return err
	}
	lines := caughtUpLine.FindAllStringSubmatch(process.Output(), -1)
	if len(lines) <= before {
		return fmt.Errorf("%s has not logged that it caught up", process.Name)
	}
	at, err := time.Parse(time.RFC3339Nano, lines[len(lines)-1][1])
	if err != nil {
		return err
	}
	r.restarts = append(r.restarts, millis(at.Sub(began)))
	return nil
}

// killLeader kills the leader that an instance knows, and records how long the next proposal took to be committed.
func (r *policyRun) killLeader(ctx context.Context, asked int) error {
	status, err := r.fleet.PolicyStatus(ctx, asked)
	if err != nil {
		return err
	}
	leader, err := fleet.Number(status.Log.Leader)
	if err != nil {
		return fmt.Errorf("leader %q: %w", status.Log.Leader, err)
	}
	if err := r.fleet.Process(leader).Kill(); err != nil {
		return err
	}
	began := time.Now()
	proposer := (leader + 1) % r.result.Instances
	if _, err := r.fleet.Propose(ctx, proposer, `{"note":"after the leader's death"}`, ""); err != nil {
		return err
	}
	r.newLeaders = append(r.newLeaders, millis(time.Since(began)))
	r.versions++
	if err := r.fleet.Process(leader).Start(); err != nil {
		return err
	}
	return r.settle(ctx)
}

// PolicyTable writes results as a table.
func PolicyTable(results []*PolicyResult) string {
	var b strings.Builder
	b.WriteString("| marshals | versions | committed, median (most) | run by all, median (most) | " +
		"bytes a version | file | caught up after a restart, median (most) | " +
		"committed after a leader's death, median (most) |\n")
	b.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range results {
		fmt.Fprintf(&b,
			"| %d | %d | %.0f ms (%.0f) | %.0f ms (%.0f) | %.0f | %d KiB | %.0f ms (%.0f) | %.0f ms (%.0f) |\n",
			r.Instances, r.Versions, r.Committed.Median, r.Committed.Max, r.Applied.Median, r.Applied.Max, r.Stored, r.File>>10,
			r.Restart.Median, r.Restart.Max, r.NewLeader.Median, r.NewLeader.Max)
	}
	return b.String()
}
