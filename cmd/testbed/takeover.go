package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"ottershed/internal/testbed/chart"
	"ottershed/internal/testbed/experiment"
	"ottershed/internal/testbed/fleet"
)

// instancesFlag returns the flag for the number of instances. Its name predates the term "instance" and must not
// change.
func instancesFlag() cli.Flag {
	return &cli.IntFlag{Name: "marshals", Usage: "`NUMBER` of balancers in the cluster", Value: 5}
}

func leaseFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: "lease", Value: 5 * time.Second,
		Usage: "`TIME` for which a lease is granted; shorter leases are taken over sooner and renewed more often",
	}
}

func takeoverCommand() *cli.Command {
	return &cli.Command{
		Name: "takeover", Usage: "measure the takeover time of a dead instance's leases and the effect of kills on requests",
		Description: "Kills lease holders one after another and measures when another instance has merged their evidence.\n" +
			"Then kills instances at random while clients send requests, and counts requests that were lost,\n" +
			"got a mismatched response or ran twice. Prints a table at the end.\n\n" +
			"Example: three holders, then twenty random kills:\n\n" +
			"   bin/testbed takeover --marshals 5 --rounds 3 --kills 20 --detect-within 6s --bear-pause 2s",
		Flags: append(
			sharedFlags(), instancesFlag(), leaseFlag(),
			&cli.IntFlag{Name: "rounds", Usage: "`NUMBER` of lease holders killed, one after another", Value: 10},
			&cli.IntFlag{Name: "kills", Usage: "`NUMBER` of kills at random, under load", Value: 100},
		),
		Action: measureTakeover,
	}
}

func measureTakeover(ctx context.Context, cmd *cli.Command) error {
	return withFleet(cmd, cmd.Int("marshals"), func(settings fleet.Settings) error {
		settings.LeaseTTL = cmd.Duration("lease")
		result, err := experiment.MeasureTakeover(ctx, settings, cmd.Int("rounds"), cmd.Int("kills"), report)
		if err != nil {
			return err
		}
		fmt.Print(experiment.TakeoverTable([]*experiment.TakeoverResult{result}))
		path := cmd.String("chart")
		if path == "" {
			return nil
		}
		name := fmt.Sprintf("lease %v, detect-within %v", settings.LeaseTTL, settings.DetectionTimeout)
		return chart.Distribution(path, "time from the death of a lease holder to the merge of its lease", "milliseconds",
			[]chart.Series{{Name: name, Values: result.MergeTimes}})
	})
}
