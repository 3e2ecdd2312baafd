// Package failover keeps an instance's evidence on a candidate build under a lease in the replicated log, so that the
// evidence outlives the instance. It renews the instance's own lease with checkpoints, takes over the leases of
// instances that have died, and lets votes out only under a valid lease. Package lease decides; this package does the
// I/O.
//
// An instance makes one [Manager] with [New], runs it with [Manager.Run] until shutdown, sends its votes through
// [Manager.Vote], and calls [Manager.ReleaseAll] once when it leaves. Each server of the log registers a [StateMachine]
// with [NewStateMachine]. A Manager is safe for concurrent use.
//
// # Order of a takeover
//
//  1. TakeOver grants the lease and returns its last checkpoint.
//  2. Merge ends that lease and writes both instances' evidence to this instance's own checkpoint, in one entry of the
//     log.
//  3. Only then does the decision module receive the evidence: if the merge is rejected, another instance has it.
//
// # Files
//
//	manager.go       construction, the two loops
//	ownlease.go      this instance's lease: session, checkpoint numbers, merged leases, fences
//	propose.go       commands to the log and their replies, errors
//	renew.go         acquires and renews the instance's own lease
//	checkpoint.go    what a checkpoint holds; one is on its way at a time
//	takeover.go      takes over expired leases, merges or abandons them
//	release.go       releases the lease when the instance leaves
//	votes.go         votes and their fences
//	status.go        answers to operators
//	statemachine.go  the lease table at a server of the log
package failover
