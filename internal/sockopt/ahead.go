package sockopt

import (
	"slices"
	"time"
)

const (
	// maxReadAhead is the number of bytes that are read ahead at most, to see the end of the connection behind them. A
	// higher value needs more memory for each connection whose client sends requests without waiting for responses, and
	// lets more of these requests be served.
	maxReadAhead = 16 << 10
	// readAheadStep is the size of one read ahead.
	readAheadStep = 4 << 10
	// arrivalResolution is the time within which bytes count as having arrived at once.
	arrivalResolution = 10 * time.Millisecond
)

// readAhead holds input that was taken from the socket before its reader asked for it: at most maxReadAhead bytes, and what
// came in one read with the end of a head.
type readAhead struct {
	input  []byte
	chunks []chunk // in the order of input; their lengths add up to its length
}

// chunk is a part of the input that arrived at one time.
type chunk struct {
	length    int
	arrivedAt time.Time
}

// full reports whether no more may be read ahead.
func (r *readAhead) full() bool { return len(r.input) >= maxReadAhead }

// spare returns free memory behind the input, for one read ahead.
func (r *readAhead) spare() []byte {
	r.input = slices.Grow(r.input, readAheadStep)
	end := len(r.input)
	return r.input[end:min(end+readAheadStep, maxReadAhead)]
}

// commit adds bytes that were read into spare.
func (r *readAhead) commit(length int, now time.Time) {
	r.input = r.input[:len(r.input)+length]
	if last := len(r.chunks) - 1; last >= 0 && now.Sub(r.chunks[last].arrivedAt) < arrivalResolution {
		r.chunks[last].length += length
		return
	}
	r.chunks = append(r.chunks, chunk{length, now})
}

// putBack adds bytes before all others.
func (r *readAhead) putBack(input []byte, arrivedAt time.Time) {
	if len(input) > 0 {
		r.input = append(slices.Clone(input), r.input...)
		r.chunks = slices.Insert(r.chunks, 0, chunk{len(input), arrivedAt})
	}
}

// take moves the bytes that arrived first to buffer, as many as fit. It returns their number and when they arrived. There must
// be input.
func (r *readAhead) take(buffer []byte) (n int, arrivedAt time.Time) {
	first := &r.chunks[0]
	arrivedAt = first.arrivedAt
	n = copy(buffer, r.input[:first.length])
	r.input = r.input[n:]
	if first.length -= n; first.length == 0 {
		r.chunks = r.chunks[1:]
	}
	if len(r.chunks) == 0 {
		*r = readAhead{} // frees the memory
	}
	return n, arrivedAt
}
