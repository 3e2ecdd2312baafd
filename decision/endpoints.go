package decision

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ottershed/internal/stats"
)

// endpointTable holds the current endpoint list.
type endpointTable struct {
	byID           map[EndpointID]*endpoint
	ordered        []*endpoint                 // sorted by ID
	byBuildAndZone [2][2][]*endpoint           // by side and zone
	machineTypes   map[MachineType]*stats.Mean // machineTypeRatio of each type that was ever listed
}

// endpoint is an entry of the endpoint list with the observations on it.
type endpoint struct {
	Endpoint

	inFlight         int
	latency          Millis        // smoothed response time
	failureShare     float64       // smoothed share of failed attempts
	machineTypeRatio *stats.Mean   // response time on its type of machine, divided by the mean of the class
	outcomes         []stats.Count // by class and overall, since the newest build was offered
	lastResponseAt   Millis        // time of the last response, or start of the first attempt after an idle time

	concurrencyLimit float64 // limit on attempts in flight; concurrency.go
	warmingSince     Millis  // start of its slow start; slowstart.go
	slowStartCredit  float64 // attempts that may start at it during slow start; slowstart.go

	connectFailures int    // consecutive attempts with a failed or broken connection; outlier.go
	ejections       int    // consecutive ejections; 0: not ejected; outlier.go
	ejectedUntil    Millis // no attempt starts at it before this time; outlier.go

	healthCheckRatio float64 // duration of its last health check, divided by that of an idle endpoint; healthcheck.go
	healthCheckedAt  Millis  // end of its last health check; 0 once an attempt has started at it since
}

// newEndpointTable returns an empty table.
func newEndpointTable() endpointTable {
	return endpointTable{byID: map[EndpointID]*endpoint{}, machineTypes: map[MachineType]*stats.Mean{}}
}

// handleEndpoints applies an update of the endpoint list, or backs off after a rejected poll.
func (b *Balancer) handleEndpoints(event EndpointsChanged) {
	if event.Kind == PollRejected {
		b.pollRejected(event.PollDuration)
		return
	}
	b.polling.backoff = 0
	listed := map[EndpointID]bool{}
	for _, entry := range event.Endpoints {
		listed[entry.ID] = true
		b.applyEndpoint(entry)
	}
	if event.Kind != Delta {
		for _, ep := range b.endpoints.ordered {
			if !listed[ep.ID] {
				b.dropEndpoint(ep)
			}
		}
	}
	byID := func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) }
	b.endpoints.ordered = slices.SortedFunc(maps.Values(b.endpoints.byID), byID)
	b.partitionEndpoints()
}

// applyEndpoint applies one entry of the list. An endpoint that has restarted or runs another build replaces
// the earlier endpoint, so that observations from before do not apply to it.
func (b *Balancer) applyEndpoint(entry Endpoint) {
	ep := b.endpoints.byID[entry.ID]
	if ep != nil && (entry.State == Removed || ep.StartedAt != entry.StartedAt || ep.Build != entry.Build) {
		b.dropEndpoint(ep)
		ep = nil
	}
	if entry.State != Removed && ep == nil {
		ep = b.newEndpoint(entry)
	}
	if ep != nil {
		ep.Endpoint = entry
	}
}

// newEndpoint adds an endpoint without observations to the table.
func (b *Balancer) newEndpoint(entry Endpoint) *endpoint {
	ep := &endpoint{
		warmingSince:     entry.StartedAt,
		latency:          b.load.meanLatency,
		concurrencyLimit: 1,
		slowStartCredit:  b.random.Float64(),
		outcomes:         make([]stats.Count, len(b.classes.withOverall)),
		machineTypeRatio: cmp.Or(b.endpoints.machineTypes[entry.MachineType], &stats.Mean{}),
	}
	b.endpoints.byID[entry.ID] = ep
	b.endpoints.machineTypes[entry.MachineType] = ep.machineTypeRatio
	return ep
}

// dropEndpoint removes an endpoint from the table. Open requests may still refer to it. The outcomes of a
// baseline endpoint are kept, because the candidate's outcomes are compared with them later too.
func (b *Balancer) dropEndpoint(ep *endpoint) {
	ep.State = Removed
	delete(b.endpoints.byID, ep.ID)
	if ep.Build >= b.trial.update.Build {
		return
	}
	for _, class := range b.classes.withOverall {
		class.removedEndpoints.Add(ep.outcomes[class.index], 1)
	}
}

// partitionEndpoints groups the endpoints by side and zone.
func (b *Balancer) partitionEndpoints() {
	b.endpoints.byBuildAndZone = [2][2][]*endpoint{}
	for _, ep := range b.endpoints.ordered {
		partition := &b.endpoints.byBuildAndZone[b.sideOf(ep)][b.zoneIndex(ep)]
		*partition = append(*partition, ep)
	}
}

// sideOf returns candidateSide for an endpoint of the newest build or a later one, else baselineSide.
func (b *Balancer) sideOf(ep *endpoint) int {
	return min(candidateSide, max(baselineSide, int(ep.Build-b.trial.update.Build)+1))
}

// zoneIndex returns homeZone for an endpoint in the instance's zone, else otherZone.
func (b *Balancer) zoneIndex(ep *endpoint) int {
	if ep.Zone == b.settings.Zone {
		return homeZone
	}
	return otherZone
}

// capacitySum is the total capacity of the endpoints that are Serving and not ejected.
type capacitySum struct {
	bySide [2]float64 // current capacity by side: that of warming endpoints counts by their slow start weight
	warm   float64    // capacity of the warm endpoints
	full   float64    // capacity once all endpoints are warm
}

// addCapacity adds the capacity of an endpoint to a sum.
func (b *Balancer) addCapacity(sum *capacitySum, ep *endpoint) {
	if ep.State != Serving || ep.ejections > 0 {
		return
	}
	weight := b.slowStartWeight(ep)
	sum.warm += ep.Capacity * math.Floor(weight)
	sum.bySide[b.sideOf(ep)] += ep.Capacity * weight
	sum.full += ep.Capacity
}
