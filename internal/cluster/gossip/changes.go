package gossip

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/membership"
)

// changeQueueSize is the maximum number of changes that wait for the reader.
const changeQueueSize = 256

// publisher holds what other goroutines can read of the detector: the view and the changes.
type publisher struct {
	view      atomic.Pointer[membership.View]
	version   uint64 // Detector.Version of the published view; used by the goroutine of Run only
	changes   chan membership.Change
	hasReader atomic.Bool // set by the first call of Changes; changes are queued from then on
}

// View returns the current view. It is never nil and immutable. Any goroutine may call View.
func (t *Transport) View() *membership.View { return t.published.view.Load() }

// Changes returns a channel that carries the changes of members' states from the first call on. The channel must have
// one reader only, and its queue is bounded. A reader that falls behind misses changes, which Counters.DroppedChanges
// counts, and finds the current states in View.
func (t *Transport) Changes() <-chan membership.Change {
	t.published.hasReader.Store(true)
	return t.published.changes
}

// publish replaces the view if it has changed, and logs and queues the changes.
func (t *Transport) publish(changes []membership.Change) {
	if t.detector.Version() != t.published.version || len(changes) > 0 {
		t.publishView()
	}
	for _, change := range changes {
		t.logChange(change)
		t.queueChange(change)
	}
}

// publishView replaces the view by the detector's current one.
func (t *Transport) publishView() {
	view := t.detector.View()
	t.published.version = t.detector.Version()
	t.published.view.Store(&view)
}

// logChange logs a change of a member's state.
func (t *Transport) logChange(change membership.Change) {
	view := t.View()
	line := t.log.WithFields(logrus.Fields{
		"member": change.Name, "state": change.State, "was": change.Previous, "address": change.Address,
		"incarnation": uint64(change.Incarnation),
	})
	if change.Accuser != "" {
		line = line.WithField("by", change.Accuser)
	}
	switch {
	case change.Name == view.Self && view.SupersededBy != "":
		line.WithField("superseded_by", view.SupersededBy).Error("membership: superseded by a newer process with this name")
	case change.NewMember:
		line.Info("member found")
	case change.State == membership.Suspect, change.State == membership.Dead:
		line.Warn("member changed")
	default:
		line.Info("member changed")
	}
}

// queueChange queues a change for the reader of Changes, or counts it as dropped if the queue is full. It does
// nothing before the first call of Changes.
func (t *Transport) queueChange(change membership.Change) {
	if !t.published.hasReader.Load() {
		return
	}
	select {
	case t.published.changes <- change:
	default:
		t.counters.droppedChanges.Add(1)
	}
}
