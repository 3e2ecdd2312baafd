// Package raftlog replicates a log of commands among a few servers, with hashicorp/raft over one TCP port per server
// and bbolt for storage. Commands are applied by state machines that are registered by kind. The package does not
// depend on the content of commands.
//
// A server opens its [Store] with [OpenStore] and its [Node] with [Open], registers state machines and handlers, and
// calls [Node.Run]. A process that is no server accesses the log through a [Client]. Package internal/cluster/quorum
// decides, without I/O, how a server without a log starts or rejoins a log.
//
// # Files
//
//	config.go     servers and settings
//	node.go       the node: construction, the raft instance, status
//	join.go       bootstrap, rejoining after the loss of a store, readmission by the leader
//	propose.go    proposals with deadlines by the leader's clock, barriers
//	client.go     HTTP calls to servers
//	entry.go      the encoding of entries with the leader's stamp
//	fsm.go        state machines, snapshots
//	store.go      entries, term, vote and user values on disk; verify.go the verification of a store before it is opened
//	listener.go   one listener for raft and HTTP; handshake.go authentication by the shared key
package raftlog
