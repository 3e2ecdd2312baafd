// Command testbed runs clusters of real balancer processes on loopback, measures them, and summarizes the logs of a day
// of operation. It prints Markdown tables to standard output, reports progress to standard error and draws charts.
//
// Each subcommand has its own file: members.go, policy.go, takeover.go, fleet.go and days.go. settings.go defines the
// flags that several subcommands share.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"
)

func main() { os.Exit(run(os.Args)) }

// run runs the program with its arguments and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := newProgram().Run(ctx, args); err != nil {
		report(err.Error())
		return 1
	}
	return 0
}

// report writes progress, a warning or an error as one line to standard error.
func report(line string) { fmt.Fprintln(os.Stderr, "testbed:", line) }

func newProgram() *cli.Command {
	return &cli.Command{
		Name: "testbed", Usage: "run and measure clusters of balancers on this machine", HideHelpCommand: true,
		Description: "Starts real balancer processes on loopback addresses, with fake endpoints, a fake discovery\n" +
			"agent and a fake rollout controller. Build the programs first: go build -o bin/ ./cmd/...\n\n" +
			"Example: a cluster of five instances that runs until Ctrl-C:\n\n" +
			"   bin/testbed fleet --marshals 5",
		Commands: []*cli.Command{
			membersCommand(), policyCommand(), takeoverCommand(), fleetCommand(), daysCommand(),
		},
	}
}
