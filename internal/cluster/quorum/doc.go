// Package quorum decides how a server gets its place among the servers of a replicated log: whether it bootstraps a new
// log, joins an existing one, or has to be readmitted because its store was lost. It is free of I/O and has no state;
// internal/cluster/raftlog carries the decisions out.
//
//	start.go    how a server without a log begins
//	readmit.go  the steps by which a leader readmits a server
package quorum
