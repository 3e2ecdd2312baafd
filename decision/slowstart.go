package decision

import "math"

// slowStartWeight returns the current capacity of an endpoint as a share of its full capacity. It rises linearly
// from SlowStartFloor at the start of the endpoint to 1 after SlowStartWindow, and is 1 if the start time is unknown.
func (b *Balancer) slowStartWeight(ep *endpoint) float64 {
	age := b.now - ep.warmingSince
	if ep.warmingSince <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	floor := b.settings.SlowStartFloor
	return floor + (1-floor)*max(age, 0)/b.settings.SlowStartWindow
}

// warmingUp reports whether an endpoint is in slow start.
func (b *Balancer) warmingUp(ep *endpoint) bool { return b.slowStartWeight(ep) < 1 }

// accrueSlowStartCredit adds to the attempts that may start at an endpoint during slow start. One attempt from
// each of hundreds of instances would overload the endpoint. So each instance accrues a fraction of an attempt per
// tick from a random initial value, and unused credit expires. Only the attempts of all instances together amount
// to the capacity of the endpoint.
func (b *Balancer) accrueSlowStartCredit(ep *endpoint) {
	rate := b.load.serviceRate * ep.Capacity * b.slowStartWeight(ep) * math.Sqrt(b.settings.OverloadFactor)
	ep.slowStartCredit += rate * b.tickInterval
	if ep.slowStartCredit >= 1+rate*b.settings.OverloadWindow/2 {
		ep.slowStartCredit--
	}
}
