package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/load"
	testplatform "ottershed/internal/testbed/platform"
	"ottershed/internal/testbed/poll"
)

// policyCluster starts instances, the first servers of which are servers of the replicated log. It waits until all instances
// admit trials.
func policyCluster(t *testing.T, instances, servers int, seed uint64) (*fleet.Fleet, context.Context) {
	t.Helper()
	fleet, ctx := startCluster(t, fleet.Settings{
		Instances: instances, Servers: servers, ElectionTimeout: 300 * time.Millisecond, Seed: seed,
		Key: "a key of the fleet's own", ToleratedPause: 2 * time.Second, DetectionTimeout: 6 * time.Second,
	})
	awaitVersion(t, ctx, 20*time.Second, fleet, 0)
	return fleet, ctx
}

// awaitVersion waits until all instances have applied a version and admit trials.
func awaitVersion(
	t *testing.T, ctx context.Context, within time.Duration, fleet *fleet.Fleet, version policy.Version,
) {
	t.Helper()
	await(t, ctx, within, func() error {
		return checkOthers(fleet, -1, func(i int) error { return fleet.CheckPolicyVersion(ctx, i, version) })
	})
}

// awaitVersionAt waits until the given instances have applied a version and admit trials.
func awaitVersionAt(
	t *testing.T, ctx context.Context, within time.Duration, fleet *fleet.Fleet, version policy.Version,
	instances ...int,
) {
	t.Helper()
	await(t, ctx, within, func() error {
		for _, i := range instances {
			if err := fleet.CheckPolicyVersion(ctx, i, version); err != nil {
				return err
			}
		}
		return nil
	})
}

// policyText returns the JSON of a policy that also sets a vote TTL.
func policyText(note string, trialShare float64) string {
	return fmt.Sprintf(`{"note":%q,"trial-share":%g,"settings":{"domain":{"vote-ttl-ms":4000}}}`, note, trialShare)
}

// propose proposes a policy at an instance, repeatedly with the same ID until it is committed, and returns its version.
func propose(t *testing.T, ctx context.Context, fleet *fleet.Fleet, instance int, text, id string) policy.Version {
	t.Helper()
	var version policy.Version
	await(t, ctx, 20*time.Second, func() error {
		result, err := fleet.Propose(ctx, instance, text, id)
		if err == nil {
			version = result.Version
		}
		return err
	})
	return version
}

// awaitSameVersion waits until all instances have applied a version. It fails the test if the checksums of their histories
// differ, or if the log lines show that an instance has applied versions out of order.
func awaitSameVersion(t *testing.T, ctx context.Context, fleet *fleet.Fleet, version policy.Version) {
	t.Helper()
	awaitVersion(t, ctx, 30*time.Second, fleet, version)
	checksums := map[string]bool{}
	lines := 0
	for i := range fleet.Names() {
		status, err := fleet.OwnPolicyStatus(ctx, i)
		if err != nil {
			t.Fatal(err)
		}
		checksums[status.Checksum] = true
		lines += checkVersionOrder(t, fleet, i)
	}
	if len(checksums) != 1 {
		t.Errorf("histories of the instances: got checksums %v, want the same at all instances", checksums)
	}
	if lines == 0 {
		t.Error("want log lines about applied versions, got none")
	}
}

// appliedLine matches a log line about an applied version, with that version and the one before it.
var appliedLine = regexp.MustCompile(`msg="policy applied".* version=(\d+) was=(\d+)`)

// checkVersionOrder checks in an instance's log lines since its first start that each version it applied is newer than all
// versions before it. It returns the number of these lines.
func checkVersionOrder(t *testing.T, fleet *fleet.Fleet, i int) (lines int) {
	t.Helper()
	newest := 0
	for line := range strings.Lines(fleet.Process(i).Output()) {
		match := appliedLine.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		lines++
		version, err := strconv.Atoi(match[1])
		if err != nil {
			t.Fatal(err)
		}
		if version <= newest {
			t.Errorf("%s applied version %d after %d, want ascending versions", fleet.Names()[i], version, newest)
		}
		newest = version
	}
	return lines
}

// logSince returns the end of an instance's log, from the last line with the message on.
func logSince(fleet *fleet.Fleet, i int, message string) string {
	output := fleet.Process(i).Output()
	return output[strings.LastIndex(output, `msg="`+message+`"`):]
}

func killAll(t *testing.T, fleet *fleet.Fleet, instances ...int) {
	t.Helper()
	for _, i := range instances {
		if err := fleet.Process(i).Kill(); err != nil {
			t.Fatal(err)
		}
	}
}

func startAll(t *testing.T, fleet *fleet.Fleet, instances ...int) {
	t.Helper()
	for _, i := range instances {
		if err := fleet.Process(i).Start(); err != nil {
			t.Fatal(err)
		}
	}
}

// A policy that is committed while two of five instances are down is applied by the three running instances, and by the
// other two before they send requests to the candidate.
func TestPolicyWhileSomeAreDown(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 5, 5, 11)
	platform := fleet.Platform()
	candidate := platform.Endpoints()[0]
	platform.SetBuild(candidate, 2)
	platform.Controller().SetStage(testplatform.Stage{Build: 2, Progress: "testing", ExposureLimit: 0.3})
	clients := load.NewClients()
	defer clients.Close()
	requests := 0
	sendRequests := func(i, count int) (successes int) {
		for range count {
			requests++
			response, err := clients.Send(ctx, fleet.RequestAddress(i), "read", fmt.Sprintf("h%d", requests))
			if err == nil && response.Status == 200 {
				successes++
			}
		}
		return successes
	}
	await(t, ctx, 10*time.Second, func() error { // without a policy, requests go to the candidate
		if sendRequests(3, 20); candidate.Requests() == 0 {
			return fmt.Errorf("no request has reached the candidate")
		}
		return nil
	})
	killAll(t, fleet, 3, 4)
	if v := propose(t, ctx, fleet, 0, policyText("no trials today", 0), ""); v != 1 {
		t.Errorf("policy proposed at n0: got version %d, want 1", v)
	}
	awaitVersionAt(t, ctx, 5*time.Second, fleet, 1, 0, 1, 2)
	requestsBefore := candidate.Requests()
	startAll(t, fleet, 3, 4)
	successes := 0
	await(t, ctx, 20*time.Second, func() error { // clients send requests from the start of the processes
		successes += sendRequests(3, 5) + sendRequests(4, 5)
		if err := fleet.CheckPolicyVersion(ctx, 3, 1); err != nil {
			return err
		}
		return fleet.CheckPolicyVersion(ctx, 4, 1)
	})
	successes += sendRequests(3, 20) + sendRequests(4, 20)
	if successes < 20 || candidate.Requests() != requestsBefore {
		t.Errorf("got %d succeeded requests and %d at the candidate, want at least 20 and %d as before the restart",
			successes, candidate.Requests(), requestsBefore)
	}
	for _, i := range []int{3, 4} {
		checkAppliedBeforeAdmission(t, fleet, i)
	}
	awaitSameVersion(t, ctx, fleet, 1)
}

// checkAppliedBeforeAdmission checks in an instance's log that it applied a version before it admitted trials.
func checkAppliedBeforeAdmission(t *testing.T, fleet *fleet.Fleet, i int) {
	t.Helper()
	log := logSince(fleet, i, "policy enabled")
	applied := strings.Index(log, `msg="policy applied"`)
	caughtUp := strings.Index(log, `msg="policy caught up"`)
	if applied < 0 || caughtUp < applied {
		t.Errorf("%s: want \"policy applied\" before \"policy caught up\", got\n%s", fleet.Names()[i], log)
	}
}

// If the leader is killed during a proposal, the policy is applied at all instances or at none.
func TestPolicyLeaderKilled(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 5, 5, 12)
	for round := range 6 {
		killLeaderDuringProposal(t, ctx, fleet, round)
	}
}

// killLeaderDuringProposal runs one round, counted from 0. Each round adds one version, so the newest version before a round
// equals the number of the round.
func killLeaderDuringProposal(t *testing.T, ctx context.Context, fleet *fleet.Fleet, round int) {
	t.Helper()
	before := policy.Version(round)
	leader := awaitPolicyLeader(t, ctx, fleet, round%5)
	proposer := (leader + 1 + round%4) % 5
	requestID := fmt.Sprintf("round-%d", round)
	text := policyText(requestID, 0.5)
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		_, err := fleet.Propose(ctx, proposer, text, requestID)
		ended <- err
	}()
	time.Sleep(time.Duration(round) * 3 * time.Millisecond) // a later kill in each round
	killAll(t, fleet, leader)
	proposeErr := <-ended
	startAll(t, fleet, leader)
	after := awaitAgreement(t, ctx, fleet)
	if after > before+1 || proposeErr == nil && after != before+1 {
		t.Errorf("round %d: version %d after %d, proposer got error %v; want one version more if there is no error, else at "+
			"most one", round, after, before, proposeErr)
	}
	// Proposed again with the same ID, the policy becomes one version in total: the existing version if there is one.
	version := propose(t, ctx, fleet, proposer, text, requestID)
	if after == before+1 && version != after || after == before && version != before+1 {
		t.Errorf("round %d: proposed again, got version %d; newest version %d, %d before the round; want one more than before",
			round, version, after, before)
	}
	awaitSameVersion(t, ctx, fleet, before+1)
}

// awaitPolicyLeader polls an instance until it knows the leader, and returns the leader.
func awaitPolicyLeader(t *testing.T, ctx context.Context, fleet *fleet.Fleet, instance int) (leader int) {
	t.Helper()
	await(t, ctx, 10*time.Second, func() error {
		status, err := fleet.PolicyStatus(ctx, instance)
		if err == nil {
			leader, err = strconv.Atoi(strings.TrimPrefix(status.Log.Leader, "n")) // Leader is empty during an election
		}
		return err
	})
	return leader
}

// awaitAgreement waits until all instances have applied the same version and admit trials, and returns the version.
func awaitAgreement(t *testing.T, ctx context.Context, fleet *fleet.Fleet) policy.Version {
	t.Helper()
	var agreed policy.Version
	await(t, ctx, 20*time.Second, func() error {
		for i := range fleet.Names() {
			status, err := fleet.OwnPolicyStatus(ctx, i)
			if err != nil {
				return err
			}
			if !status.TrialsAdmitted || i > 0 && status.Version != agreed {
				return fmt.Errorf("%s has version %d, trials admitted: %v; other instances have %d",
					status.Name, status.Version, status.TrialsAdmitted, agreed)
			}
			agreed = status.Version
		}
		return nil
	})
	return agreed
}

// A partitioned minority keeps the version that it has applied, and commits no other until the partition heals.
func TestPolicyMinorityPartitioned(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 5, 5, 13)
	propose(t, ctx, fleet, 0, policyText("first", 0.5), "")
	awaitSameVersion(t, ctx, fleet, 1)
	fleet.Partition(true, 0, 1)
	if v := propose(t, ctx, fleet, 3, policyText("second", 0.4), ""); v != 2 {
		t.Errorf("policy proposed in the majority: got version %d, want 2", v)
	}
	proposeCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
	if result, err := fleet.Propose(proposeCtx, 0, policyText("from the minority", 1), "minority"); err == nil {
		t.Errorf("the minority committed %+v, want an error", result)
	}
	cancel()
	for _, i := range []int{0, 1} {
		if err := fleet.CheckPolicyVersion(ctx, i, 1); err != nil {
			t.Errorf("n%d in the minority must keep version 1: %v", i, err)
		}
	}
	for _, i := range []int{2, 3, 4} {
		awaitVersionAt(t, ctx, 5*time.Second, fleet, 2, i)
	}
	// An instance that restarts in the minority serves requests, and admits no trials until the partition heals.
	if err := fleet.Process(1).Restart(0); err != nil {
		t.Fatal(err)
	}
	clients := load.NewClients()
	defer clients.Close()
	await(t, ctx, 10*time.Second, func() error {
		response, err := clients.Send(ctx, fleet.RequestAddress(1), "read", fmt.Sprint(time.Now().UnixNano()))
		if err == nil && response.Status != 200 {
			err = fmt.Errorf("request to n1 in the minority: got status %d, want 200", response.Status)
		}
		return err
	})
	if status, err := fleet.OwnPolicyStatus(ctx, 1); err != nil || status.TrialsAdmitted || status.Version != 1 {
		t.Errorf("policy status of n1, restarted in the minority: got %+v, error %v, want version 1 without trials", status, err)
	}
	fleet.Partition(false, 0, 1)
	awaitVersion(t, ctx, 20*time.Second, fleet, 2)
	awaitSameVersion(t, ctx, fleet, 2)
}

// Each of 200 proposals at random instances under random faults becomes one version. All instances end with the same
// history, and none applies versions out of order.
func TestPolicyRandomFaults(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 5, 5, 14)
	script := faultinject.RandomScript(14, fleet.Names(), 35*time.Second, 35, 2)
	t.Logf("script:\n%v", script)
	played := make(chan error, 1)
	go func() { played <- fleet.FaultEnvironment().Play(ctx, script) }()
	const proposals, proposers = 200, 5
	var proposing sync.WaitGroup
	for p := range proposers {
		proposing.Go(func() {
			random := rand.New(rand.NewPCG(14, uint64(p)))
			for n := range proposals / proposers {
				id := fmt.Sprintf("p%d-%d", p, n)
				text := policyText(id, float64(random.IntN(100))/100)
				err := poll.Until(ctx, func() error { // until the proposal is known to be committed
					ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
					defer cancel()
					_, err := fleet.Propose(ctx, random.IntN(5), text, id)
					return err
				})
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) // spreads the proposals over the faults
			}
		})
	}
	if err := <-played; err != nil {
		t.Fatal(err)
	}
	proposing.Wait()
	awaitSameVersion(t, ctx, fleet, proposals)
	history, err := fleet.PolicyHistory(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, entry := range history {
		ids[entry.ID] = true
	}
	if len(history) != proposals || len(ids) != proposals {
		t.Errorf("history of n0: got %d versions with %d IDs, want %d of both", len(history), len(ids), proposals)
	}
}

// A corrupt store is detected at the next start and restored from the other servers. Nothing in it is applied.
func TestPolicyCorruptStore(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 3, 3, 15)
	for v := range 5 {
		propose(t, ctx, fleet, v%3, policyText(fmt.Sprint("version ", v+1), 0.5), "")
	}
	awaitSameVersion(t, ctx, fleet, 5)
	for _, damage := range []struct {
		name    string
		corrupt func(raw []byte) []byte
	}{
		{"truncated", func(raw []byte) []byte { return raw[:2*os.Getpagesize()+100] }},
		{"changed byte in a value", func(raw []byte) []byte {
			return bytes.ReplaceAll(raw, []byte("version 3"), []byte("version 8"))
		}},
		{"overwritten pages", func(raw []byte) []byte {
			for i := 2 * os.Getpagesize(); i < len(raw); i++ {
				raw[i] = byte(i * 7)
			}
			return raw
		}},
		{"empty", func([]byte) []byte { return nil }},
	} {
		killAll(t, fleet, 2)
		path := filepath.Join(fleet.StoreDir(2), "store.db")
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, damage.corrupt(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		startAll(t, fleet, 2)
		awaitVoterAgain(t, ctx, fleet, damage.name)
		log := logSince(fleet, 2, "policy enabled")
		if strings.Contains(log, "was=4") || !strings.Contains(log, `msg="raft: no log in the store, rejoining`) {
			t.Errorf("%s: want a rejoin without versions from the store, got\n%s", damage.name, log)
		}
		if !strings.Contains(logSince(fleet, 2, "membership enabled"), "store is corrupt") {
			t.Errorf("%s: want a log line \"store is corrupt\"", damage.name)
		}
	}
	if v := propose(t, ctx, fleet, 2, policyText("after all corruptions", 1), ""); v != 6 {
		t.Errorf("policy proposed after all corruptions: got version %d, want 6", v)
	}
}

// awaitVoterAgain waits until instance 2 has applied version 5 and the log has three voters again. Its error names the
// damage to the store.
func awaitVoterAgain(t *testing.T, ctx context.Context, fleet *fleet.Fleet, damage string) {
	t.Helper()
	await(t, ctx, 20*time.Second, func() error {
		if err := fleet.CheckPolicyVersion(ctx, 2, 5); err != nil {
			return fmt.Errorf("%s: %w", damage, err)
		}
		status, err := fleet.PolicyStatus(ctx, 2)
		if err == nil && len(status.Log.Voters) != 3 {
			err = fmt.Errorf("%s: got voters %v, want three", damage, status.Log.Voters)
		}
		return err
	})
}

// Instances that are not servers are watchers, and apply the policies that the servers commit. An invalid policy is
// rejected with an error that names the key, and changes no instance.
func TestPolicyWatchers(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 5, 3, 16)
	if v := propose(t, ctx, fleet, 4, policyText("from a watcher", 0.5), ""); v != 1 {
		t.Errorf("policy proposed at a watcher: got version %d, want 1", v)
	}
	awaitVersion(t, ctx, 5*time.Second, fleet, 1)
	for text, want := range map[string]string{
		`{"note":"x","trial-share":2}`:                           "trial-share: want 0 to 1",
		`{"note":"x","settings":{"domain":{"caps":[0.5]}}}`:      "settings.domain.caps: its length differs",
		`{"note":"x","settings":{"limits":{"conn-idle-ms":1}}}`:  "settings.limits.conn-idle-ms: can't change",
		`{"note":"x","settings":{"services":[{"name":"read"}]}}`: "settings.services.0.name: can't change",
		`{"note":"x","settings":{"domain":{"cpas":[0.3,1]}}}`:    "settings.domain.cpas: not a figure",
		`{"note":"x","settings":{"rules":{"cold-from":"cold"}}}`: "settings.rules.cold-from: want a number",
	} {
		if _, err := fleet.Propose(ctx, 4, text, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("policy %s: got error %v, want %q", text, err, want)
		}
	}
	status, err := fleet.PolicyStatus(ctx, 4)
	if err != nil || len(status.Members) != 5 {
		t.Fatalf("policy status of the cluster: got %+v, error %v, want 5 members", status, err)
	}
	for _, member := range status.Members {
		if member.Version != 1 || !member.TrialsAdmitted {
			t.Errorf("policy status of a member: got %+v, want version 1 with trials admitted", member)
		}
	}
	killAll(t, fleet, 4)
	propose(t, ctx, fleet, 3, policyText("while it is down", 0.4), "")
	startAll(t, fleet, 4)
	awaitSameVersion(t, ctx, fleet, 2)
}

// An instance that was down when an incompatible policy was committed serves requests, admits no trials and reports the
// error. It applies the policy once its configuration is corrected and reloaded.
func TestPolicyThatCannotBeApplied(t *testing.T) {
	t.Parallel()
	fleet, ctx := policyCluster(t, 3, 3, 17)
	killAll(t, fleet, 2)
	compatible, err := os.ReadFile(fleet.FilePath(2, "json"))
	if err != nil {
		t.Fatal(err)
	}
	incompatible := strings.Replace(string(compatible), `"caps":[0.3,1],"waves":[0.3,1]`, `"caps":[0.1,0.3,1],"waves":[0.1,0.3,1]`, 1)
	if err := os.WriteFile(fleet.FilePath(2, "json"), []byte(incompatible), 0o600); err != nil {
		t.Fatal(err)
	}
	propose(t, ctx, fleet, 0, `{"note":"two stages","settings":{"domain":{"caps":[0.2,1]}}}`, "")
	startAll(t, fleet, 2)
	await(t, ctx, 20*time.Second, func() error {
		status, err := fleet.OwnPolicyStatus(ctx, 2)
		if err == nil && (status.TrialsAdmitted || status.Version != 1 || !strings.Contains(status.Failure, "settings.domain.caps")) {
			err = fmt.Errorf("policy status of n2: got %+v, want version 1 failed for settings.domain.caps, without trials", status)
		}
		return err
	})
	clients := load.NewClients()
	defer clients.Close()
	await(t, ctx, 10*time.Second, func() error {
		response, err := clients.Send(ctx, fleet.RequestAddress(2), "read", fmt.Sprint(time.Now().UnixNano()))
		if err == nil && response.Status != 200 {
			err = fmt.Errorf("request to n2: got response %+v, want status 200", response)
		}
		return err
	})
	if err := os.WriteFile(fleet.FilePath(2, "json"), compatible, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := fleet.Process(2).Reload(); err != nil {
		t.Fatal(err)
	}
	awaitVersionAt(t, ctx, 10*time.Second, fleet, 1, 2)
	awaitSameVersion(t, ctx, fleet, 1)
}
