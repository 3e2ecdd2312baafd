package marshal

import (
	"context"

	"ottershed/logic"
)

// Figures are what an owner has counted since its start, and how things stand for the module.
type Figures struct {
	Taken, Forwarded, Delivered, Bounced, Errored int64
	Gone, Cancelled, Probes, Votes                int64 // clients that left before the answer; forwards called off
	Full, Unreachable, Broken, TimedOut, Failed   int64 // endings of forwards that were not delivered
	Missed                                        int64 // hits delivered after their path group's target latency
	Sight                                         logic.Sight
}

type figuresAsked struct{ reply chan<- Figures } // it has room

func (figuresAsked) message() {}

// Figures are those of now; false where ctx ends before.
func (m *Marshal) Figures(ctx context.Context) (Figures, bool) {
	reply := make(chan Figures, 1)
	m.post(figuresAsked{reply})
	select {
	case f := <-reply:
		return f, true
	case <-ctx.Done():
		return Figures{}, false
	}
}

// figures are what was counted, with the module's sight where it has one.
func (c *core) figures() Figures {
	f := c.counts
	if s, ok := c.module.(interface{ Sight() logic.Sight }); ok {
		f.Sight = s.Sight()
	}
	return f
}

// answered counts a final answer.
func (f *Figures) answered(a Answer, late bool) {
	switch a.Kind {
	case Delivered:
		f.Delivered++
		if late {
			f.Missed++
		}
	case Bounced:
		f.Bounced++
	case Errored:
		f.Errored++
	}
}

// ended counts the ending of a forward.
func (f *Figures) ended(e logic.Ending) {
	switch e {
	case logic.NodeFull:
		f.Full++
	case logic.Unreachable:
		f.Unreachable++
	case logic.Broken:
		f.Broken++
	case logic.TimedOut:
		f.TimedOut++
	case logic.Recalled:
		f.Cancelled++
	case logic.NodeError, logic.Spoilt:
		f.Failed++
	}
}
