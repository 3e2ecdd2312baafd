package lease

import (
	"cmp"
	"ottershed/decision"
	"ottershed/internal/cluster/membership"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Own is one marshal's hold on its own piece: what it may do by it, and when it has to be kept.
type Session struct {
	ID           ID
	Holder       Holder
	TTL          Millis
	token        Token
	trustedUntil Millis // by this marshal's own clock, counted from before it asked; see trust
	lost         bool   // another holds it, or it is gone
}

// trust is the part of a lease that its holder goes by. Danger: the log's time runs by its leader's clock; where that is a tenth
// fast and the holder's a tenth slow, a holder that went by all of it would hold while another takes the piece.
const trustedShare = 0.8

// Holds tells whether the lease stands by this marshal's own clock.
func (s *Session) Valid(now Millis) bool { return s.token > 0 && !s.lost && now < s.trustedUntil }

// Token is that of the lease, 0 without one.
func (s *Session) Token() Token { return s.token }

// Next is the command to send now: a claim without a lease, else one that keeps it.
func (s *Session) Next(checkpoint []byte) Command {
	if s.token == 0 || s.lost {
		return Command{Operation: Acquire, ID: s.ID, Holder: s.Holder, TTL: s.TTL}
	}
	return Command{Operation: Renew, ID: s.ID, Holder: s.Holder, Token: s.token, TTL: s.TTL, Checkpoint: checkpoint}
}

// Said takes the reply to a command that was sent at a time, and tells whether what this marshal has seen is another's now.
func (s *Session) HandleReply(c *Command, sent Millis, r *Reply) (revoked bool) {
	switch {
	case c.Operation == Acquire && r.Rejection == "":
		s.token, s.trustedUntil, s.lost = r.Lease.Token, sent+trustedShare*s.TTL, false
	case c.Operation == Renew && r.Rejection == "" && c.Token == s.token:
		// Danger: counted from the reply, a lease would stand here for longer than in the log.
		s.trustedUntil = max(s.trustedUntil, sent+trustedShare*s.TTL)
	case c.Operation == Renew && r.Rejection != "" && c.Token == s.token, c.Operation == Merge && r.Rejection != "" && c.IntoToken == s.token:
		// Danger: a marshal that stood still past its lease goes on where it stopped; another has gone on from its last
		// checkpoint, and what both have seen would be judged twice.
		revoked, s.lost = !s.lost, true
	}
	return revoked
}

// MayVote tells whether a vote may go out now. Danger: a marshal that has lost its piece and does not know it yet would
// vote a build on by evidence that another has. Votes back do no harm twice and must not wait for the log.
func (s *Session) MayVote(v decision.Verdict, now Millis) bool {
	return v == decision.VoteRollback || v == decision.VoteNone || s.Valid(now)
}

// Heirs are the members that could take a piece, the first to do so first: an order drawn for each piece from the names
// alone, so that all have the same, and the pieces of many go to many.
func Successors(w ID, alive []string) []string {
	out := slices.Clone(alive)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(w) + "\x00" + name) }
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out
}

// part of a lease that an heir waits for each that comes before it.
const successorDelay = 0.5

// Due are the pieces that this marshal should try to take now: of owners that membership holds for dead or gone, with
// leases that have lapsed by the log's time, which the list brings along: nobody's own clock has a say in it.
func DueForTakeover(self string, view *membership.View, list List, span Millis) []ID {
	now := list.Now
	var alive []string
	state := map[string]membership.Member{}
	for _, m := range view.Members {
		state[string(m.Name)] = m
		if m.State == membership.Alive {
			alive = append(alive, string(m.Name))
		}
	}
	var out []ID
	for _, l := range list.Leases {
		owner, known := state[l.Holder.Name]
		if l.Holder.Name == self {
			// Danger: taken, and the answer lost before it was merged, a piece would be left to its taker, which does not know.
			if l.ID != TrialID(self) {
				out = append(out, l.ID)
			}
			continue
		}
		// Danger: one that is cut off from the log alone lets its lease lapse and still has its own work in hand. What it took
		// over and has not merged is in nobody's.
		stillHeld := known && owner.State <= membership.Suspect && l.ID == TrialID(l.Holder.Name)
		if now < l.ExpiresAt || stillHeld {
			continue
		}
		// The first heir goes first; if it does not, for it is gone or cut off too, the next one does.
		rank := slices.Index(Successors(l.ID, alive), self)
		if rank >= 0 && now >= l.ExpiresAt+Millis(rank)*successorDelay*span {
			out = append(out, l.ID)
		}
	}
	return out
}

// Resume is what becomes of a hit that its client brings again, for it never heard of the first try: the marshal that had it
// is gone, and nobody knows how far it came.
type ResumeDecision int

const (
	ResumeAdmit  ResumeDecision = iota // it is taken as any other
	ResumeReject                       // it is never forwarded, and answered at once
)

// Resumed decides that by what a second run would do.
func DecideResume(g *decision.RequestClass) ResumeDecision {
	// Danger: the first try may have run, at a node that nobody knows. A mutating hit must not run twice; a tagged one only
	// where all nodes know its mark, for as long as they do, and when that began is not known either.
	if g.Idempotency == decision.Idempotent {
		return ResumeAdmit
	}
	return ResumeReject
}
