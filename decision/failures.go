package decision

import (
	"cmp"
	"math"
	"slices"

	"ottershed/internal/stats"
)

const (
	minFailures           = 2  // failures of the candidate from which they are evidence
	singleFailureQuorum   = 20 // RollbackQuorum from which a single failure is evidence, at half strength
	minReportedFailures   = 2  // failures of the candidate in the controller's counts from which they are evidence
	worstEndpointDivisor  = 4  // divisor: the worst quarter of the candidate's endpoints is excluded
	suspectedFailureRatio = 2  // ratio of shares of failures from which the candidate is suspected
)

// failureEvidence summarises the failures of the candidate.
type failureEvidence struct {
	strength float64 // highest test statistic of any class, as a multiple of the threshold for a rollback
	outcomes float64 // number of outcomes of the candidate, over all classes
	// suspected is set by at least one failure at more than twice the baseline's share. That is no proof, but
	// with a good build most instances of a large fleet see no such failure.
	suspected bool
}

// failureCounts holds the numbers of good and bad outcomes of one class.
type failureCounts struct {
	// baseline includes the endpoints that were removed from the list. Without them there would be nothing to
	// compare with once all baseline endpoints are replaced.
	baseline           stats.Count
	candidate          stats.Count // without the endpoints that countFailures excludes
	candidateAll       stats.Count // of all the candidate's endpoints
	candidateOutcomes  float64     // total of candidateAll
	candidateEndpoints float64     // number of listed endpoints that run the candidate
}

// failureEvidence compares the failures of both builds by a rank test on good and bad outcomes, in each class and
// in the overall class. The overall class comes last and determines the outcomes and suspected fields.
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

// countFailures adds up the outcomes of a class by build. Those of the worst quarter of the candidate's endpoints
// that failed more than once are excluded from candidate, because their failures may come from faults of the
// endpoints and not from the build. A single candidate endpoint is excluded only if a baseline endpoint fails at
// least half as often. Endpoints with one failure are not excluded: at an instance with one outcome per endpoint,
// the worst quarter would contain every failure.
func (b *Balancer) countFailures(class *classState) failureCounts {
	counts := failureCounts{baseline: class.removedEndpoints}
	worstBaseline := 0.0          // highest share of failures; one failure is not counted, as it may be chance
	var perEndpoint []stats.Count // of the candidate's endpoints with outcomes
	for _, ep := range b.endpoints.ordered {
		outcomes := ep.outcomes[class.index]
		switch {
		case ep.Build < b.trial.update.Build:
			counts.baseline.Add(outcomes, 1)
			worstBaseline = max(worstBaseline, (outcomes.Failures-1)/max(outcomes.Total(), 1))
		case ep.Build == b.trial.update.Build:
			counts.candidateEndpoints++
			if outcomes.Total() > 0 {
				perEndpoint = append(perEndpoint, outcomes)
			}
		}
	}
	worstFirst := func(a, b stats.Count) int { return cmp.Compare(b.Failures*a.Total(), a.Failures*b.Total()) }
	slices.SortFunc(perEndpoint, worstFirst)
	maxExcluded := (len(perEndpoint) + worstEndpointDivisor - 1) / worstEndpointDivisor
	for i, outcomes := range perEndpoint {
		counts.candidateAll.Add(outcomes, 1)
		counts.candidateOutcomes += outcomes.Total()
		keepOnlyEndpoint := counts.candidateEndpoints == 1 && 2*worstBaseline*outcomes.Total() < outcomes.Failures
		if outcomes.Failures < minFailures || i >= maxExcluded || keepOnlyEndpoint {
			counts.candidate.Add(outcomes, 1)
		}
	}
	return counts
}

// suspectsFailures reports whether few failures are reason enough not to vote to advance. It applies only where
// AdvanceQuorum is so high that an instance may vote to advance without any outcomes of its own.
func (b *Balancer) suspectsFailures(counts failureCounts) bool {
	all, baseline := counts.candidateAll, counts.baseline
	return b.thresholds.outcomesWithoutGroups == 0 && all.Failures >= 1 &&
		all.Failures*baseline.Total() > suspectedFailureRatio*(baseline.Failures+1)*all.Total()
}

// ownStrength returns the strength of the evidence from the instance's own outcomes. From singleFailureQuorum on
// a single failure counts half. If each of hundreds of instances with little traffic waited for a second failure,
// a failing build would advance. The strength is 0 with fewer failures than required, or if the candidate's share of
// failures is not above the baseline's.
func (b *Balancer) ownStrength(counts failureCounts) float64 {
	required := minFailures - math.Floor(min(1, float64(b.settings.RollbackQuorum)/singleFailureQuorum))
	baseline, candidate := counts.baseline, counts.candidate
	if candidate.Failures < required || candidate.Failures*baseline.Total() <= baseline.Failures*candidate.Total() {
		return 0
	}
	statistic := stats.KruskalWallisCounts(baseline, candidate)
	return statistic / b.thresholds.statistic * min(1, candidate.Failures/minFailures)
}

// reportedStrength returns the strength of the evidence from the controller's counts. The counts of each build
// are scaled down to one outcome per candidate endpoint, because the worst endpoints cannot be excluded from
// them. The strength is 0 with fewer than minReportedFailures, or if the candidate has no more failures than the
// baseline.
func reportedStrength(class *classState, counts failureCounts) float64 {
	baseline, candidate := class.reported[baselineSide], class.reported[candidateSide]
	if candidate.Failures < minReportedFailures || candidate.Failures <= baseline.Failures {
		return 0
	}
	endpoints := counts.candidateEndpoints
	return stats.KruskalWallisCounts(baseline.ScaledTo(endpoints), candidate.ScaledTo(endpoints)) / (2 * rejectStatistic)
}
