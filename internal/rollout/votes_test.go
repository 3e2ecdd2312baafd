package rollout

import (
	"fmt"
	"testing"

	"ottershed/decision"
)

func TestVotes(t *testing.T) {
	update := decision.StageUpdate{IsVoteResult: true, Age: 310, Build: 42, Stage: 1, ExposureCap: 0.28}
	refuse := func(message string) func(call) {
		return func(vote call) {
			vote.send(`{"jsonrpc":"2.0","id":%d,"error":{"code":-32602,"message":%q}}`, vote.ID, message)
		}
	}
	timedOut := voteFailedWith(decision.VoteTimedOut)
	for name, test := range map[string]struct {
		response func(call)
		want     decision.StageUpdate
	}{
		"accepted":           {func(vote call) { vote.result(stage) }, update},
		"throttled":          {refuse("Throttling"), voteFailedWith(decision.VoteThrottled)},
		"obsolete":           {refuse("ConditionFailed"), voteFailedWith(decision.VoteObsolete)},
		"error":              {refuse("InternalFailure"), voteFailedWith(decision.VoteFailed)},
		"not valid":          {refuse("ValidationError"), voteFailedWith(decision.VoteFailed)},
		"unknown error":      {refuse("Tired"), timedOut},
		"no response":        {func(call) {}, timedOut},
		"closed":             {func(vote call) { closeQuietly(vote.conn) }, timedOut},
		"malformed":          {func(vote call) { vote.send("what?") }, timedOut},
		"malformed result":   {func(vote call) { vote.result("true") }, timedOut},
		"another's response": {func(vote call) { vote.ID += 1000; vote.result("true") }, timedOut},
		"heartbeat before":   {func(vote call) { vote.send(`{"method":"ping"}`); vote.result(stage) }, update},
	} {
		t.Run(name, func(t *testing.T) {
			client, calls, events := start(t)
			sendHeartbeats(t, followed(t, calls, events))
			client.Vote(decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance})
			vote := next(t, calls, "castBallot")
			want := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"castBallot",`+
				`"params":{"image":42,"ring":1,"opinion":"on"}}`, vote.ID)
			if vote.text != want {
				t.Errorf("sent %s, want %s", vote.text, want)
			}
			test.response(vote)
			if got := wait(t, events); got != test.want {
				t.Errorf("received %+v, want %+v", got, test.want)
			}
			select {
			case event := <-events:
				t.Errorf("received a second event: %+v", event)
			default:
			}
		})
	}
}

// Without a connection a vote was not sent. A response that comes too late still updates the stage.
func TestVoteWithoutConnection(t *testing.T) {
	client, calls, events := start(t)
	client.Vote(decision.Vote{})
	if got := wait(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteFailed}) {
		t.Errorf("received %+v", got)
	}
	sendHeartbeats(t, followed(t, calls, events))
	client.Vote(decision.Vote{})
	vote := next(t, calls, "castBallot")
	if got := wait(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}) {
		t.Errorf("received %+v", got)
	}
	vote.result(stage)
	if got := wait(t, events); got != (decision.StageUpdate{Age: 310, Build: 42, Stage: 1, ExposureCap: 0.28}) {
		t.Errorf("received %+v", got)
	}
}
