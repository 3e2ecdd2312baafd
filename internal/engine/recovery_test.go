package engine

import (
	"fmt"
	"strings"
	"testing"

	"ottershed/decision"
)

// After a panic the open requests fail, and a new module gets the endpoint list and the stage. After a second panic at
// the same time that state is not replayed again, because it may be the cause of the panic.
func TestPanicFailsRequestsAndRestartsModule(t *testing.T) {
	for name, panicsAgain := range map[string]bool{"one panic": false, "second panic at the same time": true} {
		t.Run(name, func(t *testing.T) {
			core := newHarness()
			core.deliver(eventReceived{decision.StageUpdate{Age: 5, Build: 7, IsVoteResult: true}})
			core.request(decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.WakeAt{At: 1010})
			core.now = 1100
			core.module.panicNext = true
			newModule := core.recovery.newModule
			core.recovery.newModule = func(seed uint64) module {
				m := newModule(seed).(*fakeModule)
				m.panicNext = panicsAgain && core.starts == 2
				return m
			}
			core.deliver(eventReceived{decision.ResponseFlagged{}})
			if core.results[0] != "2;0;false" || core.calls[len(core.calls)-1] != "cancel 1" {
				t.Errorf("result: got %q, want 2;0;false; calls: got %q, want cancel 1 last", core.results[0], core.calls)
			}
			want := "[]"
			if !panicsAgain {
				want = "[{2 0 [{a 0 0  0  0 0} {b 0 0  0  0 0}] 0} {105 7 0 false 0 0 0}]"
			}
			got := fmt.Sprint(core.module.received)
			got = strings.ReplaceAll(got, "{b 0 0  0  0 0} {a 0 0  0  0 0}", "{a 0 0  0  0 0} {b 0 0  0  0 0}")
			if _, timer := core.timers.next(); got != want || timer {
				t.Errorf("events: got %s, want %s; timer pending: got %v, want false", got, want, timer)
			}
			core.deliver(attemptEnded{1, 0, AttemptResult{Outcome: decision.Canceled}})
			if len(core.requests.open) != 0 {
				t.Error("open requests: got at least 1, want 0")
			}
		})
	}
}
