package decision

import (
	"slices"

	"ottershed/internal/stats"
)

// classTable holds the request classes of the settings and two additional pseudo-classes.
type classTable struct {
	byName  map[ClassName]*classState
	ordered []*classState // in the order of Settings.Classes

	// overall combines the outcomes of all classes, each relative to the mean response time of its class. An
	// instance with little traffic would fill no groups by class alone.
	overall *classState
	// controller holds the rollout controller's counts, which are the same for all instances.
	controller *classState

	withOverall []*classState // ordered and overall
	all         []*classState // ordered, overall and controller
}

// classState is a request class with its outcomes by build.
type classState struct {
	RequestClass
	index     int         // index of the class in endpoint.outcomes; not used for controller
	exposure  tokenBucket // tokens of this class alone; used only if Settings.ExposurePerClass is set
	slowShare *float64    // smoothed share of responses that were slow, by slowResponseShare
	samples
}

// newClassTable returns the table for the classes of the settings.
func newClassTable(settings Settings) classTable {
	exposure := tokenBucket{tokens: settings.FreeAttempts}
	table := classTable{
		byName:  map[ClassName]*classState{},
		overall: &classState{exposure: exposure, index: len(settings.Classes), slowShare: new(float64)},
		// All instances see the same counts, so more instances do not cause more false alarms, and requiring more
		// rejections gains nothing.
		controller: &classState{samples: samples{rejectionsNeeded: rejectionsToRollback}},
	}
	for i, class := range settings.Classes {
		state := &classState{RequestClass: class, index: i, exposure: exposure, slowShare: new(float64)}
		// Of two classes with the same name, the later one gets all requests. The earlier one stays in ordered.
		table.byName[class.Name] = state
		table.ordered = append(table.ordered, table.byName[class.Name])
		table.overall.LatencyObjective = max(table.overall.LatencyObjective, class.LatencyObjective)
	}
	table.withOverall = append(slices.Clone(table.ordered), table.overall)
	table.all = append(slices.Clone(table.withOverall), table.controller)
	return table
}

// find returns the class with a name. An unknown name maps to the overall class, which is NonIdempotent, the
// safest assumption.
func (t *classTable) find(name ClassName) *classState {
	if class := t.byName[name]; class != nil {
		return class
	}
	return t.overall
}

// addOutcomes adds outcomes to the endpoint's counts for their class and for the overall class.
func (t *classTable) addOutcomes(ep *endpoint, class *classState, outcomes stats.Count) {
	ep.outcomes[class.index].Add(outcomes, 1)
	ep.outcomes[t.overall.index].Add(outcomes, 1)
}
