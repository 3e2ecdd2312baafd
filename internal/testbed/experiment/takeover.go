package experiment

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/load"
	"ottershed/internal/testbed/platform"
	"ottershed/internal/testbed/poll"
)

const (
	requestsPerRound = 40          // sent to an instance before it is killed
	loadClients      = 6           // that send requests during the random kills
	heldTimeout      = time.Minute // until all leases are held, beside heldFactor detection timeouts
	heldFactor       = 4
)

// TakeoverResult is what an experiment on takeover measured; times in milliseconds.
type TakeoverResult struct {
	Instances int
	Lease     Millis // the lease's TTL
	Bound     Millis // the detection timeout
	Deaths    int
	Resumed   Spread      // from a holder's death until another instance has merged its lease
	Each      []float64   // the same for each death
	Responses int         // in the evidence of all instances after all deaths
	Expected  int         // responses that clients received, all from instances that died afterwards
	Kills     int         // at random, under load
	Load      load.Result // of the random kills
	Twice     int         // non-idempotent requests that ran more than once
	Tokens    int         // different fencing tokens that were granted
	Doubled   int         // tokens that were granted more than once
}

// mergedLine finds when a lease of an instance that died was merged by another one.
var mergedLine = regexp.MustCompile(`time="([^"]+)".* msg="lease merged" .* work=(\S+)`)

// takeoverRun is a takeover experiment while it runs.
type takeoverRun struct {
	fleet    *fleet.Fleet
	settings fleet.Settings
	clients  *load.Clients
	result   *TakeoverResult
}

// MeasureTakeover kills lease holders one after another and measures when another instance has their lease; then it
// kills instances at random under load and checks what became of requests and leases.
func MeasureTakeover(
	ctx context.Context, set fleet.Settings, rounds, kills int, progress Progress,
) (*TakeoverResult, error) {
	set.Servers = set.Instances
	set.Platform.SetBuild(set.Platform.Endpoints()[0], 2)
	set.Platform.Controller().SetStage(platform.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
	cluster, err := fleet.Start(set)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	clients := load.NewClients()
	defer clients.Close()
	run := &takeoverRun{
		fleet: cluster, settings: set, clients: clients,
		result: &TakeoverResult{
			Instances: set.Instances, Lease: millis(set.LeaseTTL), Bound: millis(set.DetectionTimeout), Kills: kills,
		},
	}
	if err := run.awaitHeld(ctx, 0, set.Instances); err != nil {
		return nil, err
	}
	if err := run.killHolders(ctx, rounds, progress); err != nil {
		return nil, err
	}
	progress.report("%d instances: %d kills under load", set.Instances, kills)
	if err := run.killUnderLoad(ctx, kills); err != nil {
		return nil, err
	}
	return run.result, nil
}

// awaitHeld waits until an instance knows so many leases, each held by a running instance.
func (r *takeoverRun) awaitHeld(ctx context.Context, at, want int) error {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout+heldFactor*r.settings.DetectionTimeout)
	defer cancel()
	return poll.Until(ctx, func() error { return r.fleet.CheckHeld(ctx, at, want) })
}

// killHolders kills one lease holder a round.
func (r *takeoverRun) killHolders(ctx context.Context, rounds int, progress Progress) error {
	for round := range rounds {
		progress.report("%d instances: death %d of %d", r.result.Instances, round+1, rounds)
		if err := r.killHolder(ctx, round); err != nil {
			return err
		}
	}
	r.result.Resumed = spreadOfCopy(r.result.Each)
	if r.result.Deaths != rounds {
		return fmt.Errorf("%d deaths, leases merged %d times", rounds, r.result.Deaths)
	}
	var err error
	r.result.Responses, err = r.fleet.Responses(ctx)
	return err
}

// killHolder sends requests to an instance, kills it after its next checkpoint, and records when its lease was merged.
func (r *takeoverRun) killHolder(ctx context.Context, round int) error {
	victim := round % r.result.Instances
	watcher := (round + 1) % r.result.Instances
	r.sendRequests(ctx, round, victim)
	if err := wait(ctx, r.settings.LeaseTTL/2); err != nil { // the checkpoint holds the evidence of these requests
		return err
	}
	killed := time.Now()
	if err := r.fleet.Process(victim).Kill(); err != nil {
		return err
	}
	if err := r.awaitHeld(ctx, watcher, r.result.Instances-1); err != nil {
		return err
	}
	r.recordMerges(victim, killed)
	if err := r.fleet.Process(victim).Start(); err != nil {
		return err
	}
	return r.awaitHeld(ctx, watcher, r.result.Instances)
}

// sendRequests counts the responses that a client receives from an instance.
func (r *takeoverRun) sendRequests(ctx context.Context, round, instance int) {
	for n := range requestsPerRound {
		id := fmt.Sprintf("r%d-%d", round, n)
		response, err := r.clients.Send(ctx, r.fleet.Listen(instance), load.ClassRead, id)
		if err == nil && response.Status == http.StatusOK {
			r.result.Expected++
		}
	}
}

// recordMerges records when a victim's lease was merged after its death, by the logs of all instances.
func (r *takeoverRun) recordMerges(victim int, killed time.Time) {
	lease := "trial/" + r.fleet.Names()[victim]
	for i := range r.fleet.Names() {
		for _, match := range mergedLine.FindAllStringSubmatch(r.fleet.Process(i).Output(), -1) {
			at, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil || at.Before(killed) || match[2] != lease {
				continue
			}
			r.result.Each = append(r.result.Each, millis(at.Sub(killed)))
			r.result.Deaths++
		}
	}
}

// killUnderLoad kills instances at random, less than half of them at once, while clients send requests.
func (r *takeoverRun) killUnderLoad(ctx context.Context, kills int) error {
	for _, endpoint := range r.settings.Platform.Endpoints() {
		endpoint.Behave(load.RequestLatency, false)
	}
	requests := load.New(r.fleet, loadClients, r.settings.Seed)
	requests.Start(ctx)
	mostDown := (r.result.Instances - 1) / 2
	long := r.settings.DetectionTimeout + r.settings.LeaseTTL // enough for a takeover
	err := r.fleet.KillAtRandom(ctx, r.settings.Seed, kills, mostDown, long)
	r.result.Load = requests.Stop()
	if err != nil {
		return err
	}
	if err := r.awaitHeld(ctx, 0, r.result.Instances); err != nil {
		return err
	}
	r.result.Twice = len(r.settings.Platform.RanTwice())
	for _, times := range r.fleet.Grants() {
		r.result.Tokens++
		r.result.Doubled += min(1, times-1)
	}
	return nil
}

// TakeoverTable writes results as a table.
func TakeoverTable(results []*TakeoverResult) string {
	var b strings.Builder
	b.WriteString("| marshals | lease | detect-within | deaths | resumed after, median (most) | " +
		"answered hits in evidence afterwards | kills under load | " +
		"hits | brought again | lost | wrong | mutating run twice | tokens granted | twice |\n")
	b.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range results {
		fmt.Fprintf(&b,
			"| %d | %.1f s | %.1f s | %d | %.1f s (%.1f) | %d of %d | %d | %d | %d | %d | %d | %d | %d | %d |\n",
			r.Instances, r.Lease/1000, r.Bound/1000, r.Deaths, r.Resumed.Median/1000, r.Resumed.Max/1000,
			r.Responses, r.Expected, r.Kills, r.Load.Requests, r.Load.Resumed, r.Load.Lost, r.Load.Wrong,
			r.Twice, r.Tokens, r.Doubled)
	}
	return b.String()
}
