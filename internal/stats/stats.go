// Package stats holds the arithmetic that the decision module uses: the rank test's statistic, medians,
// smoothed means and drawn numbers. It decides nothing and holds no tuned value.
package stats

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// KruskalWallis is the statistic of the rank test for two groups, ties at their middle rank. It is 0 where
// no rank differs.
func KruskalWallis(a, b []float64) float64 {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	mid := float64(len(all)+1) / 2
	var between, within float64
	for _, group := range [][]float64{a, b} {
		sum := 0.0
		for _, v := range group {
			low, _ := slices.BinarySearch(all, v)
			high := low
			for high < len(all) && all[high] == v {
				high++
			}
			d := float64(low+high+1)/2 - mid
			sum += d
			within += d * d
		}
		if len(group) > 0 {
			between += sum * sum / float64(len(group))
		}
	}
	if within == 0 {
		return 0
	}
	return float64(len(all)-1) * between / within
}

// Count holds how many outcomes were good and how many bad.
type Count struct{ Good, Bad float64 }

// N is their sum.
func (c Count) Total() float64 { return c.Good + c.Bad }

// Add adds another count so many times.
func (c *Count) Add(t Count, times float64) {
	c.Good += times * t.Good
	c.Bad += times * t.Bad
}

// KruskalWallisCounts is the same statistic where outcomes are only good or bad.
func KruskalWallisCounts(a, b Count) float64 {
	if a.Total() == 0 || b.Total() == 0 || a.Good+b.Good == 0 || a.Bad+b.Bad == 0 {
		return 0
	}
	d := a.Bad*b.Good - b.Bad*a.Good
	return (a.Total() + b.Total() - 1) * d * d / (a.Total() * b.Total() * (a.Good + b.Good) * (a.Bad + b.Bad))
}

// ExceededBy is the value that either statistic exceeds by this chance when there is no difference.
func ExceededBy(chance float64) float64 {
	z := math.Erfcinv(chance)
	return 2 * z * z
}

// Exponential is the i-th of numbers with mean 1 that are spread as exponential ones are, any run of them.
func Exponential(i int) float64 {
	_, part := math.Modf((float64(i) + 0.5) * math.Phi)
	return -math.Log(1 - part)
}

// AtMost is the same count scaled down to a sum of at most n.
func (c Count) ScaledTo(n float64) Count {
	k := min(1, n/max(c.Total(), 1))
	return Count{c.Good * k, c.Bad * k}
}

// Median of a group that is not empty.
func Median(v []float64) float64 {
	s := slices.Sorted(slices.Values(v))
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// Groups cuts a stream of values into disjoint groups: the one being filled and the last two full ones.
type Groups struct{ Fill, Last, Before []float64 }

// Add puts a value in and tells whether that has filled a group of this size.
func (g *Groups) Add(v float64, size int) bool {
	if g.Fill = append(g.Fill, v); len(g.Fill) < size {
		return false
	}
	g.Close()
	return true
}

// Close ends the group being filled as it is.
func (g *Groups) Close() { g.Fill, g.Last, g.Before = nil, g.Fill, g.Last }

// Mean is a running mean, exact over the first values and smoothed over as many as memory after them.
type Mean struct{ Value, count float64 }

// Add takes a value in and returns the mean.
func (m *Mean) Add(v, memory float64) float64 {
	m.count = min(m.count+1, memory)
	m.Value += (v - m.Value) / m.count
	return m.Value
}

// Or returns the mean, or another value before the first Add.
func (m *Mean) ValueOr(other float64) float64 {
	if m.count == 0 {
		return other
	}
	return m.Value
}

// Chance draws numbers from 0 to 1 from a seed and a counter. The counter is scattered, for sums of
// neighbouring counters are too much alike; so is the sum, for two sums over one seed differ by the same bits
// whatever the seed: at all instances a draw told much about the next.
type Random struct{ Seed, drawn uint64 }

// Next draws one number.
func (r *Random) Next() float64 {
	r.drawn++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.Seed)
	binary.LittleEndian.PutUint64(b[8:], r.drawn*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])*0x9e3779b1) / (1 << 32)
}

// Draw draws an index with a chance in proportion to its weight.
func (r *Random) Draw(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := r.Next() * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
