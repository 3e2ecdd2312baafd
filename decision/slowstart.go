package decision

import "math"

// slowStartWeight is the capacity of an endpoint as a share of its full one: SlowStartFloor at its start, 1
// from SlowStartWindow on.
func (b *Balancer) slowStartWeight(ep *endpoint) float64 {
	age := b.now - ep.warmingSince
	if ep.warmingSince <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	floor := b.settings.SlowStartFloor
	return floor + (1-floor)*max(age, 0)/b.settings.SlowStartWindow
}

func (b *Balancer) warmingUp(ep *endpoint) bool { return b.slowStartWeight(ep) < 1 }

// accrueSlowStartCredit adds to the attempts that an endpoint may get while it warms up. One attempt each
// from hundreds of instances would overload it. So each instance accrues a fraction, from a random start,
// which lapses unless it is used soon; only the credit of all instances together makes whole attempts.
func (b *Balancer) accrueSlowStartCredit(ep *endpoint) {
	rate := b.load.serviceRate * ep.Capacity * b.slowStartWeight(ep) * math.Sqrt(b.settings.OverloadFactor)
	ep.slowStartCredit += rate * b.tickInterval
	if ep.slowStartCredit >= 1+rate*b.settings.OverloadWindow/2 {
		ep.slowStartCredit--
	}
}
