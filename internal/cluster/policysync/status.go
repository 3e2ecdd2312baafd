package policysync

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
)

// roleWatcher is the role of a process that keeps no log. Servers have the role in raftlog.Status.
const roleWatcher = "watcher"

// MemberStatus is the policy status of one process.
type MemberStatus struct {
	Name           string         `json:"name" msgpack:"Name"`
	Role           string         `json:"role" msgpack:"Role"` // roleWatcher, or that of raftlog.Status at a server
	Version        policy.Version `json:"version" msgpack:"Version"`
	Checksum       string         `json:"sum" msgpack:"Sum"`                   // covers Version and all earlier, hexadecimal
	TrialsAdmitted bool           `json:"open" msgpack:"Open"`                 // whether requests may go to a candidate
	Failure        string         `json:"failed,omitempty" msgpack:"Failed"`   // why the latest version can't be applied
	Unreachable    string         `json:"missing,omitempty" msgpack:"Missing"` // why the status could not be requested
	ReportedAt     float64        `json:"at_ms,omitempty" msgpack:"At"`        // Unix time in milliseconds
}

// FleetStatus is the result of `balancer policy status`.
type FleetStatus struct {
	Members     []MemberStatus  `json:"marshals"`      // sorted by name
	Log         *raftlog.Status `json:"log,omitempty"` // nil at a watcher
	StoredBytes int64           `json:"stored_bytes"`  // size of this process's store in bytes
}

// localStatus is the status of a server and of the watchers that poll it.
type localStatus struct {
	Self     MemberStatus   `json:"self"`
	Watchers []MemberStatus `json:"watchers"`
}

// HistoryEntry is one version in the result of `balancer policy history`.
type HistoryEntry struct {
	Version    policy.Version  `json:"version"`
	ID         string          `json:"id"`
	Proposer   string          `json:"by"`
	ProposedAt float64         `json:"at_ms"` // Unix time in milliseconds
	Checksum   string          `json:"sum"`   // hexadecimal
	Policy     json.RawMessage `json:"policy"`
}

// Self returns the status of this process.
func (n *Node) Self() MemberStatus { return n.memberStatus(n.applier.current()) }

func (n *Node) memberStatus(current appliedState) MemberStatus {
	applied := current.decision.Record
	m := MemberStatus{
		Name: n.cfg.Name, Role: roleWatcher, Version: applied.Version, Checksum: formatChecksum(applied.Checksum),
		TrialsAdmitted: current.decision.TrialsAdmitted, Failure: current.failure, ReportedAt: n.clock.Now(),
	}
	if n.raft != nil {
		m.Role = n.raft.Status().Role
	}
	return m
}

func (n *Node) localStatus() localStatus {
	return localStatus{Self: n.Self(), Watchers: n.watchers.list()}
}

// FleetStatus returns the status of the processes that are known to servers that can be reached, and of this process's
// log. The status of a server that can't be reached has the reason only.
func (n *Node) FleetStatus(ctx context.Context) FleetStatus {
	status := FleetStatus{Members: n.memberStatuses(ctx), StoredBytes: n.store.Bytes()}
	if n.raft != nil {
		log := n.raft.Status()
		status.Log = &log
	}
	return status
}

// memberStatuses returns the newest status of each process that is known to a server, sorted by name.
func (n *Node) memberStatuses(ctx context.Context) []MemberStatus {
	latest := map[string]MemberStatus{}
	for _, local := range n.collectLocalStatus(ctx) {
		latest[local.Self.Name] = local.Self
		for _, m := range local.Watchers {
			if other, exists := latest[m.Name]; !exists || other.ReportedAt < m.ReportedAt {
				latest[m.Name] = m
			}
		}
	}
	if n.raft == nil {
		latest[n.cfg.Name] = n.Self()
	}
	var all []MemberStatus
	for _, m := range latest {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// collectLocalStatus requests the local status of all servers concurrently.
func (n *Node) collectLocalStatus(ctx context.Context) []localStatus {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	all := make([]localStatus, len(n.cfg.Servers))
	var requests sync.WaitGroup
	for i, server := range n.cfg.Servers {
		if server.Name == n.cfg.Name {
			all[i] = n.localStatus()
			continue
		}
		requests.Go(func() {
			err := raftlog.Call(ctx, n.httpClient, server.Address, http.MethodGet, "/policy/local", nil, &all[i])
			if err != nil {
				all[i] = localStatus{Self: MemberStatus{Name: server.Name, Unreachable: err.Error()}}
			}
		})
	}
	requests.Wait()
	return all
}

// History returns the versions that this process keeps, oldest first.
func (n *Node) History() []HistoryEntry {
	records, _, _ := n.applier.since(0)
	entries := []HistoryEntry{} // not nil, so that an empty history is [] in JSON
	for _, r := range records {
		entries = append(entries, HistoryEntry{
			Version: r.Version, ID: r.ID, Proposer: r.Proposer, ProposedAt: r.ProposedAt, Checksum: formatChecksum(r.Checksum),
			Policy: r.Body,
		})
	}
	return entries
}
