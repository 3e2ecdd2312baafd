package decision

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"ottershed/internal/stats"
)

// A forward ended; whether the hit may be forwarded again, where to, and its answer if not.
func TestRepeats(t *testing.T) {
	released := StageNews{Build: 8, Phase: Released, Stage: 2, Cap: 1}
	for _, c := range []struct {
		group  GroupName
		ending Ending
		after  Millis // time passed until it ended
		zone   string // "": anywhere, "-": nowhere, "same": in the zone of the first
		answer string
	}{
		{"read", NodeError, 20, "", ""},
		{"read", Broken, 20, "", ""},
		{"pay", NodeError, 20, "-", "fail"},
		{"pay", Broken, 20, "-", "fail"},
		{"pay", TimedOut, 20, "-", "fail"},
		{"pay", Recalled, 20, "-", "fail"},
		{"pay", NodeFull, 20, "", ""},
		{"pay", Unreachable, 20, "", ""},
		{"mark", NodeError, 20, "same", ""},
		{"mark", NodeFull, 20, "", ""},
		{"mark", NodeError, 995, "-", "fail"}, // the mark is forgotten
		{"unknown", NodeError, 20, "-", "fail"},
	} {
		t.Run(fmt.Sprint(c.group, c.ending, c.after), func(t *testing.T) {
			r := start(t, released, nil)
			h, first := r.hit(c.group, "")
			if first == "" {
				t.Fatal("no first forward")
			}
			r.now += c.after
			r.end(h, 0, c.ending, c.after)
			r.wait(600)
			again := r.sent(h, 1)
			if (again == "") != (c.zone == "-") || c.zone == "same" && again[0] != first[0] {
				t.Errorf("first %q, then %q", first, again)
			}
			if _, got := r.answers(h); c.zone == "-" && got != c.answer {
				t.Errorf("answer %q, want %q", got, c.answer)
			}
		})
	}
}

// A further forward of a tagged hit that may have run is bound to be sent while the nodes remember the first; all others as
// long as the client waits.
func TestSendBy(t *testing.T) {
	for _, c := range []struct {
		group GroupName
		ends  []Ending // of the forwards before
		want  Millis   // after the first forward; 0: not bound
	}{
		{"mark", nil, 0},
		{"mark", []Ending{Unreachable}, 0},
		{"mark", []Ending{Broken}, 990},
		{"mark", []Ending{Broken, Broken}, 990},
		{"mark", []Ending{Unreachable, Broken}, 1010}, // the second was sent 20 ms later
		{"read", []Ending{Broken}, 0},
		{"pay", []Ending{NodeFull}, 0},
	} {
		t.Run(fmt.Sprint(c.group, c.ends), func(t *testing.T) {
			r := start(t, StageNews{Build: 8, Phase: Released, Stage: 2, Cap: 1}, nil)
			h, _ := r.hit(c.group, "")
			began := r.now
			for i, how := range c.ends {
				r.now += 20
				r.end(h, i, how, 20)
			}
			if r.sent(h, len(c.ends)) == "" {
				t.Fatal("no further forward")
			}
			last := r.acts[len(r.acts)-1].(Forward)
			if want := c.want; want > 0 && last.SendBy != began+want || want == 0 && last.SendBy != 0 {
				t.Errorf("to be sent by %g, want %g after the first", last.SendBy-began, want)
			}
		})
	}
}

// Every hit that no node can take gets one answer, long before its own time is up, and nothing after it.
func TestOneAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		ttl  Millis
		want string
	}{{"read", 1000, "bounce"}, {"pay", 1000, "bounce"}, {"mark", 30, "bounce"}, {"unknown", 1000, "bounce"}} {
		r := start(t, trial(0, 0), nil)
		r.do(NodesChanged{How: Whole})
		r.do(HitTaken{Hit: 9, Group: GroupName(c.name), TTL: c.ttl})
		r.wait(c.ttl)
		r.do(HitGone{Hit: 9})
		r.do(ForwardEnded{Hit: 9, Ending: NodeError})
		if n, got := r.answers(9); n != 1 || got != c.want || len(r.m.hits) != 0 {
			t.Errorf("%s: %d answers, last %q, %d hits kept", c.name, n, got, len(r.m.hits))
		}
	}
}

func TestBounceNamesATime(t *testing.T) {
	for _, may := range []bool{true, false} {
		r := start(t, trial(0, 0), func(s *Settings) {
			if !may {
				s.MaxComeBack = 0
			}
		})
		r.do(NodesChanged{How: Whole})
		r.hit("read", "")
		r.wait(300)
		for _, a := range r.acts {
			if b, ok := a.(Bounce); ok && (b.ComeBack > 0) != may || ok && b.ComeBack > r.m.set.MaxComeBack {
				t.Errorf("may %v: come back in %v", may, b.ComeBack)
			}
		}
	}
}

// Nothing goes to nodes that drain, are gone, or are missing from a whole list, from that event on.
func TestDrains(t *testing.T) {
	draining := node4("a1", 7)
	draining.State = Draining
	removed := node4("a1", 7)
	removed.State = Removed
	for name, e := range map[string]NodesChanged{
		"draining": {How: Changes, Nodes: []Node{draining}},
		"removed":  {How: Changes, Nodes: []Node{removed}},
		"missing":  {How: Whole, Nodes: []Node{node4("a2", 8), node4("b1", 7), node4("b2", 8)}},
	} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
		r.do(e)
		for range 100 {
			if h, to := r.hit("read", ""); to == "a1" {
				t.Fatalf("%s: hit sent there", name)
			} else if to != "" {
				r.end(h, 0, Delivered, 20)
			}
		}
	}
}

// In every window, wherever it begins and ends, forwards to the build on trial fit free + cap x hits taken.
// The first fault found: an allowance that was cut back only when a hit came let a later forward overdraw it.
func TestExposure(t *testing.T) {
	for _, c := range []struct {
		name string
		news StageNews
		cap  float64 // that binds
	}{
		{"first stage", trial(0, 0.1), 0.1},
		{"middle", trial(1, 0.5), 0.5},
		{"awkward share", trial(1, 0.84), 0.84},
		{"last", trial(2, 1), 1},
		{"told nothing yet", StageNews{}, 0.1},
		{"unannounced", StageNews{Build: 7, Phase: Released, Stage: 2, Cap: 1}, 0.1},
		{"going back", StageNews{Build: 8, Phase: GoingBack, Cap: 0}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, c.news, nil)
			r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a2", 8)}}) // nothing else would take them
			var took, sent []Millis
			for i := range 300 {
				r.now += []Millis{0, 0, 3, 40, 0, 7}[i%6]
				r.next++
				events := []Event{HitTaken{Hit: r.next, Group: "read", TTL: 1000}, TimerDue{}}
				took = append(took, r.now)
				for _, e := range events[:1+i%2] {
					for _, a := range r.do(e) {
						if f, ok := a.(Forward); ok {
							sent = append(sent, r.now)
							r.do(ForwardEnded{Hit: f.Hit, Ending: Delivered, Node: f.Node, After: 5, HitEnded: true})
						}
					}
				}
			}
			for i := range sent {
				for j := i; j < len(sent); j++ {
					n := 0
					for _, at := range took {
						if at >= sent[i] && at <= sent[j] {
							n++
						}
					}
					if float64(j-i+1) > 1+c.cap*float64(n)+1e-9 {
						t.Fatalf("%d forwards on %d hits from %v to %v", j-i+1, n, sent[i], sent[j])
					}
				}
			}
			if c.cap == 0 && len(sent) > 0 || c.cap > 0 && len(sent) < int(250*c.cap*c.cap) {
				t.Errorf("%d forwards", len(sent))
			}
		})
	}
}

func TestExposureOfEachGroup(t *testing.T) {
	for _, perGroup := range []bool{false, true} {
		r := start(t, trial(0, 0.1), func(s *Settings) { s.PerGroup = perGroup })
		r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a2", 8)}})
		h, first := r.hit("read", "")
		r.end(h, 0, Delivered, 20)
		if _, second := r.hit("pay", ""); first != "a2" || (second == "a2") != perGroup {
			t.Errorf("per group %v: %q then %q", perGroup, first, second)
		}
	}
}

// In guarded stages only hits that may run again go to the build on trial.
func TestGuardedStage(t *testing.T) {
	for _, c := range []struct {
		stage int
		group GroupName
		may   bool
	}{{0, "read", true}, {0, "mark", false}, {0, "pay", false}, {0, "unknown", false}, {1, "mark", true},
		{1, "pay", true}} {
		r := start(t, trial(c.stage, 1), func(s *Settings) { s.Guarded = 1 })
		r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a2", 8)}})
		if _, to := r.hit(c.group, ""); (to != "") != c.may {
			t.Errorf("stage %d %s: sent to %q", c.stage, c.group, to)
		}
	}
}

// A key that the build on trial answered goes to no earlier one until the build goes back; at the cap or in a
// guarded stage it is bounced.
func TestKeysStay(t *testing.T) {
	r := start(t, trial(1, 1), func(s *Settings) { s.KeysStay = true })
	r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a2", 8)}})
	h, to := r.hit("read", "k")
	if to != "a2" {
		t.Fatalf("sent to %q", to)
	}
	r.end(h, 0, Delivered, 20)
	r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a1", 7)}})
	for _, c := range []struct {
		news StageNews
		may  bool
	}{{trial(2, 1), false}, {StageNews{Build: 8, Phase: Released, Cap: 1}, false},
		{StageNews{Build: 8, Phase: GoingBack}, true}} {
		r.do(c.news)
		h, to := r.hit("read", "k")
		r.wait(300)
		if n, how := r.answers(h); (to == "a1") != c.may || !c.may && (n != 1 || how != "bounce") {
			t.Errorf("%+v: sent to %q, %d answers %q", c.news, to, n, how)
		}
		o, other := r.hit("read", "other")
		if r.end(o, 0, Delivered, 20); other != "a1" {
			t.Errorf("another key went to %q", other)
		}
	}
}

// Cold nodes get no more than warm ones of like units answer, by their least warmth, with the room that the
// rule leaves; also where no other nodes are left, and a burst comes at once.
func TestColdNodes(t *testing.T) {
	for _, onlyCold := range []bool{false, true} {
		r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, func(s *Settings) {
			s.Groups[0].Target, s.CrossPrice = 200, 0.02
		})
		for range 400 { // 40 ms apart: each warm node gives 12 answers a second
			r.wait(40)
			r.hit("read", "")
			r.answer("", 20)
		}
		cold := node4("a9", 7)
		cold.Started = r.now
		list := []Node{cold, node4("a1", 7), node4("b1", 7)}
		if onlyCold {
			list = list[:1]
		}
		r.do(NodesChanged{How: Whole, Nodes: list})
		sent, from, rate := 0, r.now, r.m.rate
		for range 60 {
			r.wait(10)
			r.hit("read", "")
			sent += r.answer("a9", 2)
			rate = max(rate, r.m.rate)
		}
		// The rule's multiple of its least power at the end, over the time and one window.
		most := r.m.set.OverFactor * rate * r.m.warmth(r.m.nodes["a9"]) * (r.now - from + r.m.set.OverFor)
		if rate <= 0 || sent == 0 || float64(sent) > most+1 {
			t.Errorf("only cold %v: %d forwards, at most %v", onlyCold, sent, most)
		}
	}
}

// Many marshals with little traffic send a cold node no more than their answers allow: all of them together
// were once let off with one forward each at its start, and one a second after.
func TestColdNodeOfManyMarshals(t *testing.T) {
	sent, rate := 0, 0.0
	for seed := range 60 {
		r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, nil)
		r.m.chance.Seed = uint64(seed+1) * 0x9e3779b97f4a7c15
		for range 20 {
			r.wait(500)
			r.hit("read", "")
			r.answer("", 20)
		}
		cold := node4("a9", 7)
		cold.Started, rate = r.now, rate+r.m.rate
		r.do(NodesChanged{How: Whole, Nodes: []Node{cold}})
		for range 10 {
			r.wait(r.m.set.OverFor / 10)
			r.hit("read", "")
			sent += r.answer("a9", 20)
		}
	}
	if most := rate * 0.4 * 2.5 * 1000; sent == 0 || float64(sent) > most {
		t.Errorf("%d forwards, at most %v", sent, most)
	}
}

// A node that was out of reach counts as cold from its first answer: it may have restarted unseen.
func TestBackFromSilence(t *testing.T) {
	r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
	n := r.m.nodes["a1"]
	r.m.strike(n)
	r.now += 100
	r.m.answered(n)
	if w := r.m.warmth(n); w != 0.4 || n.strikes != 0 {
		t.Errorf("warmth %v, strikes %d", w, n.strikes)
	}
}

// The one hit that tries a struck node out stays there until it is answered or silence says more; moved off
// at once, as it first was, it never brought a node back.
func TestTryingOut(t *testing.T) {
	r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
	r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a2", 8)}})
	r.m.strike(r.m.nodes["a2"])
	r.wait(300)
	h, to := r.hit("read", "")
	r.wait(60)
	r.end(h, 0, Delivered, 60)
	if to != "a2" || r.m.nodes["a2"].strikes != 0 {
		t.Errorf("sent to %q, strikes %d", to, r.m.nodes["a2"].strikes)
	}
	for _, a := range r.acts {
		if _, ok := a.(Cancel); ok {
			t.Error("called off")
		}
	}
}

// Hits that may run again leave a silent node; others are never sent twice.
func TestSilentNode(t *testing.T) {
	for _, c := range []struct {
		group GroupName
		copy  bool
		want  string
	}{{"read", false, "cancel"}, {"read", true, "copy"}, {"pay", false, ""}, {"pay", true, ""}} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, func(s *Settings) { s.MayCopy = c.copy })
		silent, at := r.hit(c.group, "")
		for r.now < 10950 { // other hits are answered, and keep away from it
			if h, to := r.hit("read", ""); to != "" && to != at {
				r.end(h, 0, Delivered, 20)
			}
			r.wait(20)
		}
		got := ""
		for _, a := range r.acts {
			if x, ok := a.(Cancel); ok && x.Hit == silent {
				got = "cancel"
			}
		}
		if r.sent(silent, 1) != "" {
			got = "copy"
		}
		if got != c.want {
			t.Errorf("%s, copies %v: %q", c.group, c.copy, got)
		}
	}
}

// judged feeds outcomes of both builds and returns the votes cast.
func judged(t *testing.T, change func(*Settings), grn func(i int) (Ending, Millis)) *rig {
	r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, change)
	play := func(n int, of func(i int) (Ending, Millis)) {
		for i := range n {
			h, to := r.hit("read", "")
			if to == "" {
				r.wait(100)
				continue
			}
			how, after := Delivered, Millis(20+i*7%13)
			if of != nil && r.m.nodes[to].Build == 8 {
				how, after = of(i)
			}
			r.wait(40)
			r.end(h, 0, how, after)
			if f := r.sent(h, 1); f != "" {
				r.end(h, 1, Delivered, 25)
			}
		}
	}
	play(120, nil)
	r.do(trial(1, 0.5))
	play(300, grn)
	return r
}

func TestVotes(t *testing.T) {
	like := func(i int) (Ending, Millis) { return Delivered, Millis(20 + i*7%13) }
	slow := func(i int) (Ending, Millis) { return Delivered, Millis(50 + i*7%13) }
	faster := func(i int) (Ending, Millis) { return Delivered, Millis(10 + i*7%13) }
	fails := func(i int) (Ending, Millis) {
		if i%3 == 0 {
			return NodeError, 5
		}
		return like(i)
	}
	clock := func(s *Settings) { s.Control = ByClock }
	halt := func(s *Settings) { s.Halt = true }
	haltClock := func(s *Settings) { s.Control, s.Halt = ByClock, true }
	for _, c := range []struct {
		name     string
		change   func(*Settings)
		grn      func(int) (Ending, Millis)
		has, not string
	}{
		{"alike", nil, like, "1", "3"},
		{"faster", nil, faster, "1", "3"},
		{"slower", nil, slow, "3", ""},
		{"failing", nil, fails, "3", ""},
		{"alike under a clock", clock, like, "", "123"},
		{"slower under a clock", clock, slow, "3", "1"},
		{"alike, halted", halt, like, "", "123"},
		{"slower, halted", halt, slow, "3", "1"},
		{"alike under a clock, halted", haltClock, like, "2", "13"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := judged(t, c.change, c.grn).votes()
			if !strings.Contains(got, c.has) || c.not != "" && strings.ContainsAny(got, c.not) {
				t.Errorf("votes %q, want %q and none of %q", got, c.has, c.not)
			}
		})
	}
}

// The blind vote that opens the whole fleet takes outcomes of warm nodes; on cold ones a slow build passed.
func TestBlindVote(t *testing.T) {
	for _, c := range []struct {
		stage, outcomes, warm int
		want                  Verdict
	}{{0, 5, 0, VoteOn}, {0, 1, 0, VoteNone}, {1, 6, 0, VoteNone}, {1, 6, 11, VoteOn}, {2, 30, 9, VoteNone}} {
		r := start(t, trial(c.stage, 0.5), func(s *Settings) { s.Marshals = 3 })
		r.m.nodes["a2"].tally[r.m.pool.index].Good = float64(c.outcomes)
		r.m.pool.grn.Fill = make([]float64, c.warm)
		r.m.now += blindAfter
		if got, why := r.m.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// Slowness of all nodes sends a build back while on trial and for some time after the release, not later.
func TestAllSlower(t *testing.T) {
	for _, c := range []struct {
		phase Phase
		age   Millis
		want  Verdict
	}{{OnTrial, 60000, VoteBack}, {Released, 5000, VoteBack}, {Released, 60000, VoteNone}} {
		r := start(t, StageNews{Build: 8, Phase: c.phase, Stage: 2, Cap: 1, Age: c.age}, nil)
		r.m.pool.before.rejects = 8 * backAfter
		if got, why := r.m.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// Lost nodes crowd the rest, so slowness sends no build back until a warm-up time after the last was found,
// nor while one is found out of reach again and again: a thin marshal tried it out too seldom to be reminded.
func TestSlowInTrouble(t *testing.T) {
	for _, c := range []struct {
		ago    Millis
		found  int // times in a row
		looked bool
		want   Verdict
	}{{0, 1, false, VoteNone}, {3900, 1, false, VoteNone}, {4000, 1, true, VoteBack},
		{9000, 2, true, VoteNone}} {
		r := start(t, trial(1, 0.5), nil)
		r.m.order[0].rejects = backAfter
		for range c.found {
			r.m.learn(r.m.nodes["b1"], ForwardEnded{Ending: Unreachable, After: 250})
			r.m.nodes["b1"].shut = 0
		}
		if r.m.now += c.ago; c.looked {
			r.m.lookAround()
		}
		if got, why := r.m.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// A node that falls silent once is no trouble that slowness could come of: on fleet-1 of the sockets' bench, under a
// build that slowed all nodes, such silence took the evidence away for seconds, again and again.
func TestOneSilence(t *testing.T) {
	r := start(t, trial(1, 0.5), nil)
	r.m.order[0].rejects = backAfter
	n := r.m.nodes["b1"]
	n.out, n.since = 1, r.now-10000
	r.m.lookAround()
	if got, why := r.m.verdict(); n.strikes != 1 || got != VoteBack {
		t.Errorf("struck %d times: %v, %s", n.strikes, got, why)
	}
}

// Against the time before the trial each group counts by how many gaps it is slower, four at most; one that is not
// begins the count anew.
func TestGaps(t *testing.T) {
	r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, nil)
	for i := range 2 * groupSize {
		r.m.pool.enter(false, 100+float64(i%groupSize))
	}
	r.m.pool.pace.Add(100, memory)
	r.do(trial(1, 0.5))
	b := r.m.pool.before
	for _, c := range []struct {
		times float64
		want  int
	}{{1.3, 0}, {1.6, 2}, {2, 5}, {4, 9}, {math.Inf(1), 9}, {1, 0}, {1000, 4}} {
		for i := range groupSize {
			r.m.enterBefore(b, c.times*(100+float64(i)), 1)
		}
		if b.rejects != c.want {
			t.Errorf("%g times slower: count %d, want %d", c.times, b.rejects, c.want)
		}
	}
}

// Failures at one of several trial nodes are that node's trouble.
func TestOneFailingNode(t *testing.T) {
	for _, c := range []struct {
		bad  []float64 // failures among 30 outcomes, by trial node
		back bool
	}{{[]float64{20, 0}, false}, {[]float64{10, 10}, true}, {[]float64{20}, true},
		{[]float64{20, 0, 0, 0, 0}, false}} {
		r := start(t, trial(1, 0.5), nil)
		var list []Node
		for i := range c.bad {
			list = append(list, node4(NodeID(fmt.Sprint("a", i)), 8))
		}
		r.do(NodesChanged{How: Whole, Nodes: append(list, node4("a9", 7))})
		r.m.nodes["a9"].tally[0].Good = 90
		for i, bad := range c.bad {
			tally := &r.m.nodes[list[i].ID].tally[0]
			tally.Good, tally.Bad = 30-bad, bad
		}
		for _, left := range []bool{false, true} { // it still counts when the last earlier node has left
			if left {
				r.do(NodesChanged{How: Whole, Nodes: list})
			}
			if k, _, _ := r.m.failing(); (k >= 1) != c.back {
				t.Errorf("%v, left %v: statistic %v", c.bad, left, k)
			}
		}
	}
}

// One group that was fast by chance must not make a build look slow.
func TestSlower(t *testing.T) {
	twenty := func(v float64) (out []float64) {
		for i := range groupSize {
			out = append(out, v+float64(i)/100)
		}
		return out
	}
	for _, c := range []struct {
		older, kept, got float64
		want             bool
	}{{1, 1, 2, true}, {2, 1, 2, false}, {1, 2, 2, false}, {1, 1, 1.1, false}, {1, 1, 0.5, false},
		{1, 1, math.Inf(1), false}} { // failures are counted by node
		g := &group{blue: stats.Groups{Before: twenty(c.older), Last: twenty(c.kept)}}
		if got := g.slower(twenty(c.got), 1); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if g := (&group{blue: stats.Groups{Last: twenty(1)}}); g.slower(twenty(2), 1) {
		t.Error("slower than a single group")
	}
}

// The same events bring the same actions.
func TestAlike(t *testing.T) {
	run := func() string {
		r := start(t, trial(1, 0.5), nil)
		for i := range 200 {
			h, to := r.hit([]GroupName{"read", "mark", "pay"}[i%3], Key(fmt.Sprint(i%9)))
			r.wait(20)
			if to != "" && i%4 > 0 {
				r.end(h, 0, Ending(i%6), 30)
			}
		}
		return fmt.Sprint(r.acts)
	}
	if run() != run() {
		t.Error("two runs differ")
	}
}

// The desk's counts of all forwards: equal builds are voted on; a failing or slow one goes back, but not for
// what nodes leave unanswered under both builds.
func TestDeskCounts(t *testing.T) {
	for _, c := range []struct {
		name            string
		blueBad, grnBad int // of 40
		grnMean         Millis
		errors          bool
		want            string
	}{
		{"alike", 0, 0, 50, true, "1"},
		{"failing", 0, 20, 50, true, "3"},
		{"unanswered, at both", 20, 20, 50, false, "1"},
		{"unanswered, more at the new ones", 10, 20, 50, false, "1"},
		{"slow", 0, 0, 150, true, "3"},
	} {
		r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, func(s *Settings) { s.TallyEvery = 500 })
		list := []Node{node4("a1", 7), node4("b1", 7)}
		for i := range 20 {
			list = append(list, node4(NodeID(fmt.Sprint("a3", i)), 8))
		}
		r.do(NodesChanged{How: Whole, Nodes: list})
		if c.errors {
			r.m.failures.Bad = 40
		}
		for i := range 10 {
			if i == 4 {
				r.do(trial(0, 0.1))
			}
			r.wait(500)
			r.do(Tally{Build: 7, Group: "read", Count: 40, Failed: c.blueBad, Mean: 50})
			if i >= 5 {
				r.do(Tally{Build: 8, Group: "read", Count: 40, Failed: c.grnBad, Mean: c.grnMean})
			}
		}
		if got := strings.TrimLeft(r.votes(), "0"); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: votes %q, want %q", c.name, got, c.want)
		}
	}
}

// How much evidence one marshal needs follows from how many judge and how many votes decide.
func TestProof(t *testing.T) {
	for _, c := range []struct{ marshals, back, often int }{{3, 1, 2}, {5, 1, 2}, {60, 1, 3}, {470, 1, 3},
		{200, 16, 1}} {
		r := start(t, trial(0, 0.1), func(s *Settings) { s.Marshals, s.BackVotes = c.marshals, c.back })
		if r.m.pool.often != c.often || r.m.certain < rejectAt || (c.back == 1) != (r.m.certain > 1.9*rejectAt) {
			t.Errorf("%+v: %d rejections, statistic %v", c, r.m.pool.often, r.m.certain)
		}
	}
}

// While much is missed, a hit goes to the first node whose probe comes back as from an idle one, at the
// latest to the best of three; without answers it goes by what is known.
func TestLooks(t *testing.T) {
	for _, c := range []struct {
		name   string
		missed float64
		takes  []Millis // what the probes take; below 0: no answer
		probes int
	}{
		{"little missed", 0.01, nil, 0},
		{"idle", 0.3, []Millis{1}, 1},
		{"busy, then idle", 0.3, []Millis{3, 1}, 2},
		{"all busy", 0.3, []Millis{3, 2, 4}, 3},
		{"no answer", 0.3, []Millis{-1, -1, -1}, 3},
	} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1},
			func(s *Settings) { s.MayProbe, s.ProbePrice = true, 0.01 })
		r.m.missed, r.m.base = c.missed, [2]Millis{1, 1}
		r.hit("read", "")
		probes, best, at := 0, NodeID(""), Millis(99)
		for i := 0; i < len(r.acts); i++ {
			p, ok := r.acts[i].(Probe)
			if !ok {
				continue
			}
			took := c.takes[probes]
			if probes++; took > 0 {
				if took < at {
					best, at = p.Node, took
				}
				r.do(ProbeEnded{Node: p.Node, Ending: Delivered, After: took})
			}
			r.now += 2 * r.m.set.Granularity
			r.do(TimerDue{Token: 1})
		}
		if to := r.sent(1, 0); to == "" || best != "" && to != best || probes != c.probes {
			t.Errorf("%s: %d probes, best %q, sent to %q", c.name, probes, best, to)
		}
	}
}

// While most answers of every path group and tenant take long, less goes out at once, and hits bounce early;
// slow answers of one tenant are no lack of power.
func TestCrowded(t *testing.T) {
	for _, c := range []struct {
		slow    map[TenantID]bool
		limited bool
	}{{nil, false}, {map[TenantID]bool{"x": true}, false}, {map[TenantID]bool{"x": true, "y": true}, true}} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
		for i := range 80 {
			who := TenantID("xy"[i%2 : i%2+1])
			r.next++
			r.do(HitTaken{Hit: r.next, Group: r.m.order[i%3].Name, Tenant: who, TTL: 1000})
			r.wait(20)
			if after := 20.0; r.sent(r.next, 0) != "" {
				if c.slow[who] {
					after = 300
				}
				r.end(r.next, 0, Delivered, after)
			}
		}
		if (r.m.limit < 2) != c.limited {
			t.Errorf("slow %v: limit %v", c.slow, r.m.limit)
		}
	}
}

// The limit on all forwards never reaches nothing. Forwards at silent nodes that ended after they were counted took it
// there, and a marshal bounced every hit for the rest of the day (simulated, on an earlier deployment).
func TestLimitComesBack(t *testing.T) {
	r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
	h, _ := r.hit("read", "")
	r.m.slow, r.m.stuck = 1, 3
	for _, s := range r.m.slowBy {
		*s = 1
	}
	r.end(h, 0, Delivered, 1000)
	r.wait(r.m.period) // counts the stuck ones anew
	if _, to := r.hit("read", ""); r.m.limit > 1 || to == "" {
		t.Errorf("limit %v, the next hit went to %q", r.m.limit, to)
	}
}

// While nodes refuse connections at once, idle ones are closed after use, so that other marshals find room; slow
// handshakes that run out of time are no refusal, and closing would bring more of them.
func TestCloseIdle(t *testing.T) {
	for _, c := range []struct {
		after  Millis // until unreachable
		closes bool
	}{{0.5, true}, {250, false}} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
		for i := range 20 {
			r.wait(100)
			h, to := r.hit("read", "")
			if i%4 == 0 && to != "" {
				r.end(h, 0, Unreachable, c.after)
			}
			r.answer("", 20)
		}
		closed := 0
		for _, a := range r.acts {
			if _, ok := a.(CloseIdle); ok {
				closed++
			}
		}
		if (closed > 0) != c.closes {
			t.Errorf("unreachable after %v: %d closed", c.after, closed)
		}
	}
}

// An answer that can't be read leaves its node in use, and its hit is sent again only where it may run twice.
func TestSpoilt(t *testing.T) {
	for _, tc := range []struct {
		group    GroupName
		forwards int
		last     string
	}{{"read", 2, ""}, {"mark", 2, ""}, {"pay", 1, "fail"}} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
		h, id := r.hit(tc.group, "")
		r.end(h, 0, Spoilt, 50)
		if _, last := r.answers(h); last != tc.last || (r.sent(h, 1) != "") != (tc.forwards == 2) {
			t.Errorf("%s: answered %q, then sent to %q", tc.group, last, r.sent(h, 1))
		}
		if n := r.m.nodes[id]; n.strikes != 0 || n.shut > r.now || r.m.troubleAt == r.now || r.m.warmth(n) < 1 {
			t.Errorf("%s: strikes %d, shut for %v, warmth %v", tc.group, n.strikes, n.shut-r.now, r.m.warmth(n))
		}
	}
}

// What nothing can come of any more is answered at once: an error where it may have run, else a bounce.
func TestOver(t *testing.T) {
	for name, tc := range map[string]struct {
		group GroupName
		how   Ending
		most  int
		last  string
	}{
		"may have run":           {"pay", Broken, 4, "fail"},
		"may run again":          {"read", Broken, 4, ""},
		"no forward is left":     {"read", Broken, 1, "bounce"},
		"nor for what never ran": {"pay", Unreachable, 1, "bounce"},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, func(s *Settings) { s.MaxForwards = tc.most })
			h, _ := r.hit(tc.group, "")
			for _, n := range r.m.list {
				n.shut = r.now + 5000 // there is no other
			}
			r.end(h, 0, tc.how, 1)
			if n, last := r.answers(h); last != tc.last || n > 1 {
				t.Errorf("%d answers, the last a %q", n, last)
			}
		})
	}
}

// Where connections break at all nodes alike, a break or two strike none of them; where none did, the first does, and
// one that doesn't come up in its time always does.
func TestBroken(t *testing.T) {
	for name, tc := range map[string]struct {
		share   float64
		endings []ForwardEnded
		struck  bool
	}{
		"the first break":        {0, []ForwardEnded{{Ending: Broken}}, true},
		"breaks are usual":       {0.1, []ForwardEnded{{Ending: Broken}, {Ending: Broken}}, false},
		"many in a row":          {0.1, []ForwardEnded{{Ending: Broken}, {Ending: Unreachable}, {Ending: Unreachable}, {Ending: Unreachable}, {Ending: Unreachable}}, true},
		"with an answer between": {0.1, []ForwardEnded{{Ending: Broken}, {Ending: Broken}, {Ending: NodeError}, {Ending: Broken}, {Ending: Broken}}, false},
		"never comes up":         {0.1, []ForwardEnded{{Ending: Unreachable, After: 250}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
			r.m.broken = tc.share
			n := r.m.nodes["a2"]
			for _, e := range tc.endings {
				r.m.learn(n, e)
			}
			if n.strikes > 0 != tc.struck {
				t.Errorf("struck %d times", n.strikes)
			}
		})
	}
}

// A single trial node that fails is no proof while one of the earlier build fails alike, nor the only one of several
// that was asked anything: on the scored reload day a good build went back by two failures that a thin marshal saw.
func TestSingleTrialNode(t *testing.T) {
	for _, tc := range []struct {
		blue   float64 // failures among 30 at one of two nodes
		others int     // trial nodes that were asked nothing yet
		back   bool
	}{{0, 0, true}, {1, 0, true}, {25, 0, false}, {0, 3, false}} {
		r := start(t, trial(0, 0.1), nil)
		list := []Node{node4("a1", 7), node4("b1", 7), node4("a2", 8)}
		for i := range tc.others {
			list = append(list, node4(NodeID(fmt.Sprint("b", 2+i)), 8))
		}
		r.do(NodesChanged{How: Whole, Nodes: list})
		for id, bad := range map[NodeID]float64{"a1": tc.blue, "b1": 0, "a2": 25} {
			r.m.nodes[id].tally[0] = stats.Count{Good: 30 - bad, Bad: bad}
		}
		if k, _, _ := r.m.failing(); (k >= 1) != tc.back {
			t.Errorf("blue fails %v times, %d others: statistic %v", tc.blue, tc.others, k)
		}
	}
}

// Where one of hundreds can stop the clock, one chance rejection must not: a hold takes as many in a row as
// the share of marshals that holds asks for; where a tenth of twenty hold, fewer.
func TestHoldProof(t *testing.T) {
	for _, c := range []struct{ marshals, hold, rejects int }{{3, 1, 2}, {17, 2, 2}, {280, 1, 3}, {650, 0, 3},
		{280, 28, 1}} {
		for rejects, want := range []Verdict{VoteNone, VoteNone, VoteNone, VoteNone} {
			if rejects >= c.rejects {
				want = VoteHold
			}
			r := start(t, trial(1, 0.5), func(s *Settings) {
				s.Marshals, s.HoldVotes, s.BackVotes, s.Control = c.marshals, c.hold, c.marshals, ByClock
			})
			r.m.order[0].rejects, r.m.troubleAt = rejects, r.m.now // no back: the hold alone is judged
			if got, why := r.m.verdict(); rejects > 0 && got != want {
				t.Errorf("%+v with %d rejections: %v, %s", c, rejects, got, why)
			}
		}
	}
}

// While most of the capacity is cold, as at the last stage of an in-place swap, slowness sends no build back:
// the warm few take everything. Once warm, it does.
func TestColdTurnover(t *testing.T) {
	for _, c := range []struct {
		age  Millis // of the build on trial's nodes, since their start
		want Verdict
	}{{500, VoteNone}, {2000, VoteNone}, {3500, VoteBack}, {9000, VoteBack}} {
		r := start(t, trial(2, 1), nil)
		for _, id := range []NodeID{"a1", "b1"} { // the earlier build has drained
			r.m.nodes[id].State = Draining
		}
		for _, id := range []NodeID{"a2", "b2"} {
			r.m.nodes[id].coldAt = r.m.now - c.age
		}
		r.m.order[0].rejects = backAfter
		r.m.lookAround()
		if r.m.now += 4500; c.age < 9000 {
			for _, id := range []NodeID{"a2", "b2"} {
				r.m.nodes[id].coldAt = r.m.now - c.age
			}
		}
		r.m.lookAround()
		if got, why := r.m.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// New figures reach a running marshal: what it has taken stays open and gets one answer, the proof follows the
// new figures, and the same step leads back.
func TestSettingsChange(t *testing.T) {
	r := start(t, trial(1, 0.5), func(s *Settings) { s.Marshals = 3 })
	was := r.m.set
	id, to := r.hit("pay", "")
	if to == "" {
		t.Fatal("the hit was not forwarded")
	}
	next := was
	next.Marshals, next.HoldVotes, next.BackVotes, next.Control = 600, 1, 30, ByClock
	r.do(SettingsChanged{Settings: next})
	if r.m.holdAfter != 3 || r.m.pool.often != 1 || r.m.set.Control != ByClock || len(r.m.hits) != 1 {
		t.Errorf("after the change: hold after %d, back after %d, control %v, %d open", r.m.holdAfter,
			r.m.pool.often, r.m.set.Control, len(r.m.hits))
	}
	r.end(id, 0, Delivered, 30)
	if n, _ := r.answers(id); n != 0 || len(r.m.hits) != 0 {
		t.Errorf("a delivered hit: %d answers of the marshal's own, %d open", n, len(r.m.hits))
	}
	if r.sent(id, 1) != "" {
		t.Error("the hit was sent twice")
	}
	r.do(SettingsChanged{Settings: was})
	if r.m.holdAfter != 2 || r.m.pool.often != 2 || r.m.set.Control != ByVotes || r.m.set.WarmAfter != was.WarmAfter {
		t.Errorf("back: hold after %d, back after %d, control %v", r.m.holdAfter, r.m.pool.often, r.m.set.Control)
	}
}

// What a marshal that is gone had seen goes on at another as if seen there, once: the counts that prove a build bad, the
// groups that prove it slow. One whose own was taken over begins anew.
func TestAdopted(t *testing.T) {
	slow := func(i int) (Ending, Millis) { return Delivered, Millis(50 + i*7%13) }
	fails := func(i int) (Ending, Millis) {
		if i%3 == 0 {
			return NodeError, 5
		}
		return Delivered, Millis(20 + i*7%13)
	}
	for name, grn := range map[string]func(int) (Ending, Millis){"slow": slow, "failing": fails} {
		dead := judged(t, nil, grn)
		e, any := dead.m.Evidence()
		if !any || e.Build != 8 || e.Stage != 1 {
			t.Fatalf("%s: %+v", name, e)
		}
		heir := judged(t, nil, nil)
		for _, c := range []struct {
			why    string
			change func(*Evidence)
			want   bool
		}{{"of another build", func(e *Evidence) { e.Build++ }, false}, {"as it was", func(*Evidence) {}, true}} {
			other := e
			c.change(&other)
			heir.do(Adopted{other})
			heir.wait(heir.m.set.VoteLife)
			if back := strings.Contains(heir.votes(), "3"); back != c.want {
				t.Errorf("%s, %s: votes %q", name, c.why, heir.votes())
			}
		}
		dead.do(Disowned{})
		if e, _ := dead.m.Evidence(); len(e.Counts) > 0 || len(e.Groups[0].Grn) > 0 || dead.m.vote.Verdict != VoteNone {
			t.Errorf("%s: disowned, it still has %+v", name, e)
		}
	}
	r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
	if _, any := r.m.Evidence(); any {
		t.Error("evidence of a build that is released")
	}
}

// What the operators withhold from builds on trial bounds the cap, all of it while a marshal does not know their word.
func TestWithheld(t *testing.T) {
	for _, c := range []struct {
		withheld    float64
		least, most int
	}{{0, 80, 101}, {0.8, 30, 41}, {1, 0, 0}} {
		r := start(t, trial(1, 0.5), func(s *Settings) { s.Withheld = c.withheld })
		n := 0
		for range 200 {
			h, to := r.hit("read", "")
			if to == "a2" || to == "b2" {
				n++
			}
			r.wait(20)
			r.end(h, 0, Delivered, 20)
		}
		if n < c.least || n > c.most {
			t.Errorf("withheld %g: %d of 200 hits went to the build on trial", c.withheld, n)
		}
	}
}

// A probe that comes back at once from a node whose cores are busy finds no idle node: its reported use
// counts as the slowdown of a queue, 1/(1-use).
func TestLookByUse(t *testing.T) {
	for _, c := range []struct {
		use  float64 // -1: not reported
		idle bool
	}{{-1, true}, {0.1, true}, {0.5, false}, {0.95, false}} {
		r := start(t, StageNews{Build: 8, Phase: Released, Cap: 1}, nil)
		r.m.base = [2]Millis{1, 1}
		r.do(ProbeEnded{Node: "a1", Ending: Delivered, After: 1, Load: &Load{Util: c.use, Queue: -1}})
		if n := r.m.nodes["a1"]; (n.look <= slowGap) != c.idle {
			t.Errorf("%+v: look %v", c, n.look)
		}
	}
}
