package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// classTable holds the request classes of the settings, and two sets of samples beside them.
type classTable struct {
	byName  map[ClassName]*classState
	ordered []*classState // as in the settings

	// overall stands for all classes together, each outcome relative to its class's pace, so that an instance
	// with little traffic fills groups too.
	overall *classState
	// controller stands for the rollout controller's counts, which are the same for all instances.
	controller *classState

	withOverall []*classState // ordered and overall
	all         []*classState // ordered, overall and controller
}

// classState is a request class with what its outcomes say of the builds.
type classState struct {
	RequestClass
	index     int         // in the outcomes of an endpoint
	exposure  tokenBucket // with ExposurePerClass
	slowShare *float64    // share of responses that were slow for the latency objective
	samples
}

func newClassTable(settings Settings) classTable {
	exposure := tokenBucket{tokens: settings.FreeAttempts}
	table := classTable{
		byName:  map[ClassName]*classState{},
		overall: &classState{exposure: exposure, index: len(settings.Classes), slowShare: new(float64)},
		// All instances see the same counts, so that nothing is gained by asking for more rejections.
		controller: &classState{samples: samples{rejectionsNeeded: rejectionsToRollback}},
	}
	for i, class := range settings.Classes {
		state := &classState{RequestClass: class, index: i, exposure: exposure, slowShare: new(float64)}
		table.byName[class.Name] = state
		// Of two classes with one name the later one counts.
		table.ordered = append(table.ordered, table.byName[class.Name])
		table.overall.LatencyObjective = max(table.overall.LatencyObjective, class.LatencyObjective)
	}
	table.withOverall = append(slices.Clone(table.ordered), table.overall)
	table.all = append(slices.Clone(table.withOverall), table.controller)
	return table
}

// find returns the class of a request. One that the settings lack is taken for the overall class, whose
// idempotency is the most careful one.
func (t *classTable) find(name ClassName) *classState {
	if class := t.byName[name]; class != nil {
		return class
	}
	return t.overall
}

// count adds outcomes of an endpoint to those of their class and to the overall ones.
func (t *classTable) count(ep *endpoint, class *classState, outcomes stats.Count) {
	ep.outcomes[class.index].Add(outcomes, 1)
	ep.outcomes[t.overall.index].Add(outcomes, 1)
}
