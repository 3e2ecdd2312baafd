package failover

import (
	"context"

	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
)

// leasePath is the HTTP path of the list of leases at a server of the log.
const leasePath = "/lease/list"

// LeaseStatus is one line of `balancer work status`. Times are those of the log, as of its newest entry.
type LeaseStatus struct {
	Lease         lease.ID         `json:"work"`
	Holder        string           `json:"owner"`      // abandoned lease: the instance that abandoned it
	Incarnation   uint64           `json:"run,string"` // incarnation of the holder's process
	Token         lease.Token      `json:"token"`
	RemainingMS   float64          `json:"left_ms"` // ms until the lease expires; 0 after expiry
	Expired       bool             `json:"lapsed"`
	CheckpointAt  float64          `json:"written_ms"`     // time of the newest checkpoint (0: none) or of the abandonment
	CheckpointAge float64          `json:"written_ago_ms"` // ms since CheckpointAt
	Merged        []lease.Grant    `json:"merged,omitempty"`
	HolderState   membership.State `json:"owner_state"`     // dead if membership does not know the holder
	AbandonReason string           `json:"ended,omitempty"` // set for an abandoned lease only
}

// EvidenceSummary summarizes this instance's evidence on the candidate, including evidence of leases taken over.
type EvidenceSummary struct {
	Build     int `json:"build"`
	Stage     int `json:"stage"`
	Responses int `json:"hits"` // responses of both builds since the candidate was offered
}

// EvidenceSummary returns the current summary; all fields are zero if no build is on trial.
func (mgr *Manager) EvidenceSummary(ctx context.Context) EvidenceSummary {
	evidence, _ := mgr.engine.Evidence(ctx) // the zero value if no build is on trial
	return EvidenceSummary{Build: int(evidence.Build), Stage: evidence.Stage, Responses: countResponses(&evidence)}
}

// Leases requests the current list of leases, without checkpoints, from a server of the log.
func (mgr *Manager) Leases(ctx context.Context) (list lease.List, err error) {
	ctx, cancel := context.WithTimeout(ctx, mgr.cfg.TTL)
	defer cancel()
	err = mgr.log.Get(ctx, leasePath, &list)
	return list, err
}

// Status returns the status of each lease, followed by the leases that were abandoned last.
func (mgr *Manager) Status(ctx context.Context) ([]LeaseStatus, error) {
	list, err := mgr.Leases(ctx)
	if err != nil {
		return nil, err
	}
	statuses := []LeaseStatus{} // not nil, so that an empty list is [] in JSON
	view := mgr.view()
	for i := range list.Leases {
		statuses = append(statuses, statusOf(&list.Leases[i], list.Now, view))
	}
	for _, abandoned := range list.Abandoned {
		statuses = append(statuses, LeaseStatus{
			Lease: abandoned.ID, Holder: abandoned.Holder, Token: abandoned.Token, Expired: true,
			AbandonReason: abandoned.Reason, CheckpointAt: abandoned.At, CheckpointAge: list.Now - abandoned.At,
		})
	}
	return statuses, nil
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
