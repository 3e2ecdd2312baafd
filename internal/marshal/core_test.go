package marshal

import (
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/internal/clock"
	"ottershed/logic"
)

// script is a module that does what it is told and keeps what it hears.
type script struct {
	heard []logic.Event
	does  []logic.Action // at the next event
	panic bool           // at the next event
}

func (s *script) Handle(_ logic.Millis, e logic.Event) []logic.Action {
	s.heard = append(s.heard, e)
	does, bad := s.does, s.panic
	if s.does, s.panic = nil, false; bad {
		panic("scripted")
	}
	return does
}

// rig is a core on a fake clock, with its surroundings.
type rig struct {
	*core
	module  *script
	now     logic.Millis
	did     []string // by nodes, desk and discovery
	sent    []Forward
	posted  []message
	answers []string
	started int
}

func newRig() *rig {
	r := &rig{now: 1000}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.core = newCore(func(uint64) module {
		r.module = &script{}
		r.started++
		return r.module
	}, 1, func(m message) { r.posted = append(r.posted, m) }, log)
	r.core.nodes, r.core.desk, r.core.discovery = r, r, r
	r.tell(listTold{List{How: logic.Whole, Entries: []Entry{entry("a", "a:1", logic.Up), entry("b", "b:1", logic.Up)}}})
	r.did, r.module.heard = nil, nil
	return r
}

func entry(id logic.NodeID, address string, s logic.NodeState) Entry {
	return Entry{Node: logic.Node{ID: id, State: s}, Address: address}
}

func (r *rig) note(format string, args ...any) { r.did = append(r.did, fmt.Sprintf(format, args...)) }

func (r *rig) Forward(f Forward) func() {
	r.sent = append(r.sent, f)
	no := len(r.sent)
	r.note("forward %d to %s at %s until %g", no, f.Node, f.Address, f.Until)
	return func() { r.note("recall %d", no) }
}
func (r *rig) Moved(id logic.NodeID, address string) { r.note("moved %s %s", id, address) }
func (r *rig) Unsend(id logic.NodeID)                { r.note("unsend %s", id) }
func (r *rig) CloseIdle(id logic.NodeID)             { r.note("close idle %s", id) }
func (r *rig) Vote(v logic.Vote)                     { r.note("vote %d %d %d", v.Build, v.Stage, v.Verdict) }
func (r *rig) Watch()                                { r.note("watch") }
func (r *rig) Lookup()                               { r.note("lookup") }

// tell gives a message, at which the module does these actions, and then what the core posted to itself.
func (r *rig) tell(msg message, does ...logic.Action) {
	r.module.does = does
	r.handle(r.now, msg)
	for len(r.posted) > 0 {
		msg, r.posted = r.posted[0], r.posted[1:]
		r.handle(r.now, msg)
	}
}

// hit takes a hit at which the module does these actions.
func (r *rig) hit(does ...logic.Action) *Hit {
	h := &Hit{Group: "read", Tenant: "t", Left: 500, Taken: 990, Request: &Request{}}
	no := len(r.answers)
	r.answers = append(r.answers, "")
	h.Answer = func(a Answer) { r.answers[no] += fmt.Sprintf("%d;%g;%v", a.Kind, a.ComeBack, a.Reply != nil) }
	r.tell(hitTaken{h}, does...)
	return h
}

func TestActions(t *testing.T) {
	for name, tc := range map[string]struct {
		does   []logic.Action
		did    string // by the surroundings
		answer string
		heard  string // the module's last event
		open   int
	}{
		"held":             {nil, "", "", "logic.HitTaken{Hit:0x1, Group:\"read\", Tenant:\"t\", Key:\"\", TTL:490, Hint:0, Retried:false}", 1},
		"forward":          {[]logic.Action{logic.Forward{Hit: 1, Node: "a"}}, "forward 1 to a at a:1 until 1490", "", "", 1},
		"forward, timeout": {[]logic.Action{logic.Forward{Hit: 1, Node: "a", Timeout: 90}}, "forward 1 to a at a:1 until 1090", "", "", 1},
		"timeout is cut":   {[]logic.Action{logic.Forward{Hit: 1, Node: "a", Timeout: 900}}, "forward 1 to a at a:1 until 1490", "", "", 1},
		"forward to none": {[]logic.Action{logic.Forward{Hit: 1, Node: "c"}}, "", "",
			"logic.ForwardEnded{Hit:0x1, Ending:7, Node:\"c\", Forward:0, After:0, HitEnded:false, Load:(*logic.Load)(nil)}", 1},
		"forward after the end": {[]logic.Action{logic.Fail{Hit: 1}, logic.Forward{Hit: 1, Node: "a"}}, "", "2;0;false", "", 0},
		"bounce":                {[]logic.Action{logic.Bounce{Hit: 1, ComeBack: 100}}, "", "1;100;false", "", 0},
		"fail":                  {[]logic.Action{logic.Fail{Hit: 1}}, "", "2;0;false", "", 0},
		"one answer only":       {[]logic.Action{logic.Fail{Hit: 1}, logic.Bounce{Hit: 1}}, "", "2;0;false", "", 0},
		"answer, forward out":   {[]logic.Action{logic.Forward{Hit: 1, Node: "a"}, logic.Fail{Hit: 1}}, "forward 1 to a at a:1 until 1490", "2;0;false", "", 1},
		"cancel":                {[]logic.Action{logic.Forward{Hit: 1, Node: "a"}, logic.Cancel{Hit: 1}}, "forward 1 to a at a:1 until 1490,recall 1", "", "", 1},
		"cancel of none":        {[]logic.Action{logic.Cancel{Hit: 1, Forward: 3}, logic.Cancel{Hit: 9}}, "", "", "", 1},
		"others": {[]logic.Action{logic.Vote{Build: 7, Stage: 2, Verdict: logic.VoteBack}, logic.CloseIdle{Node: "a"}, logic.Lookup{}, logic.Watch{On: true},
			logic.Tell{All: true}, logic.Log{Text: "x"}}, "vote 7 2 3,close idle a,lookup,watch", "", "", 1},
		"probe": {[]logic.Action{logic.Probe{Node: "a"}}, "", "", "logic.ProbeEnded{Node:\"a\", Ending:7, After:0, Load:(*logic.Load)(nil)}", 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.hit(tc.does...)
			if did := strings.Join(r.did, ","); did != tc.did || r.answers[0] != tc.answer || len(r.open) != tc.open {
				t.Errorf("did %q, want %q; answer %q, want %q; open %d, want %d", did, tc.did, r.answers[0], tc.answer,
					len(r.open), tc.open)
			}
			if last := fmt.Sprintf("%#v", r.module.heard[len(r.module.heard)-1]); tc.heard != "" && last != tc.heard {
				t.Errorf("heard %s, want %s", last, tc.heard)
			}
		})
	}
}

func TestEndings(t *testing.T) {
	reply := &Reply{}
	for name, tc := range map[string]struct {
		end    End
		then   []logic.Action
		answer string
		ended  bool // the module is told that the hit has ended
		open   int
	}{
		"delivered":             {End{Ending: logic.Delivered, At: 1040, Reply: reply}, nil, "0;0;true", true, 0},
		"error, waits":          {End{Ending: logic.NodeError, At: 1040}, nil, "", false, 1},
		"error, given up":       {End{Ending: logic.NodeError, At: 1040}, []logic.Action{logic.Fail{Hit: 1}}, "2;0;false", false, 0},
		"full, elsewhere":       {End{Ending: logic.NodeFull, At: 1040}, []logic.Action{logic.Forward{Hit: 1, Node: "b"}}, "", false, 1},
		"timed out at the end":  {End{Ending: logic.TimedOut, At: 1040}, []logic.Action{logic.Bounce{Hit: 1}}, "1;0;false", false, 0},
		"ended before it began": {End{Ending: logic.Unreachable, At: 900}, nil, "", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.hit(logic.Forward{Hit: 1, Node: "a"})
			r.now = 1045
			load := &logic.Load{Util: 0.5}
			tc.end.Load = load
			r.sent[0].Ended(tc.end)
			msg := r.posted[0]
			r.posted = nil
			r.tell(msg, tc.then...)
			want := logic.ForwardEnded{Hit: 1, Ending: tc.end.Ending, Node: "a", After: max(0, tc.end.At-1000), HitEnded: tc.ended,
				Load: load}
			if got := r.module.heard[1]; !reflect.DeepEqual(got, want) {
				t.Errorf("heard %+v, want %+v", got, want)
			}
			if r.answers[0] != tc.answer || len(r.open) != tc.open {
				t.Errorf("answer %q, want %q; open %d, want %d", r.answers[0], tc.answer, len(r.open), tc.open)
			}
			heard := len(r.module.heard)
			if r.tell(msg); len(r.module.heard) != heard {
				t.Error("an ending counted twice")
			}
		})
	}
}

// The last moment to send a forward reaches who sends it.
func TestSendBy(t *testing.T) {
	r := newRig()
	r.hit(logic.Forward{Hit: 1, Node: "a", SendBy: 1200}, logic.Forward{Hit: 1, Node: "b"})
	if one, two := r.sent[0].SendBy, r.sent[1].SendBy; one != 1200 || two != 0 {
		t.Errorf("to be sent by %g and %g", one, two)
	}
}

// A client that goes away ends its hit, and late endings of its forwards still reach the module.
func TestGone(t *testing.T) {
	r := newRig()
	h := r.hit(logic.Forward{Hit: 1, Node: "a"})
	r.tell(hitGone{h}, logic.Cancel{Hit: 1})
	r.tell(ended{1, 0, End{Ending: logic.Recalled, At: 1001}})
	r.tell(hitGone{h})
	if got := fmt.Sprintf("%T %T %d", r.module.heard[1], r.module.heard[2], len(r.module.heard)); got !=
		"logic.HitGone logic.ForwardEnded 3" || len(r.open) != 0 || r.answers[0] != "" {
		t.Errorf("heard %s; open %d; answers %q", got, len(r.open), r.answers)
	}
}

func TestList(t *testing.T) {
	for name, tc := range map[string]struct {
		list List
		did  string
		left int
	}{
		"same":    {List{How: logic.Changes, Entries: []Entry{entry("a", "a:1", logic.Up)}}, "", 2},
		"address": {List{How: logic.Changes, Entries: []Entry{entry("a", "a:2", logic.Up)}}, "moved a a:2", 2},
		"started": {List{How: logic.Changes, Entries: []Entry{{logic.Node{ID: "a", Started: 7}, "a:1"}}}, "moved a a:1", 2},
		"build":   {List{How: logic.Changes, Entries: []Entry{{logic.Node{ID: "a", Build: 7}, "a:1"}}}, "moved a a:1", 2},
		"drains":  {List{How: logic.Changes, Entries: []Entry{entry("a", "a:1", logic.Draining)}}, "moved a ", 2},
		"twice": {List{How: logic.Changes, Entries: []Entry{entry("a", "a:2", logic.Up), entry("a", "a:2", logic.Draining)}},
			"moved a a:2,moved a ", 2},
		"gone":        {List{How: logic.Changes, Entries: []Entry{entry("a", "", logic.Removed)}}, "moved a ", 1},
		"gone twice":  {List{How: logic.Changes, Entries: []Entry{entry("c", "", logic.Removed)}}, "", 2},
		"new":         {List{How: logic.Changes, Entries: []Entry{entry("c", "c:1", logic.Up)}}, "moved c c:1", 3},
		"whole":       {List{How: logic.Whole, Entries: []Entry{entry("a", "a:1", logic.Up)}}, "moved b ", 1},
		"whole, none": {List{How: logic.Remembered, Stamp: 4}, "moved a ,moved b ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(listTold{tc.list})
			did := strings.Join(r.did, ",")
			if did == "moved b ,moved a " { // of a map
				did = "moved a ,moved b "
			}
			got := r.module.heard[0].(logic.NodesChanged)
			if did != tc.did || len(r.list) != tc.left || got.How != tc.list.How || got.Stamp != tc.list.Stamp ||
				len(got.Nodes) != len(tc.list.Entries) {
				t.Errorf("did %q, want %q; %d nodes left, want %d; heard %+v", did, tc.did, len(r.list), tc.left, got)
			}
			r.hit(logic.Forward{Hit: 1, Node: "a"})
			if sends := len(r.sent) == 1; sends != (r.list["a"].Address != "") {
				t.Errorf("a takes a forward: %v, at %q", sends, r.list["a"].Address)
			}
		})
	}
}

// A lower cap on a build calls back what is not yet sent to its nodes; no other news does.
func TestLowerCap(t *testing.T) {
	for name, tc := range map[string]struct {
		news logic.StageNews
		did  string
	}{
		"lower":          {logic.StageNews{Build: 7, Phase: logic.OnTrial, Cap: 0.1}, "unsend b"},
		"sent back":      {logic.StageNews{Build: 7, Phase: logic.GoingBack}, "unsend b"},
		"the same":       {logic.StageNews{Build: 7, Phase: logic.OnTrial, Cap: 0.25}, ""},
		"higher":         {logic.StageNews{Build: 7, Phase: logic.OnTrial, Cap: 0.6}, ""},
		"another build":  {logic.StageNews{Build: 8, Phase: logic.OnTrial, Cap: 0.1}, ""},
		"a vote's fault": {logic.StageNews{ToVote: true, VoteFate: logic.VoteTimeout}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(listTold{List{How: logic.Changes, Entries: []Entry{{logic.Node{ID: "b", Build: 7}, "b:1"},
				{logic.Node{ID: "c", Build: 7, State: logic.Draining}, "c:1"}}}})
			r.tell(told{logic.StageNews{Build: 7, Phase: logic.OnTrial, Cap: 0.25}})
			r.did = nil
			if r.tell(told{tc.news}); strings.Join(r.did, ",") != tc.did {
				t.Errorf("did %q, want %q", r.did, tc.did)
			}
		})
	}
}

// What a build has answered calls back what is not yet sent of the same key to nodes of earlier builds, and nothing else.
func TestKeyAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		key    logic.Key
		node   logic.NodeID
		ending logic.Ending
		did    string
	}{
		"newer build":   {"k", "new", logic.Delivered, "unsend old"},
		"not answered":  {"k", "new", logic.NodeError, ""},
		"another key":   {"l", "new", logic.Delivered, ""},
		"no key":        {"", "new", logic.Delivered, ""},
		"the same one":  {"k", "old", logic.Delivered, ""},
		"earlier build": {"k", "oldest", logic.Delivered, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(listTold{List{How: logic.Whole, Entries: []Entry{{logic.Node{ID: "oldest", Build: 6}, "x:1"},
				{logic.Node{ID: "old", Build: 7}, "o:1"}, {logic.Node{ID: "new", Build: 8}, "n:1"}}}})
			take := func(id logic.HitID, key logic.Key, node logic.NodeID) {
				h := &Hit{Group: "read", Key: key, Left: 500, Taken: 990, Request: &Request{}, Answer: func(Answer) {}}
				r.tell(hitTaken{h}, logic.Forward{Hit: id, Node: node})
			}
			take(1, "k", "old")
			take(2, "", "oldest")
			take(3, tc.key, tc.node)
			r.did = nil
			r.tell(ended{3, 0, End{Ending: tc.ending, At: 1001, Reply: &Reply{}}})
			if got := strings.Join(r.did, "; "); got != tc.did {
				t.Errorf("did %q, want %q", got, tc.did)
			}
		})
	}
}

func TestTimers(t *testing.T) {
	r := newRig()
	r.hit(logic.WakeAt{Token: 2, At: 1020}, logic.WakeAt{Token: 1, At: 1010}, logic.WakeAt{Token: 3, At: 1030})
	for _, tc := range []struct {
		now   logic.Millis
		heard int
		next  logic.Millis
	}{{1005, 1, 1010}, {1020, 3, 1030}, {1031, 4, 0}} {
		r.due(tc.now)
		if next, _ := r.nextTimer(); next != tc.next || len(r.module.heard) != tc.heard {
			t.Errorf("at %g: next %g, want %g; heard %d, want %d", tc.now, next, tc.next, len(r.module.heard), tc.heard)
		}
	}
	if got := fmt.Sprint(r.module.heard[1:]); got != "[{1} {2} {3}]" {
		t.Errorf("timers came as %s", got)
	}
}

// A panic ends what is open as errored; the module starts anew with the list and the news, and a second panic at
// once doesn't go round in circles.
func TestPanic(t *testing.T) {
	for name, twice := range map[string]bool{"once": false, "again at once": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(told{logic.StageNews{Age: 5, Build: 7, ToVote: true}})
			r.hit(logic.Forward{Hit: 1, Node: "a"}, logic.WakeAt{At: 1010})
			r.now = 1100
			r.module.panic = true
			old := r.core.start
			r.core.start = func(seed uint64) module {
				m := old(seed).(*script)
				m.panic = twice && r.started == 2
				return m
			}
			r.tell(told{logic.Flagged{}})
			if r.answers[0] != "2;0;false" || r.did[len(r.did)-1] != "recall 1" {
				t.Errorf("answer %q, did %q", r.answers[0], r.did)
			}
			heard := "[]"
			if !twice {
				heard = "[{2 0 [{a 0 0  0  0 0} {b 0 0  0  0 0}]} {105 7 0 false 0 0 0}]"
			}
			got := fmt.Sprint(r.module.heard)
			got = strings.ReplaceAll(got, "{b 0 0  0  0 0} {a 0 0  0  0 0}", "{a 0 0  0  0 0} {b 0 0  0  0 0}")
			if _, timer := r.nextTimer(); got != heard || timer {
				t.Errorf("heard %s, want %s; timer %v", got, heard, timer)
			}
			r.tell(ended{1, 0, End{Ending: logic.Recalled}})
			if len(r.open) != 0 {
				t.Error("a hit stayed open")
			}
		})
	}
}

// News pass before hits that wait, and each kind keeps its order.
func TestQueueOrder(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := New(logic.Settings{Groups: []logic.PathGroup{{Target: 400}}, Caps: []float64{1}, Stages: []float64{1}}, 1, clock.New(), log)
	m.Hit(&Hit{Group: "1"})
	m.Told(logic.Flagged{Node: "2"})
	m.Hit(&Hit{Group: "3"})
	m.List(List{Stamp: 4})
	got := ""
	for msg, _ := m.next(); msg.message != nil; msg, _ = m.next() {
		switch msg := msg.message.(type) {
		case hitTaken:
			got += string(msg.hit.Group)
		case told:
			got += string(msg.event.(logic.Flagged).Node)
		case listTold:
			got += fmt.Sprint(msg.list.Stamp)
		}
	}
	if got != "2413" {
		t.Errorf("order %s, want 2413", got)
	}
}

// world plays nodes to a core that holds the real module, on a fake clock.
type world struct {
	*rig
	random *rand.Rand
	due    []pending
	ran    map[*Request]bool // a mutating hit that may have run
	out    map[*Request]int
	faults []string
}

type pending struct {
	at   logic.Millis
	f    Forward
	done *bool
}

func (w *world) Forward(f Forward) func() {
	if w.ran[f.Request] {
		w.faults = append(w.faults, "a mutating hit that may have run went out again")
	}
	if w.out[f.Request]++; w.out[f.Request] > 1 {
		w.faults = append(w.faults, "two forwards out")
	}
	p := pending{min(w.now+w.random.ExpFloat64()*60, f.Until), f, new(bool)}
	w.due = append(w.due, p)
	return func() { w.end(p, logic.Recalled) }
}

func (w *world) end(p pending, e logic.Ending) {
	if *p.done {
		return
	}
	*p.done = true
	w.out[p.f.Request]--
	if p.f.Request.Method == "POST" && e != logic.NodeFull && e != logic.Unreachable {
		w.ran[p.f.Request] = true
	}
	p.f.Ended(End{Ending: e, At: w.now, Reply: &Reply{}})
}

// Over a day on which nodes fail in all ways, and the module panics once, every hit gets one answer in time, none
// runs twice, and nothing is left at the end.
func TestDay(t *testing.T) {
	set := logic.Settings{Marshals: 1, Zone: "z", MaxForwards: 4, MayCancel: true, ColdFrom: 0.4, OverFactor: 3, WarmAfter: 4000,
		OverFor: 1000, Caps: []float64{1}, Stages: []float64{1}, Free: 1, VoteLife: 6000, VoteWait: 800, MaxComeBack: 100,
		Groups: []logic.PathGroup{{Name: "read", Target: 200, Effect: logic.Repeatable}, {Name: "pay", Target: 200}}}
	w := &world{rig: newRig(), random: rand.New(rand.NewPCG(1, 2)), ran: map[*Request]bool{}, out: map[*Request]int{}}
	starts := 0
	w.core.start = func(seed uint64) module { starts++; return logic.New(set, seed) }
	w.core.module, w.core.nodes = w.core.start(1), w
	w.tell(listTold{List{How: logic.Whole, Entries: []Entry{entry("a", "a:1", logic.Up), entry("b", "b:1", logic.Up)}}})
	endings := []logic.Ending{logic.NodeError, logic.NodeFull, logic.Unreachable, logic.Broken, logic.TimedOut}
	type taken struct {
		*Hit
		answers int
	}
	var hits []*taken
	for ; w.now < 30000; w.now++ {
		if w.now < 25000 && w.random.IntN(10) == 0 {
			h := &taken{Hit: &Hit{Group: "read", Left: 500, Taken: w.now, Request: &Request{Method: "GET"}}}
			if w.random.IntN(3) == 0 {
				h.Group, h.Request.Method = "pay", "POST"
			}
			h.Answer = func(Answer) {
				if h.answers++; w.now > h.Taken+h.Left+5 {
					w.faults = append(w.faults, "a late answer")
				}
			}
			hits = append(hits, h)
			w.tell(hitTaken{h.Hit})
		}
		if w.now == 15000 { // as a panic does
			w.restart(w.now)
			w.give(w.now, logic.Flagged{})
		}
		for _, p := range slices.Clone(w.due) {
			if p.at <= w.now && !*p.done {
				ending := logic.Delivered
				if p.at >= p.f.Until {
					ending = logic.TimedOut
				} else if w.random.IntN(4) == 0 {
					ending = endings[w.random.IntN(len(endings))]
				}
				w.end(p, ending)
			}
		}
		w.due = slices.DeleteFunc(w.due, func(p pending) bool { return *p.done })
		for len(w.posted) > 0 {
			msg := w.posted[0]
			w.posted = w.posted[1:]
			w.handle(w.now, msg)
		}
		w.core.due(w.now)
	}
	for _, h := range hits {
		if h.answers != 1 {
			t.Fatalf("a hit got %d answers", h.answers)
		}
	}
	if len(w.faults) > 0 || len(w.open) > 0 || len(w.timers) > 1 || len(w.due) > 0 || starts != 2 || len(hits) < 1000 {
		t.Errorf("faults %v; open %d, timers %d, forwards %d; %d starts, %d hits", w.faults, len(w.open), len(w.timers), len(w.due),
			starts, len(hits))
	}
}
