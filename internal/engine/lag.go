package engine

// The warning about an event loop that is behind schedule.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

const (
	// maxLagThreshold is the upper limit of the delay above which a warning is logged. It applies if all latency objectives
	// are long.
	maxLagThreshold decision.Millis = 1000
	// lagThresholdFraction is the fraction of the shortest latency objective above which a delay is logged, because such a
	// delay is a noticeable part of the response time.
	lagThresholdFraction = 0.05
	// lagLogInterval is the interval that one warning covers, and therefore the shortest time between two warnings.
	lagLogInterval decision.Millis = 5000
)

// lagMonitor logs the longest delay of the event loop in each interval. A loop that is behind decides late, and
// endpoints seem unresponsive while their results wait in the queue. Measured response times stay correct, because an
// attempt's end is timed where the response is read.
type lagMonitor struct {
	log           logrus.FieldLogger
	threshold     decision.Millis // a warning is logged above this delay
	intervalStart decision.Millis
	longestDelay  decision.Millis // longest delay in this interval
	delaySource   string          // where longestDelay occurred: "queue" or "timer"
	maxWaiting    int             // highest number of waiting messages in this interval
}

func newLagMonitor(classes []decision.RequestClass, log logrus.FieldLogger) lagMonitor {
	l := lagMonitor{log: log, threshold: maxLagThreshold}
	for _, class := range classes {
		l.threshold = min(l.threshold, class.LatencyObjective*lagThresholdFraction)
	}
	return l
}

// observe records the delay of a queued message or a timer, and the number of messages that still wait.
func (l *lagMonitor) observe(now, delay decision.Millis, waiting int, source string) {
	if delay >= l.longestDelay {
		l.longestDelay, l.delaySource = delay, source
	}
	l.maxWaiting = max(l.maxWaiting, waiting)
	if now-l.intervalStart < lagLogInterval {
		return
	}
	if l.longestDelay > l.threshold {
		l.log.WithFields(logrus.Fields{
			"late_ms": int(l.longestDelay), "waiting": l.maxWaiting, "at": l.delaySource,
		}).Warn("event loop late")
	}
	l.intervalStart, l.longestDelay, l.maxWaiting = now, 0, 0
}
