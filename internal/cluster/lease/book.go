// Package takeover decides who owns which piece of work, free of I/O. A piece is held under a lease with a fencing token;
// the leases are kept in the replicated log, so that all see them alike. When an owner is gone, one other takes the piece
// from its last checkpoint, under a higher token, and whatever comes under the old one is refused. internal/cluster/failover brings
// it to a marshal; docs/takeover.md says what was weighed.
package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Millis is a time or a span in milliseconds.
type Millis = float64

// Work names a piece: its kind, and the marshal that it began with.
type Work string

// TrialOf is what a marshal has seen of the build on trial, and its vote.
func TrialOf(marshal string) Work { return Work("trial/" + marshal) }

// Token fences a piece: each lease that is granted has a higher one than any before, of whatever piece.
type Token uint64

// Holder is one process of a marshal.
type Holder struct {
	Name string `json:"Name" msgpack:"Name"`
	Run  uint64 `json:"Run" msgpack:"Run"` // drawn at each start
}

// Lease is a piece of work with its owner. Here and below, tags name the parts in what is stored and sent: stores last, and
// marshals of different versions read each other, so they stay whatever the fields are called.
type Lease struct {
	Work       Work   `json:"Work" msgpack:"Work"`
	Owner      Holder `json:"Owner" msgpack:"Owner"`
	Token      Token  `json:"Token" msgpack:"Token"`
	Until      Millis `json:"Until" msgpack:"Until"`           // by the log's clock; past it another may take the piece
	Checkpoint []byte `json:"Checkpoint" msgpack:"Checkpoint"` // the owner's, to go on from
	Written    Millis `json:"Written" msgpack:"Written"`       // when that was
	Merged     []Past `json:"Merged" msgpack:"Merged"`         // pieces whose work is in the checkpoint, the newest last
	Seq        uint64 `json:"Seq" msgpack:"Seq"`               // of its checkpoint, by its owner
}

// Past is a piece that was merged into another, by the token under which it was taken.
type Past struct {
	Work  Work  `json:"Work" msgpack:"Work"`
	Token Token `json:"Token" msgpack:"Token"`
}

// Ended is a piece that was ended, for it could not be gone on with.
type Ended struct {
	Work  Work   `json:"Work" msgpack:"Work"`
	Token Token  `json:"Token" msgpack:"Token"` // under which it was taken
	By    string `json:"By" msgpack:"By"`
	Why   string `json:"Why" msgpack:"Why"`
	At    Millis `json:"At" msgpack:"At"` // by the log's clock
}

// Verb is what a command wants.
type Verb int

const (
	Claim   Verb = iota + 1 // a marshal's own piece, free, lapsed, or held by an earlier run of it
	Keep                    // hold it longer, with a newer checkpoint where there is one
	Take                    // another's piece, once its lease has lapsed
	Merge                   // end a piece that was taken: what it held is in the checkpoint of one's own from now on
	Release                 // it may be taken at once
	End                     // a piece that was taken and can't be gone on with: it is no piece any more
)

// Command is one entry of the log.
type Command struct {
	Verb       Verb   `msgpack:"Verb"`
	Work       Work   `msgpack:"Work"`
	By         Holder `msgpack:"By"`
	Token      Token  `msgpack:"Token"` // of the lease that it goes by; none for Claim and Take
	Span       Millis `msgpack:"Span"`
	Checkpoint []byte `msgpack:"Checkpoint"` // none: the one before stays
	Into       Work   `msgpack:"Into"`       // Merge: one's own
	IntoToken  Token  `msgpack:"IntoToken"`
	Seq        uint64 `msgpack:"Seq"` // of a checkpoint: each that a holder writes has a higher one than any before
	Why        string `msgpack:"Why"` // End
}

// Reply is what became of a command.
type Reply struct {
	Refused string `msgpack:"Refused"` // why; empty: it was done
	Lease   Lease  `msgpack:"Lease"`   // Claim and Take: with the checkpoint to go on from
}

// Bounds of what the book keeps.
const (
	mostLeases     = 8192
	LongestCheck   = 256 << 10 // bytes of a checkpoint
	longestWork    = 80
	shortest       = 50.0 // ms of a lease
	longestLease   = 3.6e6
	longestHolders = 64
	mostMerged     = 64 // of a lease: for votes, and for a Merge that comes twice
	mostEnded      = 64
	LongestWhy     = 200 // bytes of a reason
)

// List is all leases, and the log's time as of its newest entry: what is left of a lease is no more than it says.
type List struct {
	Now    Millis  `json:"Now"`
	Leases []Lease `json:"Leases"` // without their checkpoints
	Ended  []Ended `json:"Ended"`  // the newest last
}

// Book holds all leases. Its clock is the log's, which no machine's wall clock enters (quorum.Clock), and never goes back.
type Book struct {
	leases map[Work]*Lease
	ended  []Ended
	token  Token
	now    Millis
}

// NewBook makes an empty one.
func NewBook() *Book { return &Book{leases: map[Work]*Lease{}} }

// List is all that the book holds, without checkpoints.
func (b *Book) List() List { return List{b.now, b.Leases(), slices.Clone(b.ended)} }

// Leases are all, by name, without their checkpoints.
func (b *Book) Leases() []Lease {
	var out []Lease
	for _, w := range slices.Sorted(maps.Keys(b.leases)) {
		l := *b.leases[w]
		l.Checkpoint = nil
		out = append(out, l)
	}
	return out
}

// Now is the log's time at the newest command.
func (b *Book) Now() Millis { return b.now }

// Apply takes the next command of the log at the log's time.
func (b *Book) Apply(c *Command, at Millis) Reply {
	b.now = max(b.now, at)
	if fault := c.check(); fault != "" {
		return Reply{Refused: fault}
	}
	l := b.leases[c.Work]
	switch c.Verb {
	case Claim:
		return b.claim(l, c)
	case Take:
		return b.take(l, c)
	}
	if c.Verb == Merge && b.merged(c) || c.Verb == End && b.wasEnded(c) {
		return Reply{} // its answer got lost
	}
	if l == nil || l.Token != c.Token || l.Owner != c.By {
		return Reply{Refused: fenced(c, l)}
	}
	switch c.Verb {
	case Keep:
		l.Until = b.now + c.Span
		// Danger: a checkpoint whose answer was lost may come after the one that holds another's work as well, and would be
		// written over it.
		if c.Checkpoint != nil && c.Seq >= l.Seq {
			l.Checkpoint, l.Written, l.Seq = c.Checkpoint, b.now, c.Seq
		}
	case Release:
		l.Until = b.now
	case End:
		b.ended = append(b.ended, Ended{c.Work, c.Token, c.By.Name, c.Why, b.now})
		b.ended = slices.Clone(b.ended[max(0, len(b.ended)-mostEnded):])
		delete(b.leases, c.Work)
	case Merge:
		into := b.leases[c.Into]
		if into == nil || into.Token != c.IntoToken || into.Owner != c.By {
			return Reply{Refused: fenced(&Command{Work: c.Into, Token: c.IntoToken, By: c.By}, into)}
		}
		// Danger: ended first and written afterwards, a piece would be lost with its new owner between; the other way
		// round it would be taken over twice. So both are one entry.
		into.Checkpoint, into.Written, into.Until, into.Seq = c.Checkpoint, b.now, b.now+c.Span, max(into.Seq, c.Seq)
		into.Merged = append(append(into.Merged, l.Merged...), Past{c.Work, c.Token})
		if over := len(into.Merged) - mostMerged; over > 0 {
			into.Merged = slices.Clone(into.Merged[over:])
		}
		delete(b.leases, c.Work)
	}
	return Reply{}
}

// merged tells whether a Merge was done before.
func (b *Book) merged(c *Command) bool {
	into := b.leases[c.Into]
	return into != nil && into.Owner == c.By && into.Token == c.IntoToken && slices.Contains(into.Merged, Past{c.Work, c.Token})
}

// wasEnded tells whether an End was done before.
func (b *Book) wasEnded(c *Command) bool {
	return slices.ContainsFunc(b.ended, func(e Ended) bool { return e.Work == c.Work && e.Token == c.Token && e.By == c.By.Name })
}

func (c *Command) check() string {
	switch {
	case c.Verb < Claim || c.Verb > End:
		return fmt.Sprintf("no command %d", c.Verb)
	case c.Work == "" || len(c.Work) > longestWork || len(c.Into) > longestWork || !strings.Contains(string(c.Work), "/"):
		return fmt.Sprintf("no piece of work: %q", c.Work)
	case c.By.Name == "" || len(c.By.Name) > longestHolders:
		return "nobody asks"
	case len(c.Why) > LongestWhy:
		return fmt.Sprintf("a reason of %d bytes", len(c.Why))
	case c.Verb < Release && (c.Span < shortest || c.Span > longestLease):
		return fmt.Sprintf("a lease of %g ms", c.Span)
	case len(c.Checkpoint) > LongestCheck:
		return fmt.Sprintf("a checkpoint of %d bytes", len(c.Checkpoint))
	case c.Verb == Merge && c.Work == c.Into:
		return "a piece does not go into itself"
	}
	return ""
}

// fenced says by what a late command is refused.
func fenced(c *Command, l *Lease) string {
	if l == nil {
		return fmt.Sprintf("%s is no piece any more; token %d is of the past", c.Work, c.Token)
	}
	return fmt.Sprintf("%s is held by %s under token %d, not by %s under %d", c.Work, l.Owner.Name, l.Token, c.By.Name, c.Token)
}

func (b *Book) claim(l *Lease, c *Command) Reply {
	if l != nil && l.Owner.Name != c.By.Name && b.now < l.Until {
		return Reply{Refused: fmt.Sprintf("%s is held by %s under token %d", c.Work, l.Owner.Name, l.Token)}
	}
	if l == nil && len(b.leases) >= mostLeases {
		return Reply{Refused: "no room for more pieces"}
	}
	return b.grant(l, c)
}

func (b *Book) take(l *Lease, c *Command) Reply {
	switch {
	case l == nil:
		return Reply{Refused: fmt.Sprintf("%s is no piece any more", c.Work)}
	case l.Owner == c.By: // its answer got lost
		return Reply{Lease: *l}
	case b.now < l.Until:
		return Reply{Refused: fmt.Sprintf("%s is held by %s under token %d for %.0f ms more", c.Work, l.Owner.Name, l.Token, l.Until-b.now)}
	}
	return b.grant(l, c)
}

func (b *Book) grant(l *Lease, c *Command) Reply {
	if l == nil {
		l = &Lease{Work: c.Work}
		b.leases[c.Work] = l
	}
	b.token++
	l.Owner, l.Token, l.Until, l.Seq = c.By, b.token, b.now+c.Span, 0
	return Reply{Lease: *l}
}

// Find is the lease of a piece with its checkpoint.
func (b *Book) Find(w Work) (Lease, bool) {
	l := b.leases[w]
	if l == nil {
		return Lease{}, false
	}
	return *l, true
}

// book is what a snapshot holds.
type book struct {
	Leases []Lease `msgpack:"Leases"`
	Token  Token   `msgpack:"Token"`
	Now    Millis  `msgpack:"Now"`
	Ended  []Ended `msgpack:"Ended"`
}

// Encode writes all.
func (b *Book) Encode() ([]byte, error) {
	all := book{Token: b.token, Now: b.now, Ended: b.ended}
	for _, w := range slices.Sorted(maps.Keys(b.leases)) {
		all.Leases = append(all.Leases, *b.leases[w])
	}
	raw, err := msgpack.Marshal(&all)
	if err != nil {
		return nil, fmt.Errorf("leases: %w", err)
	}
	return raw, nil
}

// Restore takes the place of all by what Encode wrote.
func (b *Book) Restore(raw []byte) error {
	var all book
	if err := msgpack.Unmarshal(raw, &all); err != nil {
		return fmt.Errorf("leases: %w", err)
	}
	*b = Book{leases: map[Work]*Lease{}, token: all.Token, now: all.Now, ended: all.Ended}
	for _, l := range all.Leases {
		if l.Token > b.token {
			return fmt.Errorf("leases: %s has token %d, above all that were given", l.Work, l.Token)
		}
		b.leases[l.Work] = &l
	}
	return nil
}
