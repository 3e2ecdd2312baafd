package faultinject

import (
	"fmt"
	"strings"
	"time"
)

// Verb is the action of a step.
type Verb string

// Verbs of a script. The package comment defines their grammar.
const (
	Cut     Verb = "cut"     // block a link
	Heal    Verb = "heal"    // unblock a link, or lift all cuts, losses and delays
	Loss    Verb = "loss"    // lose a share of all packets
	Delay   Verb = "delay"   // delay all packets
	Stall   Verb = "stall"   // suspend a process
	Resume  Verb = "resume"  // resume a suspended process
	Kill    Verb = "kill"    // kill a process
	Start   Verb = "start"   // start a process
	Restart Verb = "restart" // kill a process and start it
)

// Step is one action of a script: a fault or its end.
type Step struct {
	At     time.Duration // time of the step, since the start of the script
	Verb   Verb
	Target string        // the process, or the first process of the link; empty for Heal of all links
	Peer   string        // the second process of the link
	Both   bool          // for Cut and Heal: the step applies to both directions of the link
	Share  float64       // for Loss: share of packets lost, 0 to 1
	Delay  time.Duration // for Delay: delay of each packet
	Jitter time.Duration // for Delay: maximum random addition
}

// String formats a step in the syntax of ParseScript.
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

// Script is a sequence of steps, ordered by time.
type Script []Step

// String formats a script in the syntax of ParseScript.
func (s Script) String() string {
	lines := make([]string, len(s))
	for i, step := range s {
		lines[i] = step.String()
	}
	return strings.Join(lines, "\n")
}
