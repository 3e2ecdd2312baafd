package discovery

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// queuedService is a discovery service with a queue for the calls of all instances. It rejects all calls during an outage,
// and serves version 1 of the list before it and version 2 after it. It also processes calls that their callers have
// ended. A call that continues a watch takes no time.
type queuedService struct {
	callTime      time.Duration // time to process a call
	maxWait       time.Duration // a call that would wait for longer is rejected at once
	unavailableAt time.Time     // start of the outage
	availableAt   time.Time     // end of the outage

	mu       sync.Mutex
	idleAt   time.Time // time at which the queue is empty
	rejected int       // calls rejected so far
	served   int       // calls processed so far
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
	if !c.service.isAvailable() || !continues && !c.service.process(r) {
		c.service.mu.Lock()
		c.service.rejected++
		c.service.mu.Unlock()
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
		return respondStatus(http.StatusServiceUnavailable)(r)
	}
	return response, err
}

// The instances of a fleet that were all rejected for the time of an outage poll again without keeping the service busy
// with calls in vain. Where it can serve all of them at once, each has the list MaxNotificationDelay after the end of the
// outage.
func TestPolledFleetRecoversFromOutage(t *testing.T) {
	const outage = 30 * time.Second
	for name, test := range map[string]struct {
		instances   int
		callTime    time.Duration
		maxWait     time.Duration // of a call in the queue
		within      time.Duration // time from the end of the outage until all instances have the list
		mostRejects float64       // rejected calls of an instance: one each 1.75 s of the outage, and those while the backoff grows
		mostServed  float64       // calls of an instance that the service processed
	}{
		"one instance":  {1, time.Millisecond, 2 * time.Second, MaxNotificationDelay, 22, 2},
		"a large fleet": {80, time.Millisecond, 2 * time.Second, MaxNotificationDelay, 22, 2.2},
		// One call of each instance takes 8 s.
		"a large fleet, slow service": {80, 100 * time.Millisecond, 2 * time.Second, 20 * time.Second, 30, 3},
		// The service processes calls that wait for up to 4 s.
		"a large fleet, slow service with a long queue": {80, 100 * time.Millisecond, 4 * time.Second, 20 * time.Second, 30, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				service := &queuedService{
					callTime: test.callTime, maxWait: test.maxWait,
					unavailableAt: start.Add(30 * time.Second), availableAt: start.Add(30*time.Second + outage),
				}
				received := make(chan time.Time, test.instances)
				for i := range test.instances {
					var once sync.Once
					startPolledInstance(t, pollSettings(test.instances, 10000), uint64(i), "agent",
						&queuedCaller{service: service}, func(version int64) {
							if version == 2 {
								once.Do(func() { received <- time.Now() })
							}
						})
				}
				time.Sleep(time.Until(service.availableAt) + time.Minute)
				notified, latest := len(received), time.Duration(0)
				for range notified {
					latest = max(latest, (<-received).Sub(service.availableAt))
				}
				service.mu.Lock()
				defer service.mu.Unlock()
				rejects := float64(service.rejected) / float64(test.instances)
				served := float64(service.served) / float64(test.instances)
				t.Logf("%d of %d notified within %v, per instance %.1f rejected and %.1f processed calls",
					notified, test.instances, latest, rejects, served)
				if notified < test.instances || latest > test.within {
					t.Errorf("got %d of %d instances with the list, the last after %v, want all within %v",
						notified, test.instances, latest, test.within)
				}
				if rejects > test.mostRejects || served > test.mostServed {
					t.Errorf("calls per instance: got %.1f rejected and %.1f processed, want at most %.1f and %.1f",
						rejects, served, test.mostRejects, test.mostServed)
				}
			})
		})
	}
}
