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
	endpointCount  = 3                        // that each cluster balances to
	seedCount      = 3                        // instances that are the seeds of membership
	clusterKey     = "a key of sixteen bytes" // that packets and streams are sealed with
	candidateBuild = 2                        // that one endpoint runs where there is a trial
)

// sharedFlags are those of all subcommands that start processes.
func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "program", Usage: "`PATH` of the balancer that is started", Value: "bin/balancer"},
		&cli.DurationFlag{
			Name: "bear-pause", Value: 4 * time.Second,
			Usage: "`TIME` for which an instance may pause without being declared dead; longer detects deaths later",
		},
		&cli.DurationFlag{
			Name: "detect-within", Value: 12 * time.Second,
			Usage: "`TIME` within which the death of an instance is to be detected; shorter costs more packets",
		},
		&cli.DurationFlag{
			Name: "elect-within", Value: time.Second,
			Usage: "`TIME` without a message of the policy's leader after which another one is elected",
		},
		&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that decides all random choices", Value: 1},
		&cli.StringFlag{Name: "chart", Usage: "draw the measured times to `FILE`, .svg or .png"},
	}
}

// withFleet makes the settings of a fleet of so many instances, with a directory and a platform that last for a call.
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
	stand, err := platform.New(endpointCount)
	if err != nil {
		return err
	}
	defer stand.Close()
	program, err := filepath.Abs(cmd.String("program"))
	if err != nil {
		return err
	}
	return use(fleet.Settings{
		Dir: dir, Program: program, Instances: instances, Seed: cmd.Uint64("seed"), Platform: stand,
		ToleratedPause: cmd.Duration("bear-pause"), DetectionTimeout: cmd.Duration("detect-within"), Seeds: seedCount,
		ElectionTimeout: cmd.Duration("elect-within"), Key: clusterKey,
	})
}
