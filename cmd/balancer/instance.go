package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/config"
	"ottershed/internal/discovery"
	"ottershed/internal/engine"
	"ottershed/internal/ingress"
	"ottershed/internal/rollout"
	"ottershed/internal/upstream"
)

const (
	// drainGrace is how long a draining instance still takes requests: the front layer goes on sending for a while.
	drainGrace = 600 * time.Millisecond
	// clusterLeaveTimeout bounds how long a draining instance releases its leases and says goodbye.
	clusterLeaveTimeout = 2 * drainGrace
)

// instance is one load balancer process. Its components are constructed in the order of the fields; nothing runs before
// run starts them.
type instance struct {
	cfg        *config.Config
	log        logrus.FieldLogger
	listener   net.Listener
	settings   *settingsSource
	engine     *engine.Engine
	pool       *upstream.Pool
	controller *rollout.Client
	watcher    *discovery.Watcher
	cluster    *clusterServices
	ingress    *ingress.Server
	summary    summaryLogger
}

// run runs an instance from its start until stop delivers a signal; at each signal of hup it reads its configuration
// again. every is the time between two summary lines, 0 for none.
func run(ctx context.Context, cfg *config.Config, log logrus.FieldLogger, stop, hup <-chan os.Signal,
	reread func() (*config.Config, error), every time.Duration,
) error {
	readyBy := time.Now().Add(discoveryTimeout)
	select {
	case sig := <-stop:
		log.WithField("signal", sig.String()).Info("stopped before serving")
		return nil
	default:
	}
	inst, err := newInstance(cfg, log, every)
	if err != nil {
		return err
	}
	return inst.run(ctx, stop, &reloader{instance: inst, hup: hup, reread: reread}, readyBy)
}

// newInstance constructs the components and connects them. The listener is open from here on, so that clients wait
// instead of being refused.
func newInstance(cfg *config.Config, log logrus.FieldLogger, every time.Duration) (*instance, error) {
	inst := &instance{cfg: cfg, log: log}
	var err error
	if inst.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	connections := cfg.Limits.Connections()
	monotonic := clock.New()
	inst.settings = newSettingsSource(cfg, log)
	inst.engine = engine.New(inst.settings.initial(), cfg.Seed, monotonic, log)
	inst.settings.onChange = inst.engine.UpdateSettings
	inst.pool = upstream.NewPool(monotonic, cfg.Network, connections, log)
	inst.controller = rollout.New(cfg.Platform, cfg.Settings.VoteWait, inst.engine.HandleEvent, log)
	inst.watcher = discovery.New(cfg.Discovery, cfg.Endpoints, cfg.Network, inst.engine.UpdateEndpoints, log)
	if inst.cluster, err = newClusterServices(cfg, inst.settings, inst.engine, inst.controller, monotonic, log); err != nil {
		return nil, err
	}
	inst.engine.Connect(inst.pool, inst.cluster.voteController(inst.controller), inst.watcher)
	inst.ingress = ingress.New(inst.engine, monotonic, cfg.Settings, cfg.Network, connections, log)
	if inst.cluster.failover != nil {
		inst.ingress.HandleResumed(lease.DecideResume)
	}
	inst.summary = summaryLogger{inst.engine, inst.pool, inst.watcher, log, every}
	return inst, nil
}

// run starts the components, serves until a signal and drains. The ingress ends first, all others after it.
func (i *instance) run(ctx context.Context, stop <-chan os.Signal, reload *reloader, readyBy time.Time) error {
	known := i.applyConfiguredState()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	components := []func(context.Context){
		i.cluster.run, i.engine.Run, i.pool.Run, i.controller.Run, i.watcher.Run, reload.run, i.summary.run,
	}
	for _, component := range components {
		running.Go(func() { component(ctx) })
	}
	if i.requiresEndpointList() {
		i.ingress.SetNotReady()
		running.Go(func() { i.awaitEndpointList(ctx, readyBy) })
	}
	served := make(chan error, 1)
	go func() { served <- i.ingress.Serve(i.listener) }()
	i.log.WithFields(logrus.Fields{
		"listen": i.cfg.Listen, "nodes": known, "connections": i.cfg.Limits.Connections(),
	}).Info("serving")
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case sig := <-stop:
		i.log.WithField("signal", sig.String()).Info("draining")
	}
	return i.drain(ctx)
}

// loadKnownState hands the engine what the configuration says of endpoints and rollout, and returns the number of
// endpoints.
func (i *instance) applyConfiguredState() (endpoints int) {
	if i.cfg.Endpoints != nil {
		endpoints = len(i.cfg.Endpoints.Endpoints)
		i.engine.UpdateEndpoints(*i.cfg.Endpoints)
	}
	if i.cfg.Stage != nil {
		i.engine.HandleEvent(*i.cfg.Stage)
	}
	return endpoints
}

// drain ends the ingress once all its requests have their responses. The cluster is left beside that: what an instance
// owes the other members must not delay what it owes its clients.
func (i *instance) drain(ctx context.Context) error {
	var leaving sync.WaitGroup
	leaving.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, clusterLeaveTimeout)
		defer cancel()
		i.cluster.leave(ctx)
	})
	if err := i.ingress.Drain(drainGrace); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	leaving.Wait()
	i.summary.writeFinal()
	i.log.Info("stopped")
	return nil
}
