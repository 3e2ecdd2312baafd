package main

import (
	"context"
	"time"
)

// discoveryTimeout limits how long a new process rejects requests because discovery has not sent an endpoint list yet. The
// operators' published requirement is that nine in ten restarted instances are ready within 10 s, or within 6 s in a
// trial run that ends before those 10 s. The 1 s below the stricter limit is for starting the process, for a configuration
// that is still being written, and for a busy machine.
const discoveryTimeout = 5 * time.Second

// requiresEndpointList reports whether the instance is ready only after discovery has sent a list. An instance is expected
// to know discovery's list from its start. The configuration's list may be older, and still have an endpoint that was
// announced as draining since then and must get no requests. With PollEndpoints each poll has a cost for the discovery
// service, so the decision module decides when to poll, and the instance does not wait for a list.
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
