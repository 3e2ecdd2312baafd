// Package faultnet puts faults between processes on loopback: relays that stand in front of each process lose, delay,
// double and cut what passes, and processes are stalled, killed and started again, by a script or by a seed. The decision
// what becomes of a packet is Rules', free of I/O: the same seed gives the same fates, packet by packet of a link.
package faultinject

import (
	"hash/crc32"
	"ottershed/internal/stats"
	"sync"
	"time"
)

// Link is one direction between two processes, by their names.
type Link struct{ From, To string }

// Rule is what befalls packets of a link.
type Rule struct {
	Cut       bool    // nothing passes
	Drop      float64 // share that is lost
	Duplicate float64 // share that comes twice
	Delay     time.Duration
	Jitter    time.Duration // added, drawn evenly; packets may pass each other
}

// Fate is what becomes of one packet.
type Fate struct {
	Copies int // 0: lost
	Delay  time.Duration
}

// Rules hold the rule of each link. They may be used by many at once.
type Rules struct {
	seed uint64

	mu          sync.Mutex
	defaultRule Rule
	links       map[Link]*link
}

type link struct {
	rule   *Rule // nil: that of all
	cut    bool
	chance stats.Random
}

// NewRules makes rules under which all passes.
func NewRules(seed uint64) *Rules { return &Rules{seed: seed, links: map[Link]*link{}} }

func (r *Rules) linkState(l Link) *link {
	at := r.links[l]
	if at == nil {
		at = &link{chance: stats.Random{Seed: r.seed<<32 ^ uint64(crc32.ChecksumIEEE([]byte(l.From+"\x00"+l.To)))}}
		r.links[l] = at
	}
	return at
}

// All sets the rule of links that have none of their own.
func (r *Rules) SetDefault(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultRule = rule
}

// Set gives a link a rule of its own.
func (r *Rules) Set(l Link, rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkState(l).rule = &rule
}

// Cut has nothing pass on a link, or lets it pass again by its rule.
func (r *Rules) Cut(l Link, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.linkState(l).cut = on
}

// Heal takes all rules and cuts away.
func (r *Rules) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultRule = Rule{}
	for _, l := range r.links {
		l.rule, l.cut = nil, false
	}
}

// Of is the rule that holds for a link now.
func (r *Rules) RuleFor(l Link) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.effectiveRule(r.linkState(l))
}

func (r *Rules) effectiveRule(l *link) Rule {
	rule := r.defaultRule
	if l.rule != nil {
		rule = *l.rule
	}
	rule.Cut = rule.Cut || l.cut
	return rule
}

// Next draws the fate of a link's next packet.
func (r *Rules) Next(l Link) Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.linkState(l)
	rule := r.effectiveRule(at)
	// Danger: drawn only where a rule asks for it, a packet's fate would hang on what held for those before it.
	lost, twice, late := at.chance.Next(), at.chance.Next(), at.chance.Next()
	if rule.Cut || lost < rule.Drop {
		return Fate{}
	}
	f := Fate{Copies: 1, Delay: rule.Delay + time.Duration(late*float64(rule.Jitter))}
	if twice < rule.Duplicate {
		f.Copies = 2
	}
	return f
}
