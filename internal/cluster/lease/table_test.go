package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

var (
	a1 = Holder{"a", 1} //nolint:varnamelen // instance and incarnation
	a2 = Holder{"a", 2} //nolint:varnamelen // instance and incarnation
	b1 = Holder{"b", 1} //nolint:varnamelen // instance and incarnation
	c1 = Holder{"c", 1} //nolint:varnamelen // instance and incarnation
)

// checkReply expects a rejection that contains want, or an applied command if want is empty.
func checkReply(t *testing.T, step string, r Reply, want string) {
	t.Helper()
	if (r.Rejection == "") != (want == "") || !strings.Contains(r.Rejection, want) {
		t.Errorf("%s: got rejection %q, want one that contains %q, or none if that is empty", step, r.Rejection, want)
	}
}

// Guards the transitions of a lease: a sequence of commands at times of the log, with the expected rejections.
func TestTableTransitions(t *testing.T) {
	table := NewTable()
	const own, other = ID("trial/a"), ID("trial/b")
	merge := func(token, into Token) Command {
		return Command{
			Operation: Merge, ID: own, Holder: b1, Token: token, TTL: 1000, MergeInto: other, MergeIntoToken: into,
			Checkpoint: []byte("ab"),
		}
	}
	for _, step := range []struct {
		name    string
		at      Millis
		command Command
		want    string // part of the rejection; empty: the command is applied
	}{
		{"a acquires, token 1", 0, Command{Operation: Acquire, ID: own, Holder: a1, TTL: 1000}, ""},
		{"b acquires its own, token 2", 0, Command{Operation: Acquire, ID: other, Holder: b1, TTL: 1000}, ""},
		{"a renews", 100, Command{Operation: Renew, ID: own, Holder: a1, Token: 1, TTL: 1000, Checkpoint: []byte("x")}, ""},
		{
			"renewal by another instance", 200,
			Command{Operation: Renew, ID: own, Holder: b1, Token: 1, TTL: 1000},
			"held by a under token 1, not by b",
		},
		{"takeover of a held lease", 200, Command{Operation: TakeOver, ID: own, Holder: b1, TTL: 1000}, "for 900 ms more"},
		{
			"acquisition of a held lease", 200,
			Command{Operation: Acquire, ID: own, Holder: b1, TTL: 1000},
			"held by a under token 1",
		},
		{"takeover just before expiry", 1099, Command{Operation: TakeOver, ID: own, Holder: b1, TTL: 1000}, "for 1 ms more"},
		{"takeover at expiry, token 3", 1100, Command{Operation: TakeOver, ID: own, Holder: b1, TTL: 1000}, ""},
		{"takeover repeated after a lost reply", 1100, Command{Operation: TakeOver, ID: own, Holder: b1, TTL: 1000}, ""},
		{
			"takeover by a third instance", 1101,
			Command{Operation: TakeOver, ID: own, Holder: c1, TTL: 1000},
			"held by b under token 3",
		},
		{
			"late renewal", 1102,
			Command{Operation: Renew, ID: own, Holder: a1, Token: 1, TTL: 1000, Checkpoint: []byte("late")},
			"held by b under token 3, not by a under 1",
		},
		{"merge under an earlier token", 1103, merge(1, 2), "not by b under 1"},
		{"merge into a lease under a wrong token", 1103, merge(3, 9), "not by b under 9"},
		{"merge", 1104, merge(3, 2), ""},
		{"merge repeated after a lost reply", 1105, merge(3, 2), ""},
		{
			"takeover of a merged lease", 1106,
			Command{Operation: TakeOver, ID: own, Holder: c1, TTL: 1000},
			"no piece any more",
		},
		{
			"renewal of a merged lease", 1107,
			Command{Operation: Renew, ID: own, Holder: a1, Token: 1, TTL: 1000},
			"token 1 is of the past",
		},
		{"a acquires again, token 4", 1108, Command{Operation: Acquire, ID: own, Holder: a1, TTL: 1000}, ""},
		{"a restarts, token 5", 1109, Command{Operation: Acquire, ID: own, Holder: a2, TTL: 1000}, ""},
		{
			"renewal by the earlier process", 1110,
			Command{Operation: Renew, ID: own, Holder: a1, Token: 4, TTL: 1000},
			"held by a under token 5",
		},
		{
			"log time before that of earlier commands", 900,
			Command{Operation: TakeOver, ID: own, Holder: c1, TTL: 1000},
			"for 999 ms more",
		},
		{"release", 1111, Command{Operation: Release, ID: own, Holder: a2, Token: 5}, ""},
		{"takeover after a release, token 6", 1111, Command{Operation: TakeOver, ID: own, Holder: c1, TTL: 1000}, ""},
		{"TTL too short", 1112, Command{Operation: Renew, ID: own, Holder: c1, Token: 6, TTL: 1}, "a lease of 1 ms"},
		{"ID without a kind", 1112, Command{Operation: Acquire, ID: "x", Holder: c1, TTL: 1000}, "no piece of work"},
		{"unknown operation", 1112, Command{Operation: 9, ID: own, Holder: c1}, "no command 9"},
		{"no holder", 1112, Command{Operation: Acquire, ID: "trial/z", TTL: 1000}, "nobody asks"},
		{
			"checkpoint too long", 1112,
			Command{Operation: Renew, ID: own, Holder: c1, Token: 6, TTL: 1000, Checkpoint: make([]byte, MaxCheckpointBytes+1)},
			"a checkpoint of",
		},
	} {
		checkReply(t, step.name, table.Apply(&step.command, step.at), step.want)
	}
	l, _ := table.Get(other)
	if string(l.Checkpoint) != "ab" || len(l.Merged) != 1 || l.Merged[0] != (Grant{own, 3}) || table.lastToken != 6 {
		t.Errorf("got lease %+v, last token %d, want checkpoint ab, merged lease trial/a under token 3, last token 6", l,
			table.lastToken)
	}
	checkRestored(t, table)
}

// checkRestored expects a table whose highest token is 6 to be equal after Encode and Restore, and a snapshot
// whose last token is below a lease's token to be rejected.
func checkRestored(t *testing.T, table *Table) {
	t.Helper()
	raw, err := table.Encode()
	if err != nil {
		t.Fatalf("encode the lease table: %v", err)
	}
	restored := NewTable()
	if err := restored.Restore(raw); err != nil || fmt.Sprint(restored.Leases()) != fmt.Sprint(table.Leases()) ||
		restored.lastToken != 6 || restored.now != table.now {
		t.Errorf("got error %v, restored table %+v, want the encoded table with last token 6", err, restored)
	}
	restored.lastToken = 1
	if raw, err = restored.Encode(); err != nil {
		t.Fatalf("encode the lease table with last token 1: %v", err)
	}
	var tokenError *TokenError
	if err := NewTable().Restore(raw); !errors.As(err, &tokenError) {
		t.Errorf("snapshot with tokens above its last token: got error %v, want a *TokenError", err)
	}
}

// randomHistory applies random commands to a table and checks the table's guarantees after each command.
type randomHistory struct {
	seed         uint64
	rng          *rand.Rand
	table        *Table
	now          Millis
	highestToken Token                   // highest token of all grants
	tokens       map[ID]map[Holder]Token // newest token of a lease that each holder was granted
	outcomes     map[string]bool         // outcomes that renewals have written, each named by the number of its step
}

func newRandomHistory(seed uint64) *randomHistory {
	return &randomHistory{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), table: NewTable(), tokens: map[ID]map[Holder]Token{},
		outcomes: map[string]bool{},
	}
}

// randomCommand returns a random command. A renewal's checkpoint adds the number of the step to the previous one, and a
// merge's checkpoint joins both.
func (h *randomHistory) randomCommand(step int) Command {
	holders := []Holder{a1, b1, c1, a2}
	holder := holders[h.rng.IntN(len(holders))]
	id, own := TrialID([]string{"a", "b", "c"}[h.rng.IntN(3)]), TrialID(holder.Name)
	h.now += 300 * h.rng.Float64()
	c := Command{Operation: Operation(1 + h.rng.IntN(5)), ID: id, Holder: holder, TTL: 500, Token: h.tokens[id][holder]}
	if c.Operation == Acquire {
		c.ID = own
	}
	before, _ := h.table.Get(c.ID)
	into, _ := h.table.Get(own)
	switch c.Operation {
	case Renew:
		c.Checkpoint = fmt.Appendf(nil, "%s+%d", before.Checkpoint, step)
	case Merge:
		c.MergeInto, c.MergeIntoToken = own, h.tokens[own][holder]
		c.Checkpoint = fmt.Appendf(nil, "%s%s", into.Checkpoint, before.Checkpoint)
	}
	return c
}

// recordApplied records what an applied command has granted or written. A new token must be higher than all earlier
// ones.
func (h *randomHistory) recordApplied(t *testing.T, step int, c *Command, r *Reply) {
	t.Helper()
	switch c.Operation {
	case Renew:
		h.outcomes[fmt.Sprint(step)] = true
	case Acquire, TakeOver:
		if h.tokens[c.ID] == nil {
			h.tokens[c.ID] = map[Holder]Token{}
		}
		if repeated := h.tokens[c.ID][c.Holder] == r.Lease.Token; !repeated && r.Lease.Token <= h.highestToken {
			t.Fatalf("seed %d: got token %d, want one above %d", h.seed, r.Lease.Token, h.highestToken)
		}
		h.highestToken = max(h.highestToken, r.Lease.Token)
		h.tokens[c.ID][c.Holder] = r.Lease.Token
	}
}

// checkOutcomes expects each written outcome in exactly one checkpoint.
func (h *randomHistory) checkOutcomes(t *testing.T, step int, c *Command) {
	t.Helper()
	occurrences := map[string]int{} // of each outcome in all checkpoints
	for _, l := range h.table.leases {
		for _, outcome := range strings.FieldsFunc(string(l.Checkpoint), func(r rune) bool { return r == '+' }) {
			occurrences[outcome]++
		}
	}
	for outcome := range h.outcomes {
		if occurrences[outcome] != 1 {
			t.Fatalf("seed %d, step %d, %+v: got outcome %s in %d checkpoints, want 1", h.seed, step, c, outcome,
				occurrences[outcome])
		}
	}
}

// Guards against two holders of a lease, tokens that do not increase, and outcomes that are lost or counted twice,
// whatever commands arrive in whatever order.
func TestTableAtRandom(t *testing.T) {
	for seed := range uint64(200) {
		history := newRandomHistory(seed)
		for step := range 400 {
			command := history.randomCommand(step)
			reply := history.table.Apply(&command, history.now)
			if reply.Rejection != "" {
				continue
			}
			history.recordApplied(t, step, &command, &reply)
			history.checkOutcomes(t, step, &command)
		}
	}
}

// Guards against the loss of merged work: a checkpoint that was gathered before a merge and arrives after the merge
// must only renew the lease.
func TestLateCheckpointDoesNotOverwriteMerge(t *testing.T) {
	table := NewTable()
	own, other := TrialID("b"), TrialID("a")
	for i, c := range []Command{
		{Operation: Acquire, ID: own, Holder: b1, TTL: 1000},
		{Operation: Acquire, ID: other, Holder: a1, TTL: 1000},
		{Operation: Release, ID: other, Holder: a1, Token: 2},
		{Operation: TakeOver, ID: other, Holder: b1, TTL: 1000},
		{
			Operation: Merge, ID: other, Holder: b1, Token: 3, TTL: 1000, MergeInto: own, MergeIntoToken: 1,
			Checkpoint: []byte("both"), CheckpointSeq: 8,
		},
		{Operation: Renew, ID: own, Holder: b1, Token: 1, TTL: 2000, Checkpoint: []byte("mine"), CheckpointSeq: 7},
	} {
		if r := table.Apply(&c, float64(i)); r.Rejection != "" {
			t.Fatalf("command %d: got rejection %q, want none", i, r.Rejection)
		}
	}
	if l, _ := table.Get(own); string(l.Checkpoint) != "both" || l.ExpiresAt != 2005 {
		t.Errorf("got lease %+v, want checkpoint \"both\" and expiry at 2005 ms", l)
	}
}

// Guards against a lease whose work can't be resumed and that one instance after another takes over. The holder
// abandons it once, and the table lists it with the reason.
func TestAbandonEndsLeaseOnce(t *testing.T) {
	table := NewTable()
	own := TrialID("a")
	table.Apply(&Command{Operation: Acquire, ID: own, Holder: a1, TTL: 1000}, 0)
	table.Apply(&Command{Operation: TakeOver, ID: own, Holder: b1, TTL: 1000}, 1000)
	for _, step := range []struct {
		name    string
		command Command
		want    string // part of the rejection; empty: the command is applied
	}{
		{
			"by the earlier holder",
			Command{Operation: Abandon, ID: own, Holder: a1, Token: 1, Reason: "late"},
			"held by b under token 2",
		},
		{
			"reason too long",
			Command{Operation: Abandon, ID: own, Holder: b1, Token: 2, Reason: strings.Repeat("x", 201)},
			"a reason of 201 bytes",
		},
		{"by the holder", Command{Operation: Abandon, ID: own, Holder: b1, Token: 2, Reason: "torn"}, ""},
		{"repeated after a lost reply", Command{Operation: Abandon, ID: own, Holder: b1, Token: 2, Reason: "torn"}, ""},
		{"takeover", Command{Operation: TakeOver, ID: own, Holder: c1, TTL: 1000}, "no piece any more"},
		{"acquisition by its first holder", Command{Operation: Acquire, ID: own, Holder: a1, TTL: 1000}, ""},
	} {
		checkReply(t, step.name, table.Apply(&step.command, 1500), step.want)
	}
	raw, err := table.Encode()
	restored := NewTable()
	if err == nil {
		err = restored.Restore(raw)
	}
	list, want := restored.List(), AbandonedLease{own, 2, "b", "torn", 1500}
	if err != nil || len(list.Abandoned) != 1 || list.Abandoned[0] != want || len(list.Leases) != 1 {
		t.Errorf("restored table: got error %v, %+v, want one lease, and one abandoned by b under token 2", err, list)
	}
}
