package discovery

import (
	"sync"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// delivery passes updates to the handler in the order of the watches: once a watch has delivered an update, older
// watches can't deliver any more.
type delivery struct {
	deliverEmpty bool // deliver deltas without entries too, which show that a polled service accepted the call
	handle       func(engine.EndpointUpdate)
	received     chan struct{} // closed after the first update was passed to the handler

	mu           sync.Mutex
	newestWatch  int // number of the newest watch that has delivered; 0: none
	receivedOnce sync.Once
}

// deliver passes an update of the watch with this number to the handler, unless a newer watch has delivered or the
// update is an empty delta and deliverEmpty is false. first reports whether it is the first update of that watch,
// accepted whether no newer watch has delivered. Without this check an older list could follow a newer one.
func (d *delivery) deliver(watchNumber int, update engine.EndpointUpdate) (first, accepted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.newestWatch < watchNumber
	d.newestWatch = max(d.newestWatch, watchNumber)
	accepted = d.newestWatch == watchNumber
	if accepted && (d.deliverEmpty || update.Kind == decision.FullSnapshot || len(update.Endpoints) > 0) {
		d.handle(update)
		d.receivedOnce.Do(func() { close(d.received) })
	}
	return first, accepted
}

// newestDelivered returns the number of the newest watch that has delivered; 0: none.
func (d *delivery) newestDelivered() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newestWatch
}
