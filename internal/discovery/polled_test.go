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
			startPolledInstance(t, pollSettings(6, maxPollInterval), seed, service, func(version int64) {
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
				startPolledInstance(t, pollSettings(1, 10000), 1, service, func(version int64) {
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

// Guards against an instance that goes on with the list of the address before a reload: polls were rejected at both
// addresses, and the permission to poll again went to the watch of the old one. Whatever becomes of the old service, and of
// the first call to the new one, the instance has the list of the new one in time.
func TestPolledListOfNewAddressReceived(t *testing.T) {
	const within = 4 * time.Second // after a reload, for the operators to count it as notified
	for firstCall, failNew := range failures {
		for name, oldCalls := range map[string]int{
			"serves": 0, "returns at once": 2, "returns soon": 4, "returns later": 6, "stays out of reach": math.MaxInt,
		} {
			for oldFailure, failOld := range map[string]failure{
				"rejected": failures["status 503"], "refused": failures["connection refused"], "silent": failures["no response"],
			} {
				t.Run(fmt.Sprintf("%s, old service %s, %s", firstCall, oldFailure, name), func(t *testing.T) {
					for reloadAfter := time.Second; reloadAfter < 10*time.Second; reloadAfter += 600 * time.Millisecond {
						took := delayAfterReload(t, reloadAfter, services{
							"agent": &polledService{serveCalls: 1, fail: failOld, failCalls: oldCalls},
							"next":  &polledService{fail: failNew, failCalls: 1},
						})
						if took > within {
							t.Errorf("reload after %v: got the list of the new address after %v, want at most %v", reloadAfter, took, within)
						}
					}
				})
			}
		}
	}
}

// delayAfterReload returns the time from a change of the address to "next" until an instance has the list from
// there.
func delayAfterReload(t *testing.T, reloadAfter time.Duration, transport services) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var once sync.Once
		received := make(chan struct{})
		transport["next"] = observedService{transport["next"], func() { once.Do(func() { close(received) }) }}
		instance := startPolledInstance(t, pollSettings(6, 10000), 1, transport, func(int64) {})
		time.Sleep(reloadAfter)
		instance.watcher.SetAddress(instance.ctx, "next")
		reloadedAt := time.Now()
		select {
		case <-received:
			took = time.Since(reloadedAt)
		case <-time.After(10 * time.Minute):
			t.Errorf("reload after %v: got no list of the new address within 10 min", reloadAfter)
		}
	})
	return took
}
