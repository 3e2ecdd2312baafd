package discovery

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// An agent that was down never responds to the calls that it accepted meanwhile. Full snapshot calls are hedged well
// within the drain grace, so that the list is received as soon as the agent is back. The list of an agent that takes
// longer than the hedge interval is received too.
func TestFullSnapshotReceivedAfterOutage(t *testing.T) {
	for name, test := range map[string]struct {
		unanswered int           // number of calls at the start that get no response
		delay      time.Duration // delay of the later responses
	}{
		"back after an outage":           {unanswered: 40},
		"slower than the hedge interval": {delay: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			replied := make(chan time.Time, 1)
			address := fakeAgent(t, func(r *http.Request) reply {
				if int(calls.Add(1)) <= test.unanswered || r.URL.RawQuery != "" {
					return reply{}
				}
				select {
				case replied <- time.Now():
				default:
				}
				time.Sleep(test.delay)
				return reply{body: encodeUpdate(41, true, "Ready")}
			})
			updates := make(chan engine.EndpointUpdate, 10)
			watcher := New(address, nil, settings.Network{DrainGrace: 40},
				func(update engine.EndpointUpdate) { updates <- update }, discardLog())
			if watcher.hedgeAfter != 10*time.Millisecond || watcher.retryDelay > watcher.hedgeAfter {
				t.Errorf("watcher: got hedge interval %v, retry delay %v, want 10ms, at most 10ms", watcher.hedgeAfter, watcher.retryDelay)
			}
			// At most ten calls are open, so forty unanswered calls take about four response timeouts.
			watcher.responseTimeout = 100 * time.Millisecond
			_, stop := runWatcher(t, watcher)
			expectVersion(t, updates, 41, 10*time.Second)
			if got := int(calls.Load()); got < test.unanswered+1 {
				t.Errorf("handler: got list version 41 after %d calls, want at least %d", got, test.unanswered+1)
			}
			stop()
			if len(replied) != 1 {
				t.Error("agent: got no call after the outage, want at least 1")
			}
		})
	}
}

// The number of open calls to an unresponsive agent is limited, however short the grace, since each call takes a
// descriptor. The response to the first call is still received when it arrives late.
func TestOpenCallsLimited(t *testing.T) {
	updates, respond := make(chan engine.EndpointUpdate, 10), make(chan struct{})
	var calls, open, maxOpen atomic.Int64
	address := fakeAgent(t, func(r *http.Request) reply {
		number := calls.Add(1)
		now := open.Add(1)
		defer open.Add(-1)
		maxOpen.Store(max(maxOpen.Load(), now))
		if number == 4*maxOpenCalls {
			close(respond)
		}
		// Calls may arrive in another order than they were sent. Of the first maxOpenCalls calls, only the one that was sent
		// first, the long-lived one, is still open after 4*maxOpenCalls calls: the others were evicted.
		if number <= maxOpenCalls {
			select {
			case <-respond:
				return reply{body: encodeUpdate(41, true, "Ready")}
			case <-r.Context().Done():
			}
		}
		<-r.Context().Done()
		return reply{}
	})
	watcher := New(address, nil, settings.Network{DrainGrace: 8},
		func(update engine.EndpointUpdate) { updates <- update }, discardLog())
	watcher.responseTimeout = 10 * time.Second
	runWatcher(t, watcher)
	expectVersion(t, updates, 41, 10*time.Second)
	// The fake agent notices the end of a call with a delay.
	if maxOpen.Load() > 2*maxOpenCalls {
		t.Errorf("agent: got %d calls open at the same time, want about %d", maxOpen.Load(), maxOpenCalls)
	}
}

// Of two parallel calls, only the first response is delivered: an older list does not follow a newer one.
func TestOnlyFirstResponseDelivered(t *testing.T) {
	updates, second := make(chan engine.EndpointUpdate, 10), make(chan struct{})
	var calls atomic.Int64
	canceled := make(chan struct{})
	watcher := New(fakeAgent(t, func(r *http.Request) reply {
		switch calls.Add(1) {
		case 1: // slow, with an older list
			<-second
			select {
			case <-r.Context().Done():
				close(canceled)
			case <-time.After(10 * time.Second):
			}
			return reply{body: encodeUpdate(41, true, "Ready")}
		case 2:
			close(second)
			return reply{body: encodeUpdate(42, true, "Terminating")}
		case 3:
			<-canceled
			return reply{body: encodeUpdate(43, false, "Gone")}
		}
		return reply{}
	}), nil, settings.Network{DrainGrace: 100}, func(update engine.EndpointUpdate) { updates <- update }, discardLog())
	watcher.responseTimeout, watcher.watchTimeout = 20*time.Second, 20*time.Second
	runWatcher(t, watcher)
	expectVersion(t, updates, 42, 10*time.Second)
	expectVersion(t, updates, 43, 10*time.Second)
}

// hedgeInterval is the time between the calls of newSlowWatch.
const hedgeInterval = 10 * time.Millisecond

// slowCase describes a slow agent and the expected result of the calls.
type slowCase struct {
	response       func(call int) []segment // response to a full snapshot call, given its number
	version        int64                    // version of the delivered list
	deliveredAfter time.Duration            // time until the list is delivered
	calls          int                      // number of calls until then; 0: any
	decodeTime     time.Duration            // duration of decoding a list
}

// The list of an agent that responds late or slowly is received before the operators count a change as notified (6 s).
// Hedged calls neither end nor slow down the call whose response arrives.
func TestSlowAgentListDelivered(t *testing.T) {
	older, newer := encodeUpdate(41, true, "Ready"), encodeUpdate(42, true, "Terminating")
	for name, test := range map[string]slowCase{
		"each response 3 s late": {
			response: func(int) []segment { return []segment{{3 * time.Second, older}} },
			version:  41, deliveredAfter: 3 * time.Second,
		},
		"2.5 s outage, then 500 ms late": {response: func(call int) []segment {
			if call < 250 { // 2.5 s
				return []segment{neverSent}
			}
			return []segment{{500 * time.Millisecond, older}}
		}, version: 41, deliveredAfter: 3500 * time.Millisecond},
		"only the second long-lived call has a response": {response: func(call int) []segment {
			if call == 101 {
				return []segment{{3500 * time.Millisecond, older}} // the first long-lived call has timed out by then
			}
			return []segment{neverSent}
		}, version: 41, deliveredAfter: 4500 * time.Millisecond},
		"steadily for 3 s": {
			response: func(int) []segment { return splitEvenly(300*time.Millisecond, older, 10) },
			version:  41, deliveredAfter: 3 * time.Second,
		},
		"steadily, longer than the hedge interval": {response: func(call int) []segment {
			if call == 1 {
				return append([]segment{{delay: 5 * time.Millisecond}}, splitEvenly(100*time.Millisecond, older, 10)...)
			}
			return []segment{{0, newer}}
		}, version: 41, deliveredAfter: 1005 * time.Millisecond, calls: 1},
		"steadily, longer than snapshotTimeout": {response: func(call int) []segment {
			if call == 1 {
				return append([]segment{{delay: 5 * time.Millisecond}}, splitEvenly(150*time.Millisecond, older, 30)...)
			}
			return []segment{{0, newer}}
		}, version: 42, deliveredAfter: snapshotTimeout, calls: 2},
		"stalls": {response: func(call int) []segment {
			if call == 1 {
				return []segment{{5 * time.Millisecond, older[:20]}, neverSent}
			}
			return []segment{{0, newer}}
		}, version: 42, deliveredAfter: stallTimeout + hedgeInterval, calls: 2},
		"stalls until another response has arrived": {response: func(call int) []segment {
			if call == 1 {
				return []segment{{5 * time.Millisecond, older[:20]}, {stallTimeout + hedgeInterval, older[20:]}}
			}
			return []segment{{0, newer}}
		}, version: 42, deliveredAfter: stallTimeout + hedgeInterval, calls: 2},
		"slow decoding": {
			response: func(call int) []segment { return []segment{{5 * time.Millisecond, older}} },
			version:  41, deliveredAfter: 1005 * time.Millisecond, calls: 1, decodeTime: time.Second,
		},
		"slow response and slow decoding": {response: func(call int) []segment {
			return append([]segment{{delay: 5 * time.Millisecond}}, splitEvenly(390*time.Millisecond, older, 10)...)
		}, version: 41, deliveredAfter: 4905 * time.Millisecond, decodeTime: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, test.check)
		})
	}
}

// check runs a watch on an agent of this case in a synctest bubble.
func (c slowCase) check(t *testing.T) {
	t.Helper()
	updates := make(chan engine.EndpointUpdate, 10)
	agent := &slowAgent{respond: func(call int, since string) []segment {
		if since != "" {
			return []segment{neverSent}
		}
		return c.response(call)
	}}
	slowWatch := newSlowWatch(agent, sendOrDrop(updates))
	slowWatch.decode = func(raw []byte) (engine.EndpointUpdate, error) {
		time.Sleep(c.decodeTime)
		return Decode(raw)
	}
	ctx, cancel := context.WithCancel(t.Context())
	startedAt := time.Now()
	go slowWatch.run(ctx)
	defer time.Sleep(c.decodeTime + time.Millisecond) // decoding is not canceled
	defer cancel()
	select {
	case update := <-updates:
		c.checkUpdate(t, agent, update, time.Since(startedAt))
	case <-time.After(20 * time.Second):
		t.Fatal("handler: got no list within 20 s")
	}
	time.Sleep(5 * time.Millisecond)
	if len(updates) > 0 {
		t.Errorf("handler: got list version %d afterwards, want no further list", (<-updates).Version)
	}
}

// checkUpdate checks the first update, the time until it was delivered and the calls until then.
func (c slowCase) checkUpdate(t *testing.T, agent *slowAgent, update engine.EndpointUpdate, took time.Duration) {
	t.Helper()
	agent.mu.Lock()
	calls, maxOpen := len(agent.calls), agent.maxOpen
	agent.mu.Unlock()
	if update.Version != c.version || took < c.deliveredAfter || took > c.deliveredAfter+hedgeInterval {
		t.Errorf("handler: got list version %d after %v, want list version %d after %v", update.Version, took, c.version, c.deliveredAfter)
	}
	if c.calls > 0 && calls > c.calls+1 { // the next watch may have been sent already
		t.Errorf("agent: got %d calls, want %d", calls, c.calls)
	}
	if maxOpen > maxOpenCalls {
		t.Errorf("agent: got %d calls open at the same time, want at most %d", maxOpen, maxOpenCalls)
	}
}

// The number of open calls to an unresponsive agent stays limited, and the agent is reported unavailable after 1 s. A
// broken connection ends the hedged calls.
func TestUnresponsiveAgentReportedUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &slowAgent{respond: func(call int, _ string) []segment {
			if call == 2000 { // sent after 20 s
				return nil
			}
			return []segment{neverSent}
		}}
		slowWatch := newSlowWatch(agent, func(engine.EndpointUpdate) { t.Error("handler: got a list, want none") })
		startedAt := time.Now()
		var firstWarningAfter atomic.Int64
		slowWatch.log = warningHook{slowWatch.log, func() { firstWarningAfter.CompareAndSwap(0, int64(time.Since(startedAt))) }}
		_, err := slowWatch.fetchNext(t.Context())
		if took := time.Since(startedAt); !errors.Is(err, errBroken) || took < 19*time.Second || took > 21*time.Second {
			t.Errorf("fetchNext: got error %v after %v, want %v after 19 s to 21 s", err, took, errBroken)
		}
		warnedAfter := time.Duration(firstWarningAfter.Load())
		if warnedAfter < responseTimeout || warnedAfter > responseTimeout+20*time.Millisecond {
			t.Errorf("agent: reported unavailable after %v, want %v", warnedAfter, responseTimeout)
		}
		synctest.Wait()
		if open := agent.openCalls(); agent.maxOpen > maxOpenCalls || open > 0 {
			t.Errorf("agent: got %d calls open at the same time, %d at the end, want at most %d, none",
				agent.maxOpen, open, maxOpenCalls)
		}
	})
}

// warningHook is a logger that calls onWarning for each warning with an error.
type warningHook struct {
	logrus.FieldLogger
	onWarning func()
}

func (w warningHook) WithError(err error) *logrus.Entry {
	w.onWarning()
	return w.FieldLogger.WithError(err)
}
