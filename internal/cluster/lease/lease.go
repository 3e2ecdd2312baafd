package lease

// Millis is a time or a duration in milliseconds. Times are the replicated log's unless a comment names another clock.
type Millis = float64

// ID names a unit of work: its kind and the instance that it began with, as in "trial/n0".
type ID string

// TrialID names the evidence that an instance has gathered on a candidate build, and its vote.
func TrialID(instance string) ID { return ID("trial/" + instance) }

// Token is a fencing token. Each grant has a higher one than every grant before, of any lease; 0 is none.
type Token uint64

// Holder is one process of an instance.
type Holder struct {
	Name        string `json:"Name" msgpack:"Name"` // of the instance
	Incarnation uint64 `json:"Run" msgpack:"Run"`   // drawn at each start of the process
}

// Lease is a unit of work and the process that owns it. Its states follow from the log's time:
//
//	absent   no lease of this ID is in the table
//	held     the log's time is before ExpiresAt
//	expired  the log's time has reached ExpiresAt; the holder may still renew, and others may take it over
//
// Transitions; Merge and Abandon need the holder's token in either state:
//
//	absent         -> held     Acquire
//	held           -> held     Renew; Acquire by a new process of the same instance, under a new token
//	held           -> expired  the log's time passes ExpiresAt; Release
//	expired        -> held     Renew by the holder under its token; Acquire or TakeOver under a new token
//	held, expired  -> absent   Merge into another lease of the same holder; Abandon
//
// The tags here and below name the fields in stored data and between instances of different versions: they stay
// whatever the fields are called.
type Lease struct {
	ID            ID      `json:"Work" msgpack:"Work"`
	Holder        Holder  `json:"Owner" msgpack:"Owner"`
	Token         Token   `json:"Token" msgpack:"Token"`
	ExpiresAt     Millis  `json:"Until" msgpack:"Until"`
	Checkpoint    []byte  `json:"Checkpoint" msgpack:"Checkpoint"` // for a successor to resume from
	CheckpointAt  Millis  `json:"Written" msgpack:"Written"`       // when Checkpoint was written; 0: never
	Merged        []Grant `json:"Merged" msgpack:"Merged"`         // leases whose work is in Checkpoint, the newest last
	CheckpointSeq uint64  `json:"Seq" msgpack:"Seq"`               // of Checkpoint, numbered by its holder
}

// Expired tells whether others may take the lease over.
func (l *Lease) Expired(now Millis) bool { return now >= l.ExpiresAt }

// heldUnder tells whether a lease exists and a command by this holder and token may change it.
func heldUnder(l *Lease, holder Holder, token Token) bool {
	return l != nil && l.Token == token && l.Holder == holder
}

// writeCheckpoint replaces the checkpoint. Its number never falls, so that a later command with a lower one is
// recognized.
func (l *Lease) writeCheckpoint(raw []byte, seq uint64, now Millis) {
	l.Checkpoint = raw
	l.CheckpointAt = now
	l.CheckpointSeq = max(l.CheckpointSeq, seq)
}

// Grant is a lease that was merged into another, and the token under which it was held then.
type Grant struct {
	ID    ID    `json:"Work" msgpack:"Work"`
	Token Token `json:"Token" msgpack:"Token"`
}

// Abandoned is a lease that was given up because its work could not be resumed.
type Abandoned struct {
	ID     ID     `json:"Work" msgpack:"Work"`
	Token  Token  `json:"Token" msgpack:"Token"` // under which it was held
	Holder string `json:"By" msgpack:"By"`       // the instance that gave it up
	Reason string `json:"Why" msgpack:"Why"`
	At     Millis `json:"At" msgpack:"At"`
}
