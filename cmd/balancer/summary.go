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
	leastSummary = 100 * time.Millisecond
	lastSummary  = time.Second // for the figures of the end
)

// summary writes what a marshal has done, a line every so often; none where every is 0. All counts are since the start, so
// that a line that is lost costs the reader no more than its moment.
type summary struct {
	marshal *engine.Marshal
	pool    *upstream.Pool
	list    *discovery.Follower
	log     logrus.FieldLogger
	every   time.Duration
}

// run writes lines until ctx ends.
func (s summary) run(ctx context.Context) {
	if s.every <= 0 {
		return
	}
	tick := time.NewTicker(s.every)
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

// last writes the line of a marshal that leaves.
func (s summary) last() {
	if s.every > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), lastSummary)
		defer cancel()
		s.write(ctx)
	}
}

func (s summary) write(ctx context.Context) {
	f, ok := s.marshal.Figures(ctx)
	if !ok {
		return
	}
	c, at := s.pool.Count(), f.Sight
	s.log.WithFields(logrus.Fields{"taken": f.Taken, "forwarded": f.Forwarded, "delivered": f.Delivered, "missed": f.Missed,
		"bounced": f.Bounced, "errored": f.Errored, "gone": f.Gone, "cancelled": f.Cancelled, "full": f.Full,
		"unreachable": f.Unreachable, "broken": f.Broken, "timedout": f.TimedOut, "failed": f.Failed, "probes": f.Probes,
		"votes": f.Votes, "opened": c.Opened, "refused": c.Refused, "held": c.Held, "idle": c.Idle, "lists": s.list.Calls(),
		"nodes": at.Nodes, "cold": at.Cold, "away": at.Away, "out": at.Out, "waiting": at.Waiting, "build": at.Build,
		"stage": at.Stage, "phase": at.Phase, "verdict": at.Verdict, "seen": at.Seen, "failing": at.Failing,
		"rejects": at.Rejects}).Info("summary")
}
