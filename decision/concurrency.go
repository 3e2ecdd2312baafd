package decision

import "math"

const (
	latencyWeight     = 0.15        // of the newest response in an endpoint's response time
	meanLatencyWeight = 0.15 * 0.15 // of the newest response in the mean over all endpoints
	latencyTolerance  = 2.0         // response time over the base latency from which an endpoint's limit falls
	limitFallWeight   = 0.15        // of the newest response, as it lowers an endpoint's limit
	limitRiseWeight   = 0.15        // of an attempt, by which a limit that is used up rises
	queuedObjective   = 2.0         // divisor: all instances together queue half an objective of work
	limitHeadroom     = 1.25        // of an endpoint's limit over what it served at once
	minEndpointLimit  = 0.15        // attempts
	rejectionLimitCut = 1 - 0.15    // factor on an endpoint's limit when it rejects an attempt

	slowResponseShare   = 0.25 // a response that takes longer than this share of its objective is slow
	slowShareWeight     = 0.15 // of the newest response in a share of slow ones
	overloadedShare     = 0.7  // share of slow responses in the best class or tenant: an overload
	totalLimitCutWeight = 0.15 // of the newest response, as it lowers the limit over all endpoints
	totalLimitStep      = 0.15 // attempts, by which a limit that is used up rises
	minTotalLimit       = 1e-9 // attempts; at 0 no attempt could start, so no response could raise the limit

	baseLatencyCreep = 20 // the base latency rises by 1/20 in a slow start window
)

// loadLimiter limits the attempts in flight, at each endpoint and over all of them, by how response times
// compare with the lowest ones seen.
type loadLimiter struct {
	limit        float64 // on attempts in flight at all endpoints that respond
	recentPeak   float64 // of attempts in flight
	inFlight     int
	unresponsive int // of these, at silent endpoints

	meanLatency Millis // smoothed response time over all endpoints
	baseLatency Millis // the lowest it was, rising slowly

	serviceRate float64 // responses a millisecond and unit of warm capacity
	succeeded   float64 // responses of warm endpoints since the last tick

	slowShare  float64               // share of slow responses
	slowShares []*float64            // the same by class and tenant
	tenants    map[TenantID]*float64 // of these, the tenants'; bounded only where the settings list tenants
}

func newLoadLimiter(classes classTable, latency Millis) loadLimiter {
	limiter := loadLimiter{
		limit:       math.Inf(1),
		meanLatency: latency,
		baseLatency: latency,
		tenants:     map[TenantID]*float64{},
	}
	for _, class := range classes.ordered {
		limiter.slowShares = append(limiter.slowShares, class.slowShare)
	}
	return limiter
}

// tenantShare is the share of slow responses of a tenant.
func (l *loadLimiter) tenantShare(id TenantID) *float64 {
	share := l.tenants[id]
	if share == nil {
		share = new(float64)
		l.tenants[id] = share
		l.slowShares = append(l.slowShares, share)
	}
	return share
}

// full tells whether no further attempt may start. Attempts at silent endpoints don't count: they may never
// end.
func (l *loadLimiter) full() bool { return float64(l.inFlight-l.unresponsive) >= l.limit }

// leastSlowShare is the least share of slow responses of all classes and tenants: slowness of some requests
// alone is no lack of capacity.
func (l *loadLimiter) leastSlowShare() float64 {
	least := 1.0
	for _, share := range l.slowShares {
		least = min(least, *share)
	}
	return least
}

// observeLatency takes a response time, in ms, into the mean and the lowest mean.
func (b *Balancer) observeLatency(after Millis) {
	b.load.meanLatency += meanLatencyWeight * (after - b.load.meanLatency)
	b.load.baseLatency = min(b.load.baseLatency, b.load.meanLatency)
}

// adjustEndpointLimit moves an endpoint's limit on attempts in flight by the base latency over its response
// time. All instances together keep half a latency objective of work there, or a quarter more than it served
// at once. The limit never grows unused.
func (b *Balancer) adjustEndpointLimit(ep *endpoint, after Millis) {
	ep.latency += latencyWeight * (after - ep.latency)
	objective := b.classes.overall.LatencyObjective
	share := objective / b.load.baseLatency / float64(b.settings.Instances) / queuedObjective
	tolerated := min(1, latencyTolerance*b.load.baseLatency/ep.latency)
	ep.concurrencyLimit -= limitFallWeight * ep.concurrencyLimit * (1 - tolerated)
	if float64(ep.inFlight+1) < ep.concurrencyLimit {
		return
	}
	raised := ep.concurrencyLimit + limitRiseWeight*min(1, share)/queuedObjective
	served := limitHeadroom * b.load.serviceRate * ep.Capacity * b.load.baseLatency
	ep.concurrencyLimit = min(raised, max(1, share, served))
}

// restRejecting gives an endpoint that rejected an attempt a rest, for rejecting costs it work too.
func (b *Balancer) restRejecting(ep *endpoint) {
	used := min(ep.concurrencyLimit, float64(ep.inFlight+1))
	ep.concurrencyLimit = max(minEndpointLimit, used*rejectionLimitCut)
	ep.ejectedUntil = max(ep.ejectedUntil, b.now+ep.latency)
}

// adjustTotalLimit lowers the limit over all endpoints while responses to every class and tenant are slow,
// and raises it as it is used up. An instance with little traffic has too few responses of each endpoint to
// go by their limits.
func (b *Balancer) adjustTotalLimit(req *request, after Millis) {
	slow := min(1, math.Floor(after/req.LatencyObjective/slowResponseShare))
	for _, share := range []*float64{&b.load.slowShare, req.slowShare, req.tenantSlow} {
		*share += slowShareWeight * (slow - *share)
	}
	inFlight := float64(b.load.inFlight - b.load.unresponsive + 1)
	least := b.load.leastSlowShare()
	if least > overloadedShare {
		// The limit is cut from the recent peak: by what is in flight at one moment, chance would take nearly
		// all of it from an instance with little traffic. Unresponsive attempts may have ended since they
		// were counted.
		cut := 1 - totalLimitCutWeight*(least-overloadedShare)/(1-overloadedShare)
		b.load.limit = max(minTotalLimit, min(b.load.limit, max(inFlight, b.load.recentPeak))*cut)
	} else if inFlight >= b.load.limit {
		b.load.limit += totalLimitStep
	}
}

// decaySlowShares lets the classes and tenants without responses follow the rest.
func (b *Balancer) decaySlowShares() {
	for _, share := range b.load.slowShares {
		*share += (b.load.slowShare - *share) * b.tickInterval / b.settings.SlowStartWindow
	}
}

// updateServiceRate takes the responses since the last tick into the service rate, which stays as it was
// while only warming endpoints are left, and lets the base latency rise.
func (b *Balancer) updateServiceRate(capacity capacitySum) {
	if capacity.warm > 0 {
		weight := min(1, b.tickInterval/b.settings.OverloadWindow)
		b.load.serviceRate += weight * (b.load.succeeded/capacity.warm/b.tickInterval - b.load.serviceRate)
	}
	b.load.succeeded = 0
	b.load.baseLatency *= 1 + b.tickInterval/b.settings.SlowStartWindow/baseLatencyCreep
}

// relaxTotalLimit raises the limit over all endpoints with time while requests wait and there is no overload.
// By responses alone, an instance with little traffic would win back over many seconds what it gave up in a
// moment.
func (b *Balancer) relaxTotalLimit() {
	decayed := b.load.recentPeak * (1 - b.tickInterval/b.settings.OverloadWindow)
	b.load.recentPeak = max(float64(b.load.inFlight-b.load.unresponsive), decayed)
	if len(b.requests.queues[firstAttempts]) > 0 && b.load.leastSlowShare() <= overloadedShare {
		b.load.limit *= 1 + b.tickInterval/b.settings.SlowStartWindow
	}
}
