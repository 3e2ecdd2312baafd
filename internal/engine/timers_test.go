package engine

import (
	"fmt"
	"testing"

	"ottershed/decision"
)

func TestTimersFireInOrder(t *testing.T) {
	h := newHarness()
	h.request(
		decision.WakeAt{Token: 2, At: 1020}, decision.WakeAt{Token: 1, At: 1010}, decision.WakeAt{Token: 3, At: 1030},
	)
	for _, test := range []struct {
		now      decision.Millis
		received int             // events that the module has received so far
		next     decision.Millis // time of the next timer; 0 if none is set
	}{{1005, 1, 1010}, {1020, 3, 1030}, {1031, 4, 0}} {
		h.fireTimers(test.now)
		if next, _ := h.timers.next(); next != test.next || len(h.module.received) != test.received {
			t.Errorf("at %g: next timer: got %g, want %g; events: got %d, want %d", test.now, next, test.next,
				len(h.module.received), test.received)
		}
	}
	if got := fmt.Sprint(h.module.received[1:]); got != "[{1} {2} {3}]" {
		t.Errorf("tokens of the fired timers: got %s, want [{1} {2} {3}]", got)
	}
}
