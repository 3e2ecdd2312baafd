package testbed

import (
	"context"
	"fmt"
	"os"
	"ottershed/internal/cluster/policy"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// PolicyResult is what a policy experiment measured; times in milliseconds.
type PolicyResult struct {
	Instances int
	Versions  int
	Committed Spread    // from the proposal until its proposer heard of it
	Applied   Spread    // until the last marshal ran it
	Each      []float64 // the same, each
	Stored    float64   // bytes a version at one marshal, with the log's own
	File      int64     // bytes of a store's file at the end
	Restart   Spread    // from a start until the marshal has caught up
	NewLeader Spread    // from a leader's death until a proposal is committed
}

// logged finds the time of a log line.
var (
	runsLine     = regexp.MustCompile(`time="([^"]+)".* msg="policy applied".* version=(\d+) `)
	caughtUpLine = regexp.MustCompile(`time="([^"]+)".* msg="policy caught up"`)
)

// ranAt are the times at which a marshal ran each version, by its log.
func (f *Fleet) ranAt(i int) map[policy.Version]time.Time {
	at := map[policy.Version]time.Time{}
	for line := range strings.Lines(f.Process(i).Output()) {
		if m := runsLine.FindStringSubmatch(line); m != nil {
			when, err := time.Parse(time.RFC3339Nano, m[1])
			v, verr := strconv.ParseUint(m[2], 10, 64)
			if err == nil && verr == nil {
				at[policy.Version(v)] = when
			}
		}
	}
	return at
}

// MeasurePolicy starts a fleet in which all marshals keep the log and proposes versions one after another; then it restarts
// marshals, and kills leaders.
func MeasurePolicy(ctx context.Context, set Settings, versions, rounds int) (*PolicyResult, error) {
	set.Servers = set.Instances
	f, err := Start(set)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	settled := func(v policy.Version) error {
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		return Poll(ctx, func() error {
			for i := range f.names {
				if err := f.Runs(ctx, i, v); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := settled(0); err != nil {
		return nil, err
	}
	stored := func() (int64, error) {
		s, err := f.PolicyStatus(ctx, 0)
		return s.StoredBytes, err
	}
	before, err := stored()
	if err != nil {
		return nil, err
	}
	r := &PolicyResult{Instances: set.Instances, Versions: versions}
	var committed []float64
	began := make([]time.Time, versions+1)
	for v := 1; v <= versions; v++ {
		began[v] = time.Now()
		text := fmt.Sprintf(`{"note":"version %d","trial-share":0.5,"settings":{"domain":{"vote-ttl-ms":4000}}}`, v)
		if _, err := f.Propose(ctx, v%set.Instances, text, ""); err != nil {
			return nil, err
		}
		committed = append(committed, millis(time.Since(began[v])))
		if err := settled(policy.Version(v)); err != nil {
			return nil, err
		}
	}
	last := make([]time.Time, versions+1)
	for i := range f.names {
		for v, at := range f.ranAt(i) {
			if int(v) <= versions && at.After(last[v]) {
				last[v] = at
			}
		}
	}
	for v := 1; v <= versions; v++ {
		r.Each = append(r.Each, max(0, millis(last[v].Sub(began[v]))))
	}
	r.Committed, r.Applied = SpreadOf(committed), SpreadOf(append([]float64(nil), r.Each...))
	after, err := stored()
	if err != nil {
		return nil, err
	}
	r.Stored = float64(after-before) / float64(versions)
	if info, err := os.Stat(filepath.Join(f.Store(0), "store.db")); err == nil {
		r.File = info.Size()
	}
	var restart, leader []float64
	now := policy.Version(versions)
	for round := range rounds {
		i := round % set.Instances
		if err := f.Process(i).Kill(); err != nil {
			return nil, err
		}
		seen := len(caughtUpLine.FindAllString(f.Process(i).Output(), -1))
		began := time.Now()
		if err := f.Process(i).Start(); err != nil {
			return nil, err
		}
		if err := settled(now); err != nil {
			return nil, err
		}
		all := caughtUpLine.FindAllStringSubmatch(f.Process(i).Output(), -1)
		if len(all) <= seen {
			return nil, fmt.Errorf("%s has not said that it caught up", f.names[i])
		}
		at, err := time.Parse(time.RFC3339Nano, all[len(all)-1][1])
		if err != nil {
			return nil, err
		}
		restart = append(restart, millis(at.Sub(began)))
		s, err := f.PolicyStatus(ctx, (i+1)%set.Instances)
		if err != nil {
			return nil, err
		}
		lead, err := strconv.Atoi(strings.TrimPrefix(s.Log.Leader, "n"))
		if err != nil {
			return nil, fmt.Errorf("leader %q: %w", s.Log.Leader, err)
		}
		if err := f.Process(lead).Kill(); err != nil {
			return nil, err
		}
		began = time.Now()
		if _, err := f.Propose(ctx, (lead+1)%set.Instances, `{"note":"after the leader's death"}`, ""); err != nil {
			return nil, err
		}
		leader = append(leader, millis(time.Since(began)))
		now++
		if err := f.Process(lead).Start(); err != nil {
			return nil, err
		}
		if err := settled(now); err != nil {
			return nil, err
		}
	}
	r.Restart, r.NewLeader = SpreadOf(restart), SpreadOf(leader)
	return r, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PolicyTable writes results as a table.
func PolicyTable(results []*PolicyResult) string {
	var b strings.Builder
	b.WriteString("| marshals | versions | committed, median (most) | run by all, median (most) | bytes a version | file | " +
		"caught up after a restart, median (most) | committed after a leader's death, median (most) |\n")
	b.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %d | %d | %.0f ms (%.0f) | %.0f ms (%.0f) | %.0f | %d KiB | %.0f ms (%.0f) | %.0f ms (%.0f) |\n", r.Instances,
			r.Versions, r.Committed.Median, r.Committed.Max, r.Applied.Median, r.Applied.Max, r.Stored, r.File>>10,
			r.Restart.Median, r.Restart.Max, r.NewLeader.Median, r.NewLeader.Max)
	}
	return b.String()
}
