package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
)

// watchState is the state of a watch. The transitions:
//
//	from            event                                                  to
//	(start)         polled list, a version is known                        awaitingResume
//	(start)         otherwise                                              fetching
//	fetching,       update, RequestSnapshot was called                     fetching
//	watching        update                                                 watching
//	                update, a newer watch has delivered                    superseded
//	                pushed list, timeout                                   fetching
//	                pushed list, another failure                           backingOff
//	                polled list, rejected or second failure in a row       awaitingResume
//	                polled list, another failure                           backingOff
//	awaitingResume  ResumeWatch                                            watching, or fetching without a version
//	backingOff      the retry delay has passed                             watching, or fetching without a version
//
// A watch of a pushed list discards its version after each failure. A polling watch keeps its version, because full
// snapshots for all instances are most of the load that calls put on a service.
type watchState int

const (
	fetching       watchState = iota // sending a full snapshot call
	watching                         // sending a call for the changes since the version
	awaitingResume                   // sending nothing until ResumeWatch
	backingOff                       // sending nothing for the retry delay
	superseded                       // the watch has ended
)

// watch follows the list at one address. Its fields are used only by the goroutine of run.
type watch struct {
	*Watcher
	number        int    // position in the order of start, from 1
	url           string // URL of the list
	version       int64  // version of the last delivered list; noVersion: the next call requests a full snapshot
	client        *http.Client
	delivered     chan<- int // receives number after the first update was delivered
	rejectedAfter int        // number of the last resumption before the last PollRejected
	sentAt        time.Time  // time at which the newest hedged call was sent
	unavailable   bool       // set by a failed call or an overdue full snapshot, cleared by the next update
}

// run follows the list until ctx ends or a newer watch has delivered. Each call is sent as soon as the previous one has
// its response.
func (w *watch) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	state := w.callState()
	if w.polls && w.version >= 0 {
		state = awaitingResume
	}
	for ctx.Err() == nil && state != superseded {
		state = w.step(ctx, state)
	}
}

// callState returns the state for the next call: watching if a version is known, else fetching.
func (w *watch) callState() watchState {
	if w.version >= 0 {
		return watching
	}
	return fetching
}

// step executes a state and returns the next state.
func (w *watch) step(ctx context.Context, state watchState) watchState {
	switch state {
	case awaitingResume:
		w.resumption.await(ctx, w.rejectedAfter)
		return w.callState()
	case backingOff:
		sleep(ctx, w.retryDelay)
		return w.callState()
	case fetching, watching, superseded:
	}
	update, err := w.fetchNext(ctx)
	switch {
	case ctx.Err() != nil:
		return superseded
	case err != nil:
		return w.handleFailure(err)
	}
	return w.handleUpdate(ctx, update)
}

// handleFailure returns the state after a failed call. The handler gets a PollRejected if a polled service rejected the
// call or failed twice in a row.
func (w *watch) handleFailure(err error) watchState {
	if errors.Is(err, errTimeout) && !w.polls {
		w.version = noVersion
		return fetching // without the retry delay, since the agent may be back
	}
	w.warnUnavailable(err)
	failedBefore := w.unavailable
	w.unavailable = true
	if !w.polls {
		w.version = noVersion
		return backingOff
	}
	if failedBefore || errors.Is(err, errRejected) {
		w.rejectedAfter, _ = w.resumption.state() // read first: the handler may cause the resumption
		w.handle(engine.EndpointUpdate{Kind: decision.PollRejected, PollDuration: clock.Millis(time.Since(w.sentAt))})
		return awaitingResume
	}
	return backingOff
}

// handleUpdate delivers an update and returns the next state.
func (w *watch) handleUpdate(ctx context.Context, update engine.EndpointUpdate) watchState {
	if w.unavailable {
		w.unavailable = false
		w.log.WithFields(logrus.Fields{"index": update.Version, "nodes": len(update.Endpoints)}).
			Info("discovery connection restored")
	}
	first, accepted := w.deliver(w.number, update)
	if first {
		select {
		case w.delivered <- w.number:
		case <-ctx.Done():
		}
	}
	if !accepted {
		return superseded
	}
	w.version = update.Version
	select {
	case <-w.snapshotRequests:
		w.version = noVersion
	default:
	}
	return w.callState()
}

// fetchNext makes the next call: for the changes since the known version, or else for a full snapshot.
func (w *watch) fetchNext(ctx context.Context) (engine.EndpointUpdate, error) {
	if w.polls || w.version < 0 {
		return w.hedged(ctx)
	}
	firstByteTimeout := w.watchTimeout + w.hedgeAfter
	return w.get(ctx, &call{
		url: w.callURL(), firstByteTimeout: firstByteTimeout, stallTimeout: w.stallTimeout,
		timeout: firstByteTimeout + w.snapshotTimeout,
	})
}

// callURL returns the URL of the next call: for the changes since the known version, or else for a full snapshot.
func (w *watch) callURL() string {
	if w.version < 0 {
		return w.url
	}
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", w.url, w.version, w.watchTimeout.Milliseconds())
}

// warnUnavailable logs that a call failed, at a limited rate.
func (w *watch) warnUnavailable(err error) {
	if w.causes.Allow("unavailable") {
		w.log.WithError(err).Warn("discovery call failed")
	}
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
