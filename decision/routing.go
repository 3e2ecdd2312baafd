package decision

import "math"

const (
	minExpectedLatency = 1e-9 // ms, a divisor
	minCapacity        = 1e-9 // a divisor
)

// routingState is what the choice of endpoints keeps between requests, and its buffers.
type routingState struct {
	// turn is the place of the newest request in the order by which requests are given to the candidate, 0 to
	// 1. It steps by the golden ratio: drawn anew for each request, half of those meant for the candidate
	// would come while the exposure cap has no token for them.
	lastPlacement  float64
	candidateShare float64 // of the requests, by capacity

	eligible [2][]*endpoint // by zone; a nil entry stands for all warming ones without credit, and chooses none
	weights  [2][]float64   // of the eligible endpoints
}

// endpointChoice is the result of a choice. Without an endpoint, wait says that a health check decides soon.
type endpointChoice struct {
	endpoint   *endpoint
	awaitCheck bool
}

// choose returns the endpoint for the next attempt of a request: one of the side that it is meant for, else
// of the other side, else a warm one beside warming endpoints that have no credit left.
func (b *Balancer) choose(req *request) *endpoint {
	side := baselineSide
	if req.placement < b.routing.candidateShare {
		side = candidateSide
	}
	choice := b.chooseEndpoint(req, side, false)
	if choice.endpoint != nil || choice.awaitCheck {
		return choice.endpoint
	}
	if other := b.chooseEndpoint(req, candidateSide-side, false); other.endpoint != nil {
		return other.endpoint
	}
	return b.chooseEndpoint(req, side, true).endpoint
}

// chooseEndpoint takes the better of two random choices at home. Endpoints of other zones must beat it by the
// price of crossing. Where many requests miss their objective and health checks are allowed, endpoints are
// checked first: what other instances send to an endpoint does not show here. With overflow, warm endpoints
// take the share of warming ones that have no credit.
func (b *Balancer) chooseEndpoint(req *request, side int, overflow bool) endpointChoice {
	search := endpointSearch{balancer: b, request: req, lowestRisk: math.Inf(1)}
	parts := &b.endpoints.byBuildAndZone[side]
	b.collectEligible(&search, homeZone, parts[homeZone], overflow)
	b.collectEligible(&search, otherZone, parts[otherZone], overflow)
	if len(b.routing.eligible[homeZone])+len(b.routing.eligible[otherZone]) == 0 {
		return endpointChoice{}
	}
	if b.shouldHealthCheck() {
		if choice, decided := b.healthCheckFirst(req, search.best); decided {
			return choice
		}
	}
	if b.drawCrossZone() {
		search.homePenalty = b.crossZone.gain + b.settings.CrossZonePrice
	}
	b.considerTwo(&search, homeZone)
	b.considerTwo(&search, otherZone)
	return endpointChoice{endpoint: search.best}
}

// endpointSearch keeps the best endpoint so far.
type endpointSearch struct {
	balancer    *Balancer
	request     *request
	best        *endpoint
	lowestRisk  float64
	homePenalty float64 // what home is worse by, for a request that may cross zones
}

func (s *endpointSearch) update(ep *endpoint) {
	risk := s.balancer.risk(s.request, ep) + s.homePenalty*float64(otherZone-s.balancer.zoneIndex(ep))
	if risk < s.lowestRisk {
		s.best, s.lowestRisk = ep, risk
	}
}

// collectEligible fills the buffers for one zone with the endpoints that may get the request, weighted by
// capacity. An endpoint whose health check has just come back is considered at once.
func (b *Balancer) collectEligible(search *endpointSearch, zone int, part []*endpoint, overflow bool) {
	eligible, weights := b.routing.eligible[zone][:0], b.routing.weights[zone][:0]
	warming, withCredit := 0.0, 0.0 // capacity of warming endpoints, and of those that have credit
	for _, target := range part {
		if !b.healthy(search.request, target) || !b.admits(search.request, target) {
			continue
		}
		slowStart := b.slowStartWeight(target)
		weight := target.Capacity * slowStart
		if slowStart < 1 {
			warming += weight
			if target.slowStartCredit < 1 {
				continue
			}
			withCredit += weight
		}
		eligible = append(eligible, target)
		weights = append(weights, weight)
		if b.recentlyChecked(target) {
			search.update(target)
		}
	}
	// An instance with little traffic has credit for few warming endpoints at a time. These stand in for the
	// others: by their own weight alone warming endpoints would stay empty, and the warm ones of that side
	// would be overloaded.
	for i, target := range eligible {
		if b.slowStartWeight(target) < 1 {
			weights[i] *= warming / withCredit
		}
	}
	if withCredit == 0 && warming > 0 && !overflow {
		eligible = append(eligible, nil)
		weights = append(weights, warming)
	}
	b.routing.eligible[zone], b.routing.weights[zone] = eligible, weights
}

// considerTwo draws two of a zone's eligible endpoints by weight. The second one counts if both are warm or
// both are warming, for a warming endpoint loses against a warm one and would get nothing.
func (b *Balancer) considerTwo(search *endpointSearch, zone int) {
	eligible, weights := b.routing.eligible[zone], b.routing.weights[zone]
	if len(eligible) == 0 {
		return
	}
	first := eligible[b.random.Draw(weights)]
	second := eligible[b.random.Draw(weights)]
	if first == nil {
		return
	}
	search.update(first)
	if second != nil && b.warmingUp(first) == b.warmingUp(second) {
		search.update(second)
	}
}

// healthy tells whether an endpoint's health lets it take a request. An ejected endpoint is tried with one
// idempotent request at a time.
func (b *Balancer) healthy(req *request, ep *endpoint) bool {
	if b.now < ep.ejectedUntil || float64(ep.inFlight) >= ep.concurrencyLimit {
		return false
	}
	if ep.ejections > 0 && (ep.inFlight > 0 || req.Idempotency != Idempotent) {
		return false
	}
	suspicion := b.suspicion(ep)
	if req.Idempotency == NonIdempotent {
		suspicion *= 2 // it cannot be retried elsewhere
	}
	return suspicion < avoidSuspicion
}

// risk is the chance that a request fails or misses its latency objective at an endpoint, and the price of
// crossing zones. Response times are taken for exponential.
func (b *Balancer) risk(req *request, ep *endpoint) float64 {
	expected := max(ep.latency*float64(ep.inFlight+1), (b.now-ep.lastResponseAt)*float64(min(1, ep.inFlight)))
	if b.recentlyChecked(ep) {
		expected = b.load.baseLatency * ep.healthCheckRatio
	}
	late := math.Exp(-req.LatencyObjective / max(expected, minExpectedLatency))
	return ep.failureShare + (1-ep.failureShare)*late + float64(b.zoneIndex(ep))*b.settings.CrossZonePrice
}

// updateCandidateShare sets the share of requests that are meant for the candidate. In place, it is the
// candidate's share of the capacity. Otherwise both builds stand side by side, and the candidate gets as much
// as it can take.
func (b *Balancer) updateCandidateShare(capacity capacitySum) {
	baseline, candidate := capacity.bySide[baselineSide], capacity.bySide[candidateSide]
	if b.settings.InPlace {
		b.routing.candidateShare = candidate / max(baseline+candidate, minCapacity)
	} else {
		b.routing.candidateShare = candidate / max(baseline, candidate, minCapacity)
	}
}
