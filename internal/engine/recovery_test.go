package engine

import (
	"fmt"
	"strings"
	"testing"

	"ottershed/decision"
)

// A panic fails the open requests and restarts the module with the endpoint list and the stage. A second panic at the
// same moment does not lead to a third one.
func TestPanic(t *testing.T) {
	for name, twice := range map[string]bool{"once": false, "again at once": true} {
		t.Run(name, func(t *testing.T) {
			core := newHarness()
			core.deliver(eventReceived{decision.StageUpdate{Age: 5, Build: 7, IsVoteResult: true}})
			core.request(decision.StartAttempt{Request: 1, Endpoint: "a"}, decision.WakeAt{At: 1010})
			core.now = 1100
			core.module.panicNext = true
			old := core.recovery.start
			core.recovery.start = func(seed uint64) module {
				m := old(seed).(*fakeModule)
				m.panicNext = twice && core.starts == 2
				return m
			}
			core.deliver(eventReceived{decision.ResponseFlagged{}})
			if core.results[0] != "2;0;false" || core.calls[len(core.calls)-1] != "cancel 1" {
				t.Errorf("result %q, calls %q", core.results[0], core.calls)
			}
			want := "[]"
			if !twice {
				want = "[{2 0 [{a 0 0  0  0 0} {b 0 0  0  0 0}]} {105 7 0 false 0 0 0}]"
			}
			got := fmt.Sprint(core.module.received)
			got = strings.ReplaceAll(got, "{b 0 0  0  0 0} {a 0 0  0  0 0}", "{a 0 0  0  0 0} {b 0 0  0  0 0}")
			if _, timer := core.timers.next(); got != want || timer {
				t.Errorf("received %s, want %s; timer %v", got, want, timer)
			}
			core.deliver(attemptEnded{1, 0, AttemptResult{Outcome: decision.Canceled}})
			if len(core.requests.open) != 0 {
				t.Error("a request stayed open")
			}
		})
	}
}
