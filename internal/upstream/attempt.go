package upstream

import (
	"context"
	"net"
	"time"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// attemptRun is an attempt in progress. It may use several connections, up to the first one on which the request may
// have run.
type attemptRun struct {
	attempt  engine.Attempt
	target   target
	deadline time.Time // without a response by then, the attempt times out
}

// acquiredConn is a connection that an attempt took from the pool or opened.
type acquiredConn struct {
	conn    *conn
	reused  bool          // taken from the idle connections
	idleFor time.Duration // how long a reused connection was idle
	sendBy  time.Time     // the request must be written by then
}

// StartAttempt starts an attempt and returns a function that cancels it. The result is passed to attempt.OnResult on
// another goroutine. A connection that the attempt abandons is closed before OnResult is called. Otherwise the next
// attempt of the request would run as a second copy beside this one.
func (p *Pool) StartAttempt(attempt engine.Attempt) (cancelAttempt func()) {
	ctx, cancel := context.WithCancel(context.Background())
	// The lookup runs on the caller's goroutine, while the endpoint list is still the one the decision was based on.
	dest := p.lookupTarget(attempt.Endpoint, attempt.Address)
	go func() {
		defer cancel()
		startedAt := time.Now()
		result := p.runAttempt(ctx, attempt, dest)
		result.EndedAt = p.clock.Now()
		p.observeOutcome(dest.endpoint, startedAt, result.Outcome)
		attempt.OnResult(result)
	}()
	return cancel
}

// runAttempt runs an attempt to its end. It switches to another connection if an idle one turns out to be dead.
func (p *Pool) runAttempt(ctx context.Context, attempt engine.Attempt, dest target) engine.AttemptResult {
	run := attemptRun{attempt, dest, p.clock.Time(attempt.Deadline)}
	for {
		result, reconnect := p.tryOnce(ctx, &run)
		if !reconnect {
			return result
		}
	}
}

// tryOnce runs an attempt over one connection: it acquires the connection, checks that the attempt may be sent, writes
// the request, reads the response, releases the connection and classifies the result. If reconnect is true, the request
// did not run and the attempt continues on another connection.
func (p *Pool) tryOnce(ctx context.Context, run *attemptRun) (result engine.AttemptResult, reconnect bool) {
	if !p.maySend(ctx, run) {
		return engine.AttemptResult{Outcome: decision.NotSent}, false
	}
	acquired, outcome := p.acquire(ctx, run)
	if acquired.conn == nil {
		return engine.AttemptResult{Outcome: outcome}, false
	}
	request := encodeRequest(run.attempt.Request, run.attempt.Deadline-p.clock.Now())
	if !p.maySend(ctx, run) {
		p.putIdle(run.attempt.Endpoint, run.target.endpoint, acquired.conn) // idle since its last use, as it was not used
		return engine.AttemptResult{Outcome: decision.NotSent}, false
	}
	acquired.sendBy = p.sendBy(run)
	_ = acquired.conn.SetReadDeadline(run.deadline) // fails only on a closed connection
	// An endpoint that receives the end of the request after sendBy may have forgotten an earlier run and run the request twice.
	_ = acquired.conn.SetWriteDeadline(acquired.sendBy)
	stopInterrupt := context.AfterFunc(ctx, acquired.conn.interrupt)
	exchanged := p.exchange(ctx, run, acquired.conn, request)
	p.release(run, acquired, exchanged, stopInterrupt)
	outcome, reconnect = run.classify(ctx, acquired, exchanged)
	return engine.AttemptResult{Outcome: outcome, Load: exchanged.load, Response: exchanged.response}, reconnect
}

// exchange writes the encoded request and reads the response.
func (p *Pool) exchange(ctx context.Context, run *attemptRun, c *conn, request []byte) exchangeResult {
	mayHaveRun, complete := c.write(request)
	if !mayHaveRun {
		return exchangeResult{outcome: decision.Unreachable}
	}
	result := c.read(ctx, run.deadline, p.timing.responseReadTimeout)
	result.reusable = result.reusable && complete
	return result
}

// release returns a connection to the pool or closes it. stopInterrupt unregisters the interruption on cancel and
// returns false if the connection was interrupted already; such a connection is closed.
func (p *Pool) release(run *attemptRun, acquired acquiredConn, result exchangeResult, stopInterrupt func() bool) {
	if acquired.reused {
		p.observeReuse(acquired.idleFor, result.mayHaveRun && result.outcome != decision.ConnectionBroken)
	}
	acquired.conn.idleSince = time.Now()
	if stopInterrupt() && result.reusable {
		p.putIdle(run.attempt.Endpoint, run.target.endpoint, acquired.conn)
	} else {
		p.closeConn(acquired.conn)
	}
}

// maySend reports whether an attempt may still be sent. It is asked before a connection is opened, and again right before the
// request is written, with nothing but that write left to do. A connection may come up just as its attempt is canceled,
// before the deadline that interrupts the connection is set. A request sent then would reach the endpoint after the
// client has its final response. The client may also have left, and the engine not know it yet.
func (p *Pool) maySend(ctx context.Context, run *attemptRun) bool {
	clientWaits := run.attempt.MaySend == nil || run.attempt.MaySend()
	return clientWaits && ctx.Err() == nil && p.targetAllowsSend(run.target) && time.Now().Before(p.sendBy(run))
}

// sendBy returns the time until which the request must be written: the attempt's SendBy if it is set, and no later than
// the deadline.
func (p *Pool) sendBy(run *attemptRun) time.Time {
	if run.attempt.SendBy <= 0 {
		return run.deadline
	}
	if sendBy := p.clock.Time(run.attempt.SendBy); sendBy.Before(run.deadline) {
		return sendBy
	}
	return run.deadline
}

// acquire takes an idle connection or opens one. Without a connection it returns the outcome of the attempt.
func (p *Pool) acquire(ctx context.Context, run *attemptRun) (acquiredConn, decision.Outcome) {
	if c := p.takeIdle(run.target); c != nil {
		return acquiredConn{conn: c, reused: true, idleFor: time.Since(c.idleSince)}, 0
	}
	c, outcome := p.connect(ctx, run)
	return acquiredConn{conn: c}, outcome
}

// connect opens a connection. Without a connection it returns the outcome of the attempt.
func (p *Pool) connect(ctx context.Context, run *attemptRun) (*conn, decision.Outcome) {
	if !p.reserveSlot() {
		return nil, decision.NotSent
	}
	dialer := net.Dialer{Timeout: p.timing.connectTimeout, Deadline: p.sendBy(run), KeepAlive: -1}
	raw, err := p.dial(ctx, &dialer, run.attempt.Address)
	p.countDial(ctx, err)
	maySend := p.maySend(ctx, run) // checked again: the endpoint list may have changed meanwhile
	if err == nil && maySend {
		return newConn(raw), 0
	}
	if err == nil {
		_ = raw.Close() // nothing was sent on it
	}
	p.releaseSlot()
	return nil, classifyConnectError(err, maySend)
}
