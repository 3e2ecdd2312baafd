package engine

// Timers of the module.

import (
	"container/heap"

	"ottershed/decision"
)

// timers is a heap of the module's timers, with the earliest first.
type timers []timer

type timer struct {
	at    decision.Millis
	token decision.Token
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	popped := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return popped
}

// next returns the time of the earliest timer, or false if no timer is set.
func (t timers) next() (at decision.Millis, ok bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].at, true
}

// fireTimers passes each due timer to the module, including timers that the module sets meanwhile.
func (c *core) fireTimers(now decision.Millis) {
	for at, ok := c.timers.next(); ok && at <= now; at, ok = c.timers.next() {
		due := heap.Pop(&c.timers).(timer)
		c.dispatch(now, decision.TimerFired{Token: due.token})
	}
}
