package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// Evidence holds the outcomes that an instance has observed on the newest build, for another instance to take
// over. Checkpoints store it; the tags are the stored names.
type Evidence struct {
	Build   Build           `msgpack:"Build"`
	Stage   int             `msgpack:"Stage"`
	Classes []ClassEvidence `msgpack:"Groups"` // outcomes since the start of the stage
	Counts  []EndpointCount `msgpack:"Counts"` // outcomes since the build was offered
}

// ClassEvidence holds the outcomes of one request class by build, oldest first. The value of an outcome is its
// response time divided by the baseline's mean response time; the value of a failure is infinite. An empty class
// name stands for the overall class.
type ClassEvidence struct {
	Class     ClassName `msgpack:"Group"`
	Baseline  []float64 `msgpack:"Blue"`
	Candidate []float64 `msgpack:"Grn"`
}

// EndpointCount holds the number of succeeded and failed requests of one class at one endpoint. An empty
// endpoint stands for all baseline endpoints that were removed from the list.
type EndpointCount struct {
	Endpoint  EndpointID `msgpack:"Node"`
	Build     Build      `msgpack:"Build"`
	Class     ClassName  `msgpack:"Group"`
	Succeeded float64    `msgpack:"Good"`
	Failed    float64    `msgpack:"Bad"`
}

// Evidence returns the evidence of this instance on the newest build. It returns false if no build is in trial.
func (b *Balancer) Evidence() (Evidence, bool) {
	evidence := Evidence{Build: b.trial.update.Build, Stage: b.trial.update.Stage}
	if !b.trial.updateReceived || b.trial.update.Phase != InTrial {
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

// appendCounts appends the counts of one class by endpoint.
func (b *Balancer) appendCounts(counts []EndpointCount, class *classState) []EndpointCount {
	for _, ep := range b.endpoints.ordered {
		if outcomes := ep.outcomes[class.index]; outcomes.Total() > 0 {
			counts = append(counts, EndpointCount{
				Endpoint:  ep.ID,
				Build:     ep.Build,
				Class:     class.Name,
				Succeeded: outcomes.Successes,
				Failed:    outcomes.Failures,
			})
		}
	}
	if removed := class.removedEndpoints; removed.Total() > 0 {
		counts = append(counts, EndpointCount{Class: class.Name, Succeeded: removed.Successes, Failed: removed.Failures})
	}
	return counts
}

// outcomesOf returns all stored outcomes of a build, oldest first.
func outcomesOf(groups stats.Groups) []float64 {
	return slices.Concat(groups.Previous, groups.Last, groups.Partial)
}

// acquireEvidence adds the evidence of another instance to this instance's own: the counts if they are of the
// same build, and the outcomes if they are of the same build and stage. The outcomes enter groups in the same
// way as this instance's own outcomes.
func (b *Balancer) acquireEvidence(evidence Evidence) {
	if !b.trial.updateReceived || evidence.Build != b.trial.update.Build {
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

// acquireCount adds the count of one endpoint. The count of a baseline endpoint that was removed since is added
// to that of all removed endpoints.
func (b *Balancer) acquireCount(count EndpointCount) {
	class := b.classes.byName[count.Class]
	if class == nil {
		return
	}
	outcomes := stats.Count{Successes: count.Succeeded, Failures: count.Failed}
	ep := b.endpoints.byID[count.Endpoint]
	switch {
	case ep != nil && ep.Build == count.Build:
		b.classes.addOutcomes(ep, class, outcomes)
	case count.Endpoint == "" || count.Build < b.trial.update.Build:
		class.removedEndpoints.Add(outcomes, 1)
		b.classes.overall.removedEndpoints.Add(outcomes, 1)
	}
}

// revokeEvidence discards the evidence on the newest build and this instance's vote.
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
