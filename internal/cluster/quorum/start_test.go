package quorum

import "testing"

// A server without a log rejoins if any peer has a log, bootstraps if a majority has none, and waits otherwise.
func TestDecideStart(t *testing.T) {
	empty := PeerState{Reachable: true}
	established := PeerState{Reachable: true, Established: true}
	unreachable := PeerState{}
	for _, testCase := range []struct {
		name   string
		others int
		peers  []PeerState
		want   StartDecision
	}{
		{"one server", 0, nil, Bootstrap},
		{"1 of 3 servers empty", 2, []PeerState{unreachable, unreachable}, Wait},
		{"2 of 3 servers empty", 2, []PeerState{empty, unreachable}, Bootstrap},
		{"1 of 3 servers established, 1 unreachable", 2, []PeerState{established, unreachable}, Rejoin},
		{"1 of 3 servers established, 2 empty", 2, []PeerState{empty, established}, Rejoin},
		{"2 of 5 servers empty", 4, []PeerState{empty, unreachable, unreachable, unreachable}, Wait},
		{"3 of 5 servers empty", 4, []PeerState{empty, empty, unreachable, unreachable}, Bootstrap},
		{"1 of 5 servers established, 4 empty", 4, []PeerState{empty, empty, empty, established}, Rejoin},
		{"1 of 2 servers empty", 1, []PeerState{unreachable}, Wait},
	} {
		if got := DecideStart(testCase.others, testCase.peers); got != testCase.want {
			t.Errorf("%s: got %v, want %v", testCase.name, got, testCase.want)
		}
	}
}
