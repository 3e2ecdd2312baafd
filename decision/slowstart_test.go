package decision

import (
	"testing"
)

// A warming endpoint gets no more attempts than OverloadFactor and OverloadWindow allow, relative to the service rate
// of warm endpoints with the same capacity. That holds also if there are no other endpoints and a burst of requests
// arrives.
func TestSlowStartLimitsAttempts(t *testing.T) {
	for _, onlyWarming := range []bool{false, true} {
		sim := start(t, releasedUpdate(7), func(s *Settings) {
			s.Classes[0].LatencyObjective, s.CrossZonePrice = 200, 0.02
		})
		for range 400 { // one request per 40 ms: 12 responses per second and warm endpoint
			sim.advance(40)
			sim.request("read", "")
			sim.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.StartedAt = sim.now
		list := []Endpoint{warming, newEndpoint("a1", 7), newEndpoint("b1", 7)}
		if onlyWarming {
			list = list[:1]
		}
		sim.replaceEndpoints(list...)
		sent, from, rate := 0, sim.now, sim.balancer.load.serviceRate
		for range 60 {
			sim.advance(10)
			sim.request("read", "")
			sent += sim.respond("a9", 2)
			rate = max(rate, sim.balancer.load.serviceRate)
		}
		// The bound is the overload factor times the final capacity, over the elapsed time and one window.
		settings := sim.balancer.settings
		weight := sim.balancer.slowStartWeight(sim.balancer.endpoints.byID["a9"])
		most := settings.OverloadFactor * rate * weight * (sim.now - from + settings.OverloadWindow)
		if rate <= 0 || sent == 0 || float64(sent) > most+1 {
			t.Errorf("only warming endpoints %v: got %d attempts at a9, want at least 1 and at most %v", onlyWarming, sent,
				most)
		}
	}
}

// Many instances with little traffic together send a warming endpoint no more attempts than its slow start weight
// allows. One attempt without credit per instance would exceed that.
func TestSlowStartLimitsFleet(t *testing.T) {
	sent, rate := 0, 0.0
	for seed := range 60 {
		sim := start(t, releasedUpdate(7), nil)
		sim.balancer.random.Seed = uint64(seed+1) * 0x9e3779b97f4a7c15
		for range 20 {
			sim.advance(500)
			sim.request("read", "")
			sim.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.StartedAt, rate = sim.now, rate+sim.balancer.load.serviceRate
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{warming}})
		for range 10 {
			sim.advance(sim.balancer.settings.OverloadWindow / 10)
			sim.request("read", "")
			sent += sim.respond("a9", 20)
		}
	}
	if most := rate * 0.4 * 2.5 * 1000; sent == 0 || float64(sent) > most {
		t.Errorf("got %d attempts at warming endpoints, want at least 1 and at most %v", sent, most)
	}
}

// An ejected endpoint is in slow start from its first response on, because it may have restarted.
func TestRecoveredEndpointWarmsUp(t *testing.T) {
	sim := start(t, releasedUpdate(8), nil)
	endpoint := sim.balancer.endpoints.byID["a1"]
	sim.balancer.eject(endpoint)
	sim.now += 100
	sim.balancer.recordResponse(endpoint)
	if weight := sim.balancer.slowStartWeight(endpoint); weight != 0.4 || endpoint.ejections != 0 {
		t.Errorf("endpoint a1: got slow start weight %v and %d ejections, want 0.4 and 0", weight, endpoint.ejections)
	}
}
