package main

import (
	"context"
	"time"
)

// discoveryTimeout is how long a new process rejects requests until discovery has sent an endpoint list. The operators
// publish that nine in ten restarted instances are ready within 10 s, or within 6 s if the day ends sooner. The difference
// of 1 s is for starting the process, for a configuration that is still being written, and for a busy machine.
const discoveryTimeout = 5 * time.Second

// requiresEndpointList reports whether the instance is ready only after discovery has sent a list. An instance is expected
// to know discovery's list from its start, and the configuration's list may be older. It could still have an endpoint that
// was announced as draining and must get no requests. With PollEndpoints a poll costs the discovery service something, so
// the decision module decides when to poll and the instance does not wait.
func (i *instance) requiresEndpointList() bool { return !i.cfg.Settings.PollEndpoints }

// awaitEndpointList makes the instance ready as soon as discovery has sent a list, at the latest at readyDeadline. The
// deadline counts from before the components are opened.
func (i *instance) awaitEndpointList(ctx context.Context, readyDeadline time.Time) {
	timeout := time.NewTimer(time.Until(readyDeadline))
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return
	case <-i.watcher.FirstListReceived():
	case <-timeout.C:
		i.log.Warn("no endpoint list received since the start, using the configured list")
	}
	i.ingress.SetReady()
}
