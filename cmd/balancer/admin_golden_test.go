package main

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/failover"
	"ottershed/internal/cluster/gossip"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/policysync"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/golden"
)

// adminEncoder returns a function that serves a value on an admin address and returns the response's body.
func adminEncoder(t *testing.T) func(value any) ([]byte, error) {
	t.Helper()
	return func(value any) ([]byte, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := admin.New()
		server.Get("/", func() any { return value })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx, listener) }()
		raw, err := admin.Call(ctx, listener.Addr().String(), "/", nil)
		cancel()
		if runErr := <-ended; runErr != nil {
			t.Errorf("admin server ended with error %v, want none", runErr)
		}
		return raw, err
	}
}

func memberView() membersResponse {
	view := &membership.View{
		Self: "a", At: 1764700000123.5, Health: 3, SupersededBy: "127.0.0.9:7009", Rejected: 2,
		Members: []membership.Member{{
			Name: "c", Address: "127.0.0.3:7003", State: membership.Suspect, Incarnation: 1764700000123,
			Run: 0xfedcba9876543210, StateSince: 1764700000001.25, Accuser: "a",
		}},
	}
	return membersResponse{view, gossip.Counters{PacketsIn: 1, PacketsOut: 2, BytesIn: 3, BytesOut: 4, Rejected: 5, DroppedChanges: 6}}
}

func fleetStatus() policysync.FleetStatus {
	return policysync.FleetStatus{
		StoredBytes: 4096,
		Members: []policysync.MemberStatus{{
			Name: "marshal-a", Role: "watcher", Version: 7, Checksum: "fedcba98", TrialsAdmitted: true,
			Failure: "can't be run", Unreachable: "no answer", ReportedAt: 1764700000123.5,
		}},
		Log: &raftlog.Status{Role: "leader", Leader: "a", Term: 3, CommitIndex: 20, AppliedIndex: 19, Voters: []string{"a", "b"}},
	}
}

// The JSON of the admin interface stays as it was, since commands of earlier versions and operators' scripts read it.
func TestAdminResponseFormat(t *testing.T) {
	encode := adminEncoder(t)
	status := fleetStatus()
	golden.RoundTrip(t, "members.json", memberView(), encode, json.Unmarshal)
	golden.RoundTrip(t, "policy_status.json", status, encode, json.Unmarshal)
	golden.RoundTrip(t, "policy_self.json", status.Members[0], encode, json.Unmarshal)
	// The admin server indents a policy's JSON too, which would change its bytes. A number stays the same.
	golden.RoundTrip(t, "policy_history.json", []policysync.HistoryEntry{{
		Version: 7, ID: "an-id", Proposer: "marshal-a", ProposedAt: 1764700000123.5,
		Checksum: "fedcba98", Policy: json.RawMessage(`7`),
	}}, encode, json.Unmarshal)
	golden.RoundTrip(t, "policy_proposed.json", policysync.ProposeResult{ID: "an-id", Version: policy.Version(7), Duplicate: true},
		encode, json.Unmarshal)
	golden.RoundTrip(t, "work.json", []failover.LeaseStatus{{
		Lease: "trial/a", Holder: "a", Incarnation: 0xfedcba9876543210, Token: 11, RemainingMS: 500.5,
		Expired: true, CheckpointAt: 4000.25, CheckpointAge: 250.5, Merged: []lease.Grant{{ID: "trial/c", Token: 9}},
		HolderState: membership.Suspect, AbandonReason: "can't be read",
	}}, encode, json.Unmarshal)
	golden.RoundTrip(t, "work_seen.json", failover.EvidenceSummary{Build: 8, Stage: 2, Responses: 42}, encode, json.Unmarshal)
}
