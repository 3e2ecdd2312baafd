// Package takeover decides who owns which piece of work, free of I/O. A piece is held under a lease with a fencing token;
// the leases are kept in the replicated log, so that all see them alike. When an owner is gone, one other takes the piece
// from its last checkpoint, under a higher token, and whatever comes under the old one is refused. internal/cluster/failover brings
// it to a marshal; docs/takeover.md says what was weighed.
package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Millis is a time or a span in milliseconds.
type Millis = float64

// Work names a piece: its kind, and the marshal that it began with.
type ID string

// TrialOf is what a marshal has seen of the build on trial, and its vote.
func TrialID(instance string) ID { return ID("trial/" + instance) }

// Token fences a piece: each lease that is granted has a higher one than any before, of whatever piece.
type Token uint64

// Holder is one process of a marshal.
type Holder struct {
	Name        string `json:"Name" msgpack:"Name"`
	Incarnation uint64 `json:"Run" msgpack:"Run"` // drawn at each start
}

// Lease is a piece of work with its owner. Here and below, tags name the parts in what is stored and sent: stores last, and
// marshals of different versions read each other, so they stay whatever the fields are called.
type Lease struct {
	ID            ID      `json:"Work" msgpack:"Work"`
	Holder        Holder  `json:"Owner" msgpack:"Owner"`
	Token         Token   `json:"Token" msgpack:"Token"`
	ExpiresAt     Millis  `json:"Until" msgpack:"Until"`           // by the log's clock; past it another may take the piece
	Checkpoint    []byte  `json:"Checkpoint" msgpack:"Checkpoint"` // the owner's, to go on from
	CheckpointAt  Millis  `json:"Written" msgpack:"Written"`       // when that was
	Merged        []Grant `json:"Merged" msgpack:"Merged"`         // pieces whose work is in the checkpoint, the newest last
	CheckpointSeq uint64  `json:"Seq" msgpack:"Seq"`               // of its checkpoint, by its owner
}

// Past is a piece that was merged into another, by the token under which it was taken.
type Grant struct {
	ID    ID    `json:"Work" msgpack:"Work"`
	Token Token `json:"Token" msgpack:"Token"`
}

// Ended is a piece that was ended, for it could not be gone on with.
type Abandoned struct {
	ID     ID     `json:"Work" msgpack:"Work"`
	Token  Token  `json:"Token" msgpack:"Token"` // under which it was taken
	Holder string `json:"By" msgpack:"By"`
	Reason string `json:"Why" msgpack:"Why"`
	At     Millis `json:"At" msgpack:"At"` // by the log's clock
}

// Verb is what a command wants.
type Operation int

const (
	Acquire  Operation = iota + 1 // a marshal's own piece, free, lapsed, or held by an earlier run of it
	Renew                         // hold it longer, with a newer checkpoint where there is one
	TakeOver                      // another's piece, once its lease has lapsed
	Merge                         // end a piece that was taken: what it held is in the checkpoint of one's own from now on
	Release                       // it may be taken at once
	Abandon                       // a piece that was taken and can't be gone on with: it is no piece any more
)

// Command is one entry of the log.
type Command struct {
	Operation     Operation `msgpack:"Verb"`
	ID            ID        `msgpack:"Work"`
	Holder        Holder    `msgpack:"By"`
	Token         Token     `msgpack:"Token"` // of the lease that it goes by; none for Claim and Take
	TTL           Millis    `msgpack:"Span"`
	Checkpoint    []byte    `msgpack:"Checkpoint"` // none: the one before stays
	Into          ID        `msgpack:"Into"`       // Merge: one's own
	IntoToken     Token     `msgpack:"IntoToken"`
	CheckpointSeq uint64    `msgpack:"Seq"` // of a checkpoint: each that a holder writes has a higher one than any before
	Reason        string    `msgpack:"Why"` // End
}

// Reply is what became of a command.
type Reply struct {
	Rejection string `msgpack:"Refused"` // why; empty: it was done
	Lease     Lease  `msgpack:"Lease"`   // Claim and Take: with the checkpoint to go on from
}

// Bounds of what the book keeps.
const (
	maxLeases          = 8192
	MaxCheckpointBytes = 256 << 10 // bytes of a checkpoint
	maxIDBytes         = 80
	minTTL             = 50.0 // ms of a lease
	maxTTL             = 3.6e6
	maxHolderBytes     = 64
	maxMerged          = 64 // of a lease: for votes, and for a Merge that comes twice
	maxAbandoned       = 64
	MaxReasonBytes     = 200 // bytes of a reason
)

// List is all leases, and the log's time as of its newest entry: what is left of a lease is no more than it says.
type List struct {
	Now       Millis      `json:"Now"`
	Leases    []Lease     `json:"Leases"` // without their checkpoints
	Abandoned []Abandoned `json:"Ended"`  // the newest last
}

// Book holds all leases. Its clock is the log's, which no machine's wall clock enters (logclock.Clock), and never goes back.
type Table struct {
	leases    map[ID]*Lease
	abandoned []Abandoned
	lastToken Token
	now       Millis
}

// NewBook makes an empty one.
func NewTable() *Table { return &Table{leases: map[ID]*Lease{}} }

// List is all that the book holds, without checkpoints.
func (t *Table) List() List { return List{t.now, t.Leases(), slices.Clone(t.abandoned)} }

// Leases are all, by name, without their checkpoints.
func (t *Table) Leases() []Lease {
	var out []Lease
	for _, w := range slices.Sorted(maps.Keys(t.leases)) {
		l := *t.leases[w]
		l.Checkpoint = nil
		out = append(out, l)
	}
	return out
}

// Now is the log's time at the newest command.
func (t *Table) Now() Millis { return t.now }

// Apply takes the next command of the log at the log's time.
func (t *Table) Apply(c *Command, at Millis) Reply {
	t.now = max(t.now, at)
	if fault := c.check(); fault != "" {
		return Reply{Rejection: fault}
	}
	l := t.leases[c.ID]
	switch c.Operation {
	case Acquire:
		return t.acquire(l, c)
	case TakeOver:
		return t.takeOver(l, c)
	}
	if c.Operation == Merge && t.wasMerged(c) || c.Operation == Abandon && t.wasAbandoned(c) {
		return Reply{} // its answer got lost
	}
	if l == nil || l.Token != c.Token || l.Holder != c.Holder {
		return Reply{Rejection: staleToken(c, l)}
	}
	switch c.Operation {
	case Renew:
		l.ExpiresAt = t.now + c.TTL
		// Danger: a checkpoint whose answer was lost may come after the one that holds another's work as well, and would be
		// written over it.
		if c.Checkpoint != nil && c.CheckpointSeq >= l.CheckpointSeq {
			l.Checkpoint, l.CheckpointAt, l.CheckpointSeq = c.Checkpoint, t.now, c.CheckpointSeq
		}
	case Release:
		l.ExpiresAt = t.now
	case Abandon:
		t.abandoned = append(t.abandoned, Abandoned{c.ID, c.Token, c.Holder.Name, c.Reason, t.now})
		t.abandoned = slices.Clone(t.abandoned[max(0, len(t.abandoned)-maxAbandoned):])
		delete(t.leases, c.ID)
	case Merge:
		into := t.leases[c.Into]
		if into == nil || into.Token != c.IntoToken || into.Holder != c.Holder {
			return Reply{Rejection: staleToken(&Command{ID: c.Into, Token: c.IntoToken, Holder: c.Holder}, into)}
		}
		// Danger: ended first and written afterwards, a piece would be lost with its new owner between; the other way
		// round it would be taken over twice. So both are one entry.
		into.Checkpoint, into.CheckpointAt, into.ExpiresAt, into.CheckpointSeq = c.Checkpoint, t.now, t.now+c.TTL, max(into.CheckpointSeq, c.CheckpointSeq)
		into.Merged = append(append(into.Merged, l.Merged...), Grant{c.ID, c.Token})
		if over := len(into.Merged) - maxMerged; over > 0 {
			into.Merged = slices.Clone(into.Merged[over:])
		}
		delete(t.leases, c.ID)
	}
	return Reply{}
}

// merged tells whether a Merge was done before.
func (t *Table) wasMerged(c *Command) bool {
	into := t.leases[c.Into]
	return into != nil && into.Holder == c.Holder && into.Token == c.IntoToken && slices.Contains(into.Merged, Grant{c.ID, c.Token})
}

// wasEnded tells whether an End was done before.
func (t *Table) wasAbandoned(c *Command) bool {
	return slices.ContainsFunc(t.abandoned, func(e Abandoned) bool { return e.ID == c.ID && e.Token == c.Token && e.Holder == c.Holder.Name })
}

func (c *Command) check() string {
	switch {
	case c.Operation < Acquire || c.Operation > Abandon:
		return fmt.Sprintf("no command %d", c.Operation)
	case c.ID == "" || len(c.ID) > maxIDBytes || len(c.Into) > maxIDBytes || !strings.Contains(string(c.ID), "/"):
		return fmt.Sprintf("no piece of work: %q", c.ID)
	case c.Holder.Name == "" || len(c.Holder.Name) > maxHolderBytes:
		return "nobody asks"
	case len(c.Reason) > MaxReasonBytes:
		return fmt.Sprintf("a reason of %d bytes", len(c.Reason))
	case c.Operation < Release && (c.TTL < minTTL || c.TTL > maxTTL):
		return fmt.Sprintf("a lease of %g ms", c.TTL)
	case len(c.Checkpoint) > MaxCheckpointBytes:
		return fmt.Sprintf("a checkpoint of %d bytes", len(c.Checkpoint))
	case c.Operation == Merge && c.ID == c.Into:
		return "a piece does not go into itself"
	}
	return ""
}

// fenced says by what a late command is refused.
func staleToken(c *Command, l *Lease) string {
	if l == nil {
		return fmt.Sprintf("%s is no piece any more; token %d is of the past", c.ID, c.Token)
	}
	return fmt.Sprintf("%s is held by %s under token %d, not by %s under %d", c.ID, l.Holder.Name, l.Token, c.Holder.Name, c.Token)
}

func (t *Table) acquire(l *Lease, c *Command) Reply {
	if l != nil && l.Holder.Name != c.Holder.Name && t.now < l.ExpiresAt {
		return Reply{Rejection: fmt.Sprintf("%s is held by %s under token %d", c.ID, l.Holder.Name, l.Token)}
	}
	if l == nil && len(t.leases) >= maxLeases {
		return Reply{Rejection: "no room for more pieces"}
	}
	return t.grant(l, c)
}

func (t *Table) takeOver(l *Lease, c *Command) Reply {
	switch {
	case l == nil:
		return Reply{Rejection: fmt.Sprintf("%s is no piece any more", c.ID)}
	case l.Holder == c.Holder: // its answer got lost
		return Reply{Lease: *l}
	case t.now < l.ExpiresAt:
		return Reply{Rejection: fmt.Sprintf("%s is held by %s under token %d for %.0f ms more", c.ID, l.Holder.Name, l.Token, l.ExpiresAt-t.now)}
	}
	return t.grant(l, c)
}

func (t *Table) grant(l *Lease, c *Command) Reply {
	if l == nil {
		l = &Lease{ID: c.ID}
		t.leases[c.ID] = l
	}
	t.lastToken++
	l.Holder, l.Token, l.ExpiresAt, l.CheckpointSeq = c.Holder, t.lastToken, t.now+c.TTL, 0
	return Reply{Lease: *l}
}

// Find is the lease of a piece with its checkpoint.
func (t *Table) Get(w ID) (Lease, bool) {
	l := t.leases[w]
	if l == nil {
		return Lease{}, false
	}
	return *l, true
}

// book is what a snapshot holds.
type tableSnapshot struct {
	Leases    []Lease     `msgpack:"Leases"`
	Token     Token       `msgpack:"Token"`
	Now       Millis      `msgpack:"Now"`
	Abandoned []Abandoned `msgpack:"Ended"`
}

// Encode writes all.
func (t *Table) Encode() ([]byte, error) {
	all := tableSnapshot{Token: t.lastToken, Now: t.now, Abandoned: t.abandoned}
	for _, w := range slices.Sorted(maps.Keys(t.leases)) {
		all.Leases = append(all.Leases, *t.leases[w])
	}
	raw, err := msgpack.Marshal(&all)
	if err != nil {
		return nil, fmt.Errorf("leases: %w", err)
	}
	return raw, nil
}

// Restore takes the place of all by what Encode wrote.
func (t *Table) Restore(raw []byte) error {
	var all tableSnapshot
	if err := msgpack.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("leases: %w", err)
	}
	*t = Table{leases: map[ID]*Lease{}, lastToken: all.Token, now: all.Now, abandoned: all.Abandoned}
	for _, l := range all.Leases {
		if l.Token > t.lastToken {
			return fmt.Errorf("leases: %s has token %d, above all that were given", l.ID, l.Token)
		}
		t.leases[l.ID] = &l
	}
	return nil
}
