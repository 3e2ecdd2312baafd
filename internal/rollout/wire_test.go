package rollout

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ottershed/decision"
	"ottershed/internal/golden"
)

// A vote is encoded with the fences under which it was cast.
func TestVoteCarriesFences(t *testing.T) {
	fences := []Fence{{Lease: "trial/a", Token: 11}, {Lease: "trial/c", Token: 9}}
	golden.AssertFieldsSet(t, "fences", fences)
	vote := decision.Vote{Build: 8, Stage: 2, Verdict: decision.VoteRollback}
	golden.AssertFixture(t, "vote.json", encodeVote(5, vote, fences))
}

func TestNotificationsBecomeEvents(t *testing.T) {
	for name, test := range map[string]struct {
		line string
		want decision.Event // nil if the line causes no event
	}{
		"in trial": {
			`{"jsonrpc":"2.0","method":"stage","params":` + stageJSON + `}`,
			decision.StageUpdate{Age: 310, Build: 42, Phase: 0, ExposureCap: 0.28, Stage: 1},
		},
		"rolling back": {
			`{"method":"stage","params":{"image":42,"ring":0,"progress":"recalling","ceiling":0}}`,
			decision.StageUpdate{Age: 0, Build: 42, Phase: 1, ExposureCap: 0, Stage: 0},
		},
		"released": {
			`{"method":"stage","params":{"image":42,"ring":3,"progress":"live","ceiling":1}}`,
			decision.StageUpdate{Age: 0, Build: 42, Phase: 2, ExposureCap: 1, Stage: 3},
		},
		"rolled back": {
			`{"method":"stage","params":{"image":42,"ring":3,"progress":"recalled","ceiling":0}}`,
			decision.StageUpdate{Age: 0, Build: 42, Phase: 3, ExposureCap: 0, Stage: 3},
		},
		"flag": {
			`{"method":"flag","params":{"host":"s-1","type":"lookup","lag_ms":1200}}`,
			decision.ResponseFlagged{Endpoint: "s-1", Class: "lookup", Age: 1200},
		},
		"heartbeat":      {`{"method":"ping"}`, nil},
		"unknown method": {`{"method":"other","params":{}}`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := startClient(t)
			conn := awaitSubscription(t, calls, events)
			conn.send("%s", test.line)
			conn.send(`{"method":"flag","params":{"host":"last"}}`) // the first event if test.line causes none
			if test.want == nil {
				test.want = decision.ResponseFlagged{Endpoint: "last"}
			}
			if diff := cmp.Diff(test.want, nextEvent(t, events)); diff != "" {
				t.Errorf("event (-want +got):\n%s", diff)
			}
		})
	}
}

// A malformed line ends its connection, and the client opens another one.
func TestMalformedLineReplacesConnection(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":             "not JSON",
		"unknown phase":       `{"method":"stage","params":{"image":1,"ceiling":1,"progress":"x"}}`,
		"no exposure cap":     `{"method":"stage","params":{"image":1,"progress":"live"}}`,
		"flag without object": `{"method":"flag","params":3}`,
		"too long":            `{"method":"ping","params":"` + strings.Repeat("x", maxLineBytes) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := startClient(t)
			conn := awaitSubscription(t, calls, events)
			conn.send("%s", line)
			if ended := nextCall(t, calls, "closed"); ended.conn != conn.conn {
				t.Error("closed connection: got another one, want the one with the malformed line")
			}
			awaitSubscription(t, calls, events)
		})
	}
}
