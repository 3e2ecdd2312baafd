package quorum

// PeerState is what another server reported about itself.
type PeerState struct {
	Reachable   bool // the server has responded; if not, Established is unknown
	Established bool // the server has a log
}

// StartDecision is how a server without a log starts.
type StartDecision int

// The ways to start.
const (
	Wait      StartDecision = iota // too few servers have responded; ask them again
	Bootstrap                      // start a new log together with the other servers
	Rejoin                         // there is a log: ask its leader for readmission
)

// DecideStart returns how a server without a log starts, given the states of its peers. others is the number of other
// servers, reachable or not.
func DecideStart(others int, peers []PeerState) StartDecision {
	empty := 1 // servers without a log, this server included
	for _, peer := range peers {
		if !peer.Reachable {
			continue
		}
		if peer.Established {
			// This server has lost its store, and with it the record of its votes. If it voted again in the same term, that
			// term could get two leaders. So it rejoins without a vote until it has all committed entries.
			return Rejoin
		}
		empty++
	}
	// Every established log is held by a majority, so a majority of servers without a log proves that there is none.
	if empty > (others+1)/2 {
		return Bootstrap
	}
	return Wait
}
