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
	minSummaryInterval  = 100 * time.Millisecond // shortest interval that the flag --summary accepts
	finalSummaryTimeout = time.Second            // limits how long the last summary line waits for the engine
)

// summaryLogger writes a log line with an instance's counters and gauges at each interval; interval 0: no lines. Counters
// are totals since the start, so that a reader who misses a line loses resolution and no counts.
type summaryLogger struct {
	engine   *engine.Engine
	pool     *upstream.Pool
	watcher  *discovery.Watcher
	log      logrus.FieldLogger
	interval time.Duration
}

// run writes summary lines until ctx ends.
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

// writeFinal writes the last summary line of an instance that stops. It does nothing if interval is 0.
func (s summaryLogger) writeFinal() {
	if s.interval > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), finalSummaryTimeout)
		defer cancel()
		s.write(ctx)
	}
}

// write writes a summary line. It writes none if the engine returns no counters before ctx ends.
func (s summaryLogger) write(ctx context.Context) {
	stats, ok := s.engine.Stats(ctx)
	if !ok {
		return
	}
	poolStats, status := s.pool.Stats(), stats.Status
	s.log.WithFields(logrus.Fields{
		"taken": stats.Requests, "forwarded": stats.Attempts, "delivered": stats.RequestsSucceeded,
		"missed": stats.ObjectivesMissed, "bounced": stats.RequestsRejected, "errored": stats.RequestsFailed,
		"gone": stats.ClientsDisconnected, "cancelled": stats.AttemptsCanceled, "full": stats.AttemptsRejected,
		"unreachable": stats.AttemptsUnreachable, "broken": stats.AttemptsBroken, "timedout": stats.AttemptsTimedOut,
		"failed": stats.AttemptsFailed, "probes": stats.HealthChecks, "votes": stats.Votes, "opened": poolStats.Opened,
		"refused": poolStats.Unreachable, "held": poolStats.Open, "idle": poolStats.Idle, "lists": s.watcher.Calls(),
		"nodes": status.Serving, "cold": status.WarmingUp, "away": status.Unavailable, "out": status.InFlight,
		"waiting": status.Queued, "build": status.Build, "stage": status.Stage, "phase": status.Phase,
		"verdict": status.Verdict, "seen": status.Outcomes, "failing": status.FailureEvidence,
		"rejects": status.Rejections,
	}).Info("summary")
}
