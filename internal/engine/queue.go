package engine

// The queue to the event loop.

import (
	"sync"

	"ottershed/decision"
)

// queue holds the messages that the event loop has not taken yet. It has no limit of its own: it holds at most one
// message for each open request, attempt and event of a reader, and those are limited.
//
// Endpoint lists, the rollout controller's events and queries pass requests that wait, so that decisions rest on the
// newest state even under load. Within a priority the order is that of arrival.
type queue struct {
	notify chan struct{} // a message was posted; one pending notification is enough

	mu       sync.Mutex
	priority []queuedMessage
	regular  []queuedMessage
}

type queuedMessage struct {
	message
	queuedAt decision.Millis
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

// next takes the oldest message of the higher priority and tells how many remain. Without one, its message is nil.
func (q *queue) next() (msg queuedMessage, remaining int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if msg, ok := takeFirst(&q.priority); ok {
		return msg, len(q.priority) + len(q.regular)
	}
	msg, _ = takeFirst(&q.regular)
	return msg, len(q.regular)
}

func takeFirst(messages *[]queuedMessage) (first queuedMessage, ok bool) {
	list := *messages
	if len(list) == 0 {
		return queuedMessage{}, false
	}
	first = list[0]
	list[0] = queuedMessage{} // the array outlives the message
	list = list[1:]
	if len(list) == 0 {
		list = nil // gives the array back
	}
	*messages = list
	return first, true
}
