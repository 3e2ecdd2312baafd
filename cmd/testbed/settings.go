package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"ottershed/internal/testbed/fleet"
	"ottershed/internal/testbed/platform"
)

const (
	endpointCount  = 3                        // endpoints per cluster
	seedCount      = 3                        // instances that are membership seeds
	clusterKey     = "a key of sixteen bytes" // authenticates packets and streams of the cluster
	candidateBuild = 2                        // build that one endpoint runs if there is a trial
)

// sharedFlags returns the flags of all subcommands that start processes.
func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "program", Usage: "`PATH` of the balancer program", Value: "bin/balancer"},
		&cli.DurationFlag{
			Name: "bear-pause", Value: 4 * time.Second,
			Usage: "`TIME` for which an instance may pause without being declared dead; longer detects deaths later",
		},
		&cli.DurationFlag{
			Name: "detect-within", Value: 12 * time.Second,
			Usage: "`TIME` within which the death of an instance must be detected; shorter costs more packets",
		},
		&cli.DurationFlag{
			Name: "elect-within", Value: time.Second,
			Usage: "`TIME` without a message from the policy leader before an election",
		},
		&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that determines all random choices", Value: 1},
		&cli.StringFlag{Name: "chart", Usage: "draw a chart of the measured times to `FILE`, .svg or .png"},
	}
}

// withFleet calls use with the settings of a fleet, whose directory and platform exist only during the call.
func withFleet(cmd *cli.Command, instances int, use func(fleet.Settings) error) error {
	dir, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return err
	}
	defer func() {
		if removeErr := os.RemoveAll(dir); removeErr != nil {
			report(removeErr.Error())
		}
	}()
	fakePlatform, err := platform.New(endpointCount)
	if err != nil {
		return err
	}
	defer fakePlatform.Close()
	program, err := filepath.Abs(cmd.String("program"))
	if err != nil {
		return err
	}
	return use(fleet.Settings{
		Dir: dir, Program: program, Instances: instances, Seed: cmd.Uint64("seed"), Platform: fakePlatform,
		ToleratedPause: cmd.Duration("bear-pause"), DetectionTimeout: cmd.Duration("detect-within"), Seeds: seedCount,
		ElectionTimeout: cmd.Duration("elect-within"), Key: clusterKey,
	})
}
