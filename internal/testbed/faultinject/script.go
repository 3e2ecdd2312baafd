package faultinject

import (
	"fmt"
	"strings"
	"time"
)

// Verb is what a step does.
type Verb string

// Verbs of a script; the package's description has their grammar.
const (
	Cut     Verb = "cut"     // let nothing pass on a link
	Heal    Verb = "heal"    // lift a link's cut, or all cuts, losses and delays
	Loss    Verb = "loss"    // lose a share of all packets
	Delay   Verb = "delay"   // delay all packets
	Stall   Verb = "stall"   // stop a process's execution
	Resume  Verb = "resume"  // let a stalled process continue
	Kill    Verb = "kill"    // end a process at once
	Start   Verb = "start"   // start a process
	Restart Verb = "restart" // kill a process and start it
)

// Step is one fault, or the end of one.
type Step struct {
	At     time.Duration // since the script's start
	Verb   Verb
	Target string        // the process, or the link's first one; empty for Heal: everything
	Peer   string        // the link's second process
	Both   bool          // the link in both directions
	Share  float64       // of Loss, 0 to 1
	Delay  time.Duration // of Delay
	Jitter time.Duration // of Delay: largest random addition
}

// String writes a step as ParseScript reads it.
func (s Step) String() string {
	text := fmt.Sprintf("%v %s", s.At, s.Verb)
	switch s.Verb {
	case Cut, Heal:
		if s.Target == "" {
			return text + " all"
		}
		arrow := ">"
		if s.Both {
			arrow = "-"
		}
		return fmt.Sprintf("%s %s %s %s", text, s.Target, arrow, s.Peer)
	case Loss:
		return fmt.Sprintf("%s %g%%", text, 100*s.Share)
	case Delay:
		return fmt.Sprintf("%s %v %v", text, s.Delay, s.Jitter)
	}
	return text + " " + s.Target
}

// Script is steps in the order of their times.
type Script []Step

// String writes a script as ParseScript reads it.
func (s Script) String() string {
	lines := make([]string, len(s))
	for i, step := range s {
		lines[i] = step.String()
	}
	return strings.Join(lines, "\n")
}
