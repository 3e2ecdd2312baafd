package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// Evidence is what an instance has seen of the newest build, in a form that another instance can take over.
// It is stored in checkpoints; the tags are the stored names.
type Evidence struct {
	Build   Build           `msgpack:"Build"`
	Stage   int             `msgpack:"Stage"`
	Classes []ClassEvidence `msgpack:"Groups"` // of this stage
	Counts  []EndpointCount `msgpack:"Counts"` // since the build was offered
}

// ClassEvidence holds the outcomes of one request class by build, oldest first. Each is a response time over
// the baseline's pace; a failure is infinite. Without a class name it holds those of all classes together.
type ClassEvidence struct {
	Class     ClassName `msgpack:"Group"`
	Baseline  []float64 `msgpack:"Blue"`
	Candidate []float64 `msgpack:"Grn"`
}

// EndpointCount holds how many requests of a class an endpoint has answered. Without an endpoint it stands
// for those that have left the list.
type EndpointCount struct {
	Endpoint  EndpointID `msgpack:"Node"`
	Build     Build      `msgpack:"Build"`
	Class     ClassName  `msgpack:"Group"`
	Succeeded float64    `msgpack:"Good"`
	Failed    float64    `msgpack:"Bad"`
}

// Evidence returns what this instance has seen of the newest build; false where none is in trial.
func (b *Balancer) Evidence() (Evidence, bool) {
	evidence := Evidence{Build: b.trial.update.Build, Stage: b.trial.update.Stage}
	if !b.trial.known || b.trial.update.Phase != InTrial {
		return evidence, false
	}
	for _, class := range b.classes.withOverall {
		evidence.Classes = append(evidence.Classes, ClassEvidence{
			Class:     class.Name,
			Baseline:  outcomesOf(class.baseline),
			Candidate: outcomesOf(class.candidate),
		})
	}
	for _, class := range b.classes.ordered {
		evidence.Counts = b.appendCounts(evidence.Counts, class)
	}
	return evidence, true
}

// appendCounts appends the counts of one class.
func (b *Balancer) appendCounts(counts []EndpointCount, class *classState) []EndpointCount {
	for _, ep := range b.endpoints.ordered {
		if outcomes := ep.outcomes[class.index]; outcomes.Total() > 0 {
			counts = append(counts, EndpointCount{
				Endpoint:  ep.ID,
				Build:     ep.Build,
				Class:     class.Name,
				Succeeded: outcomes.Good,
				Failed:    outcomes.Bad,
			})
		}
	}
	if departed := class.removedEndpoints; departed.Total() > 0 {
		counts = append(counts, EndpointCount{Class: class.Name, Succeeded: departed.Good, Failed: departed.Bad})
	}
	return counts
}

// outcomesOf returns the outcomes of a build that are kept, oldest first.
func outcomesOf(groups stats.Groups) []float64 {
	return slices.Concat(groups.Before, groups.Last, groups.Fill)
}

// acquireEvidence adds the evidence of another instance to this one's own: counts of the same build, and
// outcomes of the same stage, which enter the groups as this instance's own do.
func (b *Balancer) acquireEvidence(evidence Evidence) {
	if !b.trial.known || evidence.Build != b.trial.update.Build {
		return
	}
	for _, count := range evidence.Counts {
		b.acquireCount(count)
	}
	if evidence.Stage != b.trial.update.Stage {
		return
	}
	for _, outcomes := range evidence.Classes {
		class := b.classes.byName[outcomes.Class]
		if outcomes.Class == "" {
			class = b.classes.overall
		}
		if class == nil {
			continue
		}
		for _, value := range outcomes.Baseline {
			class.add(false, value)
		}
		for _, value := range outcomes.Candidate {
			class.add(true, value)
		}
	}
}

// acquireCount adds the count of one endpoint. Where a baseline endpoint has left since, its outcomes are
// kept as those of the others that have left.
func (b *Balancer) acquireCount(count EndpointCount) {
	class := b.classes.byName[count.Class]
	if class == nil {
		return
	}
	outcomes := stats.Count{Good: count.Succeeded, Bad: count.Failed}
	ep := b.endpoints.byID[count.Endpoint]
	switch {
	case ep != nil && ep.Build == count.Build:
		b.classes.addOutcomes(ep, class, outcomes)
	case count.Endpoint == "" || count.Build < b.trial.update.Build:
		class.removedEndpoints.Add(outcomes, 1)
		b.classes.overall.removedEndpoints.Add(outcomes, 1)
	}
}

// revokeEvidence forgets what was seen of the newest build, and the vote that came of it.
func (b *Balancer) revokeEvidence() {
	for _, class := range b.classes.all {
		class.resetCandidate()
		class.removedEndpoints = stats.Count{}
	}
	for _, ep := range b.endpoints.ordered {
		clear(ep.outcomes)
	}
	b.voting.vote = Vote{}
	b.voting.castAt = 0
}
