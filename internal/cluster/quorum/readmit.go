package quorum

// Membership is a server's place in the log's configuration, as the leader has it.
type Membership int

// The places in the log's configuration.
const (
	Absent  Membership = iota // not in the configuration
	Learner                   // receives entries and has no vote
	Voter                     // receives entries and votes
)

// Step is what a leader does for a server that asks for readmission. Its numbers are sent to that server and stay.
type Step int

// The steps. A server that has lost its store goes through Remove, AddLearner, CatchUp, Promote and Done, in this
// order.
const (
	NoStep     Step = iota // nothing was decided
	Remove                 // remove the voter: its votes from before the loss must not count
	AddLearner             // add it as a learner
	CatchUp                // it may start as a learner and has to catch up
	Promote                // give the learner its vote
	Done                   // it is a voter that has caught up
)

// Readmit decides the next step. A server is empty until it has started; applied is the index of the last entry that it
// has applied, committed the index of the last one that was committed when it asked.
func Readmit(membership Membership, empty bool, applied, committed uint64) Step {
	switch {
	case membership == Voter && empty:
		return Remove
	case membership == Absent:
		return AddLearner
	case membership == Learner && (empty || applied < committed):
		return CatchUp
	case membership == Learner:
		return Promote
	}
	return Done
}
