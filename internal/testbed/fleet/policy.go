package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"ottershed/internal/admin"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/policysync"
)

// PolicyStatus returns an instance's knowledge of the policy versions of all instances.
func (f *Fleet) PolicyStatus(ctx context.Context, i int) (*policysync.FleetStatus, error) {
	status := &policysync.FleetStatus{}
	return status, f.get(ctx, i, "/policy/status", status)
}

// PolicyHistory returns the policy versions that an instance keeps.
func (f *Fleet) PolicyHistory(ctx context.Context, i int) (past []policysync.HistoryEntry, err error) {
	err = f.get(ctx, i, "/policy/history", &past)
	return past, err
}

// OwnPolicyStatus returns the policy status of an instance about itself.
func (f *Fleet) OwnPolicyStatus(ctx context.Context, i int) (self policysync.MemberStatus, err error) {
	err = f.get(ctx, i, "/policy/self", &self)
	return self, err
}

// CheckPolicyVersion returns an error unless an instance runs a policy version and admits trial traffic.
func (f *Fleet) CheckPolicyVersion(ctx context.Context, i int, v policy.Version) error {
	self, err := f.OwnPolicyStatus(ctx, i)
	if err != nil {
		return err
	}
	if self.Version != v || !self.TrialsAdmitted {
		return fmt.Errorf("%s runs version %d, trials admitted %v, want version %d with trials",
			f.names[i], self.Version, self.TrialsAdmitted, v)
	}
	return nil
}

// Propose proposes a policy at an instance and waits for its commit until ctx ends. Proposals with the same nonempty id
// count once.
func (f *Fleet) Propose(ctx context.Context, i int, policy, id string) (*policysync.ProposeResult, error) {
	request := policysync.ProposeRequest{Policy: json.RawMessage(policy), ID: id}
	if end, ok := ctx.Deadline(); ok {
		request.WaitMS = max(1, time.Until(end).Milliseconds())
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	raw, err := admin.Call(ctx, f.AdminAddress(i), "/policy/propose", body)
	if err != nil {
		return nil, err
	}
	result := &policysync.ProposeResult{}
	return result, json.Unmarshal(raw, result)
}
