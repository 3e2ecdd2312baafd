package upstream

import (
	"context"
	"net"
	"time"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// attemptRun is an attempt that is carried; it ends on the first connection on which it may have run.
type attemptRun struct {
	attempt  engine.Attempt
	target   target
	deadline time.Time // no response by then: timed out
}

// acquired is a connection that an attempt has taken.
type acquired struct {
	conn   *conn
	reused bool
	idle   time.Duration // it was idle for so long before
	sendBy time.Time     // the request must be written by then
}

// StartAttempt starts an attempt; what it returns cancels it. A connection that the attempt gives up is closed before
// the outcome is told: else the next attempt of the request would be a second copy of it.
func (p *Pool) StartAttempt(attempt engine.Attempt) (cancelAttempt func()) {
	ctx, cancel := context.WithCancel(context.Background())
	// On the caller's goroutine: by the list of endpoints by which it decided.
	to := p.targetAt(attempt.Endpoint, attempt.Address)
	go func() {
		defer cancel()
		began := time.Now()
		result := p.runAttempt(ctx, attempt, to)
		result.EndedAt = p.clock.Now()
		p.observeOutcome(to.endpoint, began, result.Outcome)
		attempt.OnEnd(result)
	}()
	return cancel
}

// runAttempt carries an attempt to its end, over another connection where a kept one turns out to be dead.
func (p *Pool) runAttempt(ctx context.Context, attempt engine.Attempt, to target) engine.AttemptResult {
	run := attemptRun{attempt, to, p.clock.Time(attempt.Deadline)}
	for {
		result, again := p.tryOnce(ctx, &run)
		if !again {
			return result
		}
	}
}

// tryOnce carries an attempt over one connection: verify, acquire, write, read, release, classify.
func (p *Pool) tryOnce(ctx context.Context, run *attemptRun) (result engine.AttemptResult, again bool) {
	if !p.maySend(ctx, run) {
		return engine.AttemptResult{Outcome: decision.NotSent}, false
	}
	on, outcome := p.acquire(ctx, run)
	if on.conn == nil {
		return engine.AttemptResult{Outcome: outcome}, false
	}
	on.sendBy = p.sendBy(run)
	_ = on.conn.SetReadDeadline(run.deadline) // fails on a connection that has ended only
	// An endpoint that has the request complete only later may have forgotten an earlier run of it.
	_ = on.conn.SetWriteDeadline(on.sendBy)
	uncancel := context.AfterFunc(ctx, on.conn.interrupt)
	done := p.exchange(ctx, run, on.conn)
	p.release(run, on, done, uncancel)
	outcome, again = run.classify(ctx, on, done)
	return engine.AttemptResult{Outcome: outcome, Load: done.load, Response: done.response}, again
}

// exchange writes the request and reads the response to it.
func (p *Pool) exchange(ctx context.Context, run *attemptRun, c *conn) exchange {
	request := encodeRequest(run.attempt.Request, run.attempt.Deadline-p.clock.Now())
	mayHaveRun, complete := c.write(request)
	if !mayHaveRun {
		return exchange{outcome: decision.Unreachable}
	}
	done := c.read(ctx, run.deadline, p.times.responseRest)
	done.reusable = done.reusable && complete
	return done
}

// release gives a connection back to the pool, or closes it. One that was interrupted when the attempt was canceled is
// closed.
func (p *Pool) release(run *attemptRun, on acquired, done exchange, uncancel func() bool) {
	if on.reused {
		p.observeReuse(on.idle, done.written && done.outcome != decision.ConnectionBroken)
	}
	if uncancel() && done.reusable {
		p.putIdle(run.attempt.Endpoint, run.target.endpoint, on.conn)
	} else {
		p.drop(on.conn)
	}
}

// maySend verifies that an attempt may still be sent. Its connection may come up in the moment in which it is canceled,
// and the deadline that this sets is not set yet; sent then, it would follow the request's final response.
func (p *Pool) maySend(ctx context.Context, run *attemptRun) bool {
	return ctx.Err() == nil && p.sendable(run.target) && time.Now().Before(p.sendBy(run))
}

// sendBy is when an attempt that is not sent yet is given up.
func (p *Pool) sendBy(run *attemptRun) time.Time {
	if run.attempt.SendBy <= 0 {
		return run.deadline
	}
	if by := p.clock.Time(run.attempt.SendBy); by.Before(run.deadline) {
		return by
	}
	return run.deadline
}

// acquire takes an idle connection or opens one; without one it tells how the attempt has ended.
func (p *Pool) acquire(ctx context.Context, run *attemptRun) (acquired, decision.Outcome) {
	if c := p.takeIdle(run.target); c != nil {
		return acquired{conn: c, reused: true, idle: time.Since(c.idleSince)}, 0
	}
	c, outcome := p.connect(ctx, run)
	return acquired{conn: c}, outcome
}

// connect opens a connection; without one it tells how the attempt has ended.
func (p *Pool) connect(ctx context.Context, run *attemptRun) (*conn, decision.Outcome) {
	if !p.reserveSlot() {
		return nil, decision.NotSent
	}
	dialer := net.Dialer{Timeout: p.times.connect, Deadline: p.sendBy(run), KeepAlive: -1}
	raw, err := p.dial(ctx, &dialer, run.attempt.Address)
	p.countDial(ctx, err)
	maySend := p.maySend(ctx, run) // once more, for the list of endpoints may have changed while it came up
	if err == nil && maySend {
		return newConn(raw), 0
	}
	if err == nil {
		_ = raw.Close() // nothing was sent on it
	}
	p.releaseSlot()
	return nil, classifyConnectError(err, maySend)
}
