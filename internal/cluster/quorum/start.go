package quorum

// PeerState is what another server reported of itself.
type PeerState struct {
	Reached     bool // it has answered; if not, the rest is not known
	Established bool // it holds a log
}

// Start is how a server without a log begins.
type Start int

// The ways to begin.
const (
	Wait      Start = iota // too few servers have answered; ask again
	Bootstrap              // begin a new log together with the others
	Rejoin                 // there is a log: ask its leader for readmission
)

// DecideStart decides how a server without a log begins, by the states of its peers; others is their number, whether
// reached or not.
func DecideStart(others int, peers []PeerState) Start {
	empty := 1 // servers without a log; this is one
	for _, peer := range peers {
		if !peer.Reached {
			continue
		}
		if peer.Established {
			// This server has lost its store and with it the record of its votes. If it voted again in the same term, that
			// term could get two leaders. So it comes back without a vote until it holds all that is committed.
			return Rejoin
		}
		empty++
	}
	// A majority holds every established log, so at least one of a majority would know of it.
	if empty > (others+1)/2 {
		return Bootstrap
	}
	return Wait
}
