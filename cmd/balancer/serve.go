package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"ottershed/internal/config"
	"ottershed/internal/logging"
)

// serve implements the command `serve`: it reads the configuration and runs an instance until SIGTERM or an interrupt.
//
// It catches signals before it reads the configuration, so that a SIGHUP in between does not end the process. The command
// `run` in the deploy file ignores a SIGHUP that comes even earlier. No change is lost then, since serve reads the file
// afterwards.
func serve(ctx context.Context, cmd *cli.Command) error {
	stop, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := readConfig(cmd)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return fmt.Errorf("flag --log-level: %w", err)
	}
	log := logging.New(os.Stderr, level).WithField("marshal", cfg.Name)
	for _, warning := range cfg.Warnings {
		log.WithField("key", warning).Warn("configuration warning")
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(cfg.Limits.MemoryLimit())
	reread := func() (*config.Config, error) { return config.Reread(cmd.String("config"), os.Getenv) }
	return run(ctx, cfg, log, stop, hup, reread, cmd.Duration("summary"))
}
