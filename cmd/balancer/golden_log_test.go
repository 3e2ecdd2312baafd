package main

import (
	"bytes"
	"context"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/internal/config"
	"ottershed/internal/discovery"
	"ottershed/internal/engine"
	"ottershed/internal/golden"
	"ottershed/internal/logging"
	"ottershed/internal/rollout"
	"ottershed/internal/upstream"
)

// logTime is when a line was written.
var logTime = regexp.MustCompile(`time="[^"]*"`)

// The lines of the log that other tools read, the figures of the summary and the settings that were taken, are those of the
// golden file. The time of a line is volatile and stands there as TIME.
func TestGoldenSummary(t *testing.T) {
	cfg, err := config.Read("", func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log, c := logging.New(&out, logrus.InfoLevel).WithField("marshal", cfg.Name), clock.New()
	m := engine.New(cfg.Settings, 1, c, log)
	pool, follower := upstream.NewPool(c, cfg.Network, 8, log), discovery.New(cfg.Discovery, nil, cfg.Network, m.UpdateEndpoints, log)
	m.Connect(pool, rollout.New(cfg.Platform, cfg.Settings.VoteWait, m.HandleEvent, log), follower)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { m.Run(ctx); close(ended) }()
	summary{m, pool, follower, log, minSummaryInterval}.writeFinal()
	cancel()
	<-ended
	fig := newSettingsSource(cfg, log)
	next := *cfg
	next.Settings.Instances, next.Settings.HoldQuorum = 5, 2
	fig.reload(&next)
	observed := logTime.ReplaceAllString(out.String(), `time="TIME"`)
	if err := golden.Check(filepath.Join("testdata", "log.golden"), []byte(observed)); err != nil {
		t.Error(err)
	}
}
