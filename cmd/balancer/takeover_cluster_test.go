package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"ottershed/internal/cluster/failover"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/testbed"
	"ottershed/internal/testbed/faultinject"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// workCluster starts marshals that hold their work under leases, with a build on trial at one of three nodes, and waits
// until each holds its own.
func leaseCluster(t *testing.T, seed uint64) (*testbed.Fleet, context.Context) {
	t.Helper()
	return leaseClusterOf(t, seed)
}

// workClusterOf is the same with clocks that lie, see lab.Settings.
func leaseClusterOf(t *testing.T, seed uint64, clocks ...string) (*testbed.Fleet, context.Context) {
	t.Helper()
	f, ctx := startCluster(t, testbed.Settings{
		Instances: 5, Servers: 5, ElectionTimeout: 250 * time.Millisecond, LeaseTTL: 1200 * time.Millisecond, Seed: seed,
		ToleratedPause: 500 * time.Millisecond, DetectionTimeout: 2500 * time.Millisecond, Clocks: clocks,
	})
	f.Platform().SetBuild(f.Platform().Endpoints()[0], 2)
	f.Platform().Controller().SetStage(testbed.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
	await(t, ctx, 20*time.Second, func() error { return f.CheckHeld(ctx, 0, 5) })
	return f, ctx
}

// piece is one piece's line.
func leaseOf(ctx context.Context, f *testbed.Fleet, at int, w lease.ID) (failover.LeaseStatus, error) {
	lines, err := f.Leases(ctx, at)
	for _, l := range lines {
		if l.Lease == w {
			return l, err
		}
	}
	if err == nil {
		err = fmt.Errorf("no piece %s", w)
	}
	return failover.LeaseStatus{}, err
}

// checkpointed waits until a piece's checkpoint holds all that was seen by now: the second one that is written from now on
// was begun after the first.
func checkpointed(t *testing.T, ctx context.Context, f *testbed.Fleet, w lease.ID) {
	t.Helper()
	l, err := leaseOf(ctx, f, 0, w)
	if err != nil {
		t.Fatal(err)
	}
	since := l.CheckpointAt
	for range 2 {
		await(t, ctx, 10*time.Second, func() error {
			l, err := leaseOf(ctx, f, 0, w)
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

// grants fails the test where a token was granted twice.
func checkGrants(t *testing.T, f *testbed.Fleet) {
	t.Helper()
	for token, times := range f.Grants() {
		if times > 1 {
			t.Errorf("token %s was granted %d times", token, times)
		}
	}
}

// logged are the lines of all marshals that hold all of some texts.
func logged(f *testbed.Fleet, texts ...string) (lines []string) {
	for i := range f.Names() {
		for line := range strings.Lines(f.Process(i).Output()) {
			all := true
			for _, text := range texts {
				all = all && strings.Contains(line, text)
			}
			if all {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// awaitLogged awaits as many lines with all of these texts, for as long as a test awaits the table that goes with them: a
// member writes its line some milliseconds after the log has the entry. It returns the lines there are by then.
func awaitLogged(t *testing.T, ctx context.Context, f *testbed.Fleet, want int, texts ...string) []string {
	t.Helper()
	var lines []string
	await(t, ctx, 10*time.Second, func() error {
		if lines = logged(f, texts...); len(lines) < want {
			return fmt.Errorf("%d lines with %q, want %d: %q", len(lines), texts, want, lines)
		}
		return nil
	})
	return lines
}

// The owner of a trial's work is killed: one other goes on from its last checkpoint, and no vote counts twice.
func TestLeaseHolderKilled(t *testing.T) {
	t.Parallel()
	f, ctx := leaseCluster(t, 21)
	clients := testbed.NewClients()
	defer clients.Close()
	for i := range 60 { // evidence at one marshal
		if _, err := clients.Send(ctx, f.Listen(2), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	checkpointed(t, ctx, f, "trial/n2")
	if err := f.Process(2).Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return f.CheckHeld(ctx, 0, 4) })
	lines := awaitLogged(t, ctx, f, 1, `msg="lease merged"`, "work=trial/n2")
	if len(lines) != 1 {
		t.Fatalf("resumed %d times: %v", len(lines), lines)
	}
	if m := regexp.MustCompile(`hits=(\d+)`).FindStringSubmatch(lines[0]); m == nil || m[1] != "60" {
		t.Errorf("it had answered 60 hits: %s", lines[0])
	}
	if seen, err := f.Responses(ctx); err != nil || seen != 60 {
		t.Errorf("%d hits are in the evidence of all, %v", seen, err)
	}
	if err := f.Process(2).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return f.CheckHeld(ctx, 0, 5) })
	if lines := awaitLogged(t, ctx, f, 2, `msg="lease acquired"`, "work=trial/n2", "marshal=n2", "bytes=0"); len(lines) != 2 {
		t.Errorf("started again it begins with nothing: %v", lines)
	}
	// One that is told to leave gives its work free, and another has it before its lease would have lapsed.
	heir := regexp.MustCompile(`marshal=(n\d)`).FindStringSubmatch(lines[0])
	if heir == nil {
		t.Fatal(lines[0])
	}
	leaves, _ := strconv.Atoi(heir[1][1:])
	if err := f.Process(leaves).Terminate(ctx); err != nil {
		t.Error(err)
	}
	await(t, ctx, 10*time.Second, func() error { return f.CheckHeld(ctx, (leaves+1)%5, 4) })
	if seen, err := f.Responses(ctx); err != nil || seen != 60 {
		t.Errorf("after its heir has left, %d hits are in the evidence of all, %v", seen, err)
	}
	checkGrants(t, f)
	checkVotesOnce(t, f)
}

// votesOnce checks the desk's ballots: once a piece was voted by under a token, no ballot under an earlier one counted.
func checkVotesOnce(t *testing.T, f *testbed.Fleet) {
	t.Helper()
	newest := map[string]uint64{}
	for _, b := range f.Platform().Controller().Ballots() {
		for _, fence := range b.Fences {
			if b.Counted && fence.Token < newest[fence.Work] {
				t.Errorf("%+v counted, after token %d", b, newest[fence.Work])
			}
			newest[fence.Work] = max(newest[fence.Work], fence.Token)
		}
	}
}

// An owner that stands still past its lease and goes on: what it writes is refused, and so are votes under its token.
func TestLeaseZombie(t *testing.T) {
	t.Parallel()
	f, ctx := leaseCluster(t, 22)
	clients := testbed.NewClients()
	defer clients.Close()
	for i := range 40 {
		if _, err := clients.Send(ctx, f.Listen(3), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	checkpointed(t, ctx, f, "trial/n3")
	was, err := leaseOf(ctx, f, 0, "trial/n3")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Process(3).Stall(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error {
		if len(logged(f, `msg="lease merged"`, "work=trial/n3")) != 1 {
			return fmt.Errorf("not taken over")
		}
		return nil
	})
	if err := f.Process(3).Resume(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error { // what it had seen is another's, and counts once
		seen, err := f.Responses(ctx)
		if err == nil && seen != 40 {
			err = fmt.Errorf("%d hits are in the evidence of all", seen)
		}
		return err
	})
	await(t, ctx, 10*time.Second, func() error { // its next write is refused, and it begins anew under a higher token
		if len(logged(f, `msg="lease lost"`, "marshal=n3", fmt.Sprintf("token=%d", was.Token))) != 1 {
			return fmt.Errorf("its late write was not refused")
		}
		l, err := leaseOf(ctx, f, 0, "trial/n3")
		if err == nil && (l.Token <= was.Token || l.Holder != "n3") {
			err = fmt.Errorf("%+v, and before %+v", l, was)
		}
		return err
	})
	checkGrants(t, f)
	// A vote that it had sent before, and that comes only now, does not count, once the new owner has voted.
	controller := f.Platform().Controller()
	for _, c := range []struct {
		token lease.Token
		want  string
	}{{was.Token + 1000, `"result"`}, {was.Token, "ConditionFailed"}, {was.Token + 1000, `"result"`}} {
		if response := castBallot(t, controller.Address(), fmt.Sprintf(`{"image":2,"ring":0,"opinion":"on","fences":[{"work":"trial/n3","token":%d}]}`,
			c.token)); !strings.Contains(response, c.want) {
			t.Errorf("under token %d: %s, want %s", c.token, response, c.want)
		}
	}
}

func castBallot(t *testing.T, address, params string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, `{"jsonrpc":"2.0","id":1,"method":"castBallot","params":%s}`+"\n", params)
	var response json.RawMessage
	if err := json.NewDecoder(c).Decode(&response); err != nil {
		t.Fatal(err)
	}
	return string(response)
}

// Survivors race for a piece under loss: one has it, the others are refused and hear so.
func TestLeaseRace(t *testing.T) {
	t.Parallel()
	f, ctx := leaseCluster(t, 23)
	f.Rules.SetDefault(faultinject.Rule{Drop: 0.2})
	if err := f.Process(4).Kill(); err != nil {
		t.Fatal(err)
	}
	var racing sync.WaitGroup
	var won atomic.Int32
	refused := make([]string, 4)
	for i := range 4 {
		racing.Go(func() {
			err := testbed.Poll(ctx, func() error { // until the lease has lapsed and somebody has it
				err := f.TakeOver(ctx, i, "trial/n4")
				if err != nil && (!strings.Contains(err.Error(), "trial/n4") || strings.Contains(err.Error(), "held by n4")) {
					return err // no leader yet, or its lease still stands
				}
				if err != nil {
					refused[i] = err.Error()
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
	f.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return f.CheckHeld(ctx, 0, 4) })
	if lines := awaitLogged(t, ctx, f, 1, `msg="lease merged"`, "work=trial/n4"); len(lines) != 1 || won.Load() > 1 {
		t.Errorf("%d won, resumed: %v", won.Load(), lines)
	}
	for i, text := range refused {
		if text != "" && !strings.Contains(text, "no piece any more") && !strings.Contains(text, "is held by") {
			t.Errorf("n%d was refused by %q", i, text)
		}
	}
	if n := strings.Count(strings.Join(refused, "\n"), "trial/n4"); n < 3-int(1-won.Load()) {
		t.Errorf("%d of the others were refused: %q", n, refused)
	}
	checkGrants(t, f)
}

// A mutating hit that is at a node when its marshal dies is never forwarded again: its client, which brings it to another
// marshal, hears so at once, with when to come back. A repeatable one is delivered there.
func TestRequestInFlightAtTakeover(t *testing.T) {
	t.Parallel()
	f, ctx := leaseCluster(t, 24)
	clients := testbed.NewClients()
	defer clients.Close()
	for _, n := range f.Platform().Endpoints() {
		n.Behave(400*time.Millisecond, false)
	}
	for _, group := range []string{"send-text", "read"} {
		id, before := "flight-"+group, f.Platform().Requests()
		broken := make(chan error, 1)
		go func() {
			_, err := clients.Send(ctx, f.Listen(0), group, id)
			broken <- err
		}()
		await(t, ctx, 5*time.Second, func() error {
			if f.Platform().Requests() == before {
				return fmt.Errorf("not at a node yet")
			}
			return nil
		})
		if err := f.Process(0).Kill(); err != nil {
			t.Fatal(err)
		}
		if err := <-broken; err == nil {
			t.Error("it was answered")
		}
		e, err := clients.Resume(ctx, f.Listen(1), group, id)
		switch {
		case err != nil:
			t.Error(err)
		case group == "read" && e.Status != 200:
			t.Errorf("a repeatable hit ended as %+v", e)
		case group == "send-text" && (e.Status != 500 || e.RetryAfter == "" || e.Took > 200*time.Millisecond):
			t.Errorf("a mutating hit ended as %+v", e)
		}
		if err := f.Process(0).Start(); err != nil {
			t.Fatal(err)
		}
		await(t, ctx, 10*time.Second, func() error { return f.CheckHeld(ctx, 1, 5) })
		await(t, ctx, 10*time.Second, func() error { // it has its list of nodes again
			e, err := clients.Send(ctx, f.Listen(0), "read", fmt.Sprint("back-", time.Now().UnixNano()))
			if err == nil && e.Status != 200 {
				err = fmt.Errorf("%+v", e)
			}
			return err
		})
	}
	if twice := f.Platform().RanTwice(); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}
}

var tokenField = regexp.MustCompile(` token=(\d+) `)

// 100 kills at random under load: no trial's work is lost or owned by two, no mutating hit runs twice, and each hit ends.
func TestLeaseHundredKills(t *testing.T) {
	t.Parallel()
	f, ctx := leaseCluster(t, 25)
	for _, n := range f.Platform().Endpoints() { // so that hits are in flight when their marshal dies
		n.Behave(testbed.RequestLatency, false)
	}
	load := testbed.NewLoad(f, 6, 25)
	load.Start(ctx)
	if err := f.KillAtRandom(ctx, 25, 100, 2, 3500*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 30*time.Second, func() error { return f.CheckHeld(ctx, 0, 5) })
	r := load.Stop()
	t.Logf("%+v", r)
	if r.Lost > 0 || r.Wrong > 0 || len(f.Platform().RanTwice()) > 0 {
		t.Errorf("%+v; ran twice: %v", r, f.Platform().RanTwice())
	}
	if r.Succeeded < 500 || r.Resumed < 10 {
		t.Errorf("too little load: %+v", r)
	}
	checkGrants(t, f)
	checkVotesOnce(t, f)
	resumed := logged(f, `msg="lease merged"`) // read first: what it takes is in the log before what follows from it
	taken := map[string]int{}
	for _, line := range logged(f, `msg="lease taken over"`) {
		if m := tokenField.FindStringSubmatch(line); m != nil {
			taken[m[1]]++
		}
	}
	for _, line := range resumed {
		if m := tokenField.FindStringSubmatch(line); m == nil || taken[m[1]] != 1 {
			t.Errorf("resumed without having been taken once: %s", line)
		}
	}
	if len(taken) == 0 {
		t.Error("nothing was ever taken over")
	}
}

// Clocks that are off by hours and run fast or slow by a tenth: owners and leaders are killed one after another, and each piece
// goes on at one other as soon as with clocks that agree. By wall clocks, one entry of a leader an hour ahead held every dead
// one's piece for an hour, and let sound ones' go.
func TestLeasesUnderClockSkew(t *testing.T) {
	t.Parallel()
	f, ctx := leaseClusterOf(t, 27, "1h 1.1", "-1h 0.9", "0s 1", "-26h 1.1", "3h 0.9")
	clients := testbed.NewClients()
	defer clients.Close()
	for i := range 50 {
		if _, err := clients.Send(ctx, f.Listen(i%5), "read", fmt.Sprint("e", i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		checkpointed(t, ctx, f, lease.TrialID(fmt.Sprint("n", i)))
	}
	for i, victim := range []int{0, 3} { // one far ahead, one far behind; with five servers a majority is left
		if err := f.Process(victim).Kill(); err != nil {
			t.Fatal(err)
		}
		await(t, ctx, 10*time.Second, func() error { return f.CheckHeld(ctx, 1, 4-i) })
	}
	if seen, err := f.Responses(ctx); err != nil || seen != 50 {
		t.Errorf("%d hits of 50 are in the evidence of all, %v", seen, err)
	}
	if lines := logged(f, `msg="lease lost"`); len(lines) > 0 {
		t.Errorf("sound owners lost their work: %v", lines)
	}
	checkGrants(t, f)
	checkVotesOnce(t, f)
}
