package stats

import "slices"

// Count is a number of good outcomes and one of bad outcomes. Both may be fractions, of weighted outcomes.
type Count struct{ Good, Bad float64 }

// Total is the number of outcomes.
func (c Count) Total() float64 { return c.Good + c.Bad }

// Add adds another count, multiplied by times.
func (c *Count) Add(t Count, times float64) {
	c.Good += times * t.Good
	c.Bad += times * t.Bad
}

// ScaledTo is the count scaled down to a total of at most n.
func (c Count) ScaledTo(n float64) Count {
	factor := min(1, n/max(c.Total(), 1))
	return Count{c.Good * factor, c.Bad * factor}
}

// Median is that of a group that is not empty.
func Median(v []float64) float64 {
	sorted := slices.Sorted(slices.Values(v))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// Groups divides a stream of values into disjoint groups: the one being filled and the last two full ones.
type Groups struct{ Fill, Last, Before []float64 }

// Add adds a value and tells whether that has filled a group of this size.
func (g *Groups) Add(v float64, size int) bool {
	g.Fill = append(g.Fill, v)
	if len(g.Fill) < size {
		return false
	}
	g.Close()
	return true
}

// Close ends the group that is being filled, whatever its size.
func (g *Groups) Close() { g.Fill, g.Last, g.Before = nil, g.Fill, g.Last }

// Mean is a running mean: exact over the first values, and exponentially smoothed from the memory-th on.
type Mean struct{ Value, count float64 }

// Add adds a value and returns the mean. A higher memory, 1 or more, follows changes more slowly and with less noise.
func (m *Mean) Add(v, memory float64) float64 {
	m.count = min(m.count+1, memory)
	m.Value += (v - m.Value) / m.count
	return m.Value
}

// ValueOr returns the mean, or another value before the first Add.
func (m *Mean) ValueOr(other float64) float64 {
	if m.count == 0 {
		return other
	}
	return m.Value
}
