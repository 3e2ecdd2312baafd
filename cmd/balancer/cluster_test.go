package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"ottershed/internal/cluster/membership"
	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/fleet"
	standin "ottershed/internal/testbed/platform"
	"ottershed/internal/testbed/poll"
)

// asProgram is the variable that has the test's own program be the balancer: tests start it as processes.
const runAsBalancer = "OTTERSHED_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsBalancer) == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startCluster starts instances as processes, and waits until each is a member to all others.
func startCluster(t *testing.T, set fleet.Settings) (*fleet.Fleet, context.Context) {
	t.Helper()
	platform, err := standin.New(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	t.Cleanup(cancel)
	if set.DetectionTimeout == 0 {
		set.ToleratedPause, set.DetectionTimeout = 3500*time.Millisecond, 9*time.Second
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	set.Dir, set.Program, set.Env, set.Platform = t.TempDir(), program, []string{runAsBalancer + "=1"}, platform
	fleet, err := fleet.New(set)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	t.Cleanup(func() {
		if t.Failed() {
			for i := range fleet.Names() {
				t.Logf("%s:\n%s", fleet.Names()[i], fleet.Process(i).Output())
			}
		}
	})
	if err := fleet.Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 20*time.Second, func() error { return fleet.Agree(ctx) })
	return fleet, ctx
}

// await fails the test where something does not come true in time.
func await(t *testing.T, ctx context.Context, within time.Duration, ok func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := poll.Until(ctx, ok); err != nil {
		t.Fatal(err)
	}
}

// deathsDeclared returns the log lines of all instances that say that a member is dead.
func deathLogLines(f *fleet.Fleet) (lines []string) {
	for i, name := range f.Names() {
		for line := range strings.Lines(f.Process(i).Output()) {
			if strings.Contains(line, `msg="member changed"`) && strings.Contains(line, "state=dead") {
				lines = append(lines, name+": "+line)
			}
		}
	}
	return lines
}

// checkAll returns the first error of a check at every instance but one.
func checkOthers(f *fleet.Fleet, but int, check func(i int) error) error {
	for i := range f.Names() {
		if i != but {
			if err := check(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// A member that pauses for 3 s is suspected, and alive again once it resumes; nobody declares it dead.
func TestPausedMemberIsSuspectedAndRecovers(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 1})
	before, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	was, _ := before.Get("n2")
	paused := time.Now()
	if err := fleet.Process(2).Stall(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 2900*time.Millisecond, func() error { return fleet.Holds(ctx, 0, 2, membership.Suspect) })
	time.Sleep(time.Until(paused.Add(3 * time.Second))) // the length of the pause is what is tested
	if err := fleet.Process(2).Resume(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error {
		return checkOthers(fleet, -1, func(i int) error { return fleet.Holds(ctx, i, 2, membership.Alive) })
	})
	after, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	if is, _ := after.Get("n2"); is.Incarnation <= was.Incarnation || is.Run != was.Run {
		t.Errorf("it denied nothing: %+v, and before %+v", is, was)
	}
	if lines := deathLogLines(fleet); len(lines) > 0 {
		t.Errorf("declared dead: %s", lines)
	}
}

// With a fifth of all packets lost, no running member is declared dead over a minute.
func TestPacketLossDeclaresNoRunningMemberDead(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 2})
	fleet.Rules.SetDefault(faultinject.Rule{Drop: 0.2})
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) { // the minute is what is tested
		if lines := deathLogLines(fleet); len(lines) > 0 {
			t.Fatalf("declared dead: %s", lines)
		}
	}
	fleet.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return fleet.Agree(ctx) })
}

// A member that receives nothing from another does not declare that one dead, nor does any other member.
func TestOneWayPartitionDeclaresNobodyDead(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 3})
	fleet.Rules.Cut(faultinject.Link{From: "n0", To: "n1"}, true) // n1 receives nothing from n0
	time.Sleep(20 * time.Second)                                  // more than twice the detection timeout; nothing is to happen meanwhile
	if lines := deathLogLines(fleet); len(lines) > 0 {
		t.Errorf("declared dead: %s", lines)
	}
	for i := range fleet.Names() {
		if err := fleet.Holds(ctx, i, 0, membership.Alive); i != 1 && err != nil {
			t.Error(err)
		}
	}
	fleet.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return fleet.Agree(ctx) })
}

// A member that is killed is declared dead by all within the detection timeout, and once restarted is alive with a higher
// incarnation. One that is asked to leave is known to have left at once.
func TestKilledMemberIsDeclaredDeadAndRejoins(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 4, Key: "a key of the fleet's own"})
	before, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	was, _ := before.Get("n3")
	if err := fleet.Process(3).Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 9*time.Second, func() error {
		return checkOthers(fleet, 3, func(i int) error { return fleet.Holds(ctx, i, 3, membership.Dead) })
	})
	if err := fleet.Process(3).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error { return fleet.Agree(ctx) })
	after, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	if is, _ := after.Get("n3"); is.Incarnation <= was.Incarnation || is.Run == was.Run {
		t.Errorf("after its restart %+v, and before %+v", is, was)
	}
	if err := fleet.Process(4).Terminate(ctx); err != nil {
		t.Error(err)
	}
	await(t, ctx, 2*time.Second, func() error {
		return checkOthers(fleet, 4, func(i int) error { return fleet.Holds(ctx, i, 4, membership.Left) })
	})
}

// Five instances under faults drawn from a seed: afterwards all views are the same.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{5, 6} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: seed})
			script := faultinject.Random(seed, fleet.Names(), 25*time.Second, 30, 2)
			t.Logf("script:\n%v", script)
			if err := fleet.FaultEnvironment().Play(ctx, script); err != nil {
				t.Fatal(err)
			}
			await(t, ctx, 30*time.Second, func() error { return fleet.Agree(ctx) })
		})
	}
}

// Packets from strangers to the membership's port do no harm and do not end the instance.
func TestForeignPacketsAreRejected(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 2, Seed: 7, Key: "a key of the fleet's own"})
	stranger := membership.Codec{Cluster: "lab", Key: []byte("another key, as long as it is")}
	lie := &membership.Packet{
		Kind: membership.Gossip, From: "n9", Address: "127.0.0.1:1", Incarnation: 1,
		Updates: []membership.Update{{Name: "n1", Address: "127.0.0.1:1", State: membership.Dead, Incarnation: 1 << 61}},
	}
	raw, err := stranger.Encode(lie)
	if err != nil {
		t.Fatal(err)
	}
	for _, packet := range [][]byte{raw, []byte("noise"), make([]byte, 4000), {}, raw[:len(raw)/2]} {
		if err := sendUDP(fleet.RelayAddress(0), packet); err != nil {
			t.Fatal(err)
		}
	}
	await(t, ctx, 5*time.Second, func() error {
		m, err := fleet.Members(ctx, 0)
		if err != nil {
			return err
		}
		if m.Counters.Rejected < 5 {
			return fmt.Errorf("%d packets refused", m.Counters.Rejected)
		}
		if len(m.Members) != 2 {
			t.Errorf("members: %+v", m.Members)
		}
		return nil
	})
	if err := fleet.Agree(ctx); err != nil {
		t.Error(err)
	}
}

func sendUDP(to string, packet []byte) error {
	c, err := net.Dial("udp", to)
	if err != nil {
		return err
	}
	if _, err := c.Write(packet); err != nil {
		_ = c.Close() // the write's error says more
		return err
	}
	return c.Close()
}
