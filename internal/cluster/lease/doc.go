// Package lease decides which instance owns which unit of work. A unit is held under a lease with a fencing token; when
// its holder dies, exactly one successor takes it over from its last checkpoint, under a higher token, and every later
// command under the earlier token is rejected.
//
// The package has no I/O, clock or goroutines. Every replica keeps a [Table] and hands it the commands of the
// replicated log through [Table.Apply], in the order of the log and with the log's time, so all tables are equal. An
// instance keeps a [Session] for its own lease: [Session.Next] is the command to propose, [Session.HandleReply] takes
// what the log replied. Package failover does the I/O for both; docs/takeover.md gives the design and its
// alternatives.
//
// # Who may write the table
//
// Only the replicated log writes it. An instance proposes a [Command] and learns from the [Reply] whether it was
// applied; nothing else changes a lease. A Table is not safe for concurrent use: its caller serializes Apply, Restore
// and reads. A Session belongs to one instance, whose caller serializes access as well.
//
// # What each check protects
//
//	property                                check                                              function
//	at most one holder under a token        a command must name the lease's holder and token   heldUnder
//	a live holder keeps its lease           others are rejected until the lease has expired    Table.acquire, takeOver
//	tokens rise over all leases             one counter; no stored token may be above it       Table.grant, Restore
//	each checkpointed outcome is in         ending a lease and writing its outcomes into       Table.merge
//	exactly one place                       another's checkpoint are one entry of the log
//	no earlier checkpoint overwrites a      a holder numbers its checkpoints; a lower number   Table.renew
//	later one                               extends the lease only
//	a repeated command counts once          a takeover, merge or abandonment that was applied  Table.takeOver, wasMerged,
//	                                        before is answered as done                         wasAbandoned
//	a holder stops before another starts    a holder trusts part of its lease, counted from    Session.HandleReply
//	                                        the time of sending
//	only the holder of evidence votes by    votes that advance or hold need a valid lease      Session.MayVote
//	it
//
// # Files
//
//	lease.go       a lease, its states and transitions, its holder and token
//	command.go     commands and replies of the log, validation, bounds
//	table.go       all leases, one method an operation
//	snapshot.go    the table as stored in snapshots of the log
//	session.go     an instance's own lease, and what it may do under it
//	successors.go  which instance takes over an expired lease, and when
//	resume.go      requests that a client sends again after its instance died
package lease
