package decision

import (
	"testing"
)

// New settings reach a running balancer: open requests stay open and get one response, the required
// evidence follows the new settings, and the earlier settings restore it.
func TestSettingsChangeKeepsRequests(t *testing.T) {
	sim := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.Instances = 3 })
	was := sim.balancer.settings
	request, to := sim.request("pay", "")
	if to == "" {
		t.Fatal("no attempt was started")
	}
	next := was
	next.Instances, next.HoldQuorum, next.RollbackQuorum, next.Control = 600, 1, 30, ByClock
	sim.handle(SettingsChanged{Settings: next})
	balancer, open := sim.balancer, len(sim.balancer.requests.open)
	hold, rollback := balancer.thresholds.holdRejections, balancer.classes.overall.rejectionsNeeded
	if hold != 3 || rollback != 1 || balancer.settings.Control != ByClock || open != 1 {
		t.Errorf("after the change: hold after %d, rollback after %d, control %v, %d open", hold, rollback,
			balancer.settings.Control, open)
	}
	sim.endAttempt(request, 0, Succeeded, 30)
	open = len(balancer.requests.open)
	if n, _ := sim.responses(request); n != 0 || open != 0 {
		t.Errorf("a request that succeeded: %d responses of the balancer, %d open", n, open)
	}
	if sim.attemptedAt(request, 1) != "" {
		t.Error("the request was sent twice")
	}
	sim.handle(SettingsChanged{Settings: was})
	hold, rollback = balancer.thresholds.holdRejections, balancer.classes.overall.rejectionsNeeded
	settings := balancer.settings
	restored := settings.Control == ByVotes && settings.SlowStartWindow == was.SlowStartWindow
	if hold != 2 || rollback != 2 || !restored {
		t.Errorf("restored: hold after %d, rollback after %d, control %v", hold, rollback, settings.Control)
	}
}
