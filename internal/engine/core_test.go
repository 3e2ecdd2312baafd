package engine

import (
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
)

// script is a module that does what it is told and keeps what it hears.
type script struct {
	heard []decision.Event
	does  []decision.Action // at the next event
	panic bool              // at the next event
}

func (s *script) Handle(_ decision.Millis, e decision.Event) []decision.Action {
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
	now     decision.Millis
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
	r.tell(listTold{List{How: decision.Whole, Entries: []Entry{entry("a", "a:1", decision.Up), entry("b", "b:1", decision.Up)}}})
	r.did, r.module.heard = nil, nil
	return r
}

func entry(id decision.NodeID, address string, s decision.NodeState) Entry {
	return Entry{Node: decision.Node{ID: id, State: s}, Address: address}
}

func (r *rig) note(format string, args ...any) { r.did = append(r.did, fmt.Sprintf(format, args...)) }

func (r *rig) Forward(f Forward) func() {
	r.sent = append(r.sent, f)
	no := len(r.sent)
	r.note("forward %d to %s at %s until %g", no, f.Node, f.Address, f.Until)
	return func() { r.note("recall %d", no) }
}
func (r *rig) Moved(id decision.NodeID, address string) { r.note("moved %s %s", id, address) }
func (r *rig) Unsend(id decision.NodeID)                { r.note("unsend %s", id) }
func (r *rig) CloseIdle(id decision.NodeID)             { r.note("close idle %s", id) }
func (r *rig) Vote(v decision.Vote)                     { r.note("vote %d %d %d", v.Build, v.Stage, v.Verdict) }
func (r *rig) Watch()                                   { r.note("watch") }
func (r *rig) Lookup()                                  { r.note("lookup") }

// tell gives a message, at which the module does these actions, and then what the core posted to itself.
func (r *rig) tell(msg message, does ...decision.Action) {
	r.module.does = does
	r.handle(r.now, msg)
	for len(r.posted) > 0 {
		msg, r.posted = r.posted[0], r.posted[1:]
		r.handle(r.now, msg)
	}
}

// hit takes a hit at which the module does these actions.
func (r *rig) hit(does ...decision.Action) *Hit {
	h := &Hit{Group: "read", Tenant: "t", Left: 500, Taken: 990, Request: &Request{}}
	no := len(r.answers)
	r.answers = append(r.answers, "")
	h.Answer = func(a Answer) { r.answers[no] += fmt.Sprintf("%d;%g;%v", a.Kind, a.ComeBack, a.Reply != nil) }
	r.tell(hitTaken{h}, does...)
	return h
}

func TestActions(t *testing.T) {
	for name, tc := range map[string]struct {
		does   []decision.Action
		did    string // by the surroundings
		answer string
		heard  decision.Event // the module's last event; nil: any
		open   int
	}{
		"held":             {nil, "", "", decision.HitTaken{Hit: 1, Group: "read", Tenant: "t", TTL: 490}, 1},
		"forward":          {[]decision.Action{decision.Forward{Hit: 1, Node: "a"}}, "forward 1 to a at a:1 until 1490", "", nil, 1},
		"forward, timeout": {[]decision.Action{decision.Forward{Hit: 1, Node: "a", Timeout: 90}}, "forward 1 to a at a:1 until 1090", "", nil, 1},
		"timeout is cut":   {[]decision.Action{decision.Forward{Hit: 1, Node: "a", Timeout: 900}}, "forward 1 to a at a:1 until 1490", "", nil, 1},
		"forward to none": {[]decision.Action{decision.Forward{Hit: 1, Node: "c"}}, "", "",
			decision.ForwardEnded{Hit: 1, Ending: decision.NeverSent, Node: "c"}, 1},
		"forward after the end": {[]decision.Action{decision.Fail{Hit: 1}, decision.Forward{Hit: 1, Node: "a"}}, "", "2;0;false", nil, 0},
		"bounce":                {[]decision.Action{decision.Bounce{Hit: 1, ComeBack: 100}}, "", "1;100;false", nil, 0},
		"fail":                  {[]decision.Action{decision.Fail{Hit: 1}}, "", "2;0;false", nil, 0},
		"one answer only":       {[]decision.Action{decision.Fail{Hit: 1}, decision.Bounce{Hit: 1}}, "", "2;0;false", nil, 0},
		"answer, forward out":   {[]decision.Action{decision.Forward{Hit: 1, Node: "a"}, decision.Fail{Hit: 1}}, "forward 1 to a at a:1 until 1490", "2;0;false", nil, 1},
		"cancel":                {[]decision.Action{decision.Forward{Hit: 1, Node: "a"}, decision.Cancel{Hit: 1}}, "forward 1 to a at a:1 until 1490,recall 1", "", nil, 1},
		"cancel of none":        {[]decision.Action{decision.Cancel{Hit: 1, Forward: 3}, decision.Cancel{Hit: 9}}, "", "", nil, 1},
		"others": {[]decision.Action{decision.Vote{Build: 7, Stage: 2, Verdict: decision.VoteBack}, decision.CloseIdle{Node: "a"}, decision.Lookup{}, decision.Watch{On: true},
			decision.Tell{All: true}, decision.Log{Text: "x"}}, "vote 7 2 3,close idle a,lookup,watch", "", nil, 1},
		"probe": {[]decision.Action{decision.Probe{Node: "a"}}, "", "", decision.ProbeEnded{Node: "a", Ending: decision.NeverSent}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.hit(tc.does...)
			if did := strings.Join(r.did, ","); did != tc.did || r.answers[0] != tc.answer || len(r.open) != tc.open {
				t.Errorf("did %q, want %q; answer %q, want %q; open %d, want %d", did, tc.did, r.answers[0], tc.answer,
					len(r.open), tc.open)
			}
			last := r.module.heard[len(r.module.heard)-1]
			if diff := cmp.Diff(tc.heard, last); tc.heard != nil && diff != "" {
				t.Errorf("heard (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEndings(t *testing.T) {
	reply := &Reply{}
	for name, tc := range map[string]struct {
		end    End
		then   []decision.Action
		answer string
		ended  bool // the module is told that the hit has ended
		open   int
	}{
		"delivered":             {End{Ending: decision.Delivered, At: 1040, Reply: reply}, nil, "0;0;true", true, 0},
		"error, waits":          {End{Ending: decision.NodeError, At: 1040}, nil, "", false, 1},
		"error, given up":       {End{Ending: decision.NodeError, At: 1040}, []decision.Action{decision.Fail{Hit: 1}}, "2;0;false", false, 0},
		"full, elsewhere":       {End{Ending: decision.NodeFull, At: 1040}, []decision.Action{decision.Forward{Hit: 1, Node: "b"}}, "", false, 1},
		"timed out at the end":  {End{Ending: decision.TimedOut, At: 1040}, []decision.Action{decision.Bounce{Hit: 1}}, "1;0;false", false, 0},
		"ended before it began": {End{Ending: decision.Unreachable, At: 900}, nil, "", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.hit(decision.Forward{Hit: 1, Node: "a"})
			r.now = 1045
			load := &decision.Load{Util: 0.5}
			tc.end.Load = load
			r.sent[0].Ended(tc.end)
			msg := r.posted[0]
			r.posted = nil
			r.tell(msg, tc.then...)
			want := decision.ForwardEnded{Hit: 1, Ending: tc.end.Ending, Node: "a", After: max(0, tc.end.At-1000), HitEnded: tc.ended,
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
	r.hit(decision.Forward{Hit: 1, Node: "a", SendBy: 1200}, decision.Forward{Hit: 1, Node: "b"})
	if one, two := r.sent[0].SendBy, r.sent[1].SendBy; one != 1200 || two != 0 {
		t.Errorf("to be sent by %g and %g", one, two)
	}
}

// A client that goes away ends its hit, and late endings of its forwards still reach the module.
func TestGone(t *testing.T) {
	r := newRig()
	h := r.hit(decision.Forward{Hit: 1, Node: "a"})
	r.tell(hitGone{h}, decision.Cancel{Hit: 1})
	r.tell(ended{1, 0, End{Ending: decision.Recalled, At: 1001}})
	r.tell(hitGone{h})
	heard := r.module.heard
	if len(heard) != 3 {
		t.Fatalf("heard %d events: %v", len(heard), heard)
	}
	_, gone := heard[1].(decision.HitGone)
	_, ended := heard[2].(decision.ForwardEnded)
	if !gone || !ended || len(r.open) != 0 || r.answers[0] != "" {
		t.Errorf("heard %T, %T; open %d; answers %q", heard[1], heard[2], len(r.open), r.answers)
	}
}

func TestList(t *testing.T) {
	for name, tc := range map[string]struct {
		list List
		did  string
		left int
	}{
		"same":    {List{How: decision.Changes, Entries: []Entry{entry("a", "a:1", decision.Up)}}, "", 2},
		"address": {List{How: decision.Changes, Entries: []Entry{entry("a", "a:2", decision.Up)}}, "moved a a:2", 2},
		"started": {List{How: decision.Changes, Entries: []Entry{{decision.Node{ID: "a", Started: 7}, "a:1"}}}, "moved a a:1", 2},
		"build":   {List{How: decision.Changes, Entries: []Entry{{decision.Node{ID: "a", Build: 7}, "a:1"}}}, "moved a a:1", 2},
		"drains":  {List{How: decision.Changes, Entries: []Entry{entry("a", "a:1", decision.Draining)}}, "moved a ", 2},
		"twice": {List{How: decision.Changes, Entries: []Entry{entry("a", "a:2", decision.Up), entry("a", "a:2", decision.Draining)}},
			"moved a a:2,moved a ", 2},
		"gone":        {List{How: decision.Changes, Entries: []Entry{entry("a", "", decision.Removed)}}, "moved a ", 1},
		"gone twice":  {List{How: decision.Changes, Entries: []Entry{entry("c", "", decision.Removed)}}, "", 2},
		"new":         {List{How: decision.Changes, Entries: []Entry{entry("c", "c:1", decision.Up)}}, "moved c c:1", 3},
		"whole":       {List{How: decision.Whole, Entries: []Entry{entry("a", "a:1", decision.Up)}}, "moved b ", 1},
		"whole, none": {List{How: decision.Remembered, Stamp: 4}, "moved a ,moved b ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(listTold{tc.list})
			did := strings.Join(r.did, ",")
			if did == "moved b ,moved a " { // of a map
				did = "moved a ,moved b "
			}
			got := r.module.heard[0].(decision.NodesChanged)
			if did != tc.did || len(r.list) != tc.left || got.How != tc.list.How || got.Stamp != tc.list.Stamp ||
				len(got.Nodes) != len(tc.list.Entries) {
				t.Errorf("did %q, want %q; %d nodes left, want %d; heard %+v", did, tc.did, len(r.list), tc.left, got)
			}
			r.hit(decision.Forward{Hit: 1, Node: "a"})
			if sends := len(r.sent) == 1; sends != (r.list["a"].Address != "") {
				t.Errorf("a takes a forward: %v, at %q", sends, r.list["a"].Address)
			}
		})
	}
}

// A lower cap on a build calls back what is not yet sent to its nodes; no other news does.
func TestLowerCap(t *testing.T) {
	for name, tc := range map[string]struct {
		news decision.StageNews
		did  string
	}{
		"lower":          {decision.StageNews{Build: 7, Phase: decision.OnTrial, Cap: 0.1}, "unsend b"},
		"sent back":      {decision.StageNews{Build: 7, Phase: decision.GoingBack}, "unsend b"},
		"the same":       {decision.StageNews{Build: 7, Phase: decision.OnTrial, Cap: 0.25}, ""},
		"higher":         {decision.StageNews{Build: 7, Phase: decision.OnTrial, Cap: 0.6}, ""},
		"another build":  {decision.StageNews{Build: 8, Phase: decision.OnTrial, Cap: 0.1}, ""},
		"a vote's fault": {decision.StageNews{ToVote: true, VoteFate: decision.VoteTimeout}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(listTold{List{How: decision.Changes, Entries: []Entry{{decision.Node{ID: "b", Build: 7}, "b:1"},
				{decision.Node{ID: "c", Build: 7, State: decision.Draining}, "c:1"}}}})
			r.tell(told{decision.StageNews{Build: 7, Phase: decision.OnTrial, Cap: 0.25}})
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
		key    decision.Key
		node   decision.NodeID
		ending decision.Ending
		did    string
	}{
		"newer build":   {"k", "new", decision.Delivered, "unsend old"},
		"not answered":  {"k", "new", decision.NodeError, ""},
		"another key":   {"l", "new", decision.Delivered, ""},
		"no key":        {"", "new", decision.Delivered, ""},
		"the same one":  {"k", "old", decision.Delivered, ""},
		"earlier build": {"k", "oldest", decision.Delivered, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.tell(listTold{List{How: decision.Whole, Entries: []Entry{{decision.Node{ID: "oldest", Build: 6}, "x:1"},
				{decision.Node{ID: "old", Build: 7}, "o:1"}, {decision.Node{ID: "new", Build: 8}, "n:1"}}}})
			take := func(id decision.HitID, key decision.Key, node decision.NodeID) {
				h := &Hit{Group: "read", Key: key, Left: 500, Taken: 990, Request: &Request{}, Answer: func(Answer) {}}
				r.tell(hitTaken{h}, decision.Forward{Hit: id, Node: node})
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
	r.hit(decision.WakeAt{Token: 2, At: 1020}, decision.WakeAt{Token: 1, At: 1010}, decision.WakeAt{Token: 3, At: 1030})
	for _, tc := range []struct {
		now   decision.Millis
		heard int
		next  decision.Millis
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
			r.tell(told{decision.StageNews{Age: 5, Build: 7, ToVote: true}})
			r.hit(decision.Forward{Hit: 1, Node: "a"}, decision.WakeAt{At: 1010})
			r.now = 1100
			r.module.panic = true
			old := r.core.start
			r.core.start = func(seed uint64) module {
				m := old(seed).(*script)
				m.panic = twice && r.started == 2
				return m
			}
			r.tell(told{decision.Flagged{}})
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
			r.tell(ended{1, 0, End{Ending: decision.Recalled}})
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
	m := New(decision.Settings{Groups: []decision.PathGroup{{Target: 400}}, Caps: []float64{1}, Stages: []float64{1}}, 1, clock.New(), log)
	m.Hit(&Hit{Group: "1"})
	m.Told(decision.Flagged{Node: "2"})
	m.Hit(&Hit{Group: "3"})
	m.List(List{Stamp: 4})
	got := ""
	for msg, _ := m.next(); msg.message != nil; msg, _ = m.next() {
		switch msg := msg.message.(type) {
		case hitTaken:
			got += string(msg.hit.Group)
		case told:
			got += string(msg.event.(decision.Flagged).Node)
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
	at   decision.Millis
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
	return func() { w.end(p, decision.Recalled) }
}

func (w *world) end(p pending, e decision.Ending) {
	if *p.done {
		return
	}
	*p.done = true
	w.out[p.f.Request]--
	if p.f.Request.Method == "POST" && e != decision.NodeFull && e != decision.Unreachable {
		w.ran[p.f.Request] = true
	}
	p.f.Ended(End{Ending: e, At: w.now, Reply: &Reply{}})
}

// Over a day on which nodes fail in all ways, and the module panics once, every hit gets one answer in time, none
// runs twice, and nothing is left at the end.
func TestDay(t *testing.T) {
	set := decision.Settings{Marshals: 1, Zone: "z", MaxForwards: 4, MayCancel: true, ColdFrom: 0.4, OverFactor: 3, WarmAfter: 4000,
		OverFor: 1000, Caps: []float64{1}, Stages: []float64{1}, Free: 1, VoteLife: 6000, VoteWait: 800, MaxComeBack: 100,
		Groups: []decision.PathGroup{{Name: "read", Target: 200, Effect: decision.Repeatable}, {Name: "pay", Target: 200}}}
	w := &world{rig: newRig(), random: rand.New(rand.NewPCG(1, 2)), ran: map[*Request]bool{}, out: map[*Request]int{}}
	starts := 0
	w.core.start = func(seed uint64) module { starts++; return decision.New(set, seed) }
	w.core.module, w.core.nodes = w.core.start(1), w
	w.tell(listTold{List{How: decision.Whole, Entries: []Entry{entry("a", "a:1", decision.Up), entry("b", "b:1", decision.Up)}}})
	endings := []decision.Ending{decision.NodeError, decision.NodeFull, decision.Unreachable, decision.Broken, decision.TimedOut}
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
			w.give(w.now, decision.Flagged{})
		}
		for _, p := range slices.Clone(w.due) {
			if p.at <= w.now && !*p.done {
				ending := decision.Delivered
				if p.at >= p.f.Until {
					ending = decision.TimedOut
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
