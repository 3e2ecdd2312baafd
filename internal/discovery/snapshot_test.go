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

// An agent that was down answers none of the calls it took meanwhile: calls for a full snapshot follow each other
// well within the grace for drains, so that it is received as soon as the agent is back; so is the list of one that
// is slower than that.
func TestAgentBack(t *testing.T) {
	for name, test := range map[string]struct {
		lost int           // calls that are never answered
		slow time.Duration // until the others are
	}{
		"back after an outage":     {lost: 40},
		"slower than calls follow": {slow: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			back := make(chan time.Time, 1)
			address := fakeAgent(t, func(r *http.Request) reply {
				if int(calls.Add(1)) <= test.lost || r.URL.RawQuery != "" {
					return reply{}
				}
				select {
				case back <- time.Now():
				default:
				}
				time.Sleep(test.slow)
				return reply{body: list(41, true, "Ready")}
			})
			updates := make(chan engine.EndpointUpdate, 10)
			watcher := New(address, nil, settings.Network{DrainGrace: 40},
				func(update engine.EndpointUpdate) { updates <- update }, quiet())
			if watcher.hedgeAfter != 10*time.Millisecond || watcher.retryDelay > watcher.hedgeAfter {
				t.Errorf("another call after %v, after a failure after %v", watcher.hedgeAfter, watcher.retryDelay)
			}
			// Ten calls at most are open; forty are lost in some four such times.
			watcher.responseTimeout = 100 * time.Millisecond
			_, stop := follow(t, watcher)
			expect(t, updates, 41, 10*time.Second)
			if got := int(calls.Load()); got < test.lost+1 {
				t.Errorf("list 41 after %d calls", got)
			}
			stop()
			if len(back) != 1 {
				t.Error("no call reached the agent once it was back")
			}
		})
	}
}

// However short the grace, few calls are open to an agent that does not respond, since each takes a descriptor; and the
// response to the first of them is received when it comes at last.
func TestFewCalls(t *testing.T) {
	updates, first := make(chan engine.EndpointUpdate, 10), make(chan struct{})
	var calls, open, most atomic.Int64
	address := fakeAgent(t, func(r *http.Request) reply {
		number := calls.Add(1)
		now := open.Add(1)
		defer open.Add(-1)
		most.Store(max(most.Load(), now))
		if number == 4*maxOpenCalls {
			close(first)
		}
		// Calls may arrive in another order than they were sent. Of the first ones, only that which was sent first is open
		// by the time that so many have come: the others had to make room.
		if number <= maxOpenCalls {
			select {
			case <-first:
				return reply{body: list(41, true, "Ready")}
			case <-r.Context().Done():
			}
		}
		<-r.Context().Done()
		return reply{}
	})
	watcher := New(address, nil, settings.Network{DrainGrace: 8},
		func(update engine.EndpointUpdate) { updates <- update }, quiet())
	watcher.responseTimeout = 10 * time.Second
	follow(t, watcher)
	expect(t, updates, 41, 10*time.Second)
	// The stand-in sees the end of a call a moment late.
	if most.Load() > 2*maxOpenCalls {
		t.Errorf("%d calls open at once, want %d or hardly more", most.Load(), maxOpenCalls)
	}
}

// Of two calls beside each other the first response counts, and the other is never delivered: an older list does not
// come after a newer one.
func TestTwoResponses(t *testing.T) {
	updates, second := make(chan engine.EndpointUpdate, 10), make(chan struct{})
	var calls atomic.Int64
	canceled := make(chan struct{})
	watcher := New(fakeAgent(t, func(r *http.Request) reply {
		switch calls.Add(1) {
		case 1: // slow, and older
			<-second
			select {
			case <-r.Context().Done():
				close(canceled)
			case <-time.After(10 * time.Second):
			}
			return reply{body: list(41, true, "Ready")}
		case 2:
			close(second)
			return reply{body: list(42, true, "Terminating")}
		case 3:
			<-canceled
			return reply{body: list(43, false, "Gone")}
		}
		return reply{}
	}), nil, settings.Network{DrainGrace: 100}, func(update engine.EndpointUpdate) { updates <- update }, quiet())
	watcher.responseTimeout, watcher.watchTimeout = 20*time.Second, 20*time.Second
	follow(t, watcher)
	expect(t, updates, 42, 10*time.Second)
	expect(t, updates, 43, 10*time.Second)
}

// hedgeInterval is the time between the calls of slowWatch.
const hedgeInterval = 10 * time.Millisecond

// slowCase is how an agent is slow, and what is expected of the calls to it.
type slowCase struct {
	response func(call int) []piece // to a full snapshot call
	version  int64                  // of the list that is delivered
	at       time.Duration          // when it is
	calls    int                    // until then; 0: any
	decoding time.Duration          // how long each list takes
}

// The list of an agent that responds late, or slowly, is received within the time in which the operators count a
// change as notified; calls beside each other neither end nor slow down the one whose response comes.
func TestSlowAgent(t *testing.T) {
	older, newer := list(41, true, "Ready"), list(42, true, "Terminating")
	for name, test := range map[string]slowCase{
		"each response three seconds late": {
			response: func(int) []piece { return []piece{{3 * time.Second, older}} },
			version:  41, at: 3 * time.Second,
		},
		"an outage, then half a second late": {response: func(call int) []piece {
			if call < 250 { // 2.5 s
				return []piece{never}
			}
			return []piece{{500 * time.Millisecond, older}}
		}, version: 41, at: 3500 * time.Millisecond},
		"only the second long-lived call has a response": {response: func(call int) []piece {
			if call == 101 {
				return []piece{{3500 * time.Millisecond, older}} // when the first has been given up
			}
			return []piece{never}
		}, version: 41, at: 4500 * time.Millisecond},
		"in pieces for three seconds": {
			response: func(int) []piece { return evenly(300*time.Millisecond, older, 10) },
			version:  41, at: 3 * time.Second,
		},
		"steadily, longer than calls follow": {response: func(call int) []piece {
			if call == 1 {
				return append([]piece{{after: 5 * time.Millisecond}}, evenly(100*time.Millisecond, older, 10)...)
			}
			return []piece{{0, newer}}
		}, version: 41, at: 1005 * time.Millisecond, calls: 1},
		"steadily, and too long": {response: func(call int) []piece {
			if call == 1 {
				return append([]piece{{after: 5 * time.Millisecond}}, evenly(150*time.Millisecond, older, 30)...)
			}
			return []piece{{0, newer}}
		}, version: 42, at: snapshotTimeout, calls: 2},
		"only a part": {response: func(call int) []piece {
			if call == 1 {
				return []piece{{5 * time.Millisecond, older[:20]}, never}
			}
			return []piece{{0, newer}}
		}, version: 42, at: stallTimeout + hedgeInterval, calls: 2},
		"a part, and the rest when another response has come": {response: func(call int) []piece {
			if call == 1 {
				return []piece{{5 * time.Millisecond, older[:20]}, {stallTimeout + hedgeInterval, older[20:]}}
			}
			return []piece{{0, newer}}
		}, version: 42, at: stallTimeout + hedgeInterval, calls: 2},
		"long to decode": {
			response: func(call int) []piece { return []piece{{5 * time.Millisecond, older}} },
			version:  41, at: 1005 * time.Millisecond, calls: 1, decoding: time.Second,
		},
		"slow to read and long to decode": {response: func(call int) []piece {
			return append([]piece{{after: 5 * time.Millisecond}}, evenly(390*time.Millisecond, older, 10)...)
		}, version: 41, at: 4905 * time.Millisecond, decoding: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, test.check)
		})
	}
}

// check runs a watch on an agent of this case, in the time of synctest.
func (c slowCase) check(t *testing.T) {
	t.Helper()
	updates := make(chan engine.EndpointUpdate, 10)
	agent := &slowAgent{respond: func(call int, since string) []piece {
		if since != "" {
			return []piece{never}
		}
		return c.response(call)
	}}
	slow := slowWatch(agent, offerTo(updates))
	slow.decode = func(raw []byte) (engine.EndpointUpdate, error) {
		time.Sleep(c.decoding)
		return Decode(raw)
	}
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	go slow.run(ctx)
	defer time.Sleep(c.decoding + time.Millisecond) // what is being decoded goes on to its end
	defer cancel()
	select {
	case update := <-updates:
		c.checkUpdate(t, agent, update, time.Since(began))
	case <-time.After(20 * time.Second):
		t.Fatal("no list was delivered")
	}
	time.Sleep(5 * time.Millisecond)
	if len(updates) > 0 {
		t.Errorf("then list %d was delivered", (<-updates).Version)
	}
}

// checkUpdate checks the first update, which took so long, and the calls until then.
func (c slowCase) checkUpdate(t *testing.T, agent *slowAgent, update engine.EndpointUpdate, took time.Duration) {
	t.Helper()
	agent.mu.Lock()
	calls, most := len(agent.calls), agent.most
	agent.mu.Unlock()
	if update.Version != c.version || took < c.at || took > c.at+hedgeInterval {
		t.Errorf("list %d delivered after %v, want %d after %v", update.Version, took, c.version, c.at)
	}
	if c.calls > 0 && calls > c.calls+1 { // the next watch may be out
		t.Errorf("%d calls, want %d", calls, c.calls)
	}
	if most > maxOpenCalls {
		t.Errorf("%d calls open at once, want %d at most", most, maxOpenCalls)
	}
}

// To an agent that does not respond, however long, no more calls are open than there are descriptors for, and it is
// said to be unavailable after a second; a connection that breaks ends the waiting.
func TestLongSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agent := &slowAgent{respond: func(call int, _ string) []piece {
			if call == 2000 { // after 20 s
				return nil
			}
			return []piece{never}
		}}
		slow := slowWatch(agent, func(engine.EndpointUpdate) { t.Error("a list was delivered") })
		began := time.Now()
		var warned atomic.Int64
		slow.log = warnings{slow.log, func() { warned.CompareAndSwap(0, int64(time.Since(began))) }}
		_, err := slow.next(t.Context())
		if took := time.Since(began); !errors.Is(err, errBroken) || took < 19*time.Second || took > 21*time.Second {
			t.Errorf("after %v: %v, want %v", took, err, errBroken)
		}
		if at := time.Duration(warned.Load()); at < responseTimeout || at > responseTimeout+20*time.Millisecond {
			t.Errorf("said to be unavailable after %v, want %v", at, responseTimeout)
		}
		synctest.Wait()
		if open := agent.open(); agent.most > maxOpenCalls || open > 0 {
			t.Errorf("%d calls open at once, %d in the end, want %d and none", agent.most, open, maxOpenCalls)
		}
	})
}

// warnings is a log that calls warned with each warning.
type warnings struct {
	logrus.FieldLogger
	warned func()
}

func (w warnings) WithError(err error) *logrus.Entry {
	w.warned()
	return w.FieldLogger.WithError(err)
}
