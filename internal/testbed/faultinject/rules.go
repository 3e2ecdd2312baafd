package faultinject

import (
	"hash/crc32"
	"sync"
	"time"

	"ottershed/internal/stats"
)

// Link is one direction between two processes, identified by their names.
type Link struct{ From, To string }

// Rule defines the delivery of packets on a link. The zero value delivers all packets without delay.
type Rule struct {
	Cut       bool          // no packet is delivered
	Drop      float64       // share of packets that are lost, 0 to 1
	Duplicate float64       // share of packets that arrive twice, 0 to 1
	Delay     time.Duration // delay of each packet
	Jitter    time.Duration // maximum random addition to Delay; it may reorder packets
}

// Delivery is the outcome for one packet.
type Delivery struct {
	Copies int           // number of copies that arrive: 0 if the packet is lost, 2 if it is duplicated
	Delay  time.Duration // delay of all copies
}

// Rules holds the rule of each link. It is safe for concurrent use.
type Rules struct {
	seed uint64

	mu          sync.Mutex
	defaultRule Rule
	links       map[Link]*linkState
}

type linkState struct {
	rule   *Rule // nil: the default rule applies
	cut    bool  // set by SetCut; blocks the link whatever its rule is
	random stats.Random
}

// NewRules returns rules under which all packets are delivered. seed determines the deliveries under later rules.
func NewRules(seed uint64) *Rules { return &Rules{seed: seed, links: map[Link]*linkState{}} }

// stateFor returns the state of a link and creates it at the first use. The caller must hold r.mu.
func (r *Rules) stateFor(l Link) *linkState {
	state := r.links[l]
	if state == nil {
		name := crc32.ChecksumIEEE([]byte(l.From + "\x00" + l.To))
		state = &linkState{random: stats.Random{Seed: r.seed<<32 ^ uint64(name)}}
		r.links[l] = state
	}
	return state
}

// SetDefault sets the rule of links without their own rule.
func (r *Rules) SetDefault(rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.defaultRule = rule
}

// Set sets the rule of one link.
func (r *Rules) Set(l Link, rule Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateFor(l).rule = &rule
}

// SetCut blocks a link if on is true, and otherwise unblocks the link, which keeps its rule.
func (r *Rules) SetCut(l Link, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateFor(l).cut = on
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

// RuleFor returns the current rule of a link, including a cut.
func (r *Rules) RuleFor(l Link) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.effectiveRule(r.stateFor(l))
}

func (r *Rules) effectiveRule(state *linkState) Rule {
	rule := r.defaultRule
	if state.rule != nil {
		rule = *state.rule
	}
	rule.Cut = rule.Cut || state.cut
	return rule
}

// NextDelivery draws the delivery of the next packet on a link.
func (r *Rules) NextDelivery(l Link) Delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.stateFor(l)
	rule := r.effectiveRule(state)
	// All three numbers are drawn for each packet, independent of the rule. Otherwise the delivery of a packet would
	// depend on the rules for earlier packets.
	loss, duplicate, jitter := state.random.Float64(), state.random.Float64(), state.random.Float64()
	if rule.Cut || loss < rule.Drop {
		return Delivery{}
	}
	delivery := Delivery{Copies: 1, Delay: rule.Delay + time.Duration(jitter*float64(rule.Jitter))}
	if duplicate < rule.Duplicate {
		delivery.Copies = 2
	}
	return delivery
}
