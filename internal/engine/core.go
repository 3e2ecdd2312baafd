package engine

import (
	"container/heap"
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// core is the module with its clock's timers and the open hits. It does no I/O and starts no goroutine: it takes
// messages in order with the time, and answers through the interfaces.
type core struct {
	start     func(seed uint64) module
	seed      uint64
	module    module
	nodes     Nodes
	desk      Desk
	discovery Discovery
	log       logrus.FieldLogger

	last      decision.HitID
	open      map[decision.HitID]*open  // hits; the final answer with the last forward's ending empties it
	list      map[decision.NodeID]Entry // nodes; discovery empties it
	news      *decision.StageNews       // as last told, for a new start of the module
	settings  *decision.SettingsChanged // the same: the newest figures, where they came after the start
	newsAt    decision.Millis           // when it was told
	timers    timers                    // of the module; they empty it by coming due
	follow    []decision.Event          // events that actions caused, for after these actions
	post      func(message)             // to the queue
	restarted decision.Millis           // when the module last started anew after a panic
	counts    Figures
	targets   map[decision.GroupName]decision.Millis // target latencies, for counting alone
}

// module is the decision module.
type module interface {
	Handle(now decision.Millis, event decision.Event) []decision.Action
}

// witness is a module that tells what it has seen.
type witness interface {
	Evidence() (decision.Evidence, bool)
}

// open is a hit that waits for its final answer or for endings of its forwards.
type open struct {
	hit      *Hit
	ends     decision.Millis
	answered bool
	forwards []forward
	out      int
}

type forward struct {
	node   decision.NodeID
	at     decision.Millis
	recall func()
	over   bool
}

type timer struct {
	at    decision.Millis
	token decision.Token
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func newCore(start func(seed uint64) module, seed uint64, post func(message), log logrus.FieldLogger) *core {
	return &core{start: start, seed: seed, module: start(seed), log: log, post: post,
		open: map[decision.HitID]*open{}, list: map[decision.NodeID]Entry{}, restarted: -1}
}

// message is what reaches the owner through the queue; each concrete type below is one kind.
type message interface{ message() }

type (
	hitTaken struct{ hit *Hit }
	hitGone  struct{ hit *Hit }
	ended    struct {
		id  decision.HitID
		no  int
		end End
	}
	listTold struct{ list List }
	told     struct{ event decision.Event } // from the desk

	evidenceAsked struct{ reply chan<- *decision.Evidence } // it has room
)

func (hitTaken) message() {}
func (hitGone) message()  {}
func (ended) message()    {}
func (listTold) message() {}
func (told) message()     {}

func (evidenceAsked) message() {}

// handle takes one message.
func (c *core) handle(now decision.Millis, msg message) {
	switch msg := msg.(type) {
	case hitTaken:
		c.take(now, msg.hit)
	case hitGone:
		c.gone(now, msg.hit)
	case ended:
		c.ended(now, msg)
	case listTold:
		c.listTold(now, msg.list)
	case evidenceAsked:
		var found *decision.Evidence
		if w, ok := c.module.(witness); ok {
			if e, any := w.Evidence(); any {
				found = &e
			}
		}
		msg.reply <- found
	case figuresAsked:
		msg.reply <- c.figures()
	case told:
		if e, ok := msg.event.(decision.StageNews); ok {
			c.log.WithFields(logrus.Fields{"build": e.Build, "stage": e.Stage, "phase": e.Phase, "cap": e.Cap, "age_ms": e.Age,
				"to_vote": e.ToVote, "fate": e.VoteFate}).Debug("news")
			if e.VoteFate == decision.VoteOK {
				lower := c.news != nil && e.Build == c.news.Build && e.Cap < c.news.Cap
				if c.news, c.newsAt = &e, now; lower {
					c.unsend(e.Build)
				}
			}
		}
		if e, ok := msg.event.(decision.SettingsChanged); ok {
			c.settings = &e
		}
		c.give(now, msg.event)
	}
}

// nextTimer tells when the module wants to be woken next, if at all.
func (c *core) nextTimer() (at decision.Millis, ok bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

// due gives the module the timers that are due.
func (c *core) due(now decision.Millis) {
	for at, ok := c.nextTimer(); ok && at <= now; at, ok = c.nextTimer() {
		t := heap.Pop(&c.timers).(timer)
		c.give(now, decision.TimerDue{Token: t.token})
	}
}

func (c *core) take(now decision.Millis, hit *Hit) {
	left := hit.Left - (now - hit.Taken)
	c.counts.Taken++
	c.last++
	for c.open[c.last] != nil { // ids come round again
		c.last++
	}
	hit.id = c.last
	c.open[hit.id] = &open{hit: hit, ends: now + left}
	c.give(now, decision.HitTaken{Hit: hit.id, Group: hit.Group, Tenant: hit.Tenant, Key: hit.Key, TTL: left,
		Hint: hit.Hint, Retried: hit.Retried})
}

func (c *core) gone(now decision.Millis, hit *Hit) {
	o := c.open[hit.id]
	if o == nil || o.hit != hit || o.answered {
		return
	}
	o.answered = true
	c.counts.Gone++
	c.give(now, decision.HitGone{Hit: hit.id})
	c.forget(hit.id, o)
}

// ended takes the ending of a forward; the first delivery is the final answer.
func (c *core) ended(now decision.Millis, msg ended) {
	o := c.open[msg.id]
	if o == nil || msg.no >= len(o.forwards) || o.forwards[msg.no].over { // of a hit that a panic ended
		return
	}
	f := &o.forwards[msg.no]
	f.over, f.recall = true, nil
	o.out--
	c.counts.ended(msg.end.Ending)
	if msg.end.Ending == decision.Delivered && !o.answered {
		c.answer(now, o, Answer{Kind: Delivered, Reply: msg.end.Reply})
	}
	c.give(now, decision.ForwardEnded{Hit: msg.id, Ending: msg.end.Ending, Node: f.node, Forward: msg.no,
		After: max(0, msg.end.At-f.at), HitEnded: o.answered, Load: msg.end.Load})
	if msg.end.Ending == decision.Delivered && o.hit.Key != "" {
		c.unsendKey(o.hit.Key, c.list[f.node].Build)
	}
	c.forget(msg.id, o)
}

// unsendKey calls back what was decided for a key, for builds before the one that has answered it now, and is not yet
// sent. Danger: where keys stay with the newer build, a connection that comes up late would carry one back.
func (c *core) unsendKey(key decision.Key, build decision.Build) {
	for _, o := range c.open {
		if o.hit.Key != key {
			continue
		}
		for _, f := range o.forwards {
			if e := c.list[f.node]; !f.over && e.Build < build && e.Address != "" {
				c.nodes.Unsend(f.node)
			}
		}
	}
}

// answer gives a hit its final answer, once.
func (c *core) answer(now decision.Millis, o *open, a Answer) {
	if !o.answered {
		o.answered = true
		target, known := c.targets[o.hit.Group]
		c.counts.answered(a, known && now > o.hit.Taken+target)
		o.hit.Answer(a)
	}
}

// forget drops a hit that owes and expects nothing any more.
func (c *core) forget(id decision.HitID, o *open) {
	if o.answered && o.out == 0 {
		delete(c.open, id)
	}
}

func (c *core) listTold(now decision.Millis, list List) {
	c.log.WithFields(logrus.Fields{"how": list.How, "index": list.Stamp, "entries": len(list.Entries)}).Debug("list")
	event := decision.NodesChanged{How: list.How, Stamp: list.Stamp}
	named := map[decision.NodeID]bool{}
	for _, e := range list.Entries {
		event.Nodes = append(event.Nodes, e.Node)
		named[e.ID] = true
		if e.State == decision.Removed {
			c.removed(e.ID)
			continue
		}
		if e.State == decision.Draining {
			e.Address = "" // nothing new goes there
		}
		// Danger: a node that started anew is another machine; kept connections to the one before are reset, or silent.
		if was := c.list[e.ID]; was.Address != e.Address || was.Started != e.Started || was.Build != e.Build {
			c.nodes.Moved(e.ID, e.Address)
		}
		c.list[e.ID] = e
	}
	if list.How != decision.Changes && list.How != decision.ListRefused {
		for id := range c.list {
			if !named[id] {
				c.removed(id)
			}
		}
	}
	c.give(now, event)
}

// unsend calls back what was decided for a build and is not yet sent. Danger: a lower cap binds after the grace for
// drains, and where a connection may take longer than that to come up, forwards of the old cap would break the new one.
func (c *core) unsend(build decision.Build) {
	for id, e := range c.list {
		if e.Build == build && e.Address != "" {
			c.nodes.Unsend(id)
		}
	}
}

func (c *core) removed(id decision.NodeID) {
	if _, known := c.list[id]; known {
		delete(c.list, id)
		c.nodes.Moved(id, "")
	}
}

// give hands the module an event, does what it returns, and then what that caused.
func (c *core) give(now decision.Millis, event decision.Event) {
	for {
		c.perform(now, c.ask(now, event))
		if len(c.follow) == 0 {
			return
		}
		event, c.follow = c.follow[0], c.follow[1:]
	}
}

// ask calls the module. Danger: a panic there would take all open hits with it. So they end as errored, and the
// module starts anew with what was last told; what runs at nodes is never sent again by it.
func (c *core) ask(now decision.Millis, event decision.Event) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{"panic": fmt.Sprint(p), "event": eventName(event),
				"open": len(c.open)}).Errorf("module panicked, starts anew\n%s", debug.Stack())
			actions = nil
			c.restart(now)
		}
	}()
	return c.module.Handle(now, event)
}

// restart ends all open hits as errored and starts the module anew.
func (c *core) restart(now decision.Millis) {
	for id, o := range c.open {
		c.answer(now, o, Answer{Kind: Errored})
		for _, f := range o.forwards {
			if !f.over {
				f.recall()
			}
		}
		c.forget(id, o)
	}
	c.timers, c.follow = nil, nil
	c.seed++
	c.module = c.start(c.seed)
	again := c.restarted == now // Danger: what it is told anew may be what it panics at
	if c.restarted = now; again {
		return
	}
	if c.settings != nil {
		c.follow = append(c.follow, *c.settings)
	}
	known := decision.NodesChanged{How: decision.Remembered}
	for _, e := range c.list {
		known.Nodes = append(known.Nodes, e.Node)
	}
	c.follow = append(c.follow, known)
	if c.news != nil {
		news := *c.news
		news.Age, news.ToVote = news.Age+now-c.newsAt, false
		c.follow = append(c.follow, news)
	}
}

// perform does what the module wants done.
func (c *core) perform(now decision.Millis, actions []decision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decision.Forward:
			c.forward(now, a)
		case decision.Bounce:
			c.final(now, a.Hit, Answer{Kind: Bounced, ComeBack: a.ComeBack})
		case decision.Fail:
			c.final(now, a.Hit, Answer{Kind: Errored})
		case decision.Cancel:
			if o := c.open[a.Hit]; o != nil && a.Forward < len(o.forwards) && !o.forwards[a.Forward].over {
				o.forwards[a.Forward].recall()
			}
		case decision.WakeAt:
			heap.Push(&c.timers, timer{a.At, a.Token})
		case decision.CloseIdle:
			c.nodes.CloseIdle(a.Node)
		case decision.Vote:
			c.counts.Votes++
			c.log.WithFields(logrus.Fields{"build": a.Build, "stage": a.Stage, "verdict": a.Verdict}).Debug("vote")
			c.desk.Vote(a)
		case decision.Lookup:
			c.discovery.Lookup()
		case decision.Log:
			c.log.Info(a.Text)
		case decision.Watch:
			c.discovery.Watch()
		case decision.Probe: // this protocol has none
			c.counts.Probes++
			c.follow = append(c.follow, decision.ProbeEnded{Node: a.Node, Ending: decision.NeverSent})
		case decision.Tell: // nor messages between marshals
		}
	}
}

func (c *core) final(now decision.Millis, id decision.HitID, a Answer) {
	if o := c.open[id]; o != nil {
		c.answer(now, o, a)
		c.forget(id, o)
	}
}

func (c *core) forward(now decision.Millis, a decision.Forward) {
	o := c.open[a.Hit]
	if o == nil {
		return
	}
	c.counts.Forwarded++
	no := len(o.forwards)
	o.forwards = append(o.forwards, forward{node: a.Node, at: now})
	o.out++
	node := c.list[a.Node]
	if node.Address == "" || o.answered || now >= o.ends {
		o.forwards[no].recall = func() {}
		c.post(ended{a.Hit, no, End{Ending: decision.NeverSent, At: now}})
		return
	}
	until := o.ends
	if a.Timeout > 0 {
		until = min(until, now+a.Timeout)
	}
	o.forwards[no].recall = c.nodes.Forward(Forward{Node: a.Node, Address: node.Address,
		Request: o.hit.Request, SendBy: a.SendBy, Until: until,
		Ended: func(e End) { c.post(ended{a.Hit, no, e}) }})
}
