package discovery

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ottershed/decision"
)

// queuedService is a discovery service with a queue for the calls of all instances. All calls during an outage fail. It
// serves version 1 of the list before that and version 2 after it. It also processes calls that their callers have
// ended. A call that continues a watch takes no time.
type queuedService struct {
	callTime      time.Duration // time to process a call
	maxWait       time.Duration // a call that would wait for longer is rejected at once
	fail          failure       // what becomes of a call in an outage
	unavailableAt time.Time     // start of the outage
	availableAt   time.Time     // end of the outage

	mu     sync.Mutex
	idleAt time.Time // time at which the queue is empty
	failed int       // calls that were rejected or sent in an outage so far
	served int       // calls processed so far
}

// queuedCaller is the transport of one instance to a queuedService.
type queuedCaller struct {
	service *queuedService

	mu          sync.Mutex
	respondedAt time.Time // time of the last response
}

func (c *queuedCaller) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	continues := time.Since(c.respondedAt) < 200*time.Millisecond
	c.mu.Unlock()
	if !c.service.isAvailable() {
		c.service.countFailure()
		return c.service.fail(r)
	}
	if !continues && !c.service.process(r) {
		c.service.countFailure()
		return respondStatus(http.StatusServiceUnavailable)(r)
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	response, err := c.service.respond(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respondedAt = time.Now()
	return response, err
}

func (s *queuedService) countFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
}

// isAvailable reports whether there is no outage now.
func (s *queuedService) isAvailable() bool {
	return time.Now().Before(s.unavailableAt) || !time.Now().Before(s.availableAt)
}

// process queues a call and waits until it is processed or its caller ends it. It returns false if the queue is too long.
func (s *queuedService) process(r *http.Request) bool {
	s.mu.Lock()
	if s.idleAt.Before(time.Now()) {
		s.idleAt = time.Now()
	}
	if time.Until(s.idleAt)+s.callTime > s.maxWait {
		s.mu.Unlock()
		return false
	}
	s.idleAt = s.idleAt.Add(s.callTime)
	s.served++
	wait := time.Until(s.idleAt)
	s.mu.Unlock()
	return sleepUnlessCanceled(r, wait) == nil || r.Context().Err() != nil
}

// respond serves a watch. The outage ends the watches that are open.
func (s *queuedService) respond(r *http.Request) (*http.Response, error) {
	if !time.Now().Before(s.availableAt) {
		return serveWatch(r, 2)
	}
	response, err := serveWatch(r, 1)
	if !s.isAvailable() {
		return s.fail(r)
	}
	return response, err
}

// fleetOutage is an outage of a queuedService and what its fleet may make of it.
type fleetOutage struct {
	instances  int
	interval   decision.Millis // MaxPollInterval
	callTime   time.Duration
	maxWait    time.Duration
	silent     bool          // calls in the outage get no response, instead of being rejected
	within     time.Duration // time from the end of the outage until all instances have the list
	mostFailed float64       // failed calls of an instance: one each 1.75 s of the outage, and those while the backoff grows
	mostServed float64       // calls of an instance that the service processed
}

// The instances of a fleet poll in an outage, and after it, without keeping the service busy with calls in vain. Where it
// can serve all of them at once, each has the list MaxNotificationDelay after the end of the outage.
func TestPolledFleetRecoversFromOutage(t *testing.T) {
	const fast, slow = time.Millisecond, 100 * time.Millisecond // slow: 80 calls take 8 s
	const overloaded = 400 * time.Millisecond
	const queue, longQueue, longerQueue = 2 * time.Second, 4 * time.Second, 6 * time.Second
	for name, outage := range map[string]fleetOutage{
		"one instance":                                          {1, 10000, fast, queue, false, MaxNotificationDelay, 22, 2},
		"one instance, silent":                                  {1, 10000, fast, queue, true, MaxNotificationDelay, 22, 2},
		"a large fleet":                                         {80, 10000, fast, queue, false, MaxNotificationDelay, 22, 2.2},
		"a large fleet, silent":                                 {80, 10000, fast, queue, true, MaxNotificationDelay, 22, 2.2},
		"a large fleet, no interval":                            {80, 0, fast, queue, false, MaxNotificationDelay, 22, 2.2},
		"a large fleet, slow service":                           {80, 10000, slow, queue, false, 20 * time.Second, 30, 3},
		"a large fleet, slow service, silent":                   {80, 10000, slow, queue, true, 20 * time.Second, 30, 3},
		"a large fleet, slow service with a long queue":         {80, 10000, slow, longQueue, false, 20 * time.Second, 30, 3},
		"a large fleet, slow service with a long queue, silent": {80, 10000, slow, longQueue, true, 20 * time.Second, 30, 3},
		// One call of each takes 32 s, for which the queue is full.
		"a large fleet, crowded service":                     {80, 10000, overloaded, longQueue, false, 48 * time.Second, 30, 3},
		"a large fleet, crowded service, silent":             {80, 10000, overloaded, longQueue, true, 48 * time.Second, 30, 3},
		"a large fleet, crowded service with a longer queue": {80, 10000, overloaded, longerQueue, false, 48 * time.Second, 30, 3},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, outage.check) })
	}
}

// check runs a fleet through the outage in a synctest bubble.
func (o fleetOutage) check(t *testing.T) {
	t.Helper()
	const before, duration, after = 50 * time.Second, 30 * time.Second, time.Minute
	start := time.Now()
	service := &queuedService{
		callTime: o.callTime, maxWait: o.maxWait, fail: failures["status 503"],
		unavailableAt: start.Add(before), availableAt: start.Add(before + duration),
	}
	if o.silent {
		service.fail = failures["no response"]
	}
	received := make(chan time.Time, o.instances)
	for i := range o.instances {
		var once sync.Once
		caller := &queuedCaller{service: service}
		startPolledInstance(t, pollSettings(o.instances, o.interval), uint64(i), caller, func(version int64) {
			if version == 2 {
				once.Do(func() { received <- time.Now() })
			}
		})
	}
	time.Sleep(before + duration + after)
	notified, latest := len(received), time.Duration(0)
	for range notified {
		latest = max(latest, (<-received).Sub(service.availableAt))
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	failed, served := float64(service.failed)/float64(o.instances), float64(service.served)/float64(o.instances)
	t.Logf("%d of %d notified within %v, per instance %.1f failed and %.1f processed calls", notified, o.instances, latest, failed, served)
	if notified < o.instances || latest > o.within {
		t.Errorf("got %d of %d instances with the list, the last after %v, want all within %v", notified, o.instances, latest, o.within)
	}
	if failed > o.mostFailed || served > o.mostServed {
		t.Errorf("calls per instance: got %.1f failed and %.1f processed, want at most %.1f and %.1f",
			failed, served, o.mostFailed, o.mostServed)
	}
}
