package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	rejectProbability = 0.05 // of a rejection without a difference, by rejectStatistic
	blindOutcomesUnit = 5    // outcomes that a vote without full groups takes, times the logarithm below
	blindQuorumEnough = 40   // votes to advance from which those instances together are proof enough
)

// proof is how much evidence one instance needs. Where one of hundreds of votes decides, somebody's chance
// evidence would roll a good build back, and the instance with the luckiest outcomes would advance a bad one;
// where many must agree, none sees as much as one of a handful would.
type proof struct {
	statistic      float64 // of the test on failures, that proves a bad build
	rejections     int     // in a row, that roll a build back
	holdRejections int     // in a row, that hold the clock
	blindOutcomes  float64 // of the candidate, that a vote to advance without full groups takes; 0: none
}

// requiredProof derives the evidence from the number of instances and the votes that decide.
func requiredProof(settings Settings) proof {
	instances := float64(max(1, settings.Instances))
	alarm, rejections := falseAlarm(settings.RollbackQuorum, instances)
	_, holdRejections := falseAlarm(settings.HoldQuorum, instances)
	advance := float64(max(1, settings.AdvanceQuorum))
	blind := blindOutcomesUnit * math.Log(instances/advance) * max(0, 1-advance/blindQuorumEnough)
	return proof{
		statistic:      stats.ExceededBy(alarm),
		rejections:     rejections,
		holdRejections: holdRejections,
		blindOutcomes:  blind,
	}
}

// falseAlarm is the probability of a false alarm that an instance may take where so many votes of all
// instances decide, and the rejections in a row that bring it down to that.
func falseAlarm(votes int, instances float64) (probability float64, rejections int) {
	needed := float64(max(1, votes))
	probability = min(rejectProbability, needed/instances*math.Exp(-4/math.Sqrt(needed)))
	rejections = max(1, int(math.Round(math.Log(probability)/math.Log(rejectProbability))))
	return probability, rejections
}
