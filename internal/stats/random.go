package stats

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Exponential returns the i-th value of a low-discrepancy sequence that follows the exponential distribution of mean 1.
// Any run of consecutive values approximates the distribution.
func Exponential(i int) float64 {
	_, fraction := math.Modf((float64(i) + 0.5) * math.Phi)
	return -math.Log(1 - fraction)
}

// Random generates pseudorandom numbers from a seed and a counter by a CRC-32 checksum. It is not safe for concurrent
// use.
//
// The checksum is linear, so both the counter and the checksum are multiplied by odd constants. Without the first
// factor the checksums of consecutive counters are too similar. Without the second one, the checksums of two counters
// differ in the same bits for every seed, so a number would predict the next one at all instances.
type Random struct{ Seed, counter uint64 }

// Float64 returns the next number, uniform from 0 to below 1.
func (r *Random) Float64() float64 {
	r.counter++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.Seed)
	binary.LittleEndian.PutUint64(b[8:], r.counter*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])*0x9e3779b1) / (1 << 32)
}

// WeightedIndex returns a random index into weights, with a probability in proportion to its weight. It returns the
// last index if all weights are 0, and -1 if there are no weights.
func (r *Random) WeightedIndex(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	position := r.Float64() * total
	for i, w := range weights {
		position -= w
		if position < 0 {
			return i
		}
	}
	return len(weights) - 1
}
