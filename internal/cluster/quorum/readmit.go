package quorum

// Membership is a server's role in the log's configuration, as known to the leader.
type Membership int

// The roles in the log's configuration.
const (
	Absent  Membership = iota // not in the configuration
	Learner                   // receives entries and has no vote
	Voter                     // receives entries and has a vote
)

// Step is a step by which a leader readmits a server that has lost its store. The numbers are part of the wire format.
type Step int

// The steps. A server that has lost its store goes through Remove, AddLearner, CatchUp, Promote and Done, in this
// order.
const (
	NoStep     Step = iota // the leader could not decide on a step; returned with an error
	Remove                 // remove the voter: without the record of its votes it could vote twice in a term
	AddLearner             // add the server as a learner
	CatchUp                // the server may start as a learner and has to catch up
	Promote                // make the learner a voter
	Done                   // the server is a voter that has caught up
)

// Readmit returns the next step for a server. empty means that the server has not started since it lost its store.
// applied is the index of the last entry that the server has applied, committed the index of the last entry that was
// committed when the server requested the step.
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
