package gossip

import "sync/atomic"

// Counters holds totals since the start of the process.
type Counters struct {
	PacketsIn      uint64 `json:"packets_in"` // valid packets received
	PacketsOut     uint64 `json:"packets_out"`
	BytesIn        uint64 `json:"bytes_in"` // bytes of the valid packets received
	BytesOut       uint64 `json:"bytes_out"`
	Rejected       uint64 `json:"refused"` // packets rejected: wrong signature, another cluster or malformed
	DroppedChanges uint64 `json:"missed"`  // changes dropped because the reader of Changes fell behind
}

// counters holds the running totals; any goroutine may update them.
type counters struct {
	packetsIn      atomic.Uint64
	packetsOut     atomic.Uint64
	bytesIn        atomic.Uint64
	bytesOut       atomic.Uint64
	rejected       atomic.Uint64
	droppedChanges atomic.Uint64
}

// received counts a valid packet of a size in bytes.
func (c *counters) received(bytes int) {
	c.packetsIn.Add(1)
	c.bytesIn.Add(uint64(bytes))
}

// sent counts a sent packet of a size in bytes.
func (c *counters) sent(bytes int) {
	c.packetsOut.Add(1)
	c.bytesOut.Add(uint64(bytes))
}

// Counters returns the current totals. Any goroutine may call it.
func (t *Transport) Counters() Counters {
	return Counters{
		PacketsIn:      t.counters.packetsIn.Load(),
		PacketsOut:     t.counters.packetsOut.Load(),
		BytesIn:        t.counters.bytesIn.Load(),
		BytesOut:       t.counters.bytesOut.Load(),
		Rejected:       t.counters.rejected.Load(),
		DroppedChanges: t.counters.droppedChanges.Load(),
	}
}
