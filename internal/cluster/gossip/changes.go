package gossip

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/membership"
)

// changeQueue bounds the changes that wait for their reader.
const changeQueue = 256

// publisher is what others see of the detector: the view and the changes.
type publisher struct {
	view      atomic.Pointer[membership.View]
	version   uint64 // of the published view; Run's goroutine owns it
	changes   chan membership.Change
	hasReader atomic.Bool // Changes was called
}

// View is the present view. It is never nil and does not change.
func (t *Transport) View() *membership.View { return t.published.view.Load() }

// Changes reports changes of members' states, from the first call on. It has one reader and a bounded queue: a reader
// that falls behind misses changes, which Counters counts, and finds the present states in View.
func (t *Transport) Changes() <-chan membership.Change {
	t.published.hasReader.Store(true)
	return t.published.changes
}

// publish replaces the view if it has changed.
func (t *Transport) publish(changes []membership.Change) {
	if t.detector.Version() != t.published.version || len(changes) > 0 {
		t.publishView()
	}
	for _, change := range changes {
		t.logChange(change)
		t.queueChange(change)
	}
}

func (t *Transport) publishView() {
	view := t.detector.View()
	t.published.version = t.detector.Version()
	t.published.view.Store(&view)
}

func (t *Transport) logChange(change membership.Change) {
	view := t.View()
	line := t.log.WithFields(logrus.Fields{
		"member": change.Name, "state": change.State, "was": change.Previous, "address": change.Address,
		"incarnation": uint64(change.Incarnation),
	})
	if change.By != "" {
		line = line.WithField("by", change.By)
	}
	switch {
	case change.Name == view.Self && view.Superseded != "":
		line.WithField("superseded_by", view.Superseded).Error("membership: superseded by a newer process of this name")
	case change.New:
		line.Info("member found")
	case change.State == membership.Suspect, change.State == membership.Dead:
		line.Warn("member changed")
	default:
		line.Info("member changed")
	}
}

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
