package engine

import (
	"container/heap"
	"fmt"
	"ottershed/decision"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// core is the module with its clock's timers and the open hits. It does no I/O and starts no goroutine: it takes
// messages in order with the time, and answers through the interfaces.
type core struct {
	start      func(seed uint64) module
	seed       uint64
	module     module
	upstream   Upstream
	controller Controller
	discovery  Discovery
	log        logrus.FieldLogger

	lastID          decision.RequestID
	openRequests    map[decision.RequestID]*openRequest // hits; the final answer with the last forward's ending empties it
	endpoints       map[decision.EndpointID]Endpoint    // nodes; discovery empties it
	stage           *decision.StageUpdate               // as last told, for a new start of the module
	settings        *decision.SettingsChanged           // the same: the newest figures, where they came after the start
	stageReceivedAt decision.Millis                     // when it was told
	timers          timers                              // of the module; they empty it by coming due
	followUps       []decision.Event                    // events that actions caused, for after these actions
	post            func(message)                       // to the queue
	restartedAt     decision.Millis                     // when the module last started anew after a panic
	counters        Stats
	objectives      map[decision.ClassName]decision.Millis // target latencies, for counting alone
}

// module is the decision module.
type module interface {
	Handle(now decision.Millis, event decision.Event) []decision.Action
}

// witness is a module that tells what it has seen.
type evidenceSource interface {
	Evidence() (decision.Evidence, bool)
}

// open is a hit that waits for its final answer or for endings of its forwards.
type openRequest struct {
	request  *ClientRequest
	deadline decision.Millis
	finished bool
	attempts []attempt
	inFlight int
}

type attempt struct {
	endpoint  decision.EndpointID
	startedAt decision.Millis
	cancel    func()
	ended     bool
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
	return &core{
		start: start, seed: seed, module: start(seed), log: log, post: post,
		openRequests: map[decision.RequestID]*openRequest{}, endpoints: map[decision.EndpointID]Endpoint{}, restartedAt: -1,
	}
}

// message is what reaches the owner through the queue; each concrete type below is one kind.
type message interface{ message() }

type (
	requestReceived    struct{ request *ClientRequest }
	clientDisconnected struct{ request *ClientRequest }
	attemptEnded       struct {
		id      decision.RequestID
		attempt int
		result  AttemptResult
	}
	endpointsReceived struct{ update EndpointUpdate }
	eventReceived     struct{ event decision.Event } // from the desk

	evidenceRequested struct{ reply chan<- *decision.Evidence } // it has room
)

func (requestReceived) message()    {}
func (clientDisconnected) message() {}
func (attemptEnded) message()       {}
func (endpointsReceived) message()  {}
func (eventReceived) message()      {}

func (evidenceRequested) message() {}

// handle takes one message.
func (c *core) handle(now decision.Millis, msg message) {
	switch msg := msg.(type) {
	case requestReceived:
		c.receive(now, msg.request)
	case clientDisconnected:
		c.clientDisconnected(now, msg.request)
	case attemptEnded:
		c.attemptEnded(now, msg)
	case endpointsReceived:
		c.applyEndpoints(now, msg.update)
	case evidenceRequested:
		var found *decision.Evidence
		if w, ok := c.module.(evidenceSource); ok {
			if e, any := w.Evidence(); any {
				found = &e
			}
		}
		msg.reply <- found
	case statsRequested:
		msg.reply <- c.stats()
	case eventReceived:
		if e, ok := msg.event.(decision.StageUpdate); ok {
			c.log.WithFields(logrus.Fields{
				"build": e.Build, "stage": e.Stage, "phase": e.Phase, "cap": e.ExposureCap, "age_ms": e.Age,
				"to_vote": e.IsVoteResult, "fate": e.VoteResult,
			}).Debug("news")
			if e.VoteResult == decision.VoteAccepted {
				capLowered := c.stage != nil && e.Build == c.stage.Build && e.ExposureCap < c.stage.ExposureCap
				if c.stage, c.stageReceivedAt = &e, now; capLowered {
					c.cancelUnsentForBuild(e.Build)
				}
			}
		}
		if e, ok := msg.event.(decision.SettingsChanged); ok {
			c.settings = &e
		}
		c.dispatch(now, msg.event)
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
func (c *core) fireTimers(now decision.Millis) {
	for at, ok := c.nextTimer(); ok && at <= now; at, ok = c.nextTimer() {
		t := heap.Pop(&c.timers).(timer)
		c.dispatch(now, decision.TimerFired{Token: t.token})
	}
}

func (c *core) receive(now decision.Millis, request *ClientRequest) {
	remaining := request.Remaining - (now - request.ReceivedAt)
	c.counters.Requests++
	c.lastID++
	for c.openRequests[c.lastID] != nil { // ids come round again
		c.lastID++
	}
	request.id = c.lastID
	c.openRequests[request.id] = &openRequest{request: request, deadline: now + remaining}
	c.dispatch(now, decision.RequestReceived{
		Request: request.id, Class: request.Class, Tenant: request.Tenant, Key: request.Key, TTL: remaining,
		Hint: request.Hint, Retried: request.Retried,
	})
}

func (c *core) clientDisconnected(now decision.Millis, request *ClientRequest) {
	o := c.openRequests[request.id]
	if o == nil || o.request != request || o.finished {
		return
	}
	o.finished = true
	c.counters.ClientsDisconnected++
	c.dispatch(now, decision.ClientDisconnected{Request: request.id})
	c.forgetIfDone(request.id, o)
}

// ended takes the ending of a forward; the first delivery is the final answer.
func (c *core) attemptEnded(now decision.Millis, msg attemptEnded) {
	o := c.openRequests[msg.id]
	if o == nil || msg.attempt >= len(o.attempts) || o.attempts[msg.attempt].ended { // of a hit that a panic ended
		return
	}
	f := &o.attempts[msg.attempt]
	f.ended, f.cancel = true, nil
	o.inFlight--
	c.counters.countOutcome(msg.result.Outcome)
	if msg.result.Outcome == decision.Succeeded && !o.finished {
		c.respond(now, o, Result{Kind: Succeeded, Response: msg.result.Response})
	}
	c.dispatch(now, decision.AttemptEnded{
		Request: msg.id, Outcome: msg.result.Outcome, Endpoint: f.endpoint, Attempt: msg.attempt,
		After: max(0, msg.result.EndedAt-f.startedAt), RequestEnded: o.finished, Load: msg.result.Load,
	})
	if msg.result.Outcome == decision.Succeeded && o.request.Key != "" {
		c.cancelUnsentForKey(o.request.Key, c.endpoints[f.endpoint].Build)
	}
	c.forgetIfDone(msg.id, o)
}

// unsendKey calls back what was decided for a key, for builds before the one that has answered it now, and is not yet
// sent. Danger: where keys stay with the newer build, a connection that comes up late would carry one back.
func (c *core) cancelUnsentForKey(key decision.Key, build decision.Build) {
	for _, o := range c.openRequests {
		if o.request.Key != key {
			continue
		}
		for _, f := range o.attempts {
			if e := c.endpoints[f.endpoint]; !f.ended && e.Build < build && e.Address != "" {
				c.upstream.CancelUnsent(f.endpoint)
			}
		}
	}
}

// answer gives a hit its final answer, once.
func (c *core) respond(now decision.Millis, o *openRequest, result Result) {
	if !o.finished {
		o.finished = true
		objective, known := c.objectives[o.request.Class]
		c.counters.countResult(result, known && now > o.request.ReceivedAt+objective)
		o.request.Respond(result)
	}
}

// forget drops a hit that owes and expects nothing any more.
func (c *core) forgetIfDone(id decision.RequestID, o *openRequest) {
	if o.finished && o.inFlight == 0 {
		delete(c.openRequests, id)
	}
}

func (c *core) applyEndpoints(now decision.Millis, update EndpointUpdate) {
	c.log.WithFields(logrus.Fields{"how": update.Kind, "index": update.Version, "entries": len(update.Endpoints)}).Debug("list")
	event := decision.EndpointsChanged{Kind: update.Kind, Version: update.Version}
	named := map[decision.EndpointID]bool{}
	for _, e := range update.Endpoints {
		event.Endpoints = append(event.Endpoints, e.Endpoint)
		named[e.ID] = true
		if e.State == decision.Removed {
			c.removeEndpoint(e.ID)
			continue
		}
		if e.State == decision.Draining {
			e.Address = "" // nothing new goes there
		}
		// Danger: a node that started anew is another machine; kept connections to the one before are reset, or silent.
		if was := c.endpoints[e.ID]; was.Address != e.Address || was.Started != e.Started || was.Build != e.Build {
			c.upstream.SetAddress(e.ID, e.Address)
		}
		c.endpoints[e.ID] = e
	}
	if update.Kind != decision.Delta && update.Kind != decision.PollRejected {
		for id := range c.endpoints {
			if !named[id] {
				c.removeEndpoint(id)
			}
		}
	}
	c.dispatch(now, event)
}

// unsend calls back what was decided for a build and is not yet sent. Danger: a lower cap binds after the grace for
// drains, and where a connection may take longer than that to come up, forwards of the old cap would break the new one.
func (c *core) cancelUnsentForBuild(build decision.Build) {
	for id, e := range c.endpoints {
		if e.Build == build && e.Address != "" {
			c.upstream.CancelUnsent(id)
		}
	}
}

func (c *core) removeEndpoint(id decision.EndpointID) {
	if _, known := c.endpoints[id]; known {
		delete(c.endpoints, id)
		c.upstream.SetAddress(id, "")
	}
}

// give hands the module an event, does what it returns, and then what that caused.
func (c *core) dispatch(now decision.Millis, event decision.Event) {
	for {
		c.perform(now, c.callModule(now, event))
		if len(c.followUps) == 0 {
			return
		}
		event, c.followUps = c.followUps[0], c.followUps[1:]
	}
}

// ask calls the module. Danger: a panic there would take all open hits with it. So they end as errored, and the
// module starts anew with what was last told; what runs at nodes is never sent again by it.
func (c *core) callModule(now decision.Millis, event decision.Event) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{
				"panic": fmt.Sprint(p), "event": eventName(event),
				"open": len(c.openRequests),
			}).Errorf("module panicked, starts anew\n%s", debug.Stack())
			actions = nil
			c.restart(now)
		}
	}()
	return c.module.Handle(now, event)
}

// restart ends all open hits as errored and starts the module anew.
func (c *core) restart(now decision.Millis) {
	for id, o := range c.openRequests {
		c.respond(now, o, Result{Kind: Failed})
		for _, f := range o.attempts {
			if !f.ended {
				f.cancel()
			}
		}
		c.forgetIfDone(id, o)
	}
	c.timers, c.followUps = nil, nil
	c.seed++
	c.module = c.start(c.seed)
	again := c.restartedAt == now // Danger: what it is told anew may be what it panics at
	if c.restartedAt = now; again {
		return
	}
	if c.settings != nil {
		c.followUps = append(c.followUps, *c.settings)
	}
	known := decision.EndpointsChanged{Kind: decision.CachedSnapshot}
	for _, e := range c.endpoints {
		known.Endpoints = append(known.Endpoints, e.Endpoint)
	}
	c.followUps = append(c.followUps, known)
	if c.stage != nil {
		stage := *c.stage
		stage.Age, stage.IsVoteResult = stage.Age+now-c.stageReceivedAt, false
		c.followUps = append(c.followUps, stage)
	}
}

// perform does what the module wants done.
func (c *core) perform(now decision.Millis, actions []decision.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decision.StartAttempt:
			c.startAttempt(now, a)
		case decision.Reject:
			c.finish(now, a.Request, Result{Kind: Rejected, RetryAfter: a.RetryAfter})
		case decision.Fail:
			c.finish(now, a.Request, Result{Kind: Failed})
		case decision.Cancel:
			if o := c.openRequests[a.Request]; o != nil && a.Attempt < len(o.attempts) && !o.attempts[a.Attempt].ended {
				o.attempts[a.Attempt].cancel()
			}
		case decision.WakeAt:
			heap.Push(&c.timers, timer{a.At, a.Token})
		case decision.CloseIdle:
			c.upstream.CloseIdle(a.Endpoint)
		case decision.Vote:
			c.counters.Votes++
			c.log.WithFields(logrus.Fields{"build": a.Build, "stage": a.Stage, "verdict": a.Verdict}).Debug("vote")
			c.controller.Vote(a)
		case decision.ResolveEndpoints:
			c.discovery.Resolve()
		case decision.Log:
			c.log.Info(a.Text)
		case decision.WatchEndpoints:
			c.discovery.ResumeWatch()
		case decision.StartHealthCheck: // this protocol has none
			c.counters.HealthChecks++
			c.followUps = append(c.followUps, decision.HealthCheckEnded{Endpoint: a.Endpoint, Outcome: decision.NotSent})
		case decision.SendToPeer: // nor messages between marshals
		}
	}
}

func (c *core) finish(now decision.Millis, id decision.RequestID, result Result) {
	if o := c.openRequests[id]; o != nil {
		c.respond(now, o, result)
		c.forgetIfDone(id, o)
	}
}

func (c *core) startAttempt(now decision.Millis, a decision.StartAttempt) {
	o := c.openRequests[a.Request]
	if o == nil {
		return
	}
	c.counters.Attempts++
	index := len(o.attempts)
	o.attempts = append(o.attempts, attempt{endpoint: a.Endpoint, startedAt: now})
	o.inFlight++
	endpoint := c.endpoints[a.Endpoint]
	if endpoint.Address == "" || o.finished || now >= o.deadline {
		o.attempts[index].cancel = func() {}
		c.post(attemptEnded{a.Request, index, AttemptResult{Outcome: decision.NotSent, EndedAt: now}})
		return
	}
	deadline := o.deadline
	if a.Timeout > 0 {
		deadline = min(deadline, now+a.Timeout)
	}
	o.attempts[index].cancel = c.upstream.StartAttempt(Attempt{
		Endpoint: a.Endpoint, Address: endpoint.Address,
		Request: o.request.Request, SendBy: a.SendBy, Deadline: deadline,
		OnEnd: func(e AttemptResult) { c.post(attemptEnded{a.Request, index, e}) },
	})
}
