package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershed/internal/cluster/failover"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/load"
	testplatform "ottershed/internal/testbed/platform"
	"ottershed/internal/testbed/poll"
)

// leaseCluster starts five instances with takeover enabled and a candidate build at one of three endpoints, and waits
// until each holds its own lease.
func leaseCluster(t *testing.T, seed uint64) (*fleet.Fleet, context.Context) {
	t.Helper()
	return leaseClusterWithClocks(t, seed)
}

// leaseClusterWithClocks starts the cluster of leaseCluster with clock offsets and rates, see fleet.Settings.Clocks.
func leaseClusterWithClocks(t *testing.T, seed uint64, clocks ...string) (*fleet.Fleet, context.Context) {
	t.Helper()
	fleet, ctx := startCluster(t, fleet.Settings{
		Instances: 5, Servers: 5, ElectionTimeout: 250 * time.Millisecond, LeaseTTL: 1200 * time.Millisecond, Seed: seed,
		ToleratedPause: 500 * time.Millisecond, DetectionTimeout: 2500 * time.Millisecond, Clocks: clocks,
	})
	fleet.Platform().SetBuild(fleet.Platform().Endpoints()[0], 2)
	fleet.Platform().Controller().SetStage(testplatform.Stage{Build: 2, Progress: "testing", ExposureLimit: 0.3})
	await(t, ctx, 20*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 0, 5) })
	return fleet, ctx
}

// leaseStatus returns the status of a lease from the first instance.
func leaseStatus(ctx context.Context, fleet *fleet.Fleet, id lease.ID) (failover.LeaseStatus, error) {
	leases, err := fleet.Leases(ctx, 0)
	for _, status := range leases {
		if status.Lease == id {
			return status, err
		}
	}
	if err == nil {
		err = fmt.Errorf("lease %s does not exist", id)
	}
	return failover.LeaseStatus{}, err
}

// awaitCheckpoint waits until a lease's checkpoint holds all evidence that was gathered before the call. It waits for two
// new checkpoints: the first may have been started before the call, the second was started after the first.
func awaitCheckpoint(t *testing.T, ctx context.Context, fleet *fleet.Fleet, id lease.ID) {
	t.Helper()
	status, err := leaseStatus(ctx, fleet, id)
	if err != nil {
		t.Fatal(err)
	}
	lastCheckpoint := status.CheckpointAt
	for range 2 {
		await(t, ctx, 10*time.Second, func() error {
			status, err := leaseStatus(ctx, fleet, id)
			if err == nil && status.CheckpointAt <= lastCheckpoint {
				err = fmt.Errorf("want a new checkpoint, got lease %+v", status)
			}
			if err == nil {
				lastCheckpoint = status.CheckpointAt
			}
			return err
		})
	}
}

// checkGrants fails the test if a token was granted more than once.
func checkGrants(t *testing.T, fleet *fleet.Fleet) {
	t.Helper()
	for token, grants := range fleet.GrantsByToken() {
		if grants > 1 {
			t.Errorf("token %s was granted %d times, want once", token, grants)
		}
	}
}

// logLines returns the log lines of all instances that contain all of the texts.
func logLines(fleet *fleet.Fleet, texts ...string) (lines []string) {
	for i := range fleet.Names() {
		for line := range strings.Lines(fleet.Process(i).Output()) {
			lacks := func(text string) bool { return !strings.Contains(line, text) }
			if !slices.ContainsFunc(texts, lacks) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// awaitLogLines waits until at least want log lines contain all of the texts, and returns these lines. An instance writes its
// line some milliseconds after the replicated log has the entry, so a test can't expect the line as soon as the lease table
// shows the change. The timeout is the one for the lease table.
func awaitLogLines(t *testing.T, ctx context.Context, fleet *fleet.Fleet, want int, texts ...string) []string {
	t.Helper()
	var lines []string
	await(t, ctx, 10*time.Second, func() error {
		if lines = logLines(fleet, texts...); len(lines) < want {
			return fmt.Errorf("%d lines with %q, want %d: %q", len(lines), texts, want, lines)
		}
		return nil
	})
	return lines
}

// When a holder is killed, one other instance takes over its lease from the last checkpoint, and no evidence or vote counts
// twice.
func TestLeaseHolderKilled(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 21)
	clients := load.NewClients()
	defer clients.Close()
	for i := range 60 { // all evidence is at n2
		if _, err := clients.Send(ctx, fleet.RequestAddress(2), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	awaitCheckpoint(t, ctx, fleet, "trial/n2")
	if err := fleet.Process(2).Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 0, 4) })
	lines := awaitLogLines(t, ctx, fleet, 1, `msg="lease merged"`, "work=trial/n2")
	if len(lines) != 1 {
		t.Fatalf("lease of n2 merged %d times, want once: %v", len(lines), lines)
	}
	if m := regexp.MustCompile(`hits=(\d+)`).FindStringSubmatch(lines[0]); m == nil || m[1] != "60" {
		t.Errorf("log line about the merge: want hits=60, the responses of the killed instance, got %s", lines[0])
	}
	checkResponses(t, ctx, fleet, 60)
	if err := fleet.Process(2).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 0, 5) })
	acquired := awaitLogLines(t, ctx, fleet, 2, `msg="lease acquired"`, "work=trial/n2", "marshal=n2", "bytes=0")
	if len(acquired) != 2 {
		t.Errorf("want n2 to acquire an empty lease at each of its two starts, got %v", acquired)
	}
	// An instance that shuts down releases its lease, and another instance takes it over without waiting for its expiry.
	successor := regexp.MustCompile(`marshal=n(\d)`).FindStringSubmatch(lines[0])
	if successor == nil {
		t.Fatalf("got log line %q, want one that names the new holder of the lease of n2", lines[0])
	}
	leaving, err := strconv.Atoi(successor[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Process(leaving).Terminate(ctx); err != nil {
		t.Errorf("terminate n%d: %v", leaving, err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, (leaving+1)%5, 4) })
	checkResponses(t, ctx, fleet, 60)
	checkGrants(t, fleet)
	checkVotesOnce(t, fleet)
}

// checkResponses fails the test unless the evidence of all instances together has want responses.
func checkResponses(t *testing.T, ctx context.Context, fleet *fleet.Fleet, want int) {
	t.Helper()
	if n, err := fleet.EvidenceResponses(ctx); err != nil || n != want {
		t.Errorf("got %d responses in the evidence of all instances, error %v, want %d", n, err, want)
	}
}

// checkVotesOnce checks that after a vote with a token of a lease, the controller counted no vote with an earlier token of
// that lease.
func checkVotesOnce(t *testing.T, fleet *fleet.Fleet) {
	t.Helper()
	newest := map[string]uint64{} // token by lease
	for _, vote := range fleet.Platform().Controller().Votes() {
		for _, fence := range vote.FencingTokens {
			if vote.Counted && fence.Token < newest[fence.Work] {
				t.Errorf("vote %+v counted after a vote with token %d", vote, newest[fence.Work])
			}
			newest[fence.Work] = max(newest[fence.Work], fence.Token)
		}
	}
}

// When a holder resumes after a stall longer than its lease, its writes and the votes with its token are rejected.
func TestStalledLeaseHolderIsFenced(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 22)
	clients := load.NewClients()
	defer clients.Close()
	for i := range 40 {
		if _, err := clients.Send(ctx, fleet.RequestAddress(3), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	awaitCheckpoint(t, ctx, fleet, "trial/n3")
	before, err := leaseStatus(ctx, fleet, "trial/n3")
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Process(3).Stall(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error {
		if len(logLines(fleet, `msg="lease merged"`, "work=trial/n3")) != 1 {
			return errors.New("lease of n3 not merged exactly once")
		}
		return nil
	})
	if err := fleet.Process(3).Resume(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error { // the new holder has the evidence of n3, which counts once
		n, err := fleet.EvidenceResponses(ctx)
		if err == nil && n != 40 {
			err = fmt.Errorf("%d responses in the evidence of all instances, want 40", n)
		}
		return err
	})
	await(t, ctx, 10*time.Second, func() error { // the next write of n3 is rejected, and n3 acquires its lease anew
		if len(logLines(fleet, `msg="lease lost"`, "marshal=n3", fmt.Sprintf("token=%d", before.Token))) != 1 {
			return errors.New("late write of n3 not rejected exactly once")
		}
		status, err := leaseStatus(ctx, fleet, "trial/n3")
		if err == nil && (status.Token <= before.Token || status.Holder != "n3") {
			err = fmt.Errorf("got lease %+v, want holder n3 and a higher token than in %+v", status, before)
		}
		return err
	})
	checkGrants(t, fleet)
	// A vote that the stalled holder sent earlier and that arrives only now does not count once the new holder has voted.
	controller := fleet.Platform().Controller()
	for _, vote := range []struct {
		name  string
		token lease.Token
		want  string
	}{
		{"of the new holder", before.Token + 1000, `"result"`},
		{"of the stalled holder", before.Token, "ConditionFailed"},
		{"of the new holder again", before.Token + 1000, `"result"`},
	} {
		params := fmt.Sprintf(`{"image":2,"ring":0,"opinion":"on","fences":[{"work":"trial/n3","token":%d}]}`, vote.token)
		if response := castVote(t, controller.Address(), params); !strings.Contains(response, vote.want) {
			t.Errorf("vote %s with token %d: got %s, want %s", vote.name, vote.token, response, vote.want)
		}
	}
}

// castVote sends a vote to the controller and returns the controller's response.
func castVote(t *testing.T, address, params string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response has been read
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":1,"method":"castBallot","params":%s}`+"\n", params); err != nil {
		t.Fatal(err)
	}
	var response json.RawMessage
	if err := json.NewDecoder(conn).Decode(&response); err != nil {
		t.Fatal(err)
	}
	return string(response)
}

// When several instances try to take over a lease under packet loss, one gets the lease and the others are rejected.
func TestLeaseRaceHasOneWinner(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 23)
	fleet.Rules.SetDefault(faultinject.Rule{Drop: 0.2})
	if err := fleet.Process(4).Kill(); err != nil {
		t.Fatal(err)
	}
	var racing sync.WaitGroup
	var winners atomic.Int32
	rejections := make([]string, 4)
	for i := range 4 {
		racing.Go(func() {
			err := poll.Until(ctx, func() error { // until the lease of n4 has expired and another instance holds it
				err := fleet.TakeOver(ctx, i, "trial/n4")
				if err != nil && (!strings.Contains(err.Error(), "trial/n4") || strings.Contains(err.Error(), "held by n4")) {
					return err // no leader yet, or the lease is still held
				}
				if err != nil {
					rejections[i] = err.Error()
					return nil
				}
				winners.Add(1)
				return nil
			})
			if err != nil {
				t.Errorf("n%d: %v", i, err)
			}
		})
	}
	racing.Wait()
	fleet.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 0, 4) })
	if lines := awaitLogLines(t, ctx, fleet, 1, `msg="lease merged"`, "work=trial/n4"); len(lines) != 1 || winners.Load() > 1 {
		t.Errorf("lease of n4: got %d winners and merges %v, want at most one winner and one merge", winners.Load(), lines)
	}
	for i, text := range rejections {
		if text != "" && !strings.Contains(text, "no piece any more") && !strings.Contains(text, "is held by") {
			t.Errorf("n%d was rejected with %q, want that the lease is held or gone", i, text)
		}
	}
	if n := strings.Count(strings.Join(rejections, "\n"), "trial/n4"); n < 3-int(1-winners.Load()) {
		t.Errorf("takeovers of the lease of n4: got %d rejections, want one for each of the others: %q", n, rejections)
	}
	checkGrants(t, fleet)
}

// When an instance is killed, a client resends a request that was in flight there to another instance. A non-idempotent
// request is rejected at once with Retry-After, since it may have run already. An idempotent request is served.
func TestRequestInFlightAtTakeover(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 24)
	clients := load.NewClients()
	defer clients.Close()
	for _, endpoint := range fleet.Platform().Endpoints() {
		endpoint.SetBehavior(400*time.Millisecond, false)
	}
	for _, test := range []struct {
		name, class, want string
		matchesWant       func(status int, retryAfter string, latency time.Duration) bool
	}{
		{"non-idempotent", "send-text", "status 500 with Retry-After within 200 ms", isPromptRejection},
		{"idempotent", "read", "status 200", hasStatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			id := "flight-" + test.class
			killInFlight(t, ctx, fleet, clients, test.class, id)
			response, err := clients.Resume(ctx, fleet.RequestAddress(1), test.class, id)
			switch {
			case err != nil:
				t.Errorf("resend request %s to n1: %v", id, err)
			case !test.matchesWant(response.Status, response.RetryAfter, response.Latency):
				t.Errorf("resent request %s: got response %+v, want %s", id, response, test.want)
			}
			restartKilled(t, ctx, fleet, clients)
		})
	}
	if duplicates := fleet.Platform().DuplicateExecutions(); len(duplicates) > 0 {
		t.Errorf("want no request run twice, got %v", duplicates)
	}
}

// killInFlight sends a request to n0, and kills n0 once an endpoint has received the request.
func killInFlight(t *testing.T, ctx context.Context, fleet *fleet.Fleet, clients *load.Clients, class, id string) {
	t.Helper()
	before := fleet.Platform().Requests()
	sendErr := make(chan error, 1)
	go func() {
		_, err := clients.Send(ctx, fleet.RequestAddress(0), class, id)
		sendErr <- err
	}()
	await(t, ctx, 5*time.Second, func() error {
		if fleet.Platform().Requests() == before {
			return errors.New("no endpoint has received the request yet")
		}
		return nil
	})
	if err := fleet.Process(0).Kill(); err != nil {
		t.Fatal(err)
	}
	if err := <-sendErr; err == nil {
		t.Error("got a response from a killed instance, want a broken connection")
	}
}

// restartKilled starts n0 again, and waits until it holds its lease and serves requests.
func restartKilled(t *testing.T, ctx context.Context, fleet *fleet.Fleet, clients *load.Clients) {
	t.Helper()
	if err := fleet.Process(0).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 1, 5) })
	await(t, ctx, 10*time.Second, func() error { // until n0 has received its endpoint list
		response, err := clients.Send(ctx, fleet.RequestAddress(0), "read", fmt.Sprint("back-", time.Now().UnixNano()))
		if err == nil && response.Status != http.StatusOK {
			err = fmt.Errorf("restarted n0: got response %+v, want status 200", response)
		}
		return err
	})
}

func hasStatusOK(status int, _ string, _ time.Duration) bool { return status == http.StatusOK }

func isPromptRejection(status int, retryAfter string, latency time.Duration) bool {
	return status == http.StatusInternalServerError && retryAfter != "" && latency <= 200*time.Millisecond
}

// tokenField matches the token in a log line.
var tokenField = regexp.MustCompile(` token=(\d+) `)

// Over 100 random kills under load, no lease is lost or held by two instances, no non-idempotent request runs twice, and
// each request ends.
func TestLeasesSurviveHundredKills(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 25)
	for _, endpoint := range fleet.Platform().Endpoints() { // slow endpoints, so that requests are in flight at a kill
		endpoint.SetBehavior(load.RequestLatency, false)
	}
	load := load.New(fleet, 6, 25)
	load.Start(ctx)
	if err := fleet.KillAtRandom(ctx, 25, 100, 2, 3500*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 30*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 0, 5) })
	result := load.Stop()
	t.Logf("result of the load: %+v", result)
	if result.Lost > 0 || result.Mismatched > 0 || len(fleet.Platform().DuplicateExecutions()) > 0 {
		t.Errorf("result of the load: got %+v, ran twice: %v, want no requests lost, wrong or run twice", result, fleet.Platform().DuplicateExecutions())
	}
	if result.Succeeded < 500 || result.Resumed < 10 {
		t.Errorf("result of the load: got %+v, want at least 500 succeeded and 10 resumed requests", result)
	}
	checkGrants(t, fleet)
	checkVotesOnce(t, fleet)
	// The merges are read before the takeovers: an instance logs a takeover before its merge.
	merged := logLines(fleet, `msg="lease merged"`)
	takeovers := map[string]int{}
	for _, line := range logLines(fleet, `msg="lease taken over"`) {
		if m := tokenField.FindStringSubmatch(line); m != nil {
			takeovers[m[1]]++
		}
	}
	for _, line := range merged {
		if m := tokenField.FindStringSubmatch(line); m == nil || takeovers[m[1]] != 1 {
			t.Errorf("merge without exactly one takeover with its token: %s", line)
		}
	}
	if len(takeovers) == 0 {
		t.Error("got no takeovers, want at least one")
	}
}

// Clocks differ by hours and run 10 % fast or slow. When two instances are killed one after the other, each of their leases
// is taken over by one other instance, as soon as with equal clocks, and no live holder loses its lease.
func TestLeasesUnderClockSkew(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseClusterWithClocks(t, 27, "1h 1.1", "-1h 0.9", "0s 1", "-26h 1.1", "3h 0.9")
	clients := load.NewClients()
	defer clients.Close()
	for i := range 50 {
		if _, err := clients.Send(ctx, fleet.RequestAddress(i%5), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		awaitCheckpoint(t, ctx, fleet, lease.TrialID(fmt.Sprint("n", i)))
	}
	for i, victim := range []int{0, 3} { // a clock that is ahead, and one that is far behind; three of five servers are a majority
		if err := fleet.Process(victim).Kill(); err != nil {
			t.Fatal(err)
		}
		await(t, ctx, 10*time.Second, func() error { return fleet.CheckLeasesHeld(ctx, 1, 4-i) })
	}
	checkResponses(t, ctx, fleet, 50)
	if lines := logLines(fleet, `msg="lease lost"`); len(lines) > 0 {
		t.Errorf("want no lease lost by a live holder, got %v", lines)
	}
	checkGrants(t, fleet)
	checkVotesOnce(t, fleet)
}
