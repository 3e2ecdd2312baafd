package stats

import "slices"

// Count holds the numbers of successes and of failures. Weighted outcomes make the numbers fractional.
type Count struct{ Successes, Failures float64 }

// Total returns the number of all outcomes.
func (c Count) Total() float64 { return c.Successes + c.Failures }

// Add adds another count, multiplied by weight.
func (c *Count) Add(other Count, weight float64) {
	c.Successes += weight * other.Successes
	c.Failures += weight * other.Failures
}

// ScaledTo returns the count scaled down to a total of at most n. The scale is that for a total of 1 if the total is
// below 1.
func (c Count) ScaledTo(n float64) Count {
	factor := min(1, n/max(c.Total(), 1))
	return Count{c.Successes * factor, c.Failures * factor}
}

// Median returns the median of the values. It panics if there are none.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// Groups divides a stream of values into disjoint groups. Partial is the group that is being filled, Last is the last
// full group, Previous the one before Last.
type Groups struct{ Partial, Last, Previous []float64 }

// Add adds a value to the group that is being filled. It closes the group and returns true if the group then holds size
// values.
func (g *Groups) Add(v float64, size int) bool {
	g.Partial = append(g.Partial, v)
	if len(g.Partial) < size {
		return false
	}
	g.Close()
	return true
}

// Close makes the group that is being filled the last full one, whatever its size, and starts an empty group.
func (g *Groups) Close() { g.Partial, g.Last, g.Previous = nil, g.Partial, g.Last }

// Mean is a running mean. It is the exact mean of all values until their number reaches the memory argument of Add.
// After that it is exponentially smoothed.
type Mean struct{ Value, count float64 }

// Add adds a value and returns the mean. The memory is a number of values, 1 or more; a higher one follows changes more
// slowly and with less noise.
func (m *Mean) Add(v, memory float64) float64 {
	m.count = min(m.count+1, memory)
	m.Value += (v - m.Value) / m.count
	return m.Value
}

// ValueOr returns the mean, or fallback before the first Add.
func (m *Mean) ValueOr(fallback float64) float64 {
	if m.count == 0 {
		return fallback
	}
	return m.Value
}
