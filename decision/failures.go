package decision

import (
	"cmp"
	"math"
	"slices"

	"ottershed/internal/stats"
)

const (
	minFailures           = 2  // of the candidate that can prove it bad
	singleFailureQuorum   = 20 // RollbackQuorum from which a single failure counts, at half strength
	minReportedFailures   = 2  // failures by the controller's counts that can prove the candidate bad
	worstEndpointDivisor  = 4  // one in so many of the candidate's endpoints, the worst, is left out
	suspectedFailureRatio = 2  // share of failures over the baseline's from which there is a doubt
)

// failureEvidence is what failures say of the candidate.
type failureEvidence struct {
	strength float64 // the strongest sign in any class, as a multiple of what proves a bad build
	outcomes float64 // of the candidate that were seen, over all classes
	// suspected: a failure or more at twice the baseline's share. No proof, but most of many instances see
	// none in a good build.
	suspected bool
}

// failureCounts are the outcomes of one class.
type failureCounts struct {
	baseline           stats.Count // with endpoints that have left, or nothing is worse once all have
	candidate          stats.Count // without the worst endpoints
	candidateAll       stats.Count
	candidateOutcomes  float64 // outcomes in candidateAll
	candidateEndpoints float64
}

// failureEvidence compares the failures of both builds by the rank test on good and bad outcomes, in each
// class and in all of them together. The overall counts, which come last, give the number of outcomes and the
// doubt.
func (b *Balancer) failureEvidence() failureEvidence {
	var evidence failureEvidence
	for _, class := range b.classes.withOverall {
		counts := b.countFailures(class)
		evidence.outcomes = counts.candidateOutcomes
		evidence.suspected = b.suspectsFailures(counts)
		evidence.strength = max(evidence.strength, b.ownStrength(counts), reportedStrength(class, counts))
	}
	return evidence
}

// countFailures adds up a class's outcomes by build. The worst quarter of the candidate's endpoints is left
// out where they failed more than once: they are in trouble of their own. A single candidate endpoint is left
// out only if one of the baseline fails at least half as often. Where each endpoint was asked once, the worst
// quarter would be every failure that was seen.
func (b *Balancer) countFailures(class *classState) failureCounts {
	counts := failureCounts{baseline: class.removedEndpoints}
	worstBaseline := 0.0    // share of failures; one may be chance
	var asked []stats.Count // the outcomes of the candidate's endpoints that were asked anything
	for _, ep := range b.endpoints.ordered {
		outcomes := ep.outcomes[class.index]
		switch {
		case ep.Build < b.trial.update.Build:
			counts.baseline.Add(outcomes, 1)
			worstBaseline = max(worstBaseline, (outcomes.Bad-1)/max(outcomes.Total(), 1))
		case ep.Build == b.trial.update.Build:
			counts.candidateEndpoints++
			if outcomes.Total() > 0 {
				asked = append(asked, outcomes)
			}
		}
	}
	worstFirst := func(a, b stats.Count) int { return cmp.Compare(b.Bad*a.Total(), a.Bad*b.Total()) }
	slices.SortFunc(asked, worstFirst)
	worst := (len(asked) + worstEndpointDivisor - 1) / worstEndpointDivisor
	for i, outcomes := range asked {
		counts.candidateAll.Add(outcomes, 1)
		counts.candidateOutcomes += outcomes.Total()
		single := counts.candidateEndpoints == 1 && 2*worstBaseline*outcomes.Total() < outcomes.Bad
		if outcomes.Bad < minFailures || i >= worst || single {
			counts.candidate.Add(outcomes, 1)
		}
	}
	return counts
}

// doubtful tells whether the few failures seen speak against the candidate. It is used only where so many
// votes are needed that each instance needs no outcomes of its own to advance.
func (b *Balancer) suspectsFailures(counts failureCounts) bool {
	all, baseline := counts.candidateAll, counts.baseline
	return b.thresholds.outcomesWithoutGroups == 0 && all.Bad >= 1 &&
		all.Bad*baseline.Total() > suspectedFailureRatio*(baseline.Bad+1)*all.Total()
}

// ownStrength is the strength of the instance's own outcomes. Where many votes are needed one failure counts
// half: waiting for a second one each, hundreds of instances with little traffic would let a failing build
// advance.
func (b *Balancer) ownStrength(counts failureCounts) float64 {
	needed := minFailures - math.Floor(min(1, float64(b.settings.RollbackQuorum)/singleFailureQuorum))
	baseline, candidate := counts.baseline, counts.candidate
	if candidate.Bad < needed || candidate.Bad*baseline.Total() <= baseline.Bad*candidate.Total() {
		return 0
	}
	statistic := stats.KruskalWallisCounts(baseline, candidate)
	return statistic / b.thresholds.statistic * min(1, candidate.Bad/minFailures)
}

// reportedStrength is the strength of the controller's counts, each build's scaled down to one outcome an
// endpoint: the controller cannot leave out the worst endpoints.
func reportedStrength(class *classState, counts failureCounts) float64 {
	baseline, candidate := class.reported[baselineSide], class.reported[candidateSide]
	if candidate.Bad < minReportedFailures || candidate.Bad <= baseline.Bad {
		return 0
	}
	most := counts.candidateEndpoints
	return stats.KruskalWallisCounts(baseline.ScaledTo(most), candidate.ScaledTo(most)) / (2 * rejectStatistic)
}
