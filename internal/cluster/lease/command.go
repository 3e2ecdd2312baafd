package lease

import (
	"fmt"
	"strings"
)

// Operation is what a command does. The values are stored in the log.
type Operation int

// Operations of a command. Each names what the table does with the lease; see Lease for the transitions.
const (
	Acquire  Operation = iota + 1 // an instance's own lease: absent, expired, or held by the same instance
	Renew                         // extend the lease, with a newer checkpoint where there is one
	TakeOver                      // another instance's lease, once it has expired
	Merge                         // end a lease that was taken over: its work is now in the holder's own checkpoint
	Release                       // expire the lease at once
	Abandon                       // end a lease that was taken over and whose work can't be resumed
)

// Command is one entry of the log. Which fields count depends on the operation.
type Command struct {
	Operation     Operation `msgpack:"Verb"`
	ID            ID        `msgpack:"Work"`
	Holder        Holder    `msgpack:"By"`         // who proposes it
	Token         Token     `msgpack:"Token"`      // of the lease ID; unused by Acquire and TakeOver
	TTL           Millis    `msgpack:"Span"`       // minTTL to maxTTL, higher delays takeover; unused by Release, Abandon
	Checkpoint    []byte    `msgpack:"Checkpoint"` // Renew and Merge; nil in Renew: the earlier one stays
	Into          ID        `msgpack:"Into"`       // Merge: the holder's own lease
	IntoToken     Token     `msgpack:"IntoToken"`  // Merge: of the lease Into
	CheckpointSeq uint64    `msgpack:"Seq"`        // of Checkpoint: higher than every one that this holder wrote before
	Reason        string    `msgpack:"Why"`        // Abandon: up to MaxReasonBytes
}

// Reply says what became of a command.
type Reply struct {
	Rejection string `msgpack:"Refused"` // why the command changed nothing; empty: it was applied
	Lease     Lease  `msgpack:"Lease"`   // Acquire and TakeOver: as granted, with the checkpoint to resume from
}

// Bounds of commands and of the table.
const (
	MaxCheckpointBytes = 256 << 10 // of an encoded checkpoint
	MaxReasonBytes     = 200       // of a reason for an abandonment

	maxIDBytes            = 80
	maxHolderBytes        = 64
	minTTL         Millis = 50
	maxTTL         Millis = 3.6e6

	maxLeases    = 8192
	maxMerged    = 64 // grants that a lease remembers, to fence votes and to recognize a repeated Merge
	maxAbandoned = 64 // abandoned leases that a table remembers
)

// check returns why a command is invalid whatever the table holds, or "".
func (c *Command) check() string {
	if c.Operation < Acquire || c.Operation > Abandon {
		return fmt.Sprintf("no command %d", c.Operation)
	}
	if fault := c.checkNames(); fault != "" {
		return fault
	}
	return c.checkBounds()
}

func (c *Command) checkNames() string {
	switch {
	case c.ID == "" || len(c.ID) > maxIDBytes || len(c.Into) > maxIDBytes || !strings.Contains(string(c.ID), "/"):
		return fmt.Sprintf("no piece of work: %q", c.ID)
	case c.Holder.Name == "" || len(c.Holder.Name) > maxHolderBytes:
		return "nobody asks"
	}
	return ""
}

func (c *Command) checkBounds() string {
	switch {
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
