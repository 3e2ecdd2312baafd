package failover

import (
	"slices"
	"sync"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/rollout"
)

// ownLease is this instance's lease and what its evidence includes. It is safe for concurrent use.
type ownLease struct {
	mu      sync.Mutex
	session lease.Session
	seq     uint64         // of the newest checkpoint
	merged  []lease.Grant  // leases whose evidence is among this instance's, on the candidate build
	build   decision.Build // the candidate
}

// current is a copy of the session.
func (o *ownLease) current() lease.Session {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.session
}

// nextCommand is the command that acquires or renews the lease, with a checkpoint unless raw is nil.
func (o *ownLease) nextCommand(raw []byte) lease.Command {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.session.Next(raw)
	if raw != nil {
		o.seq++
		c.CheckpointSeq = o.seq
	}
	return c
}

// newSeq is the number of the next checkpoint.
func (o *ownLease) nextSeq() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seq++
	return o.seq
}

// handleReply takes the reply to a command that was sent at a time, and tells whether the lease was lost by it.
func (o *ownLease) handleReply(c *lease.Command, sent lease.Millis, r *lease.Reply) (revoked bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	revoked = o.session.HandleReply(c, sent, r)
	if revoked {
		o.merged = nil
	}
	return revoked
}

// mergedFor returns the merged leases for evidence on a build. Those of an earlier build fence nothing any more.
func (o *ownLease) mergedFor(build decision.Build) []lease.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	if build != o.build {
		o.build = build
		o.merged = nil
	}
	return o.merged
}

// mergedWith returns a copy of the merged leases, followed by others.
func (o *ownLease) mergedWith(others ...lease.Grant) []lease.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(slices.Clone(o.merged), others...)
}

// addMerged notes leases whose evidence this instance has now.
func (o *ownLease) addMerged(grants ...lease.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.merged = append(o.merged, grants...)
}

// mayVote tells whether a vote may be sent, and under which fences.
func (o *ownLease) mayVote(v decision.Verdict, now lease.Millis) (bool, []rollout.Fence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.session.MayVote(v, now), o.fences()
}

// fences names the leases that the evidence comes from, with their tokens. The caller holds mu.
func (o *ownLease) fences() []rollout.Fence {
	if o.session.Token() == 0 {
		return nil
	}
	out := []rollout.Fence{{Lease: string(o.session.ID), Token: uint64(o.session.Token())}}
	for _, grant := range o.merged {
		out = append(out, rollout.Fence{Lease: string(grant.ID), Token: uint64(grant.Token)})
	}
	return out
}
