package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/testbed"
	"ottershed/internal/testbed/faultinject"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// policyCluster starts marshals that keep the policy's log, and waits until all are open.
func policyCluster(t *testing.T, instances, servers int, seed uint64) (*testbed.Fleet, context.Context) {
	t.Helper()
	f, ctx := startCluster(t, testbed.Settings{
		Instances: instances, Servers: servers, ElectionTimeout: 300 * time.Millisecond, Seed: seed,
		Key: "a key of the fleet's own", ToleratedPause: 2 * time.Second, DetectionTimeout: 6 * time.Second,
	})
	await(t, ctx, 20*time.Second, func() error { return checkAll(f, -1, func(i int) error { return f.Runs(ctx, i, 0) }) })
	return f, ctx
}

func policyText(note string, share float64) string {
	return fmt.Sprintf(`{"note":%q,"trial-share":%g,"settings":{"domain":{"vote-ttl-ms":4000}}}`, note, share)
}

// propose proposes at a marshal until it is committed.
func propose(t *testing.T, ctx context.Context, f *testbed.Fleet, at int, text, id string) policy.Version {
	t.Helper()
	var got policy.Version
	await(t, ctx, 20*time.Second, func() error {
		p, err := f.Propose(ctx, at, text, id)
		if err == nil {
			got = p.Version
		}
		return err
	})
	return got
}

// same fails the test where marshals keep different versions, or one ran versions out of order by its log.
func awaitSameVersion(t *testing.T, ctx context.Context, f *testbed.Fleet, v policy.Version) {
	t.Helper()
	await(t, ctx, 30*time.Second, func() error { return checkAll(f, -1, func(i int) error { return f.Runs(ctx, i, v) }) })
	sums := map[string]bool{}
	for i := range f.Names() {
		m, err := f.Self(ctx, i)
		if err != nil {
			t.Fatal(err)
		}
		sums[m.Sum] = true
		checkVersionOrder(t, f, i)
	}
	if len(sums) != 1 {
		t.Errorf("sums differ: %v", sums)
	}
}

var runsLine = regexp.MustCompile(`msg="policy applied".* version=(\d+) was=(\d+)`)

// inOrder checks a marshal's log: each version it ran is above all that it ran before, over all its runs.
func checkVersionOrder(t *testing.T, f *testbed.Fleet, i int) {
	t.Helper()
	last := 0
	for line := range strings.Lines(f.Process(i).Output()) {
		m := runsLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		v, _ := strconv.Atoi(m[1])
		if v <= last {
			t.Errorf("%s ran version %d after %d", f.Names()[i], v, last)
		}
		last = v
	}
}

// A change made while two of five marshals are down holds at the three, and at the two before they take trial traffic.
func TestPolicyWhileSomeAreDown(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 5, 5, 11)
	platform := f.Platform()
	trial := platform.Endpoints()[0]
	platform.SetBuild(trial, 2)
	platform.Controller().SetStage(testbed.Stage{Image: 2, Progress: "testing", Ceiling: 0.3})
	clients := testbed.NewClients()
	defer clients.Close()
	requests := 0
	send := func(i, n int) (delivered int) {
		for range n {
			requests++
			if e, err := clients.Send(ctx, f.Listen(i), "read", fmt.Sprintf("h%d", requests)); err == nil && e.Status == 200 {
				delivered++
			}
		}
		return delivered
	}
	await(t, ctx, 10*time.Second, func() error { // the build on trial is asked while no policy holds
		if send(3, 20); trial.Requests() == 0 {
			return fmt.Errorf("no hit went to the build on trial")
		}
		return nil
	})
	for _, i := range []int{3, 4} {
		if err := f.Process(i).Kill(); err != nil {
			t.Fatal(err)
		}
	}
	if v := propose(t, ctx, f, 0, policyText("no trials today", 0), ""); v != 1 {
		t.Errorf("version %d", v)
	}
	await(t, ctx, 5*time.Second, func() error {
		return checkAll(f, -1, func(i int) error {
			if i >= 3 {
				return nil
			}
			return f.Runs(ctx, i, 1)
		})
	})
	before := trial.Requests()
	for _, i := range []int{3, 4} {
		if err := f.Process(i).Start(); err != nil {
			t.Fatal(err)
		}
	}
	delivered := 0
	await(t, ctx, 20*time.Second, func() error { // hits from the first moment on
		delivered += send(3, 5) + send(4, 5)
		if err := f.Runs(ctx, 3, 1); err != nil {
			return err
		}
		return f.Runs(ctx, 4, 1)
	})
	if delivered += send(3, 20) + send(4, 20); delivered < 20 || trial.Requests() != before {
		t.Errorf("%d hits delivered; the build on trial got %d, and %d before", delivered, trial.Requests(), before)
	}
	for _, i := range []int{3, 4} {
		log := f.Process(i).Output()
		log = log[strings.LastIndex(log, `msg="policy on"`):]
		if runs, open := strings.Index(log, `msg="policy applied"`), strings.Index(log, `msg="policy caught up"`); runs < 0 || open < runs {
			t.Errorf("%s caught up before it ran the version:\n%s", f.Names()[i], log)
		}
	}
	awaitSameVersion(t, ctx, f, 1)
}

// The leader is killed in the middle of a proposal: the change is committed at all or at none.
func TestPolicyLeaderKilled(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 5, 5, 12)
	version := policy.Version(0)
	for round := range 6 {
		leader := 0
		await(t, ctx, 10*time.Second, func() error {
			s, err := f.PolicyStatus(ctx, round%5)
			if err == nil {
				leader, err = strconv.Atoi(strings.TrimPrefix(s.Log.Leader, "n")) // none for a moment
			}
			return err
		})
		asked := (leader + 1 + round%4) % 5
		id := fmt.Sprintf("round-%d", round)
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			_, err := f.Propose(ctx, asked, policyText(id, 0.5), id)
			ended <- err
		}()
		time.Sleep(time.Duration(round) * 3 * time.Millisecond) // the kill comes at another moment of the proposal in each round
		if err := f.Process(leader).Kill(); err != nil {
			t.Fatal(err)
		}
		perr := <-ended
		if err := f.Process(leader).Start(); err != nil {
			t.Fatal(err)
		}
		var newest policy.Version
		await(t, ctx, 20*time.Second, func() error { // all agree, on whichever it is
			for i := range f.Names() {
				m, err := f.Self(ctx, i)
				if err != nil {
					return err
				}
				if !m.TrialsAdmitted || i > 0 && m.Version != newest {
					return fmt.Errorf("%s runs %d, open %v; others %d", m.Name, m.Version, m.TrialsAdmitted, newest)
				}
				newest = m.Version
			}
			return nil
		})
		if newest > version+1 || perr == nil && newest != version+1 {
			t.Errorf("round %d: version %d after %d, and the proposer heard %v", round, newest, version, perr)
		}
		// Asked again by its id it gets one version, the same where it had one.
		if v := propose(t, ctx, f, asked, policyText(id, 0.5), id); newest == version+1 && v != newest || newest == version && v != version+1 {
			t.Errorf("round %d: proposed again it is version %d; %d held", round, v, newest)
		}
		version++
		awaitSameVersion(t, ctx, f, version)
	}
}

// A minority that is cut off goes on by the version that was committed last, and learns of nothing new until it is back.
func TestPolicyMinorityCutOff(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 5, 5, 13)
	propose(t, ctx, f, 0, policyText("first", 0.5), "")
	awaitSameVersion(t, ctx, f, 1)
	f.Partition(true, 0, 1)
	if v := propose(t, ctx, f, 3, policyText("second", 0.4), ""); v != 2 {
		t.Errorf("version %d", v)
	}
	short, cancel := context.WithTimeout(ctx, 4*time.Second)
	if p, err := f.Propose(short, 0, policyText("from the minority", 1), "minority"); err == nil {
		t.Errorf("the minority committed %+v", p)
	}
	cancel()
	for _, i := range []int{0, 1} {
		if err := f.Runs(ctx, i, 1); err != nil {
			t.Error(err)
		}
	}
	for _, i := range []int{2, 3, 4} {
		await(t, ctx, 5*time.Second, func() error { return f.Runs(ctx, i, 2) })
	}
	// One that starts anew in the minority serves, but takes no part in trials until it is back.
	if err := f.Process(1).Restart(0); err != nil {
		t.Fatal(err)
	}
	clients := testbed.NewClients()
	defer clients.Close()
	await(t, ctx, 10*time.Second, func() error {
		e, err := clients.Send(ctx, f.Listen(1), "read", fmt.Sprint(time.Now().UnixNano()))
		if err == nil && e.Status != 200 {
			err = fmt.Errorf("status %d", e.Status)
		}
		return err
	})
	if m, err := f.Self(ctx, 1); err != nil || m.TrialsAdmitted || m.Version != 1 {
		t.Errorf("started in the minority: %+v, %v", m, err)
	}
	f.Partition(false, 0, 1)
	await(t, ctx, 20*time.Second, func() error { return checkAll(f, -1, func(i int) error { return f.Runs(ctx, i, 2) }) })
	awaitSameVersion(t, ctx, f, 2)
}

// 200 proposals at random marshals under random faults: each is committed once, all end with the same, and none ran versions
// out of order.
func TestPolicyRandomFaults(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 5, 5, 14)
	script := faultinject.Random(14, f.Names(), 35*time.Second, 35, 2)
	t.Logf("script:\n%v", script)
	played := make(chan error, 1)
	go func() { played <- f.FaultEnvironment().Play(ctx, script) }()
	const proposals, proposers = 200, 5
	var proposing sync.WaitGroup
	for p := range proposers {
		proposing.Go(func() {
			chance := rand.New(rand.NewPCG(14, uint64(p)))
			for n := range proposals / proposers {
				id := fmt.Sprintf("p%d-%d", p, n)
				text := policyText(id, float64(chance.IntN(100))/100)
				err := testbed.Poll(ctx, func() error { // until it is known that it was committed
					ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
					defer cancel()
					_, err := f.Propose(ctx, chance.IntN(5), text, id)
					return err
				})
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				time.Sleep(time.Duration(chance.IntN(1500)) * time.Millisecond) // spread over the faults
			}
		})
	}
	if err := <-played; err != nil {
		t.Fatal(err)
	}
	proposing.Wait()
	awaitSameVersion(t, ctx, f, proposals)
	past, err := f.History(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, p := range past {
		ids[p.ID] = true
	}
	if len(past) != proposals || len(ids) != proposals {
		t.Errorf("%d versions of %d proposals", len(past), len(ids))
	}
}

// A store that was not written whole is found out at the next start and taken from the others; what it held is never run.
func TestPolicyTornStore(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 3, 3, 15)
	for v := range 5 {
		propose(t, ctx, f, v%3, policyText(fmt.Sprint("version ", v+1), 0.5), "")
	}
	awaitSameVersion(t, ctx, f, 5)
	for _, tc := range []struct {
		name string
		tear func(raw []byte) []byte
	}{
		{"cut short", func(raw []byte) []byte { return raw[:2*os.Getpagesize()+100] }},
		{"a byte of a value", func(raw []byte) []byte {
			return bytes.ReplaceAll(raw, []byte("version 3"), []byte("version 8"))
		}},
		{"noise", func(raw []byte) []byte {
			for i := 2 * os.Getpagesize(); i < len(raw); i++ {
				raw[i] = byte(i * 7)
			}
			return raw
		}},
		{"nothing left", func([]byte) []byte { return nil }},
	} {
		name := tc.name
		if err := f.Process(2).Kill(); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(f.Store(2), "store.db")
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, tc.tear(raw), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := f.Process(2).Start(); err != nil {
			t.Fatal(err)
		}
		await(t, ctx, 20*time.Second, func() error {
			if err := f.Runs(ctx, 2, 5); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			s, err := f.PolicyStatus(ctx, 2)
			if err == nil && len(s.Log.Voters) != 3 {
				err = fmt.Errorf("%s: voters %v", name, s.Log.Voters)
			}
			return err
		})
		log := f.Process(2).Output()
		log = log[strings.LastIndex(log, `msg="policy on"`):]
		if strings.Contains(log, "was=4") || !strings.Contains(log, "taken in again") {
			t.Errorf("%s: not taken in anew:\n%s", name, log)
		}
		if whole := f.Process(2).Output(); !strings.Contains(whole[strings.LastIndex(whole, `msg="membership on"`):], "store is corrupt") {
			t.Errorf("%s: not found torn", name)
		}
	}
	if v := propose(t, ctx, f, 2, policyText("after all", 1), ""); v != 6 {
		t.Errorf("version %d", v)
	}
}

// Marshals that are no servers follow them; a bad policy changes nothing anywhere.
func TestPolicyWatchers(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 5, 3, 16)
	if v := propose(t, ctx, f, 4, policyText("from a watcher", 0.5), ""); v != 1 {
		t.Errorf("version %d", v)
	}
	await(t, ctx, 5*time.Second, func() error { return checkAll(f, -1, func(i int) error { return f.Runs(ctx, i, 1) }) })
	for text, want := range map[string]string{
		`{"note":"x","trial-share":2}`:                           "trial-share: want 0 to 1",
		`{"note":"x","settings":{"domain":{"caps":[0.5]}}}`:      "settings.domain.caps: its length differs",
		`{"note":"x","settings":{"limits":{"conn-idle-ms":1}}}`:  "settings.limits.conn-idle-ms: can't change",
		`{"note":"x","settings":{"services":[{"name":"read"}]}}`: "settings.services.0.name: can't change",
		`{"note":"x","settings":{"domain":{"cpas":[0.3,1]}}}`:    "settings.domain.cpas: not a figure",
		`{"note":"x","settings":{"rules":{"cold-from":"cold"}}}`: "settings.rules.cold-from: want a number",
	} {
		if _, err := f.Propose(ctx, 4, text, ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: want %q, got %v", text, want, err)
		}
	}
	s, err := f.PolicyStatus(ctx, 4)
	if err != nil || len(s.Members) != 5 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, m := range s.Members {
		if m.Version != 1 || !m.TrialsAdmitted {
			t.Errorf("%+v", m)
		}
	}
	if err := f.Process(4).Kill(); err != nil {
		t.Fatal(err)
	}
	propose(t, ctx, f, 3, policyText("while it is down", 0.4), "")
	if err := f.Process(4).Start(); err != nil {
		t.Fatal(err)
	}
	awaitSameVersion(t, ctx, f, 2)
}

// A policy that does not go with the configuration of a marshal that was down: it serves and takes no part in trials, says
// why, and runs the policy once its configuration was mended.
func TestPolicyThatCannotBeRun(t *testing.T) {
	t.Parallel()
	f, ctx := policyCluster(t, 3, 3, 17)
	if err := f.Process(2).Kill(); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(f.File(2, "json"))
	if err != nil {
		t.Fatal(err)
	}
	other := strings.Replace(string(good), `"caps":[0.3,1],"waves":[0.3,1]`, `"caps":[0.1,0.3,1],"waves":[0.1,0.3,1]`, 1)
	if err := os.WriteFile(f.File(2, "json"), []byte(other), 0o600); err != nil {
		t.Fatal(err)
	}
	propose(t, ctx, f, 0, `{"note":"two stages","settings":{"domain":{"caps":[0.2,1]}}}`, "")
	if err := f.Process(2).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 20*time.Second, func() error {
		m, err := f.Self(ctx, 2)
		if err == nil && (m.TrialsAdmitted || m.Version != 1 || !strings.Contains(m.Failure, "settings.domain.caps")) {
			err = fmt.Errorf("%+v", m)
		}
		return err
	})
	clients := testbed.NewClients()
	defer clients.Close()
	await(t, ctx, 10*time.Second, func() error {
		e, err := clients.Send(ctx, f.Listen(2), "read", fmt.Sprint(time.Now().UnixNano()))
		if err == nil && e.Status != 200 {
			err = fmt.Errorf("%+v", e)
		}
		return err
	})
	if err := os.WriteFile(f.File(2, "json"), good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.Process(2).HangUp(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 10*time.Second, func() error { return f.Runs(ctx, 2, 1) })
	awaitSameVersion(t, ctx, f, 1)
}
