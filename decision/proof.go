package decision

import (
	"math"

	"ottershed/internal/stats"
)

const (
	rejectProbability           = 0.05 // of a rejection without a difference, by rejectStatistic
	outcomesWithoutGroupsFactor = 5    // outcomes that a vote without full groups needs, times ln(instances / AdvanceQuorum)
	noOutcomesQuorum            = 40   // AdvanceQuorum from which an instance needs no outcomes of its own for such a vote
)

// proof is how much evidence one instance needs. Where one vote of hundreds decides, each instance needs a
// lower rate of false alarms, for one false alarm among them would decide. Where many must agree, each may
// vote on less.
type evidenceThresholds struct {
	statistic             float64 // of the test on failures, that proves a bad build
	rejections            int     // in a row, that roll a build back
	holdRejections        int     // in a row, that hold the clock
	outcomesWithoutGroups float64 // of the candidate, that a vote to advance without full groups takes; 0: none
}

// requiredProof derives the evidence from the number of instances and the votes that decide.
func deriveThresholds(settings Settings) evidenceThresholds {
	instances := float64(max(1, settings.Instances))
	alarm, rejections := allowedFalseAlarms(settings.RollbackQuorum, instances)
	_, holdRejections := allowedFalseAlarms(settings.HoldQuorum, instances)
	advance := float64(max(1, settings.AdvanceQuorum))
	blind := outcomesWithoutGroupsFactor * math.Log(instances/advance) * max(0, 1-advance/noOutcomesQuorum)
	return evidenceThresholds{
		statistic:             stats.ExceededBy(alarm),
		rejections:            rejections,
		holdRejections:        holdRejections,
		outcomesWithoutGroups: blind,
	}
}

// falseAlarm is the probability of a false alarm that each instance is allowed when so many votes of all
// instances decide, and the rejections in a row that bring its test down to that. The factor
// exp(-4/sqrt(votes)) keeps the sum of chance votes clearly below the quorum: the smaller the quorum, the
// more chance varies against it.
func allowedFalseAlarms(votes int, instances float64) (probability float64, rejections int) {
	needed := float64(max(1, votes))
	probability = min(rejectProbability, needed/instances*math.Exp(-4/math.Sqrt(needed)))
	rejections = max(1, int(math.Round(math.Log(probability)/math.Log(rejectProbability))))
	return probability, rejections
}
