package main

import (
	"context"
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

// serve is the command of that name: it reads the configuration and runs an instance until SIGTERM or an interrupt.
//
// Signals are caught before the configuration is read. A SIGHUP from before that was ignored by the deploy file's `run`,
// and is of a file that is read anyway.
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
		return err
	}
	log := logging.New(os.Stderr, level).WithField("marshal", cfg.Name)
	for _, warning := range cfg.Warnings {
		log.WithField("key", warning).Warn("configuration")
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(cfg.Limits.MemoryLimit())
	reread := func() (*config.Config, error) { return config.Reread(cmd.String("config"), os.Getenv) }
	return run(ctx, cfg, log, stop, hup, reread, cmd.Duration("summary"))
}
