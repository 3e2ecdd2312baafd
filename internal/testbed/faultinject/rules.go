package faultinject

import (
	"hash/crc32"
	"sync"
	"time"

	"ottershed/internal/stats"
)

// Link is one direction between two processes, by their names.
type Link struct{ From, To string }

// Rule is what happens to the packets of a link. The zero value lets all pass at once.
type Rule struct {
	Cut       bool          // nothing passes
	Drop      float64       // share of packets that are lost, 0 to 1
	Duplicate float64       // share of packets that arrive twice, 0 to 1
	Delay     time.Duration // of each packet
	Jitter    time.Duration // largest random addition to Delay; with it, packets may overtake each other
}

// Fate is what becomes of one packet.
type Fate struct {
	Copies int // 0: lost
	Delay  time.Duration
}

// Rules hold the rule of each link. They are safe for concurrent use.
type Rules struct {
	seed uint64

	mu          sync.Mutex
	defaultRule Rule
	links       map[Link]*linkState
}

type linkState struct {
	rule   *Rule // nil: the default rule
	cut    bool
	random stats.Random
}

// NewRules makes rules under which everything passes. The seed decides the fates of packets under later rules.
func NewRules(seed uint64) *Rules { return &Rules{seed: seed, links: map[Link]*linkState{}} }

// state is a link's state, made at its first use. The caller has the lock.
func (r *Rules) state(l Link) *linkState {
	state := r.links[l]
	if state == nil {
		name := crc32.ChecksumIEEE([]byte(l.From + "\x00" + l.To))
		state = &linkState{random: stats.Random{Seed: r.seed<<32 ^ uint64(name)}}
		r.links[l] = state
	}
	return state
}

// SetDefault sets the rule of links that have none of their own.
func (r *Rules) SetDefault(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultRule = rule
}

// Set gives a link a rule of its own.
func (r *Rules) Set(l Link, rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(l).rule = &rule
}

// Cut lets nothing pass on a link (on), or lets packets pass again by the link's rule.
func (r *Rules) Cut(l Link, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state(l).cut = on
}

// Heal removes all rules and cuts.
func (r *Rules) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultRule = Rule{}
	for _, state := range r.links {
		state.rule, state.cut = nil, false
	}
}

// RuleFor is the rule that holds for a link now.
func (r *Rules) RuleFor(l Link) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.effectiveRule(r.state(l))
}

func (r *Rules) effectiveRule(state *linkState) Rule {
	rule := r.defaultRule
	if state.rule != nil {
		rule = *state.rule
	}
	rule.Cut = rule.Cut || state.cut
	return rule
}

// Next draws the fate of a link's next packet.
func (r *Rules) Next(l Link) Fate {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(l)
	rule := r.effectiveRule(state)
	// All three are drawn for each packet, whatever the rule: otherwise a packet's fate would depend on the rules
	// that held for the packets before it.
	loss, duplicate, jitter := state.random.Next(), state.random.Next(), state.random.Next()
	if rule.Cut || loss < rule.Drop {
		return Fate{}
	}
	fate := Fate{Copies: 1, Delay: rule.Delay + time.Duration(jitter*float64(rule.Jitter))}
	if duplicate < rule.Duplicate {
		fate.Copies = 2
	}
	return fate
}
