// Package policy numbers the versions of a fleet's policy and decides which of them one process may apply, and whether
// that process may take part in trials. It is free of I/O, clocks and goroutines.
//
// Every server of the replicated log hands each committed [Proposal] to [State.Apply], in the order of the log.
// A proposal becomes the next version or is rejected, with the same result at every server. A process that follows
// the servers adds their records with [State.Append]. Each process asks its own [TrialAdmission] whether to apply the
// latest record. A State and a TrialAdmission are not safe for concurrent use.
//
//	policy.go     the text of a policy, its checks and its form for the log
//	record.go     proposals, outcomes, records, their checksums and the stored form of one record
//	state.go      the sequence of versions and how much of it is kept
//	admission.go  which version one process applies and when it takes part in trials
//
// internal/cluster/policysync connects it to the log, the store and the process; docs/policy.md names the alternatives
// that were considered.
package policy
