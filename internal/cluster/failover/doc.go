// Package failover keeps an instance's evidence on a candidate build under a lease in the replicated log, so that the
// evidence outlives the instance. It renews the instance's own lease with checkpoints, takes over the leases of dead
// instances, and sends votes that need a valid lease only under one. Package lease makes the decisions; this package
// does the I/O.
//
// An instance creates one [Manager] with [New], runs it with [Manager.Run] until shutdown, sends its votes through
// [Manager.Vote], and calls [Manager.ReleaseLease] once when it leaves the cluster. Each server of the log registers a
// [StateMachine] with [NewStateMachine]. A Manager is safe for concurrent use.
//
// # Order of a takeover
//
//  1. TakeOver grants the lease and returns its last checkpoint.
//  2. Merge ends that lease and writes both instances' evidence to this instance's own checkpoint, in one entry of the
//     log.
//  3. Only then does the decision module receive the evidence: if the merge is rejected, another instance has the
//     evidence.
//
// # Files
//
//	manager.go       construction, the renewal loop and the takeover loop
//	ownlease.go      this instance's lease: session, checkpoint numbers, merged leases, fences
//	propose.go       commands to the log and their replies, errors
//	renew.go         acquisition and renewal of the instance's own lease
//	checkpoint.go    content of a checkpoint; at most one is collected and written at a time
//	takeover.go      takeover of expired leases, which are then merged or abandoned
//	release.go       release of the lease when the instance leaves
//	votes.go         votes and their fences
//	status.go        lease status and evidence summary for operators
//	statemachine.go  the lease table at a server of the log
package failover
