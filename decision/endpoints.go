package decision

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ottershed/internal/stats"
)

// endpointTable is the endpoint list as last received.
type endpointTable struct {
	byID           map[EndpointID]*endpoint
	ordered        []*endpoint                 // by id
	byBuildAndZone [2][2][]*endpoint           // by side and by zone
	machineTypes   map[MachineType]*stats.Mean // pace of each type of machine that was ever listed
}

// endpoint is a listed endpoint with what was observed of it.
type endpoint struct {
	Endpoint

	inFlight         int
	latency          Millis        // smoothed response time
	failureShare     float64       // smoothed share of failures
	machineTypeRatio *stats.Mean   // of its type of machine, relative to the class
	outcomes         []stats.Count // by class and overall, since the candidate was offered
	lastResponseAt   Millis        // or the start of the first attempt in flight after it

	concurrencyLimit float64 // attempts in flight at most; concurrency.go
	warmingSince     Millis  // its start, as far as known; slowstart.go
	slowStartCredit  float64 // attempts that it may still get while it warms up; slowstart.go

	connectFailures int    // attempts in a row that found no connection or lost it; outlier.go
	ejections       int    // times in a row that it was ejected; outlier.go
	ejectedUntil    Millis // it gets nothing before; outlier.go

	healthCheckRatio float64 // duration of the last health check over that of an idle endpoint; healthcheck.go
	healthCheckedAt  Millis  // when that check came back; 0 once a request was sent there
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: map[EndpointID]*endpoint{}, machineTypes: map[MachineType]*stats.Mean{}}
}

// handleEndpoints takes over the endpoint list, or notes that a poll for it was rejected.
func (b *Balancer) handleEndpoints(event EndpointsChanged) {
	if event.Kind == PollRejected {
		b.pollRejected()
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

// applyEndpoint takes over one entry of the list. An endpoint that has restarted or runs another build is a
// new one.
func (b *Balancer) applyEndpoint(entry Endpoint) {
	ep := b.endpoints.byID[entry.ID]
	if ep != nil && (entry.State == Removed || ep.Started != entry.Started || ep.Build != entry.Build) {
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

func (b *Balancer) newEndpoint(entry Endpoint) *endpoint {
	ep := &endpoint{
		warmingSince:     entry.Started,
		latency:          b.load.meanLatency,
		concurrencyLimit: 1,
		slowStartCredit:  b.random.Next(),
		outcomes:         make([]stats.Count, len(b.classes.withOverall)),
		machineTypeRatio: cmp.Or(b.endpoints.machineTypes[entry.MachineType], &stats.Mean{}),
	}
	b.endpoints.byID[entry.ID] = ep
	b.endpoints.machineTypes[entry.MachineType] = ep.machineTypeRatio
	return ep
}

// dropEndpoint removes an endpoint from the table. Open requests may still refer to it. Outcomes of a
// baseline's endpoint are kept, for they go on being compared.
func (b *Balancer) dropEndpoint(ep *endpoint) {
	ep.State = Removed
	delete(b.endpoints.byID, ep.ID)
	if ep.Build >= b.trial.update.Build {
		return
	}
	for _, class := range b.classes.withOverall {
		class.departed.Add(ep.outcomes[class.index], 1)
	}
}

// partitionEndpoints sorts the list by side and zone.
func (b *Balancer) partitionEndpoints() {
	b.endpoints.byBuildAndZone = [2][2][]*endpoint{}
	for _, ep := range b.endpoints.ordered {
		part := &b.endpoints.byBuildAndZone[b.sideOf(ep)][b.zoneIndex(ep)]
		*part = append(*part, ep)
	}
}

// sideOf is candidateSide for endpoints of the newest build, else baselineSide.
func (b *Balancer) sideOf(ep *endpoint) int {
	return min(candidateSide, max(baselineSide, int(ep.Build-b.trial.update.Build)+1))
}

// zoneIndex is homeZone for endpoints in the instance's own zone, else otherZone.
func (b *Balancer) zoneIndex(ep *endpoint) int {
	if ep.Zone == b.settings.Zone {
		return homeZone
	}
	return otherZone
}

// capacitySum adds up the capacity of the endpoints that can be sent to.
type capacitySum struct {
	bySide [2]float64 // as it is now, warming endpoints by their weight
	warm   float64    // of endpoints that are warm
	full   float64    // as it will be once all are warm
}

func (b *Balancer) addCapacity(sum *capacitySum, ep *endpoint) {
	if ep.State != Serving || ep.ejections > 0 {
		return
	}
	weight := b.slowStartWeight(ep)
	sum.warm += ep.Capacity * math.Floor(weight)
	sum.bySide[b.sideOf(ep)] += ep.Capacity * weight
	sum.full += ep.Capacity
}
