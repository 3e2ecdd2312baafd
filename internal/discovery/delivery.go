package discovery

import (
	"sync"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// delivery hands updates on in the order of the watches: once a watch has delivered, those before it can't.
type delivery struct {
	emptyToo bool // updates without entries are handed on too, since they say that a polled service accepted the call
	handle   func(engine.EndpointUpdate)
	received chan struct{} // closed with the first update that is handed on

	mu     sync.Mutex
	newest int // number of the newest watch that has delivered; 0: none has
	once   sync.Once
}

// deliver hands on an update of the watch with this number. first tells whether it is that watch's first one, accepted
// whether no newer watch has delivered; without that check an older list could follow a newer one.
func (d *delivery) deliver(number int, update engine.EndpointUpdate) (first, accepted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.newest < number
	d.newest = max(d.newest, number)
	accepted = d.newest == number
	if accepted && (d.emptyToo || update.Kind == decision.FullSnapshot || len(update.Endpoints) > 0) {
		d.handle(update)
		d.once.Do(func() { close(d.received) })
	}
	return first, accepted
}

// newestDelivered is the number of the newest watch that has delivered; 0: none has.
func (d *delivery) newestDelivered() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}
