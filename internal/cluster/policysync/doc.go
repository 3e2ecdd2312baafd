// Package policysync delivers the committed versions of internal/cluster/policy to one process. The process is either a
// server, which keeps the replicated log, or a watcher, which polls the servers. Both apply versions only after the log
// has committed them, in order, and never return to an earlier version.
//
// Each process creates one [Node] with [Open], which immediately applies the stored version, and runs it with
// [Node.Run] until the context ends. All methods of a Node are safe for concurrent use.
//
//	node.go          the Node: construction, catch-up of a server, commands to the log and reads from it
//	applier.go       the known versions and which of them is applied
//	statemachine.go  the state machine of the replicated log
//	server.go        HTTP handlers of a server for watchers and other servers
//	follow.go        a watcher's polls, and the messages between watchers and servers
//	propose.go       an operator's proposal: checks, commit, result
//	status.go        the status of the fleet and the history of versions
package policysync
