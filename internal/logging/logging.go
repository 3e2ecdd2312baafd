// Package logging makes the logger of an instance, New, and keeps repeated causes from filling its log, Limiter.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// New makes a logger that writes lines of fields to a writer, from the given level on. Times have milliseconds and a
// zone.
func New(to io.Writer, level logrus.Level) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(to)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logger
}

// repeatInterval is the shortest time between two lines with the same cause.
const repeatInterval = 10 * time.Second

// Limiter lets each cause through once in 10 s. The zero value is ready; its method may be called from any goroutine.
// It keeps an entry for each cause for good, so causes must be constant texts.
type Limiter struct {
	mu   sync.Mutex
	last map[string]time.Time // when a cause was let through last
}

// Allow tells whether a line with this cause may be written now.
func (l *Limiter) Allow(cause string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.last[cause]
	if known && time.Since(last) < repeatInterval {
		return false
	}
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	l.last[cause] = time.Now()
	return true
}
