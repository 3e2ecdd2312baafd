package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"ottershed/internal/testbed/chart"
	"ottershed/internal/testbed/experiment"
	"ottershed/internal/testbed/fleet"
)

func policyCommand() *cli.Command {
	return &cli.Command{
		Name: "policy", Usage: "measure the time until a policy applies everywhere and until an instance catches up",
		Description: "Proposes policy versions one after another and measures when each is committed and when all\n" +
			"instances run it. Then restarts instances and kills leaders. Prints a table at the end.\n\n" +
			"Example: twenty versions and three restarts in a cluster of five:\n\n" +
			"   bin/testbed policy --processes 5 --versions 20 --rounds 3",
		Flags: append(
			sharedFlags(),
			&cli.IntSliceFlag{Name: "processes", Usage: "`SIZES` of the clusters", Value: []int{3, 5, 7}},
			&cli.IntFlag{Name: "versions", Usage: "`NUMBER` of proposals, one after another", Value: 100},
			&cli.IntFlag{Name: "rounds", Usage: "`NUMBER` of restarts, and of leaders killed", Value: 10},
		),
		Action: measurePolicy,
	}
}

func measurePolicy(ctx context.Context, cmd *cli.Command) error {
	var results []*experiment.PolicyResult
	var series []chart.Series
	for _, size := range cmd.IntSlice("processes") {
		err := withFleet(cmd, size, func(settings fleet.Settings) error {
			result, err := experiment.MeasurePolicy(ctx, settings, cmd.Int("versions"), cmd.Int("rounds"), report)
			if err != nil {
				return err
			}
			results = append(results, result)
			series = append(series, chart.Series{Name: fmt.Sprintf("%d instances", size), Values: result.ApplyTimes})
			return nil
		})
		if err != nil {
			return err
		}
	}
	fmt.Print(experiment.PolicyTable(results))
	if path := cmd.String("chart"); path != "" {
		return chart.Distribution(path, "time from a proposal until all instances run it", "milliseconds", series)
	}
	return nil
}
