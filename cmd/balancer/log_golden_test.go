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

// logTime matches the time of a log line.
var logTime = regexp.MustCompile(`time="[^"]*"`)

// The log lines "summary" and "settings applied", which tools read, match the golden file. The time of a line differs
// between runs, so the file has TIME in its place.
func TestGoldenLogLines(t *testing.T) {
	cfg, err := config.Read("", func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log := logging.New(&out, logrus.InfoLevel).WithField("marshal", cfg.Name)
	monotonic := clock.New()
	eng := engine.New(cfg.Settings, 1, monotonic, log)
	pool := upstream.NewPool(monotonic, cfg.Network, 8, log)
	watcher := discovery.New(cfg.Discovery, nil, cfg.Network, eng.UpdateEndpoints, log)
	eng.Connect(pool, rollout.New(cfg.Platform, cfg.Settings.VoteRetryWait, eng.HandleEvent, log), watcher)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		eng.Run(ctx)
	}()
	summaryLogger{eng, pool, watcher, log, minSummaryInterval}.writeFinal()
	cancel()
	<-ended
	source := newSettingsSource(cfg, log)
	next := *cfg
	next.Settings.Instances, next.Settings.HoldQuorum = 5, 2
	source.reload(&next)
	observed := logTime.ReplaceAllString(out.String(), `time="TIME"`)
	if err := golden.CheckFile(filepath.Join("testdata", "log.golden"), []byte(observed)); err != nil {
		t.Error(err)
	}
}
