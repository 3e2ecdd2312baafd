package main

import (
	"context"
	"os"
	"strings"

	"github.com/sirupsen/logrus"

	"ottershed/internal/config"
)

// reloader reads the configuration again at each SIGHUP.
type reloader struct {
	instance *instance
	hup      <-chan os.Signal
	reread   func() (*config.Config, error)
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

// reload takes over what a running process can: the addresses, and the settings, all or none of them: none
// if a class, a tenant, the granularity or a setting of the sockets differs, or if the cluster's policy does
// not go with them. A file that is wrong or half written leaves everything as it was.
func (r *reloader) reload(ctx context.Context) {
	inst := r.instance
	next, err := r.reread()
	if err != nil {
		inst.log.WithError(err).Error("configuration not reloaded")
		return
	}
	if fixed := inst.cfg.KeysNeedingRestart(next); len(fixed) > 0 {
		inst.log.WithField("keys", strings.Join(fixed, ",")).Warn("configuration: these need a restart")
	}
	if inst.cfg.CanReloadSettings(next) {
		inst.settings.reload(next)
		inst.cluster.retryPolicy()
	}
	// The watcher takes its address at once; the controller's client may wait while it connects, so it comes last.
	inst.watcher.SetAddress(ctx, next.Discovery)
	inst.controller.SetAddress(ctx, next.Platform)
	fields := logrus.Fields{"discovery": next.Discovery, "platform": next.Platform}
	inst.log.WithFields(fields).Info("configuration reloaded")
}
