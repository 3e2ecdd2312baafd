package logclock

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/golden"
)

// The log's clock is stored in snapshots, so its encoding stays the same.
func TestClockEncoding(t *testing.T) {
	clock := Clock{Now: 12345.5, Last: Stamp{Process: 0xfedcba9876543210, Uptime: 678.25}}
	golden.RoundTrip(t, "clock.msgpack", clock, msgpack.Marshal, msgpack.Unmarshal)
}
