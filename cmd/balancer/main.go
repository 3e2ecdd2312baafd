// Command balancer is the load balancer. It runs an instance that serves requests, and queries and controls running
// instances.
//
//	serve.go, instance.go  an instance: its components, and the order in which they start and stop
//	readiness.go           when a new instance becomes ready
//	reload.go              SIGHUP: the part of the configuration that a running instance reloads
//	settings_source.go     the settings in force, from the configuration and the cluster's policy
//	cluster.go             membership, policy, takeover and the admin server, all off by default
//	summary.go             summary log lines
//	commands.go            the command line; policy.go and lease.go have the command groups policy and work
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the newest version in CHANGELOG.md.
const version = "0.3.1"

// Exit codes.
const (
	exitFailure = 1 // for each error that does not wrap errUsage
	exitUsage   = 2 // for an error that wraps errUsage; Go's own tools exit with 2 too
)

// errUsage marks an invalid command line.
var errUsage = errors.New("usage")

func main() {
	cli.OsExiter = func(int) {} // the library must not end the process: main sets the exit code
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
