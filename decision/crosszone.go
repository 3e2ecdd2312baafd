package decision

import "math"

const (
	crossGainFactor     = 4.0  // ratio of the target of the cross-zone share to crossZone.gain
	maxCrossZoneShare   = 0.5  // maximum of crossZone.share
	zoneLatencyWeight   = 0.15 // weight of the newest response in a zone's response time
	crossZoneCutDivisor = 2.0  // divides the cross-zone share for each failed connection in another zone
	// zoneRetryRate is the share of the gap between the other zone's response time and the base latency that closes
	// per slow start window.
	zoneRetryRate = 0.15
)

// crossZone determines the share of requests that is sent to other zones although endpoints in the home zone are
// available. An instance with little traffic has outcomes from too few endpoints to detect free capacity in
// other zones, so the share follows from the response times of whole zones.
type crossZone struct {
	latency [2]Millis // smoothed response time by zone
	gain    float64   // estimated share of requests that meet their objective only in another zone, less CrossZonePrice
	share   float64   // cross-zone share: share of requests sent to other zones, 0 to maxCrossZoneShare
}

// observeZone updates the response time of a zone with the outcome of an attempt. When another zone is unreachable,
// the cross-zone share falls to almost 0 within a few attempts. Successes and timeouts count with their duration,
// failed connections and cancellations only in another zone, and other outcomes nowhere.
func (b *Balancer) observeZone(ep *endpoint, event AttemptEnded) {
	zone := b.zoneIndex(ep)
	switch event.Outcome {
	case Succeeded, TimedOut:
		b.crossZone.latency[zone] += zoneLatencyWeight * (event.After - b.crossZone.latency[zone])
	case Unreachable, ConnectionBroken, Canceled:
		if zone == otherZone {
			penalty := max(event.After, b.classes.overall.LatencyObjective)
			b.crossZone.latency[otherZone] += zoneLatencyWeight * (penalty - b.crossZone.latency[otherZone])
			b.crossZone.share /= crossZoneCutDivisor
		}
	}
}

// drawCrossZone draws whether a request is sent to another zone. The probability is the cross-zone share, or 0 if
// no endpoint in another zone is eligible.
func (b *Balancer) drawCrossZone() bool {
	if b.crossZone.share <= 0 || len(b.routing.eligible[otherZone]) == 0 {
		return false
	}
	return b.random.Float64() < b.crossZone.share
}

// updateCrossZoneShare moves the cross-zone share towards its target. The target is in proportion to the gain.
// The steps are small: all instances observe the same response times with the same delay, and with larger steps
// their load would oscillate between the zones. Without attempts, the other zone's response time moves to the
// base latency, so that the zone is tried again.
func (b *Balancer) updateCrossZoneShare(capacity capacitySum) {
	zones := &b.crossZone
	window := b.settings.SlowStartWindow
	objective := b.classes.overall.LatencyObjective
	gap := b.load.baseLatency - zones.latency[otherZone]
	zones.latency[otherZone] += gap * zoneRetryRate * b.tickInterval / window
	lateInHomeZone := math.Exp(-objective / zones.latency[homeZone])
	lateInOtherZone := math.Exp(-objective / zones.latency[otherZone])
	zones.gain = lateInHomeZone - lateInOtherZone - b.settings.CrossZonePrice
	// The more responses an instance has from each endpoint, the less weight the average of a zone gets.
	unobserved := 1 / (1 + b.load.serviceRate*capacity.warm*window/float64(len(b.endpoints.ordered)+1))
	target := min(maxCrossZoneShare, crossGainFactor*unobserved*max(0, zones.gain))
	zones.share += (target - zones.share) * b.tickInterval / window
}
