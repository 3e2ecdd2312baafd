package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ottershed/decision"
	"ottershed/internal/cluster/membership"
)

// Own is one marshal's hold on its own piece: what it may do by it, and when it has to be kept.
type Own struct {
	Work  Work
	By    Holder
	Span  Millis
	token Token
	until Millis // by this marshal's own clock, counted from before it asked; see trust
	lost  bool   // another holds it, or it is gone
}

// trust is the part of a lease that its holder goes by. Danger: the log's time runs by its leader's clock; where that is a tenth
// fast and the holder's a tenth slow, a holder that went by all of it would hold while another takes the piece.
const trust = 0.8

// Holds tells whether the lease stands by this marshal's own clock.
func (o *Own) Holds(now Millis) bool { return o.token > 0 && !o.lost && now < o.until }

// Token is that of the lease, 0 without one.
func (o *Own) Token() Token { return o.token }

// Next is the command to send now: a claim without a lease, else one that keeps it.
func (o *Own) Next(checkpoint []byte) Command {
	if o.token == 0 || o.lost {
		return Command{Verb: Claim, Work: o.Work, By: o.By, Span: o.Span}
	}
	return Command{Verb: Keep, Work: o.Work, By: o.By, Token: o.token, Span: o.Span, Checkpoint: checkpoint}
}

// Said takes the reply to a command that was sent at a time, and tells whether what this marshal has seen is another's now.
func (o *Own) Said(c *Command, sent Millis, r *Reply) (disowned bool) {
	switch {
	case c.Verb == Claim && r.Refused == "":
		o.token, o.until, o.lost = r.Lease.Token, sent+trust*o.Span, false
	case c.Verb == Keep && r.Refused == "" && c.Token == o.token:
		// Danger: counted from the reply, a lease would stand here for longer than in the log.
		o.until = max(o.until, sent+trust*o.Span)
	case c.Verb == Keep && r.Refused != "" && c.Token == o.token, c.Verb == Merge && r.Refused != "" && c.IntoToken == o.token:
		// Danger: a marshal that stood still past its lease goes on where it stopped; another has gone on from its last
		// checkpoint, and what both have seen would be judged twice.
		disowned, o.lost = !o.lost, true
	}
	return disowned
}

// MayVote tells whether a vote may go out now. Danger: a marshal that has lost its piece and does not know it yet would
// vote a build on by evidence that another has. Votes back do no harm twice and must not wait for the log.
func (o *Own) MayVote(v decision.Verdict, now Millis) bool {
	return v == decision.VoteBack || v == decision.VoteNone || o.Holds(now)
}

// Heirs are the members that could take a piece, the first to do so first: an order drawn for each piece from the names
// alone, so that all have the same, and the pieces of many go to many.
func Heirs(w Work, present []string) []string {
	out := slices.Clone(present)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(w) + "\x00" + name) }
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out
}

// part of a lease that an heir waits for each that comes before it.
const turn = 0.5

// Due are the pieces that this marshal should try to take now: of owners that membership holds for dead or gone, with
// leases that have lapsed by the log's time, which the list brings along: nobody's own clock has a say in it.
func Due(self string, view *membership.View, list List, span Millis) []Work {
	now := list.Now
	var present []string
	state := map[string]membership.Member{}
	for _, m := range view.Members {
		state[string(m.Name)] = m
		if m.State == membership.Alive {
			present = append(present, string(m.Name))
		}
	}
	var out []Work
	for _, l := range list.Leases {
		owner, known := state[l.Owner.Name]
		if l.Owner.Name == self {
			// Danger: taken, and the answer lost before it was merged, a piece would be left to its taker, which does not know.
			if l.Work != TrialOf(self) {
				out = append(out, l.Work)
			}
			continue
		}
		// Danger: one that is cut off from the log alone lets its lease lapse and still has its own work in hand. What it took
		// over and has not merged is in nobody's.
		inHand := known && owner.State <= membership.Suspect && l.Work == TrialOf(l.Owner.Name)
		if now < l.Until || inHand {
			continue
		}
		// The first heir goes first; if it does not, for it is gone or cut off too, the next one does.
		place := slices.Index(Heirs(l.Work, present), self)
		if place >= 0 && now >= l.Until+Millis(place)*turn*span {
			out = append(out, l.Work)
		}
	}
	return out
}

// Resume is what becomes of a hit that its client brings again, for it never heard of the first try: the marshal that had it
// is gone, and nobody knows how far it came.
type Resume int

const (
	Again  Resume = iota // it is taken as any other
	Refuse               // it is never forwarded, and answered at once
)

// Resumed decides that by what a second run would do.
func Resumed(g *decision.PathGroup) Resume {
	// Danger: the first try may have run, at a node that nobody knows. A mutating hit must not run twice; a tagged one only
	// where all nodes know its mark, for as long as they do, and when that began is not known either.
	if g.Effect == decision.Repeatable {
		return Again
	}
	return Refuse
}
