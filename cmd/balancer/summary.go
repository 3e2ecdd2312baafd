package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/discovery"
	"ottershed/internal/engine"
	"ottershed/internal/upstream"
)

const (
	minSummaryInterval = 100 * time.Millisecond
	finalStatsTimeout  = time.Second // for the figures of the end
)

// summary writes what an instance has done, a line every so often; none where every is 0. All counts are since the start, so
// that a line that is lost costs the reader no more than its moment.
type summaryLogger struct {
	engine   *engine.Engine
	pool     *upstream.Pool
	watcher  *discovery.Watcher
	log      logrus.FieldLogger
	interval time.Duration
}

// run writes lines until ctx ends.
func (s summaryLogger) run(ctx context.Context) {
	if s.interval <= 0 {
		return
	}
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.write(ctx)
		}
	}
}

// writeFinal writes the summary line of an instance that stops.
func (s summaryLogger) writeFinal() {
	if s.interval > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), finalStatsTimeout)
		defer cancel()
		s.write(ctx)
	}
}

func (s summaryLogger) write(ctx context.Context) {
	f, ok := s.engine.Stats(ctx)
	if !ok {
		return
	}
	c, at := s.pool.Stats(), f.Status
	s.log.WithFields(logrus.Fields{
		"taken": f.Requests, "forwarded": f.Attempts, "delivered": f.RequestsSucceeded, "missed": f.ObjectivesMissed,
		"bounced": f.RequestsRejected, "errored": f.RequestsFailed, "gone": f.ClientsDisconnected, "cancelled": f.AttemptsCanceled, "full": f.AttemptsRejected,
		"unreachable": f.AttemptsUnreachable, "broken": f.AttemptsBroken, "timedout": f.AttemptsTimedOut, "failed": f.AttemptsFailed, "probes": f.HealthChecks,
		"votes": f.Votes, "opened": c.Opened, "refused": c.Unreachable, "held": c.Open, "idle": c.Idle, "lists": s.watcher.Calls(),
		"nodes": at.Serving, "cold": at.WarmingUp, "away": at.Unavailable, "out": at.InFlight, "waiting": at.Queued, "build": at.Build,
		"stage": at.Stage, "phase": at.Phase, "verdict": at.Verdict, "seen": at.Outcomes, "failing": at.FailureEvidence,
		"rejects": at.Rejections,
	}).Info("summary")
}
