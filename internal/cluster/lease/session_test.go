package lease

import (
	"testing"

	"ottershed/decision"
)

// Guards against votes after the trusted part of a lease, which starts when the command is sent, and against a loss
// that is reported more than once.
func TestSessionIsValidWhileTrusted(t *testing.T) {
	session := Session{ID: "trial/a", Holder: a1, TTL: 1000}
	if session.MayVote(decision.VoteAdvance, 0) || !session.MayVote(decision.VoteRollback, 0) ||
		!session.MayVote(decision.VoteNone, 0) {
		t.Error("without a lease: want only rollback and empty votes allowed")
	}
	command := session.Next(nil)
	rejected := &Reply{Rejection: "held"}
	if command.Operation != Acquire || session.HandleReply(&command, 100, rejected) || session.Valid(100) {
		t.Errorf("after command %+v was rejected: got session %+v, want Acquire and no valid lease", command, session)
	}
	session.HandleReply(&command, 100, &Reply{Lease: Lease{Token: 7}})
	checkTrusted(t, &session)
	checkRenewed(t, &session)
	checkLost(t, &session)
}

// checkTrusted expects the session to trust a lease of 1000 ms that was requested at 100 ms until 900 ms.
func checkTrusted(t *testing.T, session *Session) {
	t.Helper()
	if !session.Valid(899) || session.Valid(900) || session.MayVote(decision.VoteHold, 900) ||
		!session.MayVote(decision.VoteAdvance, 800) {
		t.Error("want a lease of 1000 ms to be trusted for 800 ms from the time of sending, 100 ms")
	}
}

// checkRenewed renews the lease under token 7 at 900 ms and expects the session to trust it until 1700 ms.
func checkRenewed(t *testing.T, session *Session) {
	t.Helper()
	command := session.Next([]byte("x"))
	session.HandleReply(&command, 900, &Reply{})
	if command.Operation != Renew || command.Token != 7 || !session.Valid(1600) || session.Valid(1700) {
		t.Errorf("after renewal %+v: got session %+v, want a lease under token 7 that is trusted until 1700 ms", command,
			session)
	}
}

// checkLost rejects a renewal twice and expects the session to report the loss only the first time.
func checkLost(t *testing.T, session *Session) {
	t.Helper()
	command := session.Next([]byte("x"))
	rejected := &Reply{Rejection: "held by b"}
	first, second := session.HandleReply(&command, 5000, rejected), session.HandleReply(&command, 5000, rejected)
	if !first || second || session.Valid(1000) {
		t.Error("want no valid lease after the loss, and the loss reported by the first rejection only")
	}
	if next := session.Next(nil); next.Operation != Acquire {
		t.Errorf("after the loss: got next command %+v, want Acquire", next)
	}
}
