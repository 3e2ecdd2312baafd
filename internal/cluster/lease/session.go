package lease

import "ottershed/decision"

// trustedShare is the part of a lease's TTL, 0 to 1, during which the holder acts under the lease. The log's time
// advances with its leader's clock. If that clock runs a tenth fast and the holder's clock a tenth slow, a holder that
// trusted the whole TTL would still act after a successor has taken over. A higher share tolerates longer outages of
// the log, but only smaller differences in clock rate.
const trustedShare = 0.8

// Session is an instance's view of its own lease. Its states are:
//
//	unheld  no lease was granted yet
//	held    granted; valid until trustedUntil by the instance's local clock, and valid again after a renewal
//	lost    rejected as stale: another instance holds the lease, or the lease has ended
//
// HandleReply makes all transitions:
//
//	unheld, lost  -> held  Acquire was applied
//	held          -> held  Renew was applied and extended the lease
//	held          -> lost  Renew under the session's token, or Merge into the session's lease, was rejected
//
// A Session is not safe for concurrent use.
type Session struct {
	ID     ID
	Holder Holder
	TTL    Millis // TTL of the lease, requested in each command

	token        Token  // the newest granted token; stays set while the lease is lost
	trustedUntil Millis // end of the trusted part of the TTL, see trustedShare; by the instance's local clock
	leaseLost    bool   // whether the lease granted under token was lost
}

type sessionState int

const (
	unheld sessionState = iota
	held
	lost
)

func (s *Session) state() sessionState {
	switch {
	case s.leaseLost:
		return lost
	case s.token == 0:
		return unheld
	default:
		return held
	}
}

// Valid reports whether the instance may act under its lease at now, a time of the instance's local clock.
func (s *Session) Valid(now Millis) bool { return s.state() == held && now < s.trustedUntil }

// Token returns the newest granted token, or 0 before the first grant.
func (s *Session) Token() Token { return s.token }

// Next returns the command to propose next. The command renews the lease if it is held, with a checkpoint unless that
// is nil; otherwise the command acquires the lease.
func (s *Session) Next(checkpoint []byte) Command {
	if s.state() != held {
		return Command{Operation: Acquire, ID: s.ID, Holder: s.Holder, TTL: s.TTL}
	}
	return Command{Operation: Renew, ID: s.ID, Holder: s.Holder, Token: s.token, TTL: s.TTL, Checkpoint: checkpoint}
}

// HandleReply processes the reply to a command; sent is when the command was sent, by the instance's local clock. It
// reports whether this reply revoked the lease. The instance must then drop its evidence: a successor has resumed from
// the last checkpoint, and the same outcomes would be judged twice.
func (s *Session) HandleReply(c *Command, sent Millis, r *Reply) (revoked bool) {
	applied := r.Rejection == ""
	switch {
	case c.Operation == Acquire && applied:
		s.token = r.Lease.Token
		s.trustedUntil = s.trustLimit(sent)
		s.leaseLost = false
	case c.Operation == Renew && applied && c.Token == s.token:
		s.trustedUntil = max(s.trustedUntil, s.trustLimit(sent))
	case s.invalidatedBy(c) && !applied:
		revoked = s.state() != lost
		s.leaseLost = true
	}
	return revoked
}

// trustLimit returns the end of the time during which the instance may trust a lease that it requested at sent.
// Counting from the reply instead would let the instance trust the lease for longer than the log grants it.
func (s *Session) trustLimit(sent Millis) Millis { return sent + trustedShare*s.TTL }

// invalidatedBy reports whether a rejection of the command means that the session's lease is held by another instance
// or has ended.
func (s *Session) invalidatedBy(c *Command) bool {
	return c.Operation == Renew && c.Token == s.token || c.Operation == Merge && c.MergeIntoToken == s.token
}

// MayVote reports whether a vote may be sent at now, a time of the instance's local clock. Votes that advance or hold a
// build need a valid lease: an instance that has lost its lease without knowing would vote on evidence that a successor
// has too. A rollback vote does no harm when cast twice and must not wait for the log.
func (s *Session) MayVote(v decision.Verdict, now Millis) bool {
	return v == decision.VoteRollback || v == decision.VoteNone || s.Valid(now)
}
