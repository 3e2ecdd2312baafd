package engine

// Message queue of the event loop.

import (
	"sync"

	"ottershed/decision"
)

// queue holds the messages that wait for the event loop. It has no limit of its own: each open request, attempt and
// received event accounts for at most one message, and their numbers are limited elsewhere: config.Limits.Connections
// limits the open requests, and decision.Settings.MaxAttempts the attempts of each.
//
// Endpoint lists, events of the rollout controller and queries have priority over messages about requests, so that
// decisions use the newest state even under load. Messages of one priority keep their order.
type queue struct {
	notify chan struct{} // signals a new message; holds at most one signal

	mu       sync.Mutex
	priority []queuedMessage // messages for which hasPriority holds, the oldest first
	regular  []queuedMessage // all others, the oldest first
}

type queuedMessage struct {
	message
	queuedAt decision.Millis // time of post, by the engine's clock
}

func newQueue() *queue { return &queue{notify: make(chan struct{}, 1)} }

func (q *queue) post(msg message, now decision.Millis) {
	q.mu.Lock()
	queued := queuedMessage{msg, now}
	if hasPriority(msg) {
		q.priority = append(q.priority, queued)
	} else {
		q.regular = append(q.regular, queued)
	}
	q.mu.Unlock()
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

func hasPriority(msg message) bool {
	switch msg.(type) {
	case endpointsReceived, eventReceived, evidenceRequested, statsRequested:
		return true
	}
	return false
}

// next removes the oldest message of the highest priority, and returns it with the number of messages that remain. The
// message is nil if the queue is empty.
func (q *queue) next() (msg queuedMessage, remaining int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if msg, ok := takeFirst(&q.priority); ok {
		return msg, len(q.priority) + len(q.regular)
	}
	msg, _ = takeFirst(&q.regular)
	return msg, len(q.regular)
}

// takeFirst removes the oldest message and returns it, or false if there is none.
func takeFirst(messages *[]queuedMessage) (first queuedMessage, ok bool) {
	waiting := *messages
	if len(waiting) == 0 {
		return queuedMessage{}, false
	}
	first = waiting[0]
	waiting[0] = queuedMessage{} // lets the garbage collector free the message while the array is in use
	waiting = waiting[1:]
	if len(waiting) == 0 {
		waiting = nil // lets the garbage collector free the array
	}
	*messages = waiting
	return first, true
}
