// Package logging provides the logger of an instance, [New], and a rate limit for repeated log lines, [Limiter].
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes one line of key=value fields for each entry of the given level or a more severe one.
// Timestamps have milliseconds and a time zone.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logger
}

// repeatInterval is the minimum time between two lines with the same cause.
const repeatInterval = 10 * time.Second

// Limiter allows one line for each cause in 10 s. The zero value is ready to use, and Allow is safe for concurrent use.
// Limiter never removes a cause, so causes must be constant strings.
type Limiter struct {
	mu          sync.Mutex
	lastAllowed map[string]time.Time // time of the last allowed line of each cause
}

// Allow reports whether a line with this cause may be written now. If so, it starts the interval anew.
func (l *Limiter) Allow(cause string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.lastAllowed[cause]
	if known && time.Since(last) < repeatInterval {
		return false
	}
	if l.lastAllowed == nil {
		l.lastAllowed = map[string]time.Time{}
	}
	l.lastAllowed[cause] = time.Now()
	return true
}
