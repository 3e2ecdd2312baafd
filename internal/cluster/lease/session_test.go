package lease

import (
	"testing"

	"ottershed/decision"
)

// An instance votes only under a lease that is valid by its own clock, counted from the time of sending, and is told
// once that the lease is lost.
func TestSession(t *testing.T) {
	session := Session{ID: "trial/a", Holder: a1, TTL: 1000}
	if session.MayVote(decision.VoteAdvance, 0) || !session.MayVote(decision.VoteRollback, 0) ||
		!session.MayVote(decision.VoteNone, 0) {
		t.Error("votes without a lease")
	}
	command := session.Next(nil)
	rejected := &Reply{Rejection: "held"}
	if command.Operation != Acquire || session.HandleReply(&command, 100, rejected) || session.Valid(100) {
		t.Errorf("%+v", session)
	}
	session.HandleReply(&command, 100, &Reply{Lease: Lease{Token: 7}})
	checkTrusted(t, &session)
	checkRenewed(t, &session)
	checkLost(t, &session)
}

// checkTrusted expects a lease that was asked for at 100 ms.
func checkTrusted(t *testing.T, session *Session) {
	t.Helper()
	if !session.Valid(899) || session.Valid(900) || session.MayVote(decision.VoteHold, 900) ||
		!session.MayVote(decision.VoteAdvance, 800) {
		t.Error("the trusted time does not count from the time of sending")
	}
}

// checkRenewed renews a lease under token 7 at 900 ms.
func checkRenewed(t *testing.T, session *Session) {
	t.Helper()
	command := session.Next([]byte("x"))
	session.HandleReply(&command, 900, &Reply{})
	if command.Operation != Renew || command.Token != 7 || !session.Valid(1600) || session.Valid(1700) {
		t.Errorf("%+v after %+v", session, command)
	}
}

// checkLost has a renewal rejected, twice.
func checkLost(t *testing.T, session *Session) {
	t.Helper()
	command := session.Next([]byte("x"))
	rejected := &Reply{Rejection: "held by b"}
	first, second := session.HandleReply(&command, 5000, rejected), session.HandleReply(&command, 5000, rejected)
	if !first || second || session.Valid(1000) {
		t.Error("a loss is not reported once")
	}
	if next := session.Next(nil); next.Operation != Acquire {
		t.Errorf("%+v", next)
	}
}
