// Package membership decides which members of a cluster are running. It is a SWIM failure detector with suspicion,
// extended by the local health awareness and the buddy system of Lifeguard.
//
// The package is a state machine without I/O, clock or goroutines. A caller makes one [Detector] a process with [New],
// calls [Detector.Tick] no later than [Detector.Next] says, hands over each received packet with [Detector.Receive],
// and carries out the [Output]: packets to send and changes of members' states. A Detector is not safe for concurrent
// use. Two detectors with the same settings, seed and calls return the same outputs. Package internal/cluster/gossip
// drives a detector over UDP, package sim drives many of them in simulated time.
//
// # Files
//
//	settings.go   what an operator sets, its checks, and the timing that follows from it
//	detector.go   the detector: construction, entry points, what is due when
//	receive.go    dispatch of a received packet to the handler of its kind
//	probe.go      ping, indirect ping (ping-req), ack and nack
//	suspicion.go  suspicion of a member: confirmation, timeout, the last checks before a death is declared
//	state.go      states of a member, their transitions, refutation by the member itself
//	broadcast.go  dissemination: the queue of updates that ride on packets, gossip rounds
//	sync.go       anti-entropy: digests and records
//	awareness.go  local health awareness
//	table.go      the members with checksums; walk.go the random order in which they are visited
//	view.go       what a caller can read of the members
//	packet.go     packets and updates; wire.go their encoding, signature and checks
package membership
