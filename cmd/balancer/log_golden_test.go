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

// The log lines that other tools read, those of the summary's figures and of the settings that were taken, are those of the
// golden file. The time of a line is volatile and stands there as TIME.
func TestGoldenSummary(t *testing.T) {
	cfg, err := config.Read("", func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log := logging.New(&out, logrus.InfoLevel).WithField("marshal", cfg.Name)
	ticker := clock.New()
	events := engine.New(cfg.Settings, 1, ticker, log)
	pool := upstream.NewPool(ticker, cfg.Network, 8, log)
	watcher := discovery.New(cfg.Discovery, nil, cfg.Network, events.UpdateEndpoints, log)
	events.Connect(pool, rollout.New(cfg.Platform, cfg.Settings.VoteWait, events.HandleEvent, log), watcher)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		events.Run(ctx)
	}()
	summaryLogger{events, pool, watcher, log, minSummaryInterval}.writeFinal()
	cancel()
	<-ended
	source := newSettingsSource(cfg, log)
	next := *cfg
	next.Settings.Instances, next.Settings.HoldQuorum = 5, 2
	source.reload(&next)
	observed := logTime.ReplaceAllString(out.String(), `time="TIME"`)
	if err := golden.Check(filepath.Join("testdata", "log.golden"), []byte(observed)); err != nil {
		t.Error(err)
	}
}
