package decision

import (
	"testing"
)

// How much evidence one instance needs follows from the number of instances and the votes that decide.
func TestThresholdsFollowQuorums(t *testing.T) {
	for _, test := range []struct{ instances, back, rejections int }{
		{3, 1, 2},
		{5, 1, 2},
		{60, 1, 3},
		{470, 1, 3},
		{200, 16, 1},
	} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) {
			s.Instances, s.RollbackQuorum = test.instances, test.back
		})
		rejections, statistic := sim.balancer.classes.overall.rejectionsNeeded, sim.balancer.thresholds.statistic
		oneDecides := statistic > 1.9*rejectStatistic
		if rejections != test.rejections || statistic < rejectStatistic || (test.back == 1) != oneDecides {
			t.Errorf("%+v: %d rejections, statistic %v", test, rejections, statistic)
		}
	}
}

// Where one of hundreds of instances can hold the rollout, a single chance rejection must not: the number
// of rejections in a row follows from the share of the instances that hold.
func TestHoldNeedsRejectionsByQuorum(t *testing.T) {
	for _, test := range []struct{ instances, hold, rejects int }{
		{3, 1, 2},
		{17, 2, 2},
		{280, 1, 3},
		{650, 0, 3},
		{280, 28, 1},
	} {
		for rejects, want := range []Verdict{VoteNone, VoteNone, VoteNone, VoteNone} {
			if rejects >= test.rejects {
				want = VoteHold
			}
			sim := start(t, trialUpdate(1, 0.5), func(s *Settings) {
				s.Instances, s.Control = test.instances, ByClock
				s.HoldQuorum, s.RollbackQuorum = test.hold, test.instances
			})
			sim.balancer.classes.ordered[0].rejections = rejects
			sim.balancer.outliers.lastFaultAt = sim.balancer.now // no rollback during a fault
			if got := sim.balancer.decideVerdict(); rejects > 0 && got.verdict != want {
				t.Errorf("%+v with %d rejections: %v, %s", test, rejects, got.verdict, got.reason)
			}
		}
	}
}
