// Package policysync brings the committed versions of internal/cluster/policy to one process. The process is either a
// server, which keeps the replicated log, or a watcher, which polls the servers. Both apply each version after the log
// has committed it, in order, and never an older one.
//
// A caller makes one [Node] a process with [Open], which applies the stored version at once, and drives it with
// [Node.Run] until the context ends. All methods of a Node are safe for concurrent use.
//
//	node.go          the Node: construction, the part of a server, commands to the log and reads from it
//	applier.go       the versions that are known here, and which of them is applied
//	statemachine.go  the state machine of the replicated log
//	server.go        what a server answers to watchers and to other servers
//	follow.go        a watcher's polls, and the messages between watchers and servers
//	propose.go       an operator's proposal: checks, commit, result
//	status.go        the status of the fleet and the history of versions
package policysync
