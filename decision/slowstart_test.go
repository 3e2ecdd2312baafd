package decision

import (
	"testing"
)

// An endpoint that is warming up gets no more attempts than the overload rule allows, measured by what warm
// endpoints of the same capacity serve. That holds too where no other endpoints are left and a burst of
// requests comes.
func TestSlowStartLimitsAttempts(t *testing.T) {
	for _, onlyWarming := range []bool{false, true} {
		sim := start(t, releasedUpdate(7), func(s *Settings) {
			s.Classes[0].LatencyObjective, s.CrossZonePrice = 200, 0.02
		})
		for range 400 { // 40 ms apart: 12 responses a second of each warm endpoint
			sim.advance(40)
			sim.request("read", "")
			sim.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.Started = sim.now
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
		// The overload factor times the capacity at the end, over the time and one window.
		settings := sim.balancer.settings
		weight := sim.balancer.slowStartWeight(sim.balancer.endpoints.byID["a9"])
		most := settings.OverloadFactor * rate * weight * (sim.now - from + settings.OverloadWindow)
		if rate <= 0 || sent == 0 || float64(sent) > most+1 {
			t.Errorf("only warming %v: %d attempts, at most %v", onlyWarming, sent, most)
		}
	}
}

// Many instances with little traffic send a warming endpoint no more in sum than its slow-start weight
// allows. A free attempt for each instance would exceed that.
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
		warming.Started, rate = sim.now, rate+sim.balancer.load.serviceRate
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{warming}})
		for range 10 {
			sim.advance(sim.balancer.settings.OverloadWindow / 10)
			sim.request("read", "")
			sent += sim.respond("a9", 20)
		}
	}
	if most := rate * 0.4 * 2.5 * 1000; sent == 0 || float64(sent) > most {
		t.Errorf("%d attempts, at most %v", sent, most)
	}
}

// An endpoint that was unreachable counts as warming from its first response, for it may have restarted.
func TestRecoveredEndpointWarmsUp(t *testing.T) {
	sim := start(t, releasedUpdate(8), nil)
	endpoint := sim.balancer.endpoints.byID["a1"]
	sim.balancer.eject(endpoint)
	sim.now += 100
	sim.balancer.recordResponse(endpoint)
	if w := sim.balancer.slowStartWeight(endpoint); w != 0.4 || endpoint.ejections != 0 {
		t.Errorf("slow-start weight %v, ejections %d", w, endpoint.ejections)
	}
}
