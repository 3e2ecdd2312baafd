package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	rejectProbability           = 0.05 // probability that rejectStatistic rejects a group without a difference
	outcomesWithoutGroupsFactor = 5    // outcomes for a vote without full groups, per ln(instances / AdvanceQuorum)
	// noOutcomesQuorum is the AdvanceQuorum from which a vote without full groups requires no outcomes of this instance.
	noOutcomesQuorum = 40
)

// evidenceThresholds holds the evidence that one instance requires for its votes. If one vote among hundreds of
// instances decides, each instance must have a low rate of false alarms, because a single false alarm decides.
// If many votes must agree, each instance may vote on less evidence.
type evidenceThresholds struct {
	statistic             float64 // statistic of the rank test on failures from which a build is rolled back
	rejections            int     // consecutive rejections for a vote to roll back
	holdRejections        int     // consecutive rejections for a vote to hold the clock
	outcomesWithoutGroups float64 // outcomes of the candidate for a vote to advance without full groups
}

// deriveThresholds derives the thresholds from the number of instances and the quorums.
func deriveThresholds(settings Settings) evidenceThresholds {
	instances := float64(max(1, settings.Instances))
	probability, rejections := allowedFalseAlarms(settings.RollbackQuorum, instances)
	_, holdRejections := allowedFalseAlarms(settings.HoldQuorum, instances)
	advance := float64(max(1, settings.AdvanceQuorum))
	withoutGroups := outcomesWithoutGroupsFactor * math.Log(instances/advance) * max(0, 1-advance/noOutcomesQuorum)
	return evidenceThresholds{
		statistic:             stats.CriticalValue(probability),
		rejections:            rejections,
		holdRejections:        holdRejections,
		outcomesWithoutGroups: withoutGroups,
	}
}

// allowedFalseAlarms returns the probability of a false alarm that each instance may have if this number of
// votes decides, and the number of consecutive rejections that lowers the test's probability to it. The factor
// exp(-4/sqrt(votes)) keeps the number of votes by chance clearly below the quorum: the smaller the quorum, the
// more that number varies relative to the quorum.
func allowedFalseAlarms(votes int, instances float64) (probability float64, rejections int) {
	neededVotes := float64(max(1, votes))
	probability = min(rejectProbability, neededVotes/instances*math.Exp(-4/math.Sqrt(neededVotes)))
	rejections = max(1, int(math.Round(math.Log(probability)/math.Log(rejectProbability))))
	return probability, rejections
}
