package raftlog

import (
	"path/filepath"
	"slices"
	"time"
)

// Server is one of the servers that replicate the log.
type Server struct {
	Name    string
	Address string // ip:port at which this process reaches the server
}

// Config configures a server, or a process that is no server and accesses the log.
type Config struct {
	Name    string   // name of this process
	Dir     string   // directory of the store; must persist across restarts
	Bind    string   // ip:port of the TCP listener; empty for a process that is no server
	Servers []Server // all servers of the log, 1 to 9
	Key     []byte   // 16 bytes or more, the same on all servers; nil: anyone who reaches the port can propose

	// ElectionTimeout is how long a follower waits for a sign of its leader before it starts an election; 50 ms or more,
	// by default 1 s. A higher value tolerates longer pauses and slower networks, but leaves the log without a leader for
	// longer after the leader has died. Other intervals are derived from it.
	ElectionTimeout time.Duration
}

// IsServer reports whether this process is one of the servers.
func (c *Config) IsServer() bool {
	return slices.ContainsFunc(c.Servers, func(s Server) bool { return s.Name == c.Name })
}

// StoreDir returns the directory of the store of a named member, below the directory dir of the operator's file.
func StoreDir(dir, name string) string { return filepath.Join(dir, name) }
