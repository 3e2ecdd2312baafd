// Command testbed runs clusters of real balancer processes on loopback, measures them, and reads the logs of a day of
// operation. It prints tables in Markdown to standard output, reports progress on standard error and draws charts.
//
// Each subcommand has a file of its own: members.go, policy.go, takeover.go, fleet.go and days.go. settings.go has the
// flags that several of them share.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"
)

func main() { os.Exit(run(os.Args)) }

// run is the program; it returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := newProgram().Run(ctx, args); err != nil {
		report(err.Error())
		return 1
	}
	return 0
}

// report writes a line to standard error: progress, a warning or an error.
func report(line string) { fmt.Fprintln(os.Stderr, "testbed:", line) }

func newProgram() *cli.Command {
	return &cli.Command{
		Name: "testbed", Usage: "run and measure clusters of balancers on this machine", HideHelpCommand: true,
		Description: "Starts real balancer processes on loopback addresses, among stand-ins for the endpoints, the\n" +
			"discovery agent and the rollout controller. Build the programs first: go build -o bin/ ./cmd/...\n\n" +
			"Example: a cluster of five to try things on, until Ctrl-C:\n\n" +
			"   bin/testbed fleet --marshals 5",
		Commands: []*cli.Command{
			membersCommand(), policyCommand(), takeoverCommand(), fleetCommand(), daysCommand(),
		},
	}
}
