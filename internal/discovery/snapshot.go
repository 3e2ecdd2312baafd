package discovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"ottershed/internal/engine"
)

const (
	maxOpenCalls = 16 // calls that are open at once, half of the descriptors that are kept for such
	maxLongCalls = 4  // of them, those that may stay open for all of snapshotTimeout
)

// snapshotCall is a full snapshot call that others may go out beside.
type snapshotCall struct {
	call
	longLived bool // it may stay open for all of snapshotTimeout and is not evicted for newer calls
	cancel    context.CancelFunc
	update    engine.EndpointUpdate
	err       error
}

// hedgedSnapshot calls for a full snapshot, and again beside the calls without a response, until one has a response or
// fails.
//
// An agent that is down for a while answers none of the calls that it took meanwhile, and what it holds from its
// first moment back counts as notified. With one call a second, hundreds of instances would send new requests to
// endpoints that began to drain during the outage, up to a second past the grace.
//
// The agent may also be slow. So once a second a call goes out that stays open for snapshotTimeout, while the others
// are given up earlier and the oldest of them is evicted for a new one; a call that is overdue ends alone. And while
// a response arrives or is decoded, no further call goes out: a huge list takes a slow machine longer than
// hedgeAfter, and with more calls beside it none would be complete in time. A response that stalls blocks further
// calls for stallTimeout.
//
// All calls go out after the list that was delivered last, so none brings an older one; only the first response counts.
func (w *watch) hedgedSnapshot(ctx context.Context) (engine.EndpointUpdate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := hedgedCalls{watch: w, done: make(chan *snapshotCall)}
	hedge := time.NewTicker(w.hedgeAfter)
	defer hedge.Stop()
	calls.send(ctx)
	for {
		select {
		case ended := <-calls.done:
			if ended.err == nil {
				return ended.update, nil
			}
			if err := calls.remove(ended); err != nil {
				return engine.EndpointUpdate{}, err
			}
		case <-hedge.C:
			if !calls.arriving() {
				calls.send(ctx)
			}
		case <-ctx.Done():
			return engine.EndpointUpdate{}, ctx.Err()
		}
	}
}

// hedgedCalls is the full snapshot calls that are open beside each other. Only hedgedSnapshot's goroutine uses it.
type hedgedCalls struct {
	*watch
	open        []*snapshotCall // the oldest first
	longLivedAt time.Time       // when the newest long-lived call went out; zero: none has
	done        chan *snapshotCall
}

// send makes one more call, in place of the oldest if as many are open as may be.
func (c *hedgedCalls) send(ctx context.Context) {
	next := c.newCall()
	if len(c.open) >= maxOpenCalls {
		c.evictOldest()
	}
	c.open = append(c.open, next)
	var callCtx context.Context
	callCtx, next.cancel = context.WithCancel(ctx)
	go func() {
		defer next.cancel()
		next.update, next.err = c.get(callCtx, &next.call)
		select {
		case c.done <- next:
		case <-ctx.Done():
		}
	}()
}

// newCall is the next call. It is long-lived if the newest such is old enough; from the second on, the agent has had no
// response for so long that it counts as unavailable.
func (c *hedgedCalls) newCall() *snapshotCall {
	longTimeout := max(c.responseTimeout, c.snapshotTimeout)
	next := &snapshotCall{call: call{
		url: c.url, firstByteTimeout: c.responseTimeout, timeout: longTimeout, sentAt: time.Now(),
	}}
	first := c.longLivedAt.IsZero()
	if !first && next.sentAt.Sub(c.longLivedAt) < longTimeout/maxLongCalls {
		return next
	}
	next.longLived, next.firstByteTimeout = true, longTimeout
	c.longLivedAt = next.sentAt
	if !first {
		c.warnUnavailable(errTimeout)
		c.unavailable = true
	}
	return next
}

// evictOldest ends the oldest call that is not long-lived.
func (c *hedgedCalls) evictOldest() {
	oldest := max(0, slices.IndexFunc(c.open, func(open *snapshotCall) bool { return !open.longLived }))
	c.open[oldest].cancel()
	c.open = slices.Delete(c.open, oldest, oldest+1)
}

// remove forgets a call that failed. Only an overdue or evicted one is no error, since the others go on.
func (c *hedgedCalls) remove(ended *snapshotCall) error {
	at := slices.Index(c.open, ended)
	if at < 0 {
		return nil // evicted
	}
	if !errors.Is(ended.err, errTimeout) {
		return ended.err
	}
	c.open = slices.Delete(c.open, at, at+1)
	return nil
}

// arriving tells whether the response to a call has begun and goes on.
func (c *hedgedCalls) arriving() bool {
	return slices.ContainsFunc(c.open, func(open *snapshotCall) bool { return open.arriving(c.stallTimeout) })
}
