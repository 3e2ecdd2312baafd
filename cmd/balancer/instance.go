package main

import (
	"context"
	"errors"
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
	// drainGrace is how long a draining instance still accepts requests. The load balancers in front of it keep sending
	// requests for a while after SIGTERM.
	drainGrace = 600 * time.Millisecond
	// clusterLeaveTimeout limits how long a draining instance takes to release its leases and leave the cluster.
	clusterLeaveTimeout = 2 * drainGrace
)

// instance is one load balancer process. Its components are constructed in the order of the fields, and none runs before
// the method run starts it.
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

// run runs an instance until stop delivers a signal. At each signal from hup it reloads the configuration that reread
// returns. summaryInterval is the time between two summary lines; 0: no lines.
func run(ctx context.Context, cfg *config.Config, log logrus.FieldLogger, stop, hup <-chan os.Signal,
	reread func() (*config.Config, error), summaryInterval time.Duration,
) error {
	readyDeadline := time.Now().Add(discoveryTimeout)
	select {
	case sig := <-stop:
		log.WithField("signal", sig.String()).Info("stopped before serving")
		return nil
	default:
	}
	inst, err := newInstance(cfg, log, summaryInterval)
	if err != nil {
		return err
	}
	return inst.run(ctx, stop, &reloader{instance: inst, hup: hup, reread: reread}, readyDeadline)
}

// newInstance constructs the components and connects them. It opens the listener first, so that connections of clients
// wait until the instance serves, and are not refused.
func newInstance(cfg *config.Config, log logrus.FieldLogger, summaryInterval time.Duration) (*instance, error) {
	inst := &instance{cfg: cfg, log: log}
	var err error
	if inst.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	connections := cfg.Limits.Connections()
	monotonic := clock.New()
	inst.settings = newSettingsSource(cfg, log)
	inst.engine = engine.New(inst.settings.initial(), cfg.Seed, monotonic, log)
	inst.settings.onChange = inst.engine.UpdateSettings
	inst.pool = upstream.NewPool(monotonic, cfg.Network, connections, log)
	inst.controller = rollout.New(cfg.Platform, cfg.Settings.VoteRetryWait, inst.engine.HandleEvent, log)
	inst.watcher = discovery.New(cfg.Discovery, cfg.Endpoints, cfg.Network, inst.engine.UpdateEndpoints, log)
	if inst.cluster, err = newClusterServices(cfg, inst.settings, inst.engine, inst.controller, monotonic, log); err != nil {
		return nil, err
	}
	inst.engine.Connect(inst.pool, inst.cluster.voteController(inst.controller), inst.watcher)
	inst.ingress = ingress.New(inst.engine, monotonic, cfg.Settings, cfg.Network,
		ingress.Limits{Connections: connections, Cores: cfg.Limits.Cores}, log)
	if inst.cluster.failover != nil {
		inst.ingress.SetResumeDecision(lease.DecideResume)
	}
	inst.summary = summaryLogger{inst.engine, inst.pool, inst.watcher, log, summaryInterval}
	return inst, nil
}

// run starts the components, serves until stop delivers a signal, and drains. The ingress stops before all other
// components, since requests in flight need them. If the ingress fails before a signal, run drains without a grace period
// and returns its error.
func (i *instance) run(ctx context.Context, stop <-chan os.Signal, reload *reloader, readyDeadline time.Time) error {
	endpoints := i.applyConfiguredState()
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
		running.Go(func() { i.awaitEndpointList(ctx, readyDeadline) })
	}
	ingressEnded := make(chan error, 1)
	go func() { ingressEnded <- i.ingress.Serve(i.listener) }()
	i.log.WithFields(logrus.Fields{
		"listen": i.cfg.Listen, "nodes": endpoints, "connections": i.cfg.Limits.Connections(),
	}).Info("serving")
	select {
	case err := <-ingressEnded:
		i.log.WithError(err).Error("ingress failed, draining")
		return errors.Join(fmt.Errorf("serve clients: %w", err), i.drain(ctx, 0))
	case sig := <-stop:
		i.log.WithField("signal", sig.String()).Info("draining")
	}
	return i.drain(ctx, drainGrace)
}

// applyConfiguredState passes the endpoint list and stage of the configuration to the engine, if they are set there. It
// returns the number of endpoints, 0 without a list.
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

// drain stops the ingress after a grace period, once all its requests have their responses. The instance leaves the
// cluster at the same time, so that a slow cluster does not delay responses to clients.
func (i *instance) drain(ctx context.Context, grace time.Duration) error {
	var leaving sync.WaitGroup
	leaving.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, clusterLeaveTimeout)
		defer cancel()
		i.cluster.leave(ctx)
	})
	err := i.ingress.Drain(grace)
	leaving.Wait()
	i.summary.writeFinal()
	if err != nil {
		return fmt.Errorf("drain the ingress: %w", err)
	}
	i.log.Info("stopped")
	return nil
}
