package lease

// Millis is a time or a duration in milliseconds. Times are those of the replicated log unless a comment names another
// clock.
type Millis = float64

// ID identifies a unit of work by its kind and the instance that started it, as in "trial/n0".
type ID string

// TrialID returns the ID of the trial of a candidate build at an instance: the evidence that the instance has gathered
// on the build, and the instance's vote.
func TrialID(instance string) ID { return ID("trial/" + instance) }

// Token is a fencing token. Each grant of any lease has a higher token than every earlier grant; 0 means none.
type Token uint64

// Holder identifies one process of an instance.
type Holder struct {
	Name        string `json:"Name" msgpack:"Name"` // name of the instance
	Incarnation uint64 `json:"Run" msgpack:"Run"`   // chosen at each start of the process
}

// Lease assigns a unit of work to the process that owns it. Its state depends on the log's time:
//
//	absent   the table has no lease with this ID
//	held     the log's time is before ExpiresAt
//	expired  the log's time has reached ExpiresAt; the holder may still renew, and others may take the lease over
//
// Merge and Abandon need the holder's token in either state. The transitions are:
//
//	absent         -> held     Acquire
//	held           -> held     Renew; Acquire by a new process of the same instance, under a new token
//	held           -> expired  the log's time passes ExpiresAt; Release
//	expired        -> held     Renew by the holder under its token; Acquire or TakeOver under a new token
//	held, expired  -> absent   Merge into another lease of the same holder; Abandon
//
// The tags here and below are part of the stored format and of the protocol between instances of different versions.
// They don't change when a field is renamed.
type Lease struct {
	ID            ID      `json:"Work" msgpack:"Work"`
	Holder        Holder  `json:"Owner" msgpack:"Owner"`
	Token         Token   `json:"Token" msgpack:"Token"`
	ExpiresAt     Millis  `json:"Until" msgpack:"Until"`
	Checkpoint    []byte  `json:"Checkpoint" msgpack:"Checkpoint"` // state from which a successor resumes
	CheckpointAt  Millis  `json:"Written" msgpack:"Written"`       // time at which Checkpoint was written; 0: never
	Merged        []Grant `json:"Merged" msgpack:"Merged"`         // leases whose work is in Checkpoint, the newest last
	CheckpointSeq uint64  `json:"Seq" msgpack:"Seq"`               // number of Checkpoint, assigned by the holder
}

// Expired reports whether another instance may take the lease over at the log's time now.
func (l *Lease) Expired(now Millis) bool { return now >= l.ExpiresAt }

// heldUnder reports whether the lease exists and is held by holder under token, so that the holder's command may change
// it.
func heldUnder(l *Lease, holder Holder, token Token) bool {
	return l != nil && l.Token == token && l.Holder == holder
}

// writeCheckpoint replaces the checkpoint. CheckpointSeq never decreases; otherwise renew could not recognize a delayed
// command with an earlier checkpoint.
func (l *Lease) writeCheckpoint(raw []byte, seq uint64, now Millis) {
	l.Checkpoint = raw
	l.CheckpointAt = now
	l.CheckpointSeq = max(l.CheckpointSeq, seq)
}

// Grant identifies one grant of a lease by the lease's ID and the granted token. A merged lease is recorded as a Grant.
type Grant struct {
	ID    ID    `json:"Work" msgpack:"Work"`
	Token Token `json:"Token" msgpack:"Token"`
}

// AbandonedLease describes a lease that its holder ended because the work could not be resumed.
type AbandonedLease struct {
	ID     ID     `json:"Work" msgpack:"Work"`
	Token  Token  `json:"Token" msgpack:"Token"` // token under which the lease was held
	Holder string `json:"By" msgpack:"By"`       // the instance that abandoned the lease
	Reason string `json:"Why" msgpack:"Why"`
	At     Millis `json:"At" msgpack:"At"`
}
