package quorum

import "testing"

func TestDecideStart(t *testing.T) {
	empty := PeerState{Reached: true}
	established := PeerState{Reached: true, Established: true}
	unreachable := PeerState{}
	for _, testCase := range []struct {
		name   string
		others int
		peers  []PeerState
		want   Start
	}{
		{"alone", 0, nil, Bootstrap},
		{"one of three", 2, []PeerState{unreachable, unreachable}, Wait},
		{"two empty of three", 2, []PeerState{empty, unreachable}, Bootstrap},
		{"one established, one unreachable", 2, []PeerState{established, unreachable}, Rejoin},
		{"one established, one empty", 2, []PeerState{empty, established}, Rejoin},
		{"two of five", 4, []PeerState{empty, unreachable, unreachable, unreachable}, Wait},
		{"three empty of five", 4, []PeerState{empty, empty, unreachable, unreachable}, Bootstrap},
		{"four empty and one established", 4, []PeerState{empty, empty, empty, established}, Rejoin},
		{"one of two", 1, []PeerState{unreachable}, Wait},
	} {
		if got := DecideStart(testCase.others, testCase.peers); got != testCase.want {
			t.Errorf("%s: %v, want %v", testCase.name, got, testCase.want)
		}
	}
}
