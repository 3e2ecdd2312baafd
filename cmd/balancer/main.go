// Command balancer is the load balancer: it serves requests as one instance, and asks running instances for their state.
//
//	serve, instance.go     an instance: its components, the order in which they start and stop
//	readiness.go           when a new instance takes requests
//	reload.go              SIGHUP: what a running instance takes over from its configuration
//	settings_source.go     where the configuration's settings and the cluster's policy meet
//	cluster.go             membership, policy and takeover, off by default
//	summary.go             the line of figures
//	commands.go            the command line; policy.go and lease.go have its two groups of commands
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the newest one in CHANGELOG.md.
const version = "0.3.1"

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // as of Go's own tools
)

// errUsage marks a mistake on the command line.
var errUsage = errors.New("usage")

func main() {
	cli.OsExiter = func(int) {}
	err := command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "balancer:", err)
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
