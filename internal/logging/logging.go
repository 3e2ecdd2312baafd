// Package logging makes the logger, and keeps repeated causes from filling it.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// New makes a logger of lines with fields.
func New(to io.Writer, level logrus.Level) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(to)
	l.SetLevel(level)
	l.SetFormatter(&logrus.TextFormatter{
		DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return l
}

const repeatInterval = 10 * time.Second

// Causes lets each cause through once in a while. It holds one entry for each constant text that it is asked of.
type Limiter struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// New tells whether this cause is worth a line now.
func (l *Limiter) Allow(cause string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, known := l.last[cause]; known && time.Since(at) < repeatInterval {
		return false
	}
	if l.last == nil {
		l.last = map[string]time.Time{}
	}
	l.last[cause] = time.Now()
	return true
}
