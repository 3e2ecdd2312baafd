// Package experiment measures fleets of real balancers on loopback, and failure detectors alone in simulated time.
// Each experiment is a function that starts what it needs, injects faults and returns a result, and each result has a
// table in Markdown: membership (MeasureProcesses, MeasureSimulated, MembersHead), policy (MeasurePolicy,
// PolicyTable) and takeover (MeasureTakeover, TakeoverTable).
//
// Experiments on processes take minutes; they call a Progress at each step.
//
// Files: experiment.go (what the experiments share), membership.go and simulated.go, policy.go, takeover.go.
package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

// Progress is called with a description of the step that begins. It may be nil.
type Progress func(step string)

func (p Progress) report(format string, args ...any) {
	if p != nil {
		p(fmt.Sprintf(format, args...))
	}
}

// Millis is a time or a span in milliseconds.
type Millis = float64

func millis(d time.Duration) Millis { return float64(d) / float64(time.Millisecond) }

// Spread is the median, the 95th percentile and the largest of some figures.
type Spread struct{ Median, P95, Max float64 }

// SpreadOf sorts the figures in place. Without figures all of the spread is NaN.
func SpreadOf(figures []float64) Spread {
	if len(figures) == 0 {
		return Spread{math.NaN(), math.NaN(), math.NaN()}
	}
	slices.Sort(figures)
	at := func(q float64) float64 { return figures[min(len(figures)-1, int(q*float64(len(figures))))] }
	return Spread{at(0.5), at(0.95), figures[len(figures)-1]}
}

// spreadOfCopy leaves the figures in their order.
func spreadOfCopy(figures []float64) Spread { return SpreadOf(slices.Clone(figures)) }

// wait waits for a span, or returns the error of ctx where that ends first.
func wait(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
