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
		Name: "days", Usage: "summarize the balancer logs of a day per second, over the whole cluster",
		ArgsUsage: "DIR",
		Description: "DIR contains one .log file per instance, as `balancer serve --summary 1s` writes them. Prints a\n" +
			"table of the events of all instances in each second; docs/operators/days.md explains its columns.\n\n" +
			"Example: one row per five seconds, then the other log lines, and a chart of two columns:\n\n" +
			"   bin/testbed days logs --step 5 --lines --chart day.svg --columns taken,delivered",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "step", Usage: "`SECONDS` per row of the table, at least 1", Value: 1, Validator: atLeastOne},
			&cli.BoolFlag{Name: "lines", Usage: "also list the other log lines, with # in place of numbers"},
			&cli.StringFlag{Name: "chart", Usage: "draw a chart of columns over the day to `FILE`, .svg or .png"},
			&cli.StringSliceFlag{
				Name: "columns", Usage: "`NAMES` of the columns in the chart",
				Value: []string{"taken", "delivered", "bounced", "errored", "gone", "opened"},
			},
		},
		Action: readDays,
	}
}

func atLeastOne(n int) error {
	if n < 1 {
		return fmt.Errorf("want at least 1, got %d", n)
	}
	return nil
}

func readDays(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return fmt.Errorf("days: want one log directory as argument, got %d arguments", cmd.Args().Len())
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
		report(fmt.Sprintf("skipped %d log lines that could not be parsed or are out of range", day.Skipped))
	}
	if path := cmd.String("chart"); path != "" {
		return day.WriteChart(path, cmd.StringSlice("columns"))
	}
	return nil
}
