package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/config"
	"ottershed/internal/discovery"
	"ottershed/internal/engine"
	"ottershed/internal/ingress"
	"ottershed/internal/logging"
	"ottershed/internal/rollout"
	"ottershed/internal/upstream"
)

// grace is how long a marshal that leaves still accepts: the front layer goes on for a while.
const grace = 600 * time.Millisecond

// unheard is how long a new process refuses hits while discovery has told no list. It stands on the figure that the
// operators publish: nine in ten restarted marshals are ready within 10 s, within 6 s where the day ends sooner. The second
// in between is for the process to come up, for a configuration that is still being written, and for a busy machine.
const unheard = 5 * time.Second

func serve(ctx context.Context, cmd *cli.Command) error {
	// Danger: until here a signal ends the process as the system's default does. The configuration is read after it, so that
	// a SIGHUP sent before, which `run` has ignored, is of a file that is read anyway.
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
	for _, w := range cfg.Warnings {
		log.WithField("key", w).Warn("configuration")
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
	debug.SetMemoryLimit(cfg.Limits.MemoryLimit())
	reread := func() (*config.Config, error) { return config.Reread(cmd.String("config"), os.Getenv) }
	return run(ctx, cfg, log, stop, hup, reread, cmd.Duration("summary"))
}

// run is a marshal from its start until stop says that it leaves; what hup says has it reread its configuration. The
// parts end in the order front, then all others.
func run(ctx context.Context, cfg *config.Config, log logrus.FieldLogger, stop, hup <-chan os.Signal,
	reread func() (*config.Config, error), every time.Duration) error {
	began := time.Now()
	select {
	case sig := <-stop: // it came before anything could be taken
		log.WithField("signal", sig.String()).Info("left before serving")
		return nil
	default:
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	most := cfg.Limits.Connections()
	c := clock.New()
	fig := newFigures(cfg, log)
	m := engine.New(fig.settings(), cfg.Seed, c, log)
	fig.settle = m.Settle
	pool := upstream.NewPool(c, cfg.Network, most, log)
	release := rollout.New(cfg.Platform, cfg.Settings.VoteWait, m.Told, log)
	follower := discovery.New(cfg.Discovery, cfg.Known, cfg.Network, m.List, log)
	group, err := newFleet(cfg, fig, m, release, c, log)
	if err != nil {
		return err
	}
	m.Connect(pool, group.votes(release), follower)
	known := 0
	if cfg.Known != nil {
		known = len(cfg.Known.Entries)
		m.List(*cfg.Known)
	}
	if cfg.News != nil {
		m.Told(*cfg.News)
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	reload := func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			}
			// Danger: a file that is wrong or half written must leave all as it was.
			next, err := reread()
			if err != nil {
				log.WithError(err).Error("configuration not taken")
				continue
			}
			if fixed := cfg.Fixed(next); len(fixed) > 0 {
				log.WithField("keys", strings.Join(fixed, ",")).Warn("configuration: these need a restart")
			}
			if cfg.Switchable(next) {
				fig.reread(next)
				group.reread()
			}
			follower.Move(ctx, next.Discovery) // it never waits; the desk may while it connects
			release.Move(ctx, next.Platform)
			log.WithFields(logrus.Fields{"discovery": next.Discovery, "platform": next.Platform}).Info("configuration taken")
		}
	}
	figures := summary{m, pool, follower, log, every}
	for _, part := range []func(context.Context){group.run, m.Run, pool.Run, release.Run, follower.Run, reload,
		figures.run} {
		running.Go(func() { part(ctx) })
	}

	f := ingress.New(m, c, cfg.Settings, cfg.Network, most, log)
	if group.keeper != nil {
		f.Resume(lease.Resumed)
	}
	// Danger: what discovery holds counts as told from the process's first moment, a node announced as leaving included; the
	// list of the configuration may be older. Where a call costs the service something the module says when to ask.
	if !cfg.Settings.AskList {
		f.Hold()
		running.Go(func() {
			limit := time.NewTimer(time.Until(began.Add(unheard))) // what is opened before this takes time too
			defer limit.Stop()
			select {
			case <-ctx.Done():
				return
			case <-follower.Heard():
			case <-limit.C:
				log.Warn("discovery silent since the start, hits go by the list of the configuration")
			}
			f.Ready()
		})
	}
	served := make(chan error, 1)
	go func() { served <- f.Serve(listener) }()
	log.WithFields(logrus.Fields{"listen": cfg.Listen, "nodes": known, "connections": most}).Info("serving")
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case sig := <-stop:
		log.WithField("signal", sig.String()).Info("leaving")
	}
	left := make(chan struct{})
	go func() { // Danger: what a marshal owes the others must not hold up what it owes its clients
		defer close(left)
		ctx, cancel := context.WithTimeout(ctx, 2*grace)
		defer cancel()
		group.leave(ctx)
	}()
	if err := f.Leave(grace); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	<-left
	figures.last()
	log.Info("left")
	return nil
}
