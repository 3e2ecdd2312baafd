package lease

import (
	"fmt"
	"strings"
)

// Operation selects what a command does to a lease. The values are stored in the log.
type Operation int

// Operations of a command. Lease lists the state transitions that they cause.
const (
	Acquire  Operation = iota + 1 // grants an instance its own lease if absent, expired, or held by the same instance
	Renew                         // extends the lease and writes the checkpoint if the command has a newer one
	TakeOver                      // grants the expired lease of another instance
	Merge                         // ends a lease that was taken over and writes its work to the holder's own checkpoint
	Release                       // expires the lease immediately
	Abandon                       // ends a lease that was taken over and whose work can't be resumed
)

// Command is one entry of the log. Each operation uses a subset of the fields.
type Command struct {
	Operation      Operation `msgpack:"Verb"`
	ID             ID        `msgpack:"Work"`
	Holder         Holder    `msgpack:"By"`         // the proposing process
	Token          Token     `msgpack:"Token"`      // token of the lease ID; unused by Acquire and TakeOver
	TTL            Millis    `msgpack:"Span"`       // minTTL to maxTTL; a high TTL delays takeover; unused by Release, Abandon
	Checkpoint     []byte    `msgpack:"Checkpoint"` // new checkpoint in Renew and Merge; nil in Renew keeps the stored one
	MergeInto      ID        `msgpack:"Into"`       // Merge: the holder's own lease
	MergeIntoToken Token     `msgpack:"IntoToken"`  // Merge: token of the holder's own lease
	CheckpointSeq  uint64    `msgpack:"Seq"`        // number of Checkpoint; a holder increases it with each checkpoint
	Reason         string    `msgpack:"Why"`        // Abandon: why the work can't be resumed, up to MaxReasonBytes
}

// Reply is the result of a command.
type Reply struct {
	Rejection string `msgpack:"Refused"` // why the command was rejected and changed nothing; empty if it was applied
	Lease     Lease  `msgpack:"Lease"`   // Acquire and TakeOver: the granted lease, with the checkpoint to resume from
}

// Limits of commands and of the table.
const (
	MaxCheckpointBytes = 256 << 10 // length of an encoded checkpoint
	MaxReasonBytes     = 200       // length of the reason for an abandonment

	maxIDBytes            = 80
	maxHolderBytes        = 64
	minTTL         Millis = 50
	maxTTL         Millis = 3.6e6

	maxLeases    = 8192
	maxMerged    = 64 // merged leases that a lease keeps, to fence votes and to recognize a repeated Merge
	maxAbandoned = 64 // abandoned leases that a table keeps
)

// validate checks the command independently of the table's content. It returns why the command is invalid, or "".
func (c *Command) validate() string {
	if c.Operation < Acquire || c.Operation > Abandon {
		return fmt.Sprintf("no command %d", c.Operation)
	}
	if reason := c.validateNames(); reason != "" {
		return reason
	}
	return c.validateLimits()
}

func (c *Command) validateNames() string {
	switch {
	case c.ID == "" || len(c.ID) > maxIDBytes || len(c.MergeInto) > maxIDBytes || !strings.Contains(string(c.ID), "/"):
		return fmt.Sprintf("no piece of work: %q", c.ID)
	case c.Holder.Name == "" || len(c.Holder.Name) > maxHolderBytes:
		return "nobody asks"
	}
	return ""
}

func (c *Command) validateLimits() string {
	switch {
	case len(c.Reason) > MaxReasonBytes:
		return fmt.Sprintf("a reason of %d bytes", len(c.Reason))
	case c.Operation < Release && (c.TTL < minTTL || c.TTL > maxTTL):
		return fmt.Sprintf("a lease of %g ms", c.TTL)
	case len(c.Checkpoint) > MaxCheckpointBytes:
		return fmt.Sprintf("a checkpoint of %d bytes", len(c.Checkpoint))
	case c.Operation == Merge && c.ID == c.MergeInto:
		return "a piece does not go into itself"
	}
	return ""
}
