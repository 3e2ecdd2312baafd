package engine

// Open requests and their attempts.

import "ottershed/decision"

// requestTable holds the open requests. A request is removed when it has its result and all its attempts have ended.
type requestTable struct {
	lastID decision.RequestID
	open   map[decision.RequestID]*openRequest
}

// openRequest is a request that waits for its result or for the end of its attempts.
type openRequest struct {
	request    *ClientRequest
	deadline   decision.Millis // time at which the client gives up
	finished   bool            // the result was sent, or the client has disconnected
	mayHaveRun bool            // an attempt may have run
	ended      bool            // OnEnd was called
	attempts   []attempt       // in the order of their start; decision.AttemptEnded.Attempt is the index
	inFlight   int             // attempts that have not ended
}

type attempt struct {
	endpoint  decision.EndpointID
	startedAt decision.Millis
	cancel    func()
	ended     bool
}

// add adds a request under an id that no other open request has.
func (r *requestTable) add(request *ClientRequest, deadline decision.Millis) {
	r.lastID++
	for r.open[r.lastID] != nil { // ids wrap around
		r.lastID++
	}
	request.id = r.lastID
	r.open[request.id] = &openRequest{request: request, deadline: deadline}
}

// endIfDone calls OnEnd of a request that has its result and no attempt in flight.
func (o *openRequest) endIfDone() {
	if o.ended || !o.finished || o.inFlight > 0 {
		return
	}
	o.ended = true
	if o.request.OnEnd != nil {
		o.request.OnEnd(o.mayHaveRun)
	}
}

// removeIfDone removes a request that has its result and no attempt in flight.
func (r *requestTable) removeIfDone(id decision.RequestID, open *openRequest) {
	open.endIfDone()
	if open.ended {
		delete(r.open, id)
	}
}

func (c *core) handleRequest(now decision.Millis, request *ClientRequest) {
	remaining := request.Remaining - (now - request.ReceivedAt)
	c.stats.counters.Requests++
	c.requests.add(request, now+remaining)
	c.trace.received(request, remaining)
	c.dispatch(now, decision.RequestReceived{
		Request: request.id, Class: request.Class, Tenant: request.Tenant, Key: request.Key, Remaining: remaining,
		EstimatedServiceTime: request.EstimatedServiceTime, Retried: request.Retried,
	})
}

// handleDisconnect reports to the module that a client has disconnected, unless the request has its result.
func (c *core) handleDisconnect(now decision.Millis, request *ClientRequest) {
	open := c.requests.open[request.id]
	if open == nil || open.request != request || open.finished {
		return
	}
	open.finished = true
	c.stats.counters.ClientsDisconnected++
	c.trace.clientDisconnected(request, open.inFlight)
	c.dispatch(now, decision.ClientDisconnected{Request: request.id})
	c.requests.removeIfDone(request.id, open)
}

// startAttempt starts an attempt, unless the request was removed. An attempt that cannot be sent ends with NotSent,
// reported through the queue like any other outcome.
func (c *core) startAttempt(now decision.Millis, start decision.StartAttempt) {
	open := c.requests.open[start.Request]
	if open == nil {
		return
	}
	c.stats.counters.Attempts++
	index := len(open.attempts)
	open.attempts = append(open.attempts, attempt{endpoint: start.Endpoint, startedAt: now})
	open.inFlight++
	c.trace.attemptStarted(open.request, index, start.Endpoint)
	onResult := func(result AttemptResult) { c.post(attemptEnded{start.Request, index, result}) }
	address := c.endpoints[start.Endpoint].Address
	if address == "" || open.finished || now >= open.deadline {
		open.attempts[index].cancel = func() {}
		onResult(AttemptResult{Outcome: decision.NotSent, EndedAt: now})
		return
	}
	deadline := open.deadline
	if start.Timeout > 0 {
		deadline = min(deadline, now+start.Timeout)
	}
	open.attempts[index].cancel = c.upstream.StartAttempt(Attempt{
		Endpoint: start.Endpoint, Address: address, Request: open.request.Request, MaySend: open.request.MaySend,
		SendBy: start.SendBy, Deadline: deadline, OnResult: onResult,
	})
}

// cancelAttempt cancels an attempt, unless it has ended or its request was removed.
func (c *core) cancelAttempt(action decision.Cancel) {
	open := c.requests.open[action.Request]
	if open == nil || action.Attempt >= len(open.attempts) {
		return
	}
	if canceled := open.attempts[action.Attempt]; !canceled.ended {
		c.trace.attemptCanceled(open.request, action.Attempt)
		canceled.cancel()
	}
}

// handleAttemptEnd handles the outcome of an attempt. The first successful response is the request's result, unless the
// request already has one. The outcome of an attempt that has already ended, or whose request was removed, is ignored.
func (c *core) handleAttemptEnd(now decision.Millis, msg attemptEnded) {
	open := c.requests.open[msg.id]
	if open == nil || msg.attempt >= len(open.attempts) || open.attempts[msg.attempt].ended {
		return // a restart of the module has ended the request
	}
	ended := &open.attempts[msg.attempt]
	ended.ended = true
	ended.cancel = nil
	open.inFlight--
	outcome := msg.result.Outcome
	open.mayHaveRun = open.mayHaveRun || outcome.MayHaveRun()
	c.stats.countOutcome(outcome)
	if outcome == decision.Succeeded && !open.finished {
		c.respond(now, open, Result{Kind: Succeeded, Response: msg.result.Response})
	}
	event := decision.AttemptEnded{
		Request: msg.id, Outcome: outcome, Endpoint: ended.endpoint, Attempt: msg.attempt,
		After: max(0, msg.result.EndedAt-ended.startedAt), RequestEnded: open.finished, Load: msg.result.Load,
	}
	c.trace.attemptEnded(open.request, msg.attempt, event)
	c.dispatch(now, event)
	if outcome == decision.Succeeded && open.request.Key != "" {
		c.cancelUnsentForKey(open.request.Key, c.endpoints[ended.endpoint].Build)
	}
	c.requests.removeIfDone(msg.id, open)
}

// cancelUnsentForKey cancels unsent attempts of a sticky key to endpoints of earlier builds than the one that has just
// responded. Otherwise an attempt that still waits for its connection would take the key back to an earlier build.
func (c *core) cancelUnsentForKey(key decision.Key, build decision.Build) {
	for _, open := range c.requests.open {
		if open.request.Key != key {
			continue
		}
		for _, other := range open.attempts {
			target := c.endpoints[other.endpoint]
			if !other.ended && target.Build < build && target.Address != "" {
				c.upstream.CancelUnsent(other.endpoint)
			}
		}
	}
}

// finish ends a request with a result that has no response. It ignores a request that was removed.
func (c *core) finish(now decision.Millis, id decision.RequestID, result Result) {
	if open := c.requests.open[id]; open != nil {
		c.respond(now, open, result)
		c.requests.removeIfDone(id, open)
	}
}

// respond sends a request's result, unless the request has one or its client has disconnected.
func (c *core) respond(now decision.Millis, open *openRequest, result Result) {
	if open.finished {
		return
	}
	open.finished = true
	c.stats.countResult(now, result.Kind, open.request)
	c.trace.responded(open.request, result.Kind)
	open.endIfDone()
	open.request.Respond(result)
}
