// Package policy numbers the versions of a fleet's policy. It decides which version one process may apply and whether
// that process may take part in trials. The package has no I/O, clocks or goroutines.
//
// Every server of the replicated log passes each committed [Proposal] to [State.Apply], in log order. A proposal
// becomes the next version or is rejected, with the same result at every server. A process that follows the servers
// adds their records with [State.Append]. Each process asks its own [TrialAdmission] whether to apply the latest
// record. A State and a TrialAdmission are not safe for concurrent use.
//
//	policy.go     the text of a policy, its validation and its encoding for the log
//	record.go     proposals, outcomes, records, their checksums and the stored form of one record
//	state.go      the sequence of versions and the limits on what is kept
//	admission.go  which version one process applies and when it takes part in trials
//
// internal/cluster/policysync connects this package to the log, the store and the process; docs/policy.md describes the
// alternatives that were considered.
package policy
