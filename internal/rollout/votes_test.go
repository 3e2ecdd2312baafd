package rollout

import (
	"fmt"
	"testing"

	"ottershed/decision"
)

func TestEachVoteGetsOneResult(t *testing.T) {
	update := decision.StageUpdate{IsVoteResult: true, Age: 310, Build: 42, Stage: 1, ExposureCap: 0.28}
	rejectWith := func(message string) func(call) {
		return func(vote call) {
			vote.send(`{"jsonrpc":"2.0","id":%d,"error":{"code":-32602,"message":%q}}`, vote.ID, message)
		}
	}
	timedOut := failedVote(decision.VoteTimedOut)
	for name, test := range map[string]struct {
		response func(call)
		want     decision.StageUpdate
	}{
		"accepted":                 {func(vote call) { vote.respond(stageJSON) }, update},
		"throttled":                {rejectWith("Throttling"), failedVote(decision.VoteThrottled)},
		"obsolete":                 {rejectWith("ConditionFailed"), failedVote(decision.VoteObsolete)},
		"error":                    {rejectWith("InternalFailure"), failedVote(decision.VoteFailed)},
		"invalid":                  {rejectWith("ValidationError"), failedVote(decision.VoteFailed)},
		"unknown error":            {rejectWith("Unknown"), timedOut},
		"no response":              {func(call) {}, timedOut},
		"closed":                   {func(vote call) { closeQuietly(vote.conn) }, timedOut},
		"malformed":                {func(vote call) { vote.send("not JSON") }, timedOut},
		"malformed result":         {func(vote call) { vote.respond("true") }, timedOut},
		"response to another call": {func(vote call) { vote.ID += 1000; vote.respond("true") }, timedOut},
		"heartbeat first":          {func(vote call) { vote.send(`{"method":"ping"}`); vote.respond(stageJSON) }, update},
	} {
		t.Run(name, func(t *testing.T) {
			client, calls, events := startClient(t)
			sendHeartbeats(t, awaitSubscription(t, calls, events))
			client.Vote(decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance})
			vote := nextCall(t, calls, "castBallot")
			want := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"castBallot",`+
				`"params":{"image":42,"ring":1,"opinion":"on"}}`, vote.ID)
			if vote.text != want {
				t.Errorf("vote on the wire: got %s, want %s", vote.text, want)
			}
			test.response(vote)
			if got := nextEvent(t, events); got != test.want {
				t.Errorf("event after the response: got %+v, want %+v", got, test.want)
			}
			select {
			case event := <-events:
				t.Errorf("second event: got %+v, want none", event)
			default:
			}
		})
	}
}

// A vote without a connection fails, and a vote without a response times out. A response after that still updates the
// stage.
func TestVoteWithoutConnectionFails(t *testing.T) {
	client, calls, events := startClient(t)
	client.Vote(decision.Vote{})
	if got := nextEvent(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteFailed}) {
		t.Errorf("vote without a connection: got event %+v, want a vote result VoteFailed", got)
	}
	sendHeartbeats(t, awaitSubscription(t, calls, events))
	client.Vote(decision.Vote{})
	vote := nextCall(t, calls, "castBallot")
	if got := nextEvent(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}) {
		t.Errorf("vote without a response: got event %+v, want a vote result VoteTimedOut", got)
	}
	vote.respond(stageJSON)
	if got := nextEvent(t, events); got != (decision.StageUpdate{Age: 310, Build: 42, Stage: 1, ExposureCap: 0.28}) {
		t.Errorf("response after the timeout: got event %+v, want a stage update of build 42", got)
	}
}
