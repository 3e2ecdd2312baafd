package decision

import (
	"fmt"
	"testing"
)

// rig plays events to one marshal and keeps what it answered.
type rig struct {
	t    *testing.T
	m    *Marshal
	now  Millis
	acts []Action
	seen int // actions that answer has looked at
	next HitID
}

// start makes a marshal in zone a with four nodes: a1 and b1 on build 7, a2 and b2 on build 8.
func start(t *testing.T, news StageNews, change func(*Settings)) *rig {
	s := Settings{Marshals: 2, Zone: "a", Granularity: 5, MaxForwards: 4, MayCancel: true,
		MaxComeBack: 300, ColdFrom: 0.4, OverFactor: 2.5, WarmAfter: 4000, OverFor: 1000,
		Caps: []float64{0.1, 0.5, 1}, Stages: []float64{0.1, 0.4, 1}, Free: 1, VoteLife: 6000, VoteWait: 1000,
		Groups: []PathGroup{{Name: "read", Target: 400, Effect: Repeatable},
			{Name: "mark", Target: 400, Effect: Tagged, Scope: ScopeZone, Remember: 1000},
			{Name: "pay", Target: 400, Effect: Mutating}}}
	if change != nil {
		change(&s)
	}
	r := &rig{t: t, m: New(s, 1), now: 10000}
	r.do(NodesChanged{How: Remembered,
		Nodes: []Node{node4("a1", 7), node4("a2", 8), node4("b1", 7), node4("b2", 8)}})
	if news.Build > 0 {
		r.do(news)
	}
	r.wait(r.m.period)
	return r
}

func node4(id NodeID, b Build) Node {
	return Node{ID: id, Zone: Zone(id[:1]), Cell: Cell(id[0]), Build: b, Kind: "k", Units: 1}
}

func (r *rig) do(e Event) []Action {
	got := r.m.Handle(r.now, e)
	r.acts = append(r.acts, got...)
	return got
}

// wait lets time pass in looks around.
func (r *rig) wait(span Millis) {
	for end := r.now + span; r.now < end; {
		r.now += r.m.period
		r.do(TimerDue{})
	}
}

// hit takes a hit and returns its id and the node that it went to, if any.
func (r *rig) hit(g GroupName, key Key) (HitID, NodeID) {
	r.next++
	r.do(HitTaken{Hit: r.next, Group: g, Key: key, TTL: 1000})
	return r.next, r.sent(r.next, 0)
}

// sent is the node of a hit's forward by its number.
func (r *rig) sent(h HitID, forward int) NodeID {
	for _, a := range r.acts {
		if f, ok := a.(Forward); ok && f.Hit == h {
			if forward == 0 {
				return f.Node
			}
			forward--
		}
	}
	return ""
}

func (r *rig) end(h HitID, forward int, how Ending, after Millis) {
	r.do(ForwardEnded{Hit: h, Forward: forward, Ending: how, Node: r.sent(h, forward), After: after,
		HitEnded: how == Delivered})
}

// answer delivers what was forwarded since it was last called and counts the forwards to a node.
func (r *rig) answer(node NodeID, after Millis) (n int) {
	for ; r.seen < len(r.acts); r.seen++ {
		if f, ok := r.acts[r.seen].(Forward); ok {
			r.do(ForwardEnded{Hit: f.Hit, Ending: Delivered, Node: f.Node, After: after, HitEnded: true})
			if f.Node == node {
				n++
			}
		}
	}
	return n
}

// answers counts the final answers that the marshal gave a hit, and names the last.
func (r *rig) answers(h HitID) (n int, last string) {
	for _, a := range r.acts {
		switch a := a.(type) {
		case Bounce:
			if a.Hit == h {
				n, last = n+1, "bounce"
			}
		case Fail:
			if a.Hit == h {
				n, last = n+1, "fail"
			}
		}
	}
	return n, last
}

// votes are the verdicts cast, in order.
func (r *rig) votes() string {
	out := ""
	for _, a := range r.acts {
		if v, ok := a.(Vote); ok {
			out += fmt.Sprint(int(v.Verdict))
		}
	}
	return out
}

func trial(stage int, cap float64) StageNews {
	return StageNews{Build: 8, Phase: OnTrial, Stage: stage, Cap: cap}
}
