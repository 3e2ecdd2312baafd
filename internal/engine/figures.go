package engine

import (
	"context"

	"ottershed/decision"
)

// Figures are what an owner has counted since its start, and how things stand for the module.
type Figures struct {
	Taken, Forwarded, Delivered, Bounced, Errored int64
	Gone, Cancelled, Probes, Votes                int64 // clients that left before the answer; forwards called off
	Full, Unreachable, Broken, TimedOut, Failed   int64 // endings of forwards that were not delivered
	Missed                                        int64 // hits delivered after their path group's target latency
	Sight                                         decision.Sight
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
	if s, ok := c.module.(interface{ Sight() decision.Sight }); ok {
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
func (f *Figures) ended(e decision.Ending) {
	switch e {
	case decision.NodeFull:
		f.Full++
	case decision.Unreachable:
		f.Unreachable++
	case decision.Broken:
		f.Broken++
	case decision.TimedOut:
		f.TimedOut++
	case decision.Recalled:
		f.Cancelled++
	case decision.NodeError, decision.Spoilt:
		f.Failed++
	}
}
