package main

import (
	"context"
	"fmt"
	"os"
	"ottershed/internal/testbed/days"

	"github.com/urfave/cli/v3"
)

func daysCommand() *cli.Command {
	return &cli.Command{
		Name: "days", Usage: "read the logs of all marshals of a played day, second by second over the whole fleet",
		ArgsUsage: "DIR", Description: "DIR holds one .log file a marshal, as `ottershed serve --summary 1s` writes them.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "step", Usage: "seconds in a row of the table", Value: 1, Validator: func(n int) error {
				if n < 1 {
					return fmt.Errorf("want 1 or more, got %d", n)
				}
				return nil
			}},
			&cli.BoolFlag{Name: "lines", Usage: "then what marshals said beside their summaries, without its figures"},
			&cli.StringFlag{Name: "chart", Usage: "draw columns over the day to `FILE`, .svg or .png"},
			&cli.StringSliceFlag{
				Name: "columns", Usage: "of the chart",
				Value: []string{"taken", "delivered", "bounced", "errored", "gone", "opened"},
			},
		}, Action: runDays,
	}
}

func runDays(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return fmt.Errorf("days: want one folder of logs, got %d", cmd.Args().Len())
	}
	d, err := days.Read(cmd.Args().First())
	if err != nil {
		return err
	}
	if err := d.Table(os.Stdout, cmd.Int("step")); err != nil {
		return err
	}
	if cmd.Bool("lines") {
		fmt.Println()
		if err := d.Lines(os.Stdout); err != nil {
			return err
		}
	}
	if d.Skipped > 0 {
		fmt.Fprintf(os.Stderr, "otterlab: %d lines could not be read and are left out\n", d.Skipped)
	}
	if path := cmd.String("chart"); path != "" {
		return d.Chart(path, cmd.StringSlice("columns"))
	}
	return nil
}
