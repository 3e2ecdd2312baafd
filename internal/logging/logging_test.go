package logging

import (
	"bytes"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// A line holds the time in milliseconds, level, message and fields. Entries below the level are not written.
func TestNewWritesEntriesOfLevel(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, logrus.InfoLevel)
	logger.Debug("left out")
	logger.WithField("cause", "x y").Info("written")
	want := regexp.MustCompile(`^time="\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}(Z|[+-]\d\d:\d\d)" level=info msg=written cause="x y"\n$`)
	if !want.Match(out.Bytes()) {
		t.Errorf("log output: got %q, want a match of %s", out.String(), want)
	}
}

// Each cause is allowed once in repeatInterval.
func TestLimiterAllowsCauseOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter Limiter
		for i, step := range []struct {
			after time.Duration
			cause string
			want  bool
		}{
			{0, "a", true},
			{0, "a", false},
			{0, "b", true},
			{repeatInterval - 1, "a", false},
			{1, "a", true},
			{repeatInterval - 1, "a", false},
			{1, "b", true},
		} {
			time.Sleep(step.after)
			if got := limiter.Allow(step.cause); got != step.want {
				t.Errorf("step %d: Allow(%q): got %t, want %t", i, step.cause, got, step.want)
			}
		}
	})
}
