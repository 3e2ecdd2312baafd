package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// watchState is what a watch does next. The transitions:
//
//	from            on                                                     to
//	(start)         polled, a version is known                             awaitingResume
//	(start)         otherwise                                              fetching
//	fetching,       update, a full snapshot was asked for by Resolve       fetching
//	watching        update                                                 watching
//	                update, a newer watch has delivered                    superseded
//	                pushed list, no response in time                       fetching
//	                pushed list, another failure                           backingOff
//	                polled, rejected or the second failure in a row        awaitingResume
//	                polled, another failure                                backingOff
//	awaitingResume  ResumeWatch                                            watching, or fetching without a version
//	backingOff      the retry delay has passed                             watching, or fetching without a version
//
// A watch of a pushed list loses its version with each failure; one that polls keeps it, because full snapshots for all
// instances are most of what calls cost a service.
type watchState int

const (
	fetching       watchState = iota // a full snapshot call goes out
	watching                         // a call for the changes since the version goes out
	awaitingResume                   // no call goes out until the decision module says so
	backingOff                       // no call goes out for the retry delay
	superseded                       // the watch has ended
)

// watch follows the list at one address. Only its own goroutine uses the fields.
type watch struct {
	*Watcher
	number      int    // from 1, in the order of their start
	url         string // of the list
	version     int64  // of the list that was delivered last; noVersion: the next call is for a full snapshot
	client      *http.Client
	delivered   chan<- int // takes the number with the first update
	unavailable bool       // the last calls failed or had no response in time
}

// run follows the list until ctx ends or a newer watch has delivered. Each call goes out as soon as the one before was
// answered.
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

// callState is the state in which the next call goes out.
func (w *watch) callState() watchState {
	if w.version >= 0 {
		return watching
	}
	return fetching
}

// step does what the state says and returns the next one.
func (w *watch) step(ctx context.Context, state watchState) watchState {
	switch state {
	case awaitingResume:
		w.awaitResume(ctx)
		return w.callState()
	case backingOff:
		sleep(ctx, w.retryDelay)
		return w.callState()
	case fetching, watching, superseded:
	}
	update, err := w.next(ctx)
	switch {
	case ctx.Err() != nil:
		return superseded
	case err != nil:
		return w.failed(err)
	}
	return w.updated(ctx, update)
}

// failed returns the state after a call that failed.
func (w *watch) failed(err error) watchState {
	if errors.Is(err, errTimeout) && w.hedgeAfter > 0 {
		w.version = noVersion // no delay, since the agent may be back
		return fetching
	}
	w.warnUnavailable(err)
	repeated := w.unavailable
	w.unavailable = true
	if !w.polls {
		w.version = noVersion
		return backingOff
	}
	if repeated || errors.Is(err, errRejected) {
		w.handle(engine.EndpointUpdate{Kind: decision.PollRejected})
		return awaitingResume
	}
	return backingOff
}

// updated delivers the update of a call and returns the next state.
func (w *watch) updated(ctx context.Context, update engine.EndpointUpdate) watchState {
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
	case <-w.resolve:
		w.version = noVersion
	default:
	}
	return w.callState()
}

// next makes the next call: for the changes since the version that is known, else for a full snapshot.
func (w *watch) next(ctx context.Context) (engine.EndpointUpdate, error) {
	switch {
	case w.version >= 0:
		begins := w.watchTimeout + cmp.Or(w.hedgeAfter, w.responseTimeout)
		return w.get(ctx, &call{
			url:              fmt.Sprintf("%s?since=%d&timeout_ms=%d", w.url, w.version, w.watchTimeout.Milliseconds()),
			firstByteTimeout: begins, stallTimeout: w.stallTimeout, timeout: begins + w.snapshotTimeout,
		})
	case w.hedgeAfter > 0:
		return w.hedgedSnapshot(ctx)
	}
	return w.get(ctx, &call{
		url: w.url, firstByteTimeout: w.responseTimeout, stallTimeout: w.stallTimeout,
		timeout: w.responseTimeout + w.snapshotTimeout,
	})
}

func (w *watch) warnUnavailable(err error) {
	if w.causes.Allow("unavailable") {
		w.log.WithError(err).Warn("discovery unavailable or unreadable")
	}
}

// awaitResume waits until the decision module lets the next call go out.
func (w *watch) awaitResume(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.resume:
	}
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
