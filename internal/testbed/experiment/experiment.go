// Package experiment measures fleets of real balancers on loopback, and failure detectors alone in simulated time.
// Each experiment is a function that starts the processes or the simulation, injects faults and returns a result. Each
// kind of result has a Markdown table: membership (MeasureProcessMembership, MeasureSimulatedMembership,
// MembershipTableHeader), policy (MeasurePolicy, PolicyTable) and takeover (MeasureTakeover, TakeoverTable).
//
// Experiments on processes take minutes; they call a Progress function at each step.
//
// Files: experiment.go (shared code), membership.go and simulated.go, policy.go, takeover.go.
package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"
)

// Progress is called with a description of each step when the step begins. It may be nil.
type Progress func(step string)

func (p Progress) report(format string, args ...any) {
	if p != nil {
		p(fmt.Sprintf(format, args...))
	}
}

// Millis is a point in time or a duration in milliseconds.
type Millis = float64

func millis(d time.Duration) Millis { return float64(d) / float64(time.Millisecond) }

// Quantiles holds the median, the 95th percentile and the maximum of a set of values.
type Quantiles struct{ Median, P95, Max float64 }

// QuantilesOf returns the quantiles of values, which it sorts in place. They are NaN if values is empty.
func QuantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{math.NaN(), math.NaN(), math.NaN()}
	}
	slices.Sort(values)
	quantile := func(q float64) float64 { return values[min(len(values)-1, int(q*float64(len(values))))] }
	return Quantiles{quantile(0.5), quantile(0.95), values[len(values)-1]}
}

// quantilesOfCopy returns the quantiles of values and keeps the order of values.
func quantilesOfCopy(values []float64) Quantiles { return QuantilesOf(slices.Clone(values)) }

// wait waits for a duration, or returns the error of ctx if ctx ends first.
func wait(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
