// Command ottershed is a marshal on sockets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"ottershed/internal/admin"
	"ottershed/internal/config"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// version is the newest one in CHANGELOG.md.
const version = "0.3.1"

// errUsage marks what the caller typed wrong: the exit code is 2 then, as of Go's own tools.
var errUsage = errors.New("usage")

func main() {
	cli.OsExiter = func(int) {}
	err := command().Run(context.Background(), os.Args)
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "ottershed:", err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "ottershed:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	file := &cli.StringFlag{
		Name: "config", Usage: "the configuration `FILE`; without it the embedded default holds",
		Sources: cli.EnvVars("LB_CONFIG"),
	}
	level := &cli.StringFlag{
		Name: "log-level", Usage: "`LEVEL` of the lines to write: error, warn, info or debug",
		Value: "info", Sources: cli.EnvVars("OTTERSHED_LOG_LEVEL"), Validator: func(text string) error {
			_, err := logrus.ParseLevel(text)
			return err
		},
	}
	operator := &cli.StringFlag{
		Name: "operator", Usage: "the operator's own `FILE`; without it all that it can switch on is off",
		Sources: cli.EnvVars("OTTERSHED_OPERATOR"),
	}
	at := &cli.StringFlag{
		Name: "at", Usage: "the marshal's admin `ADDRESS`, admin.listen in the operator's file",
		Sources: cli.EnvVars("OTTERSHED_ADMIN"), Required: true,
	}
	wrong := func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%w: %w; see --help", errUsage, err)
	}
	summary := &cli.DurationFlag{
		Name: "summary", Usage: "write a line of figures every so often, for otterlab days; 0: none",
		Sources: cli.EnvVars("OTTERSHED_SUMMARY"), Validator: func(every time.Duration) error {
			if every != 0 && every < minSummaryInterval {
				return fmt.Errorf("want 0 or %v or more, got %v", minSummaryInterval, every)
			}
			return nil
		},
	}
	commands := []*cli.Command{
		{Name: "serve", Usage: "run a marshal until SIGTERM", Flags: []cli.Flag{file, operator, level, summary}, Action: serve},
		{
			Name: "check-config", Usage: "read and check a configuration as serve does, and print what holds",
			Flags: []cli.Flag{file, operator}, Action: checkConfig,
		},
		{
			Name: "members", Usage: "print whom a running marshal holds for alive, suspect, dead or left, as JSON",
			Flags: []cli.Flag{at}, Action: members,
		},
		policyCommand(at, wrong),
		leaseCommand(at, wrong),
		{Name: "version", Usage: "print the version", Action: printVersion},
	}
	for _, c := range commands {
		if len(c.Commands) > 0 {
			continue // its own have all this
		}
		c.OnUsageError, c.HideHelpCommand = wrong, true
		c.Before = func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			if cmd.Args().Present() {
				return ctx, fmt.Errorf("%w: %s takes no arguments, got %q; see --help", errUsage, cmd.Name, cmd.Args().First())
			}
			return ctx, nil
		}
	}
	return &cli.Command{
		Name: "ottershed", Usage: "a front tier that watches over software updates", Commands: commands,
		OnUsageError: wrong, HideHelpCommand: true, Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return fmt.Errorf("%w: no command %q; see --help", errUsage, cmd.Args().First())
			}
			return cli.ShowAppHelp(cmd)
		},
	}
}

// checkConfig prints what would hold for serve.
func checkConfig(_ context.Context, cmd *cli.Command) error {
	cfg, err := readConfig(cmd)
	if err != nil {
		return err
	}
	for _, w := range cfg.Warnings {
		fmt.Fprintln(cmd.Root().ErrWriter, "warning:", w)
	}
	fmt.Fprint(cmd.Root().Writer, cfg)
	if cfg.Operator != nil {
		fmt.Fprint(cmd.Root().Writer, cfg.Operator)
	}
	return nil
}

// readConfig reads the configuration, and the operator's file where one is given.
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

// members prints a running marshal's view.
func members(ctx context.Context, cmd *cli.Command) error {
	raw, err := admin.Call(ctx, cmd.String("at"), "/members", nil)
	if err != nil {
		return err
	}
	_, err = cmd.Root().Writer.Write(raw)
	return err
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value[:min(12, len(s.Value))]
			}
		}
	}
	fmt.Fprintf(cmd.Root().Writer, "ottershed %s%s %s %s/%s\n", version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
