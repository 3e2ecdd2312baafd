package decision

import "math"

const (
	crossGainFactor     = 4.0  // share that crosses, for each share that crossing would bring in time
	maxCrossZoneShare   = 0.5  // of the requests cross while endpoints at home can take them, at most
	zoneLatencyWeight   = 0.15 // of the newest response
	crossZoneCutDivisor = 2.0  // of the share, for an attempt in another zone whose connection failed
	zoneRetryRate       = 0.15 // share of the gap to the base latency that closes in a slow start window
)

// crossZone decides what share of the requests is sent to another zone though endpoints at home could take
// them. An instance with little traffic knows too few endpoints to see free capacity elsewhere, so it goes by
// what it observes of either zone as a whole.
type crossZone struct {
	latency [2]Millis // smoothed response time, by zone
	gain    float64   // share of requests in time that another zone brings, beyond the price of crossing
	share   float64   // of the requests
}

// observeZone takes the outcome of an attempt into the response time of its zone. A zone that is cut off
// loses the requests that were sent over within a few attempts.
func (b *Balancer) observeZone(ep *endpoint, event AttemptEnded) {
	zone := b.zoneIndex(ep)
	switch event.Outcome {
	case Succeeded, TimedOut:
		b.crossZone.latency[zone] += zoneLatencyWeight * (event.After - b.crossZone.latency[zone])
	case Unreachable, ConnectionBroken, Canceled:
		if zone == otherZone {
			lost := max(event.After, b.classes.overall.LatencyObjective)
			b.crossZone.latency[otherZone] += zoneLatencyWeight * (lost - b.crossZone.latency[otherZone])
			b.crossZone.share /= crossZoneCutDivisor
		}
	}
}

// drawsCrossing draws whether a request may cross zones at no price.
func (b *Balancer) drawsCrossing() bool {
	if b.crossZone.share <= 0 || len(b.routing.eligible[otherZone]) == 0 {
		return false
	}
	return b.random.Next() < b.crossZone.share
}

// updateCrossZoneShare moves the share towards what the gain asks for. It moves slowly: all instances observe
// the same thing late and together, and in larger steps the zones would fill in turn. The other zone's
// response time falls to the lowest seen unless attempts there raise it, so that it is tried again.
func (b *Balancer) updateCrossZoneShare(capacity capacitySum) {
	zones := &b.crossZone
	window := b.settings.SlowStartWindow
	objective := b.classes.overall.LatencyObjective
	missing := b.load.baseLatency - zones.latency[otherZone]
	zones.latency[otherZone] += missing * zoneRetryRate * b.tickInterval / window
	lateAtHome := math.Exp(-objective / zones.latency[homeZone])
	lateElsewhere := math.Exp(-objective / zones.latency[otherZone])
	zones.gain = lateAtHome - lateElsewhere - b.settings.CrossZonePrice
	// The better an instance knows each endpoint by its own responses, the less it needs the average of a
	// zone.
	unobserved := 1 / (1 + b.load.serviceRate*capacity.warm*window/float64(len(b.endpoints.ordered)+1))
	wanted := min(maxCrossZoneShare, crossGainFactor*unobserved*max(0, zones.gain))
	zones.share += (wanted - zones.share) * b.tickInterval / window
}
