package main

import (
	"context"
	"time"
)

// discoveryTimeout is how long a new process rejects requests while discovery has sent no endpoint list. The operators
// publish that nine in ten restarted instances are ready within 10 s, within 6 s where the day ends sooner. The second in
// between is for the process to come up, for a configuration that is still being written, and for a busy machine.
const discoveryTimeout = 5 * time.Second

// waitsForEndpoints tells whether the instance is ready only once discovery has sent a list. What discovery holds counts
// as known from the process's first moment, and the list of the configuration may be older: an endpoint that was
// announced as draining must get nothing. Where a poll costs the service something, the decision module says when to
// poll, and there is no wait.
func (i *instance) requiresEndpointList() bool { return !i.cfg.Settings.PollEndpoints }

// becomeReady waits for the endpoint list, until readyBy at most. Opening the components takes a part of that time.
func (i *instance) awaitEndpointList(ctx context.Context, readyBy time.Time) {
	limit := time.NewTimer(time.Until(readyBy))
	defer limit.Stop()
	select {
	case <-ctx.Done():
		return
	case <-i.watcher.Received():
	case <-limit.C:
		i.log.Warn("no endpoint list since the start, using the one of the configuration")
	}
	i.ingress.SetReady()
}
