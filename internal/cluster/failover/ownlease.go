package failover

import (
	"slices"
	"sync"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/rollout"
)

// ownLease holds this instance's lease and the leases whose evidence the instance has merged. It is safe for concurrent
// use.
type ownLease struct {
	mu      sync.Mutex
	session lease.Session
	seq     uint64         // number of the newest checkpoint
	merged  []lease.Grant  // leases whose evidence on the candidate this instance has merged
	build   decision.Build // the candidate that the evidence of merged is about
}

// current returns a copy of the session.
func (o *ownLease) current() lease.Session {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.session
}

// nextCommand returns the command that acquires or renews the lease. A renewal has raw as a newly numbered checkpoint
// unless raw is nil.
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

// nextSeq assigns and returns the number of the next checkpoint.
func (o *ownLease) nextSeq() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seq++
	return o.seq
}

// handleReply processes the reply to a command and reports whether the reply revoked the lease; sent is when the
// command was sent, by the instance's local clock.
func (o *ownLease) handleReply(c *lease.Command, sent lease.Millis, r *lease.Reply) (revoked bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	revoked = o.session.HandleReply(c, sent, r)
	if revoked {
		o.merged = nil
	}
	return revoked
}

// mergedFor returns the merged leases for evidence on a build. It drops those of an earlier build, whose evidence backs
// no vote any more.
func (o *ownLease) mergedFor(build decision.Build) []lease.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	if build != o.build {
		o.build = build
		o.merged = nil
	}
	return o.merged
}

// mergedWith returns a new slice with the merged leases, followed by others.
func (o *ownLease) mergedWith(others ...lease.Grant) []lease.Grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(slices.Clone(o.merged), others...)
}

// addMerged records leases whose evidence this instance has merged.
func (o *ownLease) addMerged(grants ...lease.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.merged = append(o.merged, grants...)
}

// mayVote reports whether a vote may be sent at now, a time of the instance's local clock, and returns its fences.
func (o *ownLease) mayVote(v decision.Verdict, now lease.Millis) (bool, []rollout.Fence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.session.MayVote(v, now), o.fences()
}

// fences returns the leases that the evidence comes from, with their tokens, or nil if the instance has had no lease
// yet. The caller holds mu.
func (o *ownLease) fences() []rollout.Fence {
	if o.session.Token() == 0 {
		return nil
	}
	fences := []rollout.Fence{{Lease: string(o.session.ID), Token: uint64(o.session.Token())}}
	for _, grant := range o.merged {
		fences = append(fences, rollout.Fence{Lease: string(grant.ID), Token: uint64(grant.Token)})
	}
	return fences
}
