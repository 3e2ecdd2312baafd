// Package quorum decides, free of I/O, how a server comes to its place among those that keep the replicated log: whether
// it begins a new log, joins one, or has to be taken in anew after its store was lost. internal/cluster/raftlog does it.
package quorum

// Answer is what one server said of itself.
type Answer struct {
	Reached     bool
	Established bool // it holds a log
}

// Start is how a server without a log begins.
type Start int

const (
	Wait   Start = iota // too few have answered
	Found               // begin a new log together with the others
	Rejoin              // there is a log: be taken in again
)

// Begin decides that by what the others said; others is how many there are besides this server.
func Begin(others int, answers []Answer) Start {
	fresh := 1 // this one
	for _, a := range answers {
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
		return Found
	}
	return Wait
}

// Seat is a server's place in the log's configuration, as its leader has it.
type Seat int

const (
	Absent Seat = iota
	Learner
	Voter
)

// Step is what a leader does for a server that asks to be taken in again.
type Step int

const (
	Nothing   Step = iota
	Remove         // its vote is from before
	AddToo         // as a learner
	LetItCome      // it is a learner and may start; it has not caught up
	Promote
	Settled // it is a voter that has caught up
)

// Readmit decides the next step. empty: the server holds nothing yet and has not started; has and needs are indices of
// the log, of what it holds and of what was committed when it asked.
func Readmit(seat Seat, empty bool, has, needs uint64) Step {
	switch {
	case seat == Voter && empty:
		return Remove
	case seat == Absent:
		return AddToo
	case seat == Learner && (empty || has < needs):
		return LetItCome
	case seat == Learner:
		return Promote
	}
	return Settled
}
