package decision

import (
	"testing"
)

// New settings take effect in a running balancer. Open requests stay open and get one final response. The required
// evidence follows the new settings, and the earlier settings restore the earlier thresholds.
func TestSettingsChangeKeepsRequests(t *testing.T) {
	sim := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.Instances = 3 })
	before := sim.balancer.settings
	request, to := sim.request("pay", "")
	if to == "" {
		t.Fatal("got no attempt, want one")
	}
	changed := before
	changed.Instances, changed.HoldQuorum, changed.RollbackQuorum, changed.Control = 600, 1, 30, ByClock
	sim.handle(SettingsChanged{Settings: changed})
	balancer, open := sim.balancer, len(sim.balancer.requests.open)
	hold, rollback := balancer.thresholds.holdRejections, balancer.classes.overall.rejectionsNeeded
	if hold != 3 || rollback != 1 || balancer.settings.Control != ByClock || open != 1 {
		t.Errorf("after the change: got rejections to hold %d, to roll back %d, control %v, %d open requests, want 3, 1, ByClock and 1",
			hold, rollback, balancer.settings.Control, open)
	}
	sim.endAttempt(request, 0, Succeeded, 30)
	open = len(balancer.requests.open)
	if n, _ := sim.responses(request); n != 0 || open != 0 {
		t.Errorf("after a success: got %d responses of the balancer and %d open requests, want none", n, open)
	}
	if sim.attemptedAt(request, 1) != "" {
		t.Error("got a second attempt, want only the first")
	}
	sim.handle(SettingsChanged{Settings: before})
	hold, rollback = balancer.thresholds.holdRejections, balancer.classes.overall.rejectionsNeeded
	settings := balancer.settings
	restored := settings.Control == ByVotes && settings.SlowStartWindow == before.SlowStartWindow
	if hold != 2 || rollback != 2 || !restored {
		t.Errorf("after the restoration: got rejections to hold %d, to roll back %d, control %v, want 2, 2 and ByVotes", hold,
			rollback, settings.Control)
	}
}
