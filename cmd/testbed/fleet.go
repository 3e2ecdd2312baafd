package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"ottershed/internal/testbed/faultinject"
	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/load"
	"ottershed/internal/testbed/platform"
)

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run a cluster for experiments, until Ctrl-C or the end of a fault script",
		Description: "Starts balancers that share membership, policy and leases, with a candidate build on one\n" +
			"endpoint of three, and prints their addresses. --chart has no effect in this command.\n\n" +
			"A script injects faults, one step per line: a time since the start, an action and the instances\n" +
			"(n0, n1, ...). Steps: cut A > B, cut A - B, heal A > B, heal all, loss 20%, delay 10ms 5ms, stall A,\n" +
			"resume A, kill A, start A, restart A; # starts a comment.\n\n" +
			"Example: a cluster under load in which one instance is killed and started again:\n\n" +
			"   printf '5s kill n1\\n20s start n1\\n30s heal all\\n' > faults.txt\n" +
			"   bin/testbed fleet --marshals 5 --clients 4 --script faults.txt",
		Flags: append(
			sharedFlags(), instancesFlag(), leaseFlag(),
			&cli.IntFlag{Name: "servers", Usage: "`NUMBER` of instances that are voters of the policy log", Value: 3},
			&cli.StringFlag{Name: "script", Usage: "run the fault script in `FILE` and exit at its end"},
			&cli.IntFlag{Name: "clients", Usage: "`NUMBER` of clients that send requests all the time"},
		),
		Action: runFleet,
	}
}

func runFleet(ctx context.Context, cmd *cli.Command) error {
	script, err := readScript(cmd.String("script"))
	if err != nil {
		return err
	}
	instances := cmd.Int("marshals")
	return withFleet(cmd, instances, func(settings fleet.Settings) error {
		settings.LeaseTTL = cmd.Duration("lease")
		settings.Servers = min(cmd.Int("servers"), instances)
		settings.Platform.SetBuild(settings.Platform.Endpoints()[0], candidateBuild)
		settings.Platform.Controller().SetStage(platform.Stage{Build: candidateBuild, Progress: "testing", ExposureLimit: 0.3})
		cluster, err := fleet.Start(settings)
		if err != nil {
			return err
		}
		defer cluster.Close()
		printAddresses(cluster)
		return runUnderLoad(ctx, cluster, script, cmd.Int("clients"), cmd.Uint64("seed"))
	})
}

// readScript reads a fault script from a file. An empty path returns an empty script.
func readScript(path string) (faultinject.Script, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	script, err := faultinject.ParseScript(string(text))
	if err != nil {
		return nil, fmt.Errorf("read fault script %s: %w", path, err)
	}
	return script, nil
}

func printAddresses(cluster *fleet.Fleet) {
	for i, name := range cluster.Names() {
		fmt.Printf("%s  requests %s  admin %s  log %s\n", name, cluster.RequestAddress(i), cluster.AdminAddress(i), cluster.FilePath(i, "log"))
	}
	fmt.Printf("build 2 is on trial at one endpoint of three; try: bin/balancer members --at %s\n", cluster.AdminAddress(0))
}

// runUnderLoad runs a script while clients send requests. If the script is empty, it waits for the end of ctx instead.
func runUnderLoad(
	ctx context.Context, cluster *fleet.Fleet, script faultinject.Script, clients int, seed uint64,
) error {
	generator := load.New(cluster, clients, seed)
	generator.Start(ctx)
	err := runScript(ctx, cluster, script)
	result := generator.Stop()
	if clients > 0 {
		fmt.Printf("hits: %+v\n", result)
	}
	if errors.Is(err, context.Canceled) {
		return nil // Ctrl-C is the normal end
	}
	return err
}

func runScript(ctx context.Context, cluster *fleet.Fleet, script faultinject.Script) error {
	if len(script) == 0 {
		<-ctx.Done()
		return nil
	}
	environment := cluster.FaultEnvironment()
	environment.OnStep = func(step faultinject.Step) { fmt.Println(step) }
	return environment.Play(ctx, script)
}
