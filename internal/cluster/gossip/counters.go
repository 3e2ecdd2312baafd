package gossip

import "sync/atomic"

// Counters are totals since the start.
type Counters struct {
	PacketsIn      uint64 `json:"packets_in"`
	PacketsOut     uint64 `json:"packets_out"`
	BytesIn        uint64 `json:"bytes_in"`
	BytesOut       uint64 `json:"bytes_out"`
	Rejected       uint64 `json:"refused"` // packets that could not be decoded or were not of this cluster
	DroppedChanges uint64 `json:"missed"`  // changes that the reader did not take in time
}

// counters are the counters as they are counted.
type counters struct {
	packetsIn      atomic.Uint64
	packetsOut     atomic.Uint64
	bytesIn        atomic.Uint64
	bytesOut       atomic.Uint64
	rejected       atomic.Uint64
	droppedChanges atomic.Uint64
}

func (c *counters) received(bytes int) {
	c.packetsIn.Add(1)
	c.bytesIn.Add(uint64(bytes))
}

func (c *counters) sent(bytes int) {
	c.packetsOut.Add(1)
	c.bytesOut.Add(uint64(bytes))
}

// Counters are the present totals.
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
