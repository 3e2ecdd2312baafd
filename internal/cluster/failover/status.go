package failover

import (
	"context"

	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
)

// leasePath is where a server of the log returns its list of leases.
const leasePath = "/lease/list"

// LeaseStatus is one line of `ottershed work status`. Times are by the log's clock, as of its newest entry.
type LeaseStatus struct {
	Lease         lease.ID         `json:"work"`
	Holder        string           `json:"owner"`      // of an abandoned lease: who abandoned it
	Incarnation   uint64           `json:"run,string"` // of the holder's process
	Token         lease.Token      `json:"token"`
	RemainingMS   float64          `json:"left_ms"` // until the lease expires, 0 once it has
	Expired       bool             `json:"lapsed"`
	CheckpointAt  float64          `json:"written_ms"`     // of the newest checkpoint; 0: none. Abandoned: when it was
	CheckpointAge float64          `json:"written_ago_ms"` // ms since CheckpointAt
	Merged        []lease.Grant    `json:"merged,omitempty"`
	HolderState   membership.State `json:"owner_state"`     // dead where membership does not know the holder
	AbandonReason string           `json:"ended,omitempty"` // set for an abandoned lease only
}

// EvidenceSummary is what this instance has gathered on the candidate, with what it took over.
type EvidenceSummary struct {
	Build     int `json:"build"`
	Stage     int `json:"stage"`
	Responses int `json:"hits"` // of both builds, since the candidate was offered
}

// EvidenceSummary returns that as of now; all zero where no build is on trial.
func (mgr *Manager) EvidenceSummary(ctx context.Context) EvidenceSummary {
	evidence, _ := mgr.engine.Evidence(ctx) // zero where no build is on trial
	return EvidenceSummary{Build: int(evidence.Build), Stage: evidence.Stage, Responses: countResponses(&evidence)}
}

// Leases returns all leases as a server of the log has them now, without checkpoints.
func (mgr *Manager) Leases(ctx context.Context) (list lease.List, err error) {
	ctx, cancel := context.WithTimeout(ctx, mgr.cfg.TTL)
	defer cancel()
	err = mgr.log.Get(ctx, leasePath, &list)
	return list, err
}

// Status returns a line for each lease, and for each that was abandoned of late.
func (mgr *Manager) Status(ctx context.Context) ([]LeaseStatus, error) {
	list, err := mgr.Leases(ctx)
	if err != nil {
		return nil, err
	}
	out := []LeaseStatus{} // not null in JSON
	view := mgr.view()
	for i := range list.Leases {
		out = append(out, statusOf(&list.Leases[i], list.Now, view))
	}
	for _, abandoned := range list.Abandoned {
		out = append(out, LeaseStatus{
			Lease: abandoned.ID, Holder: abandoned.Holder, Token: abandoned.Token, Expired: true,
			AbandonReason: abandoned.Reason, CheckpointAt: abandoned.At, CheckpointAge: list.Now - abandoned.At,
		})
	}
	return out, nil
}

func statusOf(l *lease.Lease, now lease.Millis, view *membership.View) LeaseStatus {
	status := LeaseStatus{
		Lease: l.ID, Holder: l.Holder.Name, Incarnation: l.Holder.Incarnation, Token: l.Token,
		RemainingMS: max(0, l.ExpiresAt-now), Expired: l.Expired(now),
		CheckpointAt: l.CheckpointAt, CheckpointAge: now - l.CheckpointAt, Merged: l.Merged,
		HolderState: membership.Dead,
	}
	if member, known := view.Get(membership.Name(l.Holder.Name)); known {
		status.HolderState = member.State
	}
	return status
}
