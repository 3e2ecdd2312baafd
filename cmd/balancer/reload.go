package main

import (
	"context"
	"os"
	"strings"

	"github.com/sirupsen/logrus"

	"ottershed/internal/config"
)

// reloader reloads the configuration at each SIGHUP.
type reloader struct {
	instance *instance
	hup      <-chan os.Signal               // each signal on it causes a reload; nil: no reloads
	reread   func() (*config.Config, error) // reads the configuration again
}

// run reloads until ctx ends.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.reload(ctx)
		}
	}
}

// reload applies the part of the configuration that a running instance can change: the addresses, and the settings. It
// applies all settings or none: none if a request class, a tenant, the clock granularity or a network setting has changed,
// or if the cluster's policy is incompatible with the new settings. An invalid or incomplete file changes nothing.
func (r *reloader) reload(ctx context.Context) {
	inst := r.instance
	next, err := r.reread()
	if err != nil {
		inst.log.WithError(err).Error("configuration not reloaded")
		return
	}
	if restartKeys := inst.cfg.KeysNeedingRestart(next); len(restartKeys) > 0 {
		inst.log.WithField("keys", strings.Join(restartKeys, ",")).Warn("configuration: changed keys not applied, they need a restart")
	}
	if inst.cfg.CanReloadSettings(next) {
		inst.settings.reload(next)
		inst.cluster.retryPolicy()
	}
	// The watcher accepts its address at once. The controller's client may block while it connects, so it is called last.
	inst.watcher.SetAddress(ctx, next.Discovery)
	inst.controller.SetAddress(ctx, next.Platform)
	fields := logrus.Fields{"discovery": next.Discovery, "platform": next.Platform}
	inst.log.WithFields(fields).Info("configuration reloaded")
}
