package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"ottershed/internal/testbed/days"
)

func daysCommand() *cli.Command {
	return &cli.Command{
		Name: "days", Usage: "read the logs of all balancers of a day, second by second over the whole cluster",
		ArgsUsage: "DIR",
		Description: "DIR holds one .log file an instance, as `balancer serve --summary 1s` writes them. Prints a\n" +
			"table of what all instances together did in each second; docs/operators/days.md explains its columns.\n\n" +
			"Example: a row for five seconds, then the other log lines, and a chart of two columns:\n\n" +
			"   bin/testbed days logs --step 5 --lines --chart day.svg --columns taken,delivered",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "step", Usage: "`SECONDS` in a row of the table, at least 1", Value: 1, Validator: atLeastOne},
			&cli.BoolFlag{Name: "lines", Usage: "then list the other log lines, with # in place of numbers"},
			&cli.StringFlag{Name: "chart", Usage: "draw columns over the day to `FILE`, .svg or .png"},
			&cli.StringSliceFlag{
				Name: "columns", Usage: "`NAMES` of the columns of the chart",
				Value: []string{"taken", "delivered", "bounced", "errored", "gone", "opened"},
			},
		},
		Action: readDays,
	}
}

func atLeastOne(n int) error {
	if n < 1 {
		return fmt.Errorf("want 1 or more, got %d", n)
	}
	return nil
}

func readDays(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return fmt.Errorf("days: want one folder of logs, got %d", cmd.Args().Len())
	}
	day, err := days.Read(cmd.Args().First())
	if err != nil {
		return err
	}
	if err := day.WriteTable(os.Stdout, cmd.Int("step")); err != nil {
		return err
	}
	if cmd.Bool("lines") {
		fmt.Println()
		if err := day.WriteOtherLines(os.Stdout); err != nil {
			return err
		}
	}
	if day.Skipped > 0 {
		report(fmt.Sprintf("%d lines could not be read and are left out", day.Skipped))
	}
	if path := cmd.String("chart"); path != "" {
		return day.WriteChart(path, cmd.StringSlice("columns"))
	}
	return nil
}
