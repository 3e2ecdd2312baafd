package decision

import (
	"testing"
)

// The evidence that one instance requires follows from the number of instances and the quorum.
func TestThresholdsFollowQuorums(t *testing.T) {
	for _, test := range []struct{ instances, quorum, rejections int }{
		{3, 1, 2},
		{5, 1, 2},
		{60, 1, 3},
		{470, 1, 3},
		{200, 16, 1},
	} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) {
			s.Instances, s.RollbackQuorum = test.instances, test.quorum
		})
		rejectionsNeeded, statistic := sim.balancer.classes.overall.rejectionsNeeded, sim.balancer.thresholds.statistic
		oneDecides := statistic > 1.9*rejectStatistic
		if rejectionsNeeded != test.rejections || statistic < rejectStatistic || (test.quorum == 1) != oneDecides {
			t.Errorf("%+v: got %d required rejections and statistic %v, want %d, and at least %v, above 1.9 times that only with quorum 1",
				test, rejectionsNeeded, statistic, test.rejections, rejectStatistic)
		}
	}
}

// If one of hundreds of instances can hold the clock, one rejection by chance must not hold it. The number of required
// consecutive rejections follows from HoldQuorum as a share of the instances.
func TestHoldNeedsRejectionsByQuorum(t *testing.T) {
	for _, test := range []struct{ instances, hold, needed int }{
		{3, 1, 2},
		{17, 2, 2},
		{280, 1, 3},
		{650, 0, 3},
		{280, 28, 1},
	} {
		for rejections, want := range []Verdict{VoteNone, VoteNone, VoteNone, VoteNone} {
			if rejections >= test.needed {
				want = VoteHold
			}
			sim := start(t, trialUpdate(1, 0.5), func(s *Settings) {
				s.Instances, s.Control = test.instances, ByClock
				s.HoldQuorum, s.RollbackQuorum = test.hold, test.instances
			})
			sim.balancer.classes.ordered[0].rejections = rejections
			sim.balancer.outliers.lastFaultAt = sim.balancer.now // a fault prevents the vote to roll back
			if got := sim.balancer.decideVerdict(); rejections > 0 && got.verdict != want {
				t.Errorf("%+v, %d rejections: got verdict %v, %s, want %v", test, rejections, got.verdict, got.reason, want)
			}
		}
	}
}
