package faultinject

import (
	"fmt"
	"testing"
	"time"
)

// drawDeliveries draws the deliveries of 400 packets on the link a > b, of which the last 200 follow a rule. If
// oppositeTraffic is set, a packet on the link b > a is drawn before each of them.
func drawDeliveries(seed uint64, oppositeTraffic bool) (deliveries []Delivery) {
	rules := NewRules(seed)
	for i := range 400 {
		if oppositeTraffic {
			rules.NextDelivery(Link{"b", "a"})
		}
		if i == 200 {
			rules.SetDefault(Rule{Drop: 0.2, Duplicate: 0.1, Delay: time.Millisecond, Jitter: time.Millisecond})
		}
		deliveries = append(deliveries, rules.NextDelivery(Link{"a", "b"}))
	}
	return deliveries
}

// The same seed gives each packet of a link the same delivery, independent of traffic on other links and of earlier
// rules.
func TestDeliveriesFollowFromSeed(t *testing.T) {
	first, withOppositeLink, otherSeed := drawDeliveries(1, false), drawDeliveries(1, true), drawDeliveries(2, false)
	if fmt.Sprint(first) != fmt.Sprint(withOppositeLink) || fmt.Sprint(first) == fmt.Sprint(otherSeed) {
		t.Error("deliveries depend on other links, or not on the seed")
	}
	lost, duplicated := 0, 0
	for _, delivery := range first[200:] {
		switch delivery.Copies {
		case 0:
			lost++
		case 2:
			duplicated++
		}
		if delivery.Copies > 0 && (delivery.Delay < time.Millisecond || delivery.Delay > 2*time.Millisecond) {
			t.Errorf("packet on a > b: got delivery %+v, want a delay of 1ms to 2ms", delivery)
		}
	}
	if lost < 20 || lost > 60 || duplicated < 5 || duplicated > 40 {
		t.Errorf("of 200 packets %d were lost and %d duplicated, want 20 to 60 and 5 to 40", lost, duplicated)
	}
	t.Run("per link", checkPerLinkRules)
}

// checkPerLinkRules checks that a rule and a cut affect only their own link, until Heal removes them.
func checkPerLinkRules(t *testing.T) {
	rules := NewRules(1)
	rules.SetCut(Link{"a", "b"}, true)
	rules.Set(Link{"b", "a"}, Rule{Delay: time.Second})
	if rules.NextDelivery(Link{"a", "b"}).Copies != 0 || rules.NextDelivery(Link{"b", "a"}).Delay != time.Second ||
		rules.NextDelivery(Link{"a", "c"}).Copies != 1 {
		t.Error("a rule or a cut does not affect exactly its own link")
	}
	rules.Heal()
	if rules.NextDelivery(Link{"a", "b"}).Copies != 1 || rules.NextDelivery(Link{"b", "a"}).Delay != 0 {
		t.Error("after Heal: a cut or a delay is still in force")
	}
}
