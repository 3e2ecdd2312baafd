package raftlog

import (
	"path/filepath"
	"slices"
	"time"
)

// Server is one of the servers that keep the log.
type Server struct {
	Name    string
	Address string // ip:port at which this process reaches it
}

// Config configures a server, or a process that reaches the servers.
type Config struct {
	Name    string
	Dir     string   // of the store; must persist over restarts
	Bind    string   // ip:port, TCP; empty for a process that is no server
	Servers []Server // 1 to 9
	Key     []byte   // 16 bytes or more, the same on all servers; nil: anyone who reaches the port can propose

	// ElectionTimeout is how long a follower waits for its leader before it starts an election; 50 ms or more, by
	// default 1 s. A higher value tolerates longer pauses and slower networks, and leaves the log without a leader for
	// longer after the leader's death. Other intervals follow from it.
	ElectionTimeout time.Duration
}

// IsServer reports whether this process is one of the servers.
func (c *Config) IsServer() bool {
	return slices.ContainsFunc(c.Servers, func(s Server) bool { return s.Name == c.Name })
}

// StoreDir is the directory of a member's store below the directory of the operator's file.
func StoreDir(dir, name string) string { return filepath.Join(dir, name) }
