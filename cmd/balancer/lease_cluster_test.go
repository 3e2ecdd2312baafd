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
	standin "ottershed/internal/testbed/platform"
	"ottershed/internal/testbed/poll"
)

// leaseCluster starts instances with takeover on and a candidate build at one of three endpoints, and waits until each
// holds its own lease.
func leaseCluster(t *testing.T, seed uint64) (*fleet.Fleet, context.Context) {
	t.Helper()
	return leaseClusterWithClocks(t, seed)
}

// leaseClusterOf is the same with clocks that differ, see fleet.Settings.
func leaseClusterWithClocks(t *testing.T, seed uint64, clocks ...string) (*fleet.Fleet, context.Context) {
	t.Helper()
	fleet, ctx := startCluster(t, fleet.Settings{
		Instances: 5, Servers: 5, ElectionTimeout: 250 * time.Millisecond, LeaseTTL: 1200 * time.Millisecond, Seed: seed,
		ToleratedPause: 500 * time.Millisecond, DetectionTimeout: 2500 * time.Millisecond, Clocks: clocks,
	})
	fleet.Platform().SetBuild(fleet.Platform().Endpoints()[0], 2)
	fleet.Platform().Controller().SetStage(standin.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
	await(t, ctx, 20*time.Second, func() error { return fleet.CheckHeld(ctx, 0, 5) })
	return fleet, ctx
}

// leaseOf is the status of a lease, as the first instance returns it.
func leaseStatus(ctx context.Context, fleet *fleet.Fleet, id lease.ID) (failover.LeaseStatus, error) {
	lines, err := fleet.Leases(ctx, 0)
	for _, l := range lines {
		if l.Lease == id {
			return l, err
		}
	}
	if err == nil {
		err = fmt.Errorf("no lease %s", id)
	}
	return failover.LeaseStatus{}, err
}

// awaitCheckpoint waits until a lease's checkpoint holds all evidence that was gathered before the call: the second one
// that is written from now on was begun after the first.
func awaitCheckpoint(t *testing.T, ctx context.Context, fleet *fleet.Fleet, id lease.ID) {
	t.Helper()
	l, err := leaseStatus(ctx, fleet, id)
	if err != nil {
		t.Fatal(err)
	}
	since := l.CheckpointAt
	for range 2 {
		await(t, ctx, 10*time.Second, func() error {
			l, err := leaseStatus(ctx, fleet, id)
			if err == nil && l.CheckpointAt <= since {
				err = fmt.Errorf("no checkpoint since: %+v", l)
			}
			if err == nil {
				since = l.CheckpointAt
			}
			return err
		})
	}
}

// checkGrants fails the test if a token was granted twice.
func checkGrants(t *testing.T, fleet *fleet.Fleet) {
	t.Helper()
	for token, times := range fleet.Grants() {
		if times > 1 {
			t.Errorf("token %s was granted %d times", token, times)
		}
	}
}

// logged returns the log lines of all instances that contain every one of the texts.
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

// awaitLogged waits for as many lines with all of these texts, as long as tests wait for the lease table: an instance
// writes its line some milliseconds after the log has the entry. It returns the lines there are by then.
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

// When a holder is killed, one other instance resumes from its last checkpoint, and no evidence or vote counts twice.
func TestLeaseHolderKilled(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 21)
	clients := load.NewClients()
	defer clients.Close()
	for i := range 60 { // evidence at one instance
		if _, err := clients.Send(ctx, fleet.Listen(2), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	awaitCheckpoint(t, ctx, fleet, "trial/n2")
	if err := fleet.Process(2).Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckHeld(ctx, 0, 4) })
	lines := awaitLogLines(t, ctx, fleet, 1, `msg="lease merged"`, "work=trial/n2")
	if len(lines) != 1 {
		t.Fatalf("merged %d times: %v", len(lines), lines)
	}
	if m := regexp.MustCompile(`hits=(\d+)`).FindStringSubmatch(lines[0]); m == nil || m[1] != "60" {
		t.Errorf("not the 60 responses of the killed instance: %s", lines[0])
	}
	checkResponses(t, ctx, fleet, 60)
	if err := fleet.Process(2).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckHeld(ctx, 0, 5) })
	acquired := awaitLogLines(t, ctx, fleet, 2, `msg="lease acquired"`, "work=trial/n2", "marshal=n2", "bytes=0")
	if len(acquired) != 2 {
		t.Errorf("started again it does not acquire an empty lease: %v", acquired)
	}
	// An instance that shuts down releases its lease, and another has it before it would have expired.
	successor := regexp.MustCompile(`marshal=n(\d)`).FindStringSubmatch(lines[0])
	if successor == nil {
		t.Fatal(lines[0])
	}
	leaving, err := strconv.Atoi(successor[1])
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Process(leaving).Terminate(ctx); err != nil {
		t.Error(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckHeld(ctx, (leaving+1)%5, 4) })
	checkResponses(t, ctx, fleet, 60)
	checkGrants(t, fleet)
	checkVotesOnce(t, fleet)
}

// checkResponses expects so many responses in the evidence of all instances together.
func checkResponses(t *testing.T, ctx context.Context, fleet *fleet.Fleet, want int) {
	t.Helper()
	if n, err := fleet.Responses(ctx); err != nil || n != want {
		t.Errorf("%d responses of %d are in the evidence of all, %v", n, want, err)
	}
}

// checkVotesOnce checks the controller's ballots: once a ballot named a lease under a token, none under an earlier
// token counted.
func checkVotesOnce(t *testing.T, fleet *fleet.Fleet) {
	t.Helper()
	newest := map[string]uint64{}
	for _, b := range fleet.Platform().Controller().Ballots() {
		for _, fence := range b.Fences {
			if b.Counted && fence.Token < newest[fence.Work] {
				t.Errorf("%+v counted, after token %d", b, newest[fence.Work])
			}
			newest[fence.Work] = max(newest[fence.Work], fence.Token)
		}
	}
}

// When a holder is stalled past its lease and continues, its writes are rejected, and so are votes under its token.
func TestStalledLeaseHolderIsFenced(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 22)
	clients := load.NewClients()
	defer clients.Close()
	for i := range 40 {
		if _, err := clients.Send(ctx, fleet.Listen(3), "read", fmt.Sprint("e", i)); err != nil {
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
			return errors.New("not taken over once")
		}
		return nil
	})
	if err := fleet.Process(3).Resume(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error { // its evidence is another's, and counts once
		n, err := fleet.Responses(ctx)
		if err == nil && n != 40 {
			err = fmt.Errorf("%d responses are in the evidence of all", n)
		}
		return err
	})
	await(t, ctx, 10*time.Second, func() error { // its next write is rejected, and it acquires a new lease
		if len(logLines(fleet, `msg="lease lost"`, "marshal=n3", fmt.Sprintf("token=%d", before.Token))) != 1 {
			return errors.New("its late write was not rejected once")
		}
		l, err := leaseStatus(ctx, fleet, "trial/n3")
		if err == nil && (l.Token <= before.Token || l.Holder != "n3") {
			err = fmt.Errorf("%+v, and before %+v", l, before)
		}
		return err
	})
	checkGrants(t, fleet)
	// A vote that it sent before, and that arrives only now, does not count once the new holder has voted.
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
		if response := castBallot(t, controller.Address(), params); !strings.Contains(response, vote.want) {
			t.Errorf("vote %s under token %d: %s, want %s", vote.name, vote.token, response, vote.want)
		}
	}
}

// castBallot sends a vote to the controller and returns its response.
func castBallot(t *testing.T, address, params string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response was read
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

// When survivors race for a lease under packet loss, one gets it and the others are rejected.
func TestLeaseRaceHasOneWinner(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 23)
	fleet.Rules.SetDefault(faultinject.Rule{Drop: 0.2})
	if err := fleet.Process(4).Kill(); err != nil {
		t.Fatal(err)
	}
	var racing sync.WaitGroup
	var won atomic.Int32
	rejections := make([]string, 4)
	for i := range 4 {
		racing.Go(func() {
			err := poll.Until(ctx, func() error { // until the lease has expired and one instance has it
				err := fleet.TakeOver(ctx, i, "trial/n4")
				if err != nil && (!strings.Contains(err.Error(), "trial/n4") || strings.Contains(err.Error(), "held by n4")) {
					return err // no leader yet, or the lease is still held
				}
				if err != nil {
					rejections[i] = err.Error()
					return nil
				}
				won.Add(1)
				return nil
			})
			if err != nil {
				t.Errorf("n%d: %v", i, err)
			}
		})
	}
	racing.Wait()
	fleet.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckHeld(ctx, 0, 4) })
	if lines := awaitLogLines(t, ctx, fleet, 1, `msg="lease merged"`, "work=trial/n4"); len(lines) != 1 || won.Load() > 1 {
		t.Errorf("%d won, merged: %v", won.Load(), lines)
	}
	for i, text := range rejections {
		if text != "" && !strings.Contains(text, "no piece any more") && !strings.Contains(text, "is held by") {
			t.Errorf("n%d was rejected with %q", i, text)
		}
	}
	if n := strings.Count(strings.Join(rejections, "\n"), "trial/n4"); n < 3-int(1-won.Load()) {
		t.Errorf("%d of the others were rejected: %q", n, rejections)
	}
	checkGrants(t, fleet)
}

// A request that is in flight when its instance dies is sent again to another instance: one that is non-idempotent is
// rejected at once, with Retry-After, and runs only once; an idempotent one is handled.
func TestRequestInFlightAtTakeover(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 24)
	clients := load.NewClients()
	defer clients.Close()
	for _, n := range fleet.Platform().Endpoints() {
		n.Behave(400*time.Millisecond, false)
	}
	for _, test := range []struct {
		name, class string
		want        func(status int, retryAfter string, took time.Duration) bool
	}{
		{"non-idempotent", "send-text", rejectedPromptly},
		{"idempotent", "read", succeeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			id := "flight-" + test.class
			killInFlight(t, ctx, fleet, clients, test.class, id)
			response, err := clients.Resume(ctx, fleet.Listen(1), test.class, id)
			switch {
			case err != nil:
				t.Error(err)
			case !test.want(response.Status, response.RetryAfter, response.Took):
				t.Errorf("it ended as %+v", response)
			}
			restartKilled(t, ctx, fleet, clients)
		})
	}
	if twice := fleet.Platform().RanTwice(); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

// killInFlight sends a request to n0 and kills n0 once the request is at an endpoint.
func killInFlight(t *testing.T, ctx context.Context, fleet *fleet.Fleet, clients *load.Clients, class, id string) {
	t.Helper()
	before := fleet.Platform().Requests()
	broken := make(chan error, 1)
	go func() {
		_, err := clients.Send(ctx, fleet.Listen(0), class, id)
		broken <- err
	}()
	await(t, ctx, 5*time.Second, func() error {
		if fleet.Platform().Requests() == before {
			return errors.New("not at an endpoint yet")
		}
		return nil
	})
	if err := fleet.Process(0).Kill(); err != nil {
		t.Fatal(err)
	}
	if err := <-broken; err == nil {
		t.Error("it got a response")
	}
}

// restartKilled starts n0 again and waits until it holds its lease and handles requests.
func restartKilled(t *testing.T, ctx context.Context, fleet *fleet.Fleet, clients *load.Clients) {
	t.Helper()
	if err := fleet.Process(0).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckHeld(ctx, 1, 5) })
	await(t, ctx, 10*time.Second, func() error { // it has its endpoint list again
		response, err := clients.Send(ctx, fleet.Listen(0), "read", fmt.Sprint("back-", time.Now().UnixNano()))
		if err == nil && response.Status != http.StatusOK {
			err = fmt.Errorf("%+v", response)
		}
		return err
	})
}

func succeeded(status int, _ string, _ time.Duration) bool { return status == http.StatusOK }

func rejectedPromptly(status int, retryAfter string, took time.Duration) bool {
	return status == http.StatusInternalServerError && retryAfter != "" && took <= 200*time.Millisecond
}

// tokenField is the token in a log line.
var tokenField = regexp.MustCompile(` token=(\d+) `)

// In 100 random kills under load no lease is lost or held by two, no non-idempotent request runs twice, and each
// request ends.
func TestLeasesSurviveHundredKills(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseCluster(t, 25)
	for _, n := range fleet.Platform().Endpoints() { // so that requests are in flight when their instance dies
		n.Behave(load.RequestLatency, false)
	}
	load := load.New(fleet, 6, 25)
	load.Start(ctx)
	if err := fleet.KillAtRandom(ctx, 25, 100, 2, 3500*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 30*time.Second, func() error { return fleet.CheckHeld(ctx, 0, 5) })
	result := load.Stop()
	t.Logf("%+v", result)
	if result.Lost > 0 || result.Wrong > 0 || len(fleet.Platform().RanTwice()) > 0 {
		t.Errorf("%+v; ran twice: %v", result, fleet.Platform().RanTwice())
	}
	if result.Succeeded < 500 || result.Resumed < 10 {
		t.Errorf("too little load: %+v", result)
	}
	checkGrants(t, fleet)
	checkVotesOnce(t, fleet)
	merged := logLines(fleet, `msg="lease merged"`) // read first: a takeover is logged before its merge
	taken := map[string]int{}
	for _, line := range logLines(fleet, `msg="lease taken over"`) {
		if m := tokenField.FindStringSubmatch(line); m != nil {
			taken[m[1]]++
		}
	}
	for _, line := range merged {
		if m := tokenField.FindStringSubmatch(line); m == nil || taken[m[1]] != 1 {
			t.Errorf("merged without one takeover: %s", line)
		}
	}
	if len(taken) == 0 {
		t.Error("nothing was ever taken over")
	}
}

// With clocks that differ by hours and run fast or slow by a tenth, holders and leaders are killed one after another,
// and each lease is resumed by one other instance as soon as with equal clocks.
func TestLeasesUnderClockSkew(t *testing.T) {
	t.Parallel()
	fleet, ctx := leaseClusterWithClocks(t, 27, "1h 1.1", "-1h 0.9", "0s 1", "-26h 1.1", "3h 0.9")
	clients := load.NewClients()
	defer clients.Close()
	for i := range 50 {
		if _, err := clients.Send(ctx, fleet.Listen(i%5), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		awaitCheckpoint(t, ctx, fleet, lease.TrialID(fmt.Sprint("n", i)))
	}
	for i, victim := range []int{0, 3} { // one far ahead, one far behind; with five servers a majority is left
		if err := fleet.Process(victim).Kill(); err != nil {
			t.Fatal(err)
		}
		await(t, ctx, 10*time.Second, func() error { return fleet.CheckHeld(ctx, 1, 4-i) })
	}
	checkResponses(t, ctx, fleet, 50)
	if lines := logLines(fleet, `msg="lease lost"`); len(lines) > 0 {
		t.Errorf("live holders lost their leases: %v", lines)
	}
	checkGrants(t, fleet)
	checkVotesOnce(t, fleet)
}
