package discovery

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ottershed/decision"
)

// Whatever becomes of the calls in an outage of a polled service, however long the outage is and when it begins, an
// instance has the list MaxNotificationDelay after the service could be reached again.
func TestPolledListReceivedAfterOutage(t *testing.T) {
	const longestOutage = 6 // in calls
	for name, fail := range failures {
		for _, maxPollInterval := range []decision.Millis{4000, 10000, 40000} {
			for _, latency := range []time.Duration{0, 2400 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, interval %v ms, latency %v", name, maxPollInterval, latency), func(t *testing.T) {
					for failCalls := 1; failCalls <= longestOutage; failCalls++ {
						for _, serveCalls := range []int{0, 3} {
							service := polledService{serveCalls: serveCalls, fail: fail, failCalls: failCalls, latency: latency}
							took := longestNotificationDelay(t, &service, maxPollInterval)
							if took > MaxNotificationDelay {
								t.Errorf("outage of %d calls after %d: got the list %v after the service was back, want at most %v",
									failCalls, serveCalls, took, MaxNotificationDelay)
							}
						}
					}
				})
			}
		}
	}
}

// longestNotificationDelay returns the time from the return of a service like this one until an instance has version 2 of
// its list, the longest of some seeds.
func longestNotificationDelay(t *testing.T, like *polledService, maxPollInterval decision.Millis) (longest time.Duration) {
	t.Helper()
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			service := &polledService{serveCalls: like.serveCalls, fail: like.fail, failCalls: like.failCalls, latency: like.latency}
			received := make(chan struct{})
			var once sync.Once
			startPolledInstance(t, pollSettings(6, maxPollInterval), seed, "agent", service, func(version int64) {
				if version == 2 {
					once.Do(func() { close(received) })
				}
			})
			select {
			case <-received:
				longest = max(longest, time.Since(service.returnedAt))
			case <-time.After(20 * time.Minute):
				t.Error("handler: got no list within 20 min, want one")
			}
		})
	}
	return longest
}

// Guards against a polled list that never arrives: the responses of the service are late, slow or come in pieces far
// apart, and each call was ended before its response was complete.
func TestSlowPolledListReceived(t *testing.T) {
	list := `{"index":2,"snapshot":true,"endpoints":[]}`
	for name, respond := range map[string]failure{
		"late":                 respondSegments(2400*time.Millisecond, segment{0, list}),
		"later than the hedge": respondSegments(4*time.Second, segment{0, list}),
		"steadily":             respondSegments(0, splitEvenly(100*time.Millisecond, list, 40)...),
		"pieces far apart":     respondSegments(0, splitEvenly(800*time.Millisecond, list, 5)...),
		"late and steadily":    respondSegments(2*time.Second, splitEvenly(100*time.Millisecond, list, 38)...),
	} {
		t.Run(name, func(t *testing.T) {
			service := &polledService{fail: respond, failCalls: math.MaxInt}
			synctest.Test(t, func(t *testing.T) {
				received := make(chan int64, 100)
				startedAt := time.Now()
				startPolledInstance(t, pollSettings(1, 10000), 1, "agent", service, func(version int64) {
					select {
					case received <- version:
					default:
					}
				})
				select {
				case version := <-received:
					t.Logf("got version %d after %v", version, time.Since(startedAt))
				case <-time.After(10 * time.Second): // the first poll is sent within 2.5 s
					t.Error("handler: got no list within 10 s, want one")
				}
			})
		})
	}
}
