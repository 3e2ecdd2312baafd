package discovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"ottershed/internal/engine"
)

const (
	maxOpenCalls = 16 // calls open at the same time: half of the descriptors that internal/config reserves
	maxLongCalls = 4  // open calls that may stay open for all of snapshotTimeout
)

// hedgedCall is a call that may be hedged by further calls.
type hedgedCall struct {
	call
	longLived bool // a snapshot call that may stay open for all of snapshotTimeout and is not evicted for newer calls
	cancel    context.CancelFunc
	update    engine.EndpointUpdate
	err       error
}

// hedged makes a call. While no response arrives, it sends further calls in parallel, until one call succeeds or fails.
// The timeout of one call does not end the others; of the calls to a polled service, only the failure of the last one
// that is open counts.
//
// From an agent it requests a full snapshot. An agent never responds to the calls that it accepted during an outage, and
// changes count as notified from the moment that the agent is back. With one call a second, hundreds of instances would
// send new requests to endpoints that started draining during the outage, up to a second past the drain grace.
//
// The agent may also be slow. So once a second a long-lived call is sent, which may stay open for snapshotTimeout. The
// other calls time out earlier, and the oldest of them is evicted for a new call. While a response arrives or is decoded,
// no further call is sent: a huge list takes a slow machine longer than hedgeAfter, and with parallel calls none would
// complete in time. A stalled response blocks further calls for stallTimeout.
//
// A polled service has more time, MaxNotificationDelay. A call to it is hedged by one with the same version, also while a
// response arrives, since that may never end. Only while a response is decoded no further call is sent. The service may
// still process the earlier calls, so these stay open.
//
// All calls are sent after the last delivered list, so none returns an older list. Only the first response counts.
func (w *watch) hedged(ctx context.Context) (engine.EndpointUpdate, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := hedgedCalls{watch: w, ended: make(chan *hedgedCall)}
	hedge := time.NewTicker(w.hedgeAfter)
	defer hedge.Stop()
	calls.send(ctx)
	for {
		select {
		case call := <-calls.ended:
			if call.err == nil {
				return call.update, nil
			}
			if err := calls.remove(call); err != nil {
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

// hedgedCalls holds the calls that are open in parallel. It is used only by the goroutine of hedged.
type hedgedCalls struct {
	*watch
	open        []*hedgedCall    // oldest first
	longLivedAt time.Time        // time of the newest long-lived call; zero: none
	ended       chan *hedgedCall // receives each call that has succeeded or failed
}

// send sends one more call. If maxOpenCalls are open, it evicts the oldest call first.
func (c *hedgedCalls) send(ctx context.Context) {
	next := c.newCall()
	c.sentAt = next.sentAt
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
		case c.ended <- next:
		case <-ctx.Done():
		}
	}()
}

// newCall creates the next call.
func (c *hedgedCalls) newCall() *hedgedCall {
	if c.polls {
		return c.newPoll()
	}
	return c.newSnapshotCall()
}

// newPoll creates the next call to a polled service, which stays open for as long as all limits of a watch together.
// From the second call on, the service counts as unavailable.
func (c *hedgedCalls) newPoll() *hedgedCall {
	if len(c.open) > 0 {
		c.markUnavailable()
	}
	timeout := c.watchTimeout + c.responseTimeout + c.snapshotTimeout
	return &hedgedCall{call: call{url: c.callURL(), firstByteTimeout: timeout, timeout: timeout, sentAt: time.Now()}}
}

// newSnapshotCall creates the next full snapshot call to an agent. The call is long-lived if the last long-lived one was
// sent a quarter of the long timeout ago or earlier. From the second long-lived call on, the agent counts as unavailable.
func (c *hedgedCalls) newSnapshotCall() *hedgedCall {
	longTimeout := max(c.responseTimeout, c.snapshotTimeout)
	next := &hedgedCall{call: call{
		url: c.url, firstByteTimeout: c.responseTimeout, timeout: longTimeout, sentAt: time.Now(),
	}}
	first := c.longLivedAt.IsZero()
	if !first && next.sentAt.Sub(c.longLivedAt) < longTimeout/maxLongCalls {
		return next
	}
	next.longLived, next.firstByteTimeout = true, longTimeout
	c.longLivedAt = next.sentAt
	if !first {
		c.markUnavailable()
	}
	return next
}

// markUnavailable records and logs that a call has no response in time.
func (c *hedgedCalls) markUnavailable() {
	c.warnUnavailable(errTimeout)
	c.unavailable = true
}

// evictOldest cancels and removes the oldest call that is not long-lived.
func (c *hedgedCalls) evictOldest() {
	oldest := max(0, slices.IndexFunc(c.open, func(open *hedgedCall) bool { return !open.longLived }))
	c.open[oldest].cancel()
	c.open = slices.Delete(c.open, oldest, oldest+1)
}

// remove removes a failed call and returns its error. A timed-out or evicted call gives no error, since the other calls
// continue. Neither does a call to a polled service while others are open: one from an outage may fail late, when the
// service is back and is about to respond to a newer one.
func (c *hedgedCalls) remove(ended *hedgedCall) error {
	index := slices.Index(c.open, ended)
	if index < 0 {
		return nil // evicted
	}
	c.open = slices.Delete(c.open, index, index+1)
	if errors.Is(ended.err, errTimeout) || c.polls && len(c.open) > 0 {
		return nil
	}
	return ended.err
}

// arriving reports whether the response to any open call is in progress.
func (c *hedgedCalls) arriving() bool {
	return slices.ContainsFunc(c.open, func(open *hedgedCall) bool { return open.arriving(c.stallTimeout) })
}
