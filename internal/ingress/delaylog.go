package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
)

const (
	// delayLogInterval is the time that one warning covers, and therefore the shortest time between two warnings.
	delayLogInterval = 5 * time.Second
	// lateThreshold is how long after the client's deadline a response counts as late in the log. It is above the delay of a
	// response that is written as soon as the deadline has passed.
	lateThreshold = 50 * time.Millisecond
)

// delayLog warns about responses after the client's deadline, and about requests that were delayed since their client sends
// too fast. Its methods are safe for concurrent use.
type delayLog struct {
	log logrus.FieldLogger

	mu    sync.Mutex
	late  delayCounter
	paced delayCounter
}

// delayCounter counts the delays since the last warning.
type delayCounter struct {
	loggedAt time.Time
	count    int
	longest  time.Duration
	fields   logrus.Fields // of the longest delay
}

// observeResponse records a response that is about to be written. waited is the time from the arrival of the request until its
// handler began.
func (d *delayLog) observeResponse(now decision.Millis, request *engine.ClientRequest, waited decision.Millis, status int) {
	late := clock.Duration(now - request.ReceivedAt - request.Remaining)
	if late < lateThreshold {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if late > d.late.longest {
		d.late.longest = late
		d.late.fields = logrus.Fields{"id": request.CorrelationID, "status": status, "waited_ms": int(waited)}
	}
	d.late.add(d.log, "responses late")
}

// observePacing records the delay of a request, unless that is 0.
func (d *delayLog) observePacing(client net.Addr, delay time.Duration) {
	if delay == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if delay > d.paced.longest {
		d.paced.longest = delay
		d.paced.fields = logrus.Fields{"client": client}
	}
	d.paced.add(d.log, "requests of fast clients delayed")
}

// add counts a delay. It writes a warning unless it has written one within delayLogInterval.
func (c *delayCounter) add(log logrus.FieldLogger, message string) {
	c.count++
	now := time.Now()
	if !c.loggedAt.IsZero() && now.Sub(c.loggedAt) < delayLogInterval {
		return
	}
	log.WithFields(c.fields).WithFields(logrus.Fields{
		"count": c.count, "longest_ms": c.longest.Milliseconds(),
	}).Warn(message)
	*c = delayCounter{loggedAt: now}
}
