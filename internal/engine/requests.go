package engine

// Open requests and their attempts.

import "ottershed/decision"

// requestTable holds the open requests. One leaves it when it has its result and all its attempts have ended.
type requestTable struct {
	lastID decision.RequestID
	open   map[decision.RequestID]*openRequest
}

// openRequest is a request that waits for its result or for the end of attempts.
type openRequest struct {
	request  *ClientRequest
	deadline decision.Millis // when the client gives up
	finished bool            // it has its result, or its client has left
	attempts []attempt       // by their index in the module's events
	inFlight int             // attempts that have not ended
}

type attempt struct {
	endpoint  decision.EndpointID
	startedAt decision.Millis
	cancel    func()
	ended     bool
}

// add gives a request an id that no open request has, and opens it.
func (r *requestTable) add(request *ClientRequest, deadline decision.Millis) {
	r.lastID++
	for r.open[r.lastID] != nil { // ids wrap around
		r.lastID++
	}
	request.id = r.lastID
	r.open[request.id] = &openRequest{request: request, deadline: deadline}
}

// removeIfDone drops a request that has its result and has no attempts in flight.
func (r *requestTable) removeIfDone(id decision.RequestID, open *openRequest) {
	if open.finished && open.inFlight == 0 {
		delete(r.open, id)
	}
}

func (c *core) handleRequest(now decision.Millis, request *ClientRequest) {
	remaining := request.Remaining - (now - request.ReceivedAt)
	c.stats.counters.Requests++
	c.requests.add(request, now+remaining)
	c.dispatch(now, decision.RequestReceived{
		Request: request.id, Class: request.Class, Tenant: request.Tenant, Key: request.Key, TTL: remaining,
		Hint: request.Hint, Retried: request.Retried,
	})
}

func (c *core) handleDisconnect(now decision.Millis, request *ClientRequest) {
	open := c.requests.open[request.id]
	if open == nil || open.request != request || open.finished {
		return
	}
	open.finished = true
	c.stats.counters.ClientsDisconnected++
	c.dispatch(now, decision.ClientDisconnected{Request: request.id})
	c.requests.removeIfDone(request.id, open)
}

// startAttempt starts an attempt. One that cannot be sent ends as not sent, through the queue like any other.
func (c *core) startAttempt(now decision.Millis, start decision.StartAttempt) {
	open := c.requests.open[start.Request]
	if open == nil {
		return
	}
	c.stats.counters.Attempts++
	index := len(open.attempts)
	open.attempts = append(open.attempts, attempt{endpoint: start.Endpoint, startedAt: now})
	open.inFlight++
	onEnd := func(result AttemptResult) { c.post(attemptEnded{start.Request, index, result}) }
	address := c.endpoints[start.Endpoint].Address
	if address == "" || open.finished || now >= open.deadline {
		open.attempts[index].cancel = func() {}
		onEnd(AttemptResult{Outcome: decision.NotSent, EndedAt: now})
		return
	}
	deadline := open.deadline
	if start.Timeout > 0 {
		deadline = min(deadline, now+start.Timeout)
	}
	open.attempts[index].cancel = c.upstream.StartAttempt(Attempt{
		Endpoint: start.Endpoint, Address: address, Request: open.request.Request,
		SendBy: start.SendBy, Deadline: deadline, OnEnd: onEnd,
	})
}

func (c *core) cancelAttempt(action decision.Cancel) {
	open := c.requests.open[action.Request]
	if open == nil || action.Attempt >= len(open.attempts) {
		return
	}
	if canceled := open.attempts[action.Attempt]; !canceled.ended {
		canceled.cancel()
	}
}

// handleAttemptEnd takes the outcome of an attempt. The first one that succeeded is the request's result.
func (c *core) handleAttemptEnd(now decision.Millis, msg attemptEnded) {
	open := c.requests.open[msg.id]
	if open == nil || msg.attempt >= len(open.attempts) || open.attempts[msg.attempt].ended {
		return // of a request that a restart of the module has ended
	}
	ended := &open.attempts[msg.attempt]
	ended.ended = true
	ended.cancel = nil
	open.inFlight--
	outcome := msg.result.Outcome
	c.stats.countOutcome(outcome)
	if outcome == decision.Succeeded && !open.finished {
		c.respond(now, open, Result{Kind: Succeeded, Response: msg.result.Response})
	}
	c.dispatch(now, decision.AttemptEnded{
		Request: msg.id, Outcome: outcome, Endpoint: ended.endpoint, Attempt: msg.attempt,
		After: max(0, msg.result.EndedAt-ended.startedAt), RequestEnded: open.finished, Load: msg.result.Load,
	})
	if outcome == decision.Succeeded && open.request.Key != "" {
		c.cancelUnsentForKey(open.request.Key, c.endpoints[ended.endpoint].Build)
	}
	c.requests.removeIfDone(msg.id, open)
}

// cancelUnsentForKey ends attempts of a sticky key that are not yet sent, where they go to builds earlier than the
// one that has just responded. Over a connection that is established late, such an attempt would take the key back
// to an earlier build.
func (c *core) cancelUnsentForKey(key decision.Key, build decision.Build) {
	for _, open := range c.requests.open {
		if open.request.Key != key {
			continue
		}
		for _, other := range open.attempts {
			to := c.endpoints[other.endpoint]
			if !other.ended && to.Build < build && to.Address != "" {
				c.upstream.CancelUnsent(other.endpoint)
			}
		}
	}
}

// finish gives an open request a result other than a response.
func (c *core) finish(now decision.Millis, id decision.RequestID, result Result) {
	if open := c.requests.open[id]; open != nil {
		c.respond(now, open, result)
		c.requests.removeIfDone(id, open)
	}
}

// respond gives a request its result, unless it has one or its client has left.
func (c *core) respond(now decision.Millis, open *openRequest, result Result) {
	if open.finished {
		return
	}
	open.finished = true
	c.stats.countResult(now, result.Kind, open.request)
	open.request.Respond(result)
}
