package engine

// Log line for an event loop that is behind.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

const (
	maxLateness    decision.Millis = 1000 // from where on a delay is logged, whatever the objectives
	latenessShare                  = 0.05 // of the shortest latency objective: from there on it delays responses visibly
	latenessPeriod decision.Millis = 5000 // that one line sums up
)

// lateness logs the longest delay of the event loop in each period. A loop that is behind decides late, and endpoints
// look silent while their results wait; response times are taken where they are read and stay right.
type lateness struct {
	log         logrus.FieldLogger
	bound       decision.Millis // delays up to it are not logged
	periodStart decision.Millis
	worst       decision.Millis // delay in this period
	worstSource string          // "queue" or "timer"
	waiting     int             // the most messages that waited in this period
}

func newLateness(classes []decision.RequestClass, log logrus.FieldLogger) lateness {
	l := lateness{log: log, bound: maxLateness}
	for _, class := range classes {
		l.bound = min(l.bound, class.LatencyObjective*latenessShare)
	}
	return l
}

// observe takes the delay of a message of the queue or of a timer, and how many messages waited behind it.
func (l *lateness) observe(now, late decision.Millis, waiting int, source string) {
	if late >= l.worst {
		l.worst, l.worstSource = late, source
	}
	l.waiting = max(l.waiting, waiting)
	if now-l.periodStart < latenessPeriod {
		return
	}
	if l.worst > l.bound {
		l.log.WithFields(logrus.Fields{
			"late_ms": int(l.worst), "waiting": l.waiting, "at": l.worstSource,
		}).Warn("event loop late")
	}
	l.periodStart, l.worst, l.waiting = now, 0, 0
}
