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
	testplatform "ottershed/internal/testbed/platform"
	"ottershed/internal/testbed/poll"
)

// runAsBalancer is the environment variable with which tests make processes of the test binary run as the balancer.
const runAsBalancer = "OTTERSHED_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsBalancer) == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// startCluster starts instances as processes, and waits until each considers all others alive.
func startCluster(t *testing.T, settings fleet.Settings) (*fleet.Fleet, context.Context) {
	t.Helper()
	platform, err := testplatform.New(3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	t.Cleanup(cancel)
	if settings.DetectionTimeout == 0 {
		settings.ToleratedPause, settings.DetectionTimeout = 3500*time.Millisecond, 9*time.Second
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	settings.Dir, settings.Program, settings.Env, settings.Platform =
		t.TempDir(), program, []string{runAsBalancer + "=1"}, platform
	fleet, err := fleet.New(settings)
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
	await(t, ctx, 20*time.Second, func() error { return fleet.CheckViews(ctx) })
	return fleet, ctx
}

// await waits until check returns nil, and fails the test with the last error of check if that takes too long.
func await(t *testing.T, ctx context.Context, within time.Duration, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := poll.Until(ctx, check); err != nil {
		t.Fatalf("condition not met within %v: %v", within, err)
	}
}

// deathLogLines returns the log lines of all instances that declare a member dead.
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

// checkOthers calls check for each instance except one and returns the first error. If except is -1, it calls check for all
// instances.
func checkOthers(f *fleet.Fleet, except int, check func(i int) error) error {
	for i := range f.Names() {
		if i != except {
			if err := check(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// A member that pauses for 3 s, less than the tolerated pause, is suspected, and alive again once it resumes. No member
// declares it dead.
func TestPausedMemberIsSuspectedAndRecovers(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 1})
	before, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	earlier, _ := before.Get("n2")
	paused := time.Now()
	if err := fleet.Process(2).Stall(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 2900*time.Millisecond, func() error { return fleet.CheckMemberState(ctx, 0, 2, membership.Suspect) })
	time.Sleep(time.Until(paused.Add(3 * time.Second))) // the test is about a pause of this length
	if err := fleet.Process(2).Resume(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error {
		return checkOthers(fleet, -1, func(i int) error { return fleet.CheckMemberState(ctx, i, 2, membership.Alive) })
	})
	after, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	if current, _ := after.Get("n2"); current.Incarnation <= earlier.Incarnation || current.Run != earlier.Run {
		t.Errorf("n2 after the pause: got %+v, want the same run with a higher incarnation than %+v, since n2 refuted the suspicion", current, earlier)
	}
	if lines := deathLogLines(fleet); len(lines) > 0 {
		t.Errorf("want no member declared dead, got %s", lines)
	}
}

// With 20 % packet loss, no running member is declared dead within a minute.
func TestPacketLossDeclaresNoRunningMemberDead(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 2})
	fleet.Rules.SetDefault(faultinject.Rule{Drop: 0.2})
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) { // the test is about this minute
		if lines := deathLogLines(fleet); len(lines) > 0 {
			t.Fatalf("want no member declared dead, got %s", lines)
		}
	}
	fleet.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckViews(ctx) })
}

// A member that receives no packets from another member does not declare that member dead, and neither does any other.
func TestOneWayPartitionDeclaresNobodyDead(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 3})
	fleet.Rules.SetCut(faultinject.Link{From: "n0", To: "n1"}, true) // n1 receives nothing from n0
	time.Sleep(20 * time.Second)                                     // more than twice the detection timeout
	if lines := deathLogLines(fleet); len(lines) > 0 {
		t.Errorf("want no member declared dead, got %s", lines)
	}
	for i := range fleet.Names() {
		if err := fleet.CheckMemberState(ctx, i, 0, membership.Alive); i != 1 && err != nil {
			t.Errorf("n%d must consider n0 alive: %v", i, err)
		}
	}
	fleet.Rules.Heal()
	await(t, ctx, 10*time.Second, func() error { return fleet.CheckViews(ctx) })
}

// All members declare a killed member dead within the detection timeout. After its restart it is alive with a higher
// incarnation. A member that is terminated is known to have left at once.
func TestKilledMemberIsDeclaredDeadAndRejoins(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: 4, Key: "a key of the fleet's own"})
	before, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	earlier, _ := before.Get("n3")
	if err := fleet.Process(3).Kill(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 9*time.Second, func() error {
		return checkOthers(fleet, 3, func(i int) error { return fleet.CheckMemberState(ctx, i, 3, membership.Dead) })
	})
	if err := fleet.Process(3).Start(); err != nil {
		t.Fatal(err)
	}
	await(t, ctx, 5*time.Second, func() error { return fleet.CheckViews(ctx) })
	after, err := fleet.Members(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	if current, _ := after.Get("n3"); current.Incarnation <= earlier.Incarnation || current.Run == earlier.Run {
		t.Errorf("n3 after the restart: got %+v, want another run with a higher incarnation than %+v", current, earlier)
	}
	if err := fleet.Process(4).Terminate(ctx); err != nil {
		t.Errorf("terminate n4: %v", err)
	}
	await(t, ctx, 2*time.Second, func() error {
		return checkOthers(fleet, 4, func(i int) error { return fleet.CheckMemberState(ctx, i, 4, membership.Left) })
	})
}

// After random faults all five instances have the same view of the cluster.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{5, 6} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startCluster(t, fleet.Settings{Instances: 5, Seed: seed})
			script := faultinject.RandomScript(seed, fleet.Names(), 25*time.Second, 30, 2)
			t.Logf("script:\n%v", script)
			if err := fleet.FaultEnvironment().Play(ctx, script); err != nil {
				t.Fatal(err)
			}
			await(t, ctx, 30*time.Second, func() error { return fleet.CheckViews(ctx) })
		})
	}
}

// Malformed and wrongly signed packets to the membership port are counted as rejected, and change neither the view nor the
// instance.
func TestForeignPacketsAreRejected(t *testing.T) {
	t.Parallel()
	fleet, ctx := startCluster(t, fleet.Settings{Instances: 2, Seed: 7, Key: "a key of the fleet's own"})
	otherKey := membership.Codec{Cluster: "lab", Key: []byte("another key, as long as it is")}
	falsePacket := &membership.Packet{
		Kind: membership.Gossip, From: "n9", Address: "127.0.0.1:1", Incarnation: 1,
		Updates: []membership.Update{{Name: "n1", Address: "127.0.0.1:1", State: membership.Dead, Incarnation: 1 << 61}},
	}
	raw, err := otherKey.Encode(falsePacket)
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
			return fmt.Errorf("%d packets rejected, want 5", m.Counters.Rejected)
		}
		if len(m.Members) != 2 {
			t.Errorf("view of n0: got members %+v, want 2", m.Members)
		}
		return nil
	})
	if err := fleet.CheckViews(ctx); err != nil {
		t.Errorf("views of the cluster after the foreign packets: %v", err)
	}
}

func sendUDP(to string, packet []byte) error {
	conn, err := net.Dial("udp", to)
	if err != nil {
		return err
	}
	if _, err := conn.Write(packet); err != nil {
		_ = conn.Close() // the error of Write is the one that matters
		return err
	}
	return conn.Close()
}
