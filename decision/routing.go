package decision

import "math"

const (
	minExpectedLatency = 1e-9 // ms; lower bound of the expected response time, which is a divisor
	minCapacity        = 1e-9 // lower bound of the total capacity, which is a divisor
)

// routingState holds the state of endpoint selection between requests, and its buffers.
type routingState struct {
	// lastPlacement is the placement of the newest request, 0 to 1. It advances by the golden ratio, so that the
	// requests meant for the candidate are evenly spaced. With independent random placements, half of these
	// requests would arrive while the exposure cap has no token for them.
	lastPlacement  float64
	candidateShare float64 // share of requests meant for the candidate, by capacity

	eligible [2][]*endpoint // by zone; a nil entry stands for warming endpoints without credit, and selects none
	weights  [2][]float64   // of the eligible endpoints, by zone
}

// endpointChoice is the result of endpoint selection. awaitCheck means that the request waits for the result of a
// health check.
type endpointChoice struct {
	endpoint   *endpoint
	awaitCheck bool
}

// chooseBySide returns the endpoint for the next attempt of a request, or nil. It searches the side that the request is
// meant for, then the other side, and then the first side again with overflow to its warm endpoints.
func (b *Balancer) chooseBySide(req *request) *endpoint {
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

// chooseEndpoint selects the best of two random choices in each zone. Endpoints of other zones must be better by
// CrossZonePrice. If many requests miss their objective and health checks are allowed, endpoints are checked first,
// because an instance does not see the load that other instances put on an endpoint. With overflow, warm endpoints
// take the share of warming endpoints without credit.
func (b *Balancer) chooseEndpoint(req *request, side int, overflow bool) endpointChoice {
	search := endpointSearch{balancer: b, request: req, lowestRisk: math.Inf(1)}
	byZone := &b.endpoints.byBuildAndZone[side]
	b.collectEligible(&search, homeZone, byZone[homeZone], overflow)
	b.collectEligible(&search, otherZone, byZone[otherZone], overflow)
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

// endpointSearch holds the best endpoint found so far.
type endpointSearch struct {
	balancer    *Balancer
	request     *request
	best        *endpoint
	lowestRisk  float64 // risk of best; +Inf while best is nil
	homePenalty float64 // added to the risk in the home zone, for a request drawn to cross zones
}

// update makes an endpoint the best one if its risk is lower than the lowest so far.
func (s *endpointSearch) update(ep *endpoint) {
	risk := s.balancer.risk(s.request, ep) + s.homePenalty*float64(otherZone-s.balancer.zoneIndex(ep))
	if risk < s.lowestRisk {
		s.best, s.lowestRisk = ep, risk
	}
}

// collectEligible fills the buffers of one zone with the endpoints that are eligible for a request, weighted by
// capacity. Endpoints with a recent health check enter the search here.
func (b *Balancer) collectEligible(search *endpointSearch, zone int, endpoints []*endpoint, overflow bool) {
	eligible, weights := b.routing.eligible[zone][:0], b.routing.weights[zone][:0]
	warming, withCredit := 0.0, 0.0 // capacity of warming endpoints, and of those with credit
	for _, target := range endpoints {
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
	// An instance with little traffic has credit for few warming endpoints at a time. These get the weight of
	// all warming endpoints. With their own weight only, warming endpoints would stay idle, and the warm
	// endpoints of that side would be overloaded.
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

// considerTwo draws two of a zone's eligible endpoints by weight. The second one is considered only if both are
// warm or both are warming: a warming endpoint would always lose against a warm one and get no requests. If the first
// draw is the nil entry for warming endpoints without credit, neither draw is considered.
func (b *Balancer) considerTwo(search *endpointSearch, zone int) {
	eligible, weights := b.routing.eligible[zone], b.routing.weights[zone]
	if len(eligible) == 0 {
		return
	}
	first := eligible[b.random.WeightedIndex(weights)]
	second := eligible[b.random.WeightedIndex(weights)]
	if first == nil {
		return
	}
	search.update(first)
	if second != nil && b.warmingUp(first) == b.warmingUp(second) {
		search.update(second)
	}
}

// healthy reports whether an endpoint is available for a request by its health and its concurrency limit. After
// its ejection time, an endpoint gets one idempotent request at a time until it responds.
func (b *Balancer) healthy(req *request, ep *endpoint) bool {
	if b.now < ep.ejectedUntil || float64(ep.inFlight) >= ep.concurrencyLimit {
		return false
	}
	if ep.ejections > 0 && (ep.inFlight > 0 || req.Idempotency != Idempotent) {
		return false
	}
	suspicion := b.suspicion(ep)
	if req.Idempotency == NonIdempotent {
		suspicion *= 2 // the request cannot be retried at another endpoint
	}
	return suspicion < avoidSuspicion
}

// risk returns the probability that a request fails or misses its latency objective at an endpoint, plus
// CrossZonePrice in another zone. Response times are assumed to be exponential.
func (b *Balancer) risk(req *request, ep *endpoint) float64 {
	expectedLatency := max(ep.latency*float64(ep.inFlight+1), (b.now-ep.lastResponseAt)*float64(min(1, ep.inFlight)))
	if b.recentlyChecked(ep) {
		expectedLatency = b.load.baseLatency * ep.healthCheckRatio
	}
	lateProbability := math.Exp(-req.LatencyObjective / max(expectedLatency, minExpectedLatency))
	return ep.failureShare + (1-ep.failureShare)*lateProbability + float64(b.zoneIndex(ep))*b.settings.CrossZonePrice
}

// updateCandidateShare updates the share of requests that are meant for the candidate. In an in-place rollout,
// that is the candidate's share of the capacity. Otherwise both builds run side by side at full capacity, and the
// share is the candidate's capacity relative to the larger of the two.
func (b *Balancer) updateCandidateShare(capacity capacitySum) {
	baseline, candidate := capacity.bySide[baselineSide], capacity.bySide[candidateSide]
	if b.settings.InPlace {
		b.routing.candidateShare = candidate / max(baseline+candidate, minCapacity)
	} else {
		b.routing.candidateShare = candidate / max(baseline, candidate, minCapacity)
	}
}
