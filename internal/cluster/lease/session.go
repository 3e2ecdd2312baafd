package lease

import "ottershed/decision"

// trustedShare is the share of a lease's TTL, 0 to 1, that its holder relies on. The log's time runs by its leader's
// clock: with that clock a tenth fast and the holder's a tenth slow, a holder that relied on the whole TTL would
// still act while a successor already may. A higher share tolerates longer outages of the log and less difference in
// clock rates.
const trustedShare = 0.8

// Session is an instance's own lease as the instance knows it. Its states:
//
//	unheld  no lease was granted yet
//	held    granted; valid until trustedUntil by the instance's own clock, and valid again when a renewal arrives
//	lost    rejected as stale: another instance holds the lease, or it is gone
//
// Transitions, all in HandleReply:
//
//	unheld, lost  -> held  Acquire was applied
//	held          -> held  Renew was applied; its time is extended
//	held          -> lost  Renew was rejected under the session's token, or Merge into its lease
//
// A Session is not safe for concurrent use.
type Session struct {
	ID     ID
	Holder Holder
	TTL    Millis // of the lease, asked for in each command

	token        Token  // the newest that was granted; stays while the lease is lost
	trustedUntil Millis // by the instance's own clock, see trustedShare
	lost         bool   // since token was granted
}

type sessionState int

const (
	unheld sessionState = iota
	held
	lost
)

func (s *Session) state() sessionState {
	switch {
	case s.lost:
		return lost
	case s.token == 0:
		return unheld
	default:
		return held
	}
}

// Valid tells whether the instance may act under its lease, at a time of the instance's own clock.
func (s *Session) Valid(now Millis) bool { return s.state() == held && now < s.trustedUntil }

// Token is the newest token of the session, 0 before the first.
func (s *Session) Token() Token { return s.token }

// Next is the command to propose now: it acquires a lease, or renews the one that is held, with a checkpoint unless
// nil.
func (s *Session) Next(checkpoint []byte) Command {
	if s.state() != held {
		return Command{Operation: Acquire, ID: s.ID, Holder: s.Holder, TTL: s.TTL}
	}
	return Command{Operation: Renew, ID: s.ID, Holder: s.Holder, Token: s.token, TTL: s.TTL, Checkpoint: checkpoint}
}

// HandleReply takes the reply to a command that was sent at a time of the instance's own clock. It tells whether the
// lease was lost just now: the instance has to drop its evidence then, which a successor has resumed from the last
// checkpoint, or the same outcomes would be judged twice.
func (s *Session) HandleReply(c *Command, sent Millis, r *Reply) (revoked bool) {
	applied := r.Rejection == ""
	switch {
	case c.Operation == Acquire && applied:
		s.token = r.Lease.Token
		s.trustedUntil = s.trustedFrom(sent)
		s.lost = false
	case c.Operation == Renew && applied && c.Token == s.token:
		s.trustedUntil = max(s.trustedUntil, s.trustedFrom(sent))
	case s.lostBy(c) && !applied:
		revoked = s.state() != lost
		s.lost = true
	}
	return revoked
}

// trustedFrom is until when a lease is trusted that was asked for at a time. Counted from the reply, the instance would
// rely on it for longer than the log grants it.
func (s *Session) trustedFrom(sent Millis) Millis { return sent + trustedShare*s.TTL }

// lostBy tells whether a rejection of the command means that the session's lease is another's or gone.
func (s *Session) lostBy(c *Command) bool {
	return c.Operation == Renew && c.Token == s.token || c.Operation == Merge && c.IntoToken == s.token
}

// MayVote tells whether a vote may be sent now. Votes that advance or hold a build need a valid lease: an instance that
// has lost its lease without knowing it would vote by evidence that a successor has too. A rollback vote does no harm
// when cast twice and must not wait for the log.
func (s *Session) MayVote(v decision.Verdict, now Millis) bool {
	return v == decision.VoteRollback || v == decision.VoteNone || s.Valid(now)
}
