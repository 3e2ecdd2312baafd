// Package faultinject injects faults between processes on loopback and into the processes themselves. Relays in front
// of each process (Packets for UDP, Streams for TCP) lose, delay, duplicate and cut what passes, as Rules say for each
// link; a Process is stalled, killed and started again. What becomes of a packet is decided without I/O and from a
// seed: the same seed gives the packets of a link the same fates.
//
// Faults are injected by calls, by a script (ParseScript) or by a script that is drawn from a seed (Random). An
// Environment plays scripts:
//
//	script, err := faultinject.ParseScript("2s cut n0 > n1\n10s heal all")
//	err = cluster.FaultEnvironment().Play(ctx, script)
//
// # Scripts
//
// A script has one step a line: a time from the script's start, what happens, and to what. Words are separated by
// spaces. Steps may stand in any order; those of one time happen in the order of their lines. Empty lines are skipped.
//
//	script  = { [ step ] [ "#" remark ] newline }
//	step    = time action
//	action  = "cut" link                              nothing passes on the link until it is healed
//	        | "heal" ( link | "all" )                 lift a cut; all: lift all cuts, losses and delays
//	        | "loss" share                            of the packets of all links
//	        | "delay" time time                       of all packets; the second time is the largest random addition
//	        | ( "stall" | "resume" ) name             stop a process's execution, let it continue
//	        | ( "kill" | "start" | "restart" ) name   end a process at once, start it, or both
//	link    = name ( ">" | "-" ) name                 ">": one direction, "-": both directions
//	time    = a Go duration, such as 500ms or 1.5s; that of a step is not below 0
//	share   = a number from 0 to 100, with or without "%"
//	name    = the name of a process
//
// loss and delay replace each other. For example:
//
//	1s    stall n1     # a pause
//	2s    cut n0 > n2
//	3s    loss 20%
//	4s    resume n1
//	10s   heal all
//
// ParseScript reports the first mistake as a *SyntaxError with its line and column.
//
// Files: rules.go (what becomes of a packet), packets.go and streams.go (relays), process.go, script.go (steps as
// values and text), parse.go, play.go, random.go.
package faultinject
