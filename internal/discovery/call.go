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

const maxResponseBytes = 1 << 20 // a longer response body is truncated and can't be decoded

var (
	// errTimeout is the error of a call that exceeded one of its time limits.
	errTimeout = errors.New("no complete response within the time limit")
	// errRejected is the error of a call that an overloaded service rejected.
	errRejected = errors.New("refused")
)

// call is one request for the list with the progress of its response.
type call struct {
	url              string
	firstByteTimeout time.Duration // limit for the first byte of the response
	stallTimeout     time.Duration // limit between two bytes of the response; 0: none, since the call is hedged
	timeout          time.Duration // limit for the last byte of the response
	sentAt           time.Time     // zero if the call is not hedged: arriving is not called then

	lastByteAt atomic.Int64 // time of the last byte in ns since sentAt; 0: no byte yet
	complete   atomic.Bool  // the whole body was read; it is being decoded, or was
}

// arriving reports whether the response is in progress: a byte came within the last stallTimeout, or the body is being
// decoded.
func (c *call) arriving(stallTimeout time.Duration) bool {
	lastByteAt := time.Duration(c.lastByteAt.Load())
	return c.complete.Load() || lastByteAt > 0 && time.Since(c.sentAt)-lastByteAt < stallTimeout
}

// progress records the time at which bytes of the response were received.
func (c *call) progress() { c.lastByteAt.Store(max(1, int64(time.Since(c.sentAt)))) }

// progressReader calls progress after each non-empty read.
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

// get makes a call within its time limits and returns the decoded update. The error is errTimeout if a limit was
// exceeded.
func (w *watch) get(ctx context.Context, c *call) (engine.EndpointUpdate, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.timeout, errTimeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	timer := time.AfterFunc(c.firstByteTimeout, func() { cancelCause(errTimeout) })
	defer timer.Stop()
	update, err := w.fetch(ctx, c, timer)
	if err != nil && errors.Is(context.Cause(ctx), errTimeout) {
		err = errTimeout
	}
	return update, err
}

// fetch sends a call and reads its response. timer ends the call when it fires; fetch stops it with the first byte and,
// if the call has a stallTimeout, restarts it with each byte.
func (w *watch) fetch(ctx context.Context, current *call, timer *time.Timer) (engine.EndpointUpdate, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, current.url, nil)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	w.calls.Add(1)
	res, err := w.client.Do(req)
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	defer func() { _ = res.Body.Close() }() // the body was read as far as needed
	progress := func() {
		current.progress()
		if current.stallTimeout > 0 { // otherwise a stalled response would delay the next call until the timeout
			timer.Reset(current.stallTimeout)
		}
	}
	timer.Stop()
	progress()
	if err := statusError(res.StatusCode); err != nil {
		return engine.EndpointUpdate{}, err
	}
	raw, err := io.ReadAll(io.LimitReader(progressReader{res.Body, progress}, maxResponseBytes))
	if err != nil {
		return engine.EndpointUpdate{}, fmt.Errorf("read endpoint list: %w", err)
	}
	current.complete.Store(true)
	return w.decode(raw)
}

// statusError returns the error for the status of a response, nil for 200. The error of a 503 or 429 is errRejected.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("fetch endpoint list: status %d: %w", status, errRejected)
	}
	return fmt.Errorf("fetch endpoint list: status %d, want 200", status)
}
