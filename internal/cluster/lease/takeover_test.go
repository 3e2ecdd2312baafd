package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"ottershed/decision"
	"ottershed/internal/cluster/membership"
)

var (
	a1 = Holder{"a", 1}
	a2 = Holder{"a", 2}
	b1 = Holder{"b", 1}
	c1 = Holder{"c", 1}
)

// The terms of a lease, one command after another, at the log's times.
func TestBook(t *testing.T) {
	b := NewBook()
	const w, wb = Work("trial/a"), Work("trial/b")
	for i, s := range []struct {
		at   Millis
		c    Command
		want string // of the refusal; empty: done
	}{
		{0, Command{Verb: Claim, Work: w, By: a1, Span: 1000}, ""}, // token 1
		{0, Command{Verb: Claim, Work: wb, By: b1, Span: 1000}, ""},
		{100, Command{Verb: Keep, Work: w, By: a1, Token: 1, Span: 1000, Checkpoint: []byte("x")}, ""},
		{200, Command{Verb: Keep, Work: w, By: b1, Token: 1, Span: 1000}, "held by a under token 1, not by b"},
		{200, Command{Verb: Take, Work: w, By: b1, Span: 1000}, "for 900 ms more"},
		{200, Command{Verb: Claim, Work: w, By: b1, Span: 1000}, "held by a under token 1"},
		{1099, Command{Verb: Take, Work: w, By: b1, Span: 1000}, "for 1 ms more"},
		{1100, Command{Verb: Take, Work: w, By: b1, Span: 1000}, ""}, // token 3
		{1100, Command{Verb: Take, Work: w, By: b1, Span: 1000}, ""}, // its answer was lost
		{1101, Command{Verb: Take, Work: w, By: c1, Span: 1000}, "held by b under token 3"},
		{1102, Command{Verb: Keep, Work: w, By: a1, Token: 1, Span: 1000, Checkpoint: []byte("late")}, "held by b under token 3, not by a under 1"},
		{1103, Command{Verb: Merge, Work: w, By: b1, Token: 1, Span: 1000, Into: wb, IntoToken: 2, Checkpoint: []byte("ab")}, "not by b under 1"},
		{1103, Command{Verb: Merge, Work: w, By: b1, Token: 3, Span: 1000, Into: wb, IntoToken: 9, Checkpoint: []byte("ab")}, "not by b under 9"},
		{1104, Command{Verb: Merge, Work: w, By: b1, Token: 3, Span: 1000, Into: wb, IntoToken: 2, Checkpoint: []byte("ab")}, ""},
		{1105, Command{Verb: Merge, Work: w, By: b1, Token: 3, Span: 1000, Into: wb, IntoToken: 2, Checkpoint: []byte("ab")}, ""}, // again
		{1106, Command{Verb: Take, Work: w, By: c1, Span: 1000}, "no piece any more"},
		{1107, Command{Verb: Keep, Work: w, By: a1, Token: 1, Span: 1000}, "token 1 is of the past"},
		{1108, Command{Verb: Claim, Work: w, By: a1, Span: 1000}, ""}, // token 4
		{1109, Command{Verb: Claim, Work: w, By: a2, Span: 1000}, ""}, // a restart: token 5
		{1110, Command{Verb: Keep, Work: w, By: a1, Token: 4, Span: 1000}, "held by a under token 5"},
		{900, Command{Verb: Take, Work: w, By: c1, Span: 1000}, "for 999 ms more"}, // a clock that is behind
		{1111, Command{Verb: Release, Work: w, By: a2, Token: 5}, ""},
		{1111, Command{Verb: Take, Work: w, By: c1, Span: 1000}, ""}, // token 6
		{1112, Command{Verb: Keep, Work: w, By: c1, Token: 6, Span: 1}, "a lease of 1 ms"},
		{1112, Command{Verb: Claim, Work: "x", By: c1, Span: 1000}, "no piece of work"},
		{1112, Command{Verb: 9, Work: w, By: c1}, "no command 9"},
		{1112, Command{Verb: Claim, Work: "trial/z", Span: 1000}, "nobody asks"},
		{1112, Command{Verb: Keep, Work: w, By: c1, Token: 6, Span: 1000, Checkpoint: make([]byte, LongestCheck+1)}, "a checkpoint of"},
	} {
		r := b.Apply(&s.c, s.at)
		if (r.Refused == "") != (s.want == "") || !strings.Contains(r.Refused, s.want) {
			t.Errorf("%d, %+v: refused %q, want %q", i, s.c, r.Refused, s.want)
		}
	}
	l, _ := b.Find(wb)
	if string(l.Checkpoint) != "ab" || len(l.Merged) != 1 || l.Merged[0] != (Past{w, 3}) || b.token != 6 {
		t.Errorf("%+v, token %d", l, b.token)
	}
	raw, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back := NewBook()
	if err := back.Restore(raw); err != nil || fmt.Sprint(back.Leases()) != fmt.Sprint(b.Leases()) || back.token != 6 || back.now != b.now {
		t.Errorf("%v, %+v", err, back)
	}
	back.token = 1
	if raw, err = back.Encode(); err != nil || NewBook().Restore(raw) == nil {
		t.Error("tokens above all that were given are restored")
	}
}

// Whatever comes in whatever order, a piece has one owner, tokens only rise, each checkpoint is in one piece at a time, and
// none is lost but by its owner's own word.
func TestBookAtRandom(t *testing.T) {
	for seed := range uint64(200) {
		chance, b := rand.New(rand.NewPCG(seed, 1)), NewBook()
		at, last := 0.0, Token(0)
		holders := []Holder{a1, b1, c1, a2}
		tokens := map[Work]map[Holder]Token{}
		parts := map[string]bool{} // in a checkpoint: written and not yet replaced by their owner
		for n := range 400 {
			h := holders[chance.IntN(len(holders))]
			w, own := TrialOf([]string{"a", "b", "c"}[chance.IntN(3)]), TrialOf(h.Name)
			at += 300 * chance.Float64()
			c := Command{Verb: Verb(1 + chance.IntN(5)), Work: w, By: h, Span: 500, Token: tokens[w][h]}
			if c.Verb == Claim {
				c.Work = own
			}
			before, _ := b.Find(c.Work)
			into, _ := b.Find(own)
			switch c.Verb {
			case Keep:
				c.Checkpoint = fmt.Appendf(nil, "%s+%d", before.Checkpoint, n)
			case Merge:
				c.Into, c.IntoToken = own, tokens[own][h]
				c.Checkpoint = fmt.Appendf(nil, "%s%s", into.Checkpoint, before.Checkpoint)
			}
			r := b.Apply(&c, at)
			if r.Refused != "" {
				continue
			}
			switch c.Verb {
			case Keep:
				parts[fmt.Sprint(n)] = true
			case Claim, Take:
				if tokens[c.Work] == nil {
					tokens[c.Work] = map[Holder]Token{}
				}
				if again := tokens[c.Work][h] == r.Lease.Token; !again && r.Lease.Token <= last {
					t.Fatalf("seed %d: token %d after %d", seed, r.Lease.Token, last)
				}
				last = max(last, r.Lease.Token)
				tokens[c.Work][h] = r.Lease.Token
			}
			seen := map[string]int{}
			for _, l := range b.leases {
				for _, part := range strings.FieldsFunc(string(l.Checkpoint), func(r rune) bool { return r == '+' }) {
					seen[part]++
				}
			}
			for part := range parts {
				if seen[part] != 1 {
					t.Fatalf("seed %d, step %d, %+v: part %s is in %d checkpoints", seed, n, c, part, seen[part])
				}
			}
		}
	}
}

// What a marshal may do by its own clock, and what it learns from refusals.
func TestOwn(t *testing.T) {
	o := Own{Work: "trial/a", By: a1, Span: 1000}
	if o.MayVote(decision.VoteOn, 0) || !o.MayVote(decision.VoteBack, 0) || !o.MayVote(decision.VoteNone, 0) {
		t.Error("votes without a lease")
	}
	c := o.Next(nil)
	if c.Verb != Claim || o.Said(&c, 100, &Reply{Refused: "held"}) || o.Holds(100) {
		t.Errorf("%+v", o)
	}
	o.Said(&c, 100, &Reply{Lease: Lease{Token: 7}})
	if !o.Holds(899) || o.Holds(900) || o.MayVote(decision.VoteHold, 900) || !o.MayVote(decision.VoteOn, 800) {
		t.Error("a lease counts from before it was asked for")
	}
	c = o.Next([]byte("x"))
	if o.Said(&c, 900, &Reply{}); c.Verb != Keep || c.Token != 7 || !o.Holds(1600) || o.Holds(1700) {
		t.Errorf("%+v after %+v", o, c)
	}
	if !o.Said(&c, 5000, &Reply{Refused: "held by b"}) || o.Said(&c, 5000, &Reply{Refused: "held by b"}) || o.Holds(1000) {
		t.Error("a loss is told once")
	}
	if c = o.Next(nil); c.Verb != Claim {
		t.Errorf("%+v", c)
	}
}

// Heirs have one order at all, first ones first; pieces of those that live, or of a held lease, are nobody's to take.
func TestDue(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]int{}
	for i := range 300 {
		w := TrialOf(fmt.Sprint("m", i))
		one, two := Heirs(w, names), Heirs(w, []string{"e", "d", "c", "b", "a"})
		if !slices.Equal(one, two) {
			t.Fatal("heirs hang on the order of names")
		}
		firsts[one[0]]++
	}
	for _, n := range names {
		if firsts[n] < 30 {
			t.Errorf("%s is first heir of %d in 300", n, firsts[n])
		}
	}
	view := func(state membership.State) *membership.View {
		v := &membership.View{Self: "a", Members: []membership.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "z", State: state}}}
		return v
	}
	w := TrialOf("z")
	heirs := Heirs(w, []string{"a", "b", "c"})
	leases := []Lease{{Work: w, Owner: Holder{"z", 1}, Until: 1000}, {Work: TrialOf("a"), Owner: Holder{"a", 1}}}
	for _, c := range []struct {
		state membership.State
		now   Millis
		place int
		due   bool
	}{
		{membership.Dead, 999, 0, false},
		{membership.Dead, 1000, 0, true},
		{membership.Left, 1000, 0, true},
		{membership.Suspect, 5000, 0, false},
		{membership.Alive, 5000, 0, false},
		{membership.Dead, 1000, 1, false},
		{membership.Dead, 1250, 1, true},
		{membership.Dead, 1400, 2, false},
		{membership.Dead, 1500, 2, true},
	} {
		got := Due(heirs[c.place], view(c.state), List{Now: c.now, Leases: leases}, 500)
		if due := slices.Contains(got, w); due != c.due || len(got) > 1 {
			t.Errorf("%+v: %v", c, got)
		}
	}
	leases[0].Owner.Name = heirs[1]
	if got := Due(heirs[1], view(membership.Dead), List{Now: 0, Leases: leases}, 500); !slices.Contains(got, w) {
		t.Errorf("taken by this one and not merged: %v", got)
	}
	if got := Due(heirs[0], view(membership.Dead), List{Now: 1000, Leases: leases}, 500); !slices.Contains(got, w) {
		t.Errorf("taken by another, not merged, and lapsed: %v", got)
	}
	leases[0].Owner.Name = "forgotten"
	if got := Due(heirs[0], view(membership.Alive), List{Now: 9000, Leases: leases}, 500); len(got) != 1 {
		t.Errorf("of an owner that nobody knows any more: %v", got)
	}
}

func TestResumed(t *testing.T) {
	for _, c := range []struct {
		g    decision.PathGroup
		want Resume
	}{{decision.PathGroup{Effect: decision.Repeatable}, Again}, {decision.PathGroup{Effect: decision.Mutating}, Refuse},
		{decision.PathGroup{Effect: decision.Tagged, Scope: decision.ScopeZone}, Refuse},
		{decision.PathGroup{Effect: decision.Tagged, Scope: decision.ScopeAll, Remember: 1000}, Refuse}} {
		if got := Resumed(&c.g); got != c.want {
			t.Errorf("%+v: %v", c.g, got)
		}
	}
}

// A checkpoint that was gathered before another's work was merged, and comes late, keeps the lease and is not written over it.
func TestLateCheckpoint(t *testing.T) {
	b := NewBook()
	own, other := TrialOf("b"), TrialOf("a")
	for i, c := range []Command{
		{Verb: Claim, Work: own, By: b1, Span: 1000},
		{Verb: Claim, Work: other, By: a1, Span: 1000},
		{Verb: Release, Work: other, By: a1, Token: 2},
		{Verb: Take, Work: other, By: b1, Span: 1000},
		{Verb: Merge, Work: other, By: b1, Token: 3, Span: 1000, Into: own, IntoToken: 1, Checkpoint: []byte("both"), Seq: 8},
		{Verb: Keep, Work: own, By: b1, Token: 1, Span: 2000, Checkpoint: []byte("mine"), Seq: 7},
	} {
		if r := b.Apply(&c, float64(i)); r.Refused != "" {
			t.Fatalf("%d: %s", i, r.Refused)
		}
	}
	if l, _ := b.Find(own); string(l.Checkpoint) != "both" || l.Until != 2005 {
		t.Errorf("%+v", l)
	}
}

// A piece that can't be gone on with is ended once, by who has it, and is seen among the ended; nobody takes it again.
func TestEnd(t *testing.T) {
	b := NewBook()
	w := TrialOf("a")
	b.Apply(&Command{Verb: Claim, Work: w, By: a1, Span: 1000}, 0)
	b.Apply(&Command{Verb: Take, Work: w, By: b1, Span: 1000}, 1000)
	for _, s := range []struct {
		c    Command
		want string
	}{
		{Command{Verb: End, Work: w, By: a1, Token: 1, Why: "late"}, "held by b under token 2"},
		{Command{Verb: End, Work: w, By: b1, Token: 2, Why: strings.Repeat("x", 201)}, "a reason of 201 bytes"},
		{Command{Verb: End, Work: w, By: b1, Token: 2, Why: "torn"}, ""},
		{Command{Verb: End, Work: w, By: b1, Token: 2, Why: "torn"}, ""}, // its answer was lost
		{Command{Verb: Take, Work: w, By: c1, Span: 1000}, "no piece any more"},
		{Command{Verb: Claim, Work: w, By: a1, Span: 1000}, ""}, // its marshal begins anew
	} {
		if r := b.Apply(&s.c, 1500); (r.Refused == "") != (s.want == "") || !strings.Contains(r.Refused, s.want) {
			t.Errorf("%+v: refused %q, want %q", s.c, r.Refused, s.want)
		}
	}
	raw, err := b.Encode()
	back := NewBook()
	if err == nil {
		err = back.Restore(raw)
	}
	if l := back.List(); err != nil || len(l.Ended) != 1 || l.Ended[0] != (Ended{w, 2, "b", "torn", 1500}) || len(l.Leases) != 1 {
		t.Errorf("%v: %+v", err, l)
	}
}
