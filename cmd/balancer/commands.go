package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"ottershed/internal/admin"
	"ottershed/internal/config"
)

// revisionDigits is how many digits of the VCS revision `version` prints.
const revisionDigits = 12

// command is the root of the command line.
func command() *cli.Command {
	commands := []*cli.Command{
		{
			Name: "serve", Usage: "run an instance until SIGTERM",
			Flags: []cli.Flag{configFlag(), operatorFlag(), logLevelFlag(), summaryFlag()}, Action: serve,
		},
		{
			Name: "check-config", Usage: "read and check the configuration as serve does, and print it",
			Flags: []cli.Flag{configFlag(), operatorFlag()}, Action: checkConfig,
		},
		{
			Name: "members", Usage: "print the members that a running instance considers alive, suspect, dead or left, as JSON",
			Flags: []cli.Flag{adminFlag()}, Action: printMembers,
		},
		policyCommand(),
		leaseCommand(),
		{Name: "version", Usage: "print the version", Action: printVersion},
	}
	for _, c := range commands {
		if len(c.Commands) == 0 { // groupCommand sets these for the commands of a group
			c.OnUsageError, c.HideHelpCommand, c.Before = usageError, true, requireNoArguments
		}
	}
	return &cli.Command{
		Name: "balancer", Usage: "a load balancer that guards software rollouts", Commands: commands,
		OnUsageError: usageError, HideHelpCommand: true, Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("%w: unknown command %q; see --help", errUsage, cmd.Args().First())
			}
			return cli.ShowAppHelp(cmd)
		},
	}
}

// groupCommand returns a command that groups others. Each command of the group takes one argument if it has an ArgsUsage,
// otherwise none.
func groupCommand(name, usage string, commands []*cli.Command) *cli.Command {
	for _, c := range commands {
		wantArguments := 0
		if c.ArgsUsage != "" {
			wantArguments = 1
		}
		c.OnUsageError, c.HideHelpCommand = usageError, true
		c.Before = func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			if n := cmd.Args().Len(); n != wantArguments {
				return ctx, fmt.Errorf("%w: %s %s: wrong number of arguments: want %d, got %d; see --help",
					errUsage, name, cmd.Name, wantArguments, n)
			}
			return ctx, nil
		}
	}
	return &cli.Command{
		Name: name, Usage: usage, Commands: commands, OnUsageError: usageError, HideHelpCommand: true,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("%w: unknown %s command %q; see --help", errUsage, name, cmd.Args().First())
			}
			return cli.ShowSubcommandHelp(cmd)
		},
	}
}

// usageError wraps an error of the command line parser in errUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w: %w; see --help", errUsage, err)
}

func requireNoArguments(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	if cmd.Args().Present() {
		return ctx, fmt.Errorf("%w: %s takes no arguments, got %q; see --help", errUsage, cmd.Name, cmd.Args().First())
	}
	return ctx, nil
}

func configFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "config", Usage: "the configuration `FILE`; default: the embedded configuration",
		Sources: cli.EnvVars("LB_CONFIG"),
	}
}

func operatorFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "operator", Usage: "the operator's `FILE`; without it membership, policy, takeover and the admin server are off",
		Sources: cli.EnvVars("OTTERSHED_OPERATOR"),
	}
}

func logLevelFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "log-level", Usage: "lowest `LEVEL` of log lines: error, warn, info or debug",
		Value: "info", Sources: cli.EnvVars("OTTERSHED_LOG_LEVEL"), Validator: func(text string) error {
			_, err := logrus.ParseLevel(text)
			return err
		},
	}
}

func summaryFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: "summary", Usage: "interval of the summary log lines that testbed days reads; 0: off",
		Sources: cli.EnvVars("OTTERSHED_SUMMARY"), Validator: func(interval time.Duration) error {
			if interval != 0 && interval < minSummaryInterval {
				return fmt.Errorf("want 0 or at least %v, got %v", minSummaryInterval, interval)
			}
			return nil
		},
	}
}

func adminFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "at", Usage: "the instance's admin `ADDRESS`, admin.listen in the operator's file",
		Sources: cli.EnvVars("OTTERSHED_ADMIN"), Required: true,
	}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

// checkConfig prints the configuration that serve would use, and warnings on standard error.
func checkConfig(_ context.Context, cmd *cli.Command) error {
	cfg, err := readConfig(cmd)
	if err != nil {
		return err
	}
	for _, warning := range cfg.Warnings {
		if _, err := fmt.Fprintln(cmd.Root().ErrWriter, "warning:", warning); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprint(cmd.Root().Writer, cfg); err != nil {
		return err
	}
	if cfg.Operator != nil {
		_, err = fmt.Fprint(cmd.Root().Writer, cfg.Operator)
	}
	return err
}

// readConfig reads the configuration, and the operator's file if the flag --operator or its environment variable names one.
func readConfig(cmd *cli.Command) (*config.Config, error) {
	cfg, err := config.Read(cmd.String("config"), os.Getenv)
	if err != nil {
		return nil, err
	}
	if file := cmd.String("operator"); file != "" {
		if cfg.Operator, err = config.ReadOperator(file, cfg.Name); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

// printMembers prints a running instance's view of the cluster as JSON.
func printMembers(ctx context.Context, cmd *cli.Command) error {
	raw, err := admin.Call(ctx, cmd.String("at"), "/members", nil)
	if err != nil {
		return err
	}
	_, err = cmd.Root().Writer.Write(raw)
	return err
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	return writeVersion(cmd.Root().Writer)
}

// writeVersion prints the version, the VCS revision if the build has recorded it, and the Go version and platform.
func writeVersion(w io.Writer) error {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value[:min(revisionDigits, len(setting.Value))]
			}
		}
	}
	_, err := fmt.Fprintf(w, "ottershed %s%s %s %s/%s\n", version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
