package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"ottershed/internal/engine"
)

const maxSnapshotBytes = 1 << 20 // of a response's body

var (
	// errTimeout ends a call that has no response in time.
	errTimeout = errors.New("no answer in time")
	// errRejected is the response of a service that has too many calls.
	errRejected = errors.New("refused")
)

// call is one request for the list, and how far its response has come.
type call struct {
	url              string
	firstByteTimeout time.Duration // until the response begins
	stallTimeout     time.Duration // without a byte of a response that has begun; 0: no limit, other calls go out beside it
	timeout          time.Duration // until the last byte
	sentAt           time.Time     // zero where nobody asks whether it is arriving

	lastByteAt atomic.Int64 // when the last byte came, in ns from sentAt on; 0: none has
	complete   atomic.Bool  // all bytes have come, and the list is being decoded
}

// arriving tells whether the response has begun and goes on: a byte came within this span, or it is being decoded.
func (c *call) arriving(span time.Duration) bool {
	last := time.Duration(c.lastByteAt.Load())
	return c.complete.Load() || last > 0 && time.Since(c.sentAt)-last < span
}

// progress notes that bytes have come.
func (c *call) progress() { c.lastByteAt.Store(max(1, int64(time.Since(c.sentAt)))) }

// progressReader calls progress each time that bytes have come.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

// get makes a call within its time limits; the error is errTimeout if it exceeded one.
func (w *watch) get(ctx context.Context, c *call) (engine.EndpointUpdate, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.timeout, errTimeout)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	overdue := time.AfterFunc(c.firstByteTimeout, func() { end(errTimeout) })
	defer overdue.Stop()
	update, err := w.fetch(ctx, c, overdue)
	if err != nil && errors.Is(context.Cause(ctx), errTimeout) {
		err = errTimeout
	}
	return update, err
}

// fetch sends a call and reads its response. It resets overdue, which ends the call, each time that bytes come.
func (w *watch) fetch(ctx context.Context, current *call, overdue *time.Timer) (engine.EndpointUpdate, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, current.url, nil)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	w.calls.Add(1)
	res, err := w.client.Do(req)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	defer func() { _ = res.Body.Close() }() // what counts of the body was read
	progress := func() {
		current.progress()
		if current.stallTimeout > 0 { // else a stalled response would delay the next call for as long as a whole watch
			overdue.Reset(current.stallTimeout)
		}
	}
	overdue.Stop()
	progress()
	if err := statusError(res.StatusCode); err != nil {
		return engine.EndpointUpdate{}, err
	}
	raw, err := io.ReadAll(io.LimitReader(progressReader{res.Body, progress}, maxSnapshotBytes))
	if err != nil {
		return engine.EndpointUpdate{}, fmt.Errorf("list: %w", err)
	}
	current.complete.Store(true)
	return w.decode(raw)
}

// statusError is the failure that a response's status stands for, nil for none.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("list: status %d: %w", status, errRejected)
	}
	return fmt.Errorf("list: status %d", status)
}
