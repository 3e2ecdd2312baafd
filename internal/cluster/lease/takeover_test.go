package lease

import (
	"fmt"
	"math/rand/v2"
	"ottershed/decision"
	"ottershed/internal/cluster/membership"
	"slices"
	"strings"
	"testing"
)

var (
	a1 = Holder{"a", 1}
	a2 = Holder{"a", 2}
	b1 = Holder{"b", 1}
	c1 = Holder{"c", 1}
)

// The terms of a lease, one command after another, at the log's times.
func TestTable(t *testing.T) {
	b := NewTable()
	const w, wb = ID("trial/a"), ID("trial/b")
	for i, s := range []struct {
		at   Millis
		c    Command
		want string // of the refusal; empty: done
	}{
		{0, Command{Operation: Acquire, ID: w, Holder: a1, TTL: 1000}, ""}, // token 1
		{0, Command{Operation: Acquire, ID: wb, Holder: b1, TTL: 1000}, ""},
		{100, Command{Operation: Renew, ID: w, Holder: a1, Token: 1, TTL: 1000, Checkpoint: []byte("x")}, ""},
		{200, Command{Operation: Renew, ID: w, Holder: b1, Token: 1, TTL: 1000}, "held by a under token 1, not by b"},
		{200, Command{Operation: TakeOver, ID: w, Holder: b1, TTL: 1000}, "for 900 ms more"},
		{200, Command{Operation: Acquire, ID: w, Holder: b1, TTL: 1000}, "held by a under token 1"},
		{1099, Command{Operation: TakeOver, ID: w, Holder: b1, TTL: 1000}, "for 1 ms more"},
		{1100, Command{Operation: TakeOver, ID: w, Holder: b1, TTL: 1000}, ""}, // token 3
		{1100, Command{Operation: TakeOver, ID: w, Holder: b1, TTL: 1000}, ""}, // its answer was lost
		{1101, Command{Operation: TakeOver, ID: w, Holder: c1, TTL: 1000}, "held by b under token 3"},
		{1102, Command{Operation: Renew, ID: w, Holder: a1, Token: 1, TTL: 1000, Checkpoint: []byte("late")}, "held by b under token 3, not by a under 1"},
		{1103, Command{Operation: Merge, ID: w, Holder: b1, Token: 1, TTL: 1000, Into: wb, IntoToken: 2, Checkpoint: []byte("ab")}, "not by b under 1"},
		{1103, Command{Operation: Merge, ID: w, Holder: b1, Token: 3, TTL: 1000, Into: wb, IntoToken: 9, Checkpoint: []byte("ab")}, "not by b under 9"},
		{1104, Command{Operation: Merge, ID: w, Holder: b1, Token: 3, TTL: 1000, Into: wb, IntoToken: 2, Checkpoint: []byte("ab")}, ""},
		{1105, Command{Operation: Merge, ID: w, Holder: b1, Token: 3, TTL: 1000, Into: wb, IntoToken: 2, Checkpoint: []byte("ab")}, ""}, // again
		{1106, Command{Operation: TakeOver, ID: w, Holder: c1, TTL: 1000}, "no piece any more"},
		{1107, Command{Operation: Renew, ID: w, Holder: a1, Token: 1, TTL: 1000}, "token 1 is of the past"},
		{1108, Command{Operation: Acquire, ID: w, Holder: a1, TTL: 1000}, ""}, // token 4
		{1109, Command{Operation: Acquire, ID: w, Holder: a2, TTL: 1000}, ""}, // a restart: token 5
		{1110, Command{Operation: Renew, ID: w, Holder: a1, Token: 4, TTL: 1000}, "held by a under token 5"},
		{900, Command{Operation: TakeOver, ID: w, Holder: c1, TTL: 1000}, "for 999 ms more"}, // a clock that is behind
		{1111, Command{Operation: Release, ID: w, Holder: a2, Token: 5}, ""},
		{1111, Command{Operation: TakeOver, ID: w, Holder: c1, TTL: 1000}, ""}, // token 6
		{1112, Command{Operation: Renew, ID: w, Holder: c1, Token: 6, TTL: 1}, "a lease of 1 ms"},
		{1112, Command{Operation: Acquire, ID: "x", Holder: c1, TTL: 1000}, "no piece of work"},
		{1112, Command{Operation: 9, ID: w, Holder: c1}, "no command 9"},
		{1112, Command{Operation: Acquire, ID: "trial/z", TTL: 1000}, "nobody asks"},
		{1112, Command{Operation: Renew, ID: w, Holder: c1, Token: 6, TTL: 1000, Checkpoint: make([]byte, MaxCheckpointBytes+1)}, "a checkpoint of"},
	} {
		r := b.Apply(&s.c, s.at)
		if (r.Rejection == "") != (s.want == "") || !strings.Contains(r.Rejection, s.want) {
			t.Errorf("%d, %+v: refused %q, want %q", i, s.c, r.Rejection, s.want)
		}
	}
	l, _ := b.Get(wb)
	if string(l.Checkpoint) != "ab" || len(l.Merged) != 1 || l.Merged[0] != (Grant{w, 3}) || b.lastToken != 6 {
		t.Errorf("%+v, token %d", l, b.lastToken)
	}
	raw, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back := NewTable()
	if err := back.Restore(raw); err != nil || fmt.Sprint(back.Leases()) != fmt.Sprint(b.Leases()) || back.lastToken != 6 || back.now != b.now {
		t.Errorf("%v, %+v", err, back)
	}
	back.lastToken = 1
	if raw, err = back.Encode(); err != nil || NewTable().Restore(raw) == nil {
		t.Error("tokens above all that were given are restored")
	}
}

// Whatever comes in whatever order, a piece has one owner, tokens only rise, each checkpoint is in one piece at a time, and
// none is lost but by its owner's own word.
func TestTableAtRandom(t *testing.T) {
	for seed := range uint64(200) {
		chance, b := rand.New(rand.NewPCG(seed, 1)), NewTable()
		at, last := 0.0, Token(0)
		holders := []Holder{a1, b1, c1, a2}
		tokens := map[ID]map[Holder]Token{}
		parts := map[string]bool{} // in a checkpoint: written and not yet replaced by their owner
		for n := range 400 {
			h := holders[chance.IntN(len(holders))]
			w, own := TrialID([]string{"a", "b", "c"}[chance.IntN(3)]), TrialID(h.Name)
			at += 300 * chance.Float64()
			c := Command{Operation: Operation(1 + chance.IntN(5)), ID: w, Holder: h, TTL: 500, Token: tokens[w][h]}
			if c.Operation == Acquire {
				c.ID = own
			}
			before, _ := b.Get(c.ID)
			into, _ := b.Get(own)
			switch c.Operation {
			case Renew:
				c.Checkpoint = fmt.Appendf(nil, "%s+%d", before.Checkpoint, n)
			case Merge:
				c.Into, c.IntoToken = own, tokens[own][h]
				c.Checkpoint = fmt.Appendf(nil, "%s%s", into.Checkpoint, before.Checkpoint)
			}
			r := b.Apply(&c, at)
			if r.Rejection != "" {
				continue
			}
			switch c.Operation {
			case Renew:
				parts[fmt.Sprint(n)] = true
			case Acquire, TakeOver:
				if tokens[c.ID] == nil {
					tokens[c.ID] = map[Holder]Token{}
				}
				if again := tokens[c.ID][h] == r.Lease.Token; !again && r.Lease.Token <= last {
					t.Fatalf("seed %d: token %d after %d", seed, r.Lease.Token, last)
				}
				last = max(last, r.Lease.Token)
				tokens[c.ID][h] = r.Lease.Token
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
func TestSession(t *testing.T) {
	o := Session{ID: "trial/a", Holder: a1, TTL: 1000}
	if o.MayVote(decision.VoteAdvance, 0) || !o.MayVote(decision.VoteRollback, 0) || !o.MayVote(decision.VoteNone, 0) {
		t.Error("votes without a lease")
	}
	c := o.Next(nil)
	if c.Operation != Acquire || o.HandleReply(&c, 100, &Reply{Rejection: "held"}) || o.Valid(100) {
		t.Errorf("%+v", o)
	}
	o.HandleReply(&c, 100, &Reply{Lease: Lease{Token: 7}})
	if !o.Valid(899) || o.Valid(900) || o.MayVote(decision.VoteHold, 900) || !o.MayVote(decision.VoteAdvance, 800) {
		t.Error("a lease counts from before it was asked for")
	}
	c = o.Next([]byte("x"))
	if o.HandleReply(&c, 900, &Reply{}); c.Operation != Renew || c.Token != 7 || !o.Valid(1600) || o.Valid(1700) {
		t.Errorf("%+v after %+v", o, c)
	}
	if !o.HandleReply(&c, 5000, &Reply{Rejection: "held by b"}) || o.HandleReply(&c, 5000, &Reply{Rejection: "held by b"}) || o.Valid(1000) {
		t.Error("a loss is told once")
	}
	if c = o.Next(nil); c.Operation != Acquire {
		t.Errorf("%+v", c)
	}
}

// Heirs have one order at all, first ones first; pieces of those that live, or of a held lease, are nobody's to take.
func TestDueForTakeover(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	firsts := map[string]int{}
	for i := range 300 {
		w := TrialID(fmt.Sprint("m", i))
		one, two := Successors(w, names), Successors(w, []string{"e", "d", "c", "b", "a"})
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
	w := TrialID("z")
	heirs := Successors(w, []string{"a", "b", "c"})
	leases := []Lease{{ID: w, Holder: Holder{"z", 1}, ExpiresAt: 1000}, {ID: TrialID("a"), Holder: Holder{"a", 1}}}
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
		got := DueForTakeover(heirs[c.place], view(c.state), List{Now: c.now, Leases: leases}, 500)
		if due := slices.Contains(got, w); due != c.due || len(got) > 1 {
			t.Errorf("%+v: %v", c, got)
		}
	}
	leases[0].Holder.Name = heirs[1]
	if got := DueForTakeover(heirs[1], view(membership.Dead), List{Now: 0, Leases: leases}, 500); !slices.Contains(got, w) {
		t.Errorf("taken by this one and not merged: %v", got)
	}
	if got := DueForTakeover(heirs[0], view(membership.Dead), List{Now: 1000, Leases: leases}, 500); !slices.Contains(got, w) {
		t.Errorf("taken by another, not merged, and lapsed: %v", got)
	}
	leases[0].Holder.Name = "forgotten"
	if got := DueForTakeover(heirs[0], view(membership.Alive), List{Now: 9000, Leases: leases}, 500); len(got) != 1 {
		t.Errorf("of an owner that nobody knows any more: %v", got)
	}
}

func TestDecideResume(t *testing.T) {
	for _, c := range []struct {
		g    decision.RequestClass
		want ResumeDecision
	}{
		{decision.RequestClass{Idempotency: decision.Idempotent}, ResumeAdmit},
		{decision.RequestClass{Idempotency: decision.NonIdempotent}, ResumeReject},
		{decision.RequestClass{Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeZone}, ResumeReject},
		{decision.RequestClass{Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeAll, DedupWindow: 1000}, ResumeReject},
	} {
		if got := DecideResume(&c.g); got != c.want {
			t.Errorf("%+v: %v", c.g, got)
		}
	}
}

// A checkpoint that was gathered before another's work was merged, and comes late, keeps the lease and is not written over it.
func TestLateCheckpoint(t *testing.T) {
	b := NewTable()
	own, other := TrialID("b"), TrialID("a")
	for i, c := range []Command{
		{Operation: Acquire, ID: own, Holder: b1, TTL: 1000},
		{Operation: Acquire, ID: other, Holder: a1, TTL: 1000},
		{Operation: Release, ID: other, Holder: a1, Token: 2},
		{Operation: TakeOver, ID: other, Holder: b1, TTL: 1000},
		{Operation: Merge, ID: other, Holder: b1, Token: 3, TTL: 1000, Into: own, IntoToken: 1, Checkpoint: []byte("both"), CheckpointSeq: 8},
		{Operation: Renew, ID: own, Holder: b1, Token: 1, TTL: 2000, Checkpoint: []byte("mine"), CheckpointSeq: 7},
	} {
		if r := b.Apply(&c, float64(i)); r.Rejection != "" {
			t.Fatalf("%d: %s", i, r.Rejection)
		}
	}
	if l, _ := b.Get(own); string(l.Checkpoint) != "both" || l.ExpiresAt != 2005 {
		t.Errorf("%+v", l)
	}
}

// A piece that can't be gone on with is ended once, by who has it, and is seen among the ended; nobody takes it again.
func TestAbandon(t *testing.T) {
	b := NewTable()
	w := TrialID("a")
	b.Apply(&Command{Operation: Acquire, ID: w, Holder: a1, TTL: 1000}, 0)
	b.Apply(&Command{Operation: TakeOver, ID: w, Holder: b1, TTL: 1000}, 1000)
	for _, s := range []struct {
		c    Command
		want string
	}{
		{Command{Operation: Abandon, ID: w, Holder: a1, Token: 1, Reason: "late"}, "held by b under token 2"},
		{Command{Operation: Abandon, ID: w, Holder: b1, Token: 2, Reason: strings.Repeat("x", 201)}, "a reason of 201 bytes"},
		{Command{Operation: Abandon, ID: w, Holder: b1, Token: 2, Reason: "torn"}, ""},
		{Command{Operation: Abandon, ID: w, Holder: b1, Token: 2, Reason: "torn"}, ""}, // its answer was lost
		{Command{Operation: TakeOver, ID: w, Holder: c1, TTL: 1000}, "no piece any more"},
		{Command{Operation: Acquire, ID: w, Holder: a1, TTL: 1000}, ""}, // its marshal begins anew
	} {
		if r := b.Apply(&s.c, 1500); (r.Rejection == "") != (s.want == "") || !strings.Contains(r.Rejection, s.want) {
			t.Errorf("%+v: refused %q, want %q", s.c, r.Rejection, s.want)
		}
	}
	raw, err := b.Encode()
	back := NewTable()
	if err == nil {
		err = back.Restore(raw)
	}
	if l := back.List(); err != nil || len(l.Abandoned) != 1 || l.Abandoned[0] != (Abandoned{w, 2, "b", "torn", 1500}) || len(l.Leases) != 1 {
		t.Errorf("%v: %+v", err, l)
	}
}
