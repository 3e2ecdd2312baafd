// Package quorum decides, free of I/O, how a server comes to its place among those that keep the replicated log: whether
// it begins a new log, joins one, or has to be taken in anew after its store was lost. internal/cluster/raftlog does it.
package quorum

// Answer is what one server said of itself.
type PeerState struct {
	Reached     bool
	Established bool // it holds a log
}

// Start is how a server without a log begins.
type Start int

const (
	Wait      Start = iota // too few have answered
	Bootstrap              // begin a new log together with the others
	Rejoin                 // there is a log: be taken in again
)

// Begin decides that by what the others said; others is how many there are besides this server.
func DecideStart(others int, peers []PeerState) Start {
	fresh := 1 // this one
	for _, a := range peers {
		if a.Reached && a.Established {
			// Danger: a server that has lost its store has lost whom it voted for. Voting again in the same term, it could
			// give a term two leaders; so it comes back as one that has no vote, until it holds all that is committed.
			return Rejoin
		}
		if a.Reached {
			fresh++
		}
	}
	if fresh > (others+1)/2 { // a log that is established is held by a majority, so one of these would know
		return Bootstrap
	}
	return Wait
}

// Seat is a server's place in the log's configuration, as its leader has it.
type Membership int

const (
	Absent Membership = iota
	Learner
	Voter
)

// Step is what a leader does for a server that asks to be taken in again.
type Step int

const (
	NoStep     Step = iota
	Remove          // its vote is from before
	AddLearner      // as a learner
	CatchUp         // it is a learner and may start; it has not caught up
	Promote
	Done // it is a voter that has caught up
)

// Readmit decides the next step. empty: the server holds nothing yet and has not started; has and needs are indices of
// the log, of what it holds and of what was committed when it asked.
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
