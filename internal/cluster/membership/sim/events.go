package sim

import (
	"container/heap"

	"ottershed/internal/cluster/membership"
)

// event is the arrival of a packet at a member, or a wake-up of the member.
type event struct {
	due    Millis             // Unix time of the arrival or the wake-up
	seq    uint64             // position in the order of scheduling, which breaks ties
	member int                // index of the member
	packet *membership.Packet // nil: a wake-up
}

// eventQueue yields events in order of time. Events of the same time are yielded in the order of scheduling.
type eventQueue struct {
	heap    eventHeap
	lastSeq uint64 // event.seq of the event that was scheduled last
}

// push schedules an event.
func (q *eventQueue) push(e event) {
	q.lastSeq++
	e.seq = q.lastSeq
	heap.Push(&q.heap, e)
}

// popUntil removes and returns the next event if it is due by a time; false if it is not, or there is none.
func (q *eventQueue) popUntil(end Millis) (event, bool) {
	if len(q.heap) == 0 || q.heap[0].due > end {
		return event{}, false
	}
	return heap.Pop(&q.heap).(event), true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
