package decision

import (
	"fmt"
	"testing"
)

// Two balancers with the same settings, seed and events return the same actions.
func TestSameInputsGiveSameActions(t *testing.T) {
	run := func() string {
		sim := start(t, trialUpdate(1, 0.5), nil)
		for i := range 200 {
			req, to := sim.request([]ClassName{"read", "mark", "pay"}[i%3], Key(fmt.Sprint(i%9)))
			sim.advance(20)
			if to != "" && i%4 > 0 {
				sim.endAttempt(req, 0, Outcome(i%6), 30)
			}
		}
		return fmt.Sprint(sim.actions)
	}
	first, second := run(), run()
	if first != second {
		t.Error("got different actions in two runs, want the same")
	}
}
