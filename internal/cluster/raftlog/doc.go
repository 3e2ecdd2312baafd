// Package raftlog keeps a log of commands replicated among a few servers, with hashicorp/raft over one TCP port a
// server and bbolt for storage. The commands belong to state machines that are registered by kind; the package knows
// nothing of their content.
//
// A server opens its [Store] with [OpenStore] and its [Node] with [Open], registers state machines and handlers, and
// calls [Node.Run]. A process that keeps no log reaches it through a [Client]. Package internal/cluster/quorum decides,
// free of I/O, how a server without a log begins one or rejoins.
//
// # Files
//
//	config.go     servers and settings
//	node.go       the node: construction, the raft instance, status
//	join.go       bootstrap, rejoining after a lost store, the leader's part in it
//	propose.go    proposals with deadlines by the leader's clock, barriers
//	client.go     calls to servers over HTTP
//	entry.go      the encoding of entries with the leader's stamp
//	fsm.go        state machines, snapshots
//	store.go      entries, term, vote and user values on disk; verify.go the check of a store as it is opened
//	listener.go   one listener for raft and HTTP; handshake.go the proof of the common key
package raftlog
