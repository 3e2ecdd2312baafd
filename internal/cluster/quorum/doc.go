// Package quorum decides how a server joins the servers of a replicated log: whether it bootstraps a new log, or has to
// be readmitted to an existing log because its store was lost. The package has no I/O and no state.
// Package internal/cluster/raftlog carries out the decisions.
//
//	start.go    how a server without a log starts
//	readmit.go  the steps by which a leader readmits a server
package quorum
