package decision

import (
	"hash/crc32"
	"math"
)

const (
	latencyWeight     = 0.15        // weight of the newest response in an endpoint's response time
	meanLatencyWeight = 0.15 * 0.15 // weight of the newest response in the mean over all endpoints
	latencyTolerance  = 2.0         // ratio of response time to base latency from which an endpoint's limit falls
	limitFallWeight   = 0.15        // weight of the newest response when it lowers an endpoint's limit
	limitStep         = 0.15        // attempts; an endpoint's limit that is reached rises by at most half of this
	// queuedObjectiveDivisor divides the longest latency objective. The quotient is the work that all instances
	// together may queue at an endpoint.
	queuedObjectiveDivisor = 2.0
	limitHeadroom          = 1.25     // ratio of an endpoint's limit to the attempts that it served concurrently
	minEndpointLimit       = 0.15     // attempts; above 0, so that one attempt at a time may start
	rejectionLimitFactor   = 1 - 0.15 // factor on an endpoint's limit when the endpoint rejects an attempt

	slowResponseShare   = 0.25 // a response that takes longer than this share of its objective is slow
	slowShareWeight     = 0.15 // weight of the newest response in a share of slow responses
	overloadedShare     = 0.7  // share of slow responses in the best class or tenant from which there is an overload
	totalLimitCutWeight = 0.15 // weight of the newest response when it lowers the total limit
	totalLimitStep      = 0.15 // attempts by which the total limit rises when it is reached
	minTotalLimit       = 1e-9 // attempts; with 0 no attempt could start, so no response could raise the limit

	tenantGroupCount = 64 // number of groups of tenants that the settings do not list

	baseLatencyRiseDivisor = 20 // the base latency rises by 1/20 per slow start window
)

// loadLimiter limits the attempts in flight at each endpoint and in total, by the ratio of response times to
// the lowest mean response time seen.
type loadLimiter struct {
	totalLimit   float64 // limit on attempts in flight at all endpoints, without those at silent ones
	recentPeak   float64 // decaying maximum of the attempts in flight, without those at silent endpoints
	inFlight     int     // attempts in flight
	unresponsive int     // attempts in flight at silent endpoints, counted on each tick

	meanLatency Millis // smoothed response time over all endpoints
	baseLatency Millis // lowest value of meanLatency, rising slowly

	serviceRate   float64 // successful responses of warm endpoints per millisecond and unit of capacity
	warmSuccesses float64 // successful responses from warm endpoints since the last tick

	slowShare  float64    // smoothed share of slow responses
	slowShares []*float64 // smoothed share of slow responses of each class and of each tenant
	// tenants holds the smoothed share of slow responses by tenant of the settings, nil before its first request.
	tenants map[TenantID]*float64
	// tenantGroups holds the smoothed share of slow responses of all other tenants, by tenantGroup.
	tenantGroups map[uint32]*float64
}

// newLoadLimiter returns a limiter without a total limit, for the tenants of the settings. latency is the assumed
// response time before the first response.
func newLoadLimiter(classes classTable, tenants []TenantID, latency Millis) loadLimiter {
	limiter := loadLimiter{
		totalLimit:   math.Inf(1),
		meanLatency:  latency,
		baseLatency:  latency,
		tenants:      map[TenantID]*float64{},
		tenantGroups: map[uint32]*float64{},
	}
	for _, id := range tenants {
		limiter.tenants[id] = nil
	}
	for _, class := range classes.ordered {
		limiter.slowShares = append(limiter.slowShares, class.slowShare)
	}
	return limiter
}

// tenantShare returns the share of slow responses of a tenant, or of its group if the settings do not list it.
func (l *loadLimiter) tenantShare(id TenantID) *float64 {
	share, listed := l.tenants[id]
	if !listed {
		return l.groupShare(tenantGroup(id))
	}
	if share == nil {
		share = l.addSlowShare(0)
		l.tenants[id] = share
	}
	return share
}

// groupShare returns the share of slow responses of a group of tenants. A new group starts with the overall share: at 0,
// names that a client invents would keep leastSlowShare low, and no overload would be seen.
func (l *loadLimiter) groupShare(group uint32) *float64 {
	share := l.tenantGroups[group]
	if share == nil {
		share = l.addSlowShare(l.slowShare)
		l.tenantGroups[group] = share
	}
	return share
}

// tenantGroup returns the group of a tenant that the settings do not list. The number of groups bounds the memory for names
// that clients invent.
func tenantGroup(id TenantID) uint32 { return crc32.ChecksumIEEE([]byte(id)) % tenantGroupCount }

// addSlowShare adds a share of slow responses to those that leastSlowShare compares.
func (l *loadLimiter) addSlowShare(initial float64) *float64 {
	share := &initial
	l.slowShares = append(l.slowShares, share)
	return share
}

// full reports whether the total limit is reached. Attempts at silent endpoints do not count, because they may
// never end.
func (l *loadLimiter) full() bool { return float64(l.inFlight-l.unresponsive) >= l.totalLimit }

// leastSlowShare returns the lowest share of slow responses of any class or tenant. Only if all of them are
// slow is there a lack of capacity.
func (l *loadLimiter) leastSlowShare() float64 {
	lowest := 1.0
	for _, share := range l.slowShares {
		lowest = min(lowest, *share)
	}
	return lowest
}

// observeLatency updates the mean response time and the base latency with a response time.
func (b *Balancer) observeLatency(after Millis) {
	b.load.meanLatency += meanLatencyWeight * (after - b.load.meanLatency)
	b.load.baseLatency = min(b.load.baseLatency, b.load.meanLatency)
}

// adjustEndpointLimit adjusts an endpoint's limit on attempts in flight by the ratio of the base latency to the
// endpoint's response time. All instances together may queue half a latency objective of work at the endpoint, or a
// quarter more than the attempts that it served concurrently, but at least one attempt. A limit that is not reached
// does not rise.
func (b *Balancer) adjustEndpointLimit(ep *endpoint, after Millis) {
	ep.latency += latencyWeight * (after - ep.latency)
	objective := b.classes.overall.LatencyObjective
	queueShare := objective / b.load.baseLatency / float64(b.settings.Instances) / queuedObjectiveDivisor
	latencyFactor := min(1, latencyTolerance*b.load.baseLatency/ep.latency)
	ep.concurrencyLimit -= limitFallWeight * ep.concurrencyLimit * (1 - latencyFactor)
	if float64(ep.inFlight+1) < ep.concurrencyLimit {
		return
	}
	raisedLimit := ep.concurrencyLimit + limitStep*min(1, queueShare)/queuedObjectiveDivisor
	servedLimit := limitHeadroom * b.load.serviceRate * ep.Capacity * b.load.baseLatency
	ep.concurrencyLimit = min(raisedLimit, max(1, queueShare, servedLimit))
}

// backOffEndpoint lowers the limit of an endpoint that rejected an attempt, and stops sending to the endpoint for
// one response time, because rejections cost the endpoint work too.
func (b *Balancer) backOffEndpoint(ep *endpoint) {
	used := min(ep.concurrencyLimit, float64(ep.inFlight+1))
	ep.concurrencyLimit = max(minEndpointLimit, used*rejectionLimitFactor)
	ep.ejectedUntil = max(ep.ejectedUntil, b.now+ep.latency)
}

// adjustTotalLimit lowers the total limit while responses of every class and tenant are slow, and raises the
// limit when it is reached. The limits by endpoint do not suffice: an instance with little traffic has too few
// responses from each endpoint.
func (b *Balancer) adjustTotalLimit(req *request, after Millis) {
	slowness := min(1, math.Floor(after/req.LatencyObjective/slowResponseShare)) // 1 for a slow response, else 0
	for _, share := range []*float64{&b.load.slowShare, req.slowShare, req.tenantSlowShare} {
		*share += slowShareWeight * (slowness - *share)
	}
	inFlight := float64(b.load.inFlight - b.load.unresponsive + 1)
	lowest := b.load.leastSlowShare()
	if lowest > overloadedShare {
		// The limit is cut from the recent peak. Cut from the attempts in flight at one moment, it would drop
		// to nearly 0 by chance at an instance with little traffic. Unresponsive attempts may have ended since
		// they were counted, so inFlight may be too low.
		cutFactor := 1 - totalLimitCutWeight*(lowest-overloadedShare)/(1-overloadedShare)
		b.load.totalLimit = max(minTotalLimit, min(b.load.totalLimit, max(inFlight, b.load.recentPeak))*cutFactor)
	} else if inFlight >= b.load.totalLimit {
		b.load.totalLimit += totalLimitStep
	}
}

// decaySlowShares moves the share of each class and tenant towards the overall share. Otherwise a class or
// tenant without responses would keep an old share.
func (b *Balancer) decaySlowShares() {
	for _, share := range b.load.slowShares {
		*share += (b.load.slowShare - *share) * b.tickInterval / b.settings.SlowStartWindow
	}
}

// updateServiceRate updates the service rate with the responses since the last tick, and raises the base
// latency. The service rate is unchanged while no endpoint is warm.
func (b *Balancer) updateServiceRate(capacity capacitySum) {
	if capacity.warm > 0 {
		weight := min(1, b.tickInterval/b.settings.OverloadWindow)
		b.load.serviceRate += weight * (b.load.warmSuccesses/capacity.warm/b.tickInterval - b.load.serviceRate)
	}
	b.load.warmSuccesses = 0
	b.load.baseLatency *= 1 + b.tickInterval/b.settings.SlowStartWindow/baseLatencyRiseDivisor
}

// relaxTotalLimit raises the total limit with time while requests wait and there is no overload. If only
// responses raised the limit, an instance with little traffic would take many seconds to recover from one
// cut.
func (b *Balancer) relaxTotalLimit() {
	decayed := b.load.recentPeak * (1 - b.tickInterval/b.settings.OverloadWindow)
	b.load.recentPeak = max(float64(b.load.inFlight-b.load.unresponsive), decayed)
	if len(b.requests.queues[firstAttempts]) > 0 && b.load.leastSlowShare() <= overloadedShare {
		b.load.totalLimit *= 1 + b.tickInterval/b.settings.SlowStartWindow
	}
}
