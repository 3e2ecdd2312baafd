// Package lease decides which instance owns which unit of work. An instance holds a unit of work under a lease with a
// fencing token. When the holder dies, exactly one successor takes the lease over under a higher token and resumes from
// the last checkpoint. Every later command under the earlier token is rejected.
//
// The package has no I/O, clock or goroutines. Every replica keeps a [Table] and passes it the commands of the
// replicated log through [Table.Apply], in log order and with the log's time, so all tables are equal. An instance
// keeps a [Session] for its own lease: [Session.Next] returns the command to propose, and [Session.HandleReply]
// processes the reply. Package failover does the I/O for both; docs/takeover.md describes the design and its
// alternatives.
//
// # Writers of the table
//
// Only commands of the replicated log change a lease. An instance proposes a [Command] and learns from the [Reply]
// whether the command was applied. A Table is not safe for concurrent use: the caller serializes Apply, Restore and
// reads. A Session belongs to one instance, whose caller serializes access as well.
//
// # Guarantees
//
//	guarantee                               check                                              function
//	at most one holder under a token        a command must name the lease's holder and token   heldUnder
//	a live holder keeps its lease           others are rejected until the lease has expired    Table.acquire, takeOver
//	tokens increase across all leases       one counter; no stored token may exceed it         Table.grant, Restore
//	each checkpointed outcome is in         one log entry ends a lease and writes its          Table.merge
//	exactly one checkpoint                  outcomes to another lease's checkpoint
//	no earlier checkpoint overwrites a      a holder numbers its checkpoints; a lower number   Table.renew
//	later one                               only extends the lease
//	a repeated command takes effect once    a takeover, merge or abandonment that was already  Table.takeOver,
//	                                        applied gets the reply of an applied command       alreadyMerged,
//	                                                                                           alreadyAbandoned
//	a holder stops before its successor     a holder trusts only part of its TTL, counted      Session.HandleReply
//	starts                                  from the time of sending
//	only the holder of evidence votes       votes that advance or hold need a valid lease      Session.MayVote
//	based on it
//
// # Files
//
//	lease.go       a lease, its states and transitions, its holder and token
//	command.go     commands and replies of the log, validation, limits
//	table.go       the table of all leases, with one method per operation
//	snapshot.go    encoding of the table in snapshots of the log
//	session.go     an instance's own lease and the votes that it permits
//	successors.go  which instance takes over an expired lease, and when
//	resume.go      requests that a client resends after an instance died
package lease
