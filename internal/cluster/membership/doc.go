// Package membership decides which members of a cluster are running. It is a SWIM failure detector with suspicion,
// extended by the local health awareness and the buddy system of Lifeguard.
//
// The package is a state machine without I/O, clock or goroutines. A caller creates one [Detector] per process with
// [New], calls [Detector.Tick] no later than the time that [Detector.Next] returns, passes each received packet to
// [Detector.Receive], and carries out the returned [Output]: packets to send and state changes to report. A Detector is
// not safe for concurrent use. Two detectors with the same settings, seed and calls return the same outputs. Package
// internal/cluster/gossip drives a detector over UDP, package sim drives many detectors in simulated time.
//
// # Files
//
//	settings.go   the operator's settings, their validation, and the intervals derived from them
//	detector.go   the detector: construction, entry points, scheduling
//	receive.go    dispatch of a received packet to the handler of its kind
//	probe.go      ping, indirect ping (ping-req), ack and nack
//	suspicion.go  suspicion of a member: confirmation, timeout, the final checks before it is declared dead
//	state.go      states of a member, their transitions, refutation by the member itself
//	broadcast.go  dissemination: the queue of updates that are piggybacked on packets, gossip rounds
//	sync.go       anti-entropy: digests and records
//	awareness.go  local health awareness
//	table.go      the member table with its checksums; walk.go visits it in random order
//	view.go       read access for callers: snapshots, counts, state changes
//	packet.go     packets and updates; wire.go their encoding, signature and validation
package membership
