package faultinject

import (
	"fmt"
	"testing"
	"time"
)

// fatesOf draws the fates of 400 packets of the link a > b, the second half of them under a rule. With other, packets
// of the opposite link are drawn in between.
func fatesOf(seed uint64, other bool) (fates []Fate) {
	rules := NewRules(seed)
	for i := range 400 {
		if other {
			rules.Next(Link{"b", "a"})
		}
		if i == 200 {
			rules.SetDefault(Rule{Drop: 0.2, Duplicate: 0.1, Delay: time.Millisecond, Jitter: time.Millisecond})
		}
		fates = append(fates, rules.Next(Link{"a", "b"}))
	}
	return fates
}

// The same seed gives each packet of a link the same fate, whatever passes on other links and whatever rule held
// before.
func TestRules(t *testing.T) {
	one, two, three := fatesOf(1, false), fatesOf(1, true), fatesOf(2, false)
	if fmt.Sprint(one) != fmt.Sprint(two) || fmt.Sprint(one) == fmt.Sprint(three) {
		t.Error("fates do not follow from the seed alone")
	}
	lost, twice := 0, 0
	for _, fate := range one[200:] {
		switch fate.Copies {
		case 0:
			lost++
		case 2:
			twice++
		}
		if fate.Copies > 0 && (fate.Delay < time.Millisecond || fate.Delay > 2*time.Millisecond) {
			t.Errorf("%+v", fate)
		}
	}
	if lost < 20 || lost > 60 || twice < 5 || twice > 40 {
		t.Errorf("%d of 200 lost, %d twice", lost, twice)
	}
	t.Run("of a link", checkRulesOfLinks)
}

// checkRulesOfLinks checks that a rule and a cut hold for their link alone, until they are healed.
func checkRulesOfLinks(t *testing.T) {
	rules := NewRules(1)
	rules.Cut(Link{"a", "b"}, true)
	rules.Set(Link{"b", "a"}, Rule{Delay: time.Second})
	if rules.Next(Link{"a", "b"}).Copies != 0 || rules.Next(Link{"b", "a"}).Delay != time.Second ||
		rules.Next(Link{"a", "c"}).Copies != 1 {
		t.Error("a rule is not that of its link")
	}
	rules.Heal()
	if rules.Next(Link{"a", "b"}).Copies != 1 || rules.Next(Link{"b", "a"}).Delay != 0 {
		t.Error("not healed")
	}
}
