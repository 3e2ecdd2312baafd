package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/config"
	"ottershed/internal/discovery"
	"ottershed/internal/engine"
	"ottershed/internal/ingress"
	"ottershed/internal/logging"
	"ottershed/internal/rollout"
	"ottershed/internal/upstream"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// grace is how long a marshal that leaves still accepts: the front layer goes on for a while.
const drainGrace = 600 * time.Millisecond

// unheard is how long a new process refuses hits while discovery has told no list. It stands on the figure that the
// operators publish: nine in ten restarted marshals are ready within 10 s, within 6 s where the day ends sooner. The second
// in between is for the process to come up, for a configuration that is still being written, and for a busy machine.
const discoveryTimeout = 5 * time.Second

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
	reread func() (*config.Config, error), every time.Duration,
) error {
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
	maxConnections := cfg.Limits.Connections()
	c := clock.New()
	source := newSettingsSource(cfg, log)
	m := engine.New(source.settings(), cfg.Seed, c, log)
	source.onChange = m.UpdateSettings
	pool := upstream.NewPool(c, cfg.Network, maxConnections, log)
	controller := rollout.New(cfg.Platform, cfg.Settings.VoteWait, m.HandleEvent, log)
	watcher := discovery.New(cfg.Discovery, cfg.Endpoints, cfg.Network, m.UpdateEndpoints, log)
	services, err := newClusterServices(cfg, source, m, controller, c, log)
	if err != nil {
		return err
	}
	m.Connect(pool, services.voter(controller), watcher)
	known := 0
	if cfg.Endpoints != nil {
		known = len(cfg.Endpoints.Endpoints)
		m.UpdateEndpoints(*cfg.Endpoints)
	}
	if cfg.Stage != nil {
		m.HandleEvent(*cfg.Stage)
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
			if fixed := cfg.RestartOnly(next); len(fixed) > 0 {
				log.WithField("keys", strings.Join(fixed, ",")).Warn("configuration: these need a restart")
			}
			if cfg.Switchable(next) {
				source.reload(next)
				services.reload()
			}
			watcher.SetAddress(ctx, next.Discovery) // it never waits; the desk may while it connects
			controller.SetAddress(ctx, next.Platform)
			log.WithFields(logrus.Fields{"discovery": next.Discovery, "platform": next.Platform}).Info("configuration taken")
		}
	}
	reporter := summary{m, pool, watcher, log, every}
	for _, part := range []func(context.Context){
		services.run, m.Run, pool.Run, controller.Run, watcher.Run, reload,
		reporter.run,
	} {
		running.Go(func() { part(ctx) })
	}

	f := ingress.New(m, c, cfg.Settings, cfg.Network, maxConnections, log)
	if services.failover != nil {
		f.HandleResumed(lease.DecideResume)
	}
	// Danger: what discovery holds counts as told from the process's first moment, a node announced as leaving included; the
	// list of the configuration may be older. Where a call costs the service something the module says when to ask.
	if !cfg.Settings.PollEndpoints {
		f.SetNotReady()
		running.Go(func() {
			limit := time.NewTimer(time.Until(began.Add(discoveryTimeout))) // what is opened before this takes time too
			defer limit.Stop()
			select {
			case <-ctx.Done():
				return
			case <-watcher.Received():
			case <-limit.C:
				log.Warn("discovery silent since the start, hits go by the list of the configuration")
			}
			f.SetReady()
		})
	}
	served := make(chan error, 1)
	go func() { served <- f.Serve(listener) }()
	log.WithFields(logrus.Fields{"listen": cfg.Listen, "nodes": known, "connections": maxConnections}).Info("serving")
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case sig := <-stop:
		log.WithField("signal", sig.String()).Info("leaving")
	}
	left := make(chan struct{})
	go func() { // Danger: what a marshal owes the others must not hold up what it owes its clients
		defer close(left)
		ctx, cancel := context.WithTimeout(ctx, 2*drainGrace)
		defer cancel()
		services.leave(ctx)
	}()
	if err := f.Drain(drainGrace); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	<-left
	reporter.writeFinal()
	log.Info("left")
	return nil
}
