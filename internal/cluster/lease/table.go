package lease

import (
	"fmt"
	"maps"
	"slices"
)

// Table holds all leases. It uses the time of the replicated log, which is independent of wall clocks and never goes
// back. A Table is not safe for concurrent use.
type Table struct {
	leases    map[ID]*Lease
	abandoned []AbandonedLease // the newest last; the oldest are dropped beyond maxAbandoned
	lastToken Token            // the highest granted token
	now       Millis           // the highest time of a command
}

// List is the part of a table that is sent to instances and operators: all leases without their checkpoints, and the
// abandoned leases.
type List struct {
	Now       Millis           `json:"Now"`    // the log's time at its newest entry; may lag, but never leads
	Leases    []Lease          `json:"Leases"` // sorted by ID, without checkpoints
	Abandoned []AbandonedLease `json:"Ended"`  // the newest last
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: map[ID]*Lease{}} }

// Now returns the log's time at the newest command.
func (t *Table) Now() Millis { return t.now }

// List returns all leases, without checkpoints, and the abandoned leases.
func (t *Table) List() List { return List{t.now, t.Leases(), slices.Clone(t.abandoned)} }

// Leases returns all leases sorted by ID, without checkpoints.
func (t *Table) Leases() []Lease {
	var out []Lease
	for _, id := range slices.Sorted(maps.Keys(t.leases)) {
		l := *t.leases[id]
		l.Checkpoint = nil
		out = append(out, l)
	}
	return out
}

// Get returns the lease with its checkpoint, or false if the table has no lease with the ID.
func (t *Table) Get(id ID) (Lease, bool) {
	l := t.leases[id]
	if l == nil {
		return Lease{}, false
	}
	return *l, true
}

// Apply executes the next command of the log; at is the log's time. The reply to an invalid or stale command has the
// reason for the rejection.
func (t *Table) Apply(command *Command, at Millis) Reply {
	t.now = max(t.now, at)
	if reason := command.validate(); reason != "" {
		return Reply{Rejection: reason}
	}
	l := t.leases[command.ID]
	switch command.Operation {
	case Acquire:
		return t.acquire(l, command)
	case Renew:
		return t.renew(l, command)
	case TakeOver:
		return t.takeOver(l, command)
	case Merge:
		return t.merge(l, command)
	case Release:
		return t.release(l, command)
	default: // validate admits no other operation
		return t.abandon(l, command)
	}
}

// acquire grants an instance its own lease. A new process of the instance need not wait until the lease expires,
// because the earlier process has ended or is fenced by the new token.
func (t *Table) acquire(l *Lease, c *Command) Reply {
	if l != nil && l.Holder.Name != c.Holder.Name && !l.Expired(t.now) {
		return Reply{Rejection: fmt.Sprintf("%s is held by %s under token %d", c.ID, l.Holder.Name, l.Token)}
	}
	if l == nil && len(t.leases) >= maxLeases {
		return Reply{Rejection: "no room for more pieces"}
	}
	return t.grant(l, c)
}

// takeOver grants the lease of another instance once the lease has expired. If the holder repeats the command because
// the reply was lost, takeOver returns the lease unchanged.
func (t *Table) takeOver(l *Lease, c *Command) Reply {
	switch {
	case l == nil:
		return Reply{Rejection: fmt.Sprintf("%s is no piece any more", c.ID)}
	case l.Holder == c.Holder:
		return Reply{Lease: *l}
	case !l.Expired(t.now):
		remaining := l.ExpiresAt - t.now
		return Reply{Rejection: fmt.Sprintf("%s is held by %s under token %d for %.0f ms more", c.ID, l.Holder.Name, l.Token,
			remaining)}
	}
	return t.grant(l, c)
}

// grant assigns the lease to the command's holder under a new token. The checkpoint is kept so that the new holder can
// resume from it.
func (t *Table) grant(l *Lease, c *Command) Reply {
	if l == nil {
		l = &Lease{ID: c.ID}
		t.leases[c.ID] = l
	}
	t.lastToken++
	l.Holder = c.Holder
	l.Token = t.lastToken
	l.ExpiresAt = t.now + c.TTL
	l.CheckpointSeq = 0
	return Reply{Lease: *l}
}

// renew extends the lease and writes the command's checkpoint unless it is older than the stored one. A checkpoint that
// was gathered before a merge may arrive after the merge; written, it would drop the merged work.
func (t *Table) renew(l *Lease, c *Command) Reply {
	if !heldUnder(l, c.Holder, c.Token) {
		return rejectStale(l, c.ID, c.Holder, c.Token)
	}
	l.ExpiresAt = t.now + c.TTL
	if c.Checkpoint != nil && c.CheckpointSeq >= l.CheckpointSeq {
		l.writeCheckpoint(c.Checkpoint, c.CheckpointSeq, t.now)
	}
	return Reply{}
}

// merge ends the lease and writes a checkpoint that includes its work to the holder's own lease. One log entry does
// both: with two entries, a holder that dies in between would lose the work or leave it in two checkpoints.
func (t *Table) merge(l *Lease, command *Command) Reply {
	if t.alreadyMerged(command) {
		return Reply{}
	}
	if !heldUnder(l, command.Holder, command.Token) {
		return rejectStale(l, command.ID, command.Holder, command.Token)
	}
	into := t.leases[command.MergeInto]
	if !heldUnder(into, command.Holder, command.MergeIntoToken) {
		return rejectStale(into, command.MergeInto, command.Holder, command.MergeIntoToken)
	}
	into.ExpiresAt = t.now + command.TTL
	into.writeCheckpoint(command.Checkpoint, command.CheckpointSeq, t.now)
	into.Merged = append(append(into.Merged, l.Merged...), Grant{command.ID, command.Token})
	if excess := len(into.Merged) - maxMerged; excess > 0 {
		into.Merged = slices.Clone(into.Merged[excess:])
	}
	delete(t.leases, command.ID)
	return Reply{}
}

// alreadyMerged reports whether the same Merge was applied before. A holder repeats the command if the reply was lost.
func (t *Table) alreadyMerged(c *Command) bool {
	into := t.leases[c.MergeInto]
	return heldUnder(into, c.Holder, c.MergeIntoToken) && slices.Contains(into.Merged, Grant{c.ID, c.Token})
}

// release expires the lease immediately, so that a successor need not wait.
func (t *Table) release(l *Lease, c *Command) Reply {
	if !heldUnder(l, c.Holder, c.Token) {
		return rejectStale(l, c.ID, c.Holder, c.Token)
	}
	l.ExpiresAt = t.now
	return Reply{}
}

// abandon ends a lease whose work can't be resumed, and keeps the reason in the table.
func (t *Table) abandon(l *Lease, c *Command) Reply {
	if t.alreadyAbandoned(c) {
		return Reply{}
	}
	if !heldUnder(l, c.Holder, c.Token) {
		return rejectStale(l, c.ID, c.Holder, c.Token)
	}
	t.abandoned = append(t.abandoned, AbandonedLease{c.ID, c.Token, c.Holder.Name, c.Reason, t.now})
	t.abandoned = slices.Clone(t.abandoned[max(0, len(t.abandoned)-maxAbandoned):])
	delete(t.leases, c.ID)
	return Reply{}
}

// alreadyAbandoned reports whether the same Abandon was applied before. A holder repeats the command if the reply was
// lost.
func (t *Table) alreadyAbandoned(c *Command) bool {
	return slices.ContainsFunc(t.abandoned, func(a AbandonedLease) bool {
		return a.ID == c.ID && a.Token == c.Token && a.Holder == c.Holder.Name
	})
}

// rejectStale returns the rejection of a command whose holder or token is not, or no longer, that of the lease.
func rejectStale(l *Lease, id ID, holder Holder, token Token) Reply {
	if l == nil {
		return Reply{Rejection: fmt.Sprintf("%s is no piece any more; token %d is of the past", id, token)}
	}
	return Reply{Rejection: fmt.Sprintf("%s is held by %s under token %d, not by %s under %d", id, l.Holder.Name, l.Token,
		holder.Name, token)}
}
