package stats

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Exponential is the i-th of a low-discrepancy sequence with the exponential distribution of mean 1: any run of it is
// spread like the distribution.
func Exponential(i int) float64 {
	_, part := math.Modf((float64(i) + 0.5) * math.Phi)
	return -math.Log(1 - part)
}

// Random draws numbers from 0 to 1 from a seed and a counter. The checksum of seed and counter is linear, so both the
// counter and the sum are multiplied by odd constants: sums of neighbouring counters are too much alike, and two sums
// over one seed differ by the same bits whatever the seed, so that at all instances a draw would predict the next.
type Random struct{ Seed, drawn uint64 }

// Next draws one number.
func (r *Random) Next() float64 {
	r.drawn++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.Seed)
	binary.LittleEndian.PutUint64(b[8:], r.drawn*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])*0x9e3779b1) / (1 << 32)
}

// Draw draws an index with a probability in proportion to its weight.
func (r *Random) Draw(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := r.Next() * total
	for i, w := range weights {
		at -= w
		if at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
