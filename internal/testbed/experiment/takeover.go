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
	requestsPerRound  = 40          // requests sent to an instance before its kill
	loadClients       = 6           // clients that send requests during the random kills
	baseHeldTimeout   = time.Minute // constant part of the time limit of awaitLeasesHeld
	heldTimeoutFactor = 4           // further part of that time limit, in detection timeouts
)

// TakeoverResult holds the measurements of a takeover experiment. Times are in milliseconds.
type TakeoverResult struct {
	Instances           int
	LeaseTTL            Millis
	DetectionTimeout    Millis
	Deaths              int         // merges of the lease of a killed holder
	MergeTime           Quantiles   // time from the death of a holder until another instance has merged its lease
	MergeTimes          []float64   // the time of MergeTime for each merge
	EvidenceResponses   int         // responses in the evidence of all instances after all deaths
	ReceivedResponses   int         // responses that clients received from instances that were killed afterwards
	Kills               int         // number of random kills under load
	Load                load.Result // requests during the random kills
	DuplicateExecutions int         // non-idempotent requests that ran more than once
	GrantedTokens       int         // distinct fencing tokens that were granted
	DuplicateGrants     int         // tokens that were granted more than once
}

// mergedLine matches the log line of an instance that has merged the lease of a dead instance.
var mergedLine = regexp.MustCompile(`time="([^"]+)".* msg="lease merged" .* work=(\S+)`)

// takeoverRun holds the state of a running takeover experiment.
type takeoverRun struct {
	fleet    *fleet.Fleet
	settings fleet.Settings
	clients  *load.Clients
	result   *TakeoverResult
}

// MeasureTakeover kills lease holders one after another and measures the time until another instance has merged the
// lease. Then it kills instances at random under load and counts lost and repeated requests and repeated token grants.
func MeasureTakeover(
	ctx context.Context, settings fleet.Settings, rounds, kills int, progress Progress,
) (*TakeoverResult, error) {
	settings.Servers = settings.Instances
	settings.Platform.SetBuild(settings.Platform.Endpoints()[0], 2)
	settings.Platform.Controller().SetStage(platform.Stage{Build: 2, Progress: "testing", ExposureLimit: 0.3})
	cluster, err := fleet.Start(settings)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	clients := load.NewClients()
	defer clients.Close()
	run := &takeoverRun{
		fleet: cluster, settings: settings, clients: clients,
		result: &TakeoverResult{
			Instances: settings.Instances, LeaseTTL: millis(settings.LeaseTTL),
			DetectionTimeout: millis(settings.DetectionTimeout), Kills: kills,
		},
	}
	if err := run.awaitLeasesHeld(ctx, 0, settings.Instances); err != nil {
		return nil, err
	}
	if err := run.killHolders(ctx, rounds, progress); err != nil {
		return nil, err
	}
	progress.report("%d instances: %d kills under load", settings.Instances, kills)
	if err := run.killUnderLoad(ctx, kills); err != nil {
		return nil, err
	}
	return run.result, nil
}

// awaitLeasesHeld waits until an instance, observer, reports want leases, each held by a running instance.
func (r *takeoverRun) awaitLeasesHeld(ctx context.Context, observer, want int) error {
	ctx, cancel := context.WithTimeout(ctx, baseHeldTimeout+heldTimeoutFactor*r.settings.DetectionTimeout)
	defer cancel()
	return poll.Until(ctx, func() error { return r.fleet.CheckLeasesHeld(ctx, observer, want) })
}

// killHolders kills one lease holder per round.
func (r *takeoverRun) killHolders(ctx context.Context, rounds int, progress Progress) error {
	for round := range rounds {
		progress.report("%d instances: death %d of %d", r.result.Instances, round+1, rounds)
		if err := r.killHolder(ctx, round); err != nil {
			return err
		}
	}
	r.result.MergeTime = quantilesOfCopy(r.result.MergeTimes)
	if r.result.Deaths != rounds {
		return fmt.Errorf("%d holders were killed, but leases were merged %d times", rounds, r.result.Deaths)
	}
	var err error
	r.result.EvidenceResponses, err = r.fleet.EvidenceResponses(ctx)
	return err
}

// killHolder sends requests to an instance, kills it after its next checkpoint, and records when its lease was merged.
func (r *takeoverRun) killHolder(ctx context.Context, round int) error {
	victim := round % r.result.Instances
	observer := (round + 1) % r.result.Instances
	r.sendRequests(ctx, round, victim)
	if err := wait(ctx, r.settings.LeaseTTL/2); err != nil { // until a checkpoint contains the evidence of these requests
		return err
	}
	killed := time.Now()
	if err := r.fleet.Process(victim).Kill(); err != nil {
		return err
	}
	if err := r.awaitLeasesHeld(ctx, observer, r.result.Instances-1); err != nil {
		return err
	}
	r.recordMerges(victim, killed)
	if err := r.fleet.Process(victim).Start(); err != nil {
		return err
	}
	return r.awaitLeasesHeld(ctx, observer, r.result.Instances)
}

// sendRequests sends requests to an instance and counts the successful responses.
func (r *takeoverRun) sendRequests(ctx context.Context, round, instance int) {
	for n := range requestsPerRound {
		id := fmt.Sprintf("r%d-%d", round, n)
		response, err := r.clients.Send(ctx, r.fleet.RequestAddress(instance), load.ClassRead, id)
		if err == nil && response.Status == http.StatusOK {
			r.result.ReceivedResponses++
		}
	}
}

// recordMerges records when a victim's lease was merged after its death, according to the logs of all instances.
func (r *takeoverRun) recordMerges(victim int, killed time.Time) {
	lease := "trial/" + r.fleet.Names()[victim]
	for i := range r.fleet.Names() {
		for _, match := range mergedLine.FindAllStringSubmatch(r.fleet.Process(i).Output(), -1) {
			at, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil || at.Before(killed) || match[2] != lease {
				continue
			}
			r.result.MergeTimes = append(r.result.MergeTimes, millis(at.Sub(killed)))
			r.result.Deaths++
		}
	}
}

// killUnderLoad kills instances at random, always fewer than half of them at the same time, while clients send
// requests.
func (r *takeoverRun) killUnderLoad(ctx context.Context, kills int) error {
	for _, endpoint := range r.settings.Platform.Endpoints() {
		endpoint.SetBehavior(load.RequestLatency, false)
	}
	requests := load.New(r.fleet, loadClients, r.settings.Seed)
	requests.Start(ctx)
	maxDown := (r.result.Instances - 1) / 2
	longDowntime := r.settings.DetectionTimeout + r.settings.LeaseTTL // long enough for a takeover
	err := r.fleet.KillAtRandom(ctx, r.settings.Seed, kills, maxDown, longDowntime)
	r.result.Load = requests.Stop()
	if err != nil {
		return err
	}
	if err := r.awaitLeasesHeld(ctx, 0, r.result.Instances); err != nil {
		return err
	}
	r.result.DuplicateExecutions = len(r.settings.Platform.DuplicateExecutions())
	for _, times := range r.fleet.GrantsByToken() {
		r.result.GrantedTokens++
		r.result.DuplicateGrants += min(1, times-1)
	}
	return nil
}

// TakeoverTable returns results as a Markdown table.
func TakeoverTable(results []*TakeoverResult) string {
	var b strings.Builder
	b.WriteString("| instances | lease | detect-within | deaths | lease merged after, median (max) | " +
		"responses in evidence afterwards | kills under load | " +
		"requests | resumed | lost | mismatched | non-idempotent run twice | tokens granted | granted twice |\n")
	b.WriteString("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range results {
		fmt.Fprintf(&b,
			"| %d | %.1f s | %.1f s | %d | %.1f s (%.1f) | %d of %d | %d | %d | %d | %d | %d | %d | %d | %d |\n",
			r.Instances, r.LeaseTTL/1000, r.DetectionTimeout/1000, r.Deaths, r.MergeTime.Median/1000, r.MergeTime.Max/1000,
			r.EvidenceResponses, r.ReceivedResponses, r.Kills, r.Load.Requests, r.Load.Resumed, r.Load.Lost, r.Load.Mismatched,
			r.DuplicateExecutions, r.GrantedTokens, r.DuplicateGrants)
	}
	return b.String()
}
