// Package faultinject injects faults into processes on loopback and into the connections between them. Relays in front
// of each process (PacketRelays for UDP, StreamRelays for TCP) drop, delay, duplicate and cut traffic by the Rules of
// each link. A Process can be stalled, killed and restarted. The delivery of a packet is decided without I/O from a
// seed: the same seed gives the packets of a link the same deliveries.
//
// Faults are injected by method calls, by a script (ParseScript) or by a script generated from a seed (RandomScript).
// An Environment plays scripts:
//
//	script, err := faultinject.ParseScript("2s cut n0 > n1\n10s heal all")
//	err = cluster.FaultEnvironment().Play(ctx, script)
//
// # Scripts
//
// A script has one step per line: a time since the start of the script, an action and its arguments. Words are
// separated by spaces. Steps may appear in any order; steps with the same time run in the order of their lines. Empty
// lines are ignored.
//
//	script  = { [ step ] [ "#" remark ] newline }
//	step    = time action
//	action  = "cut" link                              block the link until it is healed
//	        | "heal" ( link | "all" )                 unblock the link; all: lift all cuts, losses and delays
//	        | "loss" share                            lose this share of packets on all links
//	        | "delay" time time                       delay all packets; the second time is the maximum jitter
//	        | ( "stall" | "resume" ) name             suspend or resume a process
//	        | ( "kill" | "start" | "restart" ) name   kill a process, start it, or both
//	link    = name ( ">" | "-" ) name                 ">": one direction, "-": both directions
//	time    = a Go duration, such as 500ms or 1.5s; the time of a step is not negative
//	share   = a number from 0 to 100, with or without "%"
//	name    = the name of a process
//
// A loss step replaces an earlier delay step and vice versa. For example:
//
//	1s    stall n1     # a pause
//	2s    cut n0 > n2
//	3s    loss 20%
//	4s    resume n1
//	10s   heal all
//
// ParseScript reports the first syntax error as a *SyntaxError with its line and column.
//
// Files: rules.go (delivery rules of links), packets.go and streams.go (relays), process.go, script.go (steps and their
// text form), parse.go, play.go, random.go.
package faultinject
