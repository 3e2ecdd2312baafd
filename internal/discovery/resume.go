package discovery

import (
	"context"
	"sync"
)

// resumption tells all watches that wait for it that the next call to a polled service may be sent.
type resumption struct {
	mu   sync.Mutex
	last int           // number of the last resumption; 0: none yet
	next chan struct{} // closed by the next resumption
}

func newResumption() *resumption { return &resumption{next: make(chan struct{})} }

// resume ends the waiting of all watches.
func (r *resumption) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	close(r.next)
	r.next = make(chan struct{})
}

// state returns the number of the last resumption, and a channel that the next one closes.
func (r *resumption) state() (last int, next <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.next
}

// await waits until there is a resumption after the one with this number, or until ctx ends.
func (r *resumption) await(ctx context.Context, after int) {
	for last, next := r.state(); last <= after && ctx.Err() == nil; last, next = r.state() {
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
}
